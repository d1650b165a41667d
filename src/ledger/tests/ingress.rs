//! Ingress of the model: the logic of the ingress driver, without sockets.

use std::time::Duration;

use super::gate::{GateMessage, IngressMessage, OutgoingMessage};
use super::model::{AttemptModel, CallModel, ClusterModel, FinalOutcome};
use crate::error::ErrorKind;
use crate::ids::CallId;
use crate::ledger::attempt::{AttemptState, CallHistory, DeadlineAction};
use crate::retry::{AttemptFailure, RetryContext, RetryDecision};

/// Sequence numbers reserved for a call and its attempts.
pub(super) const SEQUENCE_NUMBERS_PER_CALL: u64 = 16;
const MAX_ATTEMPTS_PER_CALL: u32 = 4;

impl ClusterModel {
    pub(super) fn new_call(&mut self, is_idempotent: bool) {
        self.last_sequence += SEQUENCE_NUMBERS_PER_CALL;
        self.retry_policy.record_first_attempt(&self.service);
        let base_id = CallId {
            ingress_incarnation: self.ingress_incarnation,
            sequence: self.last_sequence,
        };
        self.calls.push(CallModel {
            base_id,
            is_idempotent,
            attempt_count: 0,
            current_attempt: None,
            history: CallHistory::default(),
            is_abandoned: false,
            final_outcomes: Vec::new(),
        });
    }

    pub(super) fn with_live_call(&mut self, pick: usize, apply: impl FnOnce(&mut Self, usize)) {
        let calls = self.calls.iter().enumerate();
        let live: Vec<usize> = calls
            .filter(|(_, entry)| entry.is_live())
            .map(|(index, _)| index)
            .collect();
        if !live.is_empty() {
            apply(self, live[pick % live.len()]);
        }
    }

    pub(super) fn open_attempt(&mut self, index: usize, gate: usize) {
        if self.calls[index].current_attempt.is_some() {
            return;
        }
        let link = self.link_to(gate);
        let incarnation = self.links[link].incarnation;
        let entry = &mut self.calls[index];
        entry.attempt_count += 1;
        let id = CallId {
            sequence: entry.base_id.sequence + u64::from(entry.attempt_count),
            ..entry.base_id
        };
        entry.current_attempt = Some(AttemptModel {
            id,
            link,
            state: AttemptState::new(incarnation),
            has_head: false,
        });
        let is_idempotent = entry.is_idempotent;
        let open = GateMessage::Open {
            call: id,
            is_idempotent,
        };
        self.push_to_gate(link, open);
    }

    /// Fails a call for which routing finds no gate.
    pub(super) fn give_up(&mut self, index: usize) {
        if self.calls[index].current_attempt.is_none() {
            self.fail_attempt(index, AttemptFailure::NotRun(ErrorKind::NoUpstream));
        }
    }

    pub(super) fn fire_deadline_timer(&mut self, index: usize) {
        let Some(attempt) = &mut self.calls[index].current_attempt else {
            self.fail_attempt(index, AttemptFailure::NotRun(ErrorKind::TimedOut));
            return;
        };
        match attempt.state.on_deadline_timer() {
            DeadlineAction::Cancel => {
                let (link, id) = (attempt.link, attempt.id);
                self.push_to_gate(link, GateMessage::Cancel(id));
            }
            DeadlineAction::GiveUp(failure) => self.fail_attempt(index, failure),
        }
    }

    pub(super) fn fail_unreachable(&mut self, index: usize) {
        if let Some(attempt) = &self.calls[index].current_attempt {
            let failure = attempt.state.on_gate_unreachable();
            self.fail_attempt(index, failure);
        }
    }

    fn fail_attempt(&mut self, index: usize, failure: AttemptFailure) {
        let entry = &mut self.calls[index];
        let attempt = entry.current_attempt.take();
        if attempt.is_some_and(|attempt| attempt.has_head) {
            entry.final_outcomes.push(FinalOutcome::Truncated);
            return;
        }
        entry.history.record_failure(failure);
        let context = RetryContext {
            is_idempotent: entry.is_idempotent,
            may_have_run: entry.history.may_have_run(),
            is_body_replayable: true,
            attempts_made: entry.attempt_count,
            max_attempts: MAX_ATTEMPTS_PER_CALL,
            time_left: Duration::from_secs(1),
        };
        let decision = self.retry_policy.decide(&self.service, &context, failure);
        if matches!(decision, RetryDecision::GiveUp { .. }) {
            let outcome = entry.history.outcome();
            entry.final_outcomes.push(FinalOutcome::Failed(outcome));
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
            queue.pop_front().expect("queued message")
        };
        self.receive_message(index, outgoing);
    }

    /// Handles a message if its attempt is in progress and still uses the link.
    fn receive_message(&mut self, link: usize, (id, message): OutgoingMessage) {
        let is_addressee = |entry: &CallModel| {
            let attempt = entry.current_attempt.as_ref();
            entry.is_live() && attempt.is_some_and(|it| it.id == id && it.link == link)
        };
        let Some(index) = self.calls.iter().position(is_addressee) else {
            return;
        };
        let Some(attempt) = &mut self.calls[index].current_attempt else {
            return;
        };
        let failure = match message {
            IngressMessage::Refused(kind) => attempt.state.on_refused(kind),
            IngressMessage::Failed(kind) => attempt.state.on_aborted(kind),
            IngressMessage::CancelReply { is_not_run } => attempt.state.on_cancel_reply(is_not_run),
            IngressMessage::Resumed(status) => match attempt.state.on_resumed(status) {
                Ok(()) => return self.resend_cancel(index),
                Err(failure) => failure,
            },
            IngressMessage::ResponseHead => {
                attempt.has_head = true;
                return;
            }
            IngressMessage::CompleteResponse { source_call } => {
                assert_eq!(source_call, id, "response of another call");
                assert!(attempt.has_head, "response completed before its head");
                return self.complete_call(index);
            }
        };
        self.fail_attempt(index, failure);
    }

    fn resend_cancel(&mut self, index: usize) {
        if let Some(attempt) = &self.calls[index].current_attempt
            && attempt.state.is_cancelled()
        {
            let (link, id) = (attempt.link, attempt.id);
            self.push_to_gate(link, GateMessage::Cancel(id));
        }
    }

    fn complete_call(&mut self, index: usize) {
        let entry = &mut self.calls[index];
        entry.final_outcomes.push(FinalOutcome::Complete);
        if let Some(attempt) = entry.current_attempt.take() {
            self.push_to_gate(attempt.link, GateMessage::Acknowledge(attempt.id));
        }
    }

    pub(super) fn drop_link(&mut self, pick: usize) {
        let Some(index) = self.pick_link(pick, |link| link.is_current) else {
            return;
        };
        self.links[index].is_current = false;
        for call in 0..self.calls.len() {
            let attempt = self.calls[call].current_attempt.as_ref();
            let is_on_link = attempt.is_some_and(|attempt| attempt.link == index);
            if is_on_link && self.calls[call].is_live() {
                self.resume_attempt(call, self.links[index].gate);
            }
        }
    }

    fn resume_attempt(&mut self, index: usize, gate: usize) {
        let link = self.link_to(gate);
        let incarnation = self.links[link].incarnation;
        let Some(attempt) = &mut self.calls[index].current_attempt else {
            return;
        };
        attempt.link = link;
        match attempt.state.on_new_link(incarnation) {
            Ok(()) => {
                let id = attempt.id;
                self.push_to_gate(link, GateMessage::Resume(id));
            }
            Err(failure) => self.fail_attempt(index, failure),
        }
    }
}
