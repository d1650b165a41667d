//! Detects outdated announcements and withdrawals of backend servers.
//!
//! A heartbeat can arrive seconds late, after its backend server has withdrawn,
//! crashed or restarted, and also at a node that was started in the meantime and
//! has no earlier announcement. It must not bring back a backend server whose
//! withdrawal has been acknowledged.

pub mod freshness;

use std::collections::BTreeMap;

use crate::admin::AnnouncementOrder;
use crate::departures::DepartureRecord;
use crate::ids::BackendId;

/// Maximum number of backend servers whose withdrawal is recorded.
const MAX_RECORDED_WITHDRAWALS: usize = 64;

/// Record of the announcements and withdrawals that a node has acknowledged.
#[derive(Debug, Default)]
pub struct BackendPresence {
    latest_announcement: Option<AnnouncementOrder>,
    /// Position from which announcements of a backend server that has withdrawn, or whose
    /// departure an earlier process acknowledged, are valid.
    valid_from: BTreeMap<BackendId, AnnouncementOrder>,
}

impl BackendPresence {
    /// Records an announcement; false if a later announcement of any backend server
    /// or the withdrawal of this start is known.
    pub fn accept_announcement(&mut self, id: &BackendId, order: AnnouncementOrder) -> bool {
        let is_late = self
            .latest_announcement
            .is_some_and(|latest| order < latest);
        if self.has_left(id, order) || is_late {
            return false;
        }
        self.latest_announcement = Some(order);
        true
    }

    /// Whether the backend server's departure after this announcement is known.
    pub fn has_left(&self, id: &BackendId, order: AnnouncementOrder) -> bool {
        let valid_from = self.valid_from.get(id);
        valid_from.is_some_and(|valid_from| order < *valid_from)
    }

    /// Records a withdrawal, whether or not the backend server is known.
    ///
    /// Without `started_at_ms` it applies to all starts up to `now_ms`. Returns the record to
    /// keep, or `None` if a later start of any backend server is known.
    pub fn accept_withdrawal(
        &mut self,
        id: &BackendId,
        started_at_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<DepartureRecord> {
        let started_at_ms = started_at_ms.unwrap_or(now_ms);
        let is_outdated = self
            .latest_announcement
            .is_some_and(|latest| started_at_ms < latest.started_at_ms);
        if is_outdated {
            return None;
        }
        let record = withdrawal_record(id, started_at_ms);
        self.restore(record.clone());
        Some(record)
    }

    /// Applies the record of a departure that this node has acknowledged, whether in this
    /// process or in an earlier one.
    pub fn restore(&mut self, record: DepartureRecord) {
        let valid_from = self
            .valid_from
            .entry(record.backend)
            .or_insert(record.valid_from);
        *valid_from = record.valid_from.max(*valid_from);
        if self.valid_from.len() > MAX_RECORDED_WITHDRAWALS {
            self.remove_oldest_withdrawal();
        }
    }

    fn remove_oldest_withdrawal(&mut self) {
        let oldest = self
            .valid_from
            .iter()
            .min_by_key(|(_, valid_from)| **valid_from);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.valid_from.remove(&id);
        }
    }
}

/// Record of a withdrawal, which outdates all announcements of the start.
fn withdrawal_record(id: &BackendId, started_at_ms: u64) -> DepartureRecord {
    DepartureRecord {
        backend: id.clone(),
        valid_from: AnnouncementOrder {
            started_at_ms: started_at_ms.saturating_add(1),
            sequence: 0,
        },
    }
}

#[cfg(test)]
mod tests;
