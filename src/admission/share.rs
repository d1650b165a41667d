//! Shares of the work at one node by service and team.
//!
//! A share is a percentage of the room for work. A service or team can always
//! have one call, so that a small share on a small server is not a ban.

use std::collections::BTreeMap;

use crate::ids::{ServiceName, TeamName};

/// Owner of a share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareKey {
    /// One service.
    Service(ServiceName),
    /// All services of one team.
    Team(TeamName),
}

/// Share of the room for work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkShare {
    /// Owner of the share.
    pub key: ShareKey,
    /// Size of the share in percent of the room.
    pub percent: u32,
}

/// Calls that each owner has at work or in the queue.
#[derive(Debug, Default)]
pub struct ShareTable {
    calls: BTreeMap<ShareKey, u32>,
}

impl ShareTable {
    /// Whether one more call fits into every share, out of a room in calls.
    pub fn has_room(&self, shares: &[WorkShare], room: u32) -> bool {
        shares.iter().all(|share| {
            let used = self.calls.get(&share.key).copied().unwrap_or(0);
            let most = u64::from(room) * u64::from(share.percent) / 100;
            u64::from(used) < most.max(1)
        })
    }

    /// Counts one call against its shares.
    pub fn take(&mut self, shares: &[WorkShare]) {
        for share in shares {
            *self.calls.entry(share.key.clone()).or_default() += 1;
        }
    }

    /// Gives back what [`take`](Self::take) counted.
    pub fn give_back(&mut self, shares: &[WorkShare]) {
        for share in shares {
            let Some(used) = self.calls.get_mut(&share.key) else {
                continue;
            };
            *used -= 1;
            if *used == 0 {
                self.calls.remove(&share.key);
            }
        }
    }
}
