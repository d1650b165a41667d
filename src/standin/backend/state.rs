//! Settings, faults and run counts of the stand-in, shared by its request
//! handlers and its announcer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use super::options::StandinOptions;
use crate::ids::BackendId;
use crate::options::BaseUrl;

/// Simulated faults, set through `PUT /standin/faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Factor that the service time is multiplied by.
    pub slowdown: f64,
    /// Respond at once with status 500, without running the request.
    pub fail_fast: bool,
    /// Close the connection halfway through the response.
    pub cut: bool,
    /// Close the connection within the head of the response.
    pub cut_head: bool,
    /// Respond at once with status 500, without running the request, and read its body
    /// later.
    pub answer_early: bool,
    /// Respond at once with status 500, without running the request, and send the
    /// response twice.
    pub repeat_failure: bool,
    /// Run the request, but never respond.
    pub silent: bool,
    /// Run more requests concurrently than there are slots.
    pub ignore_slots: bool,
    /// Announce a drain, but keep running.
    pub draining: bool,
    /// Header fields that every response carries.
    pub response_fields: BTreeMap<String, String>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            fail_fast: false,
            cut: false,
            cut_head: false,
            answer_early: false,
            repeat_failure: false,
            silent: false,
            ignore_slots: false,
            draining: false,
            response_fields: BTreeMap::new(),
        }
    }
}

/// Run counts, as `GET /standin/runs` reports them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs started.
    pub started: u64,
    /// Runs that ended with a response.
    pub finished: u64,
    /// Runs dropped before their end, as when the caller closes the connection.
    pub cancelled: u64,
    /// Requests currently waiting or running.
    pub active: u64,
    /// Highest number of concurrent runs.
    pub most_running: u64,
    /// Runs by the `request-id` header.
    pub runs: BTreeMap<String, u64>,
}

/// State shared by request handlers and announcer.
#[derive(Debug)]
pub struct StandinState {
    /// Announced name, sent in the `standin-id` header of responses.
    pub id: BackendId,
    /// Service time of requests without the `standin-work-us` header.
    pub default_service_time: Duration,
    /// Ingress for nested calls; without it none are made.
    pub nested_call_ingress: Option<BaseUrl>,
    /// One permit per slot; a request waits for one before it runs.
    pub slot_permits: Arc<Semaphore>,
    /// Notifies the announcer of a changed state before its next heartbeat.
    pub announcement_due: Notify,
    /// Whether to print a line for each run.
    pub print_runs: bool,
    started_at: Instant,
    /// Arrivals of requests, as times since the start.
    arrivals: Mutex<Vec<Duration>>,
    counts: Mutex<RunCounts>,
    faults: Mutex<FaultSettings>,
}

impl StandinState {
    /// State before the first request.
    pub fn new(options: &StandinOptions) -> Self {
        let slots = usize::try_from(options.slots.get()).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            id: options.id.clone(),
            default_service_time: options.default_service_time,
            nested_call_ingress: options.nested_call_ingress.clone(),
            slot_permits: Arc::new(Semaphore::new(slots)),
            announcement_due: Notify::new(),
            print_runs: options.print_runs,
            started_at: Instant::now(),
            arrivals: Mutex::default(),
            counts: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    fn lock_counts(&self) -> MutexGuard<'_, RunCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Run counts so far.
    pub fn counts(&self) -> RunCounts {
        self.lock_counts().clone()
    }

    /// Faults in force.
    pub fn faults(&self) -> FaultSettings {
        let faults = self.faults.lock();
        faults.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults; announces a changed `draining` at once.
    pub fn set_faults(&self, faults: FaultSettings) {
        if faults.draining != self.faults().draining {
            self.announcement_due.notify_one();
        }
        let mut current_faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        *current_faults = faults;
    }

    /// Arrivals of requests, in milliseconds since the start.
    pub fn arrivals_ms(&self) -> Vec<u64> {
        let arrivals = self.arrivals.lock();
        let arrivals = arrivals.unwrap_or_else(PoisonError::into_inner);
        arrivals
            .iter()
            .map(|arrival| u64::try_from(arrival.as_millis()).unwrap_or(u64::MAX))
            .collect()
    }

    /// Counts a request as active until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> ActiveRequest {
        self.lock_counts().active += 1;
        let arrivals = self.arrivals.lock();
        let mut arrivals = arrivals.unwrap_or_else(PoisonError::into_inner);
        arrivals.push(self.started_at.elapsed());
        drop(arrivals);
        ActiveRequest {
            state: self.clone(),
            phase: RequestPhase::Waiting,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestPhase {
    Waiting,
    Running,
    Finished,
}

/// Guard of an active request. Dropped during the run, it counts the run as
/// cancelled.
#[derive(Debug)]
pub struct ActiveRequest {
    state: Arc<StandinState>,
    phase: RequestPhase,
}

impl ActiveRequest {
    /// Counts the start of the run, also by `request_id` if there is one.
    pub fn record_run_start(&mut self, request_id: Option<&str>) {
        let mut counts = self.state.lock_counts();
        counts.started += 1;
        let running = counts.started - counts.finished - counts.cancelled;
        counts.most_running = counts.most_running.max(running);
        if let Some(id) = request_id {
            *counts.runs.entry(id.to_string()).or_default() += 1;
            if self.state.print_runs {
                println!("run {id}");
            }
        }
        self.phase = RequestPhase::Running;
    }

    /// Counts the run as ended with a response.
    pub fn record_run_end(&mut self) {
        self.state.lock_counts().finished += 1;
        self.phase = RequestPhase::Finished;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut counts = self.state.lock_counts();
        counts.active -= 1;
        if self.phase == RequestPhase::Running {
            counts.cancelled += 1;
        }
    }
}
