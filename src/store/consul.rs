//! Adapter for the published HTTP key-value protocol of Consul.
//!
//! Keys under `/v1/kv/` with `?cas=`, blocking queries with `?index=&wait=`,
//! and sessions with a time to live as leases. The client never resends a
//! request by itself. Every call opens a connection of its own: calls are few,
//! and a kept connection may have gone silent for good while new ones work.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::{Method, StatusCode};
use ntex::io::IoConfig;
use ntex::time::Millis;
use serde::Deserialize;

use super::{
    ConfigStore, KeyRevision, LeaseId, MAX_VALUE_BYTES, StoreError, StoredValue, SwapOutcome,
    WatchAnswer, WatchPosition,
};

/// Time limit of a call that doesn't wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a watch may take beyond its own limit.
const WATCH_SLACK: Duration = Duration::from_secs(5);
/// Largest answer: a value of the largest size in base64 with its envelope.
const MAX_ANSWER_BYTES: usize = MAX_VALUE_BYTES * 2;
/// Connections to the store at one time.
const MAX_CONNECTIONS: usize = 16;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Store client that speaks Consul's HTTP protocol.
#[derive(Debug, Clone)]
pub struct ConsulStore {
    client: Client,
    base_url: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvEntry {
    value: Option<String>,
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SessionEntry {
    #[serde(rename = "ID")]
    id: String,
}

struct HttpAnswer {
    status: StatusCode,
    index: u64,
    body: Bytes,
}

impl ConsulStore {
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
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("STORE").add(io_config))
            .await
            .map_err(|error| not_done(&error))?;
        let base_url = base_url.trim_end_matches('/').to_string();
        Ok(Self { client, base_url })
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.base_url);
        let request = self.client.request(method, url);
        request.force_close()
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpAnswer, StoreError> {
        let request = self.request(method, path);
        let body = ntex::util::Bytes::copy_from_slice(&body);
        let exchange = async {
            let response = request
                .send_body(body)
                .await
                .map_err(|e| client_error(&e))?;
            read_answer(&response).await
        };
        tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| unknown(&"time limit passed"))?
    }

    async fn put(&self, path: &str, body: Bytes) -> Result<HttpAnswer, StoreError> {
        self.call(Method::PUT, path, body, CALL_TIMEOUT).await
    }
}

async fn read_answer(response: &ClientResponse) -> Result<HttpAnswer, StoreError> {
    let status = response.status();
    let index = response
        .header("x-consul-index")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body = response.body().await.map_err(|error| unknown(&error))?;
    let body = Bytes::copy_from_slice(&body);
    check_status(status, &body)?;
    Ok(HttpAnswer {
        status,
        index,
        body,
    })
}

fn check_status(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(());
    }
    let reason = format!("status {status}: {}", String::from_utf8_lossy(body));
    // A server error can follow a write that took effect; a client error can't.
    if status.is_client_error() {
        return Err(StoreError::NotDone { reason });
    }
    Err(StoreError::Unknown { reason })
}

fn not_done(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::NotDone { reason }
}

fn unknown(reason: &impl ToString) -> StoreError {
    let reason = reason.to_string();
    StoreError::Unknown { reason }
}

fn client_error(error: &ClientError) -> StoreError {
    match error {
        // The client reports a connection that closed before the answer under
        // the connect errors too; only a failure to connect has a source.
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(error),
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => not_done(error),
        _ => unknown(error),
    }
}

fn parse_flag(answer: &HttpAnswer) -> Result<bool, StoreError> {
    match answer.body.trim_ascii() {
        b"true" => Ok(true),
        b"false" => Ok(false),
        _ => Err(unknown(&"answer is neither true nor false")),
    }
}

fn parse_value(answer: &HttpAnswer) -> Result<Option<StoredValue>, StoreError> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let entries: Vec<KvEntry> =
        serde_json::from_slice(&answer.body).map_err(|error| not_done(&error))?;
    let Some(entry) = entries.into_iter().next() else {
        return Ok(None);
    };
    let bytes = STANDARD
        .decode(entry.value.unwrap_or_default())
        .map_err(|error| not_done(&error))?;
    Ok(Some(StoredValue {
        revision: KeyRevision(entry.modify_index),
        bytes: Bytes::from(bytes),
    }))
}

impl ConfigStore for ConsulStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let path = format!("/v1/kv/{key}");
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        parse_value(&answer)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        let answer = self
            .put(&format!("/v1/kv/{key}?cas={expected}"), value)
            .await?;
        Ok(if parse_flag(&answer)? {
            SwapOutcome::Swapped
        } else {
            SwapOutcome::Mismatch
        })
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}");
        self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let wait_ms = limit.as_millis();
        let path = format!("/v1/kv/{key}?index={}&wait={wait_ms}ms", position.0);
        let answer = self
            .call(Method::GET, &path, Bytes::new(), limit + WATCH_SLACK)
            .await?;
        let value = parse_value(&answer)?;
        // An index that went back means that the history was lost: start over.
        let position = match answer.index {
            index if index < position.0 => WatchPosition(0),
            index => WatchPosition(index),
        };
        Ok(WatchAnswer { value, position })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = serde_json::json!({
            "TTL": format!("{}s", ttl.as_secs()),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let body = Bytes::from(body.to_string());
        let answer = self.put("/v1/session/create", body).await?;
        let entry: SessionEntry =
            serde_json::from_slice(&answer.body).map_err(|error| unknown(&error))?;
        Ok(LeaseId(entry.id))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError> {
        let answer = self
            .put(&format!("/v1/session/renew/{lease}"), Bytes::new())
            .await?;
        Ok(answer.status != StatusCode::NOT_FOUND)
    }

    async fn end_lease(&self, lease: &LeaseId) -> Result<(), StoreError> {
        self.put(&format!("/v1/session/destroy/{lease}"), Bytes::new())
            .await?;
        Ok(())
    }

    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError> {
        let answer = self
            .put(&format!("/v1/kv/{key}?acquire={lease}"), value)
            .await?;
        parse_flag(&answer)
    }
}
