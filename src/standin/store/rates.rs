//! Counts of calls by kind, and the platform's rates.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Window in which calls are counted against a rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read that doesn't wait.
    Read,
    /// Read that waits for a change.
    Watch,
    /// Write or removal of a key.
    Write,
    /// Grant, renewal or end of a lease, and writes under one.
    Lease,
}

/// Calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads that don't wait.
    pub reads: u64,
    /// Reads that wait.
    pub watches: u64,
    /// Writes and removals of keys.
    pub writes: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Calls refused for passing a rate.
    pub over_rate: u64,
    /// Most reads and watches within one second.
    pub peak_reads: u64,
    /// Most writes and lease calls within one second.
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

/// Calls within the last second against a limit.
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

    /// Counts a call; gives the calls within the last second.
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

/// Counter of calls that refuses those beyond a rate.
#[derive(Debug)]
pub struct CallRateLimiter {
    /// Counts so far.
    pub counts: CallCounts,
    reads: SlidingWindow,
    writes: SlidingWindow,
}

impl CallRateLimiter {
    /// Makes a meter with limits per second.
    pub fn new(reads_per_second: u32, writes_per_second: u32) -> Self {
        Self {
            counts: CallCounts::default(),
            reads: SlidingWindow::new(reads_per_second),
            writes: SlidingWindow::new(writes_per_second),
        }
    }

    /// Sets the counts to zero; calls before don't count in later peaks.
    pub fn reset(&mut self) {
        *self = Self::new(self.reads.limit, self.writes.limit);
    }

    /// Counts a call; false if it passes its rate.
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
