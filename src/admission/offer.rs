//! Input and output types of the admission queue.

use std::time::Duration;

use super::CapacityShare;
use crate::error::ErrorKind;
use crate::ids::CallId;
use crate::rate_limit::StartRate;

/// A call offered for admission.
#[derive(Debug, Clone)]
pub struct CallOffer {
    /// Identity of the call.
    pub call: CallId,
    /// Capacity shares that the call counts against.
    pub shares: Vec<CapacityShare>,
    /// Time left until the call's time limit.
    pub time_left: Duration,
    /// Time left until the call's target latency.
    pub target_left: Duration,
    /// Priority rank; 0 is the highest.
    pub rank: u32,
    /// Name of a class of calls with similar run times.
    pub class: String,
    /// Tenant of the caller; empty if there is none.
    pub tenant: String,
    /// Makes this a no-wait call: it starts at once, at normal speed and within
    /// this share (0 to 1) of the slots, or is refused, and its ingress asks
    /// another gate. It waits for a fresh reading of the speed only. `None` for
    /// a call that may be queued.
    pub no_wait_slot_share: Option<f64>,
    /// Whether the call already runs elsewhere. Such a call takes nothing of a rate
    /// that the backend server named.
    pub is_hedge: bool,
    /// Whether the call must not be cut by a planned stop. Without it, the call is
    /// admitted if it is expected to end before the stop.
    pub avoids_stop: bool,
}

impl CallOffer {
    /// Call of the highest rank in the unnamed class; its target latency is its
    /// time limit, and it may be queued.
    pub fn with_defaults(call: CallId, time_left: Duration) -> Self {
        Self {
            call,
            shares: Vec::new(),
            time_left,
            target_left: time_left,
            rank: 0,
            class: String::new(),
            tenant: String::new(),
            no_wait_slot_share: None,
            is_hedge: false,
            avoids_stop: false,
        }
    }
}

/// Properties of a call that its wait estimate depends on.
#[derive(Debug, Clone, Copy)]
pub struct EstimateRequest<'a> {
    /// Priority rank; 0 is the highest.
    pub rank: u32,
    /// Time left until the call's target latency.
    pub target_left: Duration,
    /// Name of a class of calls with similar run times.
    pub class: &'a str,
    /// Tenant of the caller; empty if there is none.
    pub tenant: &'a str,
}

/// Decision on a [`CallOffer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call starts now.
    Start,
    /// The call is queued. The methods of [`AdmissionQueue`](super::AdmissionQueue) that return
    /// started calls start it, or it leaves the queue by eviction,
    /// [`withdraw`](super::AdmissionQueue::withdraw) or [`expire`](super::AdmissionQueue::expire).
    Queued {
        /// Expected time until the call starts.
        estimated_wait: Duration,
    },
    /// The call does not run.
    Refused {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// Time until the current backlog is expected to be worked off.
        retry_after: Duration,
        /// Expected wait and run time, had the call been admitted.
        estimated_response_time: Duration,
    },
}

impl AdmissionDecision {
    /// Short name for log lines and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Queued { .. } => "queue",
            Self::Refused { .. } => "refuse",
        }
    }
}

/// How a call's run at the backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkResult {
    /// The answer arrived complete.
    Completed {
        /// Time from the start of the run to its complete answer.
        latency: Duration,
    },
    /// No complete answer; not counted as a latency sample.
    Failed,
    /// Cancelled by the caller or at its time limit.
    Cancelled,
    /// Nothing of it was sent to the backend server.
    NotSent,
}

/// Load of a gate, sent along with each answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateLoad {
    /// Running calls.
    pub in_flight: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Whether the last reading of the VM's speed is fresh and shows a burst.
    pub is_slow: bool,
    /// Rate of starts that the backend server named; `None` if it is not limited.
    pub start_rate: Option<StartRate>,
    /// Time until that rate lets a call start that is queued behind the others.
    pub next_start: Duration,
}
