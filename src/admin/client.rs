//! HTTP clients for the administration API, the replay tool and the stand-ins.

use std::time::Duration;

use derive_more::{Display, Error};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use ntex::time::Millis;

use crate::options::{BaseUrl, SecretToken};

/// Timeout of a request; a submission waits for the platform's store for seconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Response size limit, sufficient for the state of a whole fleet.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Connection limit that no client of a node reaches.
const UNLIMITED_CONNECTIONS: usize = 1_000_000;

/// The administration API returned no complete response.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum AdminClientError {
    /// The request was not sent and had no effect.
    #[display("cannot connect to {url}: {cause}")]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Error of the HTTP client.
        cause: String,
    },
    /// The request was sent and may have had an effect.
    #[display("no complete response from {url}: {cause}")]
    NoResponse {
        /// URL of the request.
        url: String,
        /// Error of the HTTP client.
        cause: String,
    },
}

/// Response of the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body as text, JSON in all responses of the API itself.
    pub body: String,
}

/// Client for the administration API of one node.
#[derive(Debug)]
pub struct AdminClient {
    base_url: BaseUrl,
    token: Option<SecretToken>,
    client: Client,
}

impl AdminClient {
    /// Creates a client for the API at `base_url`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn connect(
        base_url: BaseUrl,
        token: Option<SecretToken>,
    ) -> Result<Self, AdminClientError> {
        let client = http_client(REQUEST_TIMEOUT).await;
        let client = client.map_err(|cause| AdminClientError::Unreachable {
            url: base_url.to_string(),
            cause,
        })?;
        Ok(Self {
            base_url,
            token,
            client,
        })
    }

    /// Sends one request with an optional JSON body.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives; the error tells whether the
    /// request may have had an effect.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<AdminResponse, AdminClientError> {
        let url = self.base_url.join(path);
        let request = self.client.request(method, &url);
        let request = match &self.token {
            Some(token) => request.bearer_auth(token.expose()),
            None => request,
        };
        let response = send_json(request, body).await.map_err(|error| {
            let (url, cause) = (url.clone(), error.to_string());
            if is_unsent(&error) {
                AdminClientError::Unreachable { url, cause }
            } else {
                AdminClientError::NoResponse { url, cause }
            }
        })?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| AdminClientError::NoResponse {
            url,
            cause: error.to_string(),
        })?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(AdminResponse { status, body })
    }
}

/// Returns whether a request was certainly not sent.
fn is_unsent(error: &ClientError) -> bool {
    match error {
        // ntex sets no cause if the connection was lost after the request was sent.
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}

async fn send_json(
    request: ClientRequest,
    body: Option<String>,
) -> Result<ClientResponse, ClientError> {
    match body {
        Some(body) => {
            let request = request.set_header(CONTENT_TYPE, "application/json");
            request.send_body(body).await
        }
        None => request.send().await,
    }
}

/// Creates an HTTP client with a practically unlimited number of connections.
///
/// # Errors
///
/// Returns the error text of the library if the connector can't be built.
pub async fn http_client(timeout: Duration) -> Result<Client, String> {
    http_client_with_max_connections(timeout, UNLIMITED_CONNECTIONS).await
}

/// Creates an HTTP client with at most `max_connections` connections.
///
/// With 0, ntex sets no limit, but then never wakes a request that waits while
/// another one's connection is being opened.
///
/// # Errors
///
/// Returns the error text of the library if the connector can't be built.
pub async fn http_client_with_max_connections(
    timeout: Duration,
    max_connections: usize,
) -> Result<Client, String> {
    let timeout = Millis(u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX));
    Client::builder()
        .connector::<()>(Connector::new().limit(max_connections))
        .disable_redirects()
        .response_timeout(timeout)
        .response_payload_limit(MAX_RESPONSE_BYTES)
        .response_payload_timeout(timeout)
        .build(ntex::SharedCfg::new("currantlift-client"))
        .await
        .map_err(|error| error.to_string())
}
