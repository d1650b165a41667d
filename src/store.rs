//! Interface to the platform's key-value store.
//!
//! [`ConfigStore`] covers reads, compare-and-swap, leases and watches; the
//! submodules implement it for Consul, for memory and for a node without a
//! store. Each error states whether the request had no effect or an unknown
//! one: a response can be lost after the write was applied, and a write can be
//! applied after its sender timed out. Callers resolve an unknown effect by
//! reading the key and repeating the compare-and-swap, and never assume either
//! result.

pub mod absent;
pub mod consul;
pub mod era;
pub mod http;
pub mod memory;
pub mod seeds;

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};

pub use era::StoreEra;

/// Size limit of a value in the platform's store.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Revision of a key, increased by each write of the key.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyRevision(pub u64);

impl KeyRevision {
    /// Revision of a missing key; a compare-and-swap that expects it only creates.
    pub const ABSENT: Self = Self(0);
}

/// Value of a key and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Revision to expect when this value is replaced.
    pub revision: KeyRevision,
    /// Uninterpreted content.
    pub bytes: Bytes,
}

/// Position in the change history of the store that a watch continues from.
///
/// It means nothing in another era. Revision 0 makes a watch return the current
/// value at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchPosition {
    /// Era that assigned the revision.
    pub era: StoreEra,
    /// Revision up to which the history is known.
    pub revision: u64,
}

impl WatchPosition {
    /// Whether a watch has no known history to continue from.
    pub fn is_initial(self) -> bool {
        self.revision == 0
    }

    /// Whether the store has changed since this position, given that of its latest
    /// change.
    pub fn is_behind(self, latest: Self) -> bool {
        latest.era != self.era || latest.revision > self.revision
    }
}

/// Entry of a key listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Full key, including the listed prefix.
    pub key: String,
    /// Value at the time of the listing.
    pub value: StoredValue,
}

/// Result of a watch that ended by a change or by its time limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult {
    /// Current value; `None` if the key doesn't exist.
    pub value: Option<StoredValue>,
    /// Position for the next watch.
    pub position: WatchPosition,
    /// True if the key didn't change; `value` may then be `None` for a key that exists.
    pub is_unchanged: bool,
}

/// State of a key in a listing or change of it in a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// Full key, including the prefix.
    pub key: String,
    /// Revision of the change.
    pub revision: KeyRevision,
    /// New value; `None` if the key was removed.
    pub value: Option<StoredValue>,
}

/// Keys below a prefix, as a listing of all or as the changes since a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixUpdate {
    /// Keys of the listing, or changes in the order of their revisions.
    pub changes: Vec<KeyChange>,
    /// Whether these are all keys that exist, so that any other doesn't.
    pub is_listing: bool,
    /// Position as of which the update holds.
    pub position: WatchPosition,
}

/// How old the result of a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFreshness {
    /// As of the call or later.
    Current,
    /// Possibly some seconds old, at lower cost.
    Stale,
}

/// Result of a compare-and-swap that the store responded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The key has a different revision; nothing was written.
    Mismatch,
}

/// Lease identifier assigned by the store.
///
/// In a later era the store may assign the same identifier to another node.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
#[display("{id}")]
pub struct LeaseId {
    /// Era in which the lease was granted.
    pub era: StoreEra,
    /// Identifier in that era.
    pub id: String,
}

impl From<String> for LeaseId {
    /// Lease of a store that states no era.
    fn from(id: String) -> Self {
        let era = StoreEra::default();
        Self { era, id }
    }
}

/// Failed store request, classified by its effect on the stored data.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The request was not applied and never will be.
    #[display("no effect: {reason}")]
    NoEffect {
        /// Cause, for logs and API responses.
        reason: String,
    },
    /// The request may have been applied, or may still be applied later.
    #[display("effect unknown: {reason}")]
    UnknownEffect {
        /// Cause, for logs and API responses.
        reason: String,
    },
}

/// Client of a key-value store with revisions, watches and leases.
///
/// Every method applies its own timeout.
#[allow(
    async_fn_in_trait,
    reason = "every caller runs on the single control thread, so futures need not be Send"
)]
pub trait ConfigStore {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Position of the store's latest change of any key, as of the call or later. Never
    /// returns for a store without such a call.
    async fn latest_position(&self) -> Result<WatchPosition, StoreError> {
        std::future::pending().await
    }

    /// Reads all keys that begin with `prefix`; the values may be seconds old.
    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError>;

    /// Writes a key if it has the expected revision.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError>;

    /// Removes a key unconditionally; only for keys that are never written again.
    async fn remove(&self, key: &str) -> Result<(), StoreError>;

    /// Waits up to `max_wait` for a change of a key after `position`.
    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        max_wait: Duration,
    ) -> Result<WatchResult, StoreError>;

    /// Lists the keys that begin with `prefix` as one state of the store. Its position is
    /// unknown for a store that states none.
    async fn list_state(
        &self,
        prefix: &str,
        freshness: ReadFreshness,
    ) -> Result<PrefixUpdate, StoreError> {
        let _ = freshness;
        let listed = self.list(prefix).await?.into_iter();
        let changes = listed.map(|entry| KeyChange {
            key: entry.key,
            revision: entry.value.revision,
            value: Some(entry.value),
        });
        Ok(PrefixUpdate {
            changes: changes.collect(),
            is_listing: true,
            position: WatchPosition::default(),
        })
    }

    /// Waits up to `max_wait` for changes after `position` of keys that begin with
    /// `prefix`. Without a usable position, or in a store without such watches, it lists
    /// the keys at once.
    async fn watch_prefix(
        &self,
        prefix: &str,
        position: WatchPosition,
        max_wait: Duration,
    ) -> Result<PrefixUpdate, StoreError> {
        let _ = (position, max_wait);
        self.list_state(prefix, ReadFreshness::Current).await
    }

    /// Waits until the store is known to be in another era than `era`. Never
    /// returns for a store that states none.
    async fn era_changed(&self, era: StoreEra) {
        let _ = era;
        std::future::pending::<()>().await;
    }

    /// Creates a lease that expires unless it is renewed within `ttl`.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns false if it has expired.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError>;

    /// Revokes a lease and removes the keys that it holds.
    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError>;

    /// Writes a key and ties it to a lease; returns false if another lease holds it.
    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError>;
}

#[cfg(test)]
mod tests;
