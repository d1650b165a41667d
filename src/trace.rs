//! Traces of requests and faults in a deployment, with the expected outcomes of
//! a replay.
//!
//! A trace is a file of JSON lines with one event each, in order of `at_ms`. An
//! event that names a node or a service follows the line that declares it. The
//! `outcome` line holds the limits that a replay must meet; a trace without one
//! states no expectations and is rejected. Lines are validated as they are read,
//! and errors name the line and the field.

mod read;

use std::io::{self, Write};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::ids::{ConnectionCount, NodeId, RegionName, ServiceName, SlotCount, ZoneName};
use crate::table::ServiceRule;

/// Reason why a trace is rejected.
#[derive(Debug, Display, Error)]
pub enum TraceError {
    /// The source can't be read, or the line is not UTF-8.
    #[display("line {line}: {source}")]
    Read {
        /// Number of the line, from 1.
        line: usize,
        /// Underlying error.
        source: io::Error,
    },
    /// The line is not a JSON object.
    #[display("line {line}: expected a JSON object: {reason}")]
    InvalidJson {
        /// Number of the line, from 1.
        line: usize,
        /// Error message of the parser or the check.
        reason: String,
    },
    /// A field is missing, unknown or out of range.
    #[display("line {line}, field '{field}': {reason}")]
    InvalidField {
        /// Number of the line, from 1.
        line: usize,
        /// Name of the field.
        field: String,
        /// Error message of the parser or the check.
        reason: String,
    },
    /// The trace has no `outcome` line.
    #[display("no line with kind 'outcome'")]
    MissingOutcome,
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Milliseconds since the start of the trace.
    pub at_ms: f64,
    /// Kind of the event, with its fields.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl TraceEvent {
    /// Time since the start of the trace, from [`Self::at_ms`].
    pub fn offset(&self) -> Duration {
        Duration::from_secs_f64(self.at_ms / 1e3)
    }
}

/// Kind of a [`TraceEvent`], with the fields of its line.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// An upstream becomes ready.
    Upstream(UpstreamLine),
    /// A service is added, or its rule changes.
    Service(ServiceLine),
    /// A caller sends a request.
    Request(RequestLine),
    /// The service time of a backend server changes.
    Speed(SpeedLine),
    /// A backend server starts draining.
    Drain(NodeLine),
    /// A backend server starts to fail every request immediately.
    FailFast(NodeLine),
    /// A backend server and its node stop responding but keep their connections
    /// open.
    Freeze(NodeLine),
    /// All faults of a backend server end, as after a restart.
    Recover(NodeLine),
    /// A backend server and its node are lost, for example with their
    /// availability zone.
    Gone(NodeLine),
    /// The one-way network delays are set.
    Delay(DelayLine),
    /// Limits that a replay must meet.
    Outcome(OutcomeLine),
}

/// Upstream that becomes ready: a backend server with its node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamLine {
    /// Node beside the backend server.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Service that the backend server serves.
    pub service: ServiceName,
    /// Requests that the backend server can process concurrently.
    pub slots: SlotCount,
    /// Maximum number of connections that the backend server accepts.
    pub connections: ConnectionCount,
}

/// Service with its rule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceLine {
    /// Name of the service.
    pub service: ServiceName,
    /// Rule that applies from the time of the event.
    pub rule: ServiceRule,
}

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestLine {
    /// Number of the request, unique in the trace.
    pub id: u64,
    /// Requested service.
    pub service: ServiceName,
    /// Region of the ingress.
    pub region: RegionName,
    /// Availability zone of the ingress.
    pub zone: ZoneName,
    /// HTTP method.
    pub method: String,
    /// Path of the request URL.
    pub path: String,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Service time at a backend server of normal speed, in microseconds.
    pub work_us: u64,
    /// Time limit in milliseconds, at least 1; `None` for the limit of the rule.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Number of nested calls below this one; each is made by the one before, to
    /// the next service by name (the first after the last). `None` means 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub depth: Option<u32>,
}

/// Change of a backend server's service time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedLine {
    /// Node beside the backend server.
    pub node: NodeId,
    /// New service time as a multiple of the normal one; above 0.
    pub factor: f64,
}

/// Node that an event without further fields affects.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct NodeLine {
    /// Node beside the backend server.
    pub node: NodeId,
}

/// One-way network delays in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayLine {
    /// Between nodes of one availability zone.
    pub within_zone_us: u64,
    /// Between availability zones of one region.
    pub between_zones_us: u64,
    /// Between regions.
    pub between_regions_us: u64,
    /// Between a caller and its ingress.
    pub client_us: u64,
}

/// Limits that a replay must meet.
///
/// An absent maximum of [`Self::lost`], [`Self::doubled`],
/// [`Self::false_not_run`] or [`Self::late`] is 0; other absent limits are not
/// checked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutcomeLine {
    /// Maximum number of requests that were answered but never ran.
    pub lost: u64,
    /// Maximum number of non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Maximum number of requests that ran although the caller was told
    /// `not-run`.
    pub false_not_run: u64,
    /// Maximum number of requests that ended after their time limit.
    pub late: u64,
    /// Minimum share of requests that a backend server answered, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_answered_percent: Option<f64>,
    /// Minimum useful work as a share of the capacity of all slots, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_goodput_percent: Option<f64>,
    /// Maximum p99 latency of answered idempotent requests, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_ms: Option<f64>,
    /// Maximum of that p99 latency relative to round robin's, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_percent_of_round_robin: Option<f64>,
    /// Maximum of that p99 latency relative to least outstanding's, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_percent_of_least_outstanding: Option<f64>,
    /// Maximum number of attempts relative to first attempts, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_attempts_percent: Option<f64>,
    /// Maximum number of load probes per 1,000 calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_probes_per_1000: Option<f64>,
}

/// Validated trace, recorded or generated.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedTrace {
    /// Events in order of time.
    pub events: Vec<TraceEvent>,
    /// Limits that a replay must meet, from the `outcome` line.
    pub outcome: OutcomeLine,
}

impl RecordedTrace {
    /// Writes the events as JSON lines.
    ///
    /// # Errors
    ///
    /// Fails if a write to `writer` fails.
    pub fn write(&self, writer: &mut impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut *writer, event)?;
            writer.write_all(b"\n")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
