//! HTTP servers and routes of the administration API.
//!
//! Each handler checks the token, parses the request and waits for the reply of
//! the control thread.

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
use crate::quarantine::RequestFingerprint;

/// Request size limit, equal to the value size limit of the platform's store.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time limit for the reply of control, which may wait for the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// Prefix of the `Authorization` header before the token.
const BEARER_PREFIX: &str = "Bearer ";
/// Advice to the operator if the outcome of a submission is unknown.
const RETRY_ADVICE: &str = "ask again with the same number and content";

/// Shared state of the request handlers.
#[derive(Debug, Clone)]
pub struct AdminApiState {
    /// Request queue of the control thread.
    pub control: mpsc::Sender<AdminCall>,
    /// Bearer token required for requests other than GET; `None` for no check.
    pub token: Option<SecretToken>,
    /// Parsers for the bodies that backend servers send.
    pub announcement_decoder: AnnouncementDecoder,
}

/// Starts a server for the administration API with one worker thread, which serves at most
/// `max_connections` at once.
///
/// Must be called within an ntex system. The server installs no signal handlers.
///
/// # Errors
///
/// Fails if the listener can't be registered with the server.
pub fn start_admin_server(
    listener: TcpListener,
    api_state: AdminApiState,
    max_connections: usize,
) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        let api_state = api_state.clone();
        App::new().state(api_state).configure(configure)
    });
    let server = server.workers(1).maxconn(max_connections);
    Ok(server.disable_signals().listen(listener)?.run())
}

/// Starts a server that serves only `/v1/health`, on at most `max_connections` at once.
///
/// # Errors
///
/// Fails if the listener can't be registered with the server.
pub fn start_health_server(
    listener: TcpListener,
    api_state: AdminApiState,
    max_connections: usize,
) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(api_state.clone())
            .service(web::resource("/v1/health").route(web::get().to(get_health)))
            .service(web::resource("/{path}*").to(unknown_path))
    });
    let server = server.workers(1).maxconn(max_connections);
    Ok(server.disable_signals().listen(listener)?.run())
}

/// Adds the routes to an app whose state includes an [`AdminApiState`].
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
        .service(web::resource("/v1/quarantine").route(web::get().to(get_quarantine)))
        .service(
            web::resource("/v1/quarantine/{fingerprint}")
                .route(web::delete().to(delete_quarantine)),
        )
        .service(web::resource("/v1/status").route(web::get().to(get_status)))
        .service(web::resource("/v1/health").route(web::get().to(get_health)))
        .service(web::resource("/{path}*").to(unknown_path));
}

async fn put_backend(
    request: HttpRequest,
    payload: Payload,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    // A response before the end of the body would close the connection while
    // the client is still sending, so errors wait for the whole body too.
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

async fn get_quarantine(api_state: State<AdminApiState>) -> Result<HttpResponse, ApiError> {
    send_to_control(&api_state, AdminRequest::ListQuarantine).await
}

async fn delete_quarantine(
    request: HttpRequest,
    api_state: State<AdminApiState>,
) -> Result<HttpResponse, ApiError> {
    check_token(&request, &api_state)?;
    let fingerprint = path_parameter::<RequestFingerprint>(&request, "fingerprint")?;
    send_to_control(&api_state, AdminRequest::ClearQuarantine { fingerprint }).await
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
        // Control may have submitted the ticket before it failed to reply.
        (_, Some(number)) => AdminReply::Ticket(TicketOutcome::Unknown {
            number,
            advice: RETRY_ADVICE.to_string(),
        }),
        (_, None) => return Err(ApiError::ReplyTimeout),
    };
    Ok(reply_to_response(reply))
}
