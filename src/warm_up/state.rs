//! Whether the upstream of a gate is cold, and when to ask it.
//!
//! A health response states the present. A heartbeat may be seconds late: one that says
//! warm may have been sent before the upstream became cold, so a heartbeat of the start
//! that is known already can only extend the cold time. Messages arrive late, never
//! early, so that the end of the cold time that the gate computes is never too early.

use std::time::Duration;

use super::{ColdLimit, RecentStarts};
use crate::ids::BackendKey;
use crate::rate_limit::{ResponseTime, StartRate};

/// Pause after a query of the health path without a response.
const FAILED_READING_PAUSE: Duration = Duration::from_millis(100);
/// Heartbeats that put the end of the same cold time later by less than this were only
/// on the way for longer than the last reading.
const HEARTBEAT_JITTER: Duration = Duration::from_millis(250);
/// Share of the limit that may be sent to a warm upstream before it is asked again. The
/// rest is for the requests that start until the response arrives.
const UNREAD_SHARE: f64 = 0.7;
/// Requests sent within this time before a query may reach the upstream after it, on other
/// connections.
const OVERTAKING_TIME: Duration = Duration::from_millis(20);

/// What is known of the upstream.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq)]
pub enum Warmth {
    /// Nothing since this time; counts as cold.
    #[display("unknown")]
    Unknown {
        /// Time since which nothing is known.
        since: Duration,
    },
    /// Cold until this time.
    #[display("cold")]
    Cold {
        /// End of the cold time.
        until: Duration,
    },
    /// Warm when it was last asked.
    #[display("warm")]
    Warm,
}

/// Change from warm to cold, or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmthChange {
    /// State before.
    pub old: Warmth,
    /// State from now on.
    pub new: Warmth,
    /// Requests of the last second that the upstream may have received while cold.
    pub unread_starts: u32,
}

/// Warm-up state of one gate's backend server. Times are offsets from the gate's start.
#[derive(Debug)]
pub struct WarmUpState {
    limit: Option<ColdLimit>,
    /// Whether responses of the health path state the warm-up time.
    is_readable: bool,
    warmth: Warmth,
    backend: Option<BackendKey>,
    /// Time at which the request of the newest reading was sent.
    last_reading_sent_at: Option<Duration>,
    next_reading_at: Duration,
    /// Time at which a connection to the warm upstream was lost, until it is asked.
    suspected_at: Option<Duration>,
    /// Whether the cold time is known from a heartbeat only.
    is_unconfirmed: bool,
    unread_starts: RecentStarts,
    /// Whether requests of an earlier process of the gate may have reached the upstream.
    has_earlier_gate: bool,
}

impl Default for WarmUpState {
    fn default() -> Self {
        Self {
            limit: None,
            is_readable: false,
            warmth: Warmth::Unknown {
                since: Duration::ZERO,
            },
            backend: None,
            last_reading_sent_at: None,
            next_reading_at: Duration::ZERO,
            suspected_at: None,
            is_unconfirmed: false,
            unread_starts: RecentStarts::default(),
            has_earlier_gate: true,
        }
    }
}

impl WarmUpState {
    /// Replaces the limit (`None` if the service has none), and whether responses of the
    /// health path state the warm-up time. What heartbeats said before does not count once
    /// the upstream can be asked: after a restart of the gate they may be seconds old.
    pub fn configure(&mut self, now: Duration, limit: Option<ColdLimit>, is_readable: bool) {
        let was_askable = self.limit.is_some() && self.is_readable;
        if limit.is_some() && is_readable && !was_askable {
            self.warmth = Warmth::Unknown { since: now };
        }
        self.limit = limit;
        self.is_readable = is_readable;
    }

    /// Limit of a cold upstream; `None` if the service has none.
    pub fn limit(&self) -> Option<ColdLimit> {
        self.limit
    }

    /// What is known of the upstream.
    pub fn warmth(&self, now: Duration) -> Warmth {
        match self.warmth {
            Warmth::Cold { until } if until <= now => Warmth::Warm,
            warmth => warmth,
        }
    }

    /// Whether the upstream must be taken for cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.limit.is_some() && self.warmth(now) != Warmth::Warm
    }

    /// Rate of starts in force; `None` if the upstream is warm or needs no limit.
    pub fn start_rate(&self, now: Duration) -> Option<StartRate> {
        let limit = self.limit.filter(|_| self.is_cold(now))?;
        Some(limit.start_rate())
    }

    /// End of the cold time, if it is known and lies ahead.
    pub fn cold_ends_at(&self, now: Duration) -> Option<Duration> {
        match self.warmth(now) {
            Warmth::Cold { until } => Some(until),
            Warmth::Unknown { .. } | Warmth::Warm => None,
        }
    }

    /// Time since the newest reading of the upstream itself; `None` without one.
    pub fn reading_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.last_reading_sent_at?))
    }

    /// Whether the response to a request sent since this time has been read.
    pub fn has_reading_since(&self, time: Duration) -> bool {
        self.last_reading_sent_at
            .is_some_and(|sent_at| sent_at >= time)
    }

    /// Applies a heartbeat. Only the first one of a later start says that the upstream is
    /// warm, unless it can't be asked.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        backend: BackendKey,
        left: Duration,
    ) -> Option<WarmthChange> {
        let is_later_start = self.backend.is_some_and(|known| known != backend);
        self.backend = Some(backend);
        let stated = stated_warmth(now, left);
        let current = self.warmth(now);
        if is_later_start || !self.is_readable {
            if is_later_start {
                self.last_reading_sent_at = None;
                self.clear_unread_starts();
            }
            self.is_unconfirmed = stated != Warmth::Warm;
            return self.change(now, stated);
        }
        let extends_cold_time = match (current, stated) {
            (Warmth::Warm, Warmth::Cold { .. }) => true,
            (Warmth::Cold { until }, Warmth::Cold { until: stated_end }) => {
                stated_end > until + HEARTBEAT_JITTER
            }
            _ => false,
        };
        if !extends_cold_time {
            return None;
        }
        self.is_unconfirmed = true;
        self.change(now, stated)
    }

    /// Applies the warm-up time that a response states, unless a newer response has been
    /// read or the state was forgotten after the request had been sent.
    pub fn record_reading(&mut self, times: ResponseTime, left: Duration) -> Option<WarmthChange> {
        let now = times.read_at;
        self.next_reading_at = self.next_reading_at.min(now);
        let is_outdated = (self.last_reading_sent_at).is_some_and(|newest| times.sent_at < newest)
            || matches!(self.warmth, Warmth::Unknown { since } if times.sent_at < since)
            || (self.suspected_at).is_some_and(|suspected_at| times.sent_at < suspected_at);
        if is_outdated {
            return None;
        }
        self.last_reading_sent_at = Some(times.sent_at);
        self.is_unconfirmed = false;
        let stated = stated_warmth(now, left);
        let change = self.change(now, stated);
        if stated == Warmth::Warm {
            let certain_before = times.sent_at.saturating_sub(OVERTAKING_TIME);
            self.unread_starts.remove_before(certain_before);
        }
        change
    }

    /// Makes the state unknown, as nothing listens any more: what was sent so far has not
    /// reached a later start.
    pub fn record_end(&mut self, now: Duration) -> Option<WarmthChange> {
        self.clear_unread_starts();
        self.forget(now)
    }

    /// Records that a connection was lost: the backend server may have been restarted. A warm
    /// upstream is asked first, as queued calls would be refused at the cold rate for a
    /// connection that a running server dropped.
    pub fn suspect(&mut self, now: Duration) -> Option<WarmthChange> {
        let is_warm = self.limit.is_some() && self.warmth(now) == Warmth::Warm;
        if is_warm && self.is_readable {
            self.suspected_at = Some(now);
            return None;
        }
        self.forget(now)
    }

    /// Makes the state unknown.
    pub fn forget(&mut self, now: Duration) -> Option<WarmthChange> {
        let was_unknown = matches!(self.warmth, Warmth::Unknown { .. });
        self.change(now, Warmth::Unknown { since: now })
            .filter(|_| !was_unknown)
    }

    /// Records that a request is sent to the upstream. The state becomes unknown if too many
    /// have been sent since a connection was lost.
    pub fn record_start(&mut self, now: Duration) -> Option<WarmthChange> {
        let limit = self.limit.filter(|_| self.warmth(now) == Warmth::Warm)?;
        let capacity = limit.max_per_window().ceil() as usize + 1;
        self.unread_starts.record(now, capacity);
        let suspected_at = self.suspected_at?;
        let suspect_starts = self.unread_starts.count_since(suspected_at);
        if suspect_starts * 2 < max_unread(limit) {
            return None;
        }
        self.forget(now)
    }

    /// Time from which to query the health path; `None` if its response would not matter.
    ///
    /// A warm upstream is asked once it has received, since it was last asked, so much
    /// within a second that it could exceed the limit had it become cold meanwhile.
    pub fn next_reading_at(&self, now: Duration) -> Option<Duration> {
        let limit = self.limit.filter(|_| self.is_readable)?;
        self.backend?;
        let is_due = match self.warmth(now) {
            Warmth::Unknown { .. } => true,
            Warmth::Cold { .. } => self.is_unconfirmed,
            Warmth::Warm => {
                self.suspected_at.is_some() || self.unread_starts.count(now) >= max_unread(limit)
            }
        };
        is_due.then_some(self.next_reading_at)
    }

    /// Records a query of the health path that had no response.
    pub fn record_failed_reading(&mut self, now: Duration) -> Option<WarmthChange> {
        self.next_reading_at = now + FAILED_READING_PAUSE;
        self.suspected_at?;
        self.forget(now)
    }

    /// Requests of the last second that the upstream may have received while cold. An
    /// earlier process of the gate may have sent as many as go unread.
    fn unread_count(&self, now: Duration) -> u32 {
        let has_earlier_gate = self.has_earlier_gate && now < RecentStarts::WINDOW;
        let of_earlier_gate = self
            .limit
            .filter(|_| has_earlier_gate)
            .map_or(0, max_unread);
        self.unread_starts.count(now) + of_earlier_gate
    }

    fn clear_unread_starts(&mut self) {
        self.unread_starts.clear();
        self.has_earlier_gate = false;
    }

    fn change(&mut self, now: Duration, new: Warmth) -> Option<WarmthChange> {
        let old = self.warmth(now);
        self.warmth = new;
        self.suspected_at = None;
        let unread_starts = match (old, new) {
            (Warmth::Warm | Warmth::Unknown { .. }, Warmth::Cold { .. }) => self.unread_count(now),
            _ => 0,
        };
        if matches!(new, Warmth::Cold { .. }) {
            self.clear_unread_starts();
        }
        (old != new).then_some(WarmthChange {
            old,
            new,
            unread_starts,
        })
    }
}

/// Requests to a warm upstream after which it is asked again.
fn max_unread(limit: ColdLimit) -> u32 {
    ((limit.max_per_window() * UNREAD_SHARE) as u32).max(1)
}

fn stated_warmth(now: Duration, left: Duration) -> Warmth {
    if left.is_zero() {
        Warmth::Warm
    } else {
        Warmth::Cold { until: now + left }
    }
}
