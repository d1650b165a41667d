//! Weighted splits that hold their shares also over few requests.
//!
//! Each part earns its share of every request and the part that is owed most
//! gets it, so at one node a part is never more than one request away from its
//! share. The first debts are random, so that many nodes with few requests
//! each don't all begin with the same part.

use std::collections::BTreeMap;

use rand::Rng;

use super::config::WeightedService;
use crate::ids::ServiceName;

/// Debts of one route's split.
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
        let chosen_index = eligible.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[chosen_index] -= 1.0;
        Some(chosen_index)
    }
}

/// Splits of one node, by name of the route.
#[derive(Debug, Default)]
pub struct SplitSelector {
    by_route: BTreeMap<String, WeightedRoundRobin>,
}

impl SplitSelector {
    /// Service that gets the next request of a split route.
    pub fn select_service(
        &mut self,
        route: &str,
        services: &[WeightedService],
        rng: &mut impl Rng,
    ) -> Option<ServiceName> {
        let is_current = self
            .by_route
            .get(route)
            .is_some_and(|credits| credits.services == services);
        if !is_current {
            // New weights start with new debts: old ones are not to be made up for.
            self.by_route
                .insert(route.to_string(), WeightedRoundRobin::new(services, rng));
        }
        let chosen_index = self.by_route.get_mut(route)?.select_index()?;
        Some(services[chosen_index].service.clone())
    }
}
