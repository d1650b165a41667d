//! Check of a replay against the outcomes that its trace states.

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

/// Time beyond a request's limit in which its answer still counts as in time:
/// the way back to the caller, and timers that count whole milliseconds.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// What a replay came to.
#[derive(Debug)]
pub struct ReplayTotals {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered by a backend server with 2xx.
    pub answered: u64,
    /// Requests that were answered as run but never ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests that ran although the caller was told `not-run`.
    pub false_not_run: u64,
    /// Requests that ended later than their time limit.
    pub late: u64,
    /// Whole answers that were not the request's own.
    pub wrong: u64,
    /// Useful work over the capacity of all slots, in percent.
    pub goodput_percent: f64,
    /// Latencies of answered idempotent requests.
    pub idempotent_latency: LatencyHistogram,
    /// Count of each way to end.
    pub outcome_counts: BTreeMap<String, u64>,
    /// Events that the harness has to bring about.
    pub external_fault_events: u64,
}

/// Figures of a replay, and the outcomes that it missed.
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
    /// Outcomes that were stated and not reached.
    pub missed: Vec<String>,
    /// Outcomes that were stated and that only the decision replay can check.
    pub not_checked: Vec<&'static str>,
}

impl ReplayTotals {
    /// Compares what callers were told with what the stand-ins counted.
    ///
    /// # Errors
    ///
    /// Fails if the histogram can't be made.
    pub fn new(
        plan: &TracePlan,
        results: &[RequestResult],
        runs: &BTreeMap<String, u64>,
        settings: &SenderSettings,
    ) -> io::Result<Self> {
        let mut record = Self {
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
        let mut useful = Duration::ZERO;
        for result in results {
            let id = settings.request_id(result.request.id);
            record.add_result(plan, result, runs.get(&id).copied().unwrap_or(0));
            if result.outcome == RequestOutcome::Answered {
                useful += Duration::from_micros(result.request.service_time_us);
            }
        }
        let length = plan
            .jobs
            .last()
            .map_or(Duration::ZERO, |job| job.scheduled_offset);
        let capacity = length.as_secs_f64() * plan.total_slots as f64;
        if capacity > 0.0 {
            record.goodput_percent = useful.as_secs_f64() / capacity * 100.0;
        }
        Ok(record)
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
                self.false_not_run += u64::from(runs > 0)
            }
            RequestOutcome::WrongAnswer => self.wrong += 1,
            _ => {}
        }
        self.doubled += u64::from(!is_idempotent && runs > 1);
        let limit = match request.timeout_ms {
            Some(limit) => Duration::from_millis(limit),
            None => rule.timeout(&request.method, &request.path),
        };
        self.late += u64::from(result.latency > limit + DEADLINE_TOLERANCE);
    }

    fn answered_percent(&self) -> f64 {
        self.answered as f64 * 100.0 / self.sent.max(1) as f64
    }
}

/// Compares a replay with the stated outcomes.
pub fn check_expected_outcomes(stated: &OutcomeLine, record: &ReplayTotals) -> ReplayReport {
    let mut missed = Vec::new();
    let mut at_most = |name: &str, found: f64, most: f64| {
        if found > most {
            missed.push(format!("{name}: {found} is more than {most}"));
        }
    };
    let latency = record.idempotent_latency.summary();
    at_most("lost", record.lost as f64, stated.lost as f64);
    at_most("doubled", record.doubled as f64, stated.doubled as f64);
    at_most(
        "false_not_run",
        record.false_not_run as f64,
        stated.false_not_run as f64,
    );
    at_most("late", record.late as f64, stated.late as f64);
    at_most("wrong", record.wrong as f64, 0.0);
    if let Some(most) = stated.max_p99_ms {
        at_most("max_p99_ms", latency.p99_ms, most);
    }
    let mut at_least = |name: &str, found: f64, least: Option<f64>| {
        if least.is_some_and(|least| found < least) {
            missed.push(format!("{name}: {found} is less than {least:?}"));
        }
    };
    at_least(
        "min_answered_percent",
        record.answered_percent(),
        stated.min_answered_percent,
    );
    at_least(
        "min_goodput_percent",
        record.goodput_percent,
        stated.min_goodput_percent,
    );
    ReplayReport {
        sent: record.sent,
        answered_percent: record.answered_percent(),
        lost: record.lost,
        doubled: record.doubled,
        false_not_run: record.false_not_run,
        late: record.late,
        wrong: record.wrong,
        goodput_percent: record.goodput_percent,
        idempotent_latency: latency,
        ends: record.outcome_counts.clone(),
        left_to_harness: record.external_fault_events,
        missed,
        not_checked: unchecked_outcomes(stated),
    }
}

fn unchecked_outcomes(stated: &OutcomeLine) -> Vec<&'static str> {
    let relative = [
        (
            "max_p99_percent_of_round_robin",
            stated.max_p99_percent_of_round_robin,
        ),
        (
            "max_p99_percent_of_least_outstanding",
            stated.max_p99_percent_of_least_outstanding,
        ),
        ("max_attempts_percent", stated.max_attempts_percent),
        ("max_probes_per_1000", stated.max_probes_per_1000),
    ];
    let stated = relative.into_iter().filter(|(_, value)| value.is_some());
    stated.map(|(name, _)| name).collect()
}
