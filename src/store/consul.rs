//! Client for Consul's HTTP key-value API.
//!
//! Compare-and-swap uses `/v1/kv/` with `?cas=`, watches are blocking queries
//! with `?index=&wait=`, and leases are sessions with a time to live.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use ntex::http::{Method, StatusCode};
use serde::Deserialize;

use super::http::{StoreHttpClient, StoreRequest, StoreResponse, no_effect, unknown_effect};
use super::{
    ConfigStore, KeyRevision, KeyValue, LeaseId, StoreError, StoredValue, SwapOutcome,
    WatchPosition, WatchResult,
};

/// Timeout of a request other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time added to the maximum wait of a watch for the response to arrive.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// Response header with the position for the next watch.
const INDEX_HEADER: &str = "x-consul-index";

/// [`ConfigStore`] backed by a Consul server.
#[derive(Debug, Clone)]
pub struct ConsulStore {
    http: StoreHttpClient,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvEntry {
    key: String,
    value: Option<String>,
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

impl ConsulStore {
    /// Creates a client for the server at `base_url`, such as `http://10.0.0.1:8500`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn connect(base_url: &str) -> Result<Self, StoreError> {
        let http = StoreHttpClient::connect(base_url).await?;
        Ok(Self { http })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let request = StoreRequest {
            method,
            path,
            body,
            timeout,
            index_header: Some(INDEX_HEADER),
            era_header: None,
        };
        let response = self.http.send(request).await?;
        check_status(response.status, &response.body)?;
        Ok(response)
    }

    async fn put(&self, path: &str, body: Bytes) -> Result<StoreResponse, StoreError> {
        self.send(Method::PUT, path, body, CALL_TIMEOUT).await
    }
}

fn check_status(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(());
    }
    let reason = format!("status {status}: {}", String::from_utf8_lossy(body));
    // A server error can follow an applied write; a client error can't.
    if status.is_client_error() {
        return Err(StoreError::NoEffect { reason });
    }
    Err(StoreError::UnknownEffect { reason })
}

fn parse_bool(response: &StoreResponse) -> Result<bool, StoreError> {
    match response.body.trim_ascii() {
        b"true" => Ok(true),
        b"false" => Ok(false),
        _ => Err(unknown_effect(&"answer is neither true nor false")),
    }
}

fn parse_entries(response: &StoreResponse) -> Result<Vec<KeyValue>, StoreError> {
    if response.status == StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    let entries: Vec<KvEntry> =
        serde_json::from_slice(&response.body).map_err(|error| no_effect(&error))?;
    let parse = |entry: KvEntry| {
        let bytes = STANDARD
            .decode(entry.value.unwrap_or_default())
            .map_err(|error| no_effect(&error))?;
        Ok(KeyValue {
            key: entry.key,
            value: StoredValue {
                revision: KeyRevision(entry.modify_index),
                bytes: Bytes::from(bytes),
            },
        })
    };
    entries.into_iter().map(parse).collect()
}

fn parse_value(response: &StoreResponse) -> Result<Option<StoredValue>, StoreError> {
    let entry = parse_entries(response)?.into_iter().next();
    Ok(entry.map(|entry| entry.value))
}

impl ConfigStore for ConsulStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let path = format!("/v1/kv/{key}");
        let response = self
            .send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        parse_value(&response)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let path = format!("/v1/kv/{prefix}?recurse=true&stale=true");
        let response = self
            .send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        parse_entries(&response)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        let response = self
            .put(&format!("/v1/kv/{key}?cas={expected}"), value)
            .await?;
        Ok(if parse_bool(&response)? {
            SwapOutcome::Swapped
        } else {
            SwapOutcome::Mismatch
        })
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}");
        self.send(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        max_wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let wait_ms = max_wait.as_millis();
        let revision = position.revision;
        let path = format!("/v1/kv/{key}?index={revision}&wait={wait_ms}ms");
        let response = self
            .send(
                Method::GET,
                &path,
                Bytes::new(),
                max_wait + WATCH_RESPONSE_MARGIN,
            )
            .await?;
        let value = parse_value(&response)?;
        // A lower index than requested means that the server lost its history,
        // so the watch restarts.
        let position = match response.index {
            index if index < revision => WatchPosition::default(),
            index => WatchPosition {
                revision: index,
                ..position
            },
        };
        Ok(WatchResult {
            value,
            position,
            is_unchanged: false,
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = serde_json::json!({
            "TTL": format!("{}s", ttl.as_secs()),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let body = Bytes::from(body.to_string());
        let response = self.put("/v1/session/create", body).await?;
        let session: CreatedSession =
            serde_json::from_slice(&response.body).map_err(|error| unknown_effect(&error))?;
        Ok(LeaseId::from(session.id))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError> {
        let response = self
            .put(&format!("/v1/session/renew/{lease}"), Bytes::new())
            .await?;
        Ok(response.status != StatusCode::NOT_FOUND)
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError> {
        self.put(&format!("/v1/session/destroy/{lease}"), Bytes::new())
            .await?;
        Ok(())
    }

    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError> {
        let response = self
            .put(&format!("/v1/kv/{key}?acquire={lease}"), value)
            .await?;
        parse_bool(&response)
    }
}
