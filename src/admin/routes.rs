//! Routes of the administration API.

use std::io;
use std::net::TcpListener;
use std::str::FromStr;
use std::time::Duration;

use ntex::http::header::AUTHORIZATION;
use ntex::server::Server;
use ntex::util::BytesMut;
use ntex::web::types::{Payload, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, ServiceConfig};
use tokio::sync::{mpsc, oneshot};

use super::announcement::AnnouncementDecoder;
use super::messages::{AdminCall, AdminReply, AdminRequest, FieldError, TicketOutcome};
use super::replies::{ApiError, reply_to_response};
use crate::ids::{BackendId, TicketNumber};
use crate::options::SecretToken;

/// Largest request body, in bytes; the platform's store takes no larger value.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Longest wait for control's reply, in which it may wait for the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// Start of a bearer token's header value.
const BEARER_PREFIX: &str = "Bearer ";
/// Advice after a submission whose result is not known.
const RETRY_ADVICE: &str = "ask again with the same number and content";

/// What the routes need: the way to control, and the token.
#[derive(Debug, Clone)]
pub struct AdminApiState {
    /// Control thread.
    pub control: mpsc::Sender<AdminCall>,
    /// Bearer token that calls other than GET need.
    pub token: Option<SecretToken>,
    /// Readers of what backend servers send.
    pub announcement_decoder: AnnouncementDecoder,
}

/// Starts a server for the administration API on one thread of its own.
///
/// It has to be called within an ntex system, and leaves signals alone.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn start_admin_server(listener: TcpListener, api_state: AdminApiState) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        let api_state = api_state.clone();
        App::new().state(api_state).configure(configure)
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

/// Starts a server that only says whether this node takes work.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn start_health_server(listener: TcpListener, api_state: AdminApiState) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(api_state.clone())
            .service(web::resource("/v1/health").route(web::get().to(get_health)))
            .service(web::resource("/{path}*").to(unknown_path))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

/// Adds the routes; the app's state has to hold an [`AdminAccess`].
pub fn configure(config: &mut ServiceConfig) {
    config
        .service(
            web::resource("/v1/backends/{id}")
                .route(web::put().to(put_backend))
                .route(web::delete().to(delete_backend)),
        )
        .service(
            web::resource("/v1/tickets/{number}")
                .route(web::put().to(put_ticket))
                .route(web::get().to(get_ticket)),
        )
        .service(web::resource("/v1/services").route(web::get().to(get_services)))
        .service(web::resource("/v1/members").route(web::get().to(get_members)))
        .service(web::resource("/v1/status").route(web::get().to(get_status)))
        .service(web::resource("/v1/health").route(web::get().to(get_health)))
        .service(web::resource("/{path}*").to(unknown_path));
}

async fn put_backend(
    request: HttpRequest,
    payload: Payload,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    // An answer ahead of the body would close the connection under a client
    // that is still sending, so a refusal waits for the body too.
    let body = read_body(payload).await;
    check_token(&request, &api_state)?;
    let backend = path_parameter::<BackendId>(&request, "id")?;
    let body = body?;
    let announcement = (api_state.announcement_decoder.decode_announcement)(&body)?;
    let message = AdminRequest::AnnounceBackend {
        backend,
        announcement,
    };
    send_to_control(&api_state, message).await
}

async fn delete_backend(
    request: HttpRequest,
    payload: Payload,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    let body = read_body(payload).await;
    check_token(&request, &api_state)?;
    let backend = path_parameter::<BackendId>(&request, "id")?;
    let withdrawal = (api_state.announcement_decoder.decode_withdrawal)(&body?);
    let message = AdminRequest::WithdrawBackend {
        backend,
        withdrawal,
    };
    send_to_control(&api_state, message).await
}

async fn put_ticket(
    request: HttpRequest,
    payload: Payload,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    let body = read_body(payload).await;
    check_token(&request, &api_state)?;
    let number = path_parameter::<TicketNumber>(&request, "number")?;
    let is_check = parse_check_flag(request.query_string())?;
    let body = body?;
    if is_check {
        return send_to_control(&api_state, AdminRequest::CheckTicket { number, body }).await;
    }
    send_to_control(&api_state, AdminRequest::SubmitTicket { number, body }).await
}

async fn get_ticket(
    request: HttpRequest,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    let number = path_parameter::<TicketNumber>(&request, "number")?;
    send_to_control(&api_state, AdminRequest::ShowTicket { number }).await
}

async fn get_services(api_state: State<AdminApiState>) -> Result<HttpResponse, ApiError> {
    send_to_control(&api_state, AdminRequest::ListServices).await
}

async fn get_members(api_state: State<AdminApiState>) -> Result<HttpResponse, ApiError> {
    send_to_control(&api_state, AdminRequest::ListMembers).await
}

async fn get_status(api_state: State<AdminApiState>) -> Result<HttpResponse, ApiError> {
    send_to_control(&api_state, AdminRequest::ShowStatus).await
}

async fn get_health(api_state: State<AdminApiState>) -> Result<HttpResponse, ApiError> {
    send_to_control(&api_state, AdminRequest::CheckHealth).await
}

async fn unknown_path() -> Result<HttpResponse, ApiError> {
    Err(ApiError::UnknownPath)
}

fn check_token(request: &HttpRequest, api_state: &AdminApiState) -> Result<(), ApiError> {
    let Some(token) = &api_state.token else {
        return Ok(());
    };
    let header = request.headers().get(AUTHORIZATION);
    let presented_token = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix(BEARER_PREFIX));
    if presented_token.is_some_and(|presented_token| token.matches(presented_token)) {
        Ok(())
    } else {
        Err(ApiError::InvalidToken)
    }
}

fn path_parameter<T: FromStr>(request: &HttpRequest, field: &'static str) -> Result<T, FieldError>
where
    T::Err: ToString,
{
    let text = request.match_info().get(field).unwrap_or_default();
    text.parse().map_err(|error: T::Err| FieldError {
        field: field.to_string(),
        reason: error.to_string(),
    })
}

fn parse_check_flag(query: &str) -> Result<bool, FieldError> {
    match query {
        "" | "check=false" => Ok(false),
        "check=true" => Ok(true),
        other => Err(FieldError {
            field: "check".to_string(),
            reason: format!("'{other}' is not allowed, expected check=true or check=false"),
        }),
    }
}

async fn read_body(mut payload: Payload) -> Result<String, ApiError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| ApiError::invalid_body(&error))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(ApiError::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    String::from_utf8(body.to_vec()).map_err(|error| ApiError::invalid_body(&error))
}

async fn send_to_control(
    api_state: &AdminApiState,
    request: AdminRequest,
) -> Result<HttpResponse, ApiError> {
    let submitted_number = match &request {
        AdminRequest::SubmitTicket { number, .. } => Some(*number),
        _ => None,
    };
    let (reply_sender, reply_receiver) = oneshot::channel();
    let call = AdminCall {
        request,
        reply: reply_sender,
    };
    let sent = api_state.control.try_send(call);
    sent.map_err(|_| ApiError::ControlBusy)?;
    let reply = tokio::time::timeout(REPLY_TIMEOUT, reply_receiver).await;
    let reply = match (reply, submitted_number) {
        (Ok(Ok(reply)), _) => reply,
        // Control may have passed the ticket on before it went silent.
        (_, Some(number)) => AdminReply::Ticket(TicketOutcome::Unknown {
            number,
            advice: RETRY_ADVICE.to_string(),
        }),
        (_, None) => return Err(ApiError::ReplyTimeout),
    };
    Ok(reply_to_response(reply))
}
