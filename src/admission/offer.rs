//! What a gate is asked and what it answers.

use std::time::Duration;

use super::CapacityShare;
use crate::error::ErrorKind;
use crate::ids::CallId;

/// One call that asks to run.
#[derive(Debug, Clone)]
pub struct CallOffer {
    /// Call that asks.
    pub call: CallId,
    /// Shares of the work at this gate that the call counts against.
    pub shares: Vec<CapacityShare>,
    /// Time left until the call's time limit.
    pub time_left: Duration,
    /// Time left until the call's target latency.
    pub target_left: Duration,
    /// Rank among the calls; 0 goes first.
    pub rank: u32,
    /// Class of calls that take about the same time.
    pub class: String,
    /// Share of the slots up to which the call may start now, at the usual
    /// speed; beyond it the call is refused, and its ingress asks elsewhere.
    /// `None` for a call that may wait.
    pub no_wait_slot_share: Option<f64>,
}

impl CallOffer {
    /// Call of no special class or rank.
    pub fn with_defaults(call: CallId, time_left: Duration) -> Self {
        Self {
            call,
            shares: Vec::new(),
            time_left,
            target_left: time_left,
            rank: 0,
            class: String::new(),
            no_wait_slot_share: None,
        }
    }
}

/// What an estimate needs to know of a call.
#[derive(Debug, Clone, Copy)]
pub struct EstimateRequest<'a> {
    /// Rank among the calls; 0 goes first.
    pub rank: u32,
    /// Time left until the call's target latency.
    pub target_left: Duration,
    /// Class of calls that take about the same time.
    pub class: &'a str,
}

/// Decision on a [`CallOffer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Start,
    /// The call waits; it starts out of [`finish`](super::AdmissionQueue::finish) or leaves
    /// by [`withdraw`](super::AdmissionQueue::withdraw) or [`expire`](super::AdmissionQueue::expire).
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
        /// Time in which the call would be expected to be answered here.
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
    /// Whether the VM is slow at present.
    pub is_slow: bool,
}
