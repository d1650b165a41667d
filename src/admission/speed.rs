//! Speed of the VM, from what the backend server states.
//!
//! A neighbour's burst makes work that starts in it several times slower and is
//! over within a fraction of a second, so it pays to wait for its end. A cold
//! or overloaded VM is slow for longer, and waiting for that would be in vain.
//! The two are told apart by the lowest slowness of the last while: what never
//! goes away counts as the usual speed of the VM at present. A backend server
//! that says it is warming up is slow for good from its first reading on, or
//! all its slots would stay empty for the time that this takes to see.

use std::collections::VecDeque;
use std::time::Duration;

/// Ratio to the lowest slowness of the last while from which a reading tells
/// of a burst.
const SLOW_RATIO: f64 = 2.0;
/// Age up to which a reading counts. Bursts of neighbours on the users' hosts
/// begin and end about every 150 ms.
const READING_MAX_AGE: Duration = Duration::from_millis(30);
/// Time over which the lowest slowness is looked for; longer than most bursts.
const BASELINE_WINDOW: Duration = Duration::from_millis(800);
/// Time that readings must span before slowness counts as lasting.
const MIN_BASELINE_SPAN: Duration = Duration::from_millis(500);
/// Readings that are remembered.
const MAX_READINGS: usize = 64;

/// What is known of the speed of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmSpeed {
    /// Work takes about as long as usual.
    Normal,
    /// Slow for longer than bursts last.
    SustainedSlow,
    /// Work that starts now takes much longer; work that starts soon may not.
    Burst,
    /// The last reading is too old to tell.
    Unknown,
}

/// Readings of the last while.
#[derive(Debug, Default)]
pub(super) struct SpeedHistory {
    readings: VecDeque<(Duration, f64)>,
    /// Moment up to which the last reading has to do, as no other can be had.
    last_reading_valid_until: Duration,
    /// Moment from which the backend server has warmed up, as it says.
    warm_up_ends_at: Duration,
}

impl SpeedHistory {
    /// Takes a reading in.
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

    /// Takes note of when the backend server will have warmed up.
    pub(super) fn set_warm_up_end(&mut self, warm_up_ends_at: Duration) {
        self.warm_up_ends_at = warm_up_ends_at;
    }

    /// Lets the last reading count on for a while.
    pub(super) fn extend_last_reading(&mut self, now: Duration) {
        self.last_reading_valid_until = now + READING_MAX_AGE;
    }

    /// Speed at present; backend servers that state none have the usual one.
    pub(super) fn current_speed(&self, now: Duration) -> VmSpeed {
        let Some((at, slowdown)) = self.readings.back() else {
            return VmSpeed::Normal;
        };
        let is_fresh =
            now.saturating_sub(*at) < READING_MAX_AGE || now < self.last_reading_valid_until;
        let baseline = self.baseline_slowdown();
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

    /// Moment from which a fresh reading may tell something new; `None` if the
    /// present one lets calls start.
    pub(super) fn next_reading_at(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.readings.back()?;
        match self.current_speed(now) {
            VmSpeed::Normal | VmSpeed::SustainedSlow => None,
            VmSpeed::Unknown => Some(now),
            VmSpeed::Burst => Some((*at + READING_MAX_AGE).max(self.last_reading_valid_until)),
        }
    }

    /// Lowest slowness of the last while, 1 as long as that is too short and
    /// the backend server is warm.
    pub(super) fn baseline_slowdown(&self) -> f64 {
        let span = match (self.readings.front(), self.readings.back()) {
            (Some((first, _)), Some((last, _))) => last.saturating_sub(*first),
            _ => Duration::ZERO,
        };
        let is_warming_up =
            (self.readings.back()).is_some_and(|(last, _)| *last < self.warm_up_ends_at);
        if span < MIN_BASELINE_SPAN && !is_warming_up {
            return 1.0;
        }
        let slowdowns = self.readings.iter().map(|(_, slowdown)| *slowdown);
        slowdowns.fold(f64::INFINITY, f64::min).max(1.0)
    }
}

#[cfg(test)]
mod tests;
