//! One attempt at a fake upstream, and the end of a call.

use std::time::Duration;

use super::{ActiveCall, CallIndex, NewCall, Replay, ReplayEvent, RunningWork, SILENT_LINK_TIME};
use crate::admission::{AdmissionDecision, CallOffer, WorkResult};
use crate::decisions::upstream::BackendCondition;
use crate::error::{ErrorKind, RunOutcome};
use crate::ids::{CallId, NodeId};
use crate::retry::{AttemptFailure, RetryContext, RetryDecision};
use crate::routing::AttemptResult;

/// What the caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    Answered,
    Told(RunOutcome),
}

fn call_id(index: CallIndex) -> CallId {
    CallId {
        ingress_incarnation: 0,
        sequence: index as u64,
    }
}

impl ActiveCall<'_> {
    fn is_at(&self, attempt: u32) -> bool {
        !self.is_ended && self.attempt == attempt
    }
}

impl Replay<'_> {
    pub(super) fn on_offer(&mut self, index: CallIndex, attempt: u32) {
        let call = &self.calls[index];
        let Some((node, _)) = call.place.clone().filter(|_| call.is_at(attempt)) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&node) else {
            return;
        };
        match upstream.condition {
            BackendCondition::Silent => return self.lose_link(index),
            BackendCondition::FailingFast => {
                return self.reply(index, AttemptResult::Failed(ErrorKind::BackendFailed));
            }
            BackendCondition::Serving => {}
        }
        let time_left = call.deadline.saturating_sub(self.now);
        let offer = CallOffer::with_defaults(call_id(index), time_left);
        match upstream.admission.offer(self.now, offer) {
            AdmissionDecision::Start => self.begin(index),
            AdmissionDecision::Queued { .. } => {}
            AdmissionDecision::Refused { kind, .. } => {
                self.reply(index, AttemptResult::Refused(kind));
            }
        }
    }

    fn begin(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let Some((node, _)) = &call.place else {
            return;
        };
        call.runs += 1;
        call.has_started = true;
        let work = self.upstreams[node].work_time(call.request.work_us);
        self.run_until(index, self.now, self.now + work);
    }

    fn run_until(&mut self, index: CallIndex, started_at: Duration, done_at: Duration) {
        self.works += 1;
        self.calls[index].running = Some(RunningWork {
            number: self.works,
            started_at,
            done_at,
        });
        let event = ReplayEvent::WorkDone(index, self.works);
        self.queue.schedule(done_at, event);
    }

    /// Work left takes as much longer or shorter as the speed changes.
    pub(super) fn change_speed(&mut self, node: &NodeId, factor: f64) {
        let Some(upstream) = self.upstreams.get_mut(node) else {
            return;
        };
        let change = factor / upstream.factor;
        upstream.factor = factor;
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            let is_here = call.place.as_ref().is_some_and(|(place, _)| place == node);
            let Some(work) = call.running.filter(|_| is_here) else {
                continue;
            };
            let left = work.done_at.saturating_sub(self.now);
            self.run_until(index, work.started_at, self.now + left.mul_f64(change));
        }
    }

    pub(super) fn on_work_done(&mut self, index: CallIndex, number: u64) {
        let call = &self.calls[index];
        let is_current = call.running.is_some_and(|work| work.number == number);
        let Some((node, _)) = call.place.clone().filter(|_| is_current) else {
            return;
        };
        if self.upstreams[&node].condition == BackendCondition::Silent {
            return;
        }
        if call.depth == 0 {
            return self.finish_work(index);
        }
        let new = NewCall {
            request: call.request,
            service: self.next_service(call.service),
            ingress: node,
            depth: call.depth - 1,
            deadline: call.deadline,
            parent: Some(index),
        };
        self.start_call(new);
    }

    fn finish_work(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let (Some(work), Some((node, _))) = (call.running.take(), &call.place) else {
            return;
        };
        let latency = self.now.saturating_sub(work.started_at);
        let node = node.clone();
        self.free_slot(index, &node, WorkResult::Completed { latency });
        self.reply(index, AttemptResult::Answered);
    }

    fn free_slot(&mut self, index: CallIndex, node: &NodeId, result: WorkResult) {
        let Some(upstream) = self.upstreams.get_mut(node) else {
            return;
        };
        for started in upstream.admission.finish(self.now, call_id(index), result) {
            let next = usize::try_from(started.sequence).unwrap_or(usize::MAX);
            self.begin(next);
        }
    }

    fn reply(&mut self, index: CallIndex, result: AttemptResult) {
        let call = &self.calls[index];
        let Some((node, _)) = &call.place else {
            return;
        };
        let report = Some(self.upstreams[node].report(self.now));
        let at = self.now + self.delay(node, &call.ingress);
        let event = ReplayEvent::Reply(index, call.attempt, result, report);
        self.queue.schedule(at, event);
    }

    fn lose_link(&mut self, index: CallIndex) {
        let result = AttemptResult::Failed(ErrorKind::LinkLost);
        let event = ReplayEvent::Reply(index, self.calls[index].attempt, result, None);
        self.queue.schedule(self.now + SILENT_LINK_TIME, event);
    }

    /// Ends what a node that fell silent had at work, as ingress and as gate.
    pub(super) fn lose_node(&mut self, node: &NodeId) {
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            if call.is_ended {
                continue;
            }
            if call.ingress == *node {
                self.cancel(index);
                self.end(index, CallEnd::Told(RunOutcome::Unknown));
            } else if call.place.as_ref().is_some_and(|(place, _)| place == node) {
                self.lose_link(index);
            }
        }
    }

    pub(super) fn on_reply(
        &mut self,
        index: CallIndex,
        attempt: u32,
        result: AttemptResult,
        report: Option<crate::routing::LoadReport>,
    ) {
        let call = &mut self.calls[index];
        let Some((node, number)) = call.place.clone().filter(|_| call.is_at(attempt)) else {
            return;
        };
        call.place = None;
        let service = call.service;
        if let Some(ingress) = self.ingresses.get_mut(&call.ingress) {
            let policy = &mut ingress.policy;
            policy.on_finished(self.now, service, &node, number, result);
            if let Some(report) = report {
                policy.on_report(self.now, &node, report);
            }
        }
        match result {
            AttemptResult::Answered
            | AttemptResult::AnsweredServerError
            | AttemptResult::Cancelled => {
                self.end(index, CallEnd::Answered);
            }
            AttemptResult::Refused(kind) => {
                self.after_failure(index, AttemptFailure::NotRun(kind));
            }
            AttemptResult::Failed(kind) => {
                self.after_failure(index, AttemptFailure::Unknown(kind));
            }
        }
    }

    pub(super) fn after_failure(&mut self, index: CallIndex, failure: AttemptFailure) {
        let call = &mut self.calls[index];
        let facts = RetryContext {
            is_idempotent: call.is_idempotent,
            may_have_run: call.may_have_run,
            attempts_made: call.attempt,
            max_attempts: call.attempts_limit,
            time_left: call.deadline.saturating_sub(self.now),
        };
        call.may_have_run |= matches!(failure, AttemptFailure::Unknown(_));
        let Some(ingress) = self.ingresses.get_mut(&call.ingress) else {
            return;
        };
        match ingress.retries.decide(call.service, &facts, failure) {
            RetryDecision::Retry => self.route(index),
            RetryDecision::GiveUp { outcome, .. } => self.end(index, CallEnd::Told(outcome)),
        }
    }

    pub(super) fn on_deadline(&mut self, index: CallIndex) {
        if self.calls[index].is_ended {
            return;
        }
        let outcome = self.cancel(index);
        self.end(index, CallEnd::Told(outcome));
    }

    /// Takes a call back from its gate, which acknowledges what never started.
    fn cancel(&mut self, index: CallIndex) -> RunOutcome {
        let call = &mut self.calls[index];
        let may_have_run = call.may_have_run || call.has_started;
        let is_running = call.running.take().is_some();
        let Some((node, number)) = call.place.take() else {
            return outcome_of(may_have_run);
        };
        let service = call.service;
        if let Some(ingress) = self.ingresses.get_mut(&call.ingress) {
            let result = AttemptResult::Cancelled;
            ingress
                .policy
                .on_finished(self.now, service, &node, number, result);
        }
        if is_running {
            self.free_slot(index, &node, WorkResult::Cancelled);
        } else if let Some(upstream) = self.upstreams.get_mut(&node) {
            upstream.admission.withdraw(self.now, call_id(index));
        }
        let is_silent = self.upstreams[&node].condition == BackendCondition::Silent;
        outcome_of(may_have_run || is_silent)
    }

    fn end(&mut self, index: CallIndex, result: CallEnd) {
        let call = &mut self.calls[index];
        call.is_ended = true;
        let is_answered = result == CallEnd::Answered && !call.is_spoiled;
        let (runs, parent) = (call.runs, call.parent);
        let figures = &mut self.figures;
        figures.late += u64::from(self.now > call.deadline);
        figures.lost += u64::from(result == CallEnd::Answered && runs == 0);
        figures.doubled += u64::from(!call.is_idempotent && runs > 1);
        figures.false_not_run += u64::from(result == CallEnd::Told(RunOutcome::NotRun) && runs > 0);
        match parent {
            Some(parent) => {
                self.calls[parent].is_spoiled |= !is_answered;
                self.finish_work(parent);
            }
            None => self.count_end(index, result, is_answered),
        }
    }

    fn count_end(&mut self, index: CallIndex, result: CallEnd, is_answered: bool) {
        let call = &self.calls[index];
        let figures = &mut self.figures;
        match result {
            _ if is_answered => figures.answered += 1,
            CallEnd::Told(RunOutcome::NotRun) => figures.refused += 1,
            _ => figures.unknown += 1,
        }
        if !is_answered {
            return;
        }
        let levels = call.request.depth.unwrap_or(0) + 1;
        figures.useful_work += Duration::from_micros(call.request.work_us) * levels;
        if call.is_idempotent {
            let way = 2 * self.delays.client_us;
            let elapsed = self.now.saturating_sub(call.started_at);
            let latency_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            figures.latency.saturating_record(latency_us + way);
            let work_us = call.request.work_us * u64::from(levels);
            let delay_us = (latency_us + way).saturating_sub(work_us);
            figures.delay.saturating_record(delay_us);
        }
    }
}

fn outcome_of(may_have_run: bool) -> RunOutcome {
    if may_have_run {
        RunOutcome::Unknown
    } else {
        RunOutcome::NotRun
    }
}
