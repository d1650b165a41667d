//! Weighted splits that hold their shares also over few requests.
//!
//! Each part earns its share of every request and the part that is owed most
//! gets it, so at one node a part is never more than one request away from its
//! share. The first debts are random, so that many nodes with few requests
//! each don't all begin with the same part.

use std::collections::BTreeMap;

use rand::Rng;

use super::config::SplitPart;
use crate::ids::ServiceName;

/// Debts of one route's split.
#[derive(Debug)]
struct SplitDebts {
    parts: Vec<SplitPart>,
    debts: Vec<f64>,
}

impl SplitDebts {
    fn new(parts: &[SplitPart], rng: &mut impl Rng) -> Self {
        let mut debts: Vec<f64> = parts.iter().map(|_| rng.random_range(0.0..1.0)).collect();
        let mean = debts.iter().sum::<f64>() / debts.len().max(1) as f64;
        for debt in &mut debts {
            *debt -= mean;
        }
        Self {
            parts: parts.to_vec(),
            debts,
        }
    }

    fn next(&mut self) -> Option<usize> {
        let total: u32 = self.parts.iter().map(|part| part.weight).sum();
        if total == 0 {
            return None;
        }
        for (debt, part) in self.debts.iter_mut().zip(&self.parts) {
            *debt += f64::from(part.weight) / f64::from(total);
        }
        let served = (0..self.parts.len()).filter(|index| self.parts[*index].weight > 0);
        let chosen = served.max_by(|a, b| self.debts[*a].total_cmp(&self.debts[*b]))?;
        self.debts[chosen] -= 1.0;
        Some(chosen)
    }
}

/// Splits of one node, by name of the route.
#[derive(Debug, Default)]
pub struct SplitTable {
    routes: BTreeMap<String, SplitDebts>,
}

impl SplitTable {
    /// Service that gets the next request of a split route.
    pub fn choose(
        &mut self,
        route: &str,
        parts: &[SplitPart],
        rng: &mut impl Rng,
    ) -> Option<ServiceName> {
        let is_current = self
            .routes
            .get(route)
            .is_some_and(|debts| debts.parts == parts);
        if !is_current {
            // New weights start with new debts: old ones are not to be made up for.
            self.routes
                .insert(route.to_string(), SplitDebts::new(parts, rng));
        }
        let chosen = self.routes.get_mut(route)?.next()?;
        Some(parts[chosen].service.clone())
    }
}
