//! State of the stand-in store, shared by its request handlers: the keys and
//! leases, the faults in force and the call counts.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use super::StandinOptions;
use super::faults::{StoreFaults, WriteOutcome};
use super::rates::{CallCounts, CallKind, CallRateLimiter};
use crate::store::memory::MemoryTable;

/// Time between checks for expired leases while a watch waits.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Era of a store that has never been restored from a copy.
const FIRST_ERA: u64 = 1;

struct StoreInner {
    table: MemoryTable,
    /// Increased each time the table is restored from the copy.
    era: u64,
    copy: Option<MemoryTable>,
    /// Increased each time the waiting watches are silenced.
    silence_count: u64,
    faults: StoreFaults,
    rate_limiter: CallRateLimiter,
}

/// Handle to the shared state.
#[derive(Clone)]
pub struct StandinState {
    inner: Arc<Mutex<StoreInner>>,
    started: Instant,
    changes: watch::Sender<()>,
}

/// Reason for refusing a call before it has an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRejection {
    /// An outage is simulated.
    Unavailable,
    /// The call exceeds a rate limit of the platform.
    RateExceeded,
}

impl StandinState {
    /// Creates an empty store.
    pub fn new(options: &StandinOptions) -> Self {
        let inner = StoreInner {
            table: MemoryTable::default(),
            era: FIRST_ERA,
            copy: None,
            silence_count: 0,
            faults: StoreFaults::default(),
            rate_limiter: CallRateLimiter::new(options.reads_per_second, options.writes_per_second),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
            changes: watch::channel(()).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, and refuses or delays it as faults and rate limits demand.
    pub async fn admit(&self, kind: CallKind) -> Result<(), CallRejection> {
        let call_delay = {
            let mut inner = self.lock();
            let is_admitted = inner.rate_limiter.admit(kind, self.started.elapsed());
            if inner.faults.away {
                return Err(CallRejection::Unavailable);
            }
            if !is_admitted {
                return Err(CallRejection::RateExceeded);
            }
            Duration::from_millis(inner.faults.slow_ms)
        };
        if !call_delay.is_zero() {
            tokio::time::sleep(call_delay).await;
        }
        Ok(())
    }

    /// Expires leases and runs an operation on the table, then wakes the waiting
    /// watches if the table has changed.
    pub fn with_table<T>(&self, operation: impl FnOnce(&mut MemoryTable, Duration) -> T) -> T {
        let now = self.started.elapsed();
        let mut inner = self.lock();
        let index = inner.table.index();
        inner.table.revoke_expired_leases(now);
        let result = operation(&mut inner.table, now);
        let is_changed = inner.table.index() != index;
        drop(inner);
        if is_changed {
            self.changes.send_replace(());
        }
        result
    }

    /// Counts the bytes of a value that was read.
    pub fn record_bytes_read(&self, bytes: usize) {
        self.lock().rate_limiter.counts.bytes_read += bytes as u64;
    }

    /// Runs a write or delete of a key as the faults demand; `None` if its
    /// response is to be an error.
    pub fn write_key<T>(
        &self,
        bytes: usize,
        operation: impl FnOnce(&mut MemoryTable) -> T + 'static,
    ) -> Option<T> {
        let (outcome, delay) = {
            let mut inner = self.lock();
            inner.rate_limiter.counts.bytes_written += bytes as u64;
            let outcome = inner.faults.take_write_outcome();
            (outcome, Duration::from_millis(inner.faults.delay_ms))
        };
        match outcome {
            WriteOutcome::Acknowledged => Some(self.with_table(|table, _| operation(table))),
            WriteOutcome::ResponseLost => {
                self.with_table(|table, _| operation(table));
                None
            }
            WriteOutcome::Delayed => {
                let state = self.clone();
                ntex::rt::spawn(async move {
                    tokio::time::sleep(delay).await;
                    state.with_table(|table, _| operation(table));
                });
                None
            }
        }
    }

    /// Waits until a key has changed since `index` or the time limit has passed;
    /// false if an outage is simulated.
    pub async fn wait_for_change(&self, key: &str, index: u64, time_limit: Duration) -> bool {
        self.wait_until(time_limit, |table| key_index(table, key) > index)
            .await
    }

    /// Waits until a condition holds or the time limit has passed; false if an
    /// outage is simulated.
    pub async fn wait_until(
        &self,
        time_limit: Duration,
        condition: impl Fn(&MemoryTable) -> bool,
    ) -> bool {
        let mut changes = self.changes.subscribe();
        let deadline = Instant::now() + time_limit;
        let silence_count = self.lock().silence_count;
        loop {
            if self.lock().silence_count != silence_count {
                return pending().await;
            }
            if self.lock().faults.away {
                return false;
            }
            if self.with_table(|table, _| condition(table)) || Instant::now() >= deadline {
                return true;
            }
            let _ = tokio::time::timeout(EXPIRY_INTERVAL, changes.changed()).await;
        }
    }

    /// Index from which a watch of the key continues: that of its last change, or
    /// of the last removal if it doesn't exist.
    pub fn key_index(&self, key: &str) -> u64 {
        self.with_table(|table, _| key_index(table, key))
    }

    /// Era of the table, which increases each time it is restored from a copy.
    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Copies the table for [`restore_copy`](Self::restore_copy).
    pub fn take_copy(&self) {
        let mut inner = self.lock();
        inner.copy = Some(inner.table.clone());
    }

    /// Replaces the table by the copy, or by an empty one if none was taken, and
    /// begins a new era. All later changes are lost and their indexes are assigned
    /// again. Watches go on waiting for changes after their index.
    pub fn restore_copy(&self) {
        let mut inner = self.lock();
        inner.table = inner.copy.clone().unwrap_or_default();
        inner.era += 1;
        drop(inner);
        self.changes.send_replace(());
    }

    /// Replaces all faults and wakes the waiting watches, which check them.
    pub fn set_faults(&self, faults: StoreFaults) {
        if faults.expire_leases {
            self.with_table(|table, _| table.revoke_all_leases());
        }
        let mut inner = self.lock();
        inner.silence_count += u64::from(faults.silence_watches);
        inner.faults = faults;
        drop(inner);
        self.changes.send_replace(());
    }

    /// Sets the call counts to zero.
    pub fn reset_counts(&self) {
        self.lock().rate_limiter.reset();
    }

    /// Call counts so far, with the present number of keys.
    pub fn counts(&self) -> CallCounts {
        let inner = self.lock();
        let mut counts = inner.rate_limiter.counts.clone();
        counts.keys = inner.table.keys().count() as u64;
        counts
    }
}

fn key_index(table: &MemoryTable, key: &str) -> u64 {
    match table.get(key) {
        Some(value) => value.revision.0,
        None => table.removal_index(),
    }
}

/// Copies a request body into the type that the table stores.
pub fn copy_bytes(bytes: &ntex::util::Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
