//! Recognizes callers' retries of refused requests.
//!
//! Under peak load, callers that were refused retry with what is left of their
//! time. Their target latency counts from their first request, so most retries
//! can only be late. Treated as new requests, they would displace callers that
//! could still be served in time, who would then retry late in turn. A retry is
//! therefore measured against the target of its first request: it gets spare
//! capacity only.
//!
//! Each request has an id of its own. A retry is recognized by its route and by
//! the moment until which its caller waits, which is that of the refused
//! request; its stated time left is shorter by the time since then.

use std::collections::BTreeMap;
use std::time::Duration;

/// Refused requests that are tracked, far more than are retried in time.
const MAX_TRACKED_REFUSALS: usize = 1_024;
/// Most by which a retry's caller seems to wait longer than its first request
/// stated: the retry opens a connection first, and a busy thread reads it late.
const LATE_ARRIVAL_MARGIN: Duration = Duration::from_millis(40);
/// Most by which it seems to wait shorter: times are stated in whole
/// milliseconds.
const ROUNDING_MARGIN: Duration = Duration::from_millis(2);

/// Properties by which a retry is matched to a refused request.
#[derive(Debug, Clone, Copy)]
pub struct CallerRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Arrival, as time since the node started.
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

/// Refused requests that their callers may retry.
#[derive(Debug, Default)]
pub struct CallerRetryTracker {
    /// Keyed by the moment until which the caller waits, and the route.
    refused_requests: BTreeMap<(Duration, String), RefusedRequest>,
}

impl CallerRetryTracker {
    /// Records a refused request and the moment of its target latency.
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

    /// Moment of the target latency that applies to a retry; `None` for a first
    /// request. Each refused request is matched once.
    pub fn take_retry_target(&mut self, retry: CallerRequest<'_>) -> Option<Duration> {
        self.remove_expired(retry.arrived_at);
        let caller_deadline = retry.caller_deadline();
        let earliest = (
            caller_deadline.saturating_sub(LATE_ARRIVAL_MARGIN),
            String::new(),
        );
        // The end is excluded, and rounding may shift by the whole margin.
        let latest = (
            caller_deadline + ROUNDING_MARGIN + Duration::from_nanos(1),
            String::new(),
        );
        let key = self
            .refused_requests
            .range(earliest..latest)
            .find(|((_, route), entry)| {
                // A first request states its caller's full time, a retry less.
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
