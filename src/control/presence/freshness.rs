//! Whether a heartbeat shows that its backend server has not left.
//!
//! Fault: a departure is acknowledged while the store is silent, all processes that hold its
//! record are killed, and a heartbeat from before the departure arrives seconds late at a
//! process that has just started. By its own words it can't be told from one of a backend
//! server that serves. A process that may lack such a record therefore waits for a later
//! heartbeat, which a server that left doesn't send, and asks the server itself, which says
//! on its status check that it leaves.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admin::AnnouncementOrder;
use crate::departures::MAX_HEARTBEAT_DELAY;
use crate::ids::BackendId;

/// Maximum number of backend servers whose first heartbeat is recorded.
const MAX_RECORDED_HEARTBEATS: usize = 64;

/// What a process knows of the time before its start.
#[derive(Debug, Clone, Copy)]
pub struct ProcessHistory {
    /// Whether it knows every departure that earlier processes acknowledged.
    pub knows_departures: bool,
    /// Its start in Unix milliseconds.
    pub started_at_ms: u64,
    /// Time since its start.
    pub age: Duration,
}

/// What to do with a heartbeat of a backend server that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It was sent after any departure that this process may not know.
    Fresh,
    /// It may be late: wait for the next one.
    AwaitNext,
    /// A later one has come; the server's own answer decides.
    AskServer,
}

/// First heartbeats of starts that may have left before this process began.
#[derive(Debug, Default)]
pub struct HeartbeatFreshness {
    first_heartbeats: BTreeMap<BackendId, AnnouncementOrder>,
}

impl HeartbeatFreshness {
    /// Judges a heartbeat.
    pub fn judge(
        &mut self,
        id: &BackendId,
        order: AnnouncementOrder,
        history: &ProcessHistory,
    ) -> HeartbeatVerdict {
        // No heartbeat from before this process began is that late.
        let is_past_delay = history.age >= MAX_HEARTBEAT_DELAY;
        let is_new_start = order.started_at_ms >= history.started_at_ms;
        if history.knows_departures || is_past_delay || is_new_start {
            self.first_heartbeats.remove(id);
            return HeartbeatVerdict::Fresh;
        }
        match self.first_heartbeats.get(id) {
            Some(first) if first.started_at_ms == order.started_at_ms && *first < order => {
                HeartbeatVerdict::AskServer
            }
            Some(first) if *first >= order => HeartbeatVerdict::AwaitNext,
            Some(_) | None => {
                self.record_first(id, order);
                HeartbeatVerdict::AwaitNext
            }
        }
    }

    fn record_first(&mut self, id: &BackendId, order: AnnouncementOrder) {
        self.first_heartbeats.insert(id.clone(), order);
        if self.first_heartbeats.len() > MAX_RECORDED_HEARTBEATS {
            self.first_heartbeats.pop_first();
        }
    }
}

#[cfg(test)]
mod tests;
