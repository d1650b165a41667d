//! Histograms of latency and their summary.

use std::io;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Digits kept for each value.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Steps of the printed histogram within each halving of what is left.
const TICKS_PER_HALF_DISTANCE: u32 = 2;

/// Histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

/// Percentiles of latencies, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Count of latencies.
    pub count: u64,
    /// Half were at most this long.
    pub p50_ms: f64,
    /// 90% were at most this long.
    pub p90_ms: f64,
    /// 99% were at most this long.
    pub p99_ms: f64,
    /// 99.9% were at most this long.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

impl LatencyHistogram {
    /// Histogram without latencies.
    ///
    /// # Errors
    ///
    /// Fails if the histogram can't be made with these bounds.
    pub fn new() -> io::Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        histogram.map(Self).map_err(io::Error::other)
    }

    /// Histogram of the given latencies.
    ///
    /// # Errors
    ///
    /// Fails if the histogram can't be made.
    pub fn from_latencies(latencies: impl IntoIterator<Item = Duration>) -> io::Result<Self> {
        let mut histogram = Self::new()?;
        for latency in latencies {
            histogram.record(latency);
        }
        Ok(histogram)
    }

    /// Records one latency; a longer one than 10 minutes counts as that.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros);
    }

    /// Percentiles.
    pub fn summary(&self) -> LatencySummary {
        let at = |percentile: f64| us_to_ms(self.0.value_at_percentile(percentile));
        LatencySummary {
            count: self.0.len(),
            p50_ms: at(50.0),
            p90_ms: at(90.0),
            p99_ms: at(99.0),
            p999_ms: at(99.9),
            max_ms: us_to_ms(self.0.max()),
        }
    }

    /// Table of the histogram: value in ms, quantile, count up to it.
    pub fn print(&self, title: &str) {
        println!("# {title}: {} latencies", self.0.len());
        println!("{:>12} {:>12} {:>12}", "value_ms", "quantile", "count");
        for step in self.0.iter_quantiles(TICKS_PER_HALF_DISTANCE) {
            let value = us_to_ms(step.value_iterated_to());
            let (quantile, count) = (
                step.quantile_iterated_to(),
                self.count_up_to(step.value_iterated_to()),
            );
            println!("{value:>12.3} {quantile:>12.6} {count:>12}");
        }
    }

    fn count_up_to(&self, micros: u64) -> u64 {
        self.0.count_between(0, micros)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 us"
)]
fn us_to_ms(micros: u64) -> f64 {
    micros as f64 / 1e3
}
