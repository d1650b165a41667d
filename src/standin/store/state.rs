//! State of the stand-in store, shared by its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use super::StandinOptions;
use super::faults::{StoreFaults, WriteFate};
use super::rates::{CallCounts, CallKind, CallMeter};
use crate::store::memory::MemoryTable;

/// Time between looks for lapsed leases while a watch waits.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

struct StandinInner {
    table: MemoryTable,
    faults: StoreFaults,
    meter: CallMeter,
}

/// Handle on the state.
#[derive(Clone)]
pub struct StandinState {
    inner: Arc<Mutex<StandinInner>>,
    started: Instant,
    changes: watch::Sender<()>,
}

/// Call that was refused before it had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// The store is away.
    Away,
    /// The platform's rate is passed.
    OverRate,
}

impl StandinState {
    /// Makes an empty store.
    pub fn new(options: &StandinOptions) -> Self {
        let inner = StandinInner {
            table: MemoryTable::default(),
            faults: StoreFaults::default(),
            meter: CallMeter::new(options.reads_per_second, options.writes_per_second),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
            changes: watch::channel(()).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StandinInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, takes its time, and refuses it if it must be.
    pub async fn admit(&self, kind: CallKind) -> Result<(), CallRefusal> {
        let slow = {
            let mut inner = self.lock();
            let is_admitted = inner.meter.admit(kind, self.started.elapsed());
            if inner.faults.away {
                return Err(CallRefusal::Away);
            }
            if !is_admitted {
                return Err(CallRefusal::OverRate);
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
        inner.table.revoke_expired_leases(now);
        let answer = work(&mut inner.table, now);
        let is_changed = inner.table.index() != index;
        drop(inner);
        if is_changed {
            self.changes.send_replace(());
        }
        answer
    }

    /// Notes the bytes of a value that goes out.
    pub fn count_read(&self, bytes: usize) {
        self.lock().meter.counts.bytes_read += bytes as u64;
    }

    /// Runs a write of a key as the faults say; `None` if its answer is lost.
    pub fn write<T>(
        &self,
        bytes: usize,
        work: impl FnOnce(&mut MemoryTable) -> T + 'static,
    ) -> Option<T> {
        let (fate, delay) = {
            let mut inner = self.lock();
            inner.meter.counts.bytes_written += bytes as u64;
            let fate = inner.faults.next_write();
            (fate, Duration::from_millis(inner.faults.delay_ms))
        };
        match fate {
            WriteFate::Answered => Some(self.with_table(|table, _| work(table))),
            WriteFate::AnswerLost => {
                self.with_table(|table, _| work(table));
                None
            }
            WriteFate::Delayed => {
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
            self.with_table(|table, _| table.revoke_all_leases());
        }
        self.lock().faults = faults;
        self.changes.send_replace(());
    }

    /// Sets the counts to zero.
    pub fn reset_counts(&self) {
        self.lock().meter.reset();
    }

    /// Counts so far.
    pub fn counts(&self) -> CallCounts {
        let inner = self.lock();
        let mut counts = inner.meter.counts.clone();
        counts.keys = inner.table.keys().count() as u64;
        counts
    }
}

/// Value as the request brought it.
pub fn owned_bytes(bytes: &ntex::util::Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
