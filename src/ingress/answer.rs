//! HTTP responses to callers.
//!
//! A backend server's response is passed on with the body framing that the
//! caller's HTTP version allows. A call that failed gets a response of the
//! system's own, from the table of error kinds.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use serde::Serialize;

use crate::body_channel::{BodyReceiver, BodyTruncated};
use crate::error::{ErrorKind, RunOutcome};
use crate::fields::HeaderDialect;
use crate::http1::status::InvalidStatus;
use crate::http1::write::{end_head, put_field, put_fields, put_framing_field, put_status_line};
use crate::http1::{BodyFraming, FinalStatus};
use crate::ids::{CallId, NodeId};
use crate::link::messages::{HeaderField, ResponseStart};

/// The response body ended before it was complete.
#[derive(Debug, Clone, Copy, Display, derive_more::Error)]
#[display("response truncated: {kind}")]
pub struct ResponseTruncated {
    /// Why the body ended.
    pub kind: ErrorKind,
}

impl From<BodyTruncated> for ResponseTruncated {
    /// The task that relays the response ended without a reason.
    fn from(_: BodyTruncated) -> Self {
        Self {
            kind: ErrorKind::Internal,
        }
    }
}

/// Rest of a response body, in order; an `Err` ends it early.
pub type ResponseBodyReceiver = BodyReceiver<ResponseTruncated>;

/// Head of a backend server's response, with the start of its body.
#[derive(Debug)]
pub struct CallHead {
    /// HTTP status.
    pub status: FinalStatus,
    /// End-to-end header fields.
    pub fields: Vec<HeaderField>,
    /// Length of the body in bytes; `None` if the backend server didn't state it.
    pub body_length: Option<u64>,
    /// Start of the body.
    pub body: Bytes,
    /// Whether `body` is the whole body.
    pub is_body_complete: bool,
}

impl TryFrom<ResponseStart> for CallHead {
    type Error = InvalidStatus;

    fn try_from(start: ResponseStart) -> Result<Self, Self::Error> {
        Ok(Self {
            status: FinalStatus::try_from(start.status)?,
            fields: start.headers,
            body_length: start.body_length,
            body: start.body,
            is_body_complete: start.is_body_complete,
        })
    }
}

/// Response of a backend server.
#[derive(Debug)]
pub struct CallResponse {
    /// Call that was answered.
    pub call_id: CallId,
    /// Node of the upstream that answered.
    pub upstream: NodeId,
    /// Head, with the first bytes of the body.
    pub head: CallHead,
    /// Rest of the body; `None` if it came completely with the head.
    pub remaining_body: Option<ResponseBodyReceiver>,
}

/// Failure of a call, as the caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// Call that failed; `None` if the request was rejected before that.
    pub call_id: Option<CallId>,
    /// Error kind, which determines the status of the response.
    pub kind: ErrorKind,
    /// What is known about whether the request ran.
    pub outcome: RunOutcome,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl From<ErrorKind> for CallFailure {
    /// Failure of a request that was never sent over a link.
    fn from(kind: ErrorKind) -> Self {
        Self {
            call_id: None,
            kind,
            outcome: RunOutcome::NotRun,
            retry_after: Duration::from_secs(1),
        }
    }
}

impl CallFailure {
    /// Failure of a call whose response broke off before any of it was sent to the caller.
    pub fn truncated(call_id: CallId, truncated: ResponseTruncated) -> Self {
        Self {
            call_id: Some(call_id),
            outcome: RunOutcome::Unknown,
            ..Self::from(truncated.kind)
        }
    }

    /// Failure by an internal error; the request may have run.
    pub fn internal() -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::from(ErrorKind::Internal)
        }
    }
}

impl CallResponse {
    /// Reads the body into the head until it is complete or `max_bytes` of it are buffered.
    /// Cancellation safe: what has been read is kept.
    ///
    /// # Errors
    ///
    /// Fails if the response is truncated.
    pub async fn buffer_body(&mut self, max_bytes: usize) -> Result<(), ResponseTruncated> {
        while let Some(remaining_body) = &mut self.remaining_body {
            if self.head.body.len() >= max_bytes {
                return Ok(());
            }
            let Some(chunk) = remaining_body.next().await? else {
                self.remaining_body = None;
                return Ok(());
            };
            let body = std::mem::take(&mut self.head.body).try_into_mut();
            let mut body = body.unwrap_or_else(|shared| BytesMut::from(&shared[..]));
            body.extend_from_slice(&chunk);
            self.head.body = body.freeze();
        }
        Ok(())
    }
}

/// What the head of a response depends on besides the response itself.
#[derive(Debug, Clone, Copy)]
pub struct ResponseOptions {
    /// Whether the request method was HEAD.
    pub is_for_head: bool,
    /// Whether the caller speaks HTTP/1.0, which has no chunked coding.
    pub is_http10: bool,
    /// Whether the connection is closed after this response.
    pub closes_connection: bool,
}

#[derive(Serialize)]
struct FailureBody {
    error: &'static str,
    message: String,
    outcome: String,
}

/// Writes the response to a failed call, from the table of error kinds.
pub fn put_failure_response(
    output: &mut BytesMut,
    dialect: &HeaderDialect,
    failure: &CallFailure,
    options: ResponseOptions,
) {
    let answer_row = failure.kind.response_for(failure.outcome);
    let body = FailureBody {
        error: failure.kind.code(),
        message: failure.kind.to_string(),
        outcome: failure.outcome.to_string(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    put_status_line(output, answer_row.status);
    if let Some(name) = dialect.outcome {
        put_field(output, name, failure.outcome.to_string().as_bytes());
    }
    if let (Some(name), Some(call)) = (dialect.call_id, failure.call_id) {
        put_field(output, name, call.to_string().as_bytes());
    }
    if answer_row.has_retry_after {
        let value = format_retry_after(failure.retry_after, dialect.has_fractional_retry_after);
        put_field(output, "retry-after", value.as_bytes());
    }
    put_field(output, "content-type", b"application/json");
    put_framing_field(output, BodyFraming::Length(body.len() as u64));
    put_connection_field(output, options);
    end_head(output);
    if !options.is_for_head {
        output.extend_from_slice(&body);
    }
}

/// Value of `Retry-After`: whole seconds, rounded up so that callers don't come
/// back too early, or fractions if the callers' dialect allows them.
fn format_retry_after(duration: Duration, has_fractions: bool) -> String {
    if has_fractions {
        return format!("{:.3}", duration.as_secs_f64());
    }
    let has_fraction = duration.subsec_nanos() > 0;
    let seconds = (duration.as_secs() + u64::from(has_fraction)).max(1);
    seconds.to_string()
}

fn put_connection_field(output: &mut BytesMut, options: ResponseOptions) {
    if options.closes_connection {
        put_field(output, "connection", b"close");
    } else if options.is_http10 {
        put_field(output, "connection", b"keep-alive");
    }
}

/// Writes the head of a backend server's response; returns the framing of its
/// body.
pub fn put_response_head(
    output: &mut BytesMut,
    dialect: &HeaderDialect,
    response: &CallResponse,
    options: ResponseOptions,
) -> BodyFraming {
    let head = &response.head;
    put_status_line(output, head.status);
    put_fields(output, &head.fields);
    if let Some(name) = dialect.call_id {
        put_field(output, name, response.call_id.to_string().as_bytes());
    }
    let framing = response_framing(response, options);
    if !head.status.is_bodiless() {
        match head.body_length {
            Some(length) if options.is_for_head => {
                put_framing_field(output, BodyFraming::Length(length));
            }
            _ if options.is_for_head => {}
            _ => put_framing_field(output, framing),
        }
    }
    put_connection_field(output, options);
    end_head(output);
    framing
}

/// Framing of the body of a backend server's response.
pub fn response_framing(response: &CallResponse, options: ResponseOptions) -> BodyFraming {
    let head = &response.head;
    if options.is_for_head || head.status.is_bodiless() {
        return BodyFraming::Length(0);
    }
    match (head.body_length, &response.remaining_body) {
        (Some(length), _) => BodyFraming::Length(length),
        (None, None) => BodyFraming::Length(head.body.len() as u64),
        (None, Some(_)) if options.is_http10 => BodyFraming::UntilClose,
        (None, Some(_)) => BodyFraming::Chunked,
    }
}

#[cfg(test)]
mod tests;
