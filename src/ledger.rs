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
use answers::AnswerCache;
use marks::SequenceWatermarks;
use record::{CallRecord, RecordState};

pub use answers::CachedAnswer;
pub use record::{CallPhase, RunPermit};

/// Most records of ended calls.
const MAX_ENDED_RECORDS: usize = 65_536;
/// Time for which the record of an ended call is kept.
const ENDED_RECORD_TTL: Duration = Duration::from_secs(120);
/// Most bytes of kept answers.
const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;
/// Largest kept answer, in bytes.
const MAX_CACHED_ANSWER_BYTES: usize = 256 * 1024;
/// Time for which an answer that was not acknowledged is kept.
const CACHED_ANSWER_TTL: Duration = Duration::from_secs(30);
/// Time for which the marks of an ingress that sends nothing are kept.
const WATERMARK_TTL: Duration = Duration::from_secs(2 * 3_600);

/// Bounds on what a ledger keeps.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Most records of ended calls.
    pub max_ended_records: usize,
    /// Time for which the record of an ended call is kept.
    pub ended_record_ttl: Duration,
    /// Most bytes of kept answers.
    pub max_cached_bytes: usize,
    /// Largest kept answer, in bytes.
    pub max_cached_answer_bytes: usize,
    /// Time for which an answer that was not acknowledged is kept.
    pub cached_answer_ttl: Duration,
    /// Time for which the marks of an ingress that sends nothing are kept.
    pub watermark_ttl: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_ended_records: MAX_ENDED_RECORDS,
            ended_record_ttl: ENDED_RECORD_TTL,
            max_cached_bytes: MAX_CACHED_BYTES,
            max_cached_answer_bytes: MAX_CACHED_ANSWER_BYTES,
            cached_answer_ttl: CACHED_ANSWER_TTL,
            watermark_ttl: WATERMARK_TTL,
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
    AnswerAvailable(CachedAnswer),
    /// The call ran; its answer is no longer kept or was never whole.
    AnswerUnavailable,
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
    pub active_records: usize,
    /// Records of ended calls.
    pub ended_records: usize,
    /// Bytes of kept answers.
    pub cached_bytes: usize,
}

/// Memory of the calls that reached a gate.
#[derive(Debug)]
pub struct CallLedger {
    limits: LedgerLimits,
    records: BTreeMap<CallId, CallRecord>,
    ended_by_time: BTreeSet<(Duration, CallId)>,
    answer_cache: AnswerCache,
    watermarks: SequenceWatermarks,
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
            ended_by_time: BTreeSet::new(),
            answer_cache: AnswerCache::new(limits.max_cached_bytes, limits.max_cached_answer_bytes),
            watermarks: SequenceWatermarks::default(),
        }
    }

    /// Takes note of a call that arrived.
    pub fn open(&mut self, now: Duration, call: CallId, idempotent: bool) -> OpenOutcome {
        self.watermarks.record_activity(now, call.ingress);
        if let Some(record) = self.records.get(&call) {
            return match record.state {
                RecordState::Tombstone => OpenOutcome::Barred,
                state => OpenOutcome::Duplicate(state.phase()),
            };
        }
        if self.watermarks.may_have_run(call) {
            return OpenOutcome::Forgotten;
        }
        if self.watermarks.may_have_been_tombstoned(call) {
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
    pub fn start_run(&mut self, call: CallId) -> Option<RunPermit> {
        let record = self.records.get_mut(&call)?;
        if record.state != RecordState::Waiting {
            return None;
        }
        record.state = RecordState::Running;
        Some(RunPermit::new(call))
    }

    /// Ends a run with a whole answer and keeps that within the bounds.
    pub fn end_answered(&mut self, now: Duration, permit: RunPermit, answer: CachedAnswer) {
        let call = permit.into_call();
        let Some(record) = self.records.get(&call) else {
            return;
        };
        self.answer_cache
            .store(now, call, record.is_idempotent, answer);
        self.end_call(now, call, RecordState::Answered);
    }

    /// Takes back the permit of a call of which nothing reached the backend
    /// server; it never starts from now on.
    pub fn return_permit(&mut self, now: Duration, permit: RunPermit) {
        self.end_call(now, permit.into_call(), RecordState::Tombstone);
    }

    /// Ends a run that has no whole answer: it failed or was cut.
    pub fn end_unanswered(&mut self, now: Duration, permit: RunPermit) {
        self.end_call(now, permit.into_call(), RecordState::Unanswered);
    }

    /// Cancels a call, also one whose original has not arrived yet.
    pub fn cancel(&mut self, now: Duration, call: CallId) -> CancelOutcome {
        self.watermarks.record_activity(now, call.ingress);
        let Some(record) = self.records.get(&call) else {
            return match self.insert_tombstone(now, call) {
                true => CancelOutcome::NotRun,
                false => CancelOutcome::MayHaveRun,
            };
        };
        match record.state {
            RecordState::Tombstone => CancelOutcome::NotRun,
            RecordState::Waiting => {
                self.end_call(now, call, RecordState::Tombstone);
                CancelOutcome::NotRun
            }
            RecordState::Running | RecordState::Unanswered => CancelOutcome::MayHaveRun,
            RecordState::Answered => CancelOutcome::Answered,
        }
    }

    /// Tells an ingress on a new link what became of its call.
    pub fn resume(&mut self, now: Duration, call: CallId) -> ResumeOutcome {
        self.watermarks.record_activity(now, call.ingress);
        let Some(record) = self.records.get(&call) else {
            return match self.insert_tombstone(now, call) {
                true => ResumeOutcome::NeverSeen,
                false => ResumeOutcome::Forgotten,
            };
        };
        match record.state {
            RecordState::Tombstone => ResumeOutcome::NotRun,
            RecordState::Waiting => ResumeOutcome::Waiting,
            RecordState::Running => ResumeOutcome::Running,
            RecordState::Unanswered => ResumeOutcome::AnswerUnavailable,
            RecordState::Answered => match self.answer_cache.get(call) {
                Some(answer) => ResumeOutcome::AnswerAvailable(answer.clone()),
                None => ResumeOutcome::AnswerUnavailable,
            },
        }
    }

    /// Drops the kept answer of a call whose ingress has the whole of it.
    pub fn acknowledge(&mut self, call: CallId) {
        self.answer_cache.drop_answer(call);
    }

    /// Forgets what is past its time.
    pub fn remove_expired(&mut self, now: Duration) {
        self.answer_cache
            .evict_expired(now, self.limits.cached_answer_ttl);
        while let Some(&(ended_at, call)) = self.ended_by_time.first() {
            if now.saturating_sub(ended_at) < self.limits.ended_record_ttl {
                break;
            }
            self.evict_record(now, ended_at, call);
        }
        self.watermarks
            .remove_inactive(now, self.limits.watermark_ttl);
    }

    /// Present sizes.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            active_records: self.records.len() - self.ended_by_time.len(),
            ended_records: self.ended_by_time.len(),
            cached_bytes: self.answer_cache.total_bytes(),
        }
    }

    /// Bars an unknown call, unless it may be one that ran and was forgotten.
    fn insert_tombstone(&mut self, now: Duration, call: CallId) -> bool {
        if self.watermarks.may_have_run(call) {
            return false;
        }
        self.records.insert(call, CallRecord::waiting(false));
        self.end_call(now, call, RecordState::Tombstone);
        true
    }

    fn end_call(&mut self, now: Duration, call: CallId, state: RecordState) {
        let Some(record) = self.records.get_mut(&call) else {
            return;
        };
        record.state = state;
        self.ended_by_time.insert((now, call));
        if self.ended_by_time.len() > self.limits.max_ended_records
            && let Some(&(ended_at, oldest)) = self.ended_by_time.first()
        {
            self.evict_record(now, ended_at, oldest);
        }
    }

    fn evict_record(&mut self, now: Duration, ended_at: Duration, call: CallId) {
        self.ended_by_time.remove(&(ended_at, call));
        self.answer_cache.drop_answer(call);
        let Some(record) = self.records.remove(&call) else {
            return;
        };
        if record.state == RecordState::Tombstone {
            self.watermarks.raise_tombstone_watermark(now, call);
        } else {
            self.watermarks.raise_run_watermark(now, call);
        }
    }
}

#[cfg(test)]
mod tests;
