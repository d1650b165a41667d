//! When an idempotent call is sent a second time before its first answer.
//!
//! A neighbour's burst can hold up a run that began at the usual speed. The
//! second copy goes out at the last moment at which a usual run still meets
//! the target, only to a gate that can start it at once, and out of the
//! service's retry budget. The first answer wins and the other is cancelled.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::LatencyEstimate;

/// Classes of calls whose times are remembered.
const MAX_CLASSES: usize = 1_024;

/// Usual times of answers by class of calls.
#[derive(Debug, Default)]
pub struct ResponseLatencies {
    classes: BTreeMap<String, LatencyEstimate>,
}

impl ResponseLatencies {
    /// Takes note of an answered attempt.
    pub fn record(&mut self, class: &str, latency: Duration) {
        if let Some(known) = self.classes.get_mut(class) {
            known.note(latency);
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            // Routes come and go with configurations; the times are soon learnt again.
            self.classes.clear();
        }
        let mut estimate = LatencyEstimate::default();
        estimate.note(latency);
        self.classes.insert(class.to_string(), estimate);
    }

    /// Time after its start at which a call with the given times left should
    /// go out again; `None` if nothing is known of its class, or no time is
    /// left for a second run.
    pub fn hedge_delay(&self, class: &str, target_left: Duration) -> Option<Duration> {
        let usual_latency = self.classes.get(class)?.mean();
        let delay = target_left.checked_sub(usual_latency)?;
        // A call that is sent again sooner than usual runs take would only
        // double the load.
        Some(delay.max(usual_latency / 2))
    }
}

#[cfg(test)]
mod tests;
