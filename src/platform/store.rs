//! Client of the platform's metadata store, a key-value store with leases.
//!
//! Each change of a key is assigned a revision from a counter for the whole
//! store. Status 503 means that the call had no effect. Any other call that gets
//! no response may have taken effect, or may still do so later if its condition
//! holds. Revisions and lease numbers hold for one era of the store only.
//!
//! Others write to the store, too. An item that can't be read is skipped, and a value
//! that can't be decoded counts as empty, so that the other items stay usable.

use std::fmt::Write as _;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use ntex::http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::store::http::{StoreHttpClient, StoreRequest, StoreResponse, no_effect, unknown_effect};
use crate::store::{
    ConfigStore, KeyChange, KeyRevision, KeyValue, LeaseId, PrefixUpdate, ReadFreshness, StoreEra,
    StoreError, StoredValue, SwapOutcome, WatchPosition, WatchResult,
};

/// Time limit of a call other than a watch. The store responds within
/// milliseconds, or within a fraction of a second when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to a watch's own limit before the HTTP call times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Most bytes in the responses to one listing, several times those of a large fleet.
const MAX_LISTING_BYTES: usize = 16 * 1024 * 1024;
/// Most pages of one listing, each of about 500 items or 1 MB.
const MAX_LISTING_PAGES: usize = 64;
/// Prefix without keys. A listing of it carries the store's revision and no items.
const UNUSED_PREFIX: &str = "currantlift/none/";
/// Query parameter that permits a response a few seconds out of date.
const STALE_OPTION: &str = "&serializable=1";
/// Response header with the number of times that the store was restored from a copy.
pub(super) const ERA_HEADER: &str = "store-era";
/// Status of a watch from a revision that the store's history no longer covers.
pub(super) const STATUS_WATCH_HISTORY_GONE: u16 = 410;
/// Status of a transaction whose condition does not hold.
pub(super) const STATUS_CONDITION_FAILED: u16 = 412;

/// Client of the platform's metadata store.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    http: StoreHttpClient,
}

/// Key and value as returned by the store; in a watch also a deleted key.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreItem {
    key: String,
    /// Base64-encoded; absent if the key was deleted.
    value: Option<String>,
    /// Revision of the last change of this key.
    revision: u64,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyResponse {
    #[serde(flatten)]
    item: StoreItem,
    /// Revision of the whole store when the response was made.
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeResponse {
    items: Vec<Box<RawValue>>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the whole store when the response was made.
    #[serde(default)]
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchResponse {
    events: Vec<Box<RawValue>>,
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct MissingKeyResponse {
    as_of: Option<u64>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    /// Time to live in seconds, with fractions.
    ttl_s: f64,
}

#[derive(Debug, Deserialize)]
struct LeaseResponse {
    lease: u64,
}

/// Atomic transaction: all changes are made, or none if a condition fails.
#[derive(Debug, Default, Serialize)]
struct TransactionRequest<'a> {
    /// Required current revisions of keys; 0 if the key must not exist.
    expected: Vec<RevisionCondition<'a>>,
    puts: Vec<PutOperation<'a>>,
    /// Keys to delete.
    deletes: Vec<&'a str>,
}

#[derive(Debug, Serialize)]
struct RevisionCondition<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct PutOperation<'a> {
    key: &'a str,
    value: String,
    /// Lease at whose end the key is deleted; 0 for none.
    lease: u64,
}

impl From<StoreItem> for StoredValue {
    fn from(raw: StoreItem) -> Self {
        let text = raw.value.unwrap_or_default();
        let bytes = STANDARD.decode(text).unwrap_or_else(|error| {
            log::warn!(
                target: "store", key = raw.key.as_str();
                "value in the store can't be decoded, taking it for empty: {error}"
            );
            Vec::new()
        });
        Self {
            revision: KeyRevision(raw.revision),
            bytes: Bytes::from(bytes),
        }
    }
}

impl From<StoreItem> for KeyChange {
    fn from(raw: StoreItem) -> Self {
        Self {
            key: raw.key.clone(),
            revision: KeyRevision(raw.revision),
            value: (!raw.tombstone).then(|| StoredValue::from(raw)),
        }
    }
}

/// Items of a response; those that can't be read are skipped.
fn readable_items(items: &[Box<RawValue>]) -> impl Iterator<Item = StoreItem> + '_ {
    items.iter().filter_map(|item| {
        serde_json::from_str(item.get())
            .inspect_err(|error| {
                log::warn!(target: "store", "item in the store can't be read, skipping it: {error}");
            })
            .ok()
    })
}

impl PlatformStore {
    /// Creates a client for the store at `base_url`, such as `http://10.0.0.1:8309`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn connect(base_url: &str) -> Result<Self, StoreError> {
        let http = StoreHttpClient::connect(base_url).await?;
        Ok(Self { http })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let call = StoreRequest {
            method,
            path,
            body: Bytes::from(body),
            timeout: limit,
            index_header: None,
            era_header: Some(ERA_HEADER),
        };
        let response = self.http.send(call).await?;
        check_status(&response)?;
        Ok(response)
    }

    async fn get_path(&self, path: &str, limit: Duration) -> Result<StoreResponse, StoreError> {
        self.call(Method::GET, path, Vec::new(), limit).await
    }

    /// Runs a transaction; returns false if its condition does not hold.
    async fn commit(&self, commit: &TransactionRequest<'_>) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(commit).map_err(|error| no_effect(&error))?;
        let response = self
            .call(Method::POST, "/api/kv-txn", body, CALL_TIMEOUT)
            .await?;
        Ok(response.status.is_success())
    }

    async fn read_key(&self, key: &str) -> Result<WatchResult, StoreError> {
        let path = format!("/api/kv-key?key={}", percent_encode(key));
        let response = self.get_path(&path, CALL_TIMEOUT).await?;
        if response.status == StatusCode::NOT_FOUND {
            let found: Option<MissingKeyResponse> = serde_json::from_slice(&response.body).ok();
            let as_of = found.and_then(|found| found.as_of);
            return Ok(WatchResult {
                value: None,
                position: WatchPosition {
                    era: response.era,
                    revision: as_of.unwrap_or(0),
                },
                is_unchanged: false,
            });
        }
        let found: KeyResponse = parse_json(&response)?;
        Ok(WatchResult {
            position: WatchPosition {
                era: response.era,
                revision: found.as_of,
            },
            value: Some(StoredValue::from(found.item)),
            is_unchanged: false,
        })
    }

    async fn list_prefix(&self, prefix: &str, option: &str) -> Result<PrefixUpdate, StoreError> {
        let mut changes = Vec::new();
        let mut position = None;
        let mut last_key = String::new();
        let mut listed_bytes = 0;
        for _ in 0..MAX_LISTING_PAGES {
            let after = match &*last_key {
                "" => String::new(),
                key => format!("&after={}", percent_encode(key)),
            };
            let prefix = percent_encode(prefix);
            let path = format!("/api/kv-range?prefix={prefix}{after}{option}");
            let response = self.get_path(&path, CALL_TIMEOUT).await?;
            listed_bytes += response.body.len();
            if listed_bytes > MAX_LISTING_BYTES {
                break;
            }
            let page: RangeResponse = parse_json(&response)?;
            // Changes between two pages come after the position of the first.
            position.get_or_insert(WatchPosition {
                era: response.era,
                revision: page.as_of,
            });
            let known_changes = changes.len();
            changes.extend(readable_items(&page.items).map(KeyChange::from));
            let page_end = changes[known_changes..].last();
            let page_end = page_end.map(|change: &KeyChange| change.key.clone());
            let is_last = !page.has_more || page_end.is_none();
            last_key = page_end.unwrap_or_default();
            if is_last {
                return Ok(PrefixUpdate {
                    changes,
                    is_listing: true,
                    position: position.unwrap_or_default(),
                });
            }
        }
        let reason = format!(
            "listing of {prefix} is longer than {MAX_LISTING_PAGES} pages or {MAX_LISTING_BYTES} bytes"
        );
        Err(no_effect(&reason))
    }

    async fn wait_for_prefix(
        &self,
        prefix: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<PrefixUpdate, StoreError> {
        let wait_ms = limit.as_millis();
        let path = format!(
            "/api/kv-watch?prefix={}&after={}&waitMs={wait_ms}",
            percent_encode(prefix),
            position.revision
        );
        let response = self.get_path(&path, limit + WATCH_TIMEOUT_MARGIN).await?;
        let is_history_gone = response.status.as_u16() == STATUS_WATCH_HISTORY_GONE;
        if is_history_gone || response.era != position.era {
            return self.list_prefix(prefix, "").await;
        }
        let found: WatchResponse = parse_json(&response)?;
        let changes = readable_items(&found.events).map(KeyChange::from);
        let mut changes: Vec<KeyChange> = changes.collect();
        changes.sort_by_key(|change| change.revision);
        Ok(PrefixUpdate {
            changes,
            is_listing: false,
            position: WatchPosition {
                revision: found.as_of,
                ..position
            },
        })
    }

    async fn wait_for_change(
        &self,
        key: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<WatchResult, StoreError> {
        let wait_ms = limit.as_millis();
        let path = format!(
            "/api/kv-watch?prefix={}&after={}&waitMs={wait_ms}",
            percent_encode(key),
            position.revision
        );
        let response = self.get_path(&path, limit + WATCH_TIMEOUT_MARGIN).await?;
        let is_history_gone = response.status.as_u16() == STATUS_WATCH_HISTORY_GONE;
        if is_history_gone || response.era != position.era {
            return self.read_key(key).await;
        }
        let found: WatchResponse = parse_json(&response)?;
        let key_events = readable_items(&found.events).filter(|event| event.key == key);
        let last_event = key_events.max_by_key(|event| event.revision);
        let is_unchanged = last_event.is_none();
        let current = last_event.filter(|event| !event.tombstone);
        Ok(WatchResult {
            value: current.map(StoredValue::from),
            position: WatchPosition {
                revision: found.as_of,
                ..position
            },
            is_unchanged,
        })
    }
}

/// Rejects unexpected statuses. Those that describe the state of a key, such as
/// 404, are returned to the calling function.
fn check_status(response: &StoreResponse) -> Result<(), StoreError> {
    let status = response.status;
    let is_expected = status.is_success()
        || status == StatusCode::NOT_FOUND
        || [STATUS_WATCH_HISTORY_GONE, STATUS_CONDITION_FAILED].contains(&status.as_u16());
    if is_expected {
        return Ok(());
    }
    let reason = format!("status {}", status.as_u16());
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(no_effect(&reason));
    }
    Err(unknown_effect(&reason))
}

fn parse_json<'a, T: Deserialize<'a>>(response: &'a StoreResponse) -> Result<T, StoreError> {
    serde_json::from_slice(&response.body).map_err(|error| unknown_effect(&error))
}

/// Percent-encodes a query value, except for unreserved characters and `/`.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn parse_lease_id(lease: &LeaseId) -> Result<u64, StoreError> {
    lease.id.parse().map_err(|error| no_effect(&error))
}

impl ConfigStore for PlatformStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        Ok(self.read_key(key).await?.value)
    }

    async fn latest_position(&self) -> Result<WatchPosition, StoreError> {
        let path = format!("/api/kv-range?prefix={UNUSED_PREFIX}");
        let response = self.get_path(&path, CALL_TIMEOUT).await?;
        let page: RangeResponse = parse_json(&response)?;
        Ok(WatchPosition {
            era: response.era,
            revision: page.as_of,
        })
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let listing = self.list_prefix(prefix, STALE_OPTION).await?;
        let entries = listing.changes.into_iter().filter_map(|change| {
            let (key, value) = (change.key, change.value?);
            Some(KeyValue { key, value })
        });
        Ok(entries.collect())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        let change = TransactionRequest {
            expected: vec![RevisionCondition {
                key,
                revision: expected.0,
            }],
            puts: vec![PutOperation {
                key,
                value: STANDARD.encode(&value),
                lease: 0,
            }],
            deletes: Vec::new(),
        };
        Ok(match self.commit(&change).await? {
            true => SwapOutcome::Swapped,
            false => SwapOutcome::Mismatch,
        })
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let change = TransactionRequest {
            deletes: vec![key],
            ..TransactionRequest::default()
        };
        self.commit(&change).await.map(|_| ())
    }

    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<WatchResult, StoreError> {
        if position.is_initial() || position.era != self.http.era.latest() {
            return self.read_key(key).await;
        }
        self.wait_for_change(key, position, limit).await
    }

    async fn list_state(
        &self,
        prefix: &str,
        freshness: ReadFreshness,
    ) -> Result<PrefixUpdate, StoreError> {
        let option = match freshness {
            ReadFreshness::Current => "",
            ReadFreshness::Stale => STALE_OPTION,
        };
        self.list_prefix(prefix, option).await
    }

    async fn watch_prefix(
        &self,
        prefix: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<PrefixUpdate, StoreError> {
        if position.is_initial() || position.era != self.http.era.latest() {
            return self.list_prefix(prefix, "").await;
        }
        self.wait_for_prefix(prefix, position, limit).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseRequest {
            ttl_s: ttl.as_secs_f64(),
        };
        let body = serde_json::to_vec(&request).map_err(|error| no_effect(&error))?;
        let response = self
            .call(Method::POST, "/api/kv-lease", body, CALL_TIMEOUT)
            .await?;
        let granted: LeaseResponse = parse_json(&response)?;
        Ok(LeaseId {
            era: response.era,
            id: granted.lease.to_string(),
        })
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError> {
        if lease.era != self.http.era.latest() {
            return Ok(false);
        }
        let path = format!("/api/kv-keep/{lease}");
        let response = self
            .call(Method::POST, &path, Vec::new(), CALL_TIMEOUT)
            .await?;
        Ok(response.status.is_success() && response.era == lease.era)
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError> {
        if lease.era != self.http.era.latest() {
            return Ok(());
        }
        let path = format!("/api/kv-lease-end/{lease}");
        self.call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT)
            .await
            .map(|_| ())
    }

    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError> {
        let change = TransactionRequest {
            expected: vec![RevisionCondition { key, revision: 0 }],
            puts: vec![PutOperation {
                key,
                value: STANDARD.encode(&value),
                lease: parse_lease_id(lease)?,
            }],
            deletes: Vec::new(),
        };
        if lease.era != self.http.era.latest() {
            return Err(no_effect(&"lease of an earlier era"));
        }
        let is_written = self.commit(&change).await?;
        if lease.era != self.http.era.latest() {
            // The number may be another node's by now.
            return Err(unknown_effect(&"lease of an earlier era"));
        }
        Ok(is_written)
    }

    async fn era_changed(&self, era: StoreEra) {
        self.http.era.changed_from(era).await;
    }
}
