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
const MAX_TRACKED_REFUSALS: usize = 1_024;
/// Most by which a return seems to wait longer than its first try: it opens a
/// connection first, and a busy thread reads it late.
const LATE_ARRIVAL_MARGIN: Duration = Duration::from_millis(40);
/// Most by which it seems to wait shorter: times are stated in whole
/// milliseconds.
const ROUNDING_MARGIN: Duration = Duration::from_millis(2);

/// What tells one caller's tries from others.
#[derive(Debug, Clone, Copy)]
pub struct CallerRequest<'a> {
    /// Route.
    pub route: &'a str,
    /// Arrival.
    pub arrived_at: Duration,
    /// Time that the caller still waits, as it stated.
    pub time_left: Duration,
}

impl CallerRequest<'_> {
    fn caller_deadline(&self) -> Duration {
        self.arrived_at + self.time_left
    }
}

#[derive(Debug)]
struct RefusedRequest {
    time_left: Duration,
    target_at: Duration,
}

/// Tries that were refused and may come back.
#[derive(Debug, Default)]
pub struct CallerRetryTracker {
    /// By the moment until which the caller waits, and its route.
    refused_requests: BTreeMap<(Duration, String), RefusedRequest>,
}

impl CallerRetryTracker {
    /// Takes note of a refused try and the moment of its target latency.
    pub fn record_refusal(&mut self, request: CallerRequest<'_>, target_at: Duration) {
        if self.refused_requests.len() >= MAX_TRACKED_REFUSALS {
            self.refused_requests.pop_first();
        }
        let entry = RefusedRequest {
            time_left: request.time_left,
            target_at,
        };
        let key = (request.caller_deadline(), request.route.to_string());
        self.refused_requests.insert(key, entry);
    }

    /// Moment of the target latency that a try came back with; `None` for a
    /// first try. A try comes back once.
    pub fn take_retry_target(&mut self, retry: CallerRequest<'_>) -> Option<Duration> {
        self.remove_expired(retry.arrived_at);
        let caller_deadline = retry.caller_deadline();
        let earliest = (
            caller_deadline.saturating_sub(LATE_ARRIVAL_MARGIN),
            String::new(),
        );
        let latest = (
            caller_deadline + ROUNDING_MARGIN + ROUNDING_MARGIN,
            String::new(),
        );
        let key = self
            .refused_requests
            .range(earliest..latest)
            .find(|((_, route), entry)| {
                // A first try states the whole of its caller's time.
                route == retry.route && retry.time_left + ROUNDING_MARGIN < entry.time_left
            })
            .map(|(key, _)| key.clone())?;
        self.refused_requests
            .remove(&key)
            .map(|entry| entry.target_at)
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some(entry) = self.refused_requests.first_entry() {
            if entry.key().0 > now {
                return;
            }
            entry.remove();
        }
    }
}

#[cfg(test)]
mod tests;
