//! Error kinds of requests and the HTTP response to each.
//!
//! Every response that a node itself makes to a failed request is defined
//! here. Whether the request ran is stated separately ([`RunOutcome`]): a
//! timeout, for example, can occur before or after the request reached a
//! backend server.

use derive_more::{Display, Error};

use crate::http1::FinalStatus;

/// Whether a request without a response from its backend server may have run.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// The request did not run and never will.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// Reason why a request failed between its caller and the backend server.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request is malformed.
    #[display("malformed request")]
    BadRequest,
    /// `currantlift-timeout-ms` is not a number within 1 to 3600000.
    #[display("bad currantlift-timeout-ms: expected 1 to 3600000")]
    BadTimeout,
    /// The request body exceeds the limit of its service.
    #[display("request body too large")]
    BodyTooLarge,
    /// The request head exceeds the limit of the node.
    #[display("request head too large")]
    HeadTooLarge,
    /// The configuration in force has no service of that name.
    #[display("unknown service")]
    UnknownService,
    /// No route matches the host and path of the request.
    #[display("no route for this host and path")]
    UnknownRoute,
    /// This node has not received a configuration yet.
    #[display("no configuration yet")]
    NoConfig,
    /// The request lacks an API key, or no tenant has its key.
    #[display("unknown API key")]
    UnknownKey,
    /// The tenant has used up its quota.
    #[display("quota of the tenant used up")]
    QuotaExceeded,
    /// The upstream's availability zone is evacuated.
    #[display("availability zone evacuated")]
    ZoneEvacuated,
    /// The caller did not send the request head in time.
    #[display("request head too slow")]
    SlowHead,
    /// No upstream of the service accepts requests.
    #[display("no upstream available")]
    NoUpstream,
    /// The gate, or every candidate upstream, is at capacity.
    #[display("upstreams at capacity")]
    Overloaded,
    /// The service or team has used up its share of this node's capacity.
    #[display("share of in-flight work used up")]
    ShareExceeded,
    /// The estimated wait and run time exceed the time left.
    #[display("wait longer than the time left")]
    WaitTooLong,
    /// This node or upstream is shutting down.
    #[display("shutting down")]
    Draining,
    /// No connection to the backend server could be made.
    #[display("backend server unreachable")]
    BackendUnreachable,
    /// The backend server stated that it did not run the request.
    #[display("backend server refused")]
    BackendRefused,
    /// The backend server failed before its response was complete.
    #[display("backend server failed")]
    BackendFailed,
    /// The link to the upstream's node was lost.
    #[display("link to the upstream lost")]
    LinkLost,
    /// The upstream's node restarted and lost its record of the call.
    #[display("upstream's node restarted")]
    GateRestarted,
    /// The call was cancelled at its ingress node.
    #[display("call cancelled")]
    Cancelled,
    /// The request's time limit passed.
    #[display("time limit passed")]
    TimedOut,
    /// A request with the same idempotency key is running or was answered.
    #[display("idempotency key already used")]
    KeyInUse,
    /// The request is held, as upstreams crashed while they ran it.
    #[display("request held back: upstreams crashed while they ran it")]
    Quarantined,
    /// A bug in the node.
    #[display("internal error")]
    Internal,
}

/// HTTP response to a request that failed with an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: FinalStatus,
    /// Whether the response has a `retry-after` field.
    pub has_retry_after: bool,
}

impl ErrorKind {
    /// Every kind, in order of declaration.
    pub const ALL: [Self; 26] = [
        Self::BadRequest,
        Self::BadTimeout,
        Self::BodyTooLarge,
        Self::HeadTooLarge,
        Self::UnknownService,
        Self::UnknownRoute,
        Self::NoConfig,
        Self::UnknownKey,
        Self::QuotaExceeded,
        Self::ZoneEvacuated,
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
        Self::Quarantined,
        Self::Internal,
    ];

    /// Response by the kind alone; see also [`response_for`](Self::response_for).
    pub fn response(self) -> ErrorResponse {
        let (code, has_retry_after) = match self {
            Self::BadRequest | Self::BadTimeout => (400, false),
            Self::UnknownKey => (401, false),
            Self::UnknownService | Self::UnknownRoute => (404, false),
            Self::SlowHead => (408, false),
            Self::KeyInUse => (409, true),
            Self::BodyTooLarge => (413, false),
            Self::QuotaExceeded => (429, true),
            Self::HeadTooLarge => (431, false),
            Self::Internal => (500, true),
            Self::BackendFailed | Self::LinkLost | Self::GateRestarted => (502, true),
            Self::NoConfig
            | Self::ZoneEvacuated
            | Self::NoUpstream
            | Self::Overloaded
            | Self::ShareExceeded
            | Self::WaitTooLong
            | Self::Draining
            | Self::BackendUnreachable
            | Self::BackendRefused
            | Self::Quarantined
            | Self::Cancelled => (503, true),
            Self::TimedOut => (504, true),
        };
        ErrorResponse {
            status: FinalStatus::from_known(code),
            has_retry_after,
        }
    }

    /// Response whose status agrees with what is known about the run.
    ///
    /// A 503 says that the request did not run, a 502 or 504 leaves it open. So
    /// a 502 becomes a 503 if the request did not run, and a 503 or 408 becomes a
    /// 502 if it may have run.
    pub fn response_for(self, outcome: RunOutcome) -> ErrorResponse {
        let response = self.response();
        let code = match (u16::from(response.status), outcome) {
            (502, RunOutcome::NotRun) => 503,
            (503 | 408, RunOutcome::Unknown) => 502,
            (code, _) => code,
        };
        ErrorResponse {
            status: FinalStatus::from_known(code),
            ..response
        }
    }

    /// Stable code used in log lines, metrics, responses and link messages.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BadTimeout => "bad-timeout",
            Self::BodyTooLarge => "body-too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::UnknownService => "unknown-service",
            Self::UnknownRoute => "unknown-route",
            Self::NoConfig => "no-config",
            Self::UnknownKey => "unknown-key",
            Self::QuotaExceeded => "quota-exceeded",
            Self::ZoneEvacuated => "zone-evacuated",
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
            Self::Quarantined => "request-quarantined",
            Self::Internal => "internal",
        }
    }

    /// Kind with this [`code`](Self::code); `None` if there is none.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }
}
