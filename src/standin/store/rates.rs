//! Counts calls by kind and enforces the platform's rate limits.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Length of the sliding window of the rate limits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Kind of a call, for counts and rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read that doesn't wait.
    Read,
    /// Read that waits for a change.
    Watch,
    /// Write or delete of a key.
    Write,
    /// Grant, renewal or end of a lease, or a write that acquires a key with one.
    Lease,
}

/// Call counts since the start or the last reset, refused calls included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads that didn't wait.
    pub reads: u64,
    /// Reads that waited for a change.
    pub watches: u64,
    /// Writes and deletes of keys.
    pub writes: u64,
    /// Calls of kind `CallKind::Lease`.
    pub leases: u64,
    /// Calls that exceeded a rate limit.
    pub over_rate: u64,
    /// Highest number of reads and watches within one second.
    pub peak_reads: u64,
    /// Highest number of writes and lease calls within one second.
    pub peak_writes: u64,
    /// Bytes of values read.
    pub bytes_read: u64,
    /// Bytes of values written.
    pub bytes_written: u64,
    /// Keys that exist now.
    pub keys: u64,
}

impl CallCounts {
    fn count(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Watch => self.watches += 1,
            CallKind::Write => self.writes += 1,
            CallKind::Lease => self.leases += 1,
        }
    }
}

/// Times of the calls within the last second, and their limit.
#[derive(Debug)]
struct SlidingWindow {
    limit: u32,
    calls: VecDeque<Duration>,
}

impl SlidingWindow {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            calls: VecDeque::new(),
        }
    }

    /// Adds a call and returns the number of calls within the last second.
    fn count(&mut self, now: Duration) -> u64 {
        while self
            .calls
            .front()
            .is_some_and(|at| *at + RATE_WINDOW <= now)
        {
            self.calls.pop_front();
        }
        self.calls.push_back(now);
        self.calls.len() as u64
    }
}

/// Counts calls and tells which ones exceed a rate limit.
#[derive(Debug)]
pub struct CallRateLimiter {
    /// Counts so far.
    pub counts: CallCounts,
    reads: SlidingWindow,
    writes: SlidingWindow,
}

impl CallRateLimiter {
    /// Limiter with zero counts.
    pub fn new(reads_per_second: u32, writes_per_second: u32) -> Self {
        Self {
            counts: CallCounts::default(),
            reads: SlidingWindow::new(reads_per_second),
            writes: SlidingWindow::new(writes_per_second),
        }
    }

    /// Sets the counts to zero. Earlier calls don't count in later peaks or
    /// against the limits.
    pub fn reset(&mut self) {
        *self = Self::new(self.reads.limit, self.writes.limit);
    }

    /// Counts a call; false if it exceeds its rate limit.
    pub fn admit(&mut self, kind: CallKind, now: Duration) -> bool {
        self.counts.count(kind);
        let (window, peak) = match kind {
            CallKind::Read | CallKind::Watch => (&mut self.reads, &mut self.counts.peak_reads),
            CallKind::Write | CallKind::Lease => (&mut self.writes, &mut self.counts.peak_writes),
        };
        let recent = window.count(now);
        *peak = (*peak).max(recent);
        let is_admitted = recent <= u64::from(window.limit);
        if !is_admitted {
            self.counts.over_rate += 1;
        }
        is_admitted
    }
}
