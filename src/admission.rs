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
use classes::{ClassId, ClassTimes};
use limit::CapacityLimit;
use speed::{SpeedHistory, VmSpeed};

pub use latency::LatencyEstimate;
pub use offer::{Admission, CallOffer, CallOutline, GateLoad, WorkResult};
pub use share::{ShareKey, ShareTable, WorkShare};

/// Queued calls for each call that the limit lets run.
const QUEUE_PER_RUNNING: u32 = 2;
/// Longest estimated wait that a call is queued for.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Shortest wait that a refusal names.
const SHORTEST_RETRY: Duration = Duration::from_millis(1);
/// Wait that a refusal names while the gate drains.
const DRAIN_RETRY: Duration = Duration::from_secs(1);

/// Time that the rest of a burst is expected to take.
const BURST_REST: Duration = Duration::from_millis(75);
/// Multiple of its usual time within which nearly every run of a class ends,
/// also one that a neighbour's bursts hold up.
const STOP_MARGIN: u32 = 3;

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone, Copy)]
pub struct AdmissionOptions {
    /// Queued calls for each call that the limit lets run.
    pub queue_per_running: u32,
    /// Longest estimated wait that a call is queued for.
    pub longest_wait: Duration,
    /// Whether the limit follows the latency; otherwise it is the slots.
    pub is_adaptive: bool,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            queue_per_running: QUEUE_PER_RUNNING,
            longest_wait: LONGEST_WAIT,
            is_adaptive: true,
        }
    }
}

#[derive(Debug)]
struct WaitingCall {
    call: CallId,
    shares: Vec<WorkShare>,
    place: QueuePlace,
    class: ClassId,
    /// Whether the target latency is sooner than the time limit.
    has_target: bool,
    /// Last moment at which a start can still be answered in time.
    expires_at: Duration,
    /// Share of the slots up to which the call may start, if it only asks.
    ask_share: Option<f64>,
}

/// Where a call stands among those that wait: the highest rank goes first, and
/// in it the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    rank: u32,
    /// Moment of the target latency, or of the time limit if that is sooner.
    target_at: Duration,
}

#[derive(Debug)]
struct RunningCall {
    shares: Vec<WorkShare>,
    class: ClassId,
    started_at: Duration,
}

/// Calls at work and in the queue of one gate.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    limit: CapacityLimit,
    shares: ShareTable,
    running: BTreeMap<CallId, RunningCall>,
    waiting: Vec<WaitingCall>,
    /// Calls that had to leave the queue for others.
    evicted: Vec<CallId>,
    times: ClassTimes,
    /// Sum of the start times of the calls at work.
    start_sum: Duration,
    /// What the backend server has stated of its speed.
    speed: SpeedHistory,
    is_draining: bool,
    /// Moment at which the node stops, if it does.
    stop_at: Option<Duration>,
}

impl AdmissionQueue {
    /// Makes an idle gate whose limit is its slots.
    pub fn new(slots: SlotCount, options: AdmissionOptions) -> Self {
        Self {
            options,
            limit: CapacityLimit::new(slots, options.is_adaptive),
            shares: ShareTable::default(),
            running: BTreeMap::new(),
            waiting: Vec::new(),
            evicted: Vec::new(),
            times: ClassTimes::default(),
            start_sum: Duration::ZERO,
            speed: SpeedHistory::default(),
            is_draining: false,
            stop_at: None,
        }
    }

    /// Decides on a call.
    pub fn offer(&mut self, now: Duration, offer: CallOffer) -> Admission {
        if self.is_draining {
            return refusal(ErrorKind::Draining, DRAIN_RETRY, DRAIN_RETRY);
        }
        if !self.shares.has_room(&offer.shares, self.room()) {
            let retry_after = self.latency_estimate(now);
            return refusal(ErrorKind::ShareExceeded, retry_after, retry_after);
        }
        let shortest = self.scaled(self.times.shortest_of(&offer.class));
        if offer.time_left < shortest {
            // No run of its class was ever so short; its caller is told now.
            let finish = self.scaled(self.times.usual_of(&offer.class));
            return refusal(ErrorKind::WaitTooLong, finish, finish);
        }
        if self.would_outlast_stop(now, &offer.class) {
            return refusal(ErrorKind::WaitTooLong, DRAIN_RETRY, offer.time_left);
        }
        if self.waiting.is_empty() && self.in_flight() < self.limit.get() {
            match self.speed.speed(now) {
                VmSpeed::Usual | VmSpeed::Lasting if self.may_start(now, offer.ask_share) => {
                    self.shares.take(&offer.shares);
                    let class = self.times.open(&offer.class);
                    self.run(now, offer.call, offer.shares, class);
                    return Admission::Start;
                }
                VmSpeed::Usual | VmSpeed::Lasting => {
                    let finish = self.scaled(self.times.usual_of(&offer.class));
                    return refusal(ErrorKind::Overloaded, SHORTEST_RETRY, finish);
                }
                VmSpeed::Burst | VmSpeed::Unknown => {}
            }
        }
        self.enqueue(now, offer)
    }

    fn enqueue(&mut self, now: Duration, offer: CallOffer) -> Admission {
        self.evict_late(now);
        let place = QueuePlace {
            rank: offer.rank,
            target_at: now + offer.target_left.min(offer.time_left),
        };
        let wait = self.estimated_wait(now, place);
        let finish = wait + self.scaled(self.times.usual_of(&offer.class));
        let is_unread =
            self.in_flight() < self.limit.get() && self.speed.speed(now) == VmSpeed::Unknown;
        if offer.ask_share.is_some() && !is_unread {
            return refusal(ErrorKind::Overloaded, wait, finish);
        }
        let shortest = self.scaled(self.times.shortest_of(&offer.class));
        let time_to_wait = offer.time_left.saturating_sub(shortest);
        let has_target = offer.target_left < offer.time_left;
        // A call that holds up no other is let in also when it will be late.
        let limit_of_finish = if self.has_room() {
            offer.time_left
        } else {
            offer.target_left
        };
        let is_late = finish > limit_of_finish && has_target;
        if wait > time_to_wait.min(self.options.longest_wait) || is_late {
            return refusal(ErrorKind::WaitTooLong, wait, finish);
        }
        if self.queued() >= self.queue_room() && !self.evict_below(offer.rank) {
            return refusal(ErrorKind::Overloaded, wait, finish);
        }
        self.shares.take(&offer.shares);
        let class = self.times.open(&offer.class);
        self.waiting.push(WaitingCall {
            call: offer.call,
            shares: offer.shares,
            place,
            class,
            has_target,
            expires_at: now + time_to_wait,
            ask_share: offer.ask_share,
        });
        Admission::Queued {
            estimated_wait: wait,
        }
    }

    /// Makes room in the queue at the cost of a call of lower rank.
    fn evict_below(&mut self, rank: u32) -> bool {
        let lowest = (0..self.waiting.len()).max_by_key(|index| self.waiting[*index].place.rank);
        let Some(index) = lowest.filter(|index| self.waiting[*index].place.rank > rank) else {
            return false;
        };
        self.evict(index);
        true
    }

    fn evict(&mut self, index: usize) {
        let entry = self.waiting.remove(index);
        self.shares.give_back(&entry.shares);
        self.evicted.push(entry.call);
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
        let Some(ended) = self.running.remove(&call) else {
            return Vec::new();
        };
        self.start_sum = self.start_sum.saturating_sub(ended.started_at);
        self.shares.give_back(&ended.shares);
        if let WorkResult::Completed { latency } = result {
            // Estimates are for the usual speed, and scaled when it is another.
            let usual = latency.div_f64(self.speed.base());
            self.times.note(ended.class, latency, usual);
            self.limit.note_completed(now, latency, in_flight);
        }
        self.start_waiting(now)
    }

    /// Takes a queued call out; returns whether it was in the queue.
    pub fn withdraw(&mut self, _now: Duration, call: CallId) -> bool {
        let Some(index) = self.waiting.iter().position(|entry| entry.call == call) else {
            return false;
        };
        let entry = self.waiting.remove(index);
        self.shares.give_back(&entry.shares);
        true
    }

    /// Takes out the queued calls that can't be answered in time any more.
    ///
    /// They never ran and are to be refused with [`ErrorKind::TimedOut`].
    pub fn expire(&mut self, now: Duration) -> Vec<CallId> {
        let mut expired = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for entry in waiting {
            if entry.expires_at <= now {
                self.shares.give_back(&entry.shares);
                expired.push(entry.call);
            } else {
                self.waiting.push(entry);
            }
        }
        expired
    }

    /// Time at which [`expire`](Self::expire) has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.waiting.iter().map(|entry| entry.expires_at).min()
    }

    /// Takes note of how slow the VM is at present, against the usual; returns
    /// the queued calls that start now.
    pub fn note_slowness(&mut self, now: Duration, slowness: f64) -> Vec<CallId> {
        self.speed.note(now, slowness);
        self.start_waiting(now)
    }

    /// Takes note of when the backend server will have warmed up.
    pub fn warm_up(&mut self, warm_at: Duration) {
        self.speed.warm_up(warm_at);
    }

    /// Forgets the speed of a backend server that another has taken the place of.
    pub fn forget_speed(&mut self) {
        self.speed = SpeedHistory::default();
    }

    /// Moment from which a reading of the VM's speed would let a queued call
    /// start or be refused; `None` if nothing waits for one.
    pub fn reading_due(&self, now: Duration) -> Option<Duration> {
        let is_held = !self.waiting.is_empty() && self.in_flight() < self.limit.get();
        self.speed.reading_due(now).filter(|_| is_held)
    }

    /// Goes on without a reading that can't be had; returns the queued calls
    /// that start now.
    pub fn start_unread(&mut self, now: Duration) -> Vec<CallId> {
        self.speed.stretch(now);
        self.start_waiting(now)
    }

    /// Takes note of the moment at which the node stops.
    pub fn stop_at(&mut self, moment: Duration) {
        self.stop_at = Some(moment);
    }

    /// Whether a call that starts now could still be at work when the node
    /// stops.
    fn would_outlast_stop(&self, now: Duration, class: &str) -> bool {
        let longest = self.scaled(self.times.usual_of(class)) * STOP_MARGIN;
        self.stop_at.is_some_and(|stop_at| now + longest > stop_at)
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
        self.limit.set_slots(slots);
        self.start_waiting(now)
    }

    /// Present load.
    pub fn load(&self, now: Duration) -> GateLoad {
        GateLoad {
            in_flight: self.in_flight(),
            queued: self.queued(),
            limit: self.limit.get(),
            is_slow: self.speed.speed(now) == VmSpeed::Burst,
        }
    }

    /// Whether the slots suffice for all calls and one more.
    fn has_room(&self) -> bool {
        self.in_flight() + self.queued() < self.limit.get()
    }

    /// Whether a call may start: one that asks only at the usual speed and, with
    /// it, within its share of the slots.
    fn may_start(&self, now: Duration, ask_share: Option<f64>) -> bool {
        let Some(share) = ask_share else {
            return true;
        };
        if self.speed.speed(now) == VmSpeed::Lasting {
            return false;
        }
        let room = (f64::from(self.limit.get()) * share).max(1.0);
        f64::from(self.in_flight() + 1) <= room
    }

    /// Time that a run is expected to take at present, by its usual time.
    fn scaled(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.speed.base())
    }

    /// Time that a run of the class is expected to take at present.
    fn run_estimate(&self, class: ClassId) -> Duration {
        self.scaled(self.times.usual(class))
    }

    /// Times in which a call would be expected to start and to be answered.
    pub fn estimate(&self, now: Duration, call: &CallOutline<'_>) -> (Duration, Duration) {
        let place = QueuePlace {
            rank: call.rank,
            target_at: now + call.target_left,
        };
        let wait = self.estimated_wait(now, place).max(SHORTEST_RETRY);
        (wait, wait + self.scaled(self.times.usual_of(call.class)))
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn queue_room(&self) -> u32 {
        self.limit
            .get()
            .saturating_mul(self.options.queue_per_running)
    }

    fn room(&self) -> u32 {
        self.limit.get().saturating_add(self.queue_room())
    }

    fn run(&mut self, now: Duration, call: CallId, shares: Vec<WorkShare>, class: ClassId) {
        let entry = RunningCall {
            shares,
            class,
            started_at: now,
        };
        self.start_sum += now;
        self.running.insert(call, entry);
    }

    fn start_waiting(&mut self, now: Duration) -> Vec<CallId> {
        let mut started = Vec::new();
        let speed = self.speed.speed(now);
        let is_open = matches!(speed, VmSpeed::Usual | VmSpeed::Lasting);
        while is_open && self.in_flight() < self.limit.get() {
            let Some(index) = self.next_to_start(now) else {
                break;
            };
            if !self.may_start(now, self.waiting[index].ask_share) {
                self.evict(index);
                continue;
            }
            let entry = self.waiting.remove(index);
            self.run(now, entry.call, entry.shares, entry.class);
            started.push(entry.call);
        }
        if matches!(speed, VmSpeed::Burst | VmSpeed::Lasting)
            || self.in_flight() >= self.limit.get()
        {
            self.evict_asking();
        }
        if !started.is_empty() && self.in_flight() >= self.limit.get() {
            self.evict_late(now);
        }
        started
    }

    /// Turns away the calls that only ask.
    fn evict_asking(&mut self) {
        for index in (0..self.waiting.len()).rev() {
            if self.waiting[index].ask_share.is_some() {
                self.evict(index);
            }
        }
    }

    /// The most urgent call of the highest rank that can meet its target;
    /// without one, the most urgent of the others.
    fn next_to_start(&self, now: Duration) -> Option<usize> {
        let open = (0..self.waiting.len()).filter(|index| self.waiting[*index].expires_at > now);
        open.min_by_key(|index| {
            let entry = &self.waiting[*index];
            (self.is_late(now, entry), entry.place)
        })
    }

    fn is_late(&self, now: Duration, entry: &WaitingCall) -> bool {
        entry.has_target && now + self.run_estimate(entry.class) > entry.place.target_at
    }

    /// Turns away what can't meet its target after a slot has gone to another.
    fn evict_late(&mut self, now: Duration) {
        for index in (0..self.waiting.len()).rev() {
            if self.is_late(now, &self.waiting[index]) {
                self.evict(index);
            }
        }
    }

    /// Mean time of the runs at work, or the time that they have been at work
    /// if that is longer.
    fn latency_estimate(&self, now: Duration) -> Duration {
        let runs = self.running.values();
        let expected: Duration = runs.map(|run| self.run_estimate(run.class)).sum();
        let (Some(expected), Some(mean_start)) = (
            expected.checked_div(self.in_flight()),
            self.start_sum.checked_div(self.in_flight()),
        ) else {
            return self.times.mean();
        };
        expected.max(now.saturating_sub(mean_start))
    }

    /// Time until a call that takes such a place in the queue now is expected
    /// to start: what the calls at work leave of a slot's turn, then the runs
    /// of the calls before it.
    fn estimated_wait(&self, now: Duration, place: QueuePlace) -> Duration {
        let limit = self.limit.get();
        let burst = match self.speed.speed(now) {
            VmSpeed::Burst => BURST_REST,
            VmSpeed::Usual | VmSpeed::Lasting | VmSpeed::Unknown => Duration::ZERO,
        };
        let before = self.waiting.iter().filter(|entry| entry.place <= place);
        let (mut count, mut work) = (0, Duration::ZERO);
        for entry in before {
            count += 1;
            work += self.run_estimate(entry.class);
        }
        if self.in_flight() + count < limit {
            return burst;
        }
        let excess = self.in_flight().saturating_sub(limit) + 1;
        let turn = self.latency_estimate(now) * excess + work;
        burst + turn / limit.max(1)
    }
}

fn refusal(kind: ErrorKind, retry_after: Duration, finish: Duration) -> Admission {
    Admission::Refused {
        kind,
        retry_after: retry_after.max(SHORTEST_RETRY),
        estimated_finish: finish,
    }
}

#[cfg(test)]
mod tests;
