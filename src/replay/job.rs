//! What the pacer hands to senders, and what they report back.

use std::time::Duration;

use crate::error::RunOutcome;
use crate::ids::ServiceName;
use crate::options::BaseUrl;

/// Which of two series a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestSeries {
    /// Through the nodes.
    ThroughNodes,
    /// Directly to a backend server.
    Baseline,
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Number, unique in the replay.
    pub id: u64,
    /// Series.
    pub series: RequestSeries,
    /// Where it goes.
    pub url: BaseUrl,
    /// HTTP method.
    pub method: String,
    /// Path of the URL.
    pub path: String,
    /// Service asked for.
    pub service: ServiceName,
    /// Size of the body in bytes.
    pub body_bytes: u64,
    /// Service time asked of the stand-in, in microseconds.
    pub service_time_us: u64,
    /// Time limit that is sent along, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Nested calls below this one.
    pub nesting_depth: u32,
}

/// Change of a stand-in's faults.
#[derive(Debug, Clone)]
pub struct FaultChange {
    /// Stand-in.
    pub url: BaseUrl,
    /// Body of `PUT /standin/faults`.
    pub faults_json: String,
}

/// One thing to do at an intended time.
#[derive(Debug, Clone)]
pub enum ReplayJob {
    /// Send a request.
    SendRequest(Box<PlannedRequest>),
    /// Change a stand-in's faults.
    SetFaults(FaultChange),
}

/// A job with its intended time since the start.
#[derive(Debug, Clone)]
pub struct ScheduledJob {
    /// Intended time.
    pub scheduled_offset: Duration,
    /// What to do.
    pub job: ReplayJob,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server answered with 2xx, and the answer was the request's own.
    Answered,
    /// A backend server answered with another status.
    Failed,
    /// The system answered, and said what is known about the run.
    Refused(RunOutcome),
    /// The answer was cut short, and the caller could tell; or none came.
    Broken,
    /// The answer was whole and not the request's own.
    WrongAnswer,
}

/// Result of one request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// Request.
    pub request: Box<PlannedRequest>,
    /// Intended time since the start.
    pub scheduled_offset: Duration,
    /// From the intended time to the last byte of the answer.
    pub latency: Duration,
    /// From the intended time until the request was sent.
    pub send_delay: Duration,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// What went wrong, in words, for a broken or wrong answer.
    pub error_detail: Option<String>,
}
