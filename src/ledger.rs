//! What a gate remembers of each call, so that none runs twice.
//!
//! The ledger is the gate's side of at most once. It is keyed by call id and
//! holds one record for each call that was opened, cancelled or asked for. A
//! call is opened at most once at one gate: an ingress that was refused goes
//! to another upstream. The only way to a backend server is a [`RunPermit`],
//! which a call gets once and only while it has not been cancelled.
//!
//! Records are bounded in number and time, kept answers in bytes and time.
//! What is forgotten leaves a mark behind: for each ingress the highest
//! sequence number among the forgotten calls. Sequence numbers grow at an
//! ingress, so a call at or below the mark that has no record is an old one
//! and is never started. There are two marks, so that the answer stays honest:
//! below the mark of calls that ran the gate says that it can't tell, below
//! the mark of calls that never ran it may say `not-run`.
//!
//! A ledger lives as long as its process. An ingress must compare the gate's
//! incarnation before it trusts an answer to [`CallLedger::resume`] or
//! [`CallLedger::cancel`]: a restarted gate knows nothing of earlier calls.

mod answers;
pub mod attempt;
mod marks;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::CallId;
use answers::AnswerShelf;
use marks::SequenceMarks;
use record::{CallRecord, RecordState};

pub use answers::KeptAnswer;
pub use record::{CallPhase, RunPermit};

/// Most records of ended calls.
const MAX_ENDED_RECORDS: usize = 65_536;
/// Time for which the record of an ended call is kept.
const ENDED_RECORD_AGE: Duration = Duration::from_secs(120);
/// Most bytes of kept answers.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;
/// Largest kept answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Time for which an answer that was not acknowledged is kept.
const KEPT_ANSWER_AGE: Duration = Duration::from_secs(30);
/// Time for which the marks of an ingress that sends nothing are kept.
const MARK_AGE: Duration = Duration::from_secs(2 * 3_600);

/// Bounds on what a ledger keeps.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Most records of ended calls.
    pub ended_records: usize,
    /// Time for which the record of an ended call is kept.
    pub record_age: Duration,
    /// Most bytes of kept answers.
    pub kept_bytes: usize,
    /// Largest kept answer, in bytes.
    pub answer_bytes: usize,
    /// Time for which an answer that was not acknowledged is kept.
    pub answer_age: Duration,
    /// Time for which the marks of an ingress that sends nothing are kept.
    pub mark_age: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            ended_records: MAX_ENDED_RECORDS,
            record_age: ENDED_RECORD_AGE,
            kept_bytes: MAX_KEPT_BYTES,
            answer_bytes: MAX_ANSWER_BYTES,
            answer_age: KEPT_ANSWER_AGE,
            mark_age: MARK_AGE,
        }
    }
}

/// Answer to an open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenOutcome {
    /// First sight of the call; admission decides next.
    Fresh,
    /// The call must never start here and never ran here: say `not-run`.
    Barred,
    /// The call is too old to be known; it is not started, but it may have run.
    Forgotten,
    /// The call was opened before.
    Duplicate(CallPhase),
}

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call had not started and never will: say `not-run`.
    NotRun,
    /// The call started, or the ledger can't tell. A run at work should be cut.
    MayHaveRun,
    /// The call ran and has its answer.
    Answered,
}

/// Answer to a resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResumeOutcome {
    /// The call is in the queue.
    Waiting,
    /// The backend server works on the call.
    Running,
    /// The call ran; this is its answer.
    Kept(KeptAnswer),
    /// The call ran; its answer is no longer kept or was never whole.
    NotKept,
    /// The call was refused or cancelled before it started.
    NotRun,
    /// The call never arrived, and its original is barred from now on.
    NeverSeen,
    /// The call is too old to be known; it may have run.
    Forgotten,
}

/// Sizes of a ledger, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSize {
    /// Records of calls that wait or run.
    pub live: usize,
    /// Records of ended calls.
    pub ended: usize,
    /// Bytes of kept answers.
    pub kept_bytes: usize,
}

/// Memory of the calls that reached a gate.
#[derive(Debug)]
pub struct CallLedger {
    limits: LedgerLimits,
    records: BTreeMap<CallId, CallRecord>,
    ended: BTreeSet<(Duration, CallId)>,
    shelf: AnswerShelf,
    marks: SequenceMarks,
}

impl Default for CallLedger {
    fn default() -> Self {
        Self::new(LedgerLimits::default())
    }
}

impl CallLedger {
    /// Makes an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            ended: BTreeSet::new(),
            shelf: AnswerShelf::new(limits.kept_bytes, limits.answer_bytes),
            marks: SequenceMarks::default(),
        }
    }

    /// Takes note of a call that arrived.
    pub fn open(&mut self, now: Duration, call: CallId, idempotent: bool) -> OpenOutcome {
        self.marks.touch(now, call.ingress_incarnation);
        if let Some(record) = self.records.get(&call) {
            return match record.state {
                RecordState::Barred => OpenOutcome::Barred,
                state => OpenOutcome::Duplicate(state.phase()),
            };
        }
        if self.marks.may_have_run(call) {
            return OpenOutcome::Forgotten;
        }
        if self.marks.is_barred(call) {
            return OpenOutcome::Barred;
        }
        let record = CallRecord::waiting(idempotent);
        self.records.insert(call, record);
        OpenOutcome::Fresh
    }

    /// Ends a waiting call that admission refused or that ran out of time.
    ///
    /// Returns whether `not-run` may be said of it.
    pub fn refuse(&mut self, now: Duration, call: CallId) -> bool {
        self.cancel(now, call) == CancelOutcome::NotRun
    }

    /// Gives a waiting call the permit to run, at most once.
    pub fn start(&mut self, call: CallId) -> Option<RunPermit> {
        let record = self.records.get_mut(&call)?;
        if record.state != RecordState::Waiting {
            return None;
        }
        record.state = RecordState::Running;
        Some(RunPermit::new(call))
    }

    /// Ends a run with a whole answer and keeps that within the bounds.
    pub fn keep_answer(&mut self, now: Duration, permit: RunPermit, answer: KeptAnswer) {
        let call = permit.into_call();
        let Some(record) = self.records.get(&call) else {
            return;
        };
        self.shelf.put(now, call, record.idempotent, answer);
        self.end(now, call, RecordState::Answered);
    }

    /// Takes back the permit of a call of which nothing reached the backend
    /// server; it never starts from now on.
    pub fn return_permit(&mut self, now: Duration, permit: RunPermit) {
        self.end(now, permit.into_call(), RecordState::Barred);
    }

    /// Ends a run that has no whole answer: it failed or was cut.
    pub fn end_unanswered(&mut self, now: Duration, permit: RunPermit) {
        self.end(now, permit.into_call(), RecordState::Unanswered);
    }

    /// Cancels a call, also one whose original has not arrived yet.
    pub fn cancel(&mut self, now: Duration, call: CallId) -> CancelOutcome {
        self.marks.touch(now, call.ingress_incarnation);
        let Some(record) = self.records.get(&call) else {
            return match self.bar(now, call) {
                true => CancelOutcome::NotRun,
                false => CancelOutcome::MayHaveRun,
            };
        };
        match record.state {
            RecordState::Barred => CancelOutcome::NotRun,
            RecordState::Waiting => {
                self.end(now, call, RecordState::Barred);
                CancelOutcome::NotRun
            }
            RecordState::Running | RecordState::Unanswered => CancelOutcome::MayHaveRun,
            RecordState::Answered => CancelOutcome::Answered,
        }
    }

    /// Tells an ingress on a new link what became of its call.
    pub fn resume(&mut self, now: Duration, call: CallId) -> ResumeOutcome {
        self.marks.touch(now, call.ingress_incarnation);
        let Some(record) = self.records.get(&call) else {
            return match self.bar(now, call) {
                true => ResumeOutcome::NeverSeen,
                false => ResumeOutcome::Forgotten,
            };
        };
        match record.state {
            RecordState::Barred => ResumeOutcome::NotRun,
            RecordState::Waiting => ResumeOutcome::Waiting,
            RecordState::Running => ResumeOutcome::Running,
            RecordState::Unanswered => ResumeOutcome::NotKept,
            RecordState::Answered => match self.shelf.get(call) {
                Some(answer) => ResumeOutcome::Kept(answer.clone()),
                None => ResumeOutcome::NotKept,
            },
        }
    }

    /// Drops the kept answer of a call whose ingress has the whole of it.
    pub fn acknowledge(&mut self, call: CallId) {
        self.shelf.drop_answer(call);
    }

    /// Forgets what is past its time.
    pub fn sweep(&mut self, now: Duration) {
        self.shelf.drop_older(now, self.limits.answer_age);
        while let Some(&(ended_at, call)) = self.ended.first() {
            if now.saturating_sub(ended_at) < self.limits.record_age {
                break;
            }
            self.forget(now, ended_at, call);
        }
        self.marks.drop_older(now, self.limits.mark_age);
    }

    /// Present sizes.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            live: self.records.len() - self.ended.len(),
            ended: self.ended.len(),
            kept_bytes: self.shelf.bytes(),
        }
    }

    /// Bars an unknown call, unless it may be one that ran and was forgotten.
    fn bar(&mut self, now: Duration, call: CallId) -> bool {
        if self.marks.may_have_run(call) {
            return false;
        }
        self.records.insert(call, CallRecord::waiting(false));
        self.end(now, call, RecordState::Barred);
        true
    }

    fn end(&mut self, now: Duration, call: CallId, state: RecordState) {
        let Some(record) = self.records.get_mut(&call) else {
            return;
        };
        record.state = state;
        self.ended.insert((now, call));
        if self.ended.len() > self.limits.ended_records
            && let Some(&(ended_at, oldest)) = self.ended.first()
        {
            self.forget(now, ended_at, oldest);
        }
    }

    fn forget(&mut self, now: Duration, ended_at: Duration, call: CallId) {
        self.ended.remove(&(ended_at, call));
        self.shelf.drop_answer(call);
        let Some(record) = self.records.remove(&call) else {
            return;
        };
        if record.state == RecordState::Barred {
            self.marks.raise_barred(now, call);
        } else {
            self.marks.raise_run(now, call);
        }
    }
}

#[cfg(test)]
mod tests;
