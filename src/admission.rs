//! Admission control at the gate of a backend server: which calls start, which
//! wait in the queue and which are refused.
//!
//! The calls in flight are bounded by a concurrency limit, which follows the
//! capacity that other tenants of the host leave. Calls beyond it wait in a
//! bounded queue. A call is refused at once, and never runs, when the queue is
//! full, when its service or team has used up its share, or when its estimated
//! wait and run time exceed its time left.
//!
//! Under overload, first-come-first-served order makes every call miss its
//! deadline. A free slot therefore goes to the queued call of the highest rank
//! that can still meet its target latency, earliest deadline first. Calls that
//! can no longer meet it get the slots that are left over, and are refused as
//! soon as a slot goes to another call, while their caller has time to retry.
//!
//! Backend servers may report the slowdown of their VM. A run that starts in a
//! neighbour's burst stays slow to its end, although the burst is short. So no
//! call starts while a reading shows a burst: no-wait calls are refused, the
//! others wait for the end of the burst. A free slot is assigned only on a fresh
//! reading; without one the gate takes a reading first.
//!
//! The wait is estimated from the calls ahead in the queue, by the normal run
//! time of their class, and from the running calls, by the longer of that time
//! and their mean age: after a sudden stall no call completes, and only the ages
//! show it. A short call with an early deadline, such as a nested call that a
//! run elsewhere waits for, is therefore not refused because of a queue that it
//! overtakes. A call with less time left than the shortest run of its class is
//! refused before it takes a slot.
//!
//! A backend server may name a limit on its requests per second
//! ([`rate_limit`](crate::rate_limit)). Then a call also waits for its turn at that
//! rate, in the same order. Since the turn of each queued call is known, a call that
//! others have overtaken is refused as soon as its turn comes too late for it. Calls
//! start on the last reading of the speed then, as a further reading would cost a start.
//!
//! Short calls among long ones hold a slot for a fraction of the time for which
//! they wait for one. Refusing such a call because of its target latency frees
//! hardly any capacity, and if a run elsewhere waits for it, that run's slot time
//! is lost with it. Short calls therefore wait up to their time limit.
//!
//! Where calls carry tenants, the slots are divided between ranks and tenants, and some
//! stay reserved for short and urgent calls ([`fair_order`]). Without tenants the order
//! above applies unchanged.

mod classes;
mod eviction;
mod fair_order;
mod fairness;
mod latency;
mod limit;
mod offer;
mod rate;
mod reserve;
mod share;
mod speed;
mod succession;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};
use crate::rate_limit::{ReturnSchedule, StartPacer};
use classes::{ClassId, ClassRunTimes};
use fair_order::{RankReport, TenantShare};
use fairness::FairShares;
use limit::ConcurrencyLimit;
use reserve::SlotReserve;
use speed::{SpeedHistory, VmSpeed};

pub use fair_order::RefusedRanks;
pub use latency::LatencyEstimate;
pub use offer::{AdmissionDecision, CallOffer, EstimateRequest, GateLoad, WorkResult};
pub use share::{CapacityShare, ShareOwner, ShareUsage};

/// Queue capacity as a multiple of the concurrency limit.
const MAX_QUEUED_PER_RUNNING: u32 = 2;
/// Calls with a longer estimated wait are refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);
/// Retry delay of calls that are refused because the node drains or stops.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Added to wait estimates during a burst, for the time until it ends.
const EXPECTED_BURST_REMAINDER: Duration = Duration::from_millis(75);
/// Run time assumed before the first run, as a fraction of the call's time to its
/// target latency.
const UNKNOWN_RUN_TIME_DIVISOR: u32 = 2;
/// A call is short if the running calls take this multiple of its run time.
const SHORT_CALL_RATIO: u32 = 4;
/// Nearly every run ends within this multiple of the normal run time of its
/// class, also when a neighbour's bursts slow it down.
const MAX_RUN_TIME_FACTOR: u32 = 3;

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone, Copy)]
pub struct AdmissionOptions {
    /// Queue capacity as a multiple of the concurrency limit.
    pub max_queued_per_running: u32,
    /// Calls with a longer estimated wait are refused.
    pub max_queue_wait: Duration,
    /// Whether the concurrency limit follows the latency; if not, it equals the
    /// number of slots.
    pub is_adaptive: bool,
    /// Whether the slots are divided between ranks and tenants once calls of tenants
    /// arrive. If not, the order is the same with and without tenants, so that tests can
    /// compare the two.
    pub is_fair: bool,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            max_queued_per_running: MAX_QUEUED_PER_RUNNING,
            max_queue_wait: MAX_QUEUE_WAIT,
            is_adaptive: true,
            is_fair: true,
        }
    }
}

#[derive(Debug)]
struct QueuedCall {
    call: CallId,
    shares: Vec<CapacityShare>,
    share: TenantShare,
    priority: QueuePriority,
    class: ClassId,
    /// Whether the call is evicted once it would miss its target latency, which
    /// ends before the time limit. A short call is not.
    gives_way_past_target: bool,
    /// End of the time limit.
    time_limit_at: Duration,
    /// Latest start that can still be answered within the time limit, and before a planned
    /// stop.
    expires_at: Duration,
    /// See [`CallOffer::no_wait_slot_share`].
    no_wait_slot_share: Option<f64>,
}

/// Sort key of the queue: the highest rank first (0), then the earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    rank: u32,
    /// End of the target latency or of the time limit, whichever is earlier.
    target_deadline: Duration,
}

#[derive(Debug)]
struct RunningCall {
    shares: Vec<CapacityShare>,
    share: TenantShare,
    class: ClassId,
    started_at: Duration,
}

/// Running and queued calls of one gate. Times are offsets from any fixed origin.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    concurrency_limit: ConcurrencyLimit,
    shares: ShareUsage,
    running: BTreeMap<CallId, RunningCall>,
    queue: Vec<QueuedCall>,
    /// Calls evicted from the queue that the gate has not refused yet.
    evicted: Vec<CallId>,
    run_times: ClassRunTimes,
    /// Sum of the start times of the running calls, for their mean age.
    start_time_sum: Duration,
    /// Slowdowns that the backend server reported.
    speed_history: SpeedHistory,
    /// Spaces the starts at the rate that the backend server named.
    pacer: StartPacer,
    /// Return times of the callers that were refused because of that rate.
    returns: ReturnSchedule,
    fair_shares: FairShares,
    slot_reserve: SlotReserve,
    rank_report: RankReport,
    is_draining: bool,
    /// Time at which the node stops; `None` if no stop is planned.
    stop_time: Option<Duration>,
}

impl AdmissionQueue {
    /// Queue without calls; the concurrency limit starts at the number of slots.
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
            pacer: StartPacer::default(),
            returns: ReturnSchedule::default(),
            fair_shares: FairShares::new(options.is_fair),
            slot_reserve: SlotReserve::default(),
            rank_report: RankReport::default(),
            is_draining: false,
            stop_time: None,
        }
    }

    /// Starts, queues or refuses a call.
    pub fn offer(&mut self, now: Duration, offer: CallOffer) -> AdmissionDecision {
        let facts = self.observe_offer(now, &offer);
        let decision = self.decide(now, offer);
        if let Some(facts) = facts {
            self.record_decision(now, &facts, &decision);
        }
        decision
    }

    fn decide(&mut self, now: Duration, offer: CallOffer) -> AdmissionDecision {
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
            self.at_baseline_speed(now, self.run_times.shortest_run_time_of(&offer.class));
        let run_time = self.estimated_run_time(now, &offer.class, offer.target_left);
        if offer.time_left < shortest_run_time {
            // Shorter than any run of its class: refused before it takes a slot.
            return refusal(ErrorKind::WaitTooLong, run_time, run_time);
        }
        if self.would_outlast_stop(now, &offer) {
            return refusal(ErrorKind::WaitTooLong, DRAIN_RETRY_AFTER, offer.time_left);
        }
        if offer.is_hedge && self.pacer.rate().is_some() {
            // The rate is for calls that have no other run.
            let wait = self.pacer.time_to_start(now, self.queued());
            return refusal(ErrorKind::Overloaded, wait, wait + run_time);
        }
        let has_slot = self.in_flight() < self.concurrency_limit.get();
        let may_start_first = has_slot
            && self.pacer.is_free(now)
            && self.may_overtake_queue(now, &offer)
            && self.leaves_reserve(now, &offer);
        if may_start_first {
            match self.speed_for_start(now) {
                VmSpeed::Normal | VmSpeed::SustainedSlow
                    if self.may_start(now, offer.no_wait_slot_share) =>
                {
                    self.shares.acquire(&offer.shares);
                    let class = self.run_times.intern(&offer.class);
                    let share = TenantShare::new(offer.rank, offer.tenant);
                    self.start_run(now, offer.call, offer.shares, share, class);
                    return AdmissionDecision::Start;
                }
                VmSpeed::Normal | VmSpeed::SustainedSlow => {
                    return refusal(ErrorKind::Overloaded, MIN_RETRY_AFTER, run_time);
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
        let request = EstimateRequest {
            rank: offer.rank,
            target_left: offer.target_left.min(offer.time_left),
            class: &offer.class,
            tenant: &offer.tenant,
        };
        let mut wait = if self.is_fair() {
            self.fair_wait(now, &request)
        } else {
            self.estimated_wait(now, priority)
        };
        let run_time = self.estimated_run_time(now, &offer.class, offer.target_left);
        let awaits_reading = self.in_flight() < self.concurrency_limit.get()
            && self.pacer.is_free(now)
            && self.speed_for_start(now) == VmSpeed::Unknown;
        if offer.no_wait_slot_share.is_some() && !awaits_reading {
            return refusal(ErrorKind::Overloaded, wait, wait + run_time);
        }
        let shortest_run_time =
            self.at_baseline_speed(now, self.run_times.shortest_run_time_of(&offer.class));
        let max_wait = offer.time_left.saturating_sub(shortest_run_time);
        let max_wait = max_wait.min(self.max_wait_before_stop(now, &offer));
        let has_target_latency = offer.target_left < offer.time_left;
        let is_nested = self.is_nested_call(&offer.tenant);
        let max_response_time = if is_nested || self.admits_past_target(now, &offer.class) {
            offer.time_left
        } else {
            offer.target_left
        };
        let max_queue_wait = self.options.max_queue_wait;
        let is_too_long = |wait: Duration| {
            let misses_target = wait + run_time > max_response_time && has_target_latency;
            wait > max_wait.min(max_queue_wait) || misses_target
        };
        if is_too_long(wait)
            && let Some(shorter_wait) = self.wait_without_one_ahead(wait)
            && !is_too_long(shorter_wait)
            && self.evict_of_busiest_ingress(offer.call, priority)
        {
            wait = shorter_wait;
        }
        let response_time = wait + run_time;
        if is_too_long(wait) {
            let retry_after = self.spread_return_time(now, &request, wait, offer.time_left);
            return refusal(ErrorKind::WaitTooLong, retry_after, response_time);
        }
        if self.queued() >= self.queue_capacity()
            && !self.evict_less_urgent(now, &request)
            && !self.evict_of_busiest_ingress(offer.call, priority)
        {
            let retry_after = self.spread_return_time(now, &request, wait, offer.time_left);
            return refusal(ErrorKind::Overloaded, retry_after, response_time);
        }
        self.shares.acquire(&offer.shares);
        let gives_way_past_target =
            has_target_latency && !is_nested && !self.is_short_call(&offer.class);
        let class = self.run_times.intern(&offer.class);
        self.queue.push(QueuedCall {
            call: offer.call,
            shares: offer.shares,
            share: TenantShare::new(offer.rank, offer.tenant),
            priority,
            class,
            gives_way_past_target,
            time_limit_at: now + offer.time_left,
            expires_at: now + max_wait,
            no_wait_slot_share: offer.no_wait_slot_share,
        });
        self.evict_late_turns(now);
        self.evict_overtaken(now);
        if self.take_evicted_offer(offer.call) {
            return refusal(ErrorKind::WaitTooLong, wait, response_time);
        }
        AdmissionDecision::Queued {
            estimated_wait: wait,
        }
    }

    /// Ends a running call and frees its slot; returns the queued calls that
    /// start now.
    pub fn finish(&mut self, now: Duration, call: CallId, result: WorkResult) -> Vec<CallId> {
        let in_flight = self.in_flight_with_reserve();
        let Some(finished_call) = self.running.remove(&call) else {
            return Vec::new();
        };
        self.start_time_sum = self.start_time_sum.saturating_sub(finished_call.started_at);
        self.shares.release(&finished_call.shares);
        let slot_time = now.saturating_sub(finished_call.started_at);
        self.settle_charge(&finished_call.share, slot_time);
        if result == WorkResult::NotSent {
            self.pacer.return_start();
        }
        if let WorkResult::Completed { latency } = result {
            // Run times are stored for normal speed; estimates scale them by the
            // baseline slowdown at that time.
            let normal_run_time = latency.div_f64(self.speed_history.baseline_slowdown(now));
            self.run_times.record(finished_call.class, normal_run_time);
            // The throughput at a named rate says nothing about the slots.
            if self.pacer.rate().is_none() {
                self.concurrency_limit
                    .record_completed(now, latency, in_flight);
            }
        }
        let started = self.start_queued(now);
        if self.is_fair() {
            self.evaluate_refused_ranks(now);
        }
        started
    }

    /// Removes a call from the queue; returns whether it was queued.
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

    /// Removes and returns the queued calls that can no longer be answered
    /// within their time limit.
    ///
    /// They never ran and must be refused with [`ErrorKind::TimedOut`].
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

    /// Time at which the next call [expires](Self::expire); `None` if the queue
    /// is empty.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue
            .iter()
            .map(|queued_call| queued_call.expires_at)
            .min()
    }

    /// Records a reading of the VM's slowdown, as a multiple of normal run
    /// times; returns the queued calls that start now.
    pub fn record_slowdown(&mut self, now: Duration, slowdown: f64) -> Vec<CallId> {
        self.speed_history.record(now, slowdown);
        self.start_queued(now)
    }

    /// Sets the time at which the backend server has warmed up.
    pub fn set_warm_up_end(&mut self, warm_up_ends_at: Duration) {
        self.speed_history.set_warm_up_end(warm_up_ends_at);
    }

    /// Sets the slowdown assumed without readings: that of a cold backend server, or 1.
    pub fn set_assumed_slowdown(&mut self, slowdown: f64) {
        self.speed_history.set_assumed_slowdown(slowdown);
    }

    /// Discards the readings of a backend server that was replaced.
    pub fn reset_speed_history(&mut self) {
        self.speed_history = SpeedHistory::default();
    }

    /// Time from which a reading of the VM's speed would let a queued call
    /// start or be refused; `None` if no call waits for one.
    pub fn next_reading_at(&self, now: Duration) -> Option<Duration> {
        let has_call_to_start = self.in_flight() < self.concurrency_limit.get()
            && self.pacer.rate().is_none()
            && self.has_startable_call(now);
        self.speed_history
            .next_reading_at(now)
            .filter(|_| has_call_to_start)
    }

    /// Reuses the last reading because no fresh one is available; returns the
    /// queued calls that start now.
    pub fn start_without_reading(&mut self, now: Duration) -> Vec<CallId> {
        self.speed_history.extend_last_reading(now);
        self.start_queued(now)
    }

    /// Refuses from now on calls that may still run when the node stops, and evicts those
    /// that are queued.
    pub fn set_stop_time(&mut self, stop_time: Duration) {
        self.stop_time = Some(stop_time);
        for index in (0..self.queue.len()).rev() {
            if self.queue[index].time_limit_at > stop_time {
                self.evict(index);
            }
        }
    }

    /// Time until the planned stop, if a call with this time limit could still run then.
    pub fn time_to_stop(&self, now: Duration, time_left: Duration) -> Option<Duration> {
        let stop_time = self.stop_time?;
        (now + time_left > stop_time).then(|| stop_time.saturating_sub(now))
    }

    /// Whether a call that starts now could still run when the node stops.
    fn would_outlast_stop(&self, now: Duration, offer: &CallOffer) -> bool {
        let Some(time_to_stop) = self.time_to_stop(now, offer.time_left) else {
            return false;
        };
        offer.avoids_stop || self.longest_run_time(now, &offer.class) > time_to_stop
    }

    /// Longest wait after which a call is expected to end before the node stops.
    fn max_wait_before_stop(&self, now: Duration, offer: &CallOffer) -> Duration {
        self.time_to_stop(now, offer.time_left)
            .map_or(offer.time_left, |time_to_stop| {
                time_to_stop.saturating_sub(self.longest_run_time(now, &offer.class))
            })
    }

    /// Time within which nearly every run of the class ends; zero before the first run.
    fn longest_run_time(&self, now: Duration, class: &str) -> Duration {
        let run_time = self.run_times.known_run_time_of(class).unwrap_or_default();
        self.at_baseline_speed(now, run_time) * MAX_RUN_TIME_FACTOR
    }

    /// Refuses all new calls; queued and running calls end normally.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether [`drain`](Self::drain) was called.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Changes the number of slots; returns the queued calls that start now.
    pub fn set_slots(&mut self, now: Duration, slots: SlotCount) -> Vec<CallId> {
        self.concurrency_limit.set_slots(slots);
        self.start_queued(now)
    }

    /// Current load, as reported to other nodes.
    pub fn load(&self, now: Duration) -> GateLoad {
        GateLoad {
            in_flight: self.in_flight(),
            queued: self.queued(),
            limit: self.concurrency_limit.get(),
            is_slow: self.speed_history.current_speed(now) == VmSpeed::Burst,
            start_rate: self.pacer.rate(),
            next_start: self.pacer.time_to_start(now, self.queued()),
        }
    }

    /// Whether a call that would miss its target latency is queued nevertheless: one
    /// that delays no other, or a short one.
    pub fn admits_past_target(&self, now: Duration, class: &str) -> bool {
        let is_below_limit = self.in_flight() + self.queued() < self.concurrency_limit.get();
        (is_below_limit && self.pacer.is_free(now)) || self.is_short_call(class)
    }

    /// Whether runs of the class are known to be short beside the running calls.
    ///
    /// At a named rate a short call takes as much of it as a long one.
    fn is_short_call(&self, class: &str) -> bool {
        if self.pacer.rate().is_some() {
            return false;
        }
        let runs = self.running.values();
        let running_time: Duration = runs
            .map(|run| self.run_times.normal_run_time(run.class))
            .sum();
        self.run_times
            .class_run_time_of(class)
            .is_some_and(|run_time| run_time * SHORT_CALL_RATIO * self.in_flight() < running_time)
    }

    /// Whether a call may start: a no-wait call only at normal speed and while
    /// the running calls, itself included, are within its share of the slots.
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

    /// Scales a run time at normal speed by the baseline slowdown of the VM.
    fn at_baseline_speed(&self, now: Duration, normal_run_time: Duration) -> Duration {
        normal_run_time.mul_f64(self.speed_history.baseline_slowdown(now))
    }

    /// Expected run time of the class, bursts aside.
    fn expected_run_time(&self, now: Duration, class: ClassId) -> Duration {
        self.at_baseline_speed(now, self.run_times.normal_run_time(class))
    }

    /// Expected run time of an offered call. A gate without any runs yet must not
    /// seem to have the shortest, or calls would prefer its queue to others.
    fn estimated_run_time(&self, now: Duration, class: &str, target_left: Duration) -> Duration {
        match self.run_times.known_run_time_of(class) {
            Some(run_time) => self.at_baseline_speed(now, run_time),
            None => target_left / UNKNOWN_RUN_TIME_DIVISOR,
        }
    }

    /// Expected times until a call would start and until it would be answered,
    /// if it were queued now.
    pub fn estimate_wait_and_response(
        &self,
        now: Duration,
        call: &EstimateRequest<'_>,
    ) -> (Duration, Duration) {
        let priority = QueuePriority {
            rank: call.rank,
            target_deadline: now + call.target_left,
        };
        let wait = if self.is_fair() {
            self.fair_wait(now, call)
        } else {
            self.estimated_wait(now, priority)
        };
        let wait = wait.max(MIN_RETRY_AFTER);
        (
            wait,
            wait + self.estimated_run_time(now, call.class, call.target_left),
        )
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn queue_capacity(&self) -> u32 {
        let by_slots = self
            .concurrency_limit
            .get()
            .saturating_mul(self.options.max_queued_per_running);
        by_slots.min(self.startable_within(self.options.max_queue_wait))
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
        mut share: TenantShare,
        class: ClassId,
    ) {
        self.charge_start(now, class, &mut share);
        let running_call = RunningCall {
            shares,
            share,
            class,
            started_at: now,
        };
        self.start_time_sum += now;
        self.pacer.record_start(now);
        self.running.insert(call, running_call);
    }

    fn start_queued(&mut self, now: Duration) -> Vec<CallId> {
        let mut started = Vec::new();
        let speed = self.speed_for_start(now);
        let can_start = matches!(speed, VmSpeed::Normal | VmSpeed::SustainedSlow);
        while can_start
            && self.in_flight() < self.concurrency_limit.get()
            && self.pacer.is_free(now)
        {
            let Some(index) = self.next_start_index(now) else {
                break;
            };
            if !self.may_start(now, self.queue[index].no_wait_slot_share) {
                self.evict(index);
                continue;
            }
            let queued_call = self.queue.remove(index);
            let call = queued_call.call;
            self.start_run(
                now,
                call,
                queued_call.shares,
                queued_call.share,
                queued_call.class,
            );
            started.push(call);
        }
        if matches!(speed, VmSpeed::Burst | VmSpeed::SustainedSlow)
            || self.in_flight() >= self.concurrency_limit.get()
            || !self.pacer.is_free(now)
        {
            self.evict_no_wait_calls();
        }
        if !started.is_empty() && self.in_flight() >= self.concurrency_limit.get() {
            self.evict_target_misses(now);
        }
        self.evict_late_turns(now);
        started
    }

    /// Queue index of the first call by [`QueuePriority`] that can still meet
    /// its target; without such a call, of the first among the others.
    fn next_start_index(&self, now: Duration) -> Option<usize> {
        if self.is_fair() {
            return self.next_fair_start(now);
        }
        let not_expired = (0..self.queue.len()).filter(|index| self.queue[*index].expires_at > now);
        not_expired.min_by_key(|index| {
            let queued_call = &self.queue[*index];
            (
                self.would_miss_target(now, queued_call),
                queued_call.priority,
            )
        })
    }

    /// Mean expected run time of the running calls, or their mean age if that
    /// is longer.
    fn running_latency_estimate(&self, now: Duration) -> Duration {
        let runs = self.running.values();
        let normal_run_time: Duration = runs
            .map(|run| self.run_times.normal_run_time(run.class))
            .sum();
        let expected_run_time = self.at_baseline_speed(now, normal_run_time);
        let (Some(expected_run_time), Some(mean_start)) = (
            expected_run_time.checked_div(self.in_flight()),
            self.start_time_sum.checked_div(self.in_flight()),
        ) else {
            return self.at_baseline_speed(now, self.run_times.overall_mean());
        };
        expected_run_time.max(now.saturating_sub(mean_start))
    }

    /// Expected time until a burst of a neighbour ends, if there is one.
    fn burst_remainder(&self, now: Duration) -> Duration {
        match self.speed_history.current_speed(now) {
            VmSpeed::Burst => EXPECTED_BURST_REMAINDER,
            VmSpeed::Normal | VmSpeed::SustainedSlow | VmSpeed::Unknown => Duration::ZERO,
        }
    }

    /// Expected time until a call of this priority starts, if it is queued now:
    /// until a running call frees a slot, plus the run times of the queued calls
    /// ahead of it, spread over the slots.
    fn estimated_wait(&self, now: Duration, priority: QueuePriority) -> Duration {
        let limit = self.concurrency_limit.get();
        let burst_remainder = self.burst_remainder(now);
        let calls_ahead = self
            .queue
            .iter()
            .filter(|queued_call| queued_call.priority <= priority);
        let (mut count_ahead, mut normal_run_time_ahead) = (0, Duration::ZERO);
        for queued_call in calls_ahead {
            count_ahead += 1;
            normal_run_time_ahead += self.run_times.normal_run_time(queued_call.class);
        }
        let run_time_ahead = self.at_baseline_speed(now, normal_run_time_ahead);
        let time_to_turn = self.pacer.time_to_start(now, count_ahead);
        if self.in_flight() + count_ahead < limit {
            return burst_remainder.max(time_to_turn);
        }
        let slots_to_free = self.in_flight().saturating_sub(limit) + 1;
        let total_work = self.running_latency_estimate(now) * slots_to_free + run_time_ahead;
        time_to_turn.max(burst_remainder + total_work / limit.max(1))
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
