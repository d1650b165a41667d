//! HTTP client from a gate to its own backend server.
//!
//! The gate is the only caller of the backend server, over pooled connections
//! on the same VM. A request is never sent again after the backend server may
//! have begun to work on it, with one exception: an idempotent request whose
//! reused connection turned out to be closed goes out once more on a new one
//! (RFC 9110, section 9.2.2). A connection is reused only if the exchange
//! before was whole in both directions and nothing has arrived on it since.
//!
//! Where the dialect has the caller repeat a request's identifier, an answer
//! with another identifier is one that arrived late or twice: it is read and
//! dropped, and the right one is waited for.

mod answer;
mod connection;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::fields::CallDialect;
use crate::http1::write::{end_head, put_field, put_fields, put_framing_field, put_request_line};
use crate::http1::{BodyFraming, HeadLimits, ResponseHead};
use crate::ids::{BackendId, CallId, ConnectionCount, ServiceName, SlotCount};
use crate::link::messages::CallOpen;

pub use answer::BackendAnswer;
use connection::{BackendConnection, Upload};

/// Idle time after which a pooled connection is not used again, where the
/// backend server names none.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Longest idle time, whatever the backend server names.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Part of the idle time that a backend server names within which a connection
/// is used again; the rest allows for the way of the request.
const IDLE_SHARE: f64 = 0.7;
/// Idle time after which a non-idempotent request does not use a pooled
/// connection: it could not be sent again if the connection were closed.
const FRESH_LIMIT: Duration = Duration::from_secs(1);
/// Time limit for opening a connection on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of an answer.
const ANSWER_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};
/// Answers to other requests that are dropped while one waits for its own.
const MAX_FOREIGN_ANSWERS: u32 = 4;

/// Load of a backend server, as it states it itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendLoad {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// How long work takes at present, against the usual.
    pub slowness: f64,
}

/// Backend server as it announced itself to its own node.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendTarget {
    /// Identifier that it announced itself under.
    pub id: BackendId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Calls that it can work on at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: ConnectionCount,
    /// Path that answers at once with its load, where there is one.
    pub health_path: Option<String>,
}

/// Why a request to the backend server got no answer.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// No connection could be opened: the request was not run.
    #[display("backend server unreachable: {reason}")]
    Unreachable {
        /// Cause in words.
        reason: String,
    },
    /// The backend server said that it did not run the request.
    #[display("backend server refused with status {status}")]
    Refused {
        /// Status of its answer.
        status: u16,
    },
    /// The exchange failed after the request had begun.
    #[display("backend server failed: {reason}")]
    Failed {
        /// Cause in words.
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

/// Request body on its way to the backend server.
pub struct BodySource {
    /// Chunks in order; an `Err` breaks the body off.
    pub chunks: UnboundedReceiver<Result<Bytes, RequestCut>>,
    /// Called with the length of each chunk that the connection takes.
    pub on_consumed: Box<dyn Fn(u64)>,
}

/// The request's body ended before it was whole.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("request body cut short")]
pub struct RequestCut;

/// Connection that waits for its next exchange.
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
    limit: Duration,
}

/// Client of one backend server.
pub struct BackendClient {
    target: BackendTarget,
    dialect: &'static CallDialect,
    idle: RefCell<Vec<IdleConnection>>,
}

impl BackendClient {
    /// Client that has no connection yet.
    pub fn new(target: BackendTarget, dialect: &'static CallDialect) -> Self {
        Self {
            target,
            dialect,
            idle: RefCell::default(),
        }
    }

    /// Backend server that this client calls.
    pub fn target(&self) -> &BackendTarget {
        &self.target
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`BackendError::Unreachable`] and [`BackendError::Refused`] mean that
    /// the request was not run.
    pub async fn send(
        self: &Rc<Self>,
        call: CallId,
        open: &CallOpen,
        time_left_ms: u128,
        body: BodySource,
    ) -> Result<BackendAnswer, BackendError> {
        let head = self.request_head(call, open, time_left_ms);
        let framing = request_framing(open);
        let mut upload = Upload::new(head.clone(), framing, body);
        let pooled = self.take_idle(open.is_idempotent);
        let is_reused = pooled.is_some();
        let connection = match pooled {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let first = self.exchange(connection, &mut upload, open).await;
        let is_retried = is_reused && open.is_idempotent && !upload.has_taken_body();
        let found = match first {
            Err(ExchangeError::NoAnswer(_)) if is_retried => {
                upload.restart(head);
                let connection = self.connect().await?;
                self.exchange(connection, &mut upload, open).await
            }
            other => other,
        };
        let (connection, answer) = found.map_err(BackendError::from)?;
        self.check(&answer)?;
        let client = Rc::clone(self);
        Ok(BackendAnswer::new(client, connection, upload, answer))
    }

    /// Asks the health path for the load; `None` if it isn't told.
    pub async fn read_load(&self) -> Option<BackendLoad> {
        let path = self.target.health_path.as_deref()?;
        let mut head = BytesMut::new();
        put_request_line(&mut head, "GET", path);
        put_field(
            &mut head,
            "host",
            self.target.address.to_string().as_bytes(),
        );
        end_head(&mut head);
        let mut connection = match self.take_idle(true) {
            Some(connection) => connection,
            None => self.connect().await.ok()?,
        };
        let answer = connection.ask(head).await?;
        let load = self.load_of(&answer);
        if answer.is_keep_alive && !connection.has_rest() {
            self.put_idle(connection, answer::keep_alive_timeout(&answer.fields));
        }
        load
    }

    fn load_of(&self, head: &ResponseHead) -> Option<BackendLoad> {
        let name = self.dialect.load?;
        let text = crate::http1::head::field_text(&head.fields, name)?;
        (self.dialect.parse_load)(text)
    }

    fn request_head(&self, call: CallId, open: &CallOpen, time_left_ms: u128) -> BytesMut {
        let dialect = self.dialect;
        let own = [Some(dialect.time_left), dialect.attempts, dialect.call];
        let is_own =
            |name: &str| own.contains(&Some(name)) || dialect.expected_backend == Some(name);
        let mut head = BytesMut::new();
        put_request_line(&mut head, &open.method, &open.path);
        put_fields(
            &mut head,
            open.headers.iter().filter(|field| !is_own(&field.name)),
        );
        put_field(
            &mut head,
            dialect.time_left,
            time_left_ms.to_string().as_bytes(),
        );
        if let Some(name) = dialect.attempts {
            put_field(&mut head, name, open.attempts_left.to_string().as_bytes());
        }
        if let Some(name) = dialect.call {
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

    /// Takes the connection that was used last and is still good.
    fn take_idle(&self, is_idempotent: bool) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|entry| entry.since.elapsed() < entry.limit);
        if !is_idempotent {
            // Connections are in order of use, so the last is the freshest.
            let last = idle.last()?;
            if last.since.elapsed() >= FRESH_LIMIT {
                return None;
            }
        }
        while let Some(entry) = idle.pop() {
            if entry.connection.is_quiet() {
                return Some(entry.connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: BackendConnection, limit: Option<Duration>) {
        let limit = limit.map_or(IDLE_LIMIT, |stated| {
            stated.mul_f64(IDLE_SHARE).min(MAX_IDLE_LIMIT)
        });
        let mut idle = self.idle.borrow_mut();
        if idle.len() < usize::try_from(self.target.connections.get()).unwrap_or(usize::MAX) {
            idle.push(IdleConnection {
                connection,
                since: Instant::now(),
                limit,
            });
        }
    }

    async fn connect(&self) -> Result<BackendConnection, BackendError> {
        let connecting = TcpStream::connect(self.target.address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let unreachable = |reason: String| BackendError::Unreachable { reason };
        let stream = connected
            .map_err(|_| unreachable("time limit passed".to_string()))?
            .map_err(|error| unreachable(error.to_string()))?;
        BackendConnection::new(stream).map_err(|error| unreachable(error.to_string()))
    }

    /// Sends the request and reads heads until the one that answers it.
    async fn exchange(
        &self,
        mut connection: BackendConnection,
        upload: &mut Upload,
        open: &CallOpen,
    ) -> Result<(BackendConnection, ResponseHead), ExchangeError> {
        for _ in 0..MAX_FOREIGN_ANSWERS {
            let head = connection.read_head(upload, &open.method).await?;
            if self.is_own_answer(&head, open) {
                return Ok((connection, head));
            }
            log::info!(
                target: "gate",
                request = open.request_id.as_str(), status = head.status;
                "answer to another request dropped"
            );
            connection.skip_body(upload, head.framing).await?;
        }
        Err(ExchangeError::Broken(BackendError::failed(
            &"answers to other requests only",
        )))
    }

    fn is_own_answer(&self, head: &ResponseHead, open: &CallOpen) -> bool {
        let Some(name) = self.dialect.request_id else {
            return true;
        };
        let named = crate::http1::head::field_text(&head.fields, name);
        open.request_id.is_empty() || named.is_none_or(|named| named == open.request_id)
    }

    /// Checks that an answer is the backend server's and that it ran the request.
    fn check(&self, head: &ResponseHead) -> Result<(), BackendError> {
        let has = |name: Option<&str>| {
            name.is_some_and(|name| head.fields.iter().any(|field| field.name == name))
        };
        if has(self.dialect.not_executed) {
            return Err(BackendError::Refused {
                status: head.status,
            });
        }
        if self.dialect.expected_backend.is_some() && head.status == 421 {
            return Err(BackendError::Unreachable {
                reason: "another backend server has the address".to_string(),
            });
        }
        let is_success = (200..300).contains(&head.status);
        if is_success && self.dialect.signature.is_some() && !has(self.dialect.signature) {
            return Err(BackendError::failed(&"success without signature"));
        }
        Ok(())
    }
}

/// Failure of one exchange.
#[derive(Debug)]
enum ExchangeError {
    /// The connection ended before a byte of the answer came.
    NoAnswer(BackendError),
    /// It failed later.
    Broken(BackendError),
}

impl From<ExchangeError> for BackendError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NoAnswer(error) | ExchangeError::Broken(error) => error,
        }
    }
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
