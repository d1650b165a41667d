//! HTTP calls to a key-value service.
//!
//! The client never resends a request by itself. Every call opens a connection
//! of its own: calls are few, and a kept connection may have gone silent for
//! good while new ones work.

use std::time::Duration;

use bytes::Bytes;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{Method, StatusCode};
use ntex::io::IoConfig;
use ntex::time::Millis;

use super::{MAX_VALUE_BYTES, StoreError};

/// Largest answer: a value of the largest size in base64 with its envelope.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES * 2;
/// Connections to the store at one time.
const MAX_CONNECTIONS: usize = 16;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Client of one service.
#[derive(Debug, Clone)]
pub struct StoreHttpClient {
    client: Client,
    base_url: String,
}

/// Answer to one call.
#[derive(Debug)]
pub struct StoreResponse {
    /// Status.
    pub status: StatusCode,
    /// Value of the header field that the call asked for.
    pub index: u64,
    /// Body.
    pub body: Bytes,
}

/// One call.
#[derive(Debug)]
pub struct StoreRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: Bytes,
    /// Time limit.
    pub timeout: Duration,
    /// Field of the answer that holds a number to keep.
    pub index_header: Option<&'static str>,
}

impl StoreHttpClient {
    /// Makes a client for the service at `base_url`, such as `http://10.0.0.1:8500`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn connect(base_url: &str) -> Result<Self, StoreError> {
        let connector = Connector::default().limit(MAX_CONNECTIONS);
        let io_config = IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::new("STORE").add(io_config))
            .await
            .map_err(|error| no_effect(&error))?;
        let base_url = base_url.trim_end_matches('/').to_string();
        Ok(Self { client, base_url })
    }

    /// Makes a call; an answer with any status is returned.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes; says whether the call had no effect.
    pub async fn send(&self, store_request: StoreRequest<'_>) -> Result<StoreResponse, StoreError> {
        let url = format!("{}{}", self.base_url, store_request.path);
        let request = self.client.request(store_request.method, url).force_close();
        let body = ntex::util::Bytes::copy_from_slice(&store_request.body);
        let exchange = async {
            let response = request
                .header("content-type", "application/json")
                .send_body(body)
                .await
                .map_err(|error| classify_client_error(&error))?;
            read_response(&response, store_request.index_header).await
        };
        tokio::time::timeout(store_request.timeout, exchange)
            .await
            .map_err(|_| unknown_effect(&"time limit passed"))?
    }
}

async fn read_response(
    response: &ClientResponse,
    index_header: Option<&'static str>,
) -> Result<StoreResponse, StoreError> {
    let index = index_header
        .and_then(|name| response.header(name))
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body = response
        .body()
        .await
        .map_err(|error| unknown_effect(&error))?;
    Ok(StoreResponse {
        status: response.status(),
        index,
        body: Bytes::copy_from_slice(&body),
    })
}

/// Error of a call that had no effect.
pub fn no_effect(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::NoEffect { reason }
}

/// Error of a call whose effect is unknown.
pub fn unknown_effect(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::UnknownEffect { reason }
}

fn classify_client_error(error: &ClientError) -> StoreError {
    match error {
        // The client reports a connection that closed before the answer under
        // the connect errors too; only a failure to connect has a source.
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown_effect(error),
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => no_effect(error),
        _ => unknown_effect(error),
    }
}
