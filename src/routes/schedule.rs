//! Decides when a node reads the configuration from the store by itself.
//!
//! Each call to the store is priced, also a watch that waits, so the calls of a
//! fleet must not grow with its nodes. Two nodes of each availability zone watch
//! the key. A few more read it occasionally, in case that no watch works. All
//! others hear of new versions from their peers, and read only until they have a
//! configuration, since requests can't be routed before.
//!
//! The connection of a watch may go silent, at all nodes at the same moment, while
//! new ones work, and a restored store may hold a change that a waiting watch never
//! sees. A watch that waits is therefore checked: a call at a tenth of its price asks
//! for the position of the store's latest change.

use std::time::Duration;

use crate::discovery::FleetRole;

/// Maximum duration of one watch call.
pub(super) const MAX_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Maximum interval between checks of a watch that waits. A version must be active
/// within 2 s of its acceptance.
pub(super) const MAX_WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(1_200);
/// Maximum interval between the reads of a node in reserve.
const RESERVE_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum interval between the reads of a node without configuration. Peers
/// usually push one sooner.
const UNCONFIGURED_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Next step of a node that keeps its configuration up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// Wait for a change of the key in the store.
    Watch,
    /// Read the key; the value may be seconds old.
    ReadStale,
    /// Do nothing for this time, or until the role changes.
    Wait(Duration),
    /// Do nothing until the role changes.
    WaitForRole,
}

/// Time of the last read, from which the next step follows.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadSchedule {
    last_read_at: Option<Duration>,
    /// Share of the maximum interval until the next read, random so that nodes that
    /// started together don't read together.
    interval_share: f64,
}

impl ReadSchedule {
    /// Next step of a node with this role.
    pub(super) fn next_step(&self, now: Duration, role: FleetRole, has_config: bool) -> ReadStep {
        if role.watches_config() {
            return ReadStep::Watch;
        }
        let Some(last_read_at) = self.last_read_at else {
            return ReadStep::ReadStale;
        };
        let max_interval = if !has_config {
            UNCONFIGURED_READ_INTERVAL
        } else if role.reads_config() {
            RESERVE_READ_INTERVAL
        } else {
            return ReadStep::WaitForRole;
        };
        let due_at = last_read_at + max_interval.mul_f64(self.interval_share);
        match due_at.saturating_sub(now) {
            Duration::ZERO => ReadStep::ReadStale,
            time_left => ReadStep::Wait(time_left),
        }
    }

    /// Records a read that succeeded; `interval_share` is the share of the maximum
    /// interval (0 to 1) until the next one.
    pub(super) fn record_read(&mut self, now: Duration, interval_share: f64) {
        self.last_read_at = Some(now);
        self.interval_share = interval_share;
    }
}

#[cfg(test)]
mod tests;
