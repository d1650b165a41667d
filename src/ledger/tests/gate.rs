//! Gate and backend server of the model: the real ledger and admission queue,
//! without sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::admission::{
    AdmissionDecision, AdmissionOptions, AdmissionQueue, CallOffer, WorkResult,
};
use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};
use crate::ledger::attempt::ResumeStatus;
use crate::ledger::{
    CachedResponse, CallLedger, CancelOutcome, LedgerLimits, OpenOutcome, ResumeOutcome, RunPermit,
};

const SLOTS_PER_BACKEND: u64 = 2;
/// Time left of each call when its gate receives it.
const CALL_TIME_LEFT: Duration = Duration::from_secs(10);
/// Small enough that a short run reaches all of them except `watermark_ttl`.
const LEDGER_LIMITS: LedgerLimits = LedgerLimits {
    max_ended_records: 3,
    ended_record_ttl: Duration::from_secs(8),
    max_cached_bytes: 30,
    max_cached_response_bytes: 20,
    cached_response_ttl: Duration::from_secs(4),
    watermark_ttl: Duration::from_secs(3_600),
};

/// Message from the ingress to a gate.
#[derive(Debug, Clone, Copy)]
pub(super) enum GateMessage {
    Open { call: CallId, is_idempotent: bool },
    Cancel(CallId),
    Resume(CallId),
    Acknowledge(CallId),
}

impl GateMessage {
    pub(super) fn call(self) -> CallId {
        match self {
            Self::Open { call, .. }
            | Self::Cancel(call)
            | Self::Resume(call)
            | Self::Acknowledge(call) => call,
        }
    }

    /// Whether the gate sends later messages for the call on the link of this one.
    pub(super) fn redirects_replies(self) -> bool {
        !matches!(self, Self::Acknowledge(_))
    }
}

/// Message from a gate to the ingress.
#[derive(Debug, Clone, Copy)]
pub(super) enum IngressMessage {
    Refused(ErrorKind),
    Failed(ErrorKind),
    ResponseHead,
    CompleteResponse { source_call: CallId },
    CancelReply { is_not_run: bool },
    Resumed(ResumeStatus),
}

/// Message for the ingress and the call that it is about.
pub(super) type OutgoingMessage = (CallId, IngressMessage);

/// How a run at the backend server ends.
///
/// The variant names appear in recorded failing cases; keep them.
#[derive(Debug, Clone, Copy)]
pub(super) enum WorkOutcome {
    Whole,
    Failed,
    Unreachable,
}

#[derive(Debug)]
struct ActiveWork {
    permit: RunPermit,
    is_request_read: bool,
}

#[derive(Debug)]
pub(super) struct GateModel {
    ledger: CallLedger,
    admission: AdmissionQueue,
    active_work: BTreeMap<CallId, ActiveWork>,
    /// Requests sent by a killed gate process that the backend server may yet
    /// read.
    orphaned_requests: Vec<CallId>,
    /// Number of runs at the backend server by call.
    pub(super) run_counts: BTreeMap<CallId, u32>,
}

fn new_admission() -> AdmissionQueue {
    let slots = SlotCount::try_from(SLOTS_PER_BACKEND).expect("valid slot count");
    AdmissionQueue::new(slots, AdmissionOptions::default())
}

impl GateModel {
    pub(super) fn new() -> Self {
        Self {
            ledger: CallLedger::new(LEDGER_LIMITS),
            admission: new_admission(),
            active_work: BTreeMap::new(),
            orphaned_requests: Vec::new(),
            run_counts: BTreeMap::new(),
        }
    }

    /// Restarts the gate process; the backend server and the requests on their
    /// way to it stay.
    pub(super) fn restart(&mut self) {
        let killed_work = std::mem::take(&mut self.active_work);
        let unread = killed_work
            .into_iter()
            .filter(|(_, work)| !work.is_request_read);
        self.orphaned_requests.extend(unread.map(|(call, _)| call));
        self.ledger = CallLedger::new(LEDGER_LIMITS);
        self.admission = new_admission();
    }

    pub(super) fn drain(&mut self) {
        self.admission.drain();
    }

    pub(super) fn receive(&mut self, now: Duration, message: GateMessage) -> Vec<OutgoingMessage> {
        match message {
            GateMessage::Open {
                call,
                is_idempotent,
            } => self.open(now, call, is_idempotent),
            GateMessage::Cancel(call) => vec![(call, self.cancel(now, call))],
            GateMessage::Resume(call) => self.resume(now, call),
            GateMessage::Acknowledge(call) => {
                self.ledger.acknowledge(call);
                Vec::new()
            }
        }
    }

    fn open(&mut self, now: Duration, call: CallId, is_idempotent: bool) -> Vec<OutgoingMessage> {
        match self.ledger.open(now, call, is_idempotent) {
            OpenOutcome::Fresh => self.offer(now, call),
            OpenOutcome::Barred => vec![(call, IngressMessage::Refused(ErrorKind::Cancelled))],
            OpenOutcome::Forgotten => vec![(call, IngressMessage::Failed(ErrorKind::LinkLost))],
            OpenOutcome::Duplicate(_) => Vec::new(),
        }
    }

    fn offer(&mut self, now: Duration, call: CallId) -> Vec<OutgoingMessage> {
        let was_draining = self.admission.is_draining();
        let offer = CallOffer::with_defaults(call, CALL_TIME_LEFT);
        match self.admission.offer(now, offer) {
            AdmissionDecision::Start => {
                assert!(!was_draining, "a draining gate started a new call");
                self.start_work(call);
                Vec::new()
            }
            AdmissionDecision::Queued { .. } => {
                assert!(!was_draining, "a draining gate queued a new call");
                Vec::new()
            }
            AdmissionDecision::Refused { kind, .. } => {
                assert!(self.ledger.refuse(now, call));
                vec![(call, IngressMessage::Refused(kind))]
            }
        }
    }

    fn start_work(&mut self, call: CallId) {
        let permit = self
            .ledger
            .start_run(call)
            .expect("run permit of an admitted call");
        let work = ActiveWork {
            permit,
            is_request_read: false,
        };
        self.active_work.insert(call, work);
        let load = self.admission.load(Duration::ZERO);
        assert!(
            u64::from(load.in_flight) <= SLOTS_PER_BACKEND,
            "more running calls than slots"
        );
        assert_eq!(self.active_work.len(), load.in_flight as usize);
    }

    fn cancel(&mut self, now: Duration, call: CallId) -> IngressMessage {
        let outcome = self.ledger.cancel(now, call);
        let is_not_run = outcome == CancelOutcome::NotRun;
        if is_not_run {
            self.admission.withdraw(now, call);
        }
        IngressMessage::CancelReply { is_not_run }
    }

    fn resume(&mut self, now: Duration, call: CallId) -> Vec<OutgoingMessage> {
        let reply = |status| (call, IngressMessage::Resumed(status));
        match self.ledger.resume(now, call) {
            ResumeOutcome::Waiting | ResumeOutcome::Running => vec![reply(ResumeStatus::Known)],
            ResumeOutcome::ResponseAvailable(_) => vec![
                reply(ResumeStatus::Known),
                (call, IngressMessage::ResponseHead),
                (call, IngressMessage::CompleteResponse { source_call: call }),
            ],
            ResumeOutcome::NotRun => vec![(call, IngressMessage::Refused(ErrorKind::Cancelled))],
            ResumeOutcome::NeverSeen => vec![reply(ResumeStatus::NeverSeen)],
            ResumeOutcome::ResponseUnavailable | ResumeOutcome::Forgotten => {
                vec![reply(ResumeStatus::Forgotten)]
            }
        }
    }

    /// The backend server reads the request of one started call.
    pub(super) fn begin_work(&mut self, pick: usize) {
        let mut unread: Vec<_> = self
            .active_work
            .iter_mut()
            .filter(|(_, work)| !work.is_request_read)
            .collect();
        if unread.is_empty() {
            return;
        }
        let index = pick % unread.len();
        let (call, work) = &mut unread[index];
        work.is_request_read = true;
        *self.run_counts.entry(**call).or_default() += 1;
    }

    /// The backend server reads a request that a killed gate process had sent.
    pub(super) fn begin_orphan(&mut self) {
        if let Some(call) = self.orphaned_requests.pop() {
            *self.run_counts.entry(call).or_default() += 1;
        }
    }

    /// Ends one started call.
    pub(super) fn end_work(
        &mut self,
        now: Duration,
        pick: usize,
        outcome: WorkOutcome,
    ) -> Vec<OutgoingMessage> {
        let is_unreachable = matches!(outcome, WorkOutcome::Unreachable);
        let can_end = |work: &ActiveWork| work.is_request_read != is_unreachable;
        let calls: Vec<_> = self
            .active_work
            .iter()
            .filter(|(_, work)| can_end(work))
            .collect();
        if calls.is_empty() {
            return Vec::new();
        }
        let call = *calls[pick % calls.len()].0;
        let Some(work) = self.active_work.remove(&call) else {
            return Vec::new();
        };
        let source_call = work.permit.call();
        let mut messages = Vec::new();
        let latency = Duration::from_millis(10);
        let result = match outcome {
            WorkOutcome::Whole => {
                let response = CachedResponse {
                    head: Bytes::new(),
                    body: Bytes::from(vec![0; 10 + pick % 12]),
                };
                self.ledger.end_with_response(now, work.permit, response);
                messages.push((call, IngressMessage::ResponseHead));
                messages.push((call, IngressMessage::CompleteResponse { source_call }));
                WorkResult::Completed { latency }
            }
            WorkOutcome::Failed => {
                self.ledger.end_without_response(now, work.permit);
                messages.push((call, IngressMessage::Failed(ErrorKind::BackendFailed)));
                WorkResult::Failed
            }
            WorkOutcome::Unreachable => {
                self.ledger.return_permit(now, work.permit);
                messages.push((call, IngressMessage::Refused(ErrorKind::BackendUnreachable)));
                WorkResult::Failed
            }
        };
        for started in self.admission.finish(now, call, result) {
            self.start_work(started);
        }
        messages
    }

    /// Refuses queued calls whose time is up and removes expired ledger entries.
    pub(super) fn remove_expired(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        for call in self.admission.expire(now) {
            assert!(self.ledger.refuse(now, call));
            messages.push((call, IngressMessage::Refused(ErrorKind::TimedOut)));
        }
        self.ledger.remove_expired(now);
        let size = self.ledger.size();
        assert!(
            size.ended_records <= LEDGER_LIMITS.max_ended_records,
            "too many records of ended calls"
        );
        assert!(
            size.cached_bytes <= LEDGER_LIMITS.max_cached_bytes,
            "cached responses exceed their limit"
        );
        messages
    }
}
