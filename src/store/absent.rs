//! Store implementation for nodes that run without a store.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;

use super::{
    ConfigStore, KeyRevision, KeyValue, LeaseId, StoreError, StoredValue, SwapOutcome,
    WatchPosition, WatchResult,
};

/// Store that fails all requests with no effect; its watches never return.
#[derive(Debug)]
pub struct AbsentStore;

fn no_store_error() -> StoreError {
    StoreError::NoEffect {
        reason: "no store is set".to_string(),
    }
}

impl ConfigStore for AbsentStore {
    async fn get(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        Err(no_store_error())
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        Err(no_store_error())
    }

    async fn compare_and_swap(
        &self,
        _key: &str,
        _expected: KeyRevision,
        _value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        Err(no_store_error())
    }

    async fn remove(&self, _key: &str) -> Result<(), StoreError> {
        Err(no_store_error())
    }

    async fn watch(
        &self,
        _key: &str,
        _position: WatchPosition,
        _max_wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        pending().await
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        Err(no_store_error())
    }

    async fn renew_lease(&self, _lease: &LeaseId) -> Result<bool, StoreError> {
        Err(no_store_error())
    }

    async fn revoke_lease(&self, _lease: &LeaseId) -> Result<(), StoreError> {
        Err(no_store_error())
    }

    async fn acquire(
        &self,
        _key: &str,
        _value: Bytes,
        _lease: &LeaseId,
    ) -> Result<bool, StoreError> {
        Err(no_store_error())
    }
}
