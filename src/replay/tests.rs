use std::collections::BTreeMap;
use std::time::Duration;

use super::body::generate_body;
use super::job::{ReplayJob, RequestOutcome, RequestResult};
use super::options::TraceMode;
use super::outcomes::{ReplayTotals, check_expected_outcomes};
use super::plan::{TracePlan, plan_trace};
use super::sender::SenderSettings;
use crate::error::RunOutcome;
use crate::trace::RecordedTrace;

const TRACE: &str = r#"{"at_ms":0,"kind":"service","service":"tillpost","rule":{"timeout_ms":100}}
{"at_ms":0,"kind":"upstream","node":"t1","region":"oyo-west","zone":"iseyin-c","service":"tillpost","slots":1,"connections":260}
{"at_ms":0,"kind":"outcome","min_answered_percent":60,"max_attempts_percent":120}
{"at_ms":1,"kind":"request","id":1,"service":"tillpost","region":"oyo-west","zone":"iseyin-c","method":"POST","path":"/orders","body_bytes":120,"work_us":4000}
{"at_ms":2,"kind":"speed","node":"t1","factor":20}
{"at_ms":3,"kind":"request","id":2,"service":"tillpost","region":"oyo-west","zone":"iseyin-c","method":"GET","path":"/orders","body_bytes":0,"work_us":4000}
{"at_ms":4,"kind":"fail_fast","node":"t1"}
{"at_ms":5,"kind":"gone","node":"t1"}
{"at_ms":10,"kind":"request","id":3,"service":"tillpost","region":"oyo-west","zone":"iseyin-c","method":"POST","path":"/orders","body_bytes":120,"work_us":4000}
"#;
const SETTINGS: SenderSettings = SenderSettings {
    replay_id: 10,
    max_connections: 1,
};

fn read_trace() -> RecordedTrace {
    RecordedTrace::read(TRACE.as_bytes()).unwrap()
}

fn trace_mode() -> TraceMode {
    TraceMode {
        trace_file: String::new(),
        ingresses: vec!["iseyin-c=http://127.0.0.1:1".parse().unwrap()],
        standins: vec!["t1=http://127.0.0.1:2".parse().unwrap()],
    }
}

#[test]
fn trace_is_planned_as_requests_and_faults_in_order() {
    let plan = plan_trace(&read_trace(), &trace_mode()).unwrap();
    let job_texts: Vec<String> = plan
        .jobs
        .iter()
        .map(|job| match &job.job {
            ReplayJob::SendRequest(request) => {
                format!("{} {}", job.scheduled_offset.as_millis(), request.id)
            }
            ReplayJob::SetFaults(change) => {
                format!(
                    "{} {}",
                    job.scheduled_offset.as_millis(),
                    change.faults_json
                )
            }
        })
        .collect();
    assert_eq!(
        (job_texts[0].as_str(), job_texts[2].as_str()),
        ("1 1", "3 2")
    );
    assert!(job_texts[1].starts_with(r#"2 {"slowdown":20.0,"fail_fast":false"#));
    assert!(job_texts[3].starts_with(r#"4 {"slowdown":20.0,"fail_fast":true"#));
    assert_eq!((plan.external_fault_events, plan.total_slots), (1, 1));
}

#[test]
fn zone_without_ingress_is_rejected_by_name() {
    let mode = TraceMode {
        ingresses: Vec::new(),
        ..trace_mode()
    };
    let error = plan_trace(&read_trace(), &mode).unwrap_err();
    assert_eq!(error.to_string(), "--ingress: none given for iseyin-c");
}

/// Results of the three requests, all with the same outcome and latency.
fn uniform_results(
    plan: &TracePlan,
    outcome: RequestOutcome,
    latency_ms: u64,
) -> Vec<RequestResult> {
    let requests = plan.jobs.iter().filter_map(|job| match &job.job {
        ReplayJob::SendRequest(request) => Some((job.scheduled_offset, request.clone())),
        ReplayJob::SetFaults(_) => None,
    });
    let result = |(scheduled_offset, request)| RequestResult {
        request,
        scheduled_offset,
        latency: Duration::from_millis(latency_ms),
        send_delay: Duration::ZERO,
        outcome,
        error_detail: None,
    };
    requests.map(result).collect()
}

/// Outcomes that a replay misses when its requests end and run like this.
fn missed_outcomes(outcome: RequestOutcome, latency_ms: u64, runs: [u64; 3]) -> Vec<String> {
    let plan = plan_trace(&read_trace(), &trace_mode()).unwrap();
    let ids = ["a-1", "a-2", "a-3"].map(ToString::to_string);
    let runs: BTreeMap<String, u64> = ids.into_iter().zip(runs).collect();
    let results = uniform_results(&plan, outcome, latency_ms);
    let totals = ReplayTotals::new(&plan, &results, &runs, &SETTINGS).unwrap();
    let report = check_expected_outcomes(&read_trace().outcome, &totals);
    assert_eq!(report.not_checked, ["max_attempts_percent"]);
    report.missed
}

#[test]
fn each_missed_outcome_is_reported() {
    let not_run = RequestOutcome::Refused(RunOutcome::NotRun);
    assert_eq!(
        missed_outcomes(RequestOutcome::Answered, 5, [1, 2, 1]),
        [""; 0]
    );
    let cases = [
        (RequestOutcome::Answered, 5, [1, 1, 2], "doubled: 1"),
        (RequestOutcome::Answered, 5, [0, 1, 1], "lost: 1"),
        (RequestOutcome::Answered, 121, [1, 1, 1], "late: 3"),
        (RequestOutcome::WrongAnswer, 5, [1, 1, 1], "wrong: 3"),
        (not_run, 5, [0, 1, 0], "false_not_run: 1"),
        (
            RequestOutcome::Failed,
            5,
            [1, 1, 1],
            "min_answered_percent: 0",
        ),
    ];
    for (outcome, latency_ms, runs, expected) in cases {
        let missed = missed_outcomes(outcome, latency_ms, runs);
        assert!(missed[0].starts_with(expected), "{expected}: {missed:?}");
    }
}

#[test]
fn bodies_are_unique_and_reproducible_by_request_id() {
    let bodies: Vec<_> = (0..1000).map(|id| generate_body(id, 16)).collect();
    let distinct: std::collections::BTreeSet<_> = bodies.iter().collect();
    assert_eq!(distinct.len(), bodies.len());
    assert_eq!(bodies[7], generate_body(7, 16));
    assert_eq!(generate_body(7, 3).len(), 3);
}
