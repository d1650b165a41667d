//! HTTP answers of the administration API.

use derive_more::{Display, Error, From};
use ntex::http::StatusCode;
use ntex::http::header::WWW_AUTHENTICATE;
use ntex::web::{HttpRequest, HttpResponse, WebResponseError};
use serde::Serialize;

use super::messages::{AdminReply, FieldError, HealthView, RefusalReason, TicketOutcome};

/// Request that control did not answer, or never saw.
#[derive(Debug, Clone, Display, Error, From)]
pub enum ApiError {
    /// A field is not allowed.
    InvalidField(FieldError),
    /// Body is larger than 1 MB.
    #[display("body: larger than 1048576 bytes")]
    BodyTooLarge,
    /// Bearer token is missing or wrong.
    #[display("authorization: expected 'Bearer TOKEN' with the token of --admin-token")]
    InvalidToken,
    /// No such path.
    #[display("path: unknown, expected one below /v1/")]
    UnknownPath,
    /// Control has too many requests waiting; nothing was changed.
    #[display("control: busy, nothing was changed, ask again")]
    ControlBusy,
    /// Control did not reply in time.
    #[display("control: no reply in time, ask again")]
    ReplyTimeout,
}

/// JSON body of an answer that is an error.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    field: String,
    reason: String,
}

impl ApiError {
    /// Error for a body that can't be read.
    pub fn invalid_body(error: &impl ToString) -> Self {
        Self::InvalidField(FieldError {
            field: "body".to_string(),
            reason: error.to_string(),
        })
    }

    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidField(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidToken => StatusCode::UNAUTHORIZED,
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::ControlBusy => StatusCode::SERVICE_UNAVAILABLE,
            Self::ReplyTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Body of the answer.
    pub fn body(&self) -> ErrorBody {
        let text = self.to_string();
        let (field, reason) = text.split_once(": ").unwrap_or(("request", &text));
        ErrorBody {
            field: field.to_string(),
            reason: reason.to_string(),
        }
    }
}

impl WebResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        self.status()
    }

    fn error_response(&self, _: &HttpRequest) -> HttpResponse {
        let mut response = HttpResponse::build(self.status());
        if matches!(self, Self::InvalidToken) {
            response.header(WWW_AUTHENTICATE, "Bearer");
        }
        response.json(&self.body())
    }
}

fn ticket_outcome_status(outcome: &TicketOutcome) -> StatusCode {
    match outcome {
        TicketOutcome::Accepted { .. } => StatusCode::OK,
        TicketOutcome::Refused {
            reason: RefusalReason::StoreAway,
            ..
        } => StatusCode::SERVICE_UNAVAILABLE,
        TicketOutcome::Refused { .. } => StatusCode::CONFLICT,
        TicketOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    HttpResponse::build(status).json(value)
}

/// Answer for control's reply.
pub fn reply_to_response(reply: AdminReply) -> HttpResponse {
    match reply {
        AdminReply::Done => json_response(StatusCode::OK, &serde_json::json!({"result": "done"})),
        AdminReply::Ticket(outcome) => json_response(ticket_outcome_status(&outcome), &outcome),
        AdminReply::TicketContent(ticket) => json_response(StatusCode::OK, &ticket),
        AdminReply::Services(services) => json_response(StatusCode::OK, &services),
        AdminReply::Members(members) => json_response(StatusCode::OK, &members),
        AdminReply::Status(status) => json_response(StatusCode::OK, &status),
        AdminReply::Health(health) => {
            let status = match health {
                HealthView::Serving => StatusCode::OK,
                HealthView::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            };
            json_response(status, &health)
        }
        AdminReply::InvalidInput(error) => json_response(StatusCode::BAD_REQUEST, &error),
        AdminReply::NotFound => {
            let body = ErrorBody {
                field: "path".to_string(),
                reason: "no backend server or ticket of that name".to_string(),
            };
            json_response(StatusCode::NOT_FOUND, &body)
        }
        AdminReply::Unavailable(reason) => {
            let field = "control".to_string();
            json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &ErrorBody { field, reason },
            )
        }
    }
}
