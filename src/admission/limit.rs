//! Limit on work in flight that follows the capacity left to the server.
//!
//! Latency is judged in windows of completed calls against a baseline, which
//! follows low window means soon and high ones slowly, so that a lasting change
//! becomes the new normal. The plain minimum would sink further with each
//! window of lucky calls. A window well above the baseline makes the limit
//! fall, a window near it makes the limit rise by one, and only windows in
//! which the limit was reached count.
//!
//! A lower limit helps where the running calls share what is left of a
//! processor: each gets faster and the rate stays. It harms where each call is
//! slow by itself. Both look alike beforehand, so each fall is a trial: if the
//! rate of completed calls drops, the limit goes back and stays for a while.

use std::time::Duration;

use crate::ids::SlotCount;

/// Completed calls that close a window.
const WINDOW_MAX_CALLS: u32 = 64;
/// Age that closes a window of at least [`WINDOW_MIN_CALLS`].
const WINDOW_MAX_AGE: Duration = Duration::from_secs(1);
/// Fewest completed calls in a window.
const WINDOW_MIN_CALLS: u32 = 16;
/// Ratio to the baseline above which a window counts as congested.
const CONGESTED_LATENCY_RATIO: f64 = 1.5;
/// Ratio to the baseline up to which a window counts as calm.
const UNCONGESTED_LATENCY_RATIO: f64 = 1.25;
/// Rise of the baseline towards a higher window mean, by window.
const BASELINE_RISE_WEIGHT: f64 = 0.01;
/// Fall of the baseline towards a lower window mean, by window.
const BASELINE_FALL_WEIGHT: f64 = 0.2;
/// Part of the limit that a fall takes away.
const DECREASE_FRACTION: f64 = 1.0 / 3.0;
/// Ratio of rates below which a fall is taken back.
const MIN_THROUGHPUT_RATIO: f64 = 0.85;
/// Windows without another fall after one was taken back.
const COOLDOWN_WINDOWS: u32 = 16;

#[derive(Debug, Default)]
struct LatencyWindow {
    opened_at: Duration,
    calls: u32,
    /// Calls that completed while the limit was reached.
    calls_at_limit: u32,
    latency_sum: Duration,
}

/// What a closed window says.
#[derive(Debug, Clone, Copy)]
struct WindowSummary {
    mean_latency_s: f64,
    throughput_per_s: f64,
    was_at_limit: bool,
}

impl LatencyWindow {
    fn is_full(&self, now: Duration) -> bool {
        let is_old = now.saturating_sub(self.opened_at) >= WINDOW_MAX_AGE;
        self.calls >= WINDOW_MAX_CALLS || (is_old && self.calls >= WINDOW_MIN_CALLS)
    }

    fn summarize(&self, now: Duration) -> WindowSummary {
        let elapsed = now.saturating_sub(self.opened_at).as_secs_f64();
        WindowSummary {
            mean_latency_s: self.latency_sum.as_secs_f64() / f64::from(self.calls),
            throughput_per_s: f64::from(self.calls) / elapsed.max(f64::EPSILON),
            was_at_limit: self.calls_at_limit * 4 >= self.calls * 3,
        }
    }
}

/// Fall of the limit that has still to prove itself.
#[derive(Debug)]
struct DecreaseTrial {
    limit_before: u32,
    summary_before: WindowSummary,
}

/// Limit between 1 and the slots.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    is_adaptive: bool,
    slots: u32,
    limit: u32,
    window: LatencyWindow,
    baseline_latency_s: Option<f64>,
    trial: Option<DecreaseTrial>,
    cooldown_windows: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new(slots: SlotCount, is_adaptive: bool) -> Self {
        Self {
            is_adaptive,
            slots: slots.get(),
            limit: slots.get(),
            window: LatencyWindow::default(),
            baseline_latency_s: None,
            trial: None,
            cooldown_windows: 0,
        }
    }

    pub(super) fn get(&self) -> u32 {
        self.limit
    }

    pub(super) fn set_slots(&mut self, slots: SlotCount) {
        let was_at_max = self.limit == self.slots;
        self.slots = slots.get();
        self.limit = if was_at_max {
            self.slots
        } else {
            self.limit.min(self.slots)
        };
    }

    /// Takes note of a completed call; `in_flight` counts it in.
    pub(super) fn record_completed(&mut self, now: Duration, latency: Duration, in_flight: u32) {
        if !self.is_adaptive {
            return;
        }
        self.window.calls += 1;
        self.window.latency_sum += latency;
        if in_flight >= self.limit {
            self.window.calls_at_limit += 1;
        }
        if self.window.is_full(now) {
            let summary = self.window.summarize(now);
            self.update_limit(summary);
            self.window = LatencyWindow {
                opened_at: now,
                ..LatencyWindow::default()
            };
        }
    }

    fn update_limit(&mut self, summary: WindowSummary) {
        self.cooldown_windows = self.cooldown_windows.saturating_sub(1);
        if self.revert_failed_decrease(summary) {
            return;
        }
        let baseline = self.update_baseline(summary.mean_latency_s);
        if !summary.was_at_limit {
            return;
        }
        if summary.mean_latency_s <= baseline * UNCONGESTED_LATENCY_RATIO {
            self.limit = self.limit.saturating_add(1).min(self.slots);
        } else if self.cooldown_windows == 0
            && summary.mean_latency_s > baseline * CONGESTED_LATENCY_RATIO
        {
            self.decrease(summary);
        }
    }

    /// Ends a trial; returns whether the limit went back.
    fn revert_failed_decrease(&mut self, summary: WindowSummary) -> bool {
        let Some(trial) = self.trial.take() else {
            return false;
        };
        let has_throughput_dropped =
            summary.throughput_per_s < trial.summary_before.throughput_per_s * MIN_THROUGHPUT_RATIO;
        if !has_throughput_dropped || !summary.was_at_limit {
            return false;
        }
        self.limit = trial.limit_before.min(self.slots);
        self.baseline_latency_s = Some(trial.summary_before.mean_latency_s);
        self.cooldown_windows = COOLDOWN_WINDOWS;
        true
    }

    fn update_baseline(&mut self, mean_latency_s: f64) -> f64 {
        let baseline = self.baseline_latency_s.unwrap_or(mean_latency_s);
        let weight = if mean_latency_s > baseline {
            BASELINE_RISE_WEIGHT
        } else {
            BASELINE_FALL_WEIGHT
        };
        let baseline = baseline + (mean_latency_s - baseline) * weight;
        self.baseline_latency_s = Some(baseline);
        baseline
    }

    fn decrease(&mut self, summary: WindowSummary) {
        if self.limit <= 1 {
            return;
        }
        self.trial = Some(DecreaseTrial {
            limit_before: self.limit,
            summary_before: summary,
        });
        let reduced = f64::from(self.limit) * (1.0 - DECREASE_FRACTION);
        self.limit = (reduced.floor() as u32).clamp(1, self.limit - 1);
    }
}
