//! HTTP answers to callers.

use std::time::Duration;

use bytes::BytesMut;
use derive_more::Display;
use serde::Serialize;
use tokio::sync::mpsc::Receiver;

use crate::error::{ErrorKind, RunOutcome};
use crate::fields::CallDialect;
use crate::http1::BodyFraming;
use crate::http1::write::{end_head, put_field, put_fields, put_framing, put_status_line};
use crate::ids::{CallId, NodeId};
use crate::link::messages::AnswerHead;

/// Statuses whose answers have no body and no stated length.
const BODILESS_STATUSES: [u32; 2] = [204, 304];

/// The answer's body ended before it was whole.
#[derive(Debug, Clone, Copy, Display, derive_more::Error)]
#[display("answer cut short: {kind}")]
pub struct ResponseTruncated {
    /// Cause.
    pub kind: ErrorKind,
}

/// Rest of an answer's body, in order; an `Err` breaks it off.
pub type ResponseBodyReceiver = Receiver<Result<bytes::Bytes, ResponseTruncated>>;

/// Answer of a backend server.
#[derive(Debug)]
pub struct CallResponse {
    /// Call.
    pub call_id: CallId,
    /// Node of the upstream.
    pub upstream: NodeId,
    /// Head, with the first bytes of the body.
    pub head: AnswerHead,
    /// Rest of the body, unless the head has it all.
    pub remaining_body: Option<ResponseBodyReceiver>,
}

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// Call, if it got that far.
    pub call_id: Option<CallId>,
    /// Kind of the answer.
    pub kind: ErrorKind,
    /// What is known about the run.
    pub outcome: RunOutcome,
    /// When to come back.
    pub retry_after: Duration,
}

impl From<ErrorKind> for CallFailure {
    /// Failure of a request that was never handed to a link.
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
    /// Failure by a fault of this program, after which nothing is certain.
    pub fn internal() -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::from(ErrorKind::Internal)
        }
    }
}

impl CallResponse {
    /// Waits for the whole body, for a caller that could not tell an answer
    /// cut short from a whole one.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut short.
    pub async fn collect_body(mut self) -> Result<Self, ResponseTruncated> {
        let Some(mut remaining_body) = self.remaining_body.take() else {
            return Ok(self);
        };
        let mut body = BytesMut::from(&self.head.body[..]);
        while let Some(chunk) = remaining_body.recv().await {
            body.extend_from_slice(&chunk?);
        }
        self.head.body_length = Some(body.len() as u64);
        self.head.body = body.freeze();
        Ok(self)
    }
}

/// What the head of an answer depends on beside the answer itself.
#[derive(Debug, Clone, Copy)]
pub struct ResponseOptions {
    /// Whether the request was a HEAD.
    pub is_head_request: bool,
    /// Whether the caller can't read chunks.
    pub is_http10: bool,
    /// Whether the connection ends with this answer.
    pub closes_connection: bool,
}

#[derive(Serialize)]
struct FailureBody {
    error: &'static str,
    message: String,
    outcome: String,
}

/// Writes an answer of the system itself, from the table of error kinds.
pub fn put_failure_response(
    output: &mut BytesMut,
    dialect: &CallDialect,
    failure: &CallFailure,
    options: ResponseOptions,
) {
    let answer_row = failure.kind.answer_row_for(failure.outcome);
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
    if let (Some(name), Some(call)) = (dialect.call, failure.call_id) {
        put_field(output, name, call.to_string().as_bytes());
    }
    if answer_row.has_retry_after {
        let value = format_retry_after(failure.retry_after, dialect.has_retry_fractions);
        put_field(output, "retry-after", value.as_bytes());
    }
    put_field(output, "content-type", b"application/json");
    put_framing(output, BodyFraming::Length(body.len() as u64));
    put_connection_field(output, options);
    end_head(output);
    if !options.is_head_request {
        output.extend_from_slice(&body);
    }
}

/// `Retry-After` counts whole seconds unless the callers' dialect says
/// otherwise; too early would be a false promise.
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

/// Writes the head of a backend server's answer; returns the framing of its
/// body.
pub fn put_response_head(
    output: &mut BytesMut,
    dialect: &CallDialect,
    response: &CallResponse,
    options: ResponseOptions,
) -> BodyFraming {
    let head = &response.head;
    let status = u16::try_from(head.status).unwrap_or(502);
    put_status_line(output, status);
    put_fields(output, &head.headers);
    if let Some(name) = dialect.call {
        put_field(output, name, response.call_id.to_string().as_bytes());
    }
    let framing = response_framing(response, options);
    if !BODILESS_STATUSES.contains(&head.status) {
        match head.body_length {
            Some(length) if options.is_head_request => {
                put_framing(output, BodyFraming::Length(length))
            }
            _ if options.is_head_request => {}
            _ => put_framing(output, framing),
        }
    }
    put_connection_field(output, options);
    end_head(output);
    framing
}

fn response_framing(response: &CallResponse, options: ResponseOptions) -> BodyFraming {
    let head = &response.head;
    if options.is_head_request || BODILESS_STATUSES.contains(&head.status) {
        return BodyFraming::Length(0);
    }
    match (head.body_length, &response.remaining_body) {
        (Some(length), _) => BodyFraming::Length(length),
        (None, None) => BodyFraming::Length(head.body.len() as u64),
        (None, Some(_)) => BodyFraming::Chunked,
    }
}
