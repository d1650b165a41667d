//! At-most-once execution at the ingress: whether an attempt may have run.
//!
//! An attempt sends a call to one gate, under a call id of its own. It ends
//! with a response or an [`AttemptFailure`], and only this module decides which
//! failures are `NotRun`: the gate refused the attempt, cancelled it before it
//! started, or never received it and is still the same process. That process
//! keeps a tombstone and refuses the open message should it arrive late. A
//! restarted gate has lost its ledger, so nothing it reports about the attempt
//! counts. [`CallHistory`] covers all attempts of a call.

use crate::error::{ErrorKind, RunOutcome};
use crate::ids::NodeIncarnation;
use crate::retry::AttemptFailure;

/// State of a resumed attempt, as its gate reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeStatus {
    /// The gate never started the attempt and never will.
    NeverSeen,
    /// The gate has the attempt and continues it on the new link.
    Known,
    /// The attempt may have run and can't be continued.
    Forgotten,
}

/// What to do at or shortly before the deadline of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineAction {
    /// Cancel the attempt and wait for the reply until the deadline.
    Cancel,
    /// End the attempt with this failure.
    GiveUp(AttemptFailure),
}

/// State of one attempt that was sent on a link.
#[derive(Debug)]
pub struct AttemptState {
    gate_incarnation: NodeIncarnation,
    is_cancelled: bool,
}

impl AttemptState {
    /// State of an attempt sent to the gate process with this incarnation.
    pub fn new(gate_incarnation: NodeIncarnation) -> Self {
        Self {
            gate_incarnation,
            is_cancelled: false,
        }
    }

    /// Whether a cancel was sent to the gate.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    /// The gate refused the attempt.
    pub fn on_refused(&self, kind: ErrorKind) -> AttemptFailure {
        AttemptFailure::NotRun(kind)
    }

    /// The attempt failed after it may have run.
    pub fn on_aborted(&self, kind: ErrorKind) -> AttemptFailure {
        AttemptFailure::Unknown(kind)
    }

    /// A new link to the gate was opened after the old one was lost.
    ///
    /// # Errors
    ///
    /// The failure of the attempt if the gate has restarted.
    pub fn on_new_link(&self, gate_incarnation: NodeIncarnation) -> Result<(), AttemptFailure> {
        if gate_incarnation == self.gate_incarnation {
            Ok(())
        } else {
            Err(AttemptFailure::Unknown(ErrorKind::GateRestarted))
        }
    }

    /// The gate's reply to a resume, over a link that
    /// [`on_new_link`](Self::on_new_link) accepted.
    ///
    /// # Errors
    ///
    /// The failure of the attempt if it can't go on.
    pub fn on_resumed(&self, status: ResumeStatus) -> Result<(), AttemptFailure> {
        match status {
            ResumeStatus::Known => Ok(()),
            ResumeStatus::NeverSeen => Err(AttemptFailure::NotRun(ErrorKind::LinkLost)),
            ResumeStatus::Forgotten => Err(AttemptFailure::Unknown(ErrorKind::LinkLost)),
        }
    }

    /// The link was lost and no new one can be opened.
    pub fn on_gate_unreachable(&self) -> AttemptFailure {
        AttemptFailure::Unknown(ErrorKind::LinkLost)
    }

    /// The deadline passed without a reply from the gate.
    pub fn on_timeout(&self) -> AttemptFailure {
        AttemptFailure::Unknown(ErrorKind::TimedOut)
    }

    /// Records that a cancel is being sent.
    pub fn mark_cancelled(&mut self) {
        self.is_cancelled = true;
    }

    /// The gate's reply to the cancel.
    pub fn on_cancel_reply(&self, is_not_run: bool) -> AttemptFailure {
        if is_not_run {
            AttemptFailure::NotRun(ErrorKind::TimedOut)
        } else {
            AttemptFailure::Unknown(ErrorKind::TimedOut)
        }
    }

    /// The deadline is near or, after a cancel, has passed.
    pub fn on_deadline_timer(&mut self) -> DeadlineAction {
        if self.is_cancelled {
            return DeadlineAction::GiveUp(self.on_timeout());
        }
        self.is_cancelled = true;
        DeadlineAction::Cancel
    }
}

/// Whether a call may have run in any of its failed attempts.
#[derive(Debug, Default)]
pub struct CallHistory {
    may_have_run: bool,
}

impl CallHistory {
    /// Adds a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        self.may_have_run |= matches!(failure, AttemptFailure::Unknown(_));
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// What may be reported to the caller.
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }
}
