//! Compares the results of a replay and the stand-ins' run counts with the
//! outcomes that the trace expects.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use serde::Serialize;

use super::job::{RequestOutcome, RequestResult};
use super::plan::TracePlan;
use super::sender::SenderSettings;
use super::summary::{LatencyHistogram, LatencySummary};
use crate::error::RunOutcome;
use crate::trace::OutcomeLine;

/// Time by which a response may exceed the request's time limit: it covers the
/// way back to the caller and the one-millisecond resolution of timers.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// Counts and latencies of a replay, from which its outcomes are checked.
#[derive(Debug)]
pub struct ReplayTotals {
    /// Requests sent.
    pub sent: u64,
    /// Requests with the outcome [`RequestOutcome::Answered`].
    pub answered: u64,
    /// Requests that were answered although they never ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests that ran although a node reported `not-run`.
    pub false_not_run: u64,
    /// Requests that ended after their time limit plus `DEADLINE_TOLERANCE`.
    pub late: u64,
    /// Requests with the outcome [`RequestOutcome::WrongAnswer`].
    pub wrong: u64,
    /// Service time of answered requests, as share of the time of all slots.
    pub goodput_percent: f64,
    /// Latencies of answered idempotent requests.
    pub idempotent_latency: LatencyHistogram,
    /// Requests by outcome.
    pub outcome_counts: BTreeMap<String, u64>,
    /// Fault events that the test harness must cause.
    pub external_fault_events: u64,
}

/// Summary of a replay, printed as JSON, with the outcomes that it missed.
#[derive(Debug, Serialize)]
pub struct ReplayReport {
    sent: u64,
    answered_percent: f64,
    lost: u64,
    doubled: u64,
    false_not_run: u64,
    late: u64,
    wrong: u64,
    goodput_percent: f64,
    idempotent_latency: LatencySummary,
    ends: BTreeMap<String, u64>,
    left_to_harness: u64,
    /// Expected outcomes that were not met, each with the measured value.
    pub missed: Vec<String>,
    /// Expected outcomes that only `currantlift-decisions` can check.
    pub not_checked: Vec<&'static str>,
}

impl ReplayTotals {
    /// Compares what callers were told with the stand-ins' run counts, by
    /// request id.
    ///
    /// # Errors
    ///
    /// Fails if the histogram can't be created.
    pub fn new(
        plan: &TracePlan,
        results: &[RequestResult],
        runs: &BTreeMap<String, u64>,
        settings: &SenderSettings,
    ) -> io::Result<Self> {
        let mut totals = Self {
            sent: 0,
            answered: 0,
            lost: 0,
            doubled: 0,
            false_not_run: 0,
            late: 0,
            wrong: 0,
            goodput_percent: 0.0,
            idempotent_latency: LatencyHistogram::new()?,
            outcome_counts: BTreeMap::new(),
            external_fault_events: plan.external_fault_events,
        };
        let mut useful_work = Duration::ZERO;
        for result in results {
            let id = settings.request_id(result.request.id);
            totals.add_result(plan, result, runs.get(&id).copied().unwrap_or(0));
            if result.outcome == RequestOutcome::Answered {
                useful_work += Duration::from_micros(result.request.service_time_us);
            }
        }
        let duration = plan
            .jobs
            .last()
            .map_or(Duration::ZERO, |job| job.scheduled_offset);
        let capacity = duration.as_secs_f64() * plan.total_slots as f64;
        if capacity > 0.0 {
            totals.goodput_percent = useful_work.as_secs_f64() / capacity * 100.0;
        }
        Ok(totals)
    }

    fn add_result(&mut self, plan: &TracePlan, result: &RequestResult, runs: u64) {
        let request = &result.request;
        let rule = plan
            .service_rules
            .get(&request.service)
            .cloned()
            .unwrap_or_default();
        let is_idempotent = rule.is_idempotent(&request.method, &request.path);
        self.sent += 1;
        *self
            .outcome_counts
            .entry(format!("{:?}", result.outcome))
            .or_default() += 1;
        match result.outcome {
            RequestOutcome::Answered => {
                self.answered += 1;
                self.lost += u64::from(runs == 0);
                if is_idempotent {
                    self.idempotent_latency.record(result.latency);
                }
            }
            RequestOutcome::Refused(RunOutcome::NotRun) => {
                self.false_not_run += u64::from(runs > 0);
            }
            RequestOutcome::WrongAnswer => self.wrong += 1,
            _ => {}
        }
        self.doubled += u64::from(!is_idempotent && runs > 1);
        let time_limit = match request.timeout_ms {
            Some(limit_ms) => Duration::from_millis(limit_ms),
            None => rule.timeout(&request.method, &request.path),
        };
        self.late += u64::from(result.latency > time_limit + DEADLINE_TOLERANCE);
    }

    fn answered_percent(&self) -> f64 {
        self.answered as f64 * 100.0 / self.sent.max(1) as f64
    }
}

/// Checks the expected outcomes of a trace against the totals of its replay.
pub fn check_expected_outcomes(expected: &OutcomeLine, totals: &ReplayTotals) -> ReplayReport {
    let mut missed = Vec::new();
    let mut check_at_most = |name: &str, measured: f64, limit: f64| {
        if measured > limit {
            missed.push(format!("{name}: {measured} is more than {limit}"));
        }
    };
    let latency = totals.idempotent_latency.summary();
    check_at_most("lost", totals.lost as f64, expected.lost as f64);
    check_at_most("doubled", totals.doubled as f64, expected.doubled as f64);
    check_at_most(
        "false_not_run",
        totals.false_not_run as f64,
        expected.false_not_run as f64,
    );
    check_at_most("late", totals.late as f64, expected.late as f64);
    check_at_most("wrong", totals.wrong as f64, 0.0);
    if let Some(limit) = expected.max_p99_ms {
        check_at_most("max_p99_ms", latency.p99_ms, limit);
    }
    let mut check_at_least = |name: &str, measured: f64, limit: Option<f64>| {
        if limit.is_some_and(|limit| measured < limit) {
            missed.push(format!("{name}: {measured} is less than {limit:?}"));
        }
    };
    check_at_least(
        "min_answered_percent",
        totals.answered_percent(),
        expected.min_answered_percent,
    );
    check_at_least(
        "min_goodput_percent",
        totals.goodput_percent,
        expected.min_goodput_percent,
    );
    ReplayReport {
        sent: totals.sent,
        answered_percent: totals.answered_percent(),
        lost: totals.lost,
        doubled: totals.doubled,
        false_not_run: totals.false_not_run,
        late: totals.late,
        wrong: totals.wrong,
        goodput_percent: totals.goodput_percent,
        idempotent_latency: latency,
        ends: totals.outcome_counts.clone(),
        left_to_harness: totals.external_fault_events,
        missed,
        not_checked: unchecked_outcomes(expected),
    }
}

fn unchecked_outcomes(expected: &OutcomeLine) -> Vec<&'static str> {
    let unchecked = [
        (
            "max_p99_percent_of_round_robin",
            expected.max_p99_percent_of_round_robin,
        ),
        (
            "max_p99_percent_of_least_outstanding",
            expected.max_p99_percent_of_least_outstanding,
        ),
        ("max_attempts_percent", expected.max_attempts_percent),
        ("max_probes_per_1000", expected.max_probes_per_1000),
    ];
    let stated_limits = unchecked.into_iter().filter(|(_, limit)| limit.is_some());
    stated_limits.map(|(name, _)| name).collect()
}
