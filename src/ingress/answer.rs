//! HTTP answers to callers.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use futures_util::stream;
use ntex::http::body::{Body, BoxedBodyStream, SizedStream};
use ntex::http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use ntex::http::{Method, StatusCode};
use ntex::io::IoRef;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;
use tokio::sync::mpsc::Receiver;

use crate::error::{ErrorKind, RunOutcome};
use crate::fields::{CALL_FIELD, OUTCOME_FIELD, library_field};
use crate::ids::CallId;
use crate::ingress::InFlightGuard;
use crate::link::messages::AnswerHead;

/// Statuses whose answers have no body and no stated length.
const BODILESS: [u16; 2] = [204, 304];

/// The answer's body ended before it was whole.
#[derive(Debug, Clone, Copy, Display, derive_more::Error)]
#[display("answer cut short: {kind}")]
pub struct AnswerCut {
    /// Cause.
    pub kind: ErrorKind,
}

/// Rest of an answer's body, in order; an `Err` breaks it off.
pub type AnswerReceiver = Receiver<Result<bytes::Bytes, AnswerCut>>;

/// Answer of a backend server.
pub struct CallAnswer {
    /// Call.
    pub call: CallId,
    /// Head, with the first bytes of the body.
    pub head: AnswerHead,
    /// Rest of the body, unless the head has it all.
    pub rest: Option<AnswerReceiver>,
}

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// Call, if it got that far.
    pub call: Option<CallId>,
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
            call: None,
            kind,
            outcome: RunOutcome::NotRun,
            retry_after: Duration::from_secs(1),
        }
    }
}

#[derive(Serialize)]
struct FailureBody {
    error: &'static str,
    message: String,
    outcome: String,
}

/// Answer of the system itself, from the table of error kinds.
pub fn failure_response(failure: &CallFailure) -> HttpResponse {
    let row = failure.kind.answer_row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = FailureBody {
        error: failure.kind.code(),
        message: failure.kind.to_string(),
        outcome: failure.outcome.to_string(),
    };
    let mut response = HttpResponse::build(status);
    response.set_header(OUTCOME_FIELD, failure.outcome.to_string());
    if let Some(call) = failure.call {
        response.set_header(CALL_FIELD, call.to_string());
    }
    if row.has_retry_after {
        response.set_header(RETRY_AFTER, whole_seconds(failure.retry_after).to_string());
    }
    response.set_header(CONTENT_TYPE, "application/json");
    response.body(serde_json::to_vec(&body).unwrap_or_default())
}

/// `Retry-After` counts whole seconds; too early would be a false promise.
fn whole_seconds(duration: Duration) -> u64 {
    let has_fraction = duration.subsec_nanos() > 0;
    (duration.as_secs() + u64::from(has_fraction)).max(1)
}

/// Passes a backend server's answer on to the caller.
pub fn success_response(
    request: &HttpRequest,
    answer: CallAnswer,
    guard: InFlightGuard,
) -> HttpResponse {
    let code = u16::try_from(answer.head.status).unwrap_or_default();
    let status = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for field in &answer.head.headers {
        if let Some((name, value)) = library_field(field) {
            response.header(name, value);
        }
    }
    response.set_header(CALL_FIELD, answer.call.to_string());
    if BODILESS.contains(&code) {
        return response.body(Body::None);
    }
    if request.method() == Method::HEAD {
        return head_response(response, answer.head.body_length);
    }
    let body_length = answer.head.body_length;
    let Some(rest) = answer.rest else {
        let body = ntex::util::Bytes::copy_from_slice(&answer.head.body);
        return response.body(Body::Bytes(body));
    };
    let chunks = answer_stream(answer.head.body, rest, request.io().cloned(), guard);
    match body_length {
        Some(length) => response.message_body(Body::from_message(SizedStream::new(length, chunks))),
        None => response.message_body(Body::from_message(BoxedBodyStream::new(chunks))),
    }
}

fn head_response(
    mut response: ntex::web::HttpResponseBuilder,
    body_length: Option<u64>,
) -> HttpResponse {
    if let Some(length) = body_length {
        response.set_header(CONTENT_LENGTH, length.to_string());
        let empty = Box::pin(stream::empty::<Result<ntex::util::Bytes, Rc<dyn Error>>>());
        return response.message_body(Body::from_message(SizedStream::new(length, empty)));
    }
    response.finish()
}

/// Body of an answer, chunk by chunk.
///
/// If it is cut short, the connection is closed and the stream stays pending.
/// On an error the library would write an answer of its own behind the bytes
/// sent so far, which could fill the length that the caller was promised.
fn answer_stream(
    first: bytes::Bytes,
    rest: AnswerReceiver,
    io: Option<IoRef>,
    guard: InFlightGuard,
) -> impl stream::Stream<Item = Result<ntex::util::Bytes, Rc<dyn Error>>> + Unpin {
    let start = (Some(first), rest, io, guard);
    Box::pin(stream::unfold(
        start,
        |(first, mut rest, io, guard)| async move {
            let chunk = match first {
                Some(first) if !first.is_empty() => Ok(first),
                _ => rest.recv().await?,
            };
            let Ok(data) = chunk else {
                if let Some(io) = &io {
                    io.terminate();
                }
                return std::future::pending().await;
            };
            let data = ntex::util::Bytes::copy_from_slice(&data);
            Some((Ok(data), (None, rest, io, guard)))
        },
    ))
}
