//! Record of one call and the permit to run it.

use crate::ids::CallId;

/// Where a call stands that was opened before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPhase {
    /// In the queue.
    Waiting,
    /// At work in the backend server.
    Running,
    /// Ran and ended.
    Ended,
}

/// State of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Opened, not started.
    Waiting,
    /// Started.
    Running,
    /// Ran to a whole answer.
    Answered,
    /// Started, and ended without a whole answer.
    Unanswered,
    /// Never started and never will (a tombstone).
    Tombstone,
}

impl RecordState {
    pub(super) fn phase(self) -> CallPhase {
        match self {
            Self::Waiting => CallPhase::Waiting,
            Self::Running => CallPhase::Running,
            Self::Answered | Self::Unanswered | Self::Tombstone => CallPhase::Ended,
        }
    }
}

/// What the ledger holds for one call.
#[derive(Debug)]
pub(super) struct CallRecord {
    /// State of the call.
    pub(super) state: RecordState,
    /// Whether a second run does no harm.
    pub(super) is_idempotent: bool,
}

impl CallRecord {
    pub(super) fn waiting(idempotent: bool) -> Self {
        Self {
            state: RecordState::Waiting,
            is_idempotent: idempotent,
        }
    }
}

/// Permit to hand one call to the backend server, given out once for each call.
///
/// It can't be copied, and ending the run consumes it.
#[derive(Debug)]
#[must_use = "a run that is not ended stays at work in the ledger"]
pub struct RunPermit {
    call: CallId,
}

impl RunPermit {
    pub(super) fn new(call: CallId) -> Self {
        Self { call }
    }

    /// Call that may run.
    pub fn call(&self) -> CallId {
        self.call
    }

    pub(super) fn into_call(self) -> CallId {
        self.call
    }
}
