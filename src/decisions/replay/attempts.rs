//! Attempts at simulated upstreams, and the end of calls.
//!
//! A call with nested calls below it makes the next one when its own work is
//! done, and keeps its slot until that call ends.

use std::time::Duration;

use super::{
    ActiveCall, CallIndex, LINK_SILENCE_TIMEOUT, NewCall, Replay, ReplayEvent, RunningWork,
};
use crate::admission::{AdmissionDecision, CallOffer, WorkResult};
use crate::decisions::upstream::BackendCondition;
use crate::decisions::zone_figures::RunStart;
use crate::error::{ErrorKind, RunOutcome};
use crate::ids::{CallId, NodeId};
use crate::ingress::placing::GateEstimate;
use crate::retry::{AttemptFailure, RetryContext, RetryDecision};
use crate::routing::AttemptResult;

/// Bytes of an offer without its body, and of its refusal.
const OFFER_BYTES: u64 = 400;
/// Bytes of a response.
const RESPONSE_BYTES: u64 = 1_000;

/// Result that the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Answered,
    Failed(RunOutcome),
}

fn call_id(index: CallIndex) -> CallId {
    CallId {
        ingress_incarnation: 0,
        sequence: index as u64,
    }
}

impl ActiveCall<'_> {
    fn is_current_attempt(&self, attempt: u32) -> bool {
        !self.is_ended && self.current_attempt == attempt
    }
}

impl Replay<'_> {
    pub(super) fn on_offer(&mut self, index: CallIndex, attempt: u32) {
        let call = &self.calls[index];
        let Some((node, _)) = call
            .target
            .clone()
            .filter(|_| call.is_current_attempt(attempt))
        else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&node) else {
            return;
        };
        match upstream.condition {
            BackendCondition::Unresponsive => return self.schedule_link_loss(index),
            BackendCondition::FailingFast => {
                return self.schedule_reply(index, AttemptResult::Failed(ErrorKind::BackendFailed));
            }
            BackendCondition::Serving => {}
        }
        let time_left = call.deadline.saturating_sub(self.now);
        let max_percent = call.max_occupancy_percent;
        let offer = CallOffer {
            no_wait_slot_share: (max_percent > 0).then(|| f64::from(max_percent) / 100.0),
            ..CallOffer::with_defaults(call_id(index), time_left)
        };
        match upstream.admission.offer(self.now, offer) {
            AdmissionDecision::Start => self.start_run(index),
            AdmissionDecision::Queued { .. } => {}
            AdmissionDecision::Refused {
                kind,
                retry_after,
                estimated_response_time,
            } => {
                let admits_past_target = upstream.admission.admits_past_target(self.now, "");
                self.calls[index].refusal_estimate = Some(GateEstimate {
                    time_to_slot: retry_after,
                    time_to_response: estimated_response_time,
                    admits_past_target,
                });
                self.schedule_reply(index, AttemptResult::Refused(kind));
            }
        }
    }

    fn start_run(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let Some((node, _)) = &call.target else {
            return;
        };
        call.run_count += 1;
        call.has_attempt_started = true;
        let upstream = &self.upstreams[node];
        let load = upstream.load_report(self.now);
        let is_full = f64::from(load.in_flight) > f64::from(upstream.spec.slots.get()) * 0.8;
        let slowdown = if is_full {
            self.settings.full_slowdown
        } else {
            1.0
        };
        let service_time = upstream
            .service_time(call.request.work_us)
            .mul_f64(slowdown);
        self.count_run(index);
        self.schedule_completion(index, self.now, self.now + service_time);
    }

    fn schedule_completion(&mut self, index: CallIndex, started_at: Duration, ends_at: Duration) {
        self.last_work_id += 1;
        self.calls[index].running_work = Some(RunningWork {
            id: self.last_work_id,
            started_at,
            ends_at,
        });
        let event = ReplayEvent::WorkDone(index, self.last_work_id);
        self.queue.schedule(ends_at, event);
    }

    /// Changes the speed of a backend server, also for the work that its runs
    /// still have to do.
    pub(super) fn set_slowdown_factor(&mut self, node: &NodeId, factor: f64) {
        let Some(upstream) = self.upstreams.get_mut(node) else {
            return;
        };
        let ratio = factor / upstream.slowdown_factor;
        upstream.slowdown_factor = factor;
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            let is_on_node = call
                .target
                .as_ref()
                .is_some_and(|(target, _)| target == node);
            let Some(work) = call.running_work.filter(|_| is_on_node) else {
                continue;
            };
            let time_left = work.ends_at.saturating_sub(self.now);
            self.schedule_completion(index, work.started_at, self.now + time_left.mul_f64(ratio));
        }
    }

    pub(super) fn on_work_done(&mut self, index: CallIndex, work_id: u64) {
        let call = &self.calls[index];
        let is_current_work = call.running_work.is_some_and(|work| work.id == work_id);
        let Some((node, _)) = call.target.clone().filter(|_| is_current_work) else {
            return;
        };
        if self.upstreams[&node].condition == BackendCondition::Unresponsive {
            return;
        }
        if call.depth == 0 {
            return self.complete_run(index);
        }
        let nested_call = NewCall {
            request: call.request,
            service: self.nested_call_service(call.service),
            ingress: node,
            depth: call.depth - 1,
            deadline: call.deadline,
            parent: Some(index),
        };
        self.start_call(nested_call);
    }

    fn complete_run(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let (Some(work), Some((node, _))) = (call.running_work.take(), &call.target) else {
            return;
        };
        let latency = self.now.saturating_sub(work.started_at);
        let node = node.clone();
        self.release_slot(index, &node, WorkResult::Completed { latency });
        self.schedule_reply(index, AttemptResult::Answered);
    }

    fn release_slot(&mut self, index: CallIndex, node: &NodeId, result: WorkResult) {
        let Some(upstream) = self.upstreams.get_mut(node) else {
            return;
        };
        for started in upstream.admission.finish(self.now, call_id(index), result) {
            let started_index = usize::try_from(started.sequence).unwrap_or(usize::MAX);
            self.start_run(started_index);
        }
    }

    fn schedule_reply(&mut self, index: CallIndex, result: AttemptResult) {
        let call = &self.calls[index];
        let Some((node, _)) = &call.target else {
            return;
        };
        let is_missing =
            self.is_report_old(&call.ingress, node) || self.is_cut_off(&call.ingress, node);
        let report = (!is_missing).then(|| self.upstreams[node].load_report(self.now));
        let at = self.now + self.one_way_delay(node, &call.ingress);
        let event = ReplayEvent::ReplyArrival(index, call.current_attempt, result, report);
        self.queue.schedule(at, event);
    }

    fn schedule_link_loss(&mut self, index: CallIndex) {
        let result = AttemptResult::Failed(ErrorKind::LinkLost);
        let event =
            ReplayEvent::ReplyArrival(index, self.calls[index].current_attempt, result, None);
        self.queue.schedule(self.now + LINK_SILENCE_TIMEOUT, event);
    }

    /// Fails the calls of a lost node. Those that it routes end with an unknown
    /// outcome; attempts at its gate fail as their links do.
    pub(super) fn fail_calls_of_node(&mut self, node: &NodeId) {
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            if call.is_ended {
                continue;
            }
            if call.ingress == *node {
                self.cancel_attempt(index);
                self.end(index, CallResult::Failed(RunOutcome::Unknown));
            } else if call
                .target
                .as_ref()
                .is_some_and(|(target, _)| target == node)
            {
                self.schedule_link_loss(index);
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
        let Some((node, attempt_number)) = call
            .target
            .clone()
            .filter(|_| call.is_current_attempt(attempt))
        else {
            return;
        };
        call.target = None;
        let service = call.service;
        if let Some(ingress) = self.ingresses.get_mut(&call.ingress) {
            let policy = &mut ingress.policy;
            policy.on_attempt_finished(self.now, service, &node, attempt_number, result);
            if let Some(report) = report {
                policy.on_load_report(self.now, &node, report);
            }
        }
        match result {
            AttemptResult::Answered
            | AttemptResult::AnsweredServerError
            | AttemptResult::Cancelled => {
                self.end(index, CallResult::Answered);
            }
            AttemptResult::Refused(kind) => {
                let estimate = call.refusal_estimate.take();
                call.search.on_refused(&node, estimate);
                self.handle_attempt_failure(index, AttemptFailure::NotRun(kind));
            }
            AttemptResult::Failed(kind) => {
                self.handle_attempt_failure(index, AttemptFailure::Unknown(kind));
            }
        }
    }

    pub(super) fn handle_attempt_failure(&mut self, index: CallIndex, failure: AttemptFailure) {
        let call = &mut self.calls[index];
        let context = RetryContext {
            is_idempotent: call.is_idempotent,
            may_have_run: call.may_have_run,
            is_body_replayable: true,
            attempts_made: call.current_attempt - call.uncounted_offers,
            max_attempts: call.max_attempts,
            time_left: call.deadline.saturating_sub(self.now),
        };
        call.may_have_run |= matches!(failure, AttemptFailure::Unknown(_));
        let Some(ingress) = self.ingresses.get_mut(&call.ingress) else {
            return;
        };
        let is_free = ingress.retry_policy.is_free_retry(&context, failure);
        match ingress.retry_policy.decide(call.service, &context, failure) {
            RetryDecision::Retry => {
                if is_free {
                    call.uncounted_offers += 1;
                } else {
                    call.search.restart(self.settings.max_immediate_offers);
                }
                self.start_attempt(index);
            }
            RetryDecision::GiveUp { outcome, .. } => self.end(index, CallResult::Failed(outcome)),
        }
    }

    pub(super) fn on_deadline(&mut self, index: CallIndex) {
        if self.calls[index].is_ended {
            return;
        }
        let outcome = self.cancel_attempt(index);
        self.end(index, CallResult::Failed(outcome));
    }

    /// Cancels the current attempt and returns the outcome of the call. A gate
    /// confirms that a call which it had not started will not run; a lost node
    /// confirms nothing.
    fn cancel_attempt(&mut self, index: CallIndex) -> RunOutcome {
        let call = &mut self.calls[index];
        let may_have_run = call.may_have_run || call.has_attempt_started;
        let is_running = call.running_work.take().is_some();
        let Some((node, attempt_number)) = call.target.take() else {
            return run_outcome(may_have_run);
        };
        let service = call.service;
        if let Some(ingress) = self.ingresses.get_mut(&call.ingress) {
            let result = AttemptResult::Cancelled;
            ingress
                .policy
                .on_attempt_finished(self.now, service, &node, attempt_number, result);
        }
        if is_running {
            self.release_slot(index, &node, WorkResult::Cancelled);
        } else if let Some(upstream) = self.upstreams.get_mut(&node) {
            upstream.admission.withdraw(self.now, call_id(index));
        }
        let is_unresponsive = self.upstreams[&node].condition == BackendCondition::Unresponsive;
        run_outcome(may_have_run || is_unresponsive)
    }

    fn end(&mut self, index: CallIndex, result: CallResult) {
        let call = &mut self.calls[index];
        call.is_ended = true;
        let is_answered = result == CallResult::Answered && !call.has_failed_nested_call;
        let (run_count, parent) = (call.run_count, call.parent);
        let figures = &mut self.figures;
        figures.late += u64::from(self.now > call.deadline);
        figures.lost += u64::from(result == CallResult::Answered && run_count == 0);
        figures.doubled += u64::from(!call.is_idempotent && run_count > 1);
        figures.false_not_run +=
            u64::from(result == CallResult::Failed(RunOutcome::NotRun) && run_count > 0);
        match parent {
            Some(parent) => {
                self.calls[parent].has_failed_nested_call |= !is_answered;
                self.complete_run(parent);
            }
            None => self.record_request_result(index, result, is_answered),
        }
    }

    /// Ends a call that no gate can serve in time.
    pub(super) fn refuse_unplaced(&mut self, index: CallIndex) {
        let outcome = run_outcome(self.calls[index].may_have_run);
        self.end(index, CallResult::Failed(outcome));
    }

    /// Counts the bytes of an offer to another zone.
    pub(super) fn count_offer_bytes(&mut self, ingress: &NodeId, node: &NodeId) {
        if self.is_other_zone(ingress, node) {
            self.zone_figures.cross_zone_bytes += OFFER_BYTES;
        }
    }

    fn count_run(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        let Some((node, _)) = &call.target else {
            return;
        };
        let is_other_zone = self.is_other_zone(&call.ingress, node);
        let spec = &self.upstreams[node].spec;
        let capacity = f64::from(spec.slots.get()) / self.upstreams[node].slowdown_factor;
        let body_bytes = call.request.body_bytes + RESPONSE_BYTES;
        let start = RunStart {
            at: self.now,
            zone: self.upstreams[&call.ingress].spec.zone.clone(),
            upstream: (spec.zone.clone(), spec.node.clone()),
            work_per_capacity: call.request.work_us as f64 / capacity,
            cross_zone_bytes: if is_other_zone { body_bytes } else { 0 },
            is_other_zone,
        };
        self.zone_figures.record_run(start);
    }

    fn record_request_result(&mut self, index: CallIndex, result: CallResult, is_answered: bool) {
        let call = &self.calls[index];
        self.zone_figures
            .record_request(call.started_at, &call.request.zone, is_answered);
        let figures = &mut self.figures;
        match result {
            _ if is_answered => figures.answered += 1,
            CallResult::Failed(RunOutcome::NotRun) => figures.refused += 1,
            _ => figures.unknown += 1,
        }
        if !is_answered {
            return;
        }
        let levels = call.request.depth.unwrap_or(0) + 1;
        figures.useful_work += Duration::from_micros(call.request.work_us) * levels;
        if call.is_idempotent {
            let client_round_trip_us = 2 * self.network_delays.client_us;
            let elapsed = self.now.saturating_sub(call.started_at);
            let latency_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            figures
                .latency
                .saturating_record(latency_us + client_round_trip_us);
            let work_us = call.request.work_us * u64::from(levels);
            let excess_us = (latency_us + client_round_trip_us).saturating_sub(work_us);
            figures.excess_latency.saturating_record(excess_us);
        }
    }
}

fn run_outcome(may_have_run: bool) -> RunOutcome {
    if may_have_run {
        RunOutcome::Unknown
    } else {
        RunOutcome::NotRun
    }
}
