//! At-most-once execution at the gate: one record for each call.
//!
//! [`CallLedger`] is keyed by call id and holds a record for each call that
//! was opened, cancelled or resumed. A call is opened at most once at one
//! gate: an ingress whose call was refused tries another upstream. A call
//! reaches the backend server only with a [`RunPermit`], which it gets once
//! and only while it has not been cancelled.
//!
//! Records are bounded by count and age, cached responses by bytes and age. An
//! evicted record raises a watermark of its ingress: the highest sequence
//! number among the evicted calls. Sequence numbers grow at an ingress, so a
//! call at or below the watermark that has no record is an old one and is
//! never started. There are two watermarks, so that the reply stays true: up
//! to the watermark of calls that ran, the gate replies that it can't tell; up
//! to the watermark of calls that never ran, it may reply `not-run`.
//!
//! A ledger is lost with its process. An ingress must compare the gate's
//! incarnation before it relies on the result of [`CallLedger::resume`] or
//! [`CallLedger::cancel`]: a restarted gate has no records of earlier calls.

mod answers;
pub mod attempt;
mod marks;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::CallId;
use answers::ResponseCache;
use marks::SequenceWatermarks;
use record::{CallRecord, RecordState};

pub use answers::CachedResponse;
pub use record::{CallPhase, RunPermit};

const MAX_ENDED_RECORDS: usize = 65_536;
const ENDED_RECORD_TTL: Duration = Duration::from_secs(120);
const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;
const MAX_CACHED_RESPONSE_BYTES: usize = 256 * 1024;
const CACHED_RESPONSE_TTL: Duration = Duration::from_secs(30);
/// Exceeds the longest time limit of a call, 1 h: the caller of a call that
/// arrives after this time has long had its response.
const WATERMARK_TTL: Duration = Duration::from_secs(2 * 3_600);

/// Limits on the memory of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Records of ended calls; beyond it the oldest is evicted.
    pub max_ended_records: usize,
    /// Time from the end of a call to the eviction of its record.
    pub ended_record_ttl: Duration,
    /// Total size of cached responses.
    pub max_cached_bytes: usize,
    /// Size above which a response is not cached.
    pub max_cached_response_bytes: usize,
    /// Time after which a response is evicted without an acknowledgement.
    pub cached_response_ttl: Duration,
    /// Time after the last message of an ingress, or the last raise of one of
    /// its watermarks, at which these are removed.
    pub watermark_ttl: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_ended_records: MAX_ENDED_RECORDS,
            ended_record_ttl: ENDED_RECORD_TTL,
            max_cached_bytes: MAX_CACHED_BYTES,
            max_cached_response_bytes: MAX_CACHED_RESPONSE_BYTES,
            cached_response_ttl: CACHED_RESPONSE_TTL,
            watermark_ttl: WATERMARK_TTL,
        }
    }
}

/// Result of [`CallLedger::open`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenOutcome {
    /// First message for the call; admission decides next.
    Fresh,
    /// The call never ran here and must not be started: reply `not-run`.
    Barred,
    /// The record may have been evicted: the call must not be started, but it
    /// may have run.
    Forgotten,
    /// The call was opened before and is in this phase.
    Duplicate(CallPhase),
}

/// Result of [`CallLedger::cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call had not started and never will: reply `not-run`.
    NotRun,
    /// The call started, or its record may have been evicted. A run in progress
    /// should be aborted.
    MayHaveRun,
    /// The call ran and its response is complete.
    Completed,
}

/// Result of [`CallLedger::resume`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResumeOutcome {
    /// The call is in the admission queue.
    Waiting,
    /// The backend server is working on the call.
    Running,
    /// The call ran; its complete response is in the cache.
    ResponseAvailable(CachedResponse),
    /// The call ran; its response was never cached or has been evicted.
    ResponseUnavailable,
    /// The call was refused or cancelled before it started.
    NotRun,
    /// The call had not arrived; its open message is refused from now on.
    NeverSeen,
    /// The record may have been evicted; the call may have run.
    Forgotten,
}

/// Memory use of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSize {
    /// Records of calls that are queued or running.
    pub active_records: usize,
    /// Records of ended calls, tombstones included.
    pub ended_records: usize,
    /// Size of all cached responses.
    pub cached_bytes: usize,
}

/// Records of the calls that reached a gate.
#[derive(Debug)]
pub struct CallLedger {
    limits: LedgerLimits,
    records: BTreeMap<CallId, CallRecord>,
    ended_by_time: BTreeSet<(Duration, CallId)>,
    response_cache: ResponseCache,
    watermarks: SequenceWatermarks,
}

impl Default for CallLedger {
    fn default() -> Self {
        Self::new(LedgerLimits::default())
    }
}

impl CallLedger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            ended_by_time: BTreeSet::new(),
            response_cache: ResponseCache::new(
                limits.max_cached_bytes,
                limits.max_cached_response_bytes,
            ),
            watermarks: SequenceWatermarks::default(),
        }
    }

    /// Records a call whose open message arrived.
    pub fn open(&mut self, now: Duration, call: CallId, is_idempotent: bool) -> OpenOutcome {
        self.watermarks
            .record_activity(now, call.ingress_incarnation);
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
        let record = CallRecord::waiting(is_idempotent);
        self.records.insert(call, record);
        OpenOutcome::Fresh
    }

    /// Ends a waiting call that admission refused or whose time limit passed.
    ///
    /// Returns whether `not-run` may be reported for it.
    pub fn refuse(&mut self, now: Duration, call: CallId) -> bool {
        self.cancel(now, call) == CancelOutcome::NotRun
    }

    /// Marks a waiting call as running and returns its permit, at most once.
    ///
    /// Returns `None` if the call is unknown, was cancelled or was started before.
    pub fn start_run(&mut self, call: CallId) -> Option<RunPermit> {
        let record = self.records.get_mut(&call)?;
        if record.state != RecordState::Waiting {
            return None;
        }
        record.state = RecordState::Running;
        Some(RunPermit::new(call))
    }

    /// Ends a run with a complete response, which is cached within the limits.
    pub fn end_with_response(
        &mut self,
        now: Duration,
        permit: RunPermit,
        response: CachedResponse,
    ) {
        let call = permit.into_call();
        let Some(record) = self.records.get(&call) else {
            return;
        };
        self.response_cache
            .store(now, call, record.is_idempotent, response);
        self.end_call(now, call, RecordState::EndedWithResponse);
    }

    /// Ends a run of which nothing reached the backend server; the call can't be
    /// started again.
    pub fn return_permit(&mut self, now: Duration, permit: RunPermit) {
        self.end_call(now, permit.into_call(), RecordState::Tombstone);
    }

    /// Ends a run without a response to cache: it failed, was aborted, or its
    /// response took several frames.
    pub fn end_without_response(&mut self, now: Duration, permit: RunPermit) {
        self.end_call(now, permit.into_call(), RecordState::EndedWithoutResponse);
    }

    /// Cancels a call, including one whose open message has not arrived yet.
    pub fn cancel(&mut self, now: Duration, call: CallId) -> CancelOutcome {
        self.watermarks
            .record_activity(now, call.ingress_incarnation);
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
            RecordState::Running | RecordState::EndedWithoutResponse => CancelOutcome::MayHaveRun,
            RecordState::EndedWithResponse => CancelOutcome::Completed,
        }
    }

    /// State of a call for an ingress that reconnected. An unknown call gets a
    /// tombstone, so that its delayed open message is refused.
    pub fn resume(&mut self, now: Duration, call: CallId) -> ResumeOutcome {
        self.watermarks
            .record_activity(now, call.ingress_incarnation);
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
            RecordState::EndedWithoutResponse => ResumeOutcome::ResponseUnavailable,
            RecordState::EndedWithResponse => match self.response_cache.get(call) {
                Some(response) => ResumeOutcome::ResponseAvailable(response.clone()),
                None => ResumeOutcome::ResponseUnavailable,
            },
        }
    }

    /// Drops the cached response of a call, which its ingress has received in full.
    pub fn acknowledge(&mut self, call: CallId) {
        self.response_cache.drop_response(call);
    }

    /// Removes responses, records and watermarks that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        self.response_cache
            .evict_expired(now, self.limits.cached_response_ttl);
        while let Some(&(ended_at, call)) = self.ended_by_time.first() {
            if now.saturating_sub(ended_at) < self.limits.ended_record_ttl {
                break;
            }
            self.evict_record(now, ended_at, call);
        }
        self.watermarks
            .remove_inactive(now, self.limits.watermark_ttl);
    }

    /// Current memory use.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            active_records: self.records.len() - self.ended_by_time.len(),
            ended_records: self.ended_by_time.len(),
            cached_bytes: self.response_cache.total_bytes(),
        }
    }

    /// Inserts a tombstone for an unknown call and returns true, unless the call
    /// may have run and its record been evicted.
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
        self.response_cache.drop_response(call);
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
