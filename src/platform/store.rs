//! The platform's metadata store.
//!
//! Items lie under keys, with a revision that one counter for the whole store
//! gives each change. A status of 503 says that nothing was done; any other
//! call without an answer may have taken effect, or may do so later if its
//! condition still holds.

use std::fmt::Write as _;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use ntex::http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::store::http::{StoreHttpClient, StoreRequest, StoreResponse, no_effect, unknown_effect};
use crate::store::{
    ConfigStore, KeyRevision, KeyValue, LeaseId, StoreError, StoredValue, SwapOutcome,
    WatchPosition, WatchResult,
};

/// Time limit of a call that doesn't wait. The store answers in milliseconds,
/// and in a fraction of a second when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a watch may take beyond its own limit.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// Lets a read be answered with what was true some seconds ago.
const STALE_OPTION: &str = "&serializable=1";
/// Status of a watch whose history is no longer kept.
const HISTORY_GONE: u16 = 410;
/// Status of a change whose condition does not hold.
const CONDITION_FAILED: u16 = 412;

/// Client of the platform's store.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    http: StoreHttpClient,
}

/// Item as the store returns it; in a watch also the removal of one.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawItem {
    key: String,
    /// Base64; absent for a removal.
    value: Option<String>,
    /// Revision of the last change of the item.
    revision: u64,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawKey {
    #[serde(flatten)]
    item: RawItem,
    /// Revision of the whole store at the time of the answer.
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRange {
    items: Vec<RawItem>,
    #[serde(default)]
    has_more: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEvents {
    events: Vec<RawItem>,
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawPosition {
    as_of: Option<u64>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    /// Time to live in seconds, with fractions.
    ttl_s: f64,
}

#[derive(Debug, Deserialize)]
struct RawLease {
    lease: u64,
}

/// Change that takes effect as a whole or not at all.
#[derive(Debug, Default, Serialize)]
struct RawChange<'a> {
    /// Revisions that the keys must have; 0 for a key that must not exist.
    expected: Vec<RawExpectation<'a>>,
    puts: Vec<RawPut<'a>>,
    /// Keys to remove.
    deletes: Vec<&'a str>,
}

#[derive(Debug, Serialize)]
struct RawExpectation<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct RawPut<'a> {
    key: &'a str,
    value: String,
    /// Lease that the key is removed with; 0 for none.
    lease: u64,
}

impl TryFrom<RawItem> for StoredValue {
    type Error = StoreError;

    fn try_from(raw: RawItem) -> Result<Self, StoreError> {
        let text = raw.value.unwrap_or_default();
        let bytes = STANDARD.decode(text).map_err(|error| no_effect(&error))?;
        Ok(Self {
            revision: KeyRevision(raw.revision),
            bytes: Bytes::from(bytes),
        })
    }
}

impl PlatformStore {
    /// Makes a client for the store at `base_url`, such as `http://10.0.0.1:8309`.
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
        };
        let answer = self.http.send(call).await?;
        check_status(&answer)?;
        Ok(answer)
    }

    async fn get_path(&self, path: &str, limit: Duration) -> Result<StoreResponse, StoreError> {
        self.call(Method::GET, path, Vec::new(), limit).await
    }

    /// Makes a change; false if its condition does not hold.
    async fn change(&self, change: &RawChange<'_>) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(change).map_err(|error| no_effect(&error))?;
        let answer = self
            .call(Method::POST, "/api/kv-txn", body, CALL_TIMEOUT)
            .await?;
        Ok(answer.status.is_success())
    }

    async fn read_key(&self, key: &str, option: &str) -> Result<WatchResult, StoreError> {
        let path = format!("/api/kv-key?key={}{option}", escaped(key));
        let answer = self.get_path(&path, CALL_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            let found: Option<RawPosition> = serde_json::from_slice(&answer.body).ok();
            let as_of = found.and_then(|found| found.as_of);
            return Ok(WatchResult {
                value: None,
                position: WatchPosition(as_of.unwrap_or(0)),
                is_unchanged: false,
            });
        }
        let found: RawKey = parse(&answer)?;
        Ok(WatchResult {
            position: WatchPosition(found.as_of),
            value: Some(StoredValue::try_from(found.item)?),
            is_unchanged: false,
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
            escaped(key),
            position.0
        );
        let answer = self.get_path(&path, limit + WATCH_SLACK).await?;
        if answer.status.as_u16() == HISTORY_GONE {
            return self.read_key(key, "").await;
        }
        let found: RawEvents = parse(&answer)?;
        let own = found.events.into_iter().filter(|event| event.key == key);
        let last = own.max_by_key(|event| event.revision);
        let is_unchanged = last.is_none();
        let kept = last.filter(|event| !event.tombstone);
        Ok(WatchResult {
            value: kept.map(StoredValue::try_from).transpose()?,
            position: WatchPosition(found.as_of),
            is_unchanged,
        })
    }
}

/// Statuses below that say something about the data are left to the caller.
fn check_status(answer: &StoreResponse) -> Result<(), StoreError> {
    let status = answer.status;
    let is_said = status.is_success()
        || status == StatusCode::NOT_FOUND
        || [HISTORY_GONE, CONDITION_FAILED].contains(&status.as_u16());
    if is_said {
        return Ok(());
    }
    let reason = format!("status {}", status.as_u16());
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(no_effect(&reason));
    }
    Err(unknown_effect(&reason))
}

fn parse<'a, T: Deserialize<'a>>(answer: &'a StoreResponse) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|error| unknown_effect(&error))
}

/// Text of a query value: everything but unreserved characters is escaped.
fn escaped(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

fn lease_number(lease: &LeaseId) -> Result<u64, StoreError> {
    lease.0.parse().map_err(|error| no_effect(&error))
}

impl ConfigStore for PlatformStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        Ok(self.read_key(key, "").await?.value)
    }

    async fn get_stale(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        Ok(self.read_key(key, STALE_OPTION).await?.value)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let mut listed = Vec::new();
        let mut last_key = String::new();
        loop {
            let path = format!(
                "/api/kv-range?prefix={}&after={}{STALE_OPTION}",
                escaped(prefix),
                escaped(&last_key)
            );
            let path = path.replace("&after=&", "&");
            let answer = self.get_path(&path, CALL_TIMEOUT).await?;
            let page: RawRange = parse(&answer)?;
            let is_last = !page.has_more || page.items.is_empty();
            for item in page.items {
                last_key.clone_from(&item.key);
                listed.push(KeyValue {
                    key: item.key.clone(),
                    value: StoredValue::try_from(item)?,
                });
            }
            if is_last {
                return Ok(listed);
            }
        }
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        let change = RawChange {
            expected: vec![RawExpectation {
                key,
                revision: expected.0,
            }],
            puts: vec![RawPut {
                key,
                value: STANDARD.encode(&value),
                lease: 0,
            }],
            deletes: Vec::new(),
        };
        Ok(match self.change(&change).await? {
            true => SwapOutcome::Swapped,
            false => SwapOutcome::Mismatch,
        })
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let change = RawChange {
            deletes: vec![key],
            ..RawChange::default()
        };
        self.change(&change).await.map(|_| ())
    }

    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        limit: Duration,
    ) -> Result<WatchResult, StoreError> {
        if position == WatchPosition::default() {
            return self.read_key(key, "").await;
        }
        self.wait_for_change(key, position, limit).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseRequest {
            ttl_s: ttl.as_secs_f64(),
        };
        let body = serde_json::to_vec(&request).map_err(|error| no_effect(&error))?;
        let answer = self
            .call(Method::POST, "/api/kv-lease", body, CALL_TIMEOUT)
            .await?;
        let granted: RawLease = parse(&answer)?;
        Ok(LeaseId(granted.lease.to_string()))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError> {
        let path = format!("/api/kv-keep/{lease}");
        let answer = self
            .call(Method::POST, &path, Vec::new(), CALL_TIMEOUT)
            .await?;
        Ok(answer.status.is_success())
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError> {
        let path = format!("/api/kv-lease-end/{lease}");
        self.call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT)
            .await
            .map(|_| ())
    }

    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError> {
        let change = RawChange {
            expected: vec![RawExpectation { key, revision: 0 }],
            puts: vec![RawPut {
                key,
                value: STANDARD.encode(&value),
                lease: lease_number(lease)?,
            }],
            deletes: Vec::new(),
        };
        self.change(&change).await
    }
}
