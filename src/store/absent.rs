//! Store of a node that was given none: every call fails without effect.

use std::time::Duration;

use bytes::Bytes;

use super::{
    ConfigStore, KeyRevision, LeaseId, StoreError, StoredValue, SwapOutcome, WatchAnswer,
    WatchPosition,
};

/// Stands where no store is set.
#[derive(Debug, Clone, Copy)]
pub struct AbsentStore;

fn absent<T>() -> Result<T, StoreError> {
    Err(StoreError::NotDone {
        reason: "no store is set".to_string(),
    })
}

impl ConfigStore for AbsentStore {
    async fn get(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        absent()
    }

    async fn compare_and_swap(
        &self,
        _key: &str,
        _expected: KeyRevision,
        _value: Bytes,
    ) -> Result<SwapOutcome, StoreError> {
        absent()
    }

    async fn remove(&self, _key: &str) -> Result<(), StoreError> {
        absent()
    }

    async fn watch(
        &self,
        _key: &str,
        _position: WatchPosition,
        limit: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        tokio::time::sleep(limit).await;
        absent()
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        absent()
    }

    async fn renew_lease(&self, _lease: &LeaseId) -> Result<bool, StoreError> {
        absent()
    }

    async fn end_lease(&self, _lease: &LeaseId) -> Result<(), StoreError> {
        absent()
    }

    async fn acquire(
        &self,
        _key: &str,
        _value: Bytes,
        _lease: &LeaseId,
    ) -> Result<bool, StoreError> {
        absent()
    }
}
