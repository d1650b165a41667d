//! Admission at the rate that a backend server named.
//!
//! Answers the load of a fleet that offers one backend server many times the rate that
//! it takes: calls start evenly at that rate, the most urgent first, and each other
//! call is refused as soon as its turn is known to come too late.

use std::time::Duration;

use super::AdmissionQueue;
use super::speed::VmSpeed;
use crate::ids::CallId;
use crate::rate_limit::StartRate;

impl AdmissionQueue {
    /// Replaces the rate of starts; returns the queued calls that start now.
    pub fn set_start_rate(&mut self, now: Duration, rate: Option<StartRate>) -> Vec<CallId> {
        self.pacer.set_rate(now, rate);
        self.concurrency_limit.restart_window(now);
        self.start_queued(now)
    }

    /// Counts a request that reaches the backend server without having been admitted,
    /// such as a load poll or a resend.
    pub fn record_extra_request(&mut self, now: Duration) {
        self.pacer.record_start(now);
    }

    /// Time at which a queued call may start or must be refused; `None` if no call
    /// waits for the rate.
    pub fn next_turn_at(&self, now: Duration) -> Option<Duration> {
        let is_waiting = self.pacer.rate().is_some() && !self.queue.is_empty();
        let next_expiry = self.next_expiry().filter(|_| is_waiting)?;
        if self.in_flight() >= self.concurrency_limit.get() {
            return Some(next_expiry);
        }
        let turn_at = now + self.pacer.time_to_start(now, 0);
        let burst_ends_at = match self.speed_for_start(now) {
            VmSpeed::Burst => self.speed_history.next_reading_at(now).unwrap_or(now),
            VmSpeed::Normal | VmSpeed::SustainedSlow | VmSpeed::Unknown => now,
        };
        Some(turn_at.max(burst_ends_at).min(next_expiry))
    }

    /// Removes the calls that have waited too long, which must be refused with
    /// [`ErrorKind::TimedOut`](crate::error::ErrorKind::TimedOut), and starts those
    /// whose turn it is; returns both.
    pub fn take_turns(&mut self, now: Duration) -> (Vec<CallId>, Vec<CallId>) {
        let expired_calls = self.expire(now);
        (expired_calls, self.start_queued(now))
    }

    /// Removes all calls from the queue; they never ran.
    pub fn clear_queue(&mut self) {
        for index in (0..self.queue.len()).rev() {
            self.evict(index);
        }
    }

    /// Speed by which a start is decided. A named rate leaves no requests for readings.
    pub(super) fn speed_for_start(&self, now: Duration) -> VmSpeed {
        match self.speed_history.current_speed(now) {
            VmSpeed::Unknown if self.pacer.rate().is_some() => VmSpeed::Normal,
            speed => speed,
        }
    }

    /// Calls that the rate lets start within this time, at least one.
    pub(super) fn startable_within(&self, time: Duration) -> u32 {
        let Some(rate) = self.pacer.rate() else {
            return u32::MAX;
        };
        let starts = time.as_secs_f64() / rate.interval().as_secs_f64();
        (starts.ceil() as u32).max(1)
    }

    /// Time after which a refused caller should return: at a named rate a time of its
    /// own, otherwise the estimated wait.
    pub fn return_time(&mut self, now: Duration, wait: Duration, time_left: Duration) -> Duration {
        match self.pacer.rate() {
            Some(rate) => self.returns.reserve(now, rate, wait, time_left),
            None => wait,
        }
    }

    /// Evicts the queued calls whose turn comes too late for them.
    pub(super) fn evict_late_turns(&mut self, now: Duration) {
        if self.pacer.rate().is_none() {
            return;
        }
        let mut order: Vec<usize> = (0..self.queue.len()).collect();
        order.sort_by_key(|index| {
            let queued_call = &self.queue[*index];
            (
                self.would_miss_target(now, queued_call),
                queued_call.priority,
            )
        });
        let mut late_indices = Vec::new();
        let mut calls_ahead = 0;
        for index in order {
            let turn_at = now + self.pacer.time_to_start(now, calls_ahead);
            let queued_call = &self.queue[index];
            let is_late = queued_call.expires_at < turn_at
                || (calls_ahead > 0 && self.would_miss_target(turn_at, queued_call));
            if is_late {
                late_indices.push(index);
            } else {
                calls_ahead += 1;
            }
        }
        late_indices.sort_unstable();
        for index in late_indices.into_iter().rev() {
            self.evict(index);
        }
    }
}
