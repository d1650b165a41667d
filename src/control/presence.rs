//! Detects outdated announcements and withdrawals of backend servers.
//!
//! A heartbeat can arrive seconds late, after its backend server has withdrawn,
//! crashed or restarted, and also at a node that was started in the meantime and
//! has no earlier announcement. It must not bring back a backend server whose
//! withdrawal has been acknowledged.

use std::collections::BTreeMap;

use crate::admin::AnnouncementOrder;
use crate::ids::BackendId;

/// Maximum number of backend servers whose withdrawal is recorded.
const MAX_RECORDED_WITHDRAWALS: usize = 64;

/// Record of the announcements and withdrawals that a node has acknowledged.
#[derive(Debug, Default)]
pub struct BackendPresence {
    latest_announcement: Option<AnnouncementOrder>,
    /// Start time, in Unix milliseconds, of the latest withdrawn start by backend
    /// server.
    withdrawn_starts: BTreeMap<BackendId, u64>,
}

impl BackendPresence {
    /// Records an announcement; false if a later announcement of any backend server
    /// or the withdrawal of this start is known.
    pub fn accept_announcement(&mut self, id: &BackendId, order: AnnouncementOrder) -> bool {
        let withdrawn_start = self.withdrawn_starts.get(id);
        let is_withdrawn =
            withdrawn_start.is_some_and(|started_at_ms| order.started_at_ms <= *started_at_ms);
        let is_late = self
            .latest_announcement
            .is_some_and(|latest| order < latest);
        if is_withdrawn || is_late {
            return false;
        }
        self.latest_announcement = Some(order);
        true
    }

    /// Records a withdrawal, whether or not the backend server is known.
    ///
    /// Without `started_at_ms` it applies to all starts up to `now_ms`. Returns
    /// false if a later start of any backend server is known.
    pub fn accept_withdrawal(
        &mut self,
        id: &BackendId,
        started_at_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let started_at_ms = started_at_ms.unwrap_or(now_ms);
        let is_outdated = self
            .latest_announcement
            .is_some_and(|latest| started_at_ms < latest.started_at_ms);
        if is_outdated {
            return false;
        }
        let withdrawn_start = self.withdrawn_starts.entry(id.clone()).or_default();
        *withdrawn_start = started_at_ms.max(*withdrawn_start);
        if self.withdrawn_starts.len() > MAX_RECORDED_WITHDRAWALS {
            self.remove_oldest_withdrawal();
        }
        true
    }

    fn remove_oldest_withdrawal(&mut self) {
        let oldest = self
            .withdrawn_starts
            .iter()
            .min_by_key(|(_, started)| **started);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.withdrawn_starts.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
