//! Hedging: when an idempotent call is sent a second time before its first
//! response.
//!
//! A burst of a noisy neighbour on the host can slow down a run that began at
//! the usual speed. The second attempt is sent at the last moment at which a
//! run of usual length still meets the target latency, only to a gate that can
//! start it at once, and out of the service's retry budget. The first response
//! wins and the other attempt is cancelled.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::LatencyEstimate;

/// Request classes whose latencies are tracked.
const MAX_CLASSES: usize = 1_024;

/// Usual response latencies by request class.
#[derive(Debug, Default)]
pub struct ResponseLatencies {
    classes: BTreeMap<String, LatencyEstimate>,
}

impl ResponseLatencies {
    /// Records the latency of an answered attempt.
    pub fn record(&mut self, class: &str, latency: Duration) {
        if let Some(known) = self.classes.get_mut(class) {
            known.record(latency);
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            // Routes come and go with configurations; latencies in use are soon
            // measured again.
            self.classes.clear();
        }
        let mut estimate = LatencyEstimate::default();
        estimate.record(latency);
        self.classes.insert(class.to_string(), estimate);
    }

    /// Delay after the start of a call at which it should be hedged; `None` if
    /// nothing is known of its class, or no time is left for a second run.
    pub fn hedge_delay(&self, class: &str, target_left: Duration) -> Option<Duration> {
        let usual_latency = self.classes.get(class)?.mean();
        let delay = target_left.checked_sub(usual_latency)?;
        // Never before half a usual run: hedging sooner than usual runs take
        // would only double the load.
        Some(delay.max(usual_latency / 2))
    }
}

#[cfg(test)]
mod tests;
