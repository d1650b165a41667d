//! Adaptive concurrency limit that follows the processor capacity left to the
//! backend server.
//!
//! The mean latency of each window of completed calls is compared with a
//! baseline. The baseline follows lower means quickly and higher ones slowly,
//! so that a lasting change becomes the new baseline; a plain minimum would
//! sink further with each window of randomly short calls. A window well above
//! the baseline decreases the limit, a window near it increases the limit by
//! one; windows in which the limit was seldom reached don't change it.
//!
//! A lower limit helps where the running calls compete for what is left of a
//! processor: each call gets faster and the throughput stays. It harms where
//! each call is slow by itself. The two can't be told apart beforehand, so each
//! decrease is a trial: if the throughput drops, the limit is restored and not
//! decreased again for some windows.

use std::time::Duration;

use crate::ids::SlotCount;

/// A window ends after this many completed calls.
const WINDOW_MAX_CALLS: u32 = 64;
/// A window of at least [`WINDOW_MIN_CALLS`] ends at this age.
const WINDOW_MAX_AGE: Duration = Duration::from_secs(1);
const WINDOW_MIN_CALLS: u32 = 16;
/// A mean latency above this multiple of the baseline decreases the limit.
const CONGESTED_LATENCY_RATIO: f64 = 1.5;
/// A mean latency up to this multiple of the baseline increases the limit.
const UNCONGESTED_LATENCY_RATIO: f64 = 1.25;
/// Weight of a window's mean in the baseline if it is higher.
const BASELINE_RISE_WEIGHT: f64 = 0.01;
/// Weight of a window's mean in the baseline if it is lower.
const BASELINE_FALL_WEIGHT: f64 = 0.2;
/// Fraction of the limit by which a decrease lowers it.
const DECREASE_FRACTION: f64 = 1.0 / 3.0;
/// A decrease is reverted if the throughput falls below this fraction of that
/// before it.
const MIN_THROUGHPUT_RATIO: f64 = 0.85;
/// Windows without a decrease after one was reverted.
const COOLDOWN_WINDOWS: u32 = 16;

#[derive(Debug, Default)]
struct LatencyWindow {
    opened_at: Duration,
    calls: u32,
    /// Calls that completed while the limit was reached.
    calls_at_limit: u32,
    latency_sum: Duration,
}

/// Figures of a finished window.
#[derive(Debug, Clone, Copy)]
struct WindowSummary {
    mean_latency_s: f64,
    throughput_per_s: f64,
    /// Whether at least three quarters of the calls completed at the limit.
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

/// A decrease of the limit whose effect on the throughput is not known yet.
#[derive(Debug)]
struct DecreaseTrial {
    limit_before: u32,
    summary_before: WindowSummary,
}

/// Limit on the running calls, between 1 and the number of slots.
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

    /// Adds a completed call to the window; `in_flight` includes the call.
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

    /// Discards the window and ends the trial without a decision.
    pub(super) fn restart_window(&mut self, now: Duration) {
        self.window = LatencyWindow {
            opened_at: now,
            ..LatencyWindow::default()
        };
        if let Some(trial) = self.trial.take() {
            self.limit = trial.limit_before.min(self.slots);
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

    /// Ends the trial, if there is one; returns whether the limit was restored.
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
