//! Log lines of the gate's decisions on calls.

use std::time::Duration;

use crate::admission::{AdmissionDecision, AdmissionQueue};
use crate::gate::Gate;
use crate::ids::CallId;
use crate::link::messages::{CallOpen, LoadSnapshot};

/// Logs the decision on an offered call, with the load and the limits behind it.
pub(super) fn log_admission(
    id: CallId,
    open: &CallOpen,
    decision: &AdmissionDecision,
    load: LoadSnapshot,
) {
    let (wait_ms, finish_ms) = match decision {
        AdmissionDecision::Start => (0, None),
        AdmissionDecision::Queued { estimated_wait } => (estimated_wait.as_millis() as u64, None),
        AdmissionDecision::Refused {
            retry_after,
            estimated_response_time,
            ..
        } => (
            retry_after.as_millis() as u64,
            Some(estimated_response_time.as_millis() as u64),
        ),
    };
    let kind = match decision {
        AdmissionDecision::Refused { kind, .. } => Some(kind.code()),
        AdmissionDecision::Start | AdmissionDecision::Queued { .. } => None,
    };
    log::info!(
        target: "admission",
        call:% = id,
        request_id = open.request_id.as_str(),
        service = open.service.as_str(),
        rank = open.rank,
        tenant = open.tenant.as_str(),
        ask_percent = open.max_occupancy_percent,
        target_left_ms = open.target_left_us.map(|left| left / 1_000),
        time_left_ms = open.time_left_us / 1_000,
        decision = decision.name(), kind, wait_ms, finish_ms,
        in_flight = load.in_flight,
        queued = load.queued,
        limit = load.limit,
        is_slow = load.is_slow,
        rate_limit = load.start_rate,
        next_start_ms = load.next_start_us / 1_000,
        admitted_ranks = load.admitted_ranks;
        "call offered"
    );
}

/// Logs that a queued call lost its place.
pub(super) fn log_queued_refusal(
    id: CallId,
    open: &CallOpen,
    retry_after: Duration,
    load: LoadSnapshot,
) {
    log::info!(
        target: "admission",
        call:% = id,
        request_id = open.request_id.as_str(),
        service = open.service.as_str(),
        retry_after_ms = retry_after.as_millis() as u64,
        queued = load.queued,
        rate_limit = load.start_rate,
        next_start_ms = load.next_start_us / 1_000;
        "queued call refused"
    );
}

impl Gate {
    /// Counts a decision by rank and reason, if calls of tenants arrive here.
    pub(super) fn count_rank_admission(&self, open: &CallOpen, decision: &AdmissionDecision) {
        let result = match decision {
            AdmissionDecision::Refused { kind, .. } => kind.code(),
            AdmissionDecision::Start | AdmissionDecision::Queued { .. } => decision.name(),
        };
        self.count_rank_result(open, result);
    }

    /// Counts a queued call that lost its place.
    pub(super) fn count_rank_eviction(&self, open: &CallOpen) {
        self.count_rank_result(open, "evicted");
    }

    fn count_rank_result(&self, open: &CallOpen, result: &str) {
        let admission = self.admission.borrow();
        if admission.as_ref().is_some_and(AdmissionQueue::is_fair) {
            let rank = Some(open.rank).filter(|_| !open.tenant.is_empty());
            self.metrics.count_rank_admission(rank, result);
        }
    }
}
