//! Shares of the work at one node by service and team.
//!
//! A share is a percentage of the room for work. A service or team can always
//! have one call, so that a small share on a small server is not a ban.

use std::collections::BTreeMap;

use crate::ids::{ServiceName, TeamName};

/// Owner of a share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareOwner {
    /// One service.
    Service(ServiceName),
    /// All services of one team.
    Team(TeamName),
}

/// Share of the room for work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityShare {
    /// Owner of the share.
    pub owner: ShareOwner,
    /// Size of the share in percent of the room.
    pub percent: u32,
}

/// Calls that each owner has at work or in the queue.
#[derive(Debug, Default)]
pub struct ShareUsage {
    calls_by_owner: BTreeMap<ShareOwner, u32>,
}

impl ShareUsage {
    /// Whether one more call fits into every share, out of a room in calls.
    pub fn has_capacity(&self, shares: &[CapacityShare], capacity: u32) -> bool {
        shares.iter().all(|share| {
            let used = self.calls_by_owner.get(&share.owner).copied().unwrap_or(0);
            let max_calls = u64::from(capacity) * u64::from(share.percent) / 100;
            u64::from(used) < max_calls.max(1)
        })
    }

    /// Counts one call against its shares.
    pub fn acquire(&mut self, shares: &[CapacityShare]) {
        for share in shares {
            *self.calls_by_owner.entry(share.owner.clone()).or_default() += 1;
        }
    }

    /// Gives back what [`take`](Self::take) counted.
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
