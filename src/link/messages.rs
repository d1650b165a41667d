//! Messages on a link.
//!
//! A call is named by its sequence number; the ingress's incarnation is known
//! from the hello of the link. Offsets count body bytes from the start of the
//! body, so that a repeated chunk or credit is recognised as such.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// Opens a call link; the first frame from the ingress.
#[derive(Clone, PartialEq, Message)]
pub struct LinkHello {
    /// Node that opens the link.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of that node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Traffic thread of that node.
    #[prost(uint32, tag = "3")]
    pub worker: u32,
    /// Grows with each link that this thread opens to the same gate.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
}

/// Answers a [`LinkHello`]; no call is sent before it.
#[derive(Clone, PartialEq, Message)]
pub struct LinkWelcome {
    /// Incarnation of the gate's node.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
}

/// One HTTP header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value, not necessarily UTF-8.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Load of an upstream as its gate sees it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadSnapshot {
    /// Calls at the backend server.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Calls that wait for a slot.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Present limit on calls at the backend server.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Whether the VM is slow at present.
    #[prost(bool, tag = "4")]
    pub is_slow: bool,
}

/// Starts a call.
#[derive(Clone, PartialEq, Message)]
pub struct CallOpen {
    /// Call.
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
    /// Header fields without the hop-by-hop ones.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// Time left in microseconds.
    #[prost(uint64, tag = "6")]
    pub time_left_us: u64,
    /// Attempts that calls made on behalf of this one may use.
    #[prost(uint32, tag = "7")]
    pub attempts_left: u32,
    /// Whether a second run does no harm.
    #[prost(bool, tag = "8")]
    pub is_idempotent: bool,
    /// Length of the request body, if the caller stated it.
    #[prost(uint64, optional, tag = "9")]
    pub body_length: Option<u64>,
    /// First bytes of the request body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Whether the body ends here.
    #[prost(bool, tag = "11")]
    pub is_body_complete: bool,
    /// Caller's identifier of the request; empty without one.
    #[prost(string, tag = "12")]
    pub request_id: String,
    /// Rank among the calls of the service; 0 goes first.
    #[prost(uint32, tag = "13")]
    pub rank: u32,
    /// Time left until the target latency, in microseconds: 0 if it has passed,
    /// none for a call without a target of its own.
    #[prost(uint64, optional, tag = "14")]
    pub target_left_us: Option<u64>,
    /// Occupancy in percent up to which the gate may start the call at once; it
    /// refuses the call otherwise. 0 for a call that may wait.
    #[prost(uint32, tag = "15")]
    pub max_occupancy_percent: u32,
    /// Class of calls that take about the same time.
    #[prost(string, tag = "16")]
    pub class: String,
}

/// Part of a body, in either direction.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Offset of the first byte in the body.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Whether the body ends here.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    /// Load, with the last chunk of an answer.
    #[prost(message, optional, tag = "5")]
    pub load: Option<LoadSnapshot>,
}

/// Tells the sender of a body how much of it has been consumed.
#[derive(Clone, PartialEq, Message)]
pub struct WindowCredit {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Body bytes consumed so far.
    #[prost(uint64, tag = "2")]
    pub consumed_bytes: u64,
    /// Whether the credit is for the answer's body rather than the request's.
    #[prost(bool, tag = "3")]
    pub is_for_response: bool,
}

/// Refusal by the gate: the call was not run and never will be.
#[derive(Clone, PartialEq, Message)]
pub struct CallRefusal {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Time after which the gate expects to have room, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Load.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadSnapshot>,
    /// Time in which the call would be expected to be answered here, in
    /// microseconds; 0 if that isn't known.
    #[prost(uint64, tag = "5")]
    pub expected_response_us: u64,
}

/// Head of an answer, with the first bytes of its body.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseStart {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Header fields without the hop-by-hop ones.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// Length of the body, if the backend server stated it.
    #[prost(uint64, optional, tag = "4")]
    pub body_length: Option<u64>,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Whether the body ends here.
    #[prost(bool, tag = "6")]
    pub is_body_complete: bool,
    /// Load.
    #[prost(message, optional, tag = "7")]
    pub load: Option<LoadSnapshot>,
}

/// Failure after the call may have run.
#[derive(Clone, PartialEq, Message)]
pub struct CallAbort {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Load.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadSnapshot>,
}

/// Names a call: a cancellation, or the acknowledgement of a whole answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CallReference {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Answer to a cancellation.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CancelReply {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the call had not started and is barred from starting.
    #[prost(bool, tag = "2")]
    pub is_not_run: bool,
}

/// Asks for the rest of a call after its link was lost.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CallResume {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the head of the answer has arrived.
    #[prost(bool, tag = "2")]
    pub has_head: bool,
    /// Bytes of the answer's body that have arrived.
    #[prost(uint64, tag = "3")]
    pub response_bytes_received: u64,
}

/// What the gate knows of a call that is being resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResumeState {
    /// Never seen; the late original is now barred.
    NeverSeen = 0,
    /// Waiting for a slot, at work or answered: what is missing follows.
    Known = 1,
    /// Answered, but the answer is no longer kept.
    ResponseDiscarded = 2,
}

/// Stands for the whole of a request's body, however long it is.
pub const ENTIRE_REQUEST_BODY: u64 = u64::MAX;

/// Answer to a [`CallResume`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ResumeReply {
    /// Call.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// What the gate knows.
    #[prost(enumeration = "ResumeState", tag = "2")]
    pub state: i32,
    /// Bytes of the request's body that the gate has received, or
    /// [`WHOLE_REQUEST`] if it needs no more of them.
    #[prost(uint64, tag = "3")]
    pub request_bytes_received: u64,
}

/// Liveness check.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LinkPing {
    /// Load, in the answer to a check.
    #[prost(message, optional, tag = "1")]
    pub load: Option<LoadSnapshot>,
}

/// Any message on an open link.
#[derive(Clone, PartialEq, Oneof)]
pub enum LinkMessage {
    /// Ingress to gate: a new call.
    #[prost(message, tag = "1")]
    Open(CallOpen),
    /// Ingress to gate: more of a request's body.
    #[prost(message, tag = "2")]
    RequestChunk(BodyChunk),
    /// Either way: body bytes were consumed.
    #[prost(message, tag = "3")]
    Credit(WindowCredit),
    /// Gate to ingress: the call was refused.
    #[prost(message, tag = "4")]
    Refusal(CallRefusal),
    /// Gate to ingress: the answer starts.
    #[prost(message, tag = "5")]
    ResponseStart(ResponseStart),
    /// Gate to ingress: more of an answer's body.
    #[prost(message, tag = "6")]
    ResponseChunk(BodyChunk),
    /// Gate to ingress: the call failed.
    #[prost(message, tag = "7")]
    Abort(CallAbort),
    /// Ingress to gate: the call is no longer wanted.
    #[prost(message, tag = "8")]
    Cancel(CallReference),
    /// Gate to ingress: answer to a cancellation.
    #[prost(message, tag = "9")]
    CancelReply(CancelReply),
    /// Ingress to gate: the call continues on this link.
    #[prost(message, tag = "10")]
    Resume(CallResume),
    /// Gate to ingress: answer to a resume.
    #[prost(message, tag = "11")]
    ResumeReply(ResumeReply),
    /// Ingress to gate: the whole answer has arrived.
    #[prost(message, tag = "12")]
    Acknowledge(CallReference),
    /// Ingress to gate: liveness check.
    #[prost(message, tag = "13")]
    Ping(LinkPing),
    /// Gate to ingress: answer to a liveness check.
    #[prost(message, tag = "14")]
    Pong(LinkPing),
    /// Gate to ingress: this upstream takes no new work.
    #[prost(message, tag = "15")]
    Leaving(LinkPing),
}

/// Frame around a [`LinkMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct LinkFrame {
    /// Message; an unknown one from a newer version reads as `None`.
    #[prost(
        oneof = "LinkMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub message: Option<LinkMessage>,
}
