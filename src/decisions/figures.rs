//! Figures of a replay and their comparison with the outcomes that its trace
//! requires.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::trace::OutcomeLine;

/// Longest latency that the histograms hold.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of a replay, or of several that were merged.
#[derive(Debug, Clone)]
pub struct ReplayFigures {
    /// Requests sent, without nested calls.
    pub requests: u64,
    /// Requests answered by a backend server, with all of their nested calls.
    pub answered: u64,
    /// Requests that failed and are known not to have run.
    pub refused: u64,
    /// Requests that failed and may have run, also through a nested call.
    pub unknown: u64,
    /// Calls that were answered without a run.
    pub lost: u64,
    /// Non-idempotent calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although their caller was told `not-run`.
    pub false_not_run: u64,
    /// Calls that ended after their time limit.
    pub late: u64,
    /// First attempts, also of nested calls.
    pub first_attempts: u64,
    /// Attempts that were sent to an upstream, also of nested calls.
    pub attempts: u64,
    /// Load probes sent.
    pub probes: u64,
    /// Work of answered requests over the capacity of all slots, in percent.
    pub goodput_percent: f64,
    /// Latency of answered idempotent requests for the client, in microseconds.
    pub latency: Histogram<u64>,
    /// The same latency beyond the undisturbed service time, in microseconds:
    /// network, queueing and slowdowns.
    pub excess_latency: Histogram<u64>,
    /// Undisturbed service time of answered requests, with their nested calls.
    pub(super) useful_work: Duration,
}

impl ReplayFigures {
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
            .expect("constant histogram bounds are valid");
        Self {
            requests: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            lost: 0,
            doubled: 0,
            false_not_run: 0,
            late: 0,
            first_attempts: 0,
            attempts: 0,
            probes: 0,
            goodput_percent: 0.0,
            excess_latency: histogram.clone(),
            latency: histogram,
            useful_work: Duration::ZERO,
        }
    }

    /// Adds the figures of another replay; goodput becomes the mean weighted by
    /// requests.
    pub fn merge(&mut self, other: &Self) {
        let weight = other.requests as f64 / (self.requests + other.requests).max(1) as f64;
        self.goodput_percent += weight * (other.goodput_percent - self.goodput_percent);
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.false_not_run += other.false_not_run;
        self.late += other.late;
        self.first_attempts += other.first_attempts;
        self.attempts += other.attempts;
        self.probes += other.probes;
        self.latency += &other.latency;
        self.excess_latency += &other.excess_latency;
    }

    /// Latency at a quantile from 0 to 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Latency beyond the undisturbed service time at a quantile from 0 to 1, in
    /// milliseconds.
    pub fn excess_latency_ms(&self, quantile: f64) -> f64 {
        self.excess_latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Share of requests answered, in percent.
    pub fn answered_percent(&self) -> f64 {
        percent(self.answered, self.requests)
    }

    /// Attempts as a percentage of first attempts.
    pub fn attempts_percent(&self) -> f64 {
        percent(self.attempts, self.first_attempts)
    }

    /// Load probes per 1,000 calls, nested ones included.
    pub fn probes_per_1000(&self) -> f64 {
        percent(self.probes, self.first_attempts) * 10.0
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

/// Compares figures with the required outcomes of a trace; returns one text for
/// each that is missed.
///
/// The baselines matter only if the outcomes limit a ratio to them.
pub fn check_outcome(
    outcome: &OutcomeLine,
    figures: &ReplayFigures,
    round_robin: &ReplayFigures,
    least_outstanding: &ReplayFigures,
) -> Vec<String> {
    let p99 = figures.latency_ms(0.99);
    let p99_percent_of = |other: &ReplayFigures| p99 * 100.0 / other.latency_ms(0.99);
    let upper_bounds = [
        ("lost", figures.lost as f64, Some(outcome.lost as f64)),
        (
            "doubled",
            figures.doubled as f64,
            Some(outcome.doubled as f64),
        ),
        (
            "false_not_run",
            figures.false_not_run as f64,
            Some(outcome.false_not_run as f64),
        ),
        ("late", figures.late as f64, Some(outcome.late as f64)),
        ("max_p99_ms", p99, outcome.max_p99_ms),
        (
            "max_p99_percent_of_round_robin",
            p99_percent_of(round_robin),
            outcome.max_p99_percent_of_round_robin,
        ),
        (
            "max_p99_percent_of_least_outstanding",
            p99_percent_of(least_outstanding),
            outcome.max_p99_percent_of_least_outstanding,
        ),
        (
            "max_attempts_percent",
            figures.attempts_percent(),
            outcome.max_attempts_percent,
        ),
        (
            "max_probes_per_1000",
            figures.probes_per_1000(),
            outcome.max_probes_per_1000,
        ),
    ];
    let lower_bounds = [
        (
            "min_answered_percent",
            figures.answered_percent(),
            outcome.min_answered_percent,
        ),
        (
            "min_goodput_percent",
            figures.goodput_percent,
            outcome.min_goodput_percent,
        ),
    ];
    let above = upper_bounds
        .iter()
        .filter(|(_, value, bound)| bound.is_some_and(|limit| *value > limit));
    let below = lower_bounds
        .iter()
        .filter(|(_, value, bound)| bound.is_some_and(|limit| *value < limit));
    above
        .chain(below)
        .map(|(name, value, bound)| {
            format!("{name}: {value:.2}, stated {:.2}", bound.unwrap_or(0.0))
        })
        .collect()
}
