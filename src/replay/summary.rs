//! HDR histograms of latency, printed as a table and summarized as percentiles.

use std::io;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Precision of recorded values, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Rows of the printed table per halving of the distance to quantile 1.
const TICKS_PER_HALF_DISTANCE: u32 = 2;

/// Histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

/// Percentiles of latencies, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    ///
    /// Fails if no histogram can be created with these bounds.
    pub fn new() -> io::Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        histogram.map(Self).map_err(io::Error::other)
    }

    /// Creates a histogram of these latencies.
    ///
    /// # Errors
    ///
    /// Fails if the histogram can't be created.
    pub fn from_latencies(latencies: impl IntoIterator<Item = Duration>) -> io::Result<Self> {
        let mut histogram = Self::new()?;
        for latency in latencies {
            histogram.record(latency);
        }
        Ok(histogram)
    }

    /// Records a latency; one above 10 minutes is recorded as 10 minutes.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros);
    }

    /// Count, percentiles and maximum of the recorded latencies.
    pub fn summary(&self) -> LatencySummary {
        let percentile_ms = |percentile: f64| us_to_ms(self.0.value_at_percentile(percentile));
        LatencySummary {
            count: self.0.len(),
            p50_ms: percentile_ms(50.0),
            p90_ms: percentile_ms(90.0),
            p99_ms: percentile_ms(99.0),
            p999_ms: percentile_ms(99.9),
            max_ms: us_to_ms(self.0.max()),
        }
    }

    /// Prints a table with the columns value in milliseconds, quantile, and
    /// number of latencies up to the value.
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
