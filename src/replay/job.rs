//! Jobs that the pacer passes to the sender threads, and the results that these
//! return.

use std::time::Duration;

use crate::error::RunOutcome;
use crate::ids::ServiceName;
use crate::options::BaseUrl;

/// Series of a measurement that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestSeries {
    /// Sent to a node's ingress.
    ThroughNodes,
    /// Sent directly to a backend server, for comparison.
    Baseline,
}

/// Request to send.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Unique within the replay.
    pub id: u64,
    /// Series that its result counts in.
    pub series: RequestSeries,
    /// Server that it is sent to.
    pub url: BaseUrl,
    /// HTTP method.
    pub method: String,
    /// URL path.
    pub path: String,
    /// Service that it is routed to.
    pub service: ServiceName,
    /// Size of the body.
    pub body_bytes: u64,
    /// Time for which the stand-in is to work on it.
    pub service_time_us: u64,
    /// Time limit to send with it; `None` leaves it to the service's rule.
    pub timeout_ms: Option<u64>,
    /// Levels of nested calls that the backend server makes below this one.
    pub nesting_depth: u32,
}

/// New faults of one stand-in.
#[derive(Debug, Clone)]
pub struct FaultChange {
    /// Address of the stand-in.
    pub url: BaseUrl,
    /// Body of `PUT /standin/faults`.
    pub faults_json: String,
}

/// Work of a sender thread.
#[derive(Debug, Clone)]
pub enum ReplayJob {
    /// Send a request.
    SendRequest(Box<PlannedRequest>),
    /// Replace the faults of a stand-in.
    SetFaults(FaultChange),
}

/// Job with its scheduled time.
#[derive(Debug, Clone)]
pub struct ScheduledJob {
    /// Time since the start of the replay.
    pub scheduled_offset: Duration,
    /// Work that is due then.
    pub job: ReplayJob,
}

/// Outcome of a request as its caller sees it. The summary counts outcomes by
/// the names of these variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server answered with 2xx, and the response is the request's: the
    /// body matches (not compared for HEAD), and so does the id if there is one.
    Answered,
    /// A backend server answered with another status than 2xx.
    Failed,
    /// A node answered in place of a backend server and reported whether the
    /// request ran.
    Refused(RunOutcome),
    /// No response came, or it was truncated in a way that the caller can detect.
    Broken,
    /// The response was complete, but its id or body is not the request's.
    WrongAnswer,
}

/// Result of a request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// Request that was sent.
    pub request: Box<PlannedRequest>,
    /// Scheduled time since the start of the replay.
    pub scheduled_offset: Duration,
    /// Time from the scheduled time to the last byte of the response.
    pub latency: Duration,
    /// Time from the scheduled time until the request was sent.
    pub send_delay: Duration,
    /// Outcome for the caller.
    pub outcome: RequestOutcome,
    /// Cause, for a failed, broken or wrong response.
    pub error_detail: Option<String>,
}
