//! HTTP answers to callers.

use std::time::Duration;

use bytes::BytesMut;
use derive_more::Display;
use serde::Serialize;
use tokio::sync::mpsc::Receiver;

use crate::error::{ErrorKind, RunOutcome};
use crate::fields::CallDialect;
use crate::http1::BodyFraming;
use crate::http1::write::{end_head, put_field, put_fields, put_framing_field, put_status_line};
use crate::ids::{CallId, NodeId};
use crate::link::messages::ResponseStart;

/// Statuses whose answers have no body and no stated length.
const BODILESS: [u32; 2] = [204, 304];

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
#[derive(Debug)]
pub struct CallAnswer {
    /// Call.
    pub call: CallId,
    /// Node of the upstream.
    pub upstream: NodeId,
    /// Head, with the first bytes of the body.
    pub head: ResponseStart,
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

impl CallFailure {
    /// Failure by a fault of this program, after which nothing is certain.
    pub fn internal() -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::from(ErrorKind::Internal)
        }
    }
}

impl CallAnswer {
    /// Waits for the whole body, for a caller that could not tell an answer
    /// cut short from a whole one.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut short.
    pub async fn collect(mut self) -> Result<Self, AnswerCut> {
        let Some(mut rest) = self.rest.take() else {
            return Ok(self);
        };
        let mut body = BytesMut::from(&self.head.body[..]);
        while let Some(piece) = rest.recv().await {
            body.extend_from_slice(&piece?);
        }
        self.head.body_length = Some(body.len() as u64);
        self.head.body = body.freeze();
        Ok(self)
    }
}

/// What the head of an answer depends on beside the answer itself.
#[derive(Debug, Clone, Copy)]
pub struct AnswerForm {
    /// Whether the request was a HEAD.
    pub is_head: bool,
    /// Whether the caller can't read chunks.
    pub is_old: bool,
    /// Whether the connection ends with this answer.
    pub is_closing: bool,
}

#[derive(Serialize)]
struct FailureBody {
    error: &'static str,
    message: String,
    outcome: String,
}

/// Writes an answer of the system itself, from the table of error kinds.
pub fn put_failure(
    output: &mut BytesMut,
    dialect: &CallDialect,
    failure: &CallFailure,
    form: AnswerForm,
) {
    let row = failure.kind.answer_row_for(failure.outcome);
    let body = FailureBody {
        error: failure.kind.code(),
        message: failure.kind.to_string(),
        outcome: failure.outcome.to_string(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    put_status_line(output, row.status);
    if let Some(name) = dialect.outcome {
        put_field(output, name, failure.outcome.to_string().as_bytes());
    }
    if let (Some(name), Some(call)) = (dialect.call, failure.call) {
        put_field(output, name, call.to_string().as_bytes());
    }
    if row.has_retry_after {
        let value = retry_after_text(failure.retry_after, dialect.has_retry_fractions);
        put_field(output, "retry-after", value.as_bytes());
    }
    put_field(output, "content-type", b"application/json");
    put_framing_field(output, BodyFraming::Length(body.len() as u64));
    put_closing(output, form);
    end_head(output);
    if !form.is_head {
        output.extend_from_slice(&body);
    }
}

/// `Retry-After` counts whole seconds unless the callers' dialect says
/// otherwise; too early would be a false promise.
fn retry_after_text(duration: Duration, has_fractions: bool) -> String {
    if has_fractions {
        return format!("{:.3}", duration.as_secs_f64());
    }
    let has_fraction = duration.subsec_nanos() > 0;
    let seconds = (duration.as_secs() + u64::from(has_fraction)).max(1);
    seconds.to_string()
}

fn put_closing(output: &mut BytesMut, form: AnswerForm) {
    if form.is_closing {
        put_field(output, "connection", b"close");
    } else if form.is_old {
        put_field(output, "connection", b"keep-alive");
    }
}

/// Writes the head of a backend server's answer; returns the framing of its
/// body.
pub fn put_answer_head(
    output: &mut BytesMut,
    dialect: &CallDialect,
    answer: &CallAnswer,
    form: AnswerForm,
) -> BodyFraming {
    let head = &answer.head;
    let status = u16::try_from(head.status).unwrap_or(502);
    put_status_line(output, status);
    put_fields(output, &head.headers);
    if let Some(name) = dialect.call {
        put_field(output, name, answer.call.to_string().as_bytes());
    }
    let framing = answer_framing(answer, form);
    if !BODILESS.contains(&head.status) {
        match head.body_length {
            Some(length) if form.is_head => put_framing_field(output, BodyFraming::Length(length)),
            _ if form.is_head => {}
            _ => put_framing_field(output, framing),
        }
    }
    put_closing(output, form);
    end_head(output);
    framing
}

fn answer_framing(answer: &CallAnswer, form: AnswerForm) -> BodyFraming {
    let head = &answer.head;
    if form.is_head || BODILESS.contains(&head.status) {
        return BodyFraming::Length(0);
    }
    match (head.body_length, &answer.rest) {
        (Some(length), _) => BodyFraming::Length(length),
        (None, None) => BodyFraming::Length(head.body.len() as u64),
        (None, Some(_)) => BodyFraming::Chunked,
    }
}
