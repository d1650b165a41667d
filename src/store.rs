//! The platform's key-value service, as the rest of the system sees it.
//!
//! One narrow trait: get, compare-and-swap, lease and watch. Every error says
//! whether the call certainly had no effect or whether its effect is unknown;
//! an answer can be lost after the write took effect, and a write can land
//! after its caller stopped waiting. Callers settle an unknown effect by
//! reading and by a further compare-and-swap, never by guessing.

pub mod absent;
pub mod consul;
pub mod http;
pub mod memory;
pub mod seeds;

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};

/// Largest value that the platform's service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Revision of one key; each write of the key gives it a higher one.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyRevision(pub u64);

impl KeyRevision {
    /// Revision of a key that doesn't exist; a swap that expects it only creates.
    pub const ABSENT: Self = Self(0);
}

/// Value of a key with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Revision of this value.
    pub revision: KeyRevision,
    /// Content.
    pub bytes: Bytes,
}

/// Place in a key's history that a watch continues from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchPosition(pub u64);

/// Key with its value, as a listing shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: StoredValue,
}

/// Answer of a watch: the present value and where to continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResponse {
    /// Present value, if the key exists.
    pub value: Option<StoredValue>,
    /// Position to pass to the next watch.
    pub position: WatchPosition,
    /// Whether nothing has changed, in which case the value may be left out.
    pub is_unchanged: bool,
}

/// Result of a compare-and-swap that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The key has another revision; nothing was written.
    Mismatch,
}

/// Identifier of a lease.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub struct LeaseId(pub String);

/// Failure of a store call, by what is known of its effect.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call certainly had no effect and never will.
    #[display("no effect: {reason}")]
    NoEffect {
        /// Cause in words.
        reason: String,
    },
    /// The call may have had its effect, or may have it later.
    #[display("effect unknown: {reason}")]
    UnknownEffect {
        /// Cause in words.
        reason: String,
    },
}

/// What the system needs from the platform's key-value service.
///
/// All calls have a time limit of their own. Errors are [`StoreError`]s.
#[allow(
    async_fn_in_trait,
    reason = "every caller runs on the single control thread, so futures need not be Send"
)]
pub trait ConfigStore {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Reads a key; the answer may be seconds old, and costs less.
    async fn get_stale(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.get(key).await
    }

    /// Reads all keys that begin with `prefix`; the answer may be seconds old.
    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError>;

    /// Writes a key if it still has the expected revision.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError>;

    /// Removes a key that is never to be written again.
    async fn remove(&self, key: &str) -> Result<(), StoreError>;

    /// Waits until a key has changed since `position`, at most for `limit`.
    async fn watch(
        &self,
        key: &str,
        position: WatchPosition,
        max_wait: Duration,
    ) -> Result<WatchResponse, StoreError>;

    /// Takes out a lease that lapses when it isn't renewed for `ttl`.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false if it has lapsed.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease; the keys held under it are removed.
    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError>;

    /// Writes a key under a lease; false if another lease holds the key.
    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError>;
}

#[cfg(test)]
mod tests;
