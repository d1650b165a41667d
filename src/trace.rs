//! Recorded traces: what happened to a deployment, and the outcomes it must
//! reach.
//!
//! A trace is JSON lines, one event each, in order of `at_ms`. Events that
//! name a node or a service come after the line that declares it. The
//! `outcome` line states what a replay must reach; a trace without one states
//! nothing and is refused. Lines are checked as they are read, and an error
//! names the line and the field.

mod read;

use std::io::{self, Write};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::ids::{ConnectionCount, NodeId, RegionName, ServiceName, SlotCount, ZoneName};
use crate::table::ServiceRule;

/// Reason why a trace can't be used.
#[derive(Debug, Display, Error)]
pub enum TraceError {
    /// The file can't be read.
    #[display("line {line}: {source}")]
    Read {
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: io::Error,
    },
    /// The line is not a JSON object.
    #[display("line {line}: expected a JSON object: {reason}")]
    InvalidJson {
        /// Number of the line, from 1.
        line: usize,
        /// Cause in words.
        reason: String,
    },
    /// A field is missing, unknown or out of range.
    #[display("line {line}, field '{field}': {reason}")]
    InvalidField {
        /// Number of the line, from 1.
        line: usize,
        /// Name of the field.
        field: String,
        /// Cause in words.
        reason: String,
    },
    /// No line states the outcomes.
    #[display("no line with kind 'outcome'")]
    MissingOutcome,
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Milliseconds since the start of the trace.
    pub at_ms: f64,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl TraceEvent {
    /// Time since the start of the trace.
    pub fn offset(&self) -> Duration {
        Duration::from_secs_f64(self.at_ms / 1e3)
    }
}

/// What a line of a trace says.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// An upstream announces itself as ready.
    Upstream(UpstreamLine),
    /// A service's rule comes into force.
    Service(ServiceLine),
    /// A caller sends a request.
    Request(RequestLine),
    /// A backend server's service time changes.
    Speed(SpeedLine),
    /// A backend server starts to drain.
    Drain(NodeLine),
    /// A backend server fails each request at once.
    FailFast(NodeLine),
    /// A backend server and its node stop without closing connections.
    Freeze(NodeLine),
    /// A backend server is as at its start again.
    Recover(NodeLine),
    /// A backend server and its node are lost.
    Gone(NodeLine),
    /// One-way network delays.
    Delay(DelayLine),
    /// Outcomes that a replay must reach.
    Outcome(OutcomeLine),
}

/// An upstream of a service.
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
    /// Requests that the backend server can work on at once.
    pub slots: SlotCount,
    /// Connections that the backend server accepts.
    pub connections: ConnectionCount,
}

/// A service and its rule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceLine {
    /// Name of the service.
    pub service: ServiceName,
    /// Rule in force from then on.
    pub rule: ServiceRule,
}

/// A request as its caller sent it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestLine {
    /// Number of the request, unique in the trace.
    pub id: u64,
    /// Service asked for.
    pub service: ServiceName,
    /// Region where the request enters.
    pub region: RegionName,
    /// Availability zone where the request enters.
    pub zone: ZoneName,
    /// HTTP method.
    pub method: String,
    /// Path of the URL.
    pub path: String,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Service time at an undisturbed backend server, in microseconds.
    pub work_us: u64,
    /// Time limit in milliseconds, where it differs from the rule's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Nested calls below this one, each to the next service by name (the
    /// first after the last); 0 if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub depth: Option<u32>,
}

/// A change of a backend server's speed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedLine {
    /// Node beside the backend server.
    pub node: NodeId,
    /// Multiple of the undisturbed service time.
    pub factor: f64,
}

/// A node that something happens to.
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
    /// Between a caller and the node that it reaches.
    pub client_us: u64,
}

/// Stated outcomes; what is absent is not stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutcomeLine {
    /// Most requests that were answered as run but never ran.
    pub lost: u64,
    /// Most non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Most requests that ran although the caller was told `not-run`.
    pub false_not_run: u64,
    /// Most requests that ended later than their time limit.
    pub late: u64,
    /// Least share of requests answered by a backend server, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_answered_percent: Option<f64>,
    /// Least useful work over the capacity of all slots, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_goodput_percent: Option<f64>,
    /// Longest 99th percentile of answered idempotent requests, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_ms: Option<f64>,
    /// Largest ratio of that percentile to round robin's, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_percent_of_round_robin: Option<f64>,
    /// Largest ratio of that percentile to least outstanding's, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_p99_percent_of_least_outstanding: Option<f64>,
    /// Most attempts over first attempts, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_attempts_percent: Option<f64>,
    /// Most load probes per 1,000 calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_probes_per_1000: Option<f64>,
}

/// A checked trace.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedTrace {
    /// Events in order of time.
    pub events: Vec<TraceEvent>,
    /// Outcomes that a replay must reach.
    pub outcome: OutcomeLine,
}

impl RecordedTrace {
    /// Writes the trace as JSON lines.
    ///
    /// # Errors
    ///
    /// Fails if the writer does.
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
