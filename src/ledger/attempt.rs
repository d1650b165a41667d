//! The ingress's side of at most once: what each event says about the run of
//! one attempt.
//!
//! An attempt is one hand-over of a call to one gate, under a call id of its
//! own. It ends in an answer or in an [`AttemptFailure`], and only here is it
//! decided which failures are `NotRun`: the attempt was refused, was cancelled
//! before it started, or was never seen by the very process of the gate that
//! it was handed to. That process remembers to bar the late original. A gate
//! that has restarted has forgotten, so nothing it says about the attempt
//! counts. [`CallHistory`] keeps the failures of a call's earlier attempts.

use crate::error::{ErrorKind, RunOutcome};
use crate::ids::NodeIncarnation;
use crate::retry::AttemptFailure;

/// What a gate knows of a resumed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeStatus {
    /// It never started the attempt and has barred it.
    NeverSeen,
    /// It has the attempt; the rest follows on the new link.
    Known,
    /// The attempt may have run and can't be continued.
    Forgotten,
}

/// What to do when the time of an attempt is up or nearly up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineAction {
    /// Cancel the attempt and wait for the reply until the time limit.
    Cancel,
    /// Tell the caller now.
    GiveUp(AttemptFailure),
}

/// One attempt that was handed to a link.
#[derive(Debug)]
pub struct AttemptState {
    gate_incarnation: NodeIncarnation,
    is_cancelled: bool,
}

impl AttemptState {
    /// Attempt handed to a link to the given process of a gate.
    pub fn new(gate: NodeIncarnation) -> Self {
        Self {
            gate_incarnation: gate,
            is_cancelled: false,
        }
    }

    /// Whether a cancel was sent.
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

    /// A new link was opened after the old one was lost.
    ///
    /// # Errors
    ///
    /// The failure of the attempt if the gate's process is another one.
    pub fn on_new_link(&self, gate: NodeIncarnation) -> Result<(), AttemptFailure> {
        if gate == self.gate_incarnation {
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
    pub fn on_resumed(&self, knowledge: ResumeStatus) -> Result<(), AttemptFailure> {
        match knowledge {
            ResumeStatus::Known => Ok(()),
            ResumeStatus::NeverSeen => Err(AttemptFailure::NotRun(ErrorKind::LinkLost)),
            ResumeStatus::Forgotten => Err(AttemptFailure::Unknown(ErrorKind::LinkLost)),
        }
    }

    /// No link to the gate can be opened any more.
    pub fn on_gate_unreachable(&self) -> AttemptFailure {
        AttemptFailure::Unknown(ErrorKind::LinkLost)
    }

    /// The time limit has come and the gate has not said what it knows.
    pub fn on_timeout(&self) -> AttemptFailure {
        AttemptFailure::Unknown(ErrorKind::TimedOut)
    }

    /// A cancel is being sent.
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

    /// The time limit is near or, after a cancel, has come.
    pub fn on_deadline_timer(&mut self) -> DeadlineAction {
        if self.is_cancelled {
            return DeadlineAction::GiveUp(self.on_timeout());
        }
        self.is_cancelled = true;
        DeadlineAction::Cancel
    }
}

/// What is known about the run of a call over all its attempts.
#[derive(Debug, Default)]
pub struct CallHistory {
    may_have_run: bool,
}

impl CallHistory {
    /// Takes note of a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        self.may_have_run |= matches!(failure, AttemptFailure::Unknown(_));
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// What the caller may be told.
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }
}
