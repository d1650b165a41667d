//! Limits on the share of a node's capacity that one service or team may use.
//!
//! A share is a percentage of the calls that the node can hold. A service or
//! team may always have one call, so that a small share of a small capacity
//! doesn't block it altogether.

use std::collections::BTreeMap;

use crate::ids::{ServiceName, TeamName};

/// Service or team that a share is counted for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareOwner {
    /// One service.
    Service(ServiceName),
    /// All services of one team.
    Team(TeamName),
}

/// Maximum share of the capacity for one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityShare {
    /// Service or team that the limit applies to.
    pub owner: ShareOwner,
    /// Maximum of its calls in percent of the capacity.
    pub percent: u32,
}

/// Number of running and queued calls of each owner.
#[derive(Debug, Default)]
pub struct ShareUsage {
    calls_by_owner: BTreeMap<ShareOwner, u32>,
}

impl ShareUsage {
    /// Whether one more call fits within every share of a capacity in calls.
    pub fn has_capacity(&self, shares: &[CapacityShare], capacity: u32) -> bool {
        shares.iter().all(|share| {
            let used = self.calls_by_owner.get(&share.owner).copied().unwrap_or(0);
            let max_calls = u64::from(capacity) * u64::from(share.percent) / 100;
            u64::from(used) < max_calls.max(1)
        })
    }

    /// Counts one call against each of the shares.
    pub fn acquire(&mut self, shares: &[CapacityShare]) {
        for share in shares {
            *self.calls_by_owner.entry(share.owner.clone()).or_default() += 1;
        }
    }

    /// Undoes one [`acquire`](Self::acquire) of the same shares.
    pub fn release(&mut self, shares: &[CapacityShare]) {
        for share in shares {
            let Some(used) = self.calls_by_owner.get_mut(&share.owner) else {
                continue;
            };
            *used -= 1;
            if *used == 0 {
                self.calls_by_owner.remove(&share.owner);
            }
        }
    }
}
