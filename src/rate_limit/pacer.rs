//! Spaces the starts of requests at a named rate (generic cell rate algorithm).
//!
//! A start uses up one interval of the rate. Unused time can be made up for within
//! [`StartPacer::BURST_TIME`] only, so that any window of `w` seconds has at most
//! `1 + rate * (w + 0.1)` starts, also after an idle phase or a freeze. The allowance
//! also covers timers that fire late, so that the whole rate can be used.

use std::time::Duration;

use super::StartRate;

/// Spacing of the starts at one backend server. Times are offsets from any fixed origin.
#[derive(Debug, Default)]
pub struct StartPacer {
    rate: Option<StartRate>,
    /// Time at which the starts so far have used up no unused time.
    due_at: Duration,
}

impl StartPacer {
    /// Unused time that later starts may make up for.
    pub const BURST_TIME: Duration = Duration::from_millis(100);

    /// Rate in force; `None` if starts are not limited.
    pub fn rate(&self) -> Option<StartRate> {
        self.rate
    }

    /// Replaces the rate. The part of an interval that is left to the next start, and
    /// starts in arrears, are carried over to the new rate; unused time is not.
    pub fn set_rate(&mut self, now: Duration, rate: Option<StartRate>) {
        let Some(new_rate) = rate else {
            self.rate = None;
            return;
        };
        let intervals_left = match self.rate {
            Some(old_rate) => {
                let left = self.time_to_start(now, 0);
                left.as_secs_f64() / old_rate.interval().as_secs_f64()
            }
            // Requests have just been started without a limit.
            None => 1.0,
        };
        self.rate = Some(new_rate);
        self.due_at = now + Self::BURST_TIME + new_rate.interval().mul_f64(intervals_left);
    }

    /// Whether a request may start now.
    pub fn is_free(&self, now: Duration) -> bool {
        self.time_to_start(now, 0).is_zero()
    }

    /// Time until a request may start that has `starts_ahead` others before it.
    pub fn time_to_start(&self, now: Duration, starts_ahead: u32) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let due_at = self.due_at.max(now) + rate.interval() * starts_ahead;
        due_at.saturating_sub(now + Self::BURST_TIME)
    }

    /// Counts a start, whether or not one is due.
    pub fn record_start(&mut self, now: Duration) {
        if let Some(rate) = self.rate {
            self.due_at = self.due_at.max(now) + rate.interval();
        }
    }

    /// Takes back a start whose request was not sent.
    pub fn return_start(&mut self) {
        if let Some(rate) = self.rate {
            self.due_at = self.due_at.saturating_sub(rate.interval());
        }
    }
}
