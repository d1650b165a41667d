//! State of the stand-in store, shared by its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use super::StandinOptions;
use super::faults::{StoreFaults, WriteOutcome};
use super::rates::{CallCounts, CallKind, CallRateLimiter};
use crate::store::memory::MemoryTable;

/// Time between looks for lapsed leases while a watch waits.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

struct StoreInner {
    table: MemoryTable,
    faults: StoreFaults,
    rate_limiter: CallRateLimiter,
}

/// Handle on the state.
#[derive(Clone)]
pub struct StandinState {
    inner: Arc<Mutex<StoreInner>>,
    started: Instant,
    changes: watch::Sender<()>,
}

/// Call that was refused before it had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRejection {
    /// The store is away.
    Unavailable,
    /// The platform's rate is passed.
    RateExceeded,
}

impl StandinState {
    /// Makes an empty store.
    pub fn new(options: &StandinOptions) -> Self {
        let inner = StoreInner {
            table: MemoryTable::default(),
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

    /// Counts a call, takes its time, and refuses it if it must be.
    pub async fn admit(&self, kind: CallKind) -> Result<(), CallRejection> {
        let slow = {
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
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        Ok(())
    }

    /// Works on the table and wakes waiting watches if it changed.
    pub fn with_table<T>(&self, work: impl FnOnce(&mut MemoryTable, Duration) -> T) -> T {
        let now = self.started.elapsed();
        let mut inner = self.lock();
        let index = inner.table.index();
        inner.table.expire(now);
        let answer = work(&mut inner.table, now);
        let is_changed = inner.table.index() != index;
        drop(inner);
        if is_changed {
            self.changes.send_replace(());
        }
        answer
    }

    /// Notes the bytes of a value that goes out.
    pub fn record_bytes_read(&self, bytes: usize) {
        self.lock().rate_limiter.counts.bytes_read += bytes as u64;
    }

    /// Runs a write of a key as the faults say; `None` if its answer is lost.
    pub fn write_key<T>(
        &self,
        bytes: usize,
        work: impl FnOnce(&mut MemoryTable) -> T + 'static,
    ) -> Option<T> {
        let (fate, delay) = {
            let mut inner = self.lock();
            inner.rate_limiter.counts.bytes_written += bytes as u64;
            let fate = inner.faults.take_write_outcome();
            (fate, Duration::from_millis(inner.faults.delay_ms))
        };
        match fate {
            WriteOutcome::Acknowledged => Some(self.with_table(|table, _| work(table))),
            WriteOutcome::ResponseLost => {
                self.with_table(|table, _| work(table));
                None
            }
            WriteOutcome::Delayed => {
                let state = self.clone();
                ntex::rt::spawn(async move {
                    tokio::time::sleep(delay).await;
                    state.with_table(|table, _| work(table));
                });
                None
            }
        }
    }

    /// Waits until a key has changed since `index`; false if the store went away.
    pub async fn wait_for_change(&self, key: &str, index: u64, limit: Duration) -> bool {
        let mut changes = self.changes.subscribe();
        let end = Instant::now() + limit;
        loop {
            if self.lock().faults.away {
                return false;
            }
            if self.key_index(key) > index || Instant::now() >= end {
                return true;
            }
            let _ = tokio::time::timeout(EXPIRY_INTERVAL, changes.changed()).await;
        }
    }

    /// Index that a watch of the key continues from.
    pub fn key_index(&self, key: &str) -> u64 {
        self.with_table(|table, _| match table.get(key) {
            Some(value) => value.revision.0,
            None => table.removal_index(),
        })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        if faults.expire_leases {
            self.with_table(|table, _| table.expire_all());
        }
        self.lock().faults = faults;
        self.changes.send_replace(());
    }

    /// Sets the counts to zero.
    pub fn reset_counts(&self) {
        self.lock().rate_limiter.reset();
    }

    /// Counts so far.
    pub fn counts(&self) -> CallCounts {
        let inner = self.lock();
        let mut counts = inner.rate_limiter.counts.clone();
        counts.keys = inner.table.keys().count() as u64;
        counts
    }
}

/// Value as the request brought it.
pub fn copy_bytes(bytes: &ntex::util::Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
