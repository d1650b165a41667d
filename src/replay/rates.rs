//! Load at a constant rate, sent to an ingress and, alternating with it,
//! directly to a backend server, which shows the latency that the nodes add.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use serde::Serialize;

use super::job::{
    PlannedRequest, ReplayJob, RequestOutcome, RequestResult, RequestSeries, ScheduledJob,
};
use super::options::{RateMode, ReplayOptions};
use super::pacer::run_jobs;
use super::sender::SenderSettings;
use super::summary::{LatencyHistogram, LatencySummary};
use super::{ReplayVerdict, print_json};

/// Limit of the error details printed for each series.
const MAX_PRINTED_ERRORS: usize = 5;

#[derive(Debug, Serialize)]
struct RateSummary {
    rate: u64,
    body_bytes: u64,
    path: SeriesSummary,
    baseline: Option<SeriesSummary>,
    /// Percentiles of `path` minus the same percentiles of `baseline`.
    added: Option<AddedLatency>,
    /// Percentiles of the difference between each request and the baseline
    /// request that was scheduled right after it.
    added_paired: Option<AddedLatency>,
}

#[derive(Debug, Serialize)]
struct SeriesSummary {
    latency: LatencySummary,
    lag: LatencySummary,
    ends: BTreeMap<String, u64>,
}

/// Latency that the nodes add. It can be negative.
#[derive(Debug, Clone, Copy, Serialize)]
struct AddedLatency {
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

/// Sends the requests and prints latency histograms and the summary.
///
/// # Errors
///
/// Fails if a sender thread can't be started, panics or ends early.
pub fn replay_constant_rate(options: &ReplayOptions, mode: &RateMode) -> io::Result<ReplayVerdict> {
    let settings = SenderSettings {
        replay_id: rand::random(),
        max_connections: options.max_connections,
    };
    let results = run_jobs(&schedule_jobs(mode), options.threads, settings)?;
    let warm_up = Duration::from_secs(mode.warm_up_seconds);
    let (path, baseline): (Vec<_>, Vec<_>) = results
        .into_iter()
        .filter(|result| result.scheduled_offset >= warm_up)
        .partition(|result| result.request.series == RequestSeries::ThroughNodes);
    let summary = RateSummary {
        rate: mode.requests_per_second,
        body_bytes: mode.body_bytes,
        path: summarize("path", &path)?,
        baseline: match baseline.is_empty() {
            true => None,
            false => Some(summarize("baseline", &baseline)?),
        },
        added: None,
        added_paired: pairwise_difference_percentiles(&path, &baseline),
    };
    let added = summary
        .baseline
        .as_ref()
        .map(|baseline| percentile_differences(&summary.path.latency, &baseline.latency));
    print_json(&RateSummary { added, ..summary })?;
    let is_not_wrong = |result: &RequestResult| result.outcome != RequestOutcome::WrongAnswer;
    match path.iter().chain(&baseline).all(is_not_wrong) {
        true => Ok(ReplayVerdict::Passed),
        false => Ok(ReplayVerdict::Failed),
    }
}

fn schedule_jobs(mode: &RateMode) -> Vec<ScheduledJob> {
    let count = mode.requests_per_second * (mode.duration_seconds + mode.warm_up_seconds);
    let interval = Duration::from_secs(1).div_f64(mode.requests_per_second as f64);
    let mut jobs = Vec::new();
    for index in 0..count {
        let scheduled_offset = interval.mul_f64(index as f64);
        jobs.push(schedule_request(
            mode,
            2 * index,
            scheduled_offset,
            RequestSeries::ThroughNodes,
            &mode.target,
        ));
        if let Some(baseline) = &mode.baseline {
            let scheduled_offset = scheduled_offset + interval / 2;
            jobs.push(schedule_request(
                mode,
                2 * index + 1,
                scheduled_offset,
                RequestSeries::Baseline,
                baseline,
            ));
        }
    }
    jobs
}

fn schedule_request(
    mode: &RateMode,
    id: u64,
    scheduled_offset: Duration,
    series: RequestSeries,
    url: &crate::options::BaseUrl,
) -> ScheduledJob {
    let request = PlannedRequest {
        id,
        series,
        url: url.clone(),
        method: mode.method.clone(),
        path: "/replay".to_string(),
        service: mode.service.clone(),
        body_bytes: mode.body_bytes,
        service_time_us: mode.service_time_us,
        timeout_ms: None,
        nesting_depth: 0,
    };
    ScheduledJob {
        scheduled_offset,
        job: ReplayJob::SendRequest(Box::new(request)),
    }
}

fn summarize(title: &str, results: &[RequestResult]) -> io::Result<SeriesSummary> {
    let histogram = LatencyHistogram::from_latencies(results.iter().map(|result| result.latency))?;
    histogram.print(title);
    let send_delays =
        LatencyHistogram::from_latencies(results.iter().map(|result| result.send_delay))?;
    let mut outcome_counts: BTreeMap<String, u64> = BTreeMap::new();
    for result in results {
        *outcome_counts
            .entry(format!("{:?}", result.outcome))
            .or_default() += 1;
    }
    let error_details = results
        .iter()
        .filter_map(|result| result.error_detail.as_ref());
    for error_detail in error_details.take(MAX_PRINTED_ERRORS) {
        eprintln!("{title}: {error_detail}");
    }
    Ok(SeriesSummary {
        latency: histogram.summary(),
        lag: send_delays.summary(),
        ends: outcome_counts,
    })
}

fn percentile_differences(path: &LatencySummary, baseline: &LatencySummary) -> AddedLatency {
    AddedLatency {
        p50_ms: path.p50_ms - baseline.p50_ms,
        p90_ms: path.p90_ms - baseline.p90_ms,
        p99_ms: path.p99_ms - baseline.p99_ms,
        p999_ms: path.p999_ms - baseline.p999_ms,
    }
}

fn pairwise_difference_percentiles(
    path: &[RequestResult],
    baseline: &[RequestResult],
) -> Option<AddedLatency> {
    let baseline_latencies: BTreeMap<u64, Duration> = baseline
        .iter()
        .map(|result| (result.request.id - 1, result.latency))
        .collect();
    let mut differences_ms: Vec<f64> = path
        .iter()
        .filter_map(|result| {
            let baseline_latency = baseline_latencies.get(&result.request.id)?;
            Some((result.latency.as_secs_f64() - baseline_latency.as_secs_f64()) * 1e3)
        })
        .collect();
    differences_ms.sort_by(f64::total_cmp);
    let last = differences_ms.len().checked_sub(1)?;
    let value_at = |quantile: f64| differences_ms[((last as f64) * quantile).round() as usize];
    Some(AddedLatency {
        p50_ms: value_at(0.5),
        p90_ms: value_at(0.9),
        p99_ms: value_at(0.99),
        p999_ms: value_at(0.999),
    })
}
