//! Replay of a recorded trace: turns its events into scheduled jobs, runs them,
//! reads the stand-ins' run counts and checks the expected outcomes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader};
use std::thread;
use std::time::Duration;

use ntex::http::Method;

use super::faults::FaultTracker;
use super::job::{FaultChange, PlannedRequest, ReplayJob, RequestSeries, ScheduledJob};
use super::options::{ReplayOptions, TraceMode};
use super::outcomes::{ReplayTotals, check_expected_outcomes};
use super::pacer::run_jobs;
use super::sender::SenderSettings;
use super::{ReplayVerdict, print_json};
use crate::admin::AdminClient;
use crate::ids::{NodeId, ServiceName, ZoneName};
use crate::options::BaseUrl;
use crate::standin::backend::RunCounts;
use crate::table::ServiceRule;
use crate::trace::{EventKind, RecordedTrace, RequestLine};

/// Wait between the last response and the reading of run counts. An attempt
/// that was given up for another one can still run in this time, and is counted.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// Jobs of a trace, and its facts that the check of the outcomes needs.
#[derive(Debug, Default)]
pub struct TracePlan {
    /// Jobs in the order of their scheduled times.
    pub jobs: Vec<ScheduledJob>,
    /// Rules by service, for idempotency and time limits.
    pub service_rules: BTreeMap<ServiceName, ServiceRule>,
    /// Sum of the slots of all upstreams.
    pub total_slots: u64,
    /// Fault events that the test harness must cause; see [`FaultTracker`].
    pub external_fault_events: u64,
}

/// Replays a trace and prints a latency histogram and the summary.
///
/// # Errors
///
/// Fails if the trace can't be read, names a zone without ingress or a node
/// without stand-in, a sender thread fails, or a stand-in's run counts can't
/// be read.
pub fn replay_trace(options: &ReplayOptions, mode: &TraceMode) -> io::Result<ReplayVerdict> {
    let file = File::open(&mode.trace_file)
        .map_err(|error| io::Error::other(format!("{}: {error}", mode.trace_file)))?;
    let trace = RecordedTrace::read(BufReader::new(file)).map_err(io::Error::other)?;
    let plan = plan_trace(&trace, mode)?;
    let settings = SenderSettings {
        replay_id: rand::random(),
        max_connections: options.max_connections,
    };
    let results = run_jobs(&plan.jobs, options.threads, settings)?;
    thread::sleep(SETTLE_DELAY);
    let runs = fetch_total_runs(mode)?;
    let totals = ReplayTotals::new(&plan, &results, &runs, &settings)?;
    let report = check_expected_outcomes(&trace.outcome, &totals);
    totals
        .idempotent_latency
        .print("answered idempotent requests");
    print_json(&report)?;
    match report.missed.is_empty() {
        true => Ok(ReplayVerdict::Passed),
        false => Ok(ReplayVerdict::Failed),
    }
}

/// Builds the jobs of a trace.
///
/// # Errors
///
/// Fails if a zone with requests has no ingress, or a node with faults no
/// stand-in.
pub fn plan_trace(trace: &RecordedTrace, mode: &TraceMode) -> io::Result<TracePlan> {
    let mut ingresses: BTreeMap<&ZoneName, Vec<&BaseUrl>> = BTreeMap::new();
    for ingress in &mode.ingresses {
        ingresses
            .entry(&ingress.name)
            .or_default()
            .push(&ingress.url);
    }
    let standins: BTreeMap<&NodeId, &BaseUrl> = mode
        .standins
        .iter()
        .map(|standin| (&standin.name, &standin.url))
        .collect();
    let mut plan = TracePlan::default();
    let mut fault_tracker = FaultTracker::default();
    for event in &trace.events {
        match &event.kind {
            EventKind::Service(line) => {
                plan.service_rules
                    .insert(line.service.clone(), line.rule.clone());
            }
            EventKind::Upstream(line) => plan.total_slots += u64::from(line.slots.get()),
            EventKind::Request(line) => {
                let urls = ingresses.get(&line.zone);
                let urls = urls.ok_or_else(|| missing_url_error("--ingress", &line.zone))?;
                let index = usize::try_from(line.id).unwrap_or_default() % urls.len();
                let request = Box::new(plan_request(line, urls[index]));
                plan.add_job(event.offset(), ReplayJob::SendRequest(request));
            }
            kind => {
                if let Some((node, settings)) = fault_tracker.apply(kind) {
                    let standin = standins.get(&node);
                    let url =
                        (*standin.ok_or_else(|| missing_url_error("--standin", &node))?).clone();
                    let faults_json = serde_json::to_string(&settings)?;
                    plan.add_job(
                        event.offset(),
                        ReplayJob::SetFaults(FaultChange { url, faults_json }),
                    );
                }
            }
        }
    }
    plan.external_fault_events = fault_tracker.external_fault_events;
    Ok(plan)
}

impl TracePlan {
    fn add_job(&mut self, scheduled_offset: Duration, job: ReplayJob) {
        self.jobs.push(ScheduledJob {
            scheduled_offset,
            job,
        });
    }
}

fn missing_url_error(flag: &str, name: &impl ToString) -> io::Error {
    io::Error::other(format!("{flag}: none given for {}", name.to_string()))
}

fn plan_request(line: &RequestLine, ingress: &BaseUrl) -> PlannedRequest {
    PlannedRequest {
        id: line.id,
        series: RequestSeries::ThroughNodes,
        url: ingress.clone(),
        method: line.method.clone(),
        path: line.path.clone(),
        service: line.service.clone(),
        body_bytes: line.body_bytes,
        service_time_us: line.work_us,
        timeout_ms: line.timeout_ms,
        nesting_depth: line.depth.unwrap_or(0),
    }
}

/// Runs by request id, summed over all stand-ins.
fn fetch_total_runs(mode: &TraceMode) -> io::Result<BTreeMap<String, u64>> {
    let standins = mode.standins.clone();
    let system = ntex::rt::System::new("counts", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let mut total_runs = BTreeMap::new();
        for standin in standins {
            for (id, count) in fetch_run_counts(standin.url).await?.runs {
                *total_runs.entry(id).or_default() += count;
            }
        }
        Ok(total_runs)
    })
}

async fn fetch_run_counts(standin: BaseUrl) -> io::Result<RunCounts> {
    let client = AdminClient::connect(standin, None).await;
    let client = client.map_err(io::Error::other)?;
    let response = client.request(Method::GET, "/standin/runs", None).await;
    let response = response.map_err(io::Error::other)?;
    Ok(serde_json::from_str(&response.body)?)
}
