//! Hedging: when an idempotent call is sent a second time before its first
//! response.
//!
//! A burst of a noisy neighbour on the host can slow down a run that began at
//! the usual speed, and a backend server that has just started is slow. The
//! second attempt is sent at the last moment at which a run of usual length
//! still meets the target latency, or the time limit if it is too late for the
//! target. A node that has just started knows no usual length and assumes a part
//! of the target. The second attempt goes only to a gate that can start it at
//! once, and out of the service's retry budget. The first response wins and the
//! other attempt is cancelled.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::LatencyEstimate;
use crate::ingress::placing::CallTimeBudget;

/// Request classes whose latencies are tracked.
const MAX_CLASSES: usize = 1_024;

/// Usual latency of a class without answers, as a fraction of the time to the
/// target latency.
const UNKNOWN_LATENCY_DIVISOR: u32 = 2;

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

    /// Usual latency of the class; a part of the target if it has no answers yet.
    pub fn usual_latency(&self, class: &str, target_left: Duration) -> Duration {
        let estimate = self.classes.get(class);
        estimate.map_or(target_left / UNKNOWN_LATENCY_DIVISOR, |estimate| {
            estimate.mean()
        })
    }

    /// Delay after the start of a call at which it should be hedged; `None` if too
    /// little time is left for a second run.
    pub fn hedge_delay(&self, class: &str, time_budget: CallTimeBudget) -> Option<Duration> {
        let CallTimeBudget {
            target_left,
            time_left,
        } = time_budget;
        let usual_latency = self.usual_latency(class, target_left);
        let delay = target_left
            .checked_sub(usual_latency)
            .or_else(|| time_left.checked_sub(usual_latency))?;
        // Never before half a usual run: hedging sooner than usual runs take
        // would only double the load.
        Some(delay.max(usual_latency / 2))
    }
}

#[cfg(test)]
mod tests;
