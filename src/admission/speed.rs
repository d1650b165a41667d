//! Detection of slow phases of the VM from the slowdowns that its backend
//! server reports.
//!
//! A burst of load from a neighbour on the host makes runs that start during it
//! several times slower and ends within a fraction of a second, so it pays to
//! wait for its end. A cold or overloaded VM stays slow for longer, and waiting
//! would not help. The two are told apart by the baseline, the lowest slowdown
//! of a sliding window: a burst rises above it, sustained slowdown raises it.
//! The baseline needs readings from several parts of the window, since a gate
//! with few calls takes few readings and all of them may fall into bursts.
//! During warm-up the baseline counts from the first reading on; otherwise all
//! slots would stay empty until there are enough readings.

use std::collections::VecDeque;
use std::time::Duration;

/// A reading this many times the baseline shows a burst; a baseline this many
/// times the normal run time shows sustained slowdown.
const SLOW_RATIO: f64 = 2.0;
/// Age from which a reading is stale. Bursts on production hosts begin and end
/// about every 150 ms.
const READING_MAX_AGE: Duration = Duration::from_millis(30);
/// Window in which the baseline is the lowest slowdown; longer than most bursts.
const BASELINE_WINDOW: Duration = Duration::from_millis(800);
/// Parts of the window, each longer than most bursts.
const BASELINE_WINDOW_PARTS: u32 = 5;
/// Parts of the window that must have a reading before their minimum is used as
/// baseline.
const MIN_BASELINE_PARTS: usize = 4;
const MAX_READINGS: usize = 64;

/// Current speed of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmSpeed {
    /// Runs take about their normal time.
    Normal,
    /// Slow for longer than a burst lasts.
    SustainedSlow,
    /// Slow for a short time: runs that start later may take their normal time.
    Burst,
    /// The last reading is stale.
    Unknown,
}

/// Recent readings of the VM's slowdown.
#[derive(Debug)]
pub(super) struct SpeedHistory {
    /// Time and slowdown of each reading, oldest first.
    readings: VecDeque<(Duration, f64)>,
    /// Time until which the last reading counts as fresh because no newer one
    /// is available.
    last_reading_valid_until: Duration,
    /// End of the warm-up as reported by the backend server.
    warm_up_ends_at: Duration,
    /// Slowdown without readings.
    assumed_slowdown: f64,
}

impl Default for SpeedHistory {
    fn default() -> Self {
        Self {
            readings: VecDeque::new(),
            last_reading_valid_until: Duration::ZERO,
            warm_up_ends_at: Duration::ZERO,
            assumed_slowdown: 1.0,
        }
    }
}

impl SpeedHistory {
    /// Adds a reading and drops those outside the window.
    pub(super) fn record(&mut self, now: Duration, slowdown: f64) {
        self.readings.push_back((now, slowdown));
        let is_outside_window = |at: Duration| now.saturating_sub(at) > BASELINE_WINDOW;
        while self.readings.len() > MAX_READINGS
            || self
                .readings
                .front()
                .is_some_and(|(at, _)| is_outside_window(*at))
        {
            self.readings.pop_front();
        }
    }

    pub(super) fn set_warm_up_end(&mut self, warm_up_ends_at: Duration) {
        self.warm_up_ends_at = warm_up_ends_at;
    }

    pub(super) fn set_assumed_slowdown(&mut self, slowdown: f64) {
        self.assumed_slowdown = slowdown;
    }

    /// Treats the last reading as fresh for another [`READING_MAX_AGE`].
    pub(super) fn extend_last_reading(&mut self, now: Duration) {
        self.last_reading_valid_until = now + READING_MAX_AGE;
    }

    /// Current speed; `Normal` if the backend server reports no slowdown.
    pub(super) fn current_speed(&self, now: Duration) -> VmSpeed {
        let Some((at, slowdown)) = self.readings.back() else {
            return VmSpeed::Normal;
        };
        let is_fresh =
            now.saturating_sub(*at) < READING_MAX_AGE || now < self.last_reading_valid_until;
        let baseline = self.baseline_slowdown(now);
        if !is_fresh {
            VmSpeed::Unknown
        } else if *slowdown >= baseline * SLOW_RATIO {
            VmSpeed::Burst
        } else if baseline >= SLOW_RATIO {
            VmSpeed::SustainedSlow
        } else {
            VmSpeed::Normal
        }
    }

    /// Time from which a new reading may change the decision; `None` if calls
    /// can start on the current one.
    pub(super) fn next_reading_at(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.readings.back()?;
        match self.current_speed(now) {
            VmSpeed::Normal | VmSpeed::SustainedSlow => None,
            VmSpeed::Unknown => Some(now),
            VmSpeed::Burst => Some((*at + READING_MAX_AGE).max(self.last_reading_valid_until)),
        }
    }

    /// Lowest slowdown of the window that ends now. While too few parts of it have a
    /// reading, the one assumed without readings, unless the backend server warms up.
    pub(super) fn baseline_slowdown(&self, now: Duration) -> f64 {
        let part_length = BASELINE_WINDOW / BASELINE_WINDOW_PARTS;
        let (mut has_reading, mut lowest) =
            ([false; BASELINE_WINDOW_PARTS as usize], f64::INFINITY);
        for (at, slowdown) in self.readings.iter().rev() {
            let age = now.saturating_sub(*at);
            if age >= BASELINE_WINDOW {
                break;
            }
            let part = (age.as_micros() / part_length.as_micros()) as usize;
            has_reading[part] = true;
            lowest = lowest.min(*slowdown);
        }
        let part_count = has_reading
            .iter()
            .filter(|has_reading| **has_reading)
            .count();
        let is_warming_up = now < self.warm_up_ends_at && part_count > 0;
        if part_count < MIN_BASELINE_PARTS && !is_warming_up {
            return self.assumed_slowdown;
        }
        lowest.max(1.0)
    }
}

#[cfg(test)]
mod tests;
