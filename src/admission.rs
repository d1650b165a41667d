//! Admission at the gate: how much runs at once, what waits, what is refused.
//!
//! The limit on work in flight follows the capacity that other users of the
//! host leave ([`CapacityLimit`]). What doesn't fit waits in a short queue in
//! order of arrival. A call is refused at once, and never runs, when the queue
//! is full, when its service or team has used up its share, or when the
//! estimated wait and the shortest known run don't fit into its time left.
//!
//! The wait is estimated from the mean latency of completed calls or, if that
//! is longer, the mean age of the calls at work: after a sudden stall no call
//! completes, and only the ages tell.

mod latency;
mod limit;
mod share;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};
use latency::LatencyEstimate;
use limit::CapacityLimit;

pub use share::{ShareKey, ShareTable, WorkShare};

/// Queued calls for each call that the limit lets run.
const QUEUE_PER_RUNNING: u32 = 2;
/// Longest estimated wait that a call is queued for.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Shortest wait that a refusal names.
const SHORTEST_RETRY: Duration = Duration::from_millis(1);
/// Wait that a refusal names while the gate drains.
const DRAIN_RETRY: Duration = Duration::from_secs(1);

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

/// One call that asks to run.
#[derive(Debug, Clone)]
pub struct CallOffer {
    /// Call that asks.
    pub call: CallId,
    /// Shares of the work at this gate that the call counts against.
    pub shares: Vec<WorkShare>,
    /// Time left until the call's time limit.
    pub time_left: Duration,
}

/// Decision on a [`CallOffer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call runs now.
    Start,
    /// The call waits; it starts out of [`AdmissionQueue::finish`] or leaves
    /// by [`AdmissionQueue::withdraw`] or [`AdmissionQueue::expire`].
    Queued {
        /// Time that the call is expected to wait.
        estimated_wait: Duration,
    },
    /// The call does not run.
    Refused {
        /// Reason.
        kind: ErrorKind,
        /// Time after which the present backlog is expected to be gone.
        retry_after: Duration,
    },
}

/// How a call left the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkResult {
    /// Whole answer.
    Completed {
        /// Time from start to whole answer.
        latency: Duration,
    },
    /// No whole answer; says nothing of the capacity.
    Failed,
    /// Cut at the caller's wish or at its time limit.
    Cancelled,
}

/// Load of a gate, as it rides on each answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLoad {
    /// Calls at work.
    pub in_flight: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Present limit on calls at work.
    pub limit: u32,
}

#[derive(Debug)]
struct WaitingCall {
    call: CallId,
    shares: Vec<WorkShare>,
    /// Last moment at which a start can still be answered in time.
    expires_at: Duration,
}

#[derive(Debug)]
struct RunningCall {
    shares: Vec<WorkShare>,
    started_at: Duration,
}

/// Calls at work and in the queue of one gate.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    limit: CapacityLimit,
    shares: ShareTable,
    running: BTreeMap<CallId, RunningCall>,
    waiting: VecDeque<WaitingCall>,
    latency: LatencyEstimate,
    /// Sum of the start times of the calls at work.
    start_sum: Duration,
    /// Slowness of the VM as last stated, and when.
    slowness: Option<(Duration, f64)>,
    is_draining: bool,
}

impl AdmissionQueue {
    /// Makes an idle gate whose limit is its slots.
    pub fn new(slots: SlotCount, options: AdmissionOptions) -> Self {
        Self {
            options,
            limit: CapacityLimit::new(slots, options.is_adaptive),
            shares: ShareTable::default(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            latency: LatencyEstimate::default(),
            start_sum: Duration::ZERO,
            slowness: None,
            is_draining: false,
        }
    }

    /// Decides on a call.
    pub fn offer(&mut self, now: Duration, offer: CallOffer) -> Admission {
        if self.is_draining {
            return refusal(ErrorKind::Draining, DRAIN_RETRY);
        }
        if !self.shares.has_room(&offer.shares, self.room()) {
            let retry_after = self.latency_estimate(now);
            return refusal(ErrorKind::ShareExceeded, retry_after);
        }
        if self.waiting.is_empty() && self.in_flight() < self.limit.get() {
            self.shares.take(&offer.shares);
            self.run(now, offer.call, offer.shares);
            return Admission::Start;
        }
        self.enqueue(now, offer)
    }

    fn enqueue(&mut self, now: Duration, offer: CallOffer) -> Admission {
        let wait = self.estimated_wait(now);
        if self.queued() >= self.queue_room() {
            return refusal(ErrorKind::Overloaded, wait);
        }
        let time_to_wait = offer.time_left.saturating_sub(self.latency.shortest());
        if wait > time_to_wait.min(self.options.longest_wait) {
            return refusal(ErrorKind::WaitTooLong, wait);
        }
        self.shares.take(&offer.shares);
        self.waiting.push_back(WaitingCall {
            call: offer.call,
            shares: offer.shares,
            expires_at: now + time_to_wait,
        });
        Admission::Queued {
            estimated_wait: wait,
        }
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
            self.latency.note(latency);
            self.limit.note_completed(now, latency, in_flight);
        }
        self.start_waiting(now)
    }

    /// Takes a queued call out; returns whether it was in the queue.
    pub fn withdraw(&mut self, _now: Duration, call: CallId) -> bool {
        let Some(index) = self.waiting.iter().position(|entry| entry.call == call) else {
            return false;
        };
        if let Some(entry) = self.waiting.remove(index) {
            self.shares.give_back(&entry.shares);
        }
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
                self.waiting.push_back(entry);
            }
        }
        expired
    }

    /// Time at which [`expire`](Self::expire) has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.waiting.iter().map(|entry| entry.expires_at).min()
    }

    /// Takes note of how slow the VM is at present, against the usual.
    pub fn note_slowness(&mut self, now: Duration, slowness: f64) {
        self.slowness = Some((now, slowness));
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
    pub fn load(&self) -> GateLoad {
        GateLoad {
            in_flight: self.in_flight(),
            queued: self.queued(),
            limit: self.limit.get(),
        }
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

    fn run(&mut self, now: Duration, call: CallId, shares: Vec<WorkShare>) {
        let entry = RunningCall {
            shares,
            started_at: now,
        };
        self.start_sum += now;
        self.running.insert(call, entry);
    }

    fn start_waiting(&mut self, now: Duration) -> Vec<CallId> {
        let mut started = Vec::new();
        let mut index = 0;
        while self.in_flight() < self.limit.get() && index < self.waiting.len() {
            if self.waiting[index].expires_at <= now {
                index += 1;
                continue;
            }
            if let Some(entry) = self.waiting.remove(index) {
                self.run(now, entry.call, entry.shares);
                started.push(entry.call);
            }
        }
        started
    }

    fn latency_estimate(&self, now: Duration) -> Duration {
        let mean = self.latency.mean();
        let Some(mean_start) = self.start_sum.checked_div(self.in_flight()) else {
            return mean;
        };
        mean.max(now.saturating_sub(mean_start))
    }

    /// Time until a call that joins the queue now is expected to start.
    fn estimated_wait(&self, now: Duration) -> Duration {
        let limit = self.limit.get();
        let excess = self.in_flight().saturating_sub(limit);
        let ahead = self.queued() + excess + 1;
        self.latency_estimate(now)
            .mul_f64(f64::from(ahead) / f64::from(limit))
    }
}

fn refusal(kind: ErrorKind, retry_after: Duration) -> Admission {
    Admission::Refused {
        kind,
        retry_after: retry_after.max(SHORTEST_RETRY),
    }
}

#[cfg(test)]
mod tests;
