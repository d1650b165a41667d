//! Admission at the rate that a backend server named.
//!
//! Answers the load of a fleet that offers one backend server many times the rate that
//! it takes: calls start evenly at that rate, the most urgent first, and each other
//! call is refused as soon as its turn is known to come too late. Calls of the same rank
//! wait in the order of their deadlines, so that an ingress with many would keep out
//! those of the others: an ingress with at least two calls fewer here gets the last
//! place of the one with the most.

use std::collections::BTreeMap;
use std::time::Duration;

use super::speed::VmSpeed;
use super::{AdmissionQueue, QueuePriority};
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

    /// Whether a request that is needed to learn the rate may be sent ahead of the calls,
    /// as at most this many starts are in arrears.
    pub fn may_send_ahead(&self, now: Duration, max_arrears: u32) -> bool {
        self.pacer
            .rate()
            .is_none_or(|rate| self.pacer.time_to_start(now, 0) <= rate.interval() * max_arrears)
    }

    /// Rate of starts in force.
    pub fn start_rate(&self) -> Option<StartRate> {
        self.pacer.rate()
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

    /// Expected wait with one call fewer ahead; `None` without a named rate.
    pub(super) fn wait_without_one_ahead(&self, wait: Duration) -> Option<Duration> {
        let rate = self.pacer.rate()?;
        Some(wait.saturating_sub(rate.interval()))
    }

    /// At a named rate, evicts the last queued call of the ingress with the most here, if
    /// the ingress of `call` has at least two fewer and that call is no more urgent; returns
    /// whether it did.
    pub(super) fn evict_of_busiest_ingress(
        &mut self,
        call: CallId,
        priority: QueuePriority,
    ) -> bool {
        if self.pacer.rate().is_none() {
            return false;
        }
        let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
        let queued_calls = self.queue.iter().map(|queued_call| queued_call.call);
        for known_call in queued_calls.chain(self.running.keys().copied()) {
            *counts.entry(known_call.ingress_incarnation).or_default() += 1;
        }
        let own_count = counts
            .get(&call.ingress_incarnation)
            .copied()
            .unwrap_or_default();
        let Some((busiest, count)) = counts.into_iter().max_by_key(|(_, count)| *count) else {
            return false;
        };
        let candidates = (0..self.queue.len()).filter(|index| {
            let queued_call = &self.queue[*index];
            queued_call.call.ingress_incarnation == busiest
                && queued_call.priority.rank >= priority.rank
        });
        let last = candidates.max_by_key(|index| self.queue[*index].priority);
        match last {
            Some(index) if count >= own_count + 2 => {
                self.evict(index);
                true
            }
            _ => false,
        }
    }

    /// Evicts the queued calls whose turn comes too late for them.
    pub(super) fn evict_late_turns(&mut self, now: Duration) {
        if self.pacer.rate().is_none() {
            return;
        }
        let order = if self.is_fair() {
            self.fair_indices(now)
        } else {
            let mut order: Vec<usize> = (0..self.queue.len()).collect();
            order.sort_by_key(|index| {
                let queued_call = &self.queue[*index];
                (
                    self.would_miss_target(now, queued_call),
                    queued_call.priority,
                )
            });
            order
        };
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
