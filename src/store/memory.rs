//! In-memory key-value store for tests and the stand-in store.
//!
//! [`MemoryTable`] holds keys, revisions and leases; callers pass the current
//! time in. [`MemoryStore`] implements [`ConfigStore`] on top of it and injects
//! faults from a scripted sequence of outcomes.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::{
    ConfigStore, KeyChange, KeyRevision, KeyValue, LeaseId, PrefixUpdate, ReadFreshness,
    StoreError, StoredValue, SwapOutcome, WatchPosition, WatchResult,
};

#[derive(Debug, Clone)]
struct MemoryEntry {
    value: StoredValue,
    lease: Option<String>,
}

#[derive(Debug, Clone)]
struct MemoryLease {
    ttl: Duration,
    expires_at: Duration,
}

/// Index of an unchanged table; a watch from index 0 returns without waiting.
const INITIAL_INDEX: u64 = 1;

/// Change of a key since an earlier index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChange {
    /// Key that was written or removed.
    pub key: String,
    /// Index of its last change.
    pub index: u64,
    /// Present value; `None` if the key was removed.
    pub value: Option<StoredValue>,
}

/// Keys with their revisions, and the leases that hold some of them.
#[derive(Debug, Clone)]
pub struct MemoryTable {
    index: u64,
    entries: BTreeMap<String, MemoryEntry>,
    /// Index at which each key was removed that doesn't exist any more.
    removals: BTreeMap<String, u64>,
    leases: BTreeMap<String, MemoryLease>,
    leases_granted: u64,
    /// Index of the last removal of any key; reported for missing keys.
    removal_index: u64,
}

impl Default for MemoryTable {
    fn default() -> Self {
        Self {
            index: INITIAL_INDEX,
            entries: BTreeMap::new(),
            removals: BTreeMap::new(),
            leases: BTreeMap::new(),
            leases_granted: 0,
            removal_index: INITIAL_INDEX,
        }
    }
}

impl MemoryTable {
    /// Index of the latest change, increased by each write and removal.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the value of a key, or `None` if it doesn't exist.
    pub fn get(&self, key: &str) -> Option<StoredValue> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    /// Lists the keys that begin with `prefix`, in key order.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let found = self.entries.range(prefix.to_string()..);
        found
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| KeyValue {
                key: key.clone(),
                value: entry.value.clone(),
            })
            .collect()
    }

    /// Iterates over all keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.entries.keys()
    }

    /// Writes a key; returns false if `expected` is given and doesn't match.
    pub fn put(&mut self, key: &str, value: Bytes, expected: Option<KeyRevision>) -> bool {
        let existing = self.entries.get(key);
        let revision = existing.map_or(KeyRevision::ABSENT, |entry| entry.value.revision);
        if expected.is_some_and(|expected| expected != revision) {
            return false;
        }
        let lease = existing.and_then(|entry| entry.lease.clone());
        self.write(key, value, lease);
        true
    }

    fn write(&mut self, key: &str, bytes: Bytes, lease: Option<String>) {
        self.index += 1;
        let revision = KeyRevision(self.index);
        let value = StoredValue { revision, bytes };
        let entry = MemoryEntry { value, lease };
        self.entries.insert(key.to_string(), entry);
        self.removals.remove(key);
    }

    /// Last change of each key that begins with `prefix` and has changed since `index`.
    pub fn changes_since(&self, prefix: &str, index: u64) -> Vec<TableChange> {
        let written = self.list(prefix).into_iter().map(|entry| TableChange {
            index: entry.value.revision.0,
            key: entry.key,
            value: Some(entry.value),
        });
        let removals = self.removals.range(prefix.to_string()..);
        let removed =
            removals
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(key, removed_at)| TableChange {
                    key: key.clone(),
                    index: *removed_at,
                    value: None,
                });
        written
            .chain(removed)
            .filter(|change| change.index > index)
            .collect()
    }

    /// Writes a key and ties it to a lease or, with `None`, to no lease.
    ///
    /// Returns false if the lease doesn't exist.
    pub fn put_under_lease(&mut self, key: &str, value: Bytes, lease: Option<&str>) -> bool {
        let lease = lease.map(ToString::to_string);
        if lease
            .as_ref()
            .is_some_and(|lease| !self.leases.contains_key(lease))
        {
            return false;
        }
        self.write(key, value, lease);
        true
    }

    /// Removes a key; the index changes only if the key existed.
    pub fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.index += 1;
            self.removal_index = self.index;
            self.removals.insert(key.to_string(), self.index);
        }
    }

    /// Index that a watch of a missing key continues from.
    pub fn removal_index(&self) -> u64 {
        self.removal_index
    }

    /// Creates a lease that expires at `now + ttl`.
    pub fn grant_lease(&mut self, ttl: Duration, now: Duration) -> String {
        self.leases_granted += 1;
        let lease = format!("lease-{}", self.leases_granted);
        let expires_at = now + ttl;
        self.leases
            .insert(lease.clone(), MemoryLease { ttl, expires_at });
        lease
    }

    /// Renews a lease; returns false if it doesn't exist.
    pub fn renew_lease(&mut self, lease: &str, now: Duration) -> bool {
        let Some(existing) = self.leases.get_mut(lease) else {
            return false;
        };
        existing.expires_at = now + existing.ttl;
        true
    }

    /// Revokes a lease and removes the keys that it holds.
    pub fn revoke_lease(&mut self, lease: &str) {
        self.leases.remove(lease);
        let is_held = |entry: &MemoryEntry| entry.lease.as_deref() == Some(lease);
        let held_keys = self.entries.iter().filter(|(_, entry)| is_held(entry));
        let held_keys: Vec<String> = held_keys.map(|(key, _)| key.clone()).collect();
        held_keys.iter().for_each(|key| self.remove(key));
    }

    /// Revokes each lease whose expiry is not after `now`.
    pub fn revoke_expired_leases(&mut self, now: Duration) {
        self.revoke_leases_where(|lease| lease.expires_at <= now);
    }

    /// Revokes all leases, whether expired or not.
    pub fn revoke_all_leases(&mut self) {
        self.revoke_leases_where(|_| true);
    }

    fn revoke_leases_where(&mut self, should_revoke: impl Fn(&MemoryLease) -> bool) {
        let matching = self.leases.iter().filter(|(_, lease)| should_revoke(lease));
        let matching: Vec<String> = matching.map(|(id, _)| id.clone()).collect();
        matching.iter().for_each(|id| self.revoke_lease(id));
    }

    /// Writes a key and ties it to a lease.
    ///
    /// Returns `Some(false)` if another lease holds the key, and `None` if the
    /// lease doesn't exist.
    pub fn acquire(&mut self, key: &str, value: Bytes, lease: &str) -> Option<bool> {
        self.leases.get(lease)?;
        let holder = self.entries.get(key).and_then(|entry| entry.lease.clone());
        if holder.is_some_and(|holder| holder != lease) {
            return Some(false);
        }
        self.write(key, value, Some(lease.to_string()));
        Some(true)
    }
}

/// Injected outcome of one request to a [`MemoryStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// Applied, and the result is returned.
    Success,
    /// Not applied; reported as [`StoreError::NoEffect`].
    KnownFailure,
    /// Not applied; reported as [`StoreError::UnknownEffect`].
    RequestLost,
    /// Applied; reported as [`StoreError::UnknownEffect`].
    ResponseLost,
    /// Reported as [`StoreError::UnknownEffect`]; a compare-and-swap is applied
    /// by [`MemoryStore::apply_delayed_write`], other requests never.
    DelayedWrite,
}

#[derive(Debug)]
struct PendingWrite {
    key: String,
    value: Bytes,
    expected: KeyRevision,
}

#[derive(Debug, Default)]
struct MemoryState {
    table: MemoryTable,
    outcomes: VecDeque<ScriptedOutcome>,
    pending_writes: Vec<PendingWrite>,
}

/// In-memory store that injects scripted faults; clones share their data.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore(Rc<RefCell<MemoryState>>);

impl MemoryStore {
    /// Creates a store; requests after the last scripted outcome succeed.
    pub fn new(outcomes: impl IntoIterator<Item = ScriptedOutcome>) -> Self {
        let state = MemoryState {
            outcomes: outcomes.into_iter().collect(),
            ..MemoryState::default()
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Applies the oldest delayed compare-and-swap, if its revision still matches.
    pub fn apply_delayed_write(&self) {
        let mut state = self.0.borrow_mut();
        if state.pending_writes.is_empty() {
            return;
        }
        let write = state.pending_writes.remove(0);
        state
            .table
            .put(&write.key, write.value, Some(write.expected));
    }

    /// Returns the value of a key without consuming a scripted outcome.
    pub fn current_value(&self, key: &str) -> Option<Bytes> {
        let state = self.0.borrow();
        state.table.get(key).map(|value| value.bytes)
    }

    /// Writes a key without consuming a scripted outcome.
    pub fn insert(&self, key: &str, value: Bytes) {
        self.0.borrow_mut().table.put(key, value, None);
    }

    /// Returns the number of keys without consuming a scripted outcome.
    pub fn key_count(&self) -> usize {
        self.0.borrow().table.keys().count()
    }

    async fn next_outcome(&self) -> ScriptedOutcome {
        tokio::task::yield_now().await;
        let mut state = self.0.borrow_mut();
        state
            .outcomes
            .pop_front()
            .unwrap_or(ScriptedOutcome::Success)
    }

    /// Runs an operation with the next outcome; a delayed one is never applied.
    async fn run_scripted<T>(
        &self,
        operation: impl FnOnce(&mut MemoryTable) -> T,
    ) -> Result<T, StoreError> {
        let outcome = self.next_outcome().await;
        self.run_with_outcome(outcome, operation).await
    }

    async fn run_with_outcome<T>(
        &self,
        outcome: ScriptedOutcome,
        operation: impl FnOnce(&mut MemoryTable) -> T,
    ) -> Result<T, StoreError> {
        match outcome {
            ScriptedOutcome::Success => {}
            ScriptedOutcome::KnownFailure => return Err(no_effect_error()),
            ScriptedOutcome::RequestLost | ScriptedOutcome::DelayedWrite => {
                return Err(unknown_effect_error());
            }
            ScriptedOutcome::ResponseLost => {
                operation(&mut self.0.borrow_mut().table);
                return Err(unknown_effect_error());
            }
        }
        let result = operation(&mut self.0.borrow_mut().table);
        tokio::task::yield_now().await;
        Ok(result)
    }
}

fn no_effect_error() -> StoreError {
    StoreError::NoEffect {
        reason: "scripted failure".to_string(),
    }
}

fn unknown_effect_error() -> StoreError {
    StoreError::UnknownEffect {
        reason: "scripted loss of request or response".to_string(),
    }
}

fn swap_outcome(is_written: bool) -> SwapOutcome {
    if is_written {
        SwapOutcome::Swapped
    } else {
        SwapOutcome::Mismatch
    }
}

impl ConfigStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.run_scripted(|table| table.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        self.run_scripted(|table| table.list(prefix)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: KeyRevision,
        value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        let outcome = self.next_outcome().await;
        if outcome == ScriptedOutcome::DelayedWrite {
            self.0.borrow_mut().pending_writes.push(PendingWrite {
                key: key.to_string(),
                value,
                expected,
            });
            return Err(unknown_effect_error());
        }
        self.run_with_outcome(outcome, |table| {
            swap_outcome(table.put(key, value, Some(expected)))
        })
        .await
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        self.run_scripted(|table| table.remove(key)).await
    }

    async fn watch(
        &self,
        key: &str,
        _position: WatchPosition,
        _max_wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.run_scripted(|table| WatchResult {
            value: table.get(key),
            position: WatchPosition {
                revision: table.index(),
                ..WatchPosition::default()
            },
            is_unchanged: false,
        })
        .await
    }

    async fn list_state(
        &self,
        prefix: &str,
        _freshness: ReadFreshness,
    ) -> Result<PrefixUpdate, StoreError> {
        self.run_scripted(|table| {
            let listed = table.list(prefix).into_iter();
            let changes = listed.map(|entry| KeyChange {
                key: entry.key,
                revision: entry.value.revision,
                value: Some(entry.value),
            });
            PrefixUpdate {
                changes: changes.collect(),
                is_listing: true,
                position: WatchPosition {
                    revision: table.index(),
                    ..WatchPosition::default()
                },
            }
        })
        .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.run_scripted(|table| LeaseId::from(table.grant_lease(ttl, Duration::ZERO)))
            .await
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, StoreError> {
        self.run_scripted(|table| table.renew_lease(&lease.id, Duration::ZERO))
            .await
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), StoreError> {
        self.run_scripted(|table| table.revoke_lease(&lease.id))
            .await
    }

    async fn acquire(&self, key: &str, value: Bytes, lease: &LeaseId) -> Result<bool, StoreError> {
        self.run_scripted(|table| table.acquire(key, value, &lease.id).unwrap_or(false))
            .await
    }
}
