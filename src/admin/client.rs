//! Client of the administration API, for operators' tools and stand-ins.

use std::time::Duration;

use derive_more::{Display, Error};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use ntex::time::Millis;

use crate::options::{BaseUrl, SecretToken};

/// Time limit of one request.
///
/// A submission waits for the platform's store, which can take seconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, in bytes: the state of a whole fleet.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Limit of connections that no client of a node reaches.
const UNLIMITED_CONNECTIONS: usize = 1_000_000;

/// No whole answer came from the administration API.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum AdminClientError {
    /// The request can't have had an effect.
    #[display("no connection to {url}: {cause}")]
    Unreachable {
        /// URL of the request.
        url: String,
        /// What failed.
        cause: String,
    },
    /// The request may have had an effect.
    #[display("no answer from {url}: {cause}")]
    NoResponse {
        /// URL of the request.
        url: String,
        /// What failed.
        cause: String,
    },
}

/// Answer of the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON text.
    pub body: String,
}

/// Client of one node's administration API.
#[derive(Debug)]
pub struct AdminClient {
    base_url: BaseUrl,
    token: Option<SecretToken>,
    client: Client,
}

impl AdminClient {
    /// Client for the API at `base`.
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
    /// Fails if no whole answer comes; the error says whether the request may
    /// have had an effect.
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

/// Whether a request is sure not to have been sent.
fn is_unsent(error: &ClientError) -> bool {
    match error {
        // Without a cause the connection was lost after the request was sent.
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

/// HTTP client without a limit of connections that it could reach.
///
/// # Errors
///
/// Fails with the reason as text if the connector can't be built.
pub async fn http_client(timeout: Duration) -> Result<Client, String> {
    http_client_with_max_connections(timeout, UNLIMITED_CONNECTIONS).await
}

/// HTTP client with at most `connections` connections.
///
/// The library takes a limit of 0 for none, but then never wakes a request
/// that waits while another one's connection is being opened.
///
/// # Errors
///
/// Fails with the reason as text if the connector can't be built.
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
