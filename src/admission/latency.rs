//! Moving mean and moving minimum of the latency of completed calls.

use std::time::Duration;

/// Weight of a new latency in the moving mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Share of the distance to the mean by which the shortest latency rises with
/// each completed call, so that an old minimum fades.
const SHORTEST_RISE_WEIGHT: f64 = 1.0 / 256.0;

/// Moving estimate of a latency; zero until the first call completes.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    mean: Option<Duration>,
    shortest: Duration,
}

impl LatencyEstimate {
    /// Exponentially weighted mean; zero before the first completed call.
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Exponentially weighted mean; `None` before the first completed call.
    pub fn known_mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Shortest latency, which slowly rises to the mean; zero before the first
    /// completed call.
    pub fn shortest(&self) -> Duration {
        self.shortest
    }

    /// Adds the latency of a completed call.
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
