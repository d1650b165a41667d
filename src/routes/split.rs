//! Weighted traffic splits that keep their proportions even over few requests.
//!
//! Smooth weighted round robin: with every request each service gains credit in
//! proportion to its weight, and the service with the most credit gets the
//! request at the cost of one credit. At one node the request count of a service
//! thus stays within one request of its share. Initial credits are random, so
//! that many nodes with few requests each don't all start with the same service.

use std::collections::BTreeMap;

use rand::Rng;

use super::config::WeightedService;
use crate::ids::ServiceName;

/// Traffic split of one route; the credits sum to zero.
#[derive(Debug)]
struct WeightedRoundRobin {
    services: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    fn new(services: &[WeightedService], rng: &mut impl Rng) -> Self {
        let mut credits: Vec<f64> = services
            .iter()
            .map(|_| rng.random_range(0.0..1.0))
            .collect();
        let mean = credits.iter().sum::<f64>() / credits.len().max(1) as f64;
        for credit in &mut credits {
            *credit -= mean;
        }
        Self {
            services: services.to_vec(),
            credits,
        }
    }

    fn select_index(&mut self) -> Option<usize> {
        let total: u32 = self.services.iter().map(|service| service.weight).sum();
        if total == 0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(&self.services) {
            *credit += f64::from(service.weight) / f64::from(total);
        }
        let eligible = (0..self.services.len()).filter(|index| self.services[*index].weight > 0);
        let selected_index =
            eligible.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[selected_index] -= 1.0;
        Some(selected_index)
    }
}

/// State of the traffic splits of one node, by route name.
#[derive(Debug, Default)]
pub struct SplitSelector {
    by_route: BTreeMap<String, WeightedRoundRobin>,
}

impl SplitSelector {
    /// Selects the service for the next request of a route; `None` if all weights
    /// are zero.
    pub fn select_service(
        &mut self,
        route: &str,
        services: &[WeightedService],
        rng: &mut impl Rng,
    ) -> Option<ServiceName> {
        let is_current = self
            .by_route
            .get(route)
            .is_some_and(|split| split.services == services);
        if !is_current {
            // Changed weights start with new credits, so that credits left from the old
            // weights don't distort the new proportions.
            self.by_route
                .insert(route.to_string(), WeightedRoundRobin::new(services, rng));
        }
        let selected_index = self.by_route.get_mut(route)?.select_index()?;
        Some(services[selected_index].service.clone())
    }
}
