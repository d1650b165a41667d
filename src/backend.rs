//! HTTP client from a gate to its own backend server.
//!
//! The gate is the backend server's only client and uses pooled connections on
//! the same VM. A request is never resent after the backend server may have
//! begun to work on it, with one exception: an idempotent request whose reused
//! connection turns out to be closed may be resent once on a new connection (RFC
//! 9110, section 9.2.2), if [`resend`](crate::retry::resend) allows it. A connection
//! is reused only if the previous exchange was complete in both directions and
//! nothing has arrived since.
//!
//! If the [`HeaderDialect`] names a field for the request's identifier, the
//! backend server repeats the identifier in its response. A response with
//! another identifier or none has arrived late or twice, or is no response at
//! all: it is discarded, and the client goes on waiting for the matching one.

mod answer;
mod closing;
mod connection;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use derive_more::{Display, Error};
use tokio::net::TcpStream;

use crate::body_channel::{self, BodyReceiver, BodyTruncated};
use crate::fields::HeaderDialect;
use crate::http1::write::{end_head, put_field, put_fields, put_framing_field, put_request_line};
use crate::http1::{BodyFraming, FinalStatus, HeadLimits, ResponseHead};
use crate::ids::{BackendId, BackendKey, CallId, ConnectionCount, ServiceName, SlotCount};
use crate::link::messages::CallOpen;
use crate::rate_limit::BackendStatement;
use crate::retry::resend::LostExchange;

pub use answer::BackendResponse;
use connection::{BackendConnection, RequestUpload};

/// Idle timeout of a pooled connection if the backend server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound on the idle timeout that the backend server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Fraction of the stated idle timeout within which a connection is reused; the
/// rest allows for the transit time of the request.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Idle time after which a connection is not reused for a non-idempotent
/// request, which could not be resent if the connection turned out to be closed.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for opening a connection on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of a response.
const RESPONSE_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};
/// Responses to other requests that are discarded before an exchange fails.
const MAX_MISMATCHED_RESPONSES: u32 = 4;

/// Load that a backend server states about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting to be processed.
    pub waiting: u32,
    /// Requests that it can process at once.
    pub slots: u32,
    /// Current processing time as a multiple of the usual one.
    pub slowness: f64,
}

/// Backend server as it announced itself to its own node.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendTarget {
    /// Identifier in its announcement.
    pub id: BackendId,
    /// Which start of the backend server it is.
    pub key: BackendKey,
    /// Whether a later start would have another key.
    pub states_its_start: bool,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Calls that it can process at once.
    pub slots: SlotCount,
    /// Maximum number of connections that it accepts.
    pub max_connections: ConnectionCount,
    /// Path that responds at once and states the load; `None` if it has none.
    pub health_path: Option<String>,
}

impl BackendTarget {
    /// Whether both are one start of one backend server, whose requests this may run.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.key == other.key && self.service == other.service && self.address == other.address
    }
}

/// Reason why a request to the backend server got no valid response.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// No connection could be opened, or another backend server has the
    /// address: the request has not run.
    #[display("backend server unreachable: {reason}")]
    Unreachable {
        /// Cause of the failure.
        reason: String,
    },
    /// The backend server stated that it has not run the request.
    #[display("backend server refused with status {status}")]
    Refused {
        /// Status of its response.
        status: FinalStatus,
        /// Time after which it says to retry; `None` if it doesn't say.
        retry_after: Option<Duration>,
    },
    /// The exchange failed after it had started: the request may have run.
    #[display("backend server failed: {reason}")]
    Failed {
        /// Cause of the failure.
        reason: String,
    },
}

impl BackendError {
    fn failed(reason: &impl ToString) -> Self {
        Self::Failed {
            reason: reason.to_string(),
        }
    }
}

/// Request body for the backend server.
pub struct RequestBodySource {
    /// Chunks in order, up to the stated end.
    pub chunks: BodyReceiver<BodyTruncated>,
    /// Called with the number of body bytes written to the connection.
    pub on_consumed: Box<dyn Fn(u64)>,
}

impl RequestBodySource {
    /// Source of an empty body.
    pub fn empty() -> Self {
        let (sender, chunks) = body_channel::unbounded();
        sender.finish();
        Self {
            chunks,
            on_consumed: Box::new(|_| {}),
        }
    }
}

/// Pooled connection between two exchanges.
struct IdleConnection {
    connection: BackendConnection,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Whether it has carried a request; only then may its end be that of an idle
    /// connection.
    is_used: bool,
}

/// Result of sending a request.
pub struct BackendExchange {
    /// Response, whose head has been read.
    pub result: Result<BackendResponse, BackendError>,
    /// What the head of the response says about the backend server, whatever the
    /// result; `None` without a response of this backend server to this request.
    pub statement: Option<BackendStatement>,
    /// Whether the request was sent a second time.
    pub is_resent: bool,
}

/// Response to a load poll.
#[derive(Debug)]
pub struct LoadPollResponse {
    /// Load; `None` if it is not stated.
    pub load: Option<BackendLoad>,
    /// What the response says about the backend server; `None` if another one may have
    /// responded.
    pub statement: Option<BackendStatement>,
    /// Whether this backend server says that it is well and doesn't leave.
    pub is_up: bool,
}

/// Whether a backend server listens at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerState {
    /// A connection was opened.
    Listening,
    /// The connection was refused, as nothing listens there.
    Closed,
    /// Neither within the time limit.
    Unknown,
}

/// Called when a connection is lost, with what that shows of the listener.
type ConnectionLostHandler = Box<dyn Fn(ListenerState)>;

/// Client of one backend server.
pub struct BackendClient {
    target: BackendTarget,
    dialect: &'static HeaderDialect,
    idle_connections: RefCell<Vec<IdleConnection>>,
    on_connection_lost: RefCell<Option<ConnectionLostHandler>>,
}

impl BackendClient {
    /// Creates a client without connections.
    pub fn new(target: BackendTarget, dialect: &'static HeaderDialect) -> Self {
        Self {
            target,
            dialect,
            idle_connections: RefCell::default(),
            on_connection_lost: RefCell::default(),
        }
    }

    /// Backend server that this client sends requests to.
    pub fn target(&self) -> &BackendTarget {
        &self.target
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// [`BackendError::Unreachable`] and [`BackendError::Refused`] mean that
    /// the request has not run. `may_resend` decides whether a request whose
    /// connection ended without a response is sent a second time.
    pub async fn send(
        self: &Rc<Self>,
        call: CallId,
        open: &CallOpen,
        time_left: Duration,
        body: RequestBodySource,
        may_resend: impl Fn(&LostExchange) -> bool,
    ) -> BackendExchange {
        let mut exchange = BackendExchange {
            result: Err(BackendError::failed(&"not sent")),
            statement: None,
            is_resent: false,
        };
        let result = self
            .send_into(&mut exchange, call, open, time_left, body, may_resend)
            .await;
        exchange.result = result.map_err(|error| {
            if exchange.is_resent {
                // The first copy may have run, whatever became of the second.
                BackendError::failed(&error)
            } else {
                error
            }
        });
        exchange
    }

    async fn send_into(
        self: &Rc<Self>,
        record: &mut BackendExchange,
        call: CallId,
        open: &CallOpen,
        time_left: Duration,
        body: RequestBodySource,
        may_resend: impl Fn(&LostExchange) -> bool,
    ) -> Result<BackendResponse, BackendError> {
        let started_at = Instant::now();
        let head = self.build_request_head(call, open, time_left);
        let framing = request_framing(open);
        let mut upload = RequestUpload::new(head, framing, body);
        let pooled = self.take_idle_connection(open.is_idempotent);
        let (connection, is_reused) = match pooled {
            Some(idle) => (idle.connection, idle.is_used),
            None => (self.connect().await?, false),
        };
        let sent_at = Instant::now();
        let first_result = self.exchange(connection, &mut upload, open).await;
        if matches!(first_result, Err(ExchangeError::NoResponse(_))) {
            self.report_lost_connection(ListenerState::Unknown);
        }
        let lost = LostExchange {
            is_reused,
            is_idempotent: open.is_idempotent,
            has_read_body: upload.has_read_body(),
            elapsed: sent_at.elapsed(),
            time_left: time_left.saturating_sub(started_at.elapsed()),
        };
        let final_result = match first_result {
            Err(ExchangeError::NoResponse(_)) if may_resend(&lost) => {
                upload.restart(self.build_request_head(call, open, lost.time_left));
                record.is_resent = true;
                let connection = self.connect().await?;
                self.exchange(connection, &mut upload, open).await
            }
            other => other,
        };
        let (connection, response_head) = final_result.map_err(BackendError::from)?;
        if !self.is_from_another_backend(&response_head) {
            record.statement = Some(self.dialect.backend_statement(&response_head.fields));
        }
        self.validate_response(&response_head)?;
        let client = Rc::clone(self);
        Ok(BackendResponse::new(
            client,
            connection,
            upload,
            response_head,
        ))
    }

    /// Opens a connection, which is kept for the next request.
    pub async fn check_listener(&self) -> ListenerState {
        let connecting = TcpStream::connect(self.target.address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        match connected {
            Ok(Ok(stream)) => {
                if let Ok(connection) = BackendConnection::new(stream) {
                    self.keep_connection(connection, DEFAULT_IDLE_TIMEOUT, false);
                }
                ListenerState::Listening
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ListenerState::Closed
            }
            Ok(Err(_)) | Err(_) => ListenerState::Unknown,
        }
    }

    /// Requests the load from the health path; `None` without a response.
    pub async fn fetch_load(&self) -> Option<LoadPollResponse> {
        let path = self.target.health_path.as_deref()?;
        let mut head = BytesMut::new();
        put_request_line(&mut head, "GET", path);
        put_field(
            &mut head,
            "host",
            self.target.address.to_string().as_bytes(),
        );
        end_head(&mut head);
        let mut connection = match self.take_idle_connection(true) {
            Some(idle) => idle.connection,
            None => self.connect().await.ok()?,
        };
        let Some(response_head) = connection.send_without_body(head).await else {
            self.report_lost_connection(ListenerState::Unknown);
            return None;
        };
        let request_id = self
            .dialect
            .request_id
            .and_then(|name| crate::http1::head::field_text(&response_head.fields, name));
        if request_id.is_some() {
            // A poll has no identifier: this is a late copy of another response, and
            // that to the poll is still to come.
            log::info!(target: "gate", request = request_id; "response to another request in place of a load poll's");
            return None;
        }
        let load = self.load_from_head(&response_head);
        let is_own = self.is_own_poll_response(&response_head);
        let statement = is_own.then(|| self.poll_statement(&response_head));
        let is_leaving = (statement.as_ref()).is_some_and(|statement| statement.is_leaving);
        let is_up = is_own && response_head.status.is_success() && !is_leaving;
        if response_head.is_keep_alive && !connection.has_excess_bytes() {
            self.return_connection(
                connection,
                answer::keep_alive_timeout(&response_head.fields),
            );
        }
        Some(LoadPollResponse {
            load,
            statement,
            is_up,
        })
    }

    /// What the response to a load poll says. Unlike other responses, a successful one says
    /// that the backend server is warm if it lacks the field of the warm-up time.
    fn poll_statement(&self, head: &ResponseHead) -> BackendStatement {
        let statement = self.dialect.backend_statement(&head.fields);
        let field = self.dialect.warm_up_left_ms;
        let is_absent = field.is_some_and(|name| !has_field(head, name));
        let is_warm = is_absent && head.status.is_success();
        BackendStatement {
            warm_up_left: statement
                .warm_up_left
                .or_else(|| is_warm.then_some(Duration::ZERO)),
            ..statement
        }
    }

    /// Whether health responses state the warm-up time.
    pub fn states_warm_up(&self) -> bool {
        self.dialect.warm_up_left_ms.is_some() && self.target.health_path.is_some()
    }

    /// Sets what to call when the backend server refuses (`Closed`) or drops (`Unknown`) a
    /// connection.
    pub fn set_on_connection_lost(&self, on_lost: impl Fn(ListenerState) + 'static) {
        *self.on_connection_lost.borrow_mut() = Some(Box::new(on_lost));
    }

    fn report_lost_connection(&self, listener: ListenerState) {
        if let Some(on_lost) = self.on_connection_lost.borrow().as_ref() {
            on_lost(listener);
        }
    }

    /// Whether the response to a load poll states no other backend server's identifier.
    fn is_own_poll_response(&self, head: &ResponseHead) -> bool {
        let stated_id = self
            .dialect
            .backend_id
            .and_then(|name| crate::http1::head::field_text(&head.fields, name));
        stated_id.is_none_or(|id| id == self.target.id.as_str())
    }

    fn is_from_another_backend(&self, head: &ResponseHead) -> bool {
        self.dialect.expected_backend.is_some() && head.status == FinalStatus::MISDIRECTED_REQUEST
    }

    fn load_from_head(&self, head: &ResponseHead) -> Option<BackendLoad> {
        let name = self.dialect.load?;
        let text = crate::http1::head::field_text(&head.fields, name)?;
        (self.dialect.parse_load)(text)
    }

    fn build_request_head(&self, call: CallId, open: &CallOpen, time_left: Duration) -> BytesMut {
        let dialect = self.dialect;
        let reserved_fields = [Some(dialect.timeout), dialect.attempts, dialect.call_id];
        let is_reserved = |name: &str| {
            reserved_fields.contains(&Some(name)) || dialect.expected_backend == Some(name)
        };
        let mut head = BytesMut::new();
        put_request_line(&mut head, &open.method, &open.path);
        put_fields(
            &mut head,
            open.headers
                .iter()
                .filter(|field| !is_reserved(&field.name)),
        );
        put_field(
            &mut head,
            dialect.timeout,
            time_left.as_millis().max(1).to_string().as_bytes(),
        );
        if let Some(name) = dialect.attempts {
            put_field(&mut head, name, open.attempts_left.to_string().as_bytes());
        }
        if let Some(name) = dialect.call_id {
            put_field(&mut head, name, call.to_string().as_bytes());
        }
        if let Some(name) = dialect.expected_backend {
            put_field(&mut head, name, self.target.id.as_str().as_bytes());
        }
        let has_body =
            open.body_length.is_some() || !open.is_body_complete || !open.body.is_empty();
        if has_body {
            put_framing_field(&mut head, request_framing(open));
        }
        end_head(&mut head);
        head
    }

    /// Takes the most recently used connection that can be reused.
    fn take_idle_connection(&self, is_idempotent: bool) -> Option<IdleConnection> {
        let mut idle = self.idle_connections.borrow_mut();
        idle.retain(|entry| entry.idle_since.elapsed() < entry.idle_timeout);
        if !is_idempotent {
            // Connections are in order of use, so the last was used most
            // recently.
            let last = idle.last()?;
            if last.idle_since.elapsed() >= NON_IDEMPOTENT_IDLE_TIMEOUT {
                return None;
            }
        }
        let mut has_lost = false;
        let mut usable = None;
        while let Some(entry) = idle.pop() {
            if entry.connection.is_idle() {
                usable = Some(entry);
                break;
            }
            has_lost = true;
        }
        drop(idle);
        if has_lost {
            self.report_lost_connection(ListenerState::Unknown);
        }
        usable
    }

    fn return_connection(&self, connection: BackendConnection, stated_timeout: Option<Duration>) {
        let idle_timeout = stated_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
            stated.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIMEOUT)
        });
        self.keep_connection(connection, idle_timeout, true);
    }

    fn keep_connection(
        &self,
        connection: BackendConnection,
        idle_timeout: Duration,
        is_used: bool,
    ) {
        let mut idle = self.idle_connections.borrow_mut();
        if idle.len() < usize::try_from(self.target.max_connections.get()).unwrap_or(usize::MAX) {
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                idle_timeout,
                is_used,
            });
        }
    }

    /// Opens a connection on which nothing has arrived. If the gate was paused after it
    /// had opened one, the server may have given it up with a response to no request;
    /// then another is opened.
    async fn connect(&self) -> Result<BackendConnection, BackendError> {
        let connection = self.open_connection().await?;
        if connection.is_idle() {
            return Ok(connection);
        }
        log::info!(
            target: "gate", backend:% = self.target.id;
            "new connection was closed or used before any request, opening another"
        );
        let connection = self.open_connection().await?;
        if connection.is_idle() {
            return Ok(connection);
        }
        Err(BackendError::Unreachable {
            reason: "new connection was closed or used before any request".to_string(),
        })
    }

    async fn open_connection(&self) -> Result<BackendConnection, BackendError> {
        let connecting = TcpStream::connect(self.target.address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        match &connected {
            Ok(Ok(_)) => {}
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.report_lost_connection(ListenerState::Closed);
            }
            Ok(Err(_)) | Err(_) => self.report_lost_connection(ListenerState::Unknown),
        }
        let unreachable = |reason: String| BackendError::Unreachable { reason };
        let stream = connected
            .map_err(|_| unreachable("connection attempt timed out".to_string()))?
            .map_err(|error| unreachable(error.to_string()))?;
        BackendConnection::new(stream).map_err(|error| unreachable(error.to_string()))
    }

    /// Sends the request and reads response heads until one matches it.
    async fn exchange(
        &self,
        mut connection: BackendConnection,
        upload: &mut RequestUpload,
        open: &CallOpen,
    ) -> Result<(BackendConnection, ResponseHead), ExchangeError> {
        for _ in 0..MAX_MISMATCHED_RESPONSES {
            let head = connection.read_head(upload, &open.method).await?;
            if self.is_matching_response(&head, open) {
                return Ok((connection, head));
            }
            log::info!(
                target: "gate",
                request = open.request_id.as_str(), status:% = head.status;
                "response to another request discarded, waiting for the matching one"
            );
            connection.discard_body(upload, head.framing).await?;
        }
        Err(ExchangeError::Failed(BackendError::failed(
            &"too many responses to other requests",
        )))
    }

    fn is_matching_response(&self, head: &ResponseHead, open: &CallOpen) -> bool {
        let Some(field_name) = self.dialect.request_id else {
            return true;
        };
        let response_id = crate::http1::head::field_text(&head.fields, field_name);
        open.request_id.is_empty() || response_id == Some(&open.request_id)
    }

    /// Checks that a response is from this backend server and that the request
    /// ran.
    fn validate_response(&self, head: &ResponseHead) -> Result<(), BackendError> {
        let has_named = |name: Option<&str>| name.is_some_and(|name| has_field(head, name));
        if has_named(self.dialect.not_executed) {
            return Err(BackendError::Refused {
                status: head.status,
                retry_after: answer::retry_after(&head.fields),
            });
        }
        if self.is_from_another_backend(head) {
            return Err(BackendError::Unreachable {
                reason: "another backend server responded at the address".to_string(),
            });
        }
        if head.status.is_success()
            && self.dialect.signature.is_some()
            && !has_named(self.dialect.signature)
        {
            return Err(BackendError::failed(
                &"successful response has no signature field",
            ));
        }
        Ok(())
    }
}

/// Failure of one exchange.
#[derive(Debug)]
enum ExchangeError {
    /// The connection ended before any byte of the response arrived.
    NoResponse(BackendError),
    /// The exchange failed after the response had begun to arrive.
    Failed(BackendError),
}

impl From<ExchangeError> for BackendError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NoResponse(error) | ExchangeError::Failed(error) => error,
        }
    }
}

fn has_field(head: &ResponseHead, name: &str) -> bool {
    head.fields.iter().any(|field| field.name == name)
}

fn request_framing(open: &CallOpen) -> BodyFraming {
    match open.body_length {
        Some(length) => BodyFraming::Length(length),
        None if open.is_body_complete => BodyFraming::Length(open.body.len() as u64),
        None => BodyFraming::Chunked,
    }
}

#[cfg(test)]
mod tests;
