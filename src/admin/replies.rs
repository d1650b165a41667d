//! HTTP responses and errors of the administration API.

use derive_more::{Display, Error, From};
use ntex::http::StatusCode;
use ntex::http::header::WWW_AUTHENTICATE;
use ntex::web::{HttpRequest, HttpResponse, WebResponseError};
use serde::Serialize;

use super::messages::{AdminReply, FieldError, HealthView, RefusalReason, TicketOutcome};

/// Error of a request that was rejected before it reached control, or to which
/// control didn't reply.
#[derive(Debug, Clone, Display, Error, From)]
pub enum ApiError {
    /// A field of the path, query or body is invalid.
    InvalidField(FieldError),
    /// The body exceeds 1 MiB.
    #[display("body: larger than 1048576 bytes")]
    BodyTooLarge,
    /// The bearer token is missing or wrong.
    #[display("authorization: expected 'Bearer TOKEN' with the token of --admin-token")]
    InvalidToken,
    /// No route matches the path.
    #[display("path: unknown, expected one below /v1/")]
    UnknownPath,
    /// The request queue of control is full; nothing was changed.
    #[display("control: busy, nothing was changed, ask again")]
    ControlBusy,
    /// Control dropped the request or didn't reply within the timeout.
    #[display("control: no reply in time, ask again")]
    ReplyTimeout,
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    field: String,
    reason: String,
}

impl ApiError {
    /// Creates the error for a body that can't be received or isn't UTF-8.
    pub fn invalid_body(error: &impl ToString) -> Self {
        Self::InvalidField(FieldError {
            field: "body".to_string(),
            reason: error.to_string(),
        })
    }

    /// Returns the HTTP status of the response.
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

    /// Returns the response body; the message is split at the first `": "`.
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

/// Builds the HTTP response for a reply of control.
pub fn reply_to_response(reply: AdminReply) -> HttpResponse {
    match reply {
        AdminReply::Done => json_response(StatusCode::OK, &serde_json::json!({"result": "done"})),
        AdminReply::Ticket(outcome) => json_response(ticket_outcome_status(&outcome), &outcome),
        AdminReply::TicketContent(ticket) => json_response(StatusCode::OK, &ticket),
        AdminReply::Services(services) => json_response(StatusCode::OK, &services),
        AdminReply::Quarantine(suspects) => json_response(StatusCode::OK, &suspects),
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
                reason: "no backend server, ticket or suspected request of that name".to_string(),
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
