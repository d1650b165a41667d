//! Callers that come back after a refusal.
//!
//! When load is at its worst, callers that were refused return with what is
//! left of their time. Their target latency counts from their first try, so
//! most of them can only be late. Taken for fresh ones they push out callers
//! that could still be served in time, who then return late in their turn. A
//! return is therefore measured against the target of its first try: it takes
//! room that is left over.
//!
//! Each try has an id of its own. A return is known by its route and by the
//! moment until which its caller waits, which is that of the refused try; its
//! stated time left is shorter by the time since then.

use std::collections::BTreeMap;
use std::time::Duration;

/// Refused tries that are remembered, far more than come back in time.
const MAX_TRIES: usize = 1_024;
/// Most by which a return seems to wait longer than its first try: it opens a
/// connection first, and a busy thread reads it late.
const LATER_MARGIN: Duration = Duration::from_millis(40);
/// Most by which it seems to wait shorter: times are stated in whole
/// milliseconds.
const SOONER_MARGIN: Duration = Duration::from_millis(2);

/// What tells one caller's tries from others.
#[derive(Debug, Clone, Copy)]
pub struct CallerTry<'a> {
    /// Route.
    pub route: &'a str,
    /// Arrival.
    pub arrived_at: Duration,
    /// Time that the caller still waits, as it stated.
    pub time_left: Duration,
}

impl CallerTry<'_> {
    fn ends_at(&self) -> Duration {
        self.arrived_at + self.time_left
    }
}

#[derive(Debug)]
struct RefusedTry {
    time_left: Duration,
    target_at: Duration,
}

/// Tries that were refused and may come back.
#[derive(Debug, Default)]
pub struct ReturnBook {
    /// By the moment until which the caller waits, and its route.
    tries: BTreeMap<(Duration, String), RefusedTry>,
}

impl ReturnBook {
    /// Takes note of a refused try and the moment of its target latency.
    pub fn note_refused(&mut self, refused: CallerTry<'_>, target_at: Duration) {
        if self.tries.len() >= MAX_TRIES {
            self.tries.pop_first();
        }
        let entry = RefusedTry {
            time_left: refused.time_left,
            target_at,
        };
        let key = (refused.ends_at(), refused.route.to_string());
        self.tries.insert(key, entry);
    }

    /// Moment of the target latency that a try came back with; `None` for a
    /// first try. A try comes back once.
    pub fn take_return(&mut self, found: CallerTry<'_>) -> Option<Duration> {
        self.forget_before(found.arrived_at);
        let ends_at = found.ends_at();
        let from = (ends_at.saturating_sub(LATER_MARGIN), String::new());
        let to = (ends_at + SOONER_MARGIN + SOONER_MARGIN, String::new());
        let key = self
            .tries
            .range(from..to)
            .find(|((_, route), entry)| {
                // A first try states the whole of its caller's time.
                route == found.route && found.time_left + SOONER_MARGIN < entry.time_left
            })
            .map(|(key, _)| key.clone())?;
        self.tries.remove(&key).map(|entry| entry.target_at)
    }

    fn forget_before(&mut self, now: Duration) {
        while let Some(entry) = self.tries.first_entry() {
            if entry.key().0 > now {
                return;
            }
            entry.remove();
        }
    }
}

#[cfg(test)]
mod tests;
