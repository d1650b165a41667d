//! State of the stand-in, shared by its requests and its announcements.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use super::options::StandinOptions;
use crate::ids::BackendId;
use crate::options::BaseUrl;

/// Faults that can be switched on while the stand-in runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Factor on the service time.
    pub slowdown: f64,
    /// Answer 500 at once, without a run.
    pub fail_fast: bool,
    /// Cut the connection in the middle of the answer.
    pub cut: bool,
    /// Run the request, and never answer.
    pub silent: bool,
    /// Work on more calls at once than there are slots.
    pub ignore_slots: bool,
    /// Announce a drain, and go on running.
    pub draining: bool,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            fail_fast: false,
            cut: false,
            silent: false,
            ignore_slots: false,
            draining: false,
        }
    }
}

/// Counts of runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs begun.
    pub started: u64,
    /// Runs ended with an answer.
    pub finished: u64,
    /// Runs cancelled by the caller.
    pub cancelled: u64,
    /// Requests that are waiting or running.
    pub active: u64,
    /// Most runs at the same time.
    pub most_running: u64,
    /// Runs by `request-id`.
    pub runs: BTreeMap<String, u64>,
}

/// State of the stand-in.
#[derive(Debug)]
pub struct StandinState {
    /// Name of the stand-in.
    pub id: BackendId,
    /// Service time without a header that says otherwise.
    pub default_service_time: Duration,
    /// Ingress for nested calls.
    pub nested_call_ingress: Option<BaseUrl>,
    /// Slots; a request waits here for its turn.
    pub slot_permits: Arc<Semaphore>,
    /// Wakes the announcer before its next heartbeat.
    pub announcement_due: Notify,
    /// Whether each run is printed.
    pub print_runs: bool,
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
            counts: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    fn lock_counts(&self) -> MutexGuard<'_, RunCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts so far.
    pub fn counts(&self) -> RunCounts {
        self.lock_counts().clone()
    }

    /// Faults in force.
    pub fn faults(&self) -> FaultSettings {
        let faults = self.faults.lock();
        faults.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: FaultSettings) {
        if faults.draining != self.faults().draining {
            self.announcement_due.notify_one();
        }
        let mut current = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        *current = faults;
    }

    /// Counts a request as active until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> ActiveRequest {
        self.lock_counts().active += 1;
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

/// One request at work; dropping it before its end counts as cancelled.
#[derive(Debug)]
pub struct ActiveRequest {
    state: Arc<StandinState>,
    phase: RequestPhase,
}

impl ActiveRequest {
    /// Counts the begin of the run.
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

    /// Counts the end of the run.
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
