//! Gate and backend server of the model: ledger and admission without sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::admission::{
    AdmissionDecision, AdmissionOptions, AdmissionQueue, CallOffer, WorkResult,
};
use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};
use crate::ledger::attempt::ResumeKnowledge;
use crate::ledger::{
    CallLedger, CancelOutcome, KeptAnswer, LedgerLimits, OpenOutcome, ResumeOutcome, RunPermit,
};

/// Slots of each backend server in the model.
const SLOTS: u64 = 2;
/// Time left of each call when it is sent.
const TIME_LEFT: Duration = Duration::from_secs(10);
/// Bounds so small that a short run reaches all of them.
const LIMITS: LedgerLimits = LedgerLimits {
    ended_records: 3,
    record_age: Duration::from_secs(8),
    kept_bytes: 30,
    answer_bytes: 20,
    answer_age: Duration::from_secs(4),
    mark_age: Duration::from_secs(3_600),
};

/// Message to a gate.
#[derive(Debug, Clone, Copy)]
pub(super) enum ToGate {
    Open { call: CallId, idempotent: bool },
    Cancel(CallId),
    Resume(CallId),
    Acknowledge(CallId),
}

impl ToGate {
    pub(super) fn call(self) -> CallId {
        match self {
            Self::Open { call, .. }
            | Self::Cancel(call)
            | Self::Resume(call)
            | Self::Acknowledge(call) => call,
        }
    }

    /// Whether answers go to the link of this message from now on.
    pub(super) fn moves_route(self) -> bool {
        !matches!(self, Self::Acknowledge(_))
    }
}

/// Message to the ingress.
#[derive(Debug, Clone, Copy)]
pub(super) enum ToIngress {
    Refused(ErrorKind),
    Failed(ErrorKind),
    Head,
    Whole { run_of: CallId },
    CancelReply { is_not_run: bool },
    Resumed(ResumeKnowledge),
}

/// Message for the ingress, and the call whose link carries it.
pub(super) type Outgoing = (CallId, ToIngress);

/// How the backend server's work ends.
#[derive(Debug, Clone, Copy)]
pub(super) enum WorkEnd {
    Whole,
    Failed,
    Unreachable,
}

#[derive(Debug)]
struct Work {
    permit: RunPermit,
    has_begun: bool,
}

#[derive(Debug)]
pub(super) struct GateModel {
    ledger: CallLedger,
    admission: AdmissionQueue,
    work: BTreeMap<CallId, Work>,
    /// Work of a killed gate that may yet reach the backend server.
    orphans: Vec<CallId>,
    /// Runs at the backend server by call.
    pub(super) runs: BTreeMap<CallId, u32>,
}

fn new_admission() -> AdmissionQueue {
    let slots = SlotCount::try_from(SLOTS).expect("slots");
    AdmissionQueue::new(slots, AdmissionOptions::default())
}

impl GateModel {
    pub(super) fn new() -> Self {
        Self {
            ledger: CallLedger::new(LIMITS),
            admission: new_admission(),
            work: BTreeMap::new(),
            orphans: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Loses everything but what the backend server has done or may yet do.
    pub(super) fn restart(&mut self) {
        let work = std::mem::take(&mut self.work);
        let unread = work.into_iter().filter(|(_, work)| !work.has_begun);
        self.orphans.extend(unread.map(|(call, _)| call));
        self.ledger = CallLedger::new(LIMITS);
        self.admission = new_admission();
    }

    pub(super) fn drain(&mut self) {
        self.admission.drain();
    }

    pub(super) fn receive(&mut self, now: Duration, message: ToGate) -> Vec<Outgoing> {
        match message {
            ToGate::Open { call, idempotent } => self.open(now, call, idempotent),
            ToGate::Cancel(call) => vec![(call, self.cancel(now, call))],
            ToGate::Resume(call) => self.resume(now, call),
            ToGate::Acknowledge(call) => {
                self.ledger.acknowledge(call);
                Vec::new()
            }
        }
    }

    fn open(&mut self, now: Duration, call: CallId, idempotent: bool) -> Vec<Outgoing> {
        match self.ledger.open(now, call, idempotent) {
            OpenOutcome::Fresh => self.offer(now, call),
            OpenOutcome::Barred => vec![(call, ToIngress::Refused(ErrorKind::Cancelled))],
            OpenOutcome::Forgotten => vec![(call, ToIngress::Failed(ErrorKind::LinkLost))],
            OpenOutcome::Duplicate(_) => Vec::new(),
        }
    }

    fn offer(&mut self, now: Duration, call: CallId) -> Vec<Outgoing> {
        let was_draining = self.admission.is_draining();
        let offer = CallOffer::with_defaults(call, TIME_LEFT);
        match self.admission.offer(now, offer) {
            AdmissionDecision::Start => {
                assert!(!was_draining, "a draining gate started new work");
                self.start(call);
                Vec::new()
            }
            AdmissionDecision::Queued { .. } => {
                assert!(!was_draining, "a draining gate queued new work");
                Vec::new()
            }
            AdmissionDecision::Refused { kind, .. } => {
                assert!(self.ledger.refuse(now, call));
                vec![(call, ToIngress::Refused(kind))]
            }
        }
    }

    fn start(&mut self, call: CallId) {
        let permit = self.ledger.start(call).expect("an admitted call may start");
        let work = Work {
            permit,
            has_begun: false,
        };
        self.work.insert(call, work);
        let load = self.admission.load(Duration::ZERO);
        assert!(u64::from(load.in_flight) <= SLOTS, "more work than slots");
        assert_eq!(self.work.len(), load.in_flight as usize);
    }

    fn cancel(&mut self, now: Duration, call: CallId) -> ToIngress {
        let outcome = self.ledger.cancel(now, call);
        let is_not_run = outcome == CancelOutcome::NotRun;
        if is_not_run {
            self.admission.withdraw(now, call);
        }
        ToIngress::CancelReply { is_not_run }
    }

    fn resume(&mut self, now: Duration, call: CallId) -> Vec<Outgoing> {
        let reply = |knowledge| (call, ToIngress::Resumed(knowledge));
        match self.ledger.resume(now, call) {
            ResumeOutcome::Waiting | ResumeOutcome::Running => vec![reply(ResumeKnowledge::Known)],
            ResumeOutcome::Kept(_) => vec![
                reply(ResumeKnowledge::Known),
                (call, ToIngress::Head),
                (call, ToIngress::Whole { run_of: call }),
            ],
            ResumeOutcome::NotRun => vec![(call, ToIngress::Refused(ErrorKind::Cancelled))],
            ResumeOutcome::NeverSeen => vec![reply(ResumeKnowledge::NeverSeen)],
            ResumeOutcome::NotKept | ResumeOutcome::Forgotten => {
                vec![reply(ResumeKnowledge::Forgotten)]
            }
        }
    }

    /// The backend server reads the request of one call at work.
    pub(super) fn begin_work(&mut self, pick: usize) {
        let mut unread: Vec<_> = self
            .work
            .iter_mut()
            .filter(|(_, work)| !work.has_begun)
            .collect();
        if unread.is_empty() {
            return;
        }
        let index = pick % unread.len();
        let (call, work) = &mut unread[index];
        work.has_begun = true;
        *self.runs.entry(**call).or_default() += 1;
    }

    /// The backend server reads a request that a killed gate had sent.
    pub(super) fn begin_orphan(&mut self) {
        if let Some(call) = self.orphans.pop() {
            *self.runs.entry(call).or_default() += 1;
        }
    }

    /// One call at work ends.
    pub(super) fn end_work(&mut self, now: Duration, pick: usize, end: WorkEnd) -> Vec<Outgoing> {
        let is_unreachable = matches!(end, WorkEnd::Unreachable);
        let fitting = |work: &Work| work.has_begun != is_unreachable;
        let calls: Vec<_> = self.work.iter().filter(|(_, work)| fitting(work)).collect();
        if calls.is_empty() {
            return Vec::new();
        }
        let call = *calls[pick % calls.len()].0;
        let Some(work) = self.work.remove(&call) else {
            return Vec::new();
        };
        let run_of = work.permit.call();
        let mut messages = Vec::new();
        let latency = Duration::from_millis(10);
        let result = match end {
            WorkEnd::Whole => {
                let answer = KeptAnswer {
                    head: Bytes::new(),
                    body: Bytes::from(vec![0; 10 + pick % 12]),
                };
                self.ledger.keep_answer(now, work.permit, answer);
                messages.push((call, ToIngress::Head));
                messages.push((call, ToIngress::Whole { run_of }));
                WorkResult::Completed { latency }
            }
            WorkEnd::Failed => {
                self.ledger.end_unanswered(now, work.permit);
                messages.push((call, ToIngress::Failed(ErrorKind::BackendFailed)));
                WorkResult::Failed
            }
            WorkEnd::Unreachable => {
                self.ledger.return_permit(now, work.permit);
                messages.push((call, ToIngress::Refused(ErrorKind::BackendUnreachable)));
                WorkResult::Failed
            }
        };
        for started in self.admission.finish(now, call, result) {
            self.start(started);
        }
        messages
    }

    /// Lets time pass.
    pub(super) fn sweep(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        for call in self.admission.expire(now) {
            assert!(self.ledger.refuse(now, call));
            messages.push((call, ToIngress::Refused(ErrorKind::TimedOut)));
        }
        self.ledger.sweep(now);
        let size = self.ledger.size();
        assert!(size.ended <= LIMITS.ended_records, "too many records");
        assert!(size.kept_bytes <= LIMITS.kept_bytes, "too many bytes kept");
        messages
    }
}
