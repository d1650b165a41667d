//! HTTP transport for key-value store clients.
//!
//! Requests are never retried here. Each request opens a new connection:
//! requests are rare, and a kept-alive connection may stay unresponsive while
//! new ones work.

use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{Method, StatusCode};
use ntex::io::IoConfig;
use ntex::time::Millis;

use super::era::EraTracker;
use super::{MAX_VALUE_BYTES, StoreEra, StoreError};

/// Response size limit: a page of 1 MB and one more value of maximum size, in base64 with
/// their JSON envelopes.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES * 4;
/// Concurrent connections to the store.
const MAX_CONNECTIONS: usize = 16;
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// HTTP client of one store.
#[derive(Debug, Clone)]
pub struct StoreHttpClient {
    client: Client,
    base_url: String,
    /// Latest era that the store has stated.
    pub era: EraTracker,
}

/// Complete HTTP response of a store.
#[derive(Debug)]
pub struct StoreResponse {
    /// HTTP status code; error codes are not turned into a [`StoreError`].
    pub status: StatusCode,
    /// Value of the requested index header; 0 if absent or not a number.
    pub index: u64,
    /// Era of the response.
    pub era: StoreEra,
    /// Response body, complete.
    pub body: Bytes,
}

/// HTTP request to a store.
#[derive(Debug)]
pub struct StoreRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query, appended to the base URL.
    pub path: &'a str,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Timeout for the whole exchange, including the connection setup.
    pub timeout: Duration,
    /// Response header to read [`StoreResponse::index`] from.
    pub index_header: Option<&'static str>,
    /// Response header to read [`StoreResponse::era`] from.
    pub era_header: Option<&'static str>,
}

impl StoreHttpClient {
    /// Creates a client for the store at `base_url`, such as `http://10.0.0.1:8500`.
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
        Ok(Self {
            client,
            base_url,
            era: EraTracker::default(),
        })
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives; the error tells whether the request
    /// had no effect.
    pub async fn send(&self, store_request: StoreRequest<'_>) -> Result<StoreResponse, StoreError> {
        let StoreRequest {
            method,
            path,
            body,
            timeout,
            index_header,
            era_header,
        } = store_request;
        let started_at = Instant::now();
        let url = format!("{}{path}", self.base_url);
        let request = self.client.request(method.clone(), url).force_close();
        let body = ntex::util::Bytes::copy_from_slice(&body);
        let exchange = async {
            let response = request
                .header("content-type", "application/json")
                .send_body(body)
                .await
                .map_err(|error| classify_client_error(&error))?;
            let body = response
                .body()
                .await
                .map_err(|error| unknown_effect(&error))?;
            Ok(StoreResponse {
                status: response.status(),
                index: parse_header(&response, index_header).unwrap_or(0),
                era: self.era.observe(parse_header(&response, era_header))?,
                body: Bytes::copy_from_slice(&body),
            })
        };
        let result = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(unknown_effect(&"time limit passed")));
        log::debug!(
            target: "store",
            method:%, path,
            status:? = result.as_ref().map(|response| response.status.as_u16()),
            era = self.era.latest().0,
            elapsed_ms = started_at.elapsed().as_millis() as u64;
            "store call ended"
        );
        result
    }
}

/// Value of a response header; `None` if it is absent or malformed.
fn parse_header<T: FromStr>(response: &ClientResponse, name: Option<&str>) -> Option<T> {
    response.header(name?)?.to_str().ok()?.parse().ok()
}

/// Creates the error of a request that had no effect.
pub fn no_effect(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::NoEffect { reason }
}

/// Creates the error of a request whose effect is unknown.
pub fn unknown_effect(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::UnknownEffect { reason }
}

fn classify_client_error(error: &ClientError) -> StoreError {
    match error {
        // ntex also reports a connection that closed before the response as a
        // connect error; only a failure to connect has a source.
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown_effect(error),
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => no_effect(error),
        _ => unknown_effect(error),
    }
}
