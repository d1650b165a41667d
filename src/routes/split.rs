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
    fn new(parts: &[WeightedService], rng: &mut impl Rng) -> Self {
        let mut debts: Vec<f64> = parts.iter().map(|_| rng.random_range(0.0..1.0)).collect();
        let mean = debts.iter().sum::<f64>() / debts.len().max(1) as f64;
        for debt in &mut debts {
            *debt -= mean;
        }
        Self {
            services: parts.to_vec(),
            credits: debts,
        }
    }

    fn select_index(&mut self) -> Option<usize> {
        let total: u32 = self.services.iter().map(|part| part.weight).sum();
        if total == 0 {
            return None;
        }
        for (debt, part) in self.credits.iter_mut().zip(&self.services) {
            *debt += f64::from(part.weight) / f64::from(total);
        }
        let served = (0..self.services.len()).filter(|index| self.services[*index].weight > 0);
        let chosen = served.max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[chosen] -= 1.0;
        Some(chosen)
    }
}

/// Splits of one node, by name of the route.
#[derive(Debug, Default)]
pub struct SplitSelector {
    rotations: BTreeMap<String, WeightedRoundRobin>,
}

impl SplitSelector {
    /// Service that gets the next request of a split route.
    pub fn select_service(
        &mut self,
        route: &str,
        parts: &[WeightedService],
        rng: &mut impl Rng,
    ) -> Option<ServiceName> {
        let is_current = self
            .rotations
            .get(route)
            .is_some_and(|debts| debts.services == parts);
        if !is_current {
            // New weights start with new debts: old ones are not to be made up for.
            self.rotations
                .insert(route.to_string(), WeightedRoundRobin::new(parts, rng));
        }
        let chosen = self.rotations.get_mut(route)?.select_index()?;
        Some(parts[chosen].service.clone())
    }
}
