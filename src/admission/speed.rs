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
const BURST_RATIO: f64 = 2.0;
/// Age up to which a reading counts. Bursts of neighbours on the users' hosts
/// begin and end about every 150 ms.
const READING_MEMORY: Duration = Duration::from_millis(30);
/// Time over which the lowest slowness is looked for; longer than most bursts.
const BASE_WINDOW: Duration = Duration::from_millis(800);
/// Time that readings must span before slowness counts as lasting.
const BASE_SPAN: Duration = Duration::from_millis(500);
/// Readings that are remembered.
const MAX_READINGS: usize = 64;

/// What is known of the speed of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmSpeed {
    /// Work takes about as long as usual.
    Usual,
    /// Slow for longer than bursts last.
    Lasting,
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
    stretched_until: Duration,
    /// Moment from which the backend server has warmed up, as it says.
    warm_at: Duration,
}

impl SpeedHistory {
    /// Takes a reading in.
    pub(super) fn note(&mut self, now: Duration, slowness: f64) {
        self.readings.push_back((now, slowness));
        let is_old = |at: Duration| now.saturating_sub(at) > BASE_WINDOW;
        while self.readings.len() > MAX_READINGS
            || self.readings.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.readings.pop_front();
        }
    }

    /// Takes note of when the backend server will have warmed up.
    pub(super) fn warm_up(&mut self, warm_at: Duration) {
        self.warm_at = warm_at;
    }

    /// Lets the last reading count on for a while.
    pub(super) fn stretch(&mut self, now: Duration) {
        self.stretched_until = now + READING_MEMORY;
    }

    /// Speed at present; backend servers that state none have the usual one.
    pub(super) fn speed(&self, now: Duration) -> VmSpeed {
        let Some((at, slowness)) = self.readings.back() else {
            return VmSpeed::Usual;
        };
        let is_fresh = now.saturating_sub(*at) < READING_MEMORY || now < self.stretched_until;
        let base = self.base();
        if !is_fresh {
            VmSpeed::Unknown
        } else if *slowness >= base * BURST_RATIO {
            VmSpeed::Burst
        } else if base >= BURST_RATIO {
            VmSpeed::Lasting
        } else {
            VmSpeed::Usual
        }
    }

    /// Moment from which a fresh reading may tell something new; `None` if the
    /// present one lets calls start.
    pub(super) fn reading_due(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.readings.back()?;
        match self.speed(now) {
            VmSpeed::Usual | VmSpeed::Lasting => None,
            VmSpeed::Unknown => Some(now),
            VmSpeed::Burst => Some((*at + READING_MEMORY).max(self.stretched_until)),
        }
    }

    /// Lowest slowness of the last while, 1 as long as that is too short and
    /// the backend server is warm.
    pub(super) fn base(&self) -> f64 {
        let span = match (self.readings.front(), self.readings.back()) {
            (Some((first, _)), Some((last, _))) => last.saturating_sub(*first),
            _ => Duration::ZERO,
        };
        let is_cold = (self.readings.back()).is_some_and(|(last, _)| *last < self.warm_at);
        if span < BASE_SPAN && !is_cold {
            return 1.0;
        }
        let lowest = self.readings.iter().map(|(_, slowness)| *slowness);
        lowest.fold(f64::INFINITY, f64::min).max(1.0)
    }
}

#[cfg(test)]
mod tests;
