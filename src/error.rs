//! The closed list of error kinds and the table from kind to answer.
//!
//! Every answer that the system makes itself comes from this table. What may
//! be said about whether the request ran is a separate matter
//! ([`RunOutcome`]): a timeout, for one, can happen before or after the
//! request reached a backend server.

use derive_more::{Display, Error};

/// What is known about the run of a request that got no answer of its own.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// The request was not run and never will be.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// Every way in which a request can fail inside the system.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request is malformed.
    #[display("malformed request")]
    BadRequest,
    /// `currantlift-timeout-ms` is not a number in range.
    #[display("bad currantlift-timeout-ms: expected 1 to 3600000")]
    BadTimeout,
    /// Request body is larger than the service allows.
    #[display("request body too large")]
    BodyTooLarge,
    /// Request head is larger than the node allows.
    #[display("request head too large")]
    HeadTooLarge,
    /// No service of that name is in force.
    #[display("unknown service")]
    UnknownService,
    /// No route matches the host and path of the request.
    #[display("no route for this host and path")]
    UnknownRoute,
    /// This node has no configuration yet.
    #[display("no configuration yet")]
    NoConfig,
    /// The caller took too long to send the head of a request.
    #[display("request head too slow")]
    SlowHead,
    /// The service has no upstream that takes work.
    #[display("no upstream available")]
    NoUpstream,
    /// Every candidate refused for want of capacity.
    #[display("upstreams at capacity")]
    Overloaded,
    /// The service's or team's share of in-flight work at this node is spent.
    #[display("share of in-flight work used up")]
    ShareExceeded,
    /// The estimated wait is longer than the time left.
    #[display("wait longer than the time left")]
    WaitTooLong,
    /// This node or upstream is shutting down.
    #[display("shutting down")]
    Draining,
    /// The backend server could not be reached.
    #[display("backend server unreachable")]
    BackendUnreachable,
    /// The backend server said that it did not run the request.
    #[display("backend server refused")]
    BackendRefused,
    /// The backend server failed before its answer was whole.
    #[display("backend server failed")]
    BackendFailed,
    /// The link to the upstream's node was lost.
    #[display("link to the upstream lost")]
    LinkLost,
    /// The upstream's node restarted and has forgotten the call.
    #[display("upstream's node restarted")]
    GateRestarted,
    /// The call was cancelled at its ingress.
    #[display("call cancelled")]
    Cancelled,
    /// The time limit passed.
    #[display("time limit passed")]
    TimedOut,
    /// A request with the same idempotency key is at work or has been answered.
    #[display("idempotency key already used")]
    KeyInUse,
    /// A fault in this program.
    #[display("internal error")]
    Internal,
}

/// One row of the answer table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the answer tells the caller when to come back.
    pub has_retry_after: bool,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::BadTimeout,
        Self::BodyTooLarge,
        Self::HeadTooLarge,
        Self::UnknownService,
        Self::UnknownRoute,
        Self::NoConfig,
        Self::SlowHead,
        Self::NoUpstream,
        Self::Overloaded,
        Self::ShareExceeded,
        Self::WaitTooLong,
        Self::Draining,
        Self::BackendUnreachable,
        Self::BackendRefused,
        Self::BackendFailed,
        Self::LinkLost,
        Self::GateRestarted,
        Self::Cancelled,
        Self::TimedOut,
        Self::KeyInUse,
        Self::Internal,
    ];

    /// Row of the answer table for this kind.
    pub fn response(self) -> ErrorResponse {
        let (status, has_retry_after) = match self {
            Self::BadRequest | Self::BadTimeout => (400, false),
            Self::UnknownService | Self::UnknownRoute => (404, false),
            Self::SlowHead => (408, false),
            Self::KeyInUse => (409, true),
            Self::BodyTooLarge => (413, false),
            Self::HeadTooLarge => (431, false),
            Self::Internal => (500, true),
            Self::BackendFailed | Self::LinkLost | Self::GateRestarted => (502, true),
            Self::NoConfig
            | Self::NoUpstream
            | Self::Overloaded
            | Self::ShareExceeded
            | Self::WaitTooLong
            | Self::Draining
            | Self::BackendUnreachable
            | Self::BackendRefused
            | Self::Cancelled => (503, true),
            Self::TimedOut => (504, true),
        };
        ErrorResponse {
            status,
            has_retry_after,
        }
    }

    /// Row of the answer table, given what is known about the run.
    ///
    /// A 502 or 504 leaves open whether the request ran, and a 503 says that
    /// it did not, so the status follows the outcome where the two differ.
    pub fn response_for(self, outcome: RunOutcome) -> ErrorResponse {
        let row = self.response();
        let status = match (row.status, outcome) {
            (502, RunOutcome::NotRun) => 503,
            (503 | 408, RunOutcome::Unknown) => 502,
            (status, _) => status,
        };
        ErrorResponse { status, ..row }
    }

    /// Stable name for log lines, metrics and the wire.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BadTimeout => "bad-timeout",
            Self::BodyTooLarge => "body-too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::UnknownService => "unknown-service",
            Self::UnknownRoute => "unknown-route",
            Self::NoConfig => "no-config",
            Self::SlowHead => "slow-head",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded => "overloaded",
            Self::ShareExceeded => "share-exceeded",
            Self::WaitTooLong => "wait-too-long",
            Self::Draining => "draining",
            Self::BackendUnreachable => "backend-unreachable",
            Self::BackendRefused => "backend-refused",
            Self::BackendFailed => "backend-failed",
            Self::LinkLost => "link-lost",
            Self::GateRestarted => "gate-restarted",
            Self::Cancelled => "cancelled",
            Self::TimedOut => "timed-out",
            Self::KeyInUse => "key-in-use",
            Self::Internal => "internal",
        }
    }

    /// Kind with the given [`code`](Self::code).
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }
}
