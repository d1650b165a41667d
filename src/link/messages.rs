//! Protobuf messages exchanged on a link.
//!
//! A call is identified by its sequence number, together with the ingress's
//! node and incarnation from the [`LinkHello`]. Offsets count from the start
//! of the body, so that duplicate chunks and credits are detected.

use std::time::Duration;

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

use crate::admission::RefusedRanks;

/// First frame from the ingress on a new link.
#[derive(Clone, PartialEq, Message)]
pub struct LinkHello {
    /// Identifier of the ingress node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the ingress node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Index of the worker thread that opens the link.
    #[prost(uint32, tag = "3")]
    pub worker: u32,
    /// Increases with each link that this worker thread opens; the gate keeps
    /// only the newest link of a worker thread.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// What the ingress knows of the gate's backend server, for a gate that has
    /// restarted.
    #[prost(message, optional, tag = "5")]
    pub known: Option<KnownBackendStatement>,
}

/// Last statement of a backend server that an ingress knows of.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct KnownBackendStatement {
    /// Key of the backend server's start.
    #[prost(fixed64, tag = "1")]
    pub backend: u64,
    /// Requests per second that it takes from all nodes together.
    #[prost(double, optional, tag = "2")]
    pub start_rate: Option<f64>,
    /// Whether it said that it leaves.
    #[prost(bool, tag = "3")]
    pub is_leaving: bool,
}

/// Reply to a [`LinkHello`]; the ingress sends no call before it arrives.
#[derive(Clone, PartialEq, Message)]
pub struct LinkWelcome {
    /// Incarnation of the gate's node.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
}

/// One HTTP header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Field name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Field value, not necessarily UTF-8.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Load of an upstream as measured by its gate.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadSnapshot {
    /// Calls in progress at the backend server.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Calls waiting for a slot.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Current limit on calls in progress at the backend server.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Whether the VM currently runs slower than usual.
    #[prost(bool, tag = "4")]
    pub is_slow: bool,
    /// Requests per second that the backend server takes from all nodes together.
    #[prost(double, optional, tag = "5")]
    pub start_rate: Option<f64>,
    /// Time until the limit lets a call start that is queued behind the others, in
    /// microseconds.
    #[prost(uint64, tag = "6")]
    pub next_start_us: u64,
    /// Whether the backend server said that it leaves.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// Key of the backend server's start; 0 if there is nothing to remember of it.
    #[prost(fixed64, tag = "8")]
    pub backend: u64,
    /// Lowest rank that the gate admits at present, plus 1: 0 if it admits none; `None`
    /// if it admits all. Older builds leave it out.
    #[prost(uint32, optional, tag = "9")]
    pub admitted_ranks: Option<u32>,
    /// Time until capacity for the next rank is expected, in microseconds.
    #[prost(uint64, tag = "10")]
    pub rank_opens_us: u64,
}

impl LoadSnapshot {
    /// Ranks that the gate refuses at present; `None` if there are none.
    pub fn refused_ranks(&self) -> Option<RefusedRanks> {
        Some(RefusedRanks {
            first_refused_rank: self.admitted_ranks?,
            opens_in: Duration::from_micros(self.rank_opens_us),
        })
    }
}

/// Load of a service in one availability zone, as an ingress there knows it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ZoneLoadReport {
    /// Slots of the upstreams that reported.
    #[prost(float, tag = "1")]
    pub slots: f32,
    /// Running and queued calls there.
    #[prost(float, tag = "2")]
    pub calls: f32,
    /// Number of these upstreams.
    #[prost(uint32, tag = "3")]
    pub upstreams: u32,
    /// Age of the reports in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// Starts a call; sent by the ingress.
#[derive(Clone, PartialEq, Message)]
pub struct CallOpen {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Service name.
    #[prost(string, tag = "2")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// End-to-end header fields; hop-by-hop fields are removed.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// Time left until the call's deadline, in microseconds.
    #[prost(uint64, tag = "6")]
    pub time_left_us: u64,
    /// Attempts that nested calls made on behalf of this one may use.
    #[prost(uint32, tag = "7")]
    pub attempts_left: u32,
    /// Whether the call may safely be executed more than once.
    #[prost(bool, tag = "8")]
    pub is_idempotent: bool,
    /// Length of the request body in bytes; `None` if the caller didn't state it.
    #[prost(uint64, optional, tag = "9")]
    pub body_length: Option<u64>,
    /// Start of the request body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Whether `body` contains the whole request body.
    #[prost(bool, tag = "11")]
    pub is_body_complete: bool,
    /// Request identifier set by the caller; empty if there is none.
    #[prost(string, tag = "12")]
    pub request_id: String,
    /// Priority among the calls of the service; 0 is the highest.
    #[prost(uint32, tag = "13")]
    pub rank: u32,
    /// Time left until the target latency, in microseconds: 0 if it has passed,
    /// `None` if the call has no target latency of its own.
    #[prost(uint64, optional, tag = "14")]
    pub target_left_us: Option<u64>,
    /// Highest occupancy in percent at which the gate may start the call; above
    /// it the gate refuses the call instead of queueing it. 0 if the call may be
    /// queued.
    #[prost(uint32, tag = "15")]
    pub max_occupancy_percent: u32,
    /// Class of calls with similar latency.
    #[prost(string, tag = "16")]
    pub class: String,
    /// Whether this is the second of two attempts at the same time.
    #[prost(bool, tag = "17")]
    pub is_hedge: bool,
    /// [`HeadDigest`](crate::quarantine::HeadDigest) of the request; older builds leave
    /// it out.
    #[prost(bytes = "bytes", tag = "18")]
    pub head_digest: Bytes,
    /// [`RequestFingerprint`](crate::quarantine::RequestFingerprint) of the request;
    /// empty if too little of its body has arrived.
    #[prost(bytes = "bytes", tag = "19")]
    pub fingerprint: Bytes,
    /// Tenant of the caller; empty if there is none.
    #[prost(string, tag = "20")]
    pub tenant: String,
    /// Whether the gate must refuse the call if its planned stop could cut it. Older builds
    /// leave it out.
    #[prost(bool, tag = "21")]
    pub avoids_stop: bool,
}

/// Part of a request or response body.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Offset of the first byte of `data` in the body.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Body bytes; may be empty in the last chunk.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Whether this is the last chunk of the body.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    /// Load of the upstream, set on the last chunk of a response.
    #[prost(message, optional, tag = "5")]
    pub load: Option<LoadSnapshot>,
}

/// Flow-control credit: tells the sender of a body how much was consumed.
#[derive(Clone, PartialEq, Message)]
pub struct WindowCredit {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Body bytes consumed since the start of the body.
    #[prost(uint64, tag = "2")]
    pub consumed_bytes: u64,
    /// Whether the credit is for the response body rather than the request body.
    #[prost(bool, tag = "3")]
    pub is_for_response: bool,
}

/// Refusal by the gate: the call was not executed and never will be.
#[derive(Clone, PartialEq, Message)]
pub struct CallRefusal {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Time after which the gate expects free capacity, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Load of the upstream.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadSnapshot>,
    /// Estimated time until this upstream would have answered the call, in
    /// microseconds; 0 if unknown.
    #[prost(uint64, tag = "5")]
    pub expected_response_us: u64,
    /// Whether the gate would queue the call although it would miss its target
    /// latency. Gates of older builds leave it out.
    #[prost(bool, tag = "6")]
    pub admits_past_target: bool,
    /// Time until the planned stop of the gate, in microseconds, if that could have cut
    /// the call; 0 otherwise.
    #[prost(uint64, tag = "7")]
    pub stops_in_us: u64,
}

/// Head of a response, with the start of its body.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseStart {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// End-to-end header fields; hop-by-hop fields are removed.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// Length of the response body in bytes; `None` if the backend server didn't
    /// state it.
    #[prost(uint64, optional, tag = "4")]
    pub body_length: Option<u64>,
    /// Start of the response body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Whether `body` contains the whole response body.
    #[prost(bool, tag = "6")]
    pub is_body_complete: bool,
    /// Load of the upstream.
    #[prost(message, optional, tag = "7")]
    pub load: Option<LoadSnapshot>,
}

/// Failure of a call that may have been executed.
#[derive(Clone, PartialEq, Message)]
pub struct CallAbort {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Load of the upstream.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadSnapshot>,
}

/// Reference to a call, for a cancellation or for the acknowledgement of a
/// complete response.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CallReference {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Reply to a cancellation.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CancelReply {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the call had not started and is now prevented from starting.
    #[prost(bool, tag = "2")]
    pub is_not_run: bool,
}

/// Resumes a call on a new link after the previous one was lost.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CallResume {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the ingress has received the head of the response.
    #[prost(bool, tag = "2")]
    pub has_head: bool,
    /// Bytes of the response body that the ingress has received.
    #[prost(uint64, tag = "3")]
    pub response_bytes_received: u64,
}

/// State of a resumed call at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResumeState {
    /// Never executed; if the original arrives late, it is rejected.
    NeverSeen = 0,
    /// Queued, in progress or answered; the gate sends what is missing.
    Known = 1,
    /// Known to the gate, but its response is no longer available.
    ResponseDiscarded = 2,
}

/// Byte count that means the whole request body, whatever its length.
pub const ENTIRE_REQUEST_BODY: u64 = u64::MAX;

/// Reply to a [`CallResume`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ResumeReply {
    /// Sequence number of the call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// State of the call as a [`ResumeState`].
    #[prost(enumeration = "ResumeState", tag = "2")]
    pub state: i32,
    /// Bytes of the request body that the gate has received, or
    /// [`ENTIRE_REQUEST_BODY`] if it needs no more of them.
    #[prost(uint64, tag = "3")]
    pub request_bytes_received: u64,
}

/// Liveness check, its reply, or the notice of a leaving upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LinkPing {
    /// Load of the upstream, set in the reply to a liveness check.
    #[prost(message, optional, tag = "1")]
    pub load: Option<LoadSnapshot>,
    /// Load of the service in the upstream's zone, set in the reply to a liveness check
    /// if the node knows it. Older builds leave it out.
    #[prost(message, optional, tag = "2")]
    pub zone: Option<ZoneLoadReport>,
}

/// Evidence against requests that crash backend servers; sent in both directions.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineUpdate {
    /// Changed records, or all of them on a new link.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<QuarantineRecord>,
}

/// Encoded [`CrashRecord`](crate::quarantine::CrashRecord).
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// Digest of the request's head.
    #[prost(bytes = "bytes", tag = "2")]
    pub head: Bytes,
    /// Clearances so far; a record with more of them replaces one with fewer.
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
    /// Crashes with several suspects.
    #[prost(fixed64, repeated, tag = "4")]
    pub shared_crashes: Vec<u64>,
    /// Crashes with this request as the only suspect.
    #[prost(fixed64, repeated, tag = "5")]
    pub sole_crashes: Vec<u64>,
    /// Time since the newest evidence, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Service at which the request was last seen.
    #[prost(string, tag = "7")]
    pub service: String,
}

/// Any message on an open link.
#[derive(Clone, PartialEq, Oneof)]
pub enum LinkMessage {
    /// Ingress to gate: a new call.
    #[prost(message, tag = "1")]
    Open(CallOpen),
    /// Ingress to gate: part of a request body.
    #[prost(message, tag = "2")]
    RequestChunk(BodyChunk),
    /// Both directions: body bytes were consumed.
    #[prost(message, tag = "3")]
    Credit(WindowCredit),
    /// Gate to ingress: the call was refused.
    #[prost(message, tag = "4")]
    Refusal(CallRefusal),
    /// Gate to ingress: head and start of a response.
    #[prost(message, tag = "5")]
    ResponseStart(ResponseStart),
    /// Gate to ingress: part of a response body.
    #[prost(message, tag = "6")]
    ResponseChunk(BodyChunk),
    /// Gate to ingress: the call failed.
    #[prost(message, tag = "7")]
    Abort(CallAbort),
    /// Ingress to gate: the call is cancelled.
    #[prost(message, tag = "8")]
    Cancel(CallReference),
    /// Gate to ingress: reply to a cancellation.
    #[prost(message, tag = "9")]
    CancelReply(CancelReply),
    /// Ingress to gate: the call continues on this link.
    #[prost(message, tag = "10")]
    Resume(CallResume),
    /// Gate to ingress: reply to a resume.
    #[prost(message, tag = "11")]
    ResumeReply(ResumeReply),
    /// Ingress to gate: the complete response has arrived.
    #[prost(message, tag = "12")]
    Acknowledge(CallReference),
    /// Ingress to gate: liveness check.
    #[prost(message, tag = "13")]
    Ping(LinkPing),
    /// Gate to ingress: reply to a liveness check.
    #[prost(message, tag = "14")]
    Pong(LinkPing),
    /// Gate to ingress: this upstream accepts no new calls.
    #[prost(message, tag = "15")]
    Leaving(LinkPing),
    /// Both directions: evidence against requests.
    #[prost(message, tag = "16")]
    Quarantine(QuarantineUpdate),
}

/// Frame that carries one [`LinkMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct LinkFrame {
    /// `None` if the message type is unknown, such as one from a newer version.
    #[prost(
        oneof = "LinkMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub message: Option<LinkMessage>,
}
