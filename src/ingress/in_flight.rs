//! Callers' requests in flight, as the log lines at the end of a planned stop
//! list them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::ids::CallId;
use crate::ingress::callers::RequestUsage;
use crate::ingress::{IngressState, lock};

/// Progress of a caller's request.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum RequestState {
    /// Its head has been read; the start of its body may be missing.
    #[display("reading")]
    Reading,
    /// A gate is searched for it, or has been offered its call.
    #[display("calling")]
    Calling,
    /// Its response is being written.
    #[display("writing")]
    Writing,
}

/// Request whose response has not been fully written.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// Time at which its head was read.
    pub accepted_at: Instant,
    /// Progress.
    pub state: RequestState,
    /// Call that serves it; `None` before there is one.
    pub call: Option<CallId>,
    /// Caller's own identifier of the request; empty if unknown.
    pub request_id: String,
    /// Time limit; `None` before it is known.
    pub time_limit: Option<Duration>,
}

/// Requests in flight by their number at this node.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    requests: Mutex<RequestsByNumber>,
}

#[derive(Debug, Default)]
struct RequestsByNumber {
    last_number: u64,
    by_number: BTreeMap<u64, InFlightRequest>,
}

impl InFlightRequests {
    /// Number of requests in flight.
    pub fn count(&self) -> u64 {
        lock(&self.requests).by_number.len() as u64
    }

    /// Requests in flight, the oldest first, at most `limit`.
    pub fn oldest(&self, limit: usize) -> Vec<InFlightRequest> {
        let requests = lock(&self.requests);
        requests.by_number.values().take(limit).cloned().collect()
    }

    fn insert(&self) -> u64 {
        let mut requests = lock(&self.requests);
        requests.last_number += 1;
        let number = requests.last_number;
        let request = InFlightRequest {
            accepted_at: Instant::now(),
            state: RequestState::Reading,
            call: None,
            request_id: String::new(),
            time_limit: None,
        };
        requests.by_number.insert(number, request);
        number
    }
}

/// Handle by which the tasks of a request record its progress.
#[derive(Clone)]
pub struct RequestProgress {
    shared: Arc<IngressState>,
    number: u64,
    usage: Arc<RequestUsage>,
}

impl RequestProgress {
    /// Changes the record of the request, if it is still in flight.
    pub fn update(&self, change: impl FnOnce(&mut InFlightRequest)) {
        let mut requests = lock(&self.shared.in_flight.requests);
        if let Some(request) = requests.by_number.get_mut(&self.number) {
            change(request);
        }
    }

    /// End of the request's time limit; now if the limit is not known.
    pub fn expires_at(&self) -> tokio::time::Instant {
        let mut expires_at = Instant::now();
        self.update(|request| {
            let time_limit = request.time_limit;
            expires_at = time_limit.map_or(expires_at, |limit| request.accepted_at + limit);
        });
        expires_at.into()
    }

    /// What is held for the request.
    pub fn usage(&self) -> &Arc<RequestUsage> {
        &self.usage
    }

    /// Records the progress of the request.
    pub fn set_state(&self, state: RequestState) {
        self.update(|request| request.state = state);
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard {
    progress: RequestProgress,
}

impl InFlightGuard {
    /// Counts a request from now on.
    pub fn new(shared: Arc<IngressState>, usage: Arc<RequestUsage>) -> Self {
        let number = shared.in_flight.insert();
        Self {
            progress: RequestProgress {
                shared,
                number,
                usage,
            },
        }
    }

    /// Handle to the record of the request.
    pub fn progress(&self) -> &RequestProgress {
        &self.progress
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut requests = lock(&self.progress.shared.in_flight.requests);
        requests.by_number.remove(&self.progress.number);
    }
}
