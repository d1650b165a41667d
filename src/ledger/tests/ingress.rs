//! Ingress of the model: what the driver does, without sockets.

use std::time::Duration;

use super::gate::{Outgoing, ToGate, ToIngress};
use super::model::{AttemptModel, CallModel, FinalAnswer, World};
use crate::error::ErrorKind;
use crate::ids::CallId;
use crate::ledger::attempt::{AlarmAction, AttemptState, CallHistory};
use crate::retry::{AttemptFailure, RetryContext, RetryDecision};

/// Sequence numbers of a call and its attempts.
pub(super) const NUMBERS_PER_CALL: u64 = 16;
/// Most attempts of a call.
const ATTEMPTS_LIMIT: u32 = 4;

impl World {
    pub(super) fn new_call(&mut self, idempotent: bool) {
        self.sequence += NUMBERS_PER_CALL;
        self.retries.record_first_attempt(&self.service);
        let base = CallId {
            ingress: self.ingress,
            sequence: self.sequence,
        };
        self.calls.push(CallModel {
            base,
            idempotent,
            attempts: 0,
            attempt: None,
            history: CallHistory::default(),
            is_abandoned: false,
            finals: Vec::new(),
        });
    }

    pub(super) fn with_call(&mut self, pick: usize, act: impl FnOnce(&mut Self, usize)) {
        let calls = self.calls.iter().enumerate();
        let live: Vec<usize> = calls
            .filter(|(_, entry)| entry.is_live())
            .map(|(index, _)| index)
            .collect();
        if !live.is_empty() {
            act(self, live[pick % live.len()]);
        }
    }

    pub(super) fn send(&mut self, index: usize, gate: usize) {
        if self.calls[index].attempt.is_some() {
            return;
        }
        let link = self.link_to(gate);
        let incarnation = self.links[link].incarnation;
        let entry = &mut self.calls[index];
        entry.attempts += 1;
        let id = CallId {
            sequence: entry.base.sequence + u64::from(entry.attempts),
            ..entry.base
        };
        entry.attempt = Some(AttemptModel {
            id,
            link,
            state: AttemptState::new(incarnation),
            has_head: false,
        });
        let idempotent = entry.idempotent;
        let open = ToGate::Open {
            call: id,
            idempotent,
        };
        self.push_to_gate(link, open);
    }

    /// Routing has no gate left.
    pub(super) fn give_up(&mut self, index: usize) {
        if self.calls[index].attempt.is_none() {
            self.fail(index, AttemptFailure::NotRun(ErrorKind::NoUpstream));
        }
    }

    pub(super) fn pass_alarm(&mut self, index: usize) {
        let Some(attempt) = &mut self.calls[index].attempt else {
            self.fail(index, AttemptFailure::NotRun(ErrorKind::TimedOut));
            return;
        };
        match attempt.state.on_alarm() {
            AlarmAction::Cancel => {
                let (link, id) = (attempt.link, attempt.id);
                self.push_to_gate(link, ToGate::Cancel(id));
            }
            AlarmAction::GiveUp(failure) => self.fail(index, failure),
        }
    }

    pub(super) fn lose_gate(&mut self, index: usize) {
        if let Some(attempt) = &self.calls[index].attempt {
            let failure = attempt.state.on_gate_gone();
            self.fail(index, failure);
        }
    }

    fn fail(&mut self, index: usize, failure: AttemptFailure) {
        let entry = &mut self.calls[index];
        let attempt = entry.attempt.take();
        if attempt.is_some_and(|attempt| attempt.has_head) {
            entry.finals.push(FinalAnswer::Cut);
            return;
        }
        entry.history.on_failed(failure);
        let facts = RetryContext {
            is_idempotent: entry.idempotent,
            may_have_run: entry.history.may_have_run(),
            attempts_made: entry.attempts,
            max_attempts: ATTEMPTS_LIMIT,
            time_left: Duration::from_secs(1),
        };
        let decision = self.retries.decide(&self.service, &facts, failure);
        if matches!(decision, RetryDecision::GiveUp { .. }) {
            let outcome = entry.history.outcome();
            entry.finals.push(FinalAnswer::Failed(outcome));
        }
    }

    pub(super) fn deliver_to_ingress(&mut self, pick: usize, is_repeat: bool) {
        let picked = self.pick_link(pick, |link| !link.to_ingress.is_empty() && link.is_current);
        let Some(index) = picked else {
            return;
        };
        let queue = &mut self.links[index].to_ingress;
        let outgoing = if is_repeat {
            queue[0]
        } else {
            queue.pop_front().expect("a message")
        };
        self.hear(index, outgoing);
    }

    /// Passes a message on to the attempt that it is for, if that still uses
    /// the link.
    fn hear(&mut self, link: usize, (id, message): Outgoing) {
        let is_meant = |entry: &CallModel| {
            let attempt = entry.attempt.as_ref();
            entry.is_live() && attempt.is_some_and(|it| it.id == id && it.link == link)
        };
        let Some(index) = self.calls.iter().position(is_meant) else {
            return;
        };
        let Some(attempt) = &mut self.calls[index].attempt else {
            return;
        };
        let failure = match message {
            ToIngress::Refused(kind) => attempt.state.on_refused(kind),
            ToIngress::Failed(kind) => attempt.state.on_aborted(kind),
            ToIngress::CancelReply { is_not_run } => attempt.state.on_cancel_reply(is_not_run),
            ToIngress::Resumed(knowledge) => match attempt.state.on_resumed(knowledge) {
                Ok(()) => return self.repeat_cancel(index),
                Err(failure) => failure,
            },
            ToIngress::Head => {
                attempt.has_head = true;
                return;
            }
            ToIngress::Whole { run_of } => {
                assert_eq!(run_of, id, "answer of another call");
                assert!(attempt.has_head, "an answer without its head");
                return self.finish(index);
            }
        };
        self.fail(index, failure);
    }

    fn repeat_cancel(&mut self, index: usize) {
        if let Some(attempt) = &self.calls[index].attempt
            && attempt.state.is_cancelled()
        {
            let (link, id) = (attempt.link, attempt.id);
            self.push_to_gate(link, ToGate::Cancel(id));
        }
    }

    fn finish(&mut self, index: usize) {
        let entry = &mut self.calls[index];
        entry.finals.push(FinalAnswer::Whole);
        if let Some(attempt) = entry.attempt.take() {
            self.push_to_gate(attempt.link, ToGate::Acknowledge(attempt.id));
        }
    }

    pub(super) fn drop_link(&mut self, pick: usize) {
        let Some(index) = self.pick_link(pick, |link| link.is_current) else {
            return;
        };
        self.links[index].is_current = false;
        for call in 0..self.calls.len() {
            let attempt = self.calls[call].attempt.as_ref();
            let is_on_link = attempt.is_some_and(|attempt| attempt.link == index);
            if is_on_link && self.calls[call].is_live() {
                self.resume(call, self.links[index].gate);
            }
        }
    }

    fn resume(&mut self, index: usize, gate: usize) {
        let link = self.link_to(gate);
        let incarnation = self.links[link].incarnation;
        let Some(attempt) = &mut self.calls[index].attempt else {
            return;
        };
        attempt.link = link;
        match attempt.state.on_new_link(incarnation) {
            Ok(()) => {
                let id = attempt.id;
                self.push_to_gate(link, ToGate::Resume(id));
            }
            Err(failure) => self.fail(index, failure),
        }
    }
}
