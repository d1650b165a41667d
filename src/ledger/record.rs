//! Record of one call in the ledger, and the permit to run it.

use crate::ids::CallId;

/// Phase of a call that was opened before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPhase {
    /// In the admission queue.
    Waiting,
    /// Handed to the backend server.
    Running,
    /// Ran and ended.
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Opened, not started.
    Waiting,
    /// Has its run permit.
    Running,
    /// Ran; the complete response fitted one frame and was passed to the cache.
    EndedWithResponse,
    /// Started, and ended without a response to cache: it failed, was aborted, or
    /// its response took several frames.
    EndedWithoutResponse,
    /// Never started and must never be.
    Tombstone,
}

impl RecordState {
    pub(super) fn phase(self) -> CallPhase {
        match self {
            Self::Waiting => CallPhase::Waiting,
            Self::Running => CallPhase::Running,
            Self::EndedWithResponse | Self::EndedWithoutResponse | Self::Tombstone => {
                CallPhase::Ended
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct CallRecord {
    pub(super) state: RecordState,
    /// Whether the call may be run more than once.
    pub(super) is_idempotent: bool,
}

impl CallRecord {
    pub(super) fn waiting(is_idempotent: bool) -> Self {
        Self {
            state: RecordState::Waiting,
            is_idempotent,
        }
    }
}

/// Permission to send one call to the backend server, granted once per call.
///
/// It can't be copied, and ending the run consumes it.
#[derive(Debug)]
#[must_use = "a run that is never ended stays in the running state"]
pub struct RunPermit {
    call: CallId,
}

impl RunPermit {
    pub(super) fn new(call: CallId) -> Self {
        Self { call }
    }

    /// Call that the permit is for.
    pub fn call(&self) -> CallId {
        self.call
    }

    pub(super) fn into_call(self) -> CallId {
        self.call
    }
}
