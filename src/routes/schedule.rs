//! Decides when a node reads the configuration from the store by itself.
//!
//! Load pattern: each call to the store is priced, also a watch that waits, so the calls
//! of a fleet must not grow with its nodes; yet any of its nodes may be killed, frozen or
//! cut off together, and a version must be active at the others 2 s after the store has
//! accepted it. Two nodes of each availability zone watch the key. All others hear of new
//! versions from their peers, and read only until they have a configuration, since
//! requests can't be routed before.
//!
//! Whether news still arrives is told by the age of the last confirmation that the
//! configuration is the newest ([`freshness`](super::freshness)), and not by who is
//! alive. The node whose own confirmation is the latest one asks the store again after a
//! short time, and its confirmation spreads to all. If none arrives, the other watchers
//! ask, and a little later any other node, at times that differ, so that the confirmation
//! of the first reaches the others before they ask. From the moment at which the news
//! ends, the times add up to less than the 2 s:
//!
//! | part | at most |
//! |---|---|
//! | age at which a node asks | 1,400 ms |
//! | age that is missing because of the way between nodes, over some hops | 100 ms |
//! | answer of the store, to two calls | 100 ms |
//! | activation | 50 ms |
//!
//! If the store doesn't answer, all nodes get that far. A node that has failed and still
//! hears from others then waits in proportion to the size of the fleet, as any of them
//! may be the one that succeeds. A node that hears from nobody depends on itself.
//!
//! The connection of a watch may go silent, and a restored store may hold a change that a
//! waiting watch never sees. A watcher that asks compares the store's answer with the
//! position from which it watches.

use std::time::Duration;

use crate::discovery::{FleetContact, FleetRole};

/// Maximum duration of one watch call.
pub(super) const MAX_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Time limit of a call that asks for the position of the store's latest change.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(600);
/// Duration from which on an answer of the store counts as slow. A slow store is asked as
/// rarely as one that doesn't answer.
pub(super) const SLOW_ANSWER: Duration = Duration::from_millis(300);
/// Maximum interval between the reads of a node in reserve.
const RESERVE_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum interval between the reads of a node without configuration. Peers
/// usually push one sooner.
const UNCONFIGURED_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Age of its own confirmation at which a node asks again.
const OWN_AGE: TimeRange = TimeRange::from_millis(600, 750);
/// Age of a peer's confirmation at which a watcher asks.
const WATCHER_AGE: TimeRange = TimeRange::from_millis(850, 1_050);
/// Age of a peer's confirmation at which any other node asks.
const MAX_AGE: TimeRange = TimeRange::from_millis(1_000, 1_400);
/// Time after the start at which a node asks if nothing has been confirmed. Bounds on the
/// configuration hold for a node that has run for 3 s.
const FIRST_ASK: TimeRange = TimeRange::from_millis(2_200, 2_800);
/// Delay after the first failure of a node that depends on itself; it doubles with each
/// further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum delay after failures of a node that depends on itself.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Delay after a failure of any other node, for each node of the fleet.
const SHARED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Bounds of the delay after a failure of any other node. The lower one is the time after
/// an outage of the store from which the bounds on the configuration hold again.
const SHARED_RETRY_BOUNDS: TimeRange = TimeRange::from_millis(3_000, 30_000);

/// Range from which a node takes a time by its share.
#[derive(Debug, Clone, Copy)]
struct TimeRange {
    min: Duration,
    max: Duration,
}

impl TimeRange {
    const fn from_millis(min: u64, max: u64) -> Self {
        Self {
            min: Duration::from_millis(min),
            max: Duration::from_millis(max),
        }
    }

    fn at(self, share: f64) -> Duration {
        self.min + (self.max - self.min).mul_f64(share)
    }
}

/// Next step of a node that keeps its configuration up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// Wait for a change of the key in the store.
    Watch,
    /// Read the key; the value may be seconds old.
    ReadStale,
    /// Ask whether the configuration is still the newest, and read it if it isn't.
    Ask,
    /// Do nothing for this time, or until the role changes.
    Wait(Duration),
}

/// Confirmation of the configuration, on the clock of the schedule.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownConfirmation {
    /// Time at which the store held no newer one.
    pub as_of: Duration,
    /// Whether this node asked the store.
    pub is_own: bool,
}

/// What the next step of a node depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct NodeView {
    pub role: FleetRole,
    pub has_config: bool,
    pub confirmation: Option<KnownConfirmation>,
    pub contact: FleetContact,
}

/// Calls that failed or were slow, one after the other.
#[derive(Debug, Clone, Copy)]
struct FailedAsks {
    last_at: Duration,
    count: u32,
}

/// Times of the last calls, from which the next step follows.
#[derive(Debug, Clone)]
pub(super) struct ReadSchedule {
    last_read_at: Option<Duration>,
    /// Share of the maximum interval until the next read, random so that nodes that
    /// started together don't read together.
    interval_share: f64,
    /// Place of this node in the ranges of ages, by which nodes ask one after the other.
    age_share: f64,
    /// Random share of the time until the next call after an own one.
    ask_share: f64,
    failed_asks: Option<FailedAsks>,
}

impl ReadSchedule {
    /// Schedule of a node that has just started, with its share (0 to 1) of the ranges
    /// of ages.
    pub(super) fn new(age_share: f64) -> Self {
        Self {
            last_read_at: None,
            interval_share: 1.0,
            age_share,
            ask_share: 1.0,
            failed_asks: None,
        }
    }

    /// Next step of a node.
    pub(super) fn next_step(&self, now: Duration, view: &NodeView) -> ReadStep {
        if view.role.watches_config() {
            return ReadStep::Watch;
        }
        let Some(last_read_at) = self.last_read_at else {
            return ReadStep::ReadStale;
        };
        let max_interval = if !view.has_config {
            Some(UNCONFIGURED_READ_INTERVAL)
        } else {
            view.role.reads_config().then_some(RESERVE_READ_INTERVAL)
        };
        let read_at = max_interval.map(|max| last_read_at + max.mul_f64(self.interval_share));
        let ask_at = self.asks_at(view);
        if ask_at <= now {
            return ReadStep::Ask;
        }
        match read_at {
            Some(read_at) if read_at <= now => ReadStep::ReadStale,
            Some(read_at) => ReadStep::Wait(read_at.min(ask_at) - now),
            None => ReadStep::Wait(ask_at - now),
        }
    }

    /// Time at which the node asks the store unless a later confirmation arrives.
    pub(super) fn asks_at(&self, view: &NodeView) -> Duration {
        let due_at = match view.confirmation {
            None => FIRST_ASK.at(self.age_share),
            Some(known) if known.is_own => known.as_of + OWN_AGE.at(self.ask_share),
            Some(known) if view.role.watches_config() => {
                known.as_of + WATCHER_AGE.at(self.age_share)
            }
            Some(known) => known.as_of + MAX_AGE.at(self.age_share),
        };
        match self.failed_asks {
            Some(failed) if is_after(failed.last_at, view.confirmation) => {
                let jitter = 0.5 + self.ask_share / 2.0;
                let delay = retry_delay(failed.count, view).mul_f64(jitter);
                due_at.max(failed.last_at + delay)
            }
            _ => due_at,
        }
    }

    /// Records a read that succeeded; `interval_share` is the share of the maximum
    /// interval (0 to 1) until the next one.
    pub(super) fn record_read(&mut self, now: Duration, interval_share: f64) {
        self.last_read_at = Some(now);
        self.interval_share = interval_share;
    }

    /// Records the end of a call that asked the store; `ask_share` is the share of the
    /// time (0 to 1) until the next one.
    pub(super) fn record_ask(&mut self, now: Duration, is_prompt: bool, ask_share: f64) {
        self.ask_share = ask_share;
        let count = self.failed_asks.map_or(0, |failed| failed.count);
        self.failed_asks = (!is_prompt).then_some(FailedAsks {
            last_at: now,
            count: count.saturating_add(1),
        });
    }
}

fn is_after(at: Duration, confirmation: Option<KnownConfirmation>) -> bool {
    confirmation.is_none_or(|known| known.as_of < at)
}

/// Maximum delay after a number of failures.
fn retry_delay(failure_count: u32, view: &NodeView) -> Duration {
    let contact = view.contact;
    if contact.hears_others && !view.role.watches_config() {
        let live_nodes = u32::try_from(contact.live_nodes).unwrap_or(u32::MAX);
        let delay = SHARED_RETRY_DELAY.saturating_mul(live_nodes);
        return delay.clamp(SHARED_RETRY_BOUNDS.min, SHARED_RETRY_BOUNDS.max);
    }
    let doublings = failure_count.saturating_sub(1).min(8);
    (FIRST_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
}

#[cfg(test)]
mod tests;
