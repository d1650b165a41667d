//! HTTP client from a gate to its own backend server.
//!
//! The gate is the only caller of the backend server, over pooled connections
//! on the same VM. The library never resends a request by itself. A pooled
//! connection may have been closed by the backend server in the same moment;
//! whether the request ran is then unknown, so connections are reused only
//! within a short idle time.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::Display;
use futures_util::stream;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::Method;
use ntex::http::body::{Body, BoxedBodyStream, SizedStream};
use ntex::time::Seconds;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::fields::{ATTEMPTS_FIELD, CALL_FIELD, TIMEOUT_FIELD, library_field};
use crate::ids::{CallId, ConnectionCount, ServiceName, SlotCount};
use crate::link::messages::CallOpen;

/// Idle time after which a pooled connection is not used again.
const IDLE_LIMIT: Seconds = Seconds(2);
/// Age after which a pooled connection is not used again.
const AGE_LIMIT: Seconds = Seconds(60);

/// Backend server as it announced itself to its own node.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendTarget {
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Calls that it can work on at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: ConnectionCount,
}

/// Why a request to the backend server got no answer.
#[derive(Debug, Display)]
pub enum BackendError {
    /// No connection could be opened: the request was not run.
    #[display("backend server unreachable: {reason}")]
    Unreachable {
        /// Cause as the library tells it.
        reason: String,
    },
    /// The connection failed after the request had begun.
    #[display("backend server failed: {reason}")]
    Failed {
        /// Cause as the library tells it.
        reason: String,
    },
}

/// Request body on its way to the backend server.
pub struct BodySource {
    /// Chunks in order; an `Err` breaks the body off.
    pub chunks: UnboundedReceiver<Result<Bytes, RequestCut>>,
    /// Called with the length of each chunk that the connection takes.
    pub on_consumed: Box<dyn Fn(u64)>,
}

/// The request's body ended before it was whole.
#[derive(Debug, Clone, Copy, Display, derive_more::Error)]
#[display("request body cut short")]
pub struct RequestCut;

/// Client of one backend server.
pub struct BackendClient {
    client: Client,
    target: BackendTarget,
}

impl BackendClient {
    /// Builds the client; must run on the thread that uses it.
    ///
    /// # Errors
    ///
    /// Fails if the library can't set up its connector.
    pub async fn connect(target: BackendTarget) -> Result<Self, BackendError> {
        let limit = usize::try_from(target.connections.get()).unwrap_or(usize::MAX);
        let connector = Connector::new()
            .limit(limit)
            .keep_alive(IDLE_LIMIT)
            .lifetime(AGE_LIMIT);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| BackendError::Unreachable {
                reason: error.to_string(),
            })?;
        Ok(Self { client, target })
    }

    /// Backend server that this client calls.
    pub fn target(&self) -> &BackendTarget {
        &self.target
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`BackendError::Unreachable`] means that the request was not run.
    pub async fn send(
        &self,
        call: CallId,
        open: &CallOpen,
        time_left_ms: u128,
        body: BodySource,
    ) -> Result<ClientResponse, BackendError> {
        let method = Method::from_bytes(open.method.as_bytes()).unwrap_or(Method::GET);
        let url = format!("http://{}{}", self.target.address, open.path);
        let mut request = self.client.request(method, url).no_decompress();
        for field in &open.headers {
            if let Some((name, value)) = library_field(field) {
                request.headers_mut().append(name, value);
            }
        }
        let request = request
            .set_header(TIMEOUT_FIELD, time_left_ms.to_string())
            .set_header(ATTEMPTS_FIELD, open.attempts_left.to_string())
            .set_header(CALL_FIELD, call.to_string());
        request
            .send_body(request_body(open, body))
            .await
            .map_err(|error| classify_error(&error))
    }
}

fn request_body(open: &CallOpen, source: BodySource) -> Body {
    if open.is_last && open.body.is_empty() {
        // A stated length of zero is repeated to the backend server.
        return if open.body_length.is_some() {
            Body::Empty
        } else {
            Body::None
        };
    }
    if open.is_last {
        return Body::Bytes(ntex::util::Bytes::copy_from_slice(&open.body));
    }
    let chunks = Box::pin(stream::unfold(source, |mut source| async move {
        let chunk = source.chunks.recv().await?;
        if let Ok(data) = &chunk {
            (source.on_consumed)(data.len() as u64);
        }
        let chunk = chunk
            .map(|data| ntex::util::Bytes::copy_from_slice(&data))
            .map_err(|cut| Rc::new(cut) as Rc<dyn Error>);
        Some((chunk, source))
    }));
    match open.body_length {
        Some(length) => Body::from_message(SizedStream::new(length, chunks)),
        None => Body::from_message(BoxedBodyStream::new(chunks)),
    }
}

fn classify_error(error: &ClientError) -> BackendError {
    let reason = error.to_string();
    if is_connect_error(error) {
        BackendError::Unreachable { reason }
    } else {
        BackendError::Failed { reason }
    }
}

fn is_connect_error(error: &ClientError) -> bool {
    match error {
        // The library reports a lost connection and a refused one alike; only
        // a refused one is sure to have carried nothing.
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause
            .as_ref()
            .is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused),
        ClientError::Connect(_) => true,
        _ => false,
    }
}
