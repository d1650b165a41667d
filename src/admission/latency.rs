//! Mean and shortest latency of completed calls.

use std::time::Duration;

/// Weight of one latency in the mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Rise of the shortest known latency towards the mean, by completed call.
const SHORTEST_RISE_WEIGHT: f64 = 1.0 / 256.0;

/// Running estimate; zero until the first call completes.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    mean: Option<Duration>,
    shortest: Duration,
}

impl LatencyEstimate {
    /// Mean; zero before the first call.
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Mean, if a call has completed.
    pub fn known_mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Shortest known.
    pub fn shortest(&self) -> Duration {
        self.shortest
    }

    /// Takes note of a completed call.
    pub fn record(&mut self, latency: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(latency);
            self.shortest = latency;
            return;
        };
        let mean = mean.mul_f64(1.0 - SAMPLE_WEIGHT) + latency.mul_f64(SAMPLE_WEIGHT);
        let rise = mean
            .saturating_sub(self.shortest)
            .mul_f64(SHORTEST_RISE_WEIGHT);
        self.shortest = latency.min(self.shortest + rise);
        self.mean = Some(mean);
    }
}
