//! Admission at the gate: how much runs at once, what waits, what is refused.
//!
//! The limit on work in flight follows the capacity that other users of the
//! host leave ([`CapacityLimit`]). What doesn't fit waits in a short queue. A
//! call is refused at once, and never runs, when the queue is full, when its
//! service or team has used up its share, or when the estimated wait and the
//! time of a run don't fit into its time left.
//!
//! Load at its worst is more than the slots can do in time. Serving in order
//! of arrival then serves nobody in time, so a free slot goes to the call of
//! the highest rank that can still meet its target latency, the most urgent
//! first. Calls that can't meet it any more get what is left over, and are
//! refused as soon as a slot has gone to another: they are told while there is
//! time to come back.
//!
//! Where backend servers state how slow their VM is, a run that starts in a
//! neighbour's burst is slow to its end, while the burst itself is over soon.
//! So nothing starts on a reading that says slow: calls that ask are refused,
//! the others wait for the burst to end. A free slot is only given away on a
//! fresh reading; without one the gate takes a reading first.
//!
//! The wait is estimated from the calls that go before, by the usual time of
//! their class, and from the runs at work, by that or, if it is longer, by their
//! mean age: after a sudden stall no call completes, and only the ages tell. A
//! short urgent call, such as one that a run elsewhere waits for, is therefore
//! not refused for the sake of a queue that it passes. A call that no run of its
//! class could serve in time is refused before it takes a slot.

mod classes;
mod latency;
mod limit;
mod offer;
mod share;
mod speed;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};
use classes::{ClassId, ClassRunTimes};
use limit::ConcurrencyLimit;
use speed::{SpeedHistory, VmSpeed};

pub use latency::LatencyEstimate;
pub use offer::{AdmissionDecision, CallOffer, EstimateRequest, GateLoad, WorkResult};
pub use share::{CapacityShare, ShareOwner, ShareUsage};

/// Queued calls for each call that the limit lets run.
const MAX_QUEUED_PER_RUNNING: u32 = 2;
/// Longest estimated wait that a call is queued for.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);
/// Shortest wait that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);
/// Wait that a refusal names while the gate drains.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time that the rest of a burst is expected to take.
const EXPECTED_BURST_REMAINDER: Duration = Duration::from_millis(75);
/// Multiple of its usual time within which nearly every run of a class ends,
/// also one that a neighbour's bursts hold up.
const MAX_RUN_TIME_FACTOR: u32 = 3;

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone, Copy)]
pub struct AdmissionOptions {
    /// Queued calls for each call that the limit lets run.
    pub max_queued_per_running: u32,
    /// Longest estimated wait that a call is queued for.
    pub max_queue_wait: Duration,
    /// Whether the limit follows the latency; otherwise it is the slots.
    pub is_adaptive: bool,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            max_queued_per_running: MAX_QUEUED_PER_RUNNING,
            max_queue_wait: MAX_QUEUE_WAIT,
            is_adaptive: true,
        }
    }
}

#[derive(Debug)]
struct QueuedCall {
    call: CallId,
    shares: Vec<CapacityShare>,
    priority: QueuePriority,
    class: ClassId,
    /// Whether the target latency is sooner than the time limit.
    has_target_latency: bool,
    /// Last moment at which a start can still be answered in time.
    expires_at: Duration,
    /// Share of the slots up to which the call may start, if it only asks.
    no_wait_slot_share: Option<f64>,
}

/// Where a call stands among those that wait: the highest rank goes first, and
/// in it the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    rank: u32,
    /// Moment of the target latency, or of the time limit if that is sooner.
    target_deadline: Duration,
}

#[derive(Debug)]
struct RunningCall {
    shares: Vec<CapacityShare>,
    class: ClassId,
    started_at: Duration,
}

/// Calls at work and in the queue of one gate.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    concurrency_limit: ConcurrencyLimit,
    shares: ShareUsage,
    running: BTreeMap<CallId, RunningCall>,
    queue: Vec<QueuedCall>,
    /// Calls that had to leave the queue for others.
    evicted: Vec<CallId>,
    run_times: ClassRunTimes,
    /// Sum of the start times of the calls at work.
    start_time_sum: Duration,
    /// What the backend server has stated of its speed.
    speed_history: SpeedHistory,
    is_draining: bool,
    /// Moment at which the node stops, if it does.
    stop_time: Option<Duration>,
}

impl AdmissionQueue {
    /// Makes an idle gate whose limit is its slots.
    pub fn new(slots: SlotCount, options: AdmissionOptions) -> Self {
        Self {
            options,
            concurrency_limit: ConcurrencyLimit::new(slots, options.is_adaptive),
            shares: ShareUsage::default(),
            running: BTreeMap::new(),
            queue: Vec::new(),
            evicted: Vec::new(),
            run_times: ClassRunTimes::default(),
            start_time_sum: Duration::ZERO,
            speed_history: SpeedHistory::default(),
            is_draining: false,
            stop_time: None,
        }
    }

    /// Decides on a call.
    pub fn offer(&mut self, now: Duration, offer: CallOffer) -> AdmissionDecision {
        if self.is_draining {
            return refusal(ErrorKind::Draining, DRAIN_RETRY_AFTER, DRAIN_RETRY_AFTER);
        }
        if !self
            .shares
            .has_capacity(&offer.shares, self.total_capacity())
        {
            let retry_after = self.running_latency_estimate(now);
            return refusal(ErrorKind::ShareExceeded, retry_after, retry_after);
        }
        let shortest_run_time =
            self.at_baseline_speed(self.run_times.shortest_run_time_of(&offer.class));
        if offer.time_left < shortest_run_time {
            // No run of its class was ever so short; its caller is told now.
            let response_time =
                self.at_baseline_speed(self.run_times.normal_run_time_of(&offer.class));
            return refusal(ErrorKind::WaitTooLong, response_time, response_time);
        }
        if self.would_outlast_stop(now, &offer.class) {
            return refusal(ErrorKind::WaitTooLong, DRAIN_RETRY_AFTER, offer.time_left);
        }
        if self.queue.is_empty() && self.in_flight() < self.concurrency_limit.get() {
            match self.speed_history.current_speed(now) {
                VmSpeed::Normal | VmSpeed::SustainedSlow
                    if self.may_start(now, offer.no_wait_slot_share) =>
                {
                    self.shares.acquire(&offer.shares);
                    let class = self.run_times.intern(&offer.class);
                    self.start_run(now, offer.call, offer.shares, class);
                    return AdmissionDecision::Start;
                }
                VmSpeed::Normal | VmSpeed::SustainedSlow => {
                    let response_time =
                        self.at_baseline_speed(self.run_times.normal_run_time_of(&offer.class));
                    return refusal(ErrorKind::Overloaded, MIN_RETRY_AFTER, response_time);
                }
                VmSpeed::Burst | VmSpeed::Unknown => {}
            }
        }
        self.enqueue(now, offer)
    }

    fn enqueue(&mut self, now: Duration, offer: CallOffer) -> AdmissionDecision {
        self.evict_target_misses(now);
        let priority = QueuePriority {
            rank: offer.rank,
            target_deadline: now + offer.target_left.min(offer.time_left),
        };
        let wait = self.estimated_wait(now, priority);
        let response_time =
            wait + self.at_baseline_speed(self.run_times.normal_run_time_of(&offer.class));
        let awaits_reading = self.in_flight() < self.concurrency_limit.get()
            && self.speed_history.current_speed(now) == VmSpeed::Unknown;
        if offer.no_wait_slot_share.is_some() && !awaits_reading {
            return refusal(ErrorKind::Overloaded, wait, response_time);
        }
        let shortest_run_time =
            self.at_baseline_speed(self.run_times.shortest_run_time_of(&offer.class));
        let max_wait = offer.time_left.saturating_sub(shortest_run_time);
        let has_target_latency = offer.target_left < offer.time_left;
        // A call that holds up no other is let in also when it will be late.
        let max_response_time = if self.is_below_limit() {
            offer.time_left
        } else {
            offer.target_left
        };
        let misses_target = response_time > max_response_time && has_target_latency;
        if wait > max_wait.min(self.options.max_queue_wait) || misses_target {
            return refusal(ErrorKind::WaitTooLong, wait, response_time);
        }
        if self.queued() >= self.queue_capacity() && !self.evict_lower_rank(offer.rank) {
            return refusal(ErrorKind::Overloaded, wait, response_time);
        }
        self.shares.acquire(&offer.shares);
        let class = self.run_times.intern(&offer.class);
        self.queue.push(QueuedCall {
            call: offer.call,
            shares: offer.shares,
            priority,
            class,
            has_target_latency,
            expires_at: now + max_wait,
            no_wait_slot_share: offer.no_wait_slot_share,
        });
        AdmissionDecision::Queued {
            estimated_wait: wait,
        }
    }

    /// Makes room in the queue at the cost of a call of lower rank.
    fn evict_lower_rank(&mut self, rank: u32) -> bool {
        let lowest = (0..self.queue.len()).max_by_key(|index| self.queue[*index].priority.rank);
        let Some(index) = lowest.filter(|index| self.queue[*index].priority.rank > rank) else {
            return false;
        };
        self.evict(index);
        true
    }

    fn evict(&mut self, index: usize) {
        let evicted_call = self.queue.remove(index);
        self.shares.release(&evicted_call.shares);
        self.evicted.push(evicted_call.call);
    }

    /// Takes the calls that had to leave the queue; they never ran and are to
    /// be refused with [`ErrorKind::Overloaded`].
    pub fn take_evicted(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.evicted)
    }

    /// Takes note that a call at work ended; returns the queued calls that
    /// start now.
    pub fn finish(&mut self, now: Duration, call: CallId, result: WorkResult) -> Vec<CallId> {
        let in_flight = self.in_flight();
        let Some(finished_call) = self.running.remove(&call) else {
            return Vec::new();
        };
        self.start_time_sum = self.start_time_sum.saturating_sub(finished_call.started_at);
        self.shares.release(&finished_call.shares);
        if let WorkResult::Completed { latency } = result {
            // Estimates are for the usual speed, and scaled when it is another.
            let normal_run_time = latency.div_f64(self.speed_history.baseline_slowdown());
            self.run_times
                .record(finished_call.class, latency, normal_run_time);
            self.concurrency_limit
                .record_completed(now, latency, in_flight);
        }
        self.start_queued(now)
    }

    /// Takes a queued call out; returns whether it was in the queue.
    pub fn withdraw(&mut self, _now: Duration, call: CallId) -> bool {
        let Some(index) = self
            .queue
            .iter()
            .position(|queued_call| queued_call.call == call)
        else {
            return false;
        };
        let queued_call = self.queue.remove(index);
        self.shares.release(&queued_call.shares);
        true
    }

    /// Takes out the queued calls that can't be answered in time any more.
    ///
    /// They never ran and are to be refused with [`ErrorKind::TimedOut`].
    pub fn expire(&mut self, now: Duration) -> Vec<CallId> {
        let mut expired = Vec::new();
        let queue = std::mem::take(&mut self.queue);
        for queued_call in queue {
            if queued_call.expires_at <= now {
                self.shares.release(&queued_call.shares);
                expired.push(queued_call.call);
            } else {
                self.queue.push(queued_call);
            }
        }
        expired
    }

    /// Time at which [`expire`](Self::expire) has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue
            .iter()
            .map(|queued_call| queued_call.expires_at)
            .min()
    }

    /// Takes note of how slow the VM is at present, against the usual; returns
    /// the queued calls that start now.
    pub fn record_slowdown(&mut self, now: Duration, slowdown: f64) -> Vec<CallId> {
        self.speed_history.record(now, slowdown);
        self.start_queued(now)
    }

    /// Takes note of when the backend server will have warmed up.
    pub fn set_warm_up_end(&mut self, warm_up_ends_at: Duration) {
        self.speed_history.set_warm_up_end(warm_up_ends_at);
    }

    /// Forgets the speed of a backend server that another has taken the place of.
    pub fn reset_speed_history(&mut self) {
        self.speed_history = SpeedHistory::default();
    }

    /// Moment from which a reading of the VM's speed would let a queued call
    /// start or be refused; `None` if nothing waits for one.
    pub fn next_reading_at(&self, now: Duration) -> Option<Duration> {
        let has_call_to_start =
            !self.queue.is_empty() && self.in_flight() < self.concurrency_limit.get();
        self.speed_history
            .next_reading_at(now)
            .filter(|_| has_call_to_start)
    }

    /// Goes on without a reading that can't be had; returns the queued calls
    /// that start now.
    pub fn start_without_reading(&mut self, now: Duration) -> Vec<CallId> {
        self.speed_history.extend_last_reading(now);
        self.start_queued(now)
    }

    /// Takes note of the moment at which the node stops.
    pub fn set_stop_time(&mut self, stop_time: Duration) {
        self.stop_time = Some(stop_time);
    }

    /// Whether a call that starts now could still be at work when the node
    /// stops.
    fn would_outlast_stop(&self, now: Duration, class: &str) -> bool {
        let max_run_time =
            self.at_baseline_speed(self.run_times.normal_run_time_of(class)) * MAX_RUN_TIME_FACTOR;
        self.stop_time
            .is_some_and(|stop_time| now + max_run_time > stop_time)
    }

    /// Refuses everything from now on; what waits or runs ends normally.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether [`drain`](Self::drain) was called.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Takes new slots; returns the queued calls that start now.
    pub fn set_slots(&mut self, now: Duration, slots: SlotCount) -> Vec<CallId> {
        self.concurrency_limit.set_slots(slots);
        self.start_queued(now)
    }

    /// Present load.
    pub fn load(&self, now: Duration) -> GateLoad {
        GateLoad {
            in_flight: self.in_flight(),
            queued: self.queued(),
            limit: self.concurrency_limit.get(),
            is_slow: self.speed_history.current_speed(now) == VmSpeed::Burst,
        }
    }

    /// Whether the slots suffice for all calls and one more.
    fn is_below_limit(&self) -> bool {
        self.in_flight() + self.queued() < self.concurrency_limit.get()
    }

    /// Whether a call may start: one that asks only at the usual speed and, with
    /// it, within its share of the slots.
    fn may_start(&self, now: Duration, no_wait_slot_share: Option<f64>) -> bool {
        let Some(slot_share) = no_wait_slot_share else {
            return true;
        };
        if self.speed_history.current_speed(now) == VmSpeed::SustainedSlow {
            return false;
        }
        let max_running = (f64::from(self.concurrency_limit.get()) * slot_share).max(1.0);
        f64::from(self.in_flight() + 1) <= max_running
    }

    /// Time that a run is expected to take at present, by its usual time.
    fn at_baseline_speed(&self, normal_run_time: Duration) -> Duration {
        normal_run_time.mul_f64(self.speed_history.baseline_slowdown())
    }

    /// Time that a run of the class is expected to take at present.
    fn expected_run_time(&self, class: ClassId) -> Duration {
        self.at_baseline_speed(self.run_times.normal_run_time(class))
    }

    /// Times in which a call would be expected to start and to be answered.
    pub fn estimate_wait_and_response(
        &self,
        now: Duration,
        call: &EstimateRequest<'_>,
    ) -> (Duration, Duration) {
        let priority = QueuePriority {
            rank: call.rank,
            target_deadline: now + call.target_left,
        };
        let wait = self.estimated_wait(now, priority).max(MIN_RETRY_AFTER);
        (
            wait,
            wait + self.at_baseline_speed(self.run_times.normal_run_time_of(call.class)),
        )
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn queue_capacity(&self) -> u32 {
        self.concurrency_limit
            .get()
            .saturating_mul(self.options.max_queued_per_running)
    }

    fn total_capacity(&self) -> u32 {
        self.concurrency_limit
            .get()
            .saturating_add(self.queue_capacity())
    }

    fn start_run(
        &mut self,
        now: Duration,
        call: CallId,
        shares: Vec<CapacityShare>,
        class: ClassId,
    ) {
        let running_call = RunningCall {
            shares,
            class,
            started_at: now,
        };
        self.start_time_sum += now;
        self.running.insert(call, running_call);
    }

    fn start_queued(&mut self, now: Duration) -> Vec<CallId> {
        let mut started = Vec::new();
        let speed = self.speed_history.current_speed(now);
        let can_start = matches!(speed, VmSpeed::Normal | VmSpeed::SustainedSlow);
        while can_start && self.in_flight() < self.concurrency_limit.get() {
            let Some(index) = self.next_start_index(now) else {
                break;
            };
            if !self.may_start(now, self.queue[index].no_wait_slot_share) {
                self.evict(index);
                continue;
            }
            let queued_call = self.queue.remove(index);
            self.start_run(now, queued_call.call, queued_call.shares, queued_call.class);
            started.push(queued_call.call);
        }
        if matches!(speed, VmSpeed::Burst | VmSpeed::SustainedSlow)
            || self.in_flight() >= self.concurrency_limit.get()
        {
            self.evict_no_wait_calls();
        }
        if !started.is_empty() && self.in_flight() >= self.concurrency_limit.get() {
            self.evict_target_misses(now);
        }
        started
    }

    /// Turns away the calls that only ask.
    fn evict_no_wait_calls(&mut self) {
        for index in (0..self.queue.len()).rev() {
            if self.queue[index].no_wait_slot_share.is_some() {
                self.evict(index);
            }
        }
    }

    /// The most urgent call of the highest rank that can meet its target;
    /// without one, the most urgent of the others.
    fn next_start_index(&self, now: Duration) -> Option<usize> {
        let not_expired = (0..self.queue.len()).filter(|index| self.queue[*index].expires_at > now);
        not_expired.min_by_key(|index| {
            let queued_call = &self.queue[*index];
            (
                self.would_miss_target(now, queued_call),
                queued_call.priority,
            )
        })
    }

    fn would_miss_target(&self, now: Duration, queued_call: &QueuedCall) -> bool {
        queued_call.has_target_latency
            && now + self.expected_run_time(queued_call.class)
                > queued_call.priority.target_deadline
    }

    /// Turns away what can't meet its target after a slot has gone to another.
    fn evict_target_misses(&mut self, now: Duration) {
        for index in (0..self.queue.len()).rev() {
            if self.would_miss_target(now, &self.queue[index]) {
                self.evict(index);
            }
        }
    }

    /// Mean time of the runs at work, or the time that they have been at work
    /// if that is longer.
    fn running_latency_estimate(&self, now: Duration) -> Duration {
        let runs = self.running.values();
        let expected_run_time: Duration = runs.map(|run| self.expected_run_time(run.class)).sum();
        let (Some(expected_run_time), Some(mean_start)) = (
            expected_run_time.checked_div(self.in_flight()),
            self.start_time_sum.checked_div(self.in_flight()),
        ) else {
            return self.run_times.overall_mean();
        };
        expected_run_time.max(now.saturating_sub(mean_start))
    }

    /// Time until a call that takes such a place in the queue now is expected
    /// to start: what the calls at work leave of a slot's turn, then the runs
    /// of the calls before it.
    fn estimated_wait(&self, now: Duration, priority: QueuePriority) -> Duration {
        let limit = self.concurrency_limit.get();
        let burst_remainder = match self.speed_history.current_speed(now) {
            VmSpeed::Burst => EXPECTED_BURST_REMAINDER,
            VmSpeed::Normal | VmSpeed::SustainedSlow | VmSpeed::Unknown => Duration::ZERO,
        };
        let calls_ahead = self
            .queue
            .iter()
            .filter(|queued_call| queued_call.priority <= priority);
        let (mut count_ahead, mut run_time_ahead) = (0, Duration::ZERO);
        for queued_call in calls_ahead {
            count_ahead += 1;
            run_time_ahead += self.expected_run_time(queued_call.class);
        }
        if self.in_flight() + count_ahead < limit {
            return burst_remainder;
        }
        let slots_to_free = self.in_flight().saturating_sub(limit) + 1;
        let total_work = self.running_latency_estimate(now) * slots_to_free + run_time_ahead;
        burst_remainder + total_work / limit.max(1)
    }
}

fn refusal(kind: ErrorKind, retry_after: Duration, response_time: Duration) -> AdmissionDecision {
    AdmissionDecision::Refused {
        kind,
        retry_after: retry_after.max(MIN_RETRY_AFTER),
        estimated_response_time: response_time,
    }
}

#[cfg(test)]
mod tests;
