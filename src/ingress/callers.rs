//! Account of callers' connections: what the process holds for them, and their number.
//!
//! Bytes are counted by request, from the arrival of its head until its response is written
//! and its call has ended. [`eviction`](crate::ingress::eviction) chooses the connection that
//! is closed once a limit is met.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::ingress::eviction::{
    ConnectionNumber, ConnectionPhase, ConnectionState, choose_for_memory, choose_for_room,
};
use crate::ingress::lock;
use crate::metrics::NodeMetrics;
use crate::resources::ResourceLimits;

/// Share of the limit from which on a connection with unanswered requests is not read, as a
/// divisor.
const PRESSURE_DIVISOR: u64 = 2;
/// Memory that a request takes beside its head and bodies: the tasks and records of its call.
const REQUEST_BYTES: u64 = 24 * 1024;
/// Copies of a request head: as parsed, in the message of its call, and as its frame.
const HEAD_COPIES: u64 = 3;
/// Copies of the start of a request body: kept for another attempt, and on its way.
const BODY_COPIES: u64 = 2;
/// Most bytes that are counted for a request body, as its windows limit the rest.
const MAX_BODY_BYTES: u64 = 256 * 1024;
/// Shortest time between two log lines on closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit that callers have met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerLimit {
    /// Bytes held for callers.
    Memory,
    /// Number of callers' connections.
    Connections,
}

impl CallerLimit {
    fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// Connections of callers and the bytes held for all of them.
#[derive(Debug)]
pub struct CallerAccount {
    max_bytes: u64,
    max_connections: usize,
    started_at: Instant,
    held_bytes: AtomicU64,
    connections: Mutex<ConnectionTable>,
    connection_left: Notify,
    metrics: Arc<NodeMetrics>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    last_number: u64,
    by_number: BTreeMap<ConnectionNumber, Arc<ConnectionUsage>>,
    /// Connections closed since the last log line.
    unlogged_count: u64,
    logged_at: Option<Instant>,
}

/// What is held for one connection, and since when its caller has made no progress.
#[derive(Debug)]
pub struct ConnectionUsage {
    account: Arc<CallerAccount>,
    number: ConnectionNumber,
    held_bytes: AtomicU64,
    buffer_bytes: AtomicU64,
    unanswered_count: AtomicU32,
    has_partial_head: AtomicBool,
    is_writing: AtomicBool,
    progress_at_ms: AtomicU64,
    is_evicted: AtomicBool,
    eviction: Notify,
}

/// Bytes held for one request, which are released with the last handle to them.
#[derive(Debug)]
pub struct RequestUsage {
    connection: Arc<ConnectionUsage>,
    held_bytes: AtomicU64,
    body_bytes: AtomicU64,
}

/// Keeps a connection in the account until it is dropped.
#[derive(Debug)]
pub struct ConnectionEntry {
    usage: Arc<ConnectionUsage>,
}

/// Step of the entry of a new connection.
enum EntryStep {
    Entered(ConnectionEntry),
    /// Another connection is being closed for it.
    Waiting,
    /// All others are in use.
    Refused,
}

impl CallerAccount {
    /// Account without connections.
    pub fn new(limits: &ResourceLimits, started_at: Instant, metrics: Arc<NodeMetrics>) -> Self {
        Self {
            max_bytes: limits.caller_bytes,
            max_connections: limits.caller_connections,
            started_at,
            held_bytes: AtomicU64::new(0),
            connections: Mutex::default(),
            connection_left: Notify::new(),
            metrics,
        }
    }

    /// Enters a new connection, for which another one may be closed first; `None` if all
    /// others are in use and their number has met the limit.
    pub async fn enter(self: &Arc<Self>) -> Option<ConnectionEntry> {
        loop {
            let left = self.connection_left.notified();
            match self.enter_or_evict() {
                EntryStep::Entered(entry) => return Some(entry),
                EntryStep::Refused => return None,
                EntryStep::Waiting => left.await,
            }
        }
    }

    fn enter_or_evict(self: &Arc<Self>) -> EntryStep {
        let mut table = lock(&self.connections);
        if table.by_number.len() < self.max_connections {
            return EntryStep::Entered(self.insert(&mut table));
        }
        let is_closing = table.remaining().count() < table.by_number.len();
        if !is_closing {
            let chosen = choose_for_room(table.remaining().map(|usage| usage.state()));
            self.record_closed(&mut table, CallerLimit::Connections);
            let Some(number) = chosen else {
                return EntryStep::Refused;
            };
            table.evict(number);
        }
        EntryStep::Waiting
    }

    fn insert(self: &Arc<Self>, table: &mut ConnectionTable) -> ConnectionEntry {
        table.last_number += 1;
        let number = ConnectionNumber(table.last_number);
        let usage = Arc::new(ConnectionUsage {
            account: Arc::clone(self),
            number,
            held_bytes: AtomicU64::new(0),
            buffer_bytes: AtomicU64::new(0),
            unanswered_count: AtomicU32::new(0),
            has_partial_head: AtomicBool::new(false),
            is_writing: AtomicBool::new(false),
            progress_at_ms: AtomicU64::new(self.now_ms()),
            is_evicted: AtomicBool::new(false),
            eviction: Notify::new(),
        });
        table.by_number.insert(number, Arc::clone(&usage));
        self.metrics.set_caller_connections(table.by_number.len());
        ConnectionEntry { usage }
    }

    /// Bytes held for all callers.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Whether connections with unanswered requests should not be read.
    pub fn is_under_pressure(&self) -> bool {
        self.held_bytes() > self.max_bytes / PRESSURE_DIVISOR
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn add(&self, bytes: u64) {
        let held = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.metrics.set_caller_bytes(held);
        if held > self.max_bytes {
            self.relieve();
        }
    }

    fn release(&self, bytes: u64) {
        let held = self.held_bytes.fetch_sub(bytes, Ordering::Relaxed) - bytes;
        self.metrics.set_caller_bytes(held);
    }

    /// Closes connections until what the others hold is within the limit.
    fn relieve(&self) {
        let mut table = lock(&self.connections);
        loop {
            let remaining_bytes: u64 = table.remaining().map(|usage| usage.total_bytes()).sum();
            if remaining_bytes <= self.max_bytes {
                return;
            }
            let chosen = choose_for_memory(table.remaining().map(|usage| usage.state()));
            let Some(number) = chosen else {
                return;
            };
            table.evict(number);
            self.record_closed(&mut table, CallerLimit::Memory);
        }
    }

    fn record_closed(&self, table: &mut ConnectionTable, limit: CallerLimit) {
        self.metrics.count_closed_caller(limit.name());
        table.unlogged_count += 1;
        let is_due = table
            .logged_at
            .is_none_or(|logged_at| logged_at.elapsed() >= LOG_INTERVAL);
        if is_due {
            log::warn!(
                target: "ingress",
                limit = limit.name(), closed = table.unlogged_count,
                connections = table.by_number.len(), held_bytes = self.held_bytes();
                "callers' connections are closed, as they have met a limit"
            );
            table.unlogged_count = 0;
            table.logged_at = Some(Instant::now());
        }
    }
}

impl ConnectionTable {
    /// Connections that are not being closed.
    fn remaining(&self) -> impl Iterator<Item = &Arc<ConnectionUsage>> {
        let connections = self.by_number.values();
        connections.filter(|usage| !usage.is_evicted.load(Ordering::Relaxed))
    }

    fn evict(&self, number: ConnectionNumber) {
        if let Some(usage) = self.by_number.get(&number) {
            usage.is_evicted.store(true, Ordering::Relaxed);
            usage.eviction.notify_one();
        }
    }
}

impl ConnectionEntry {
    /// Usage of the connection.
    pub fn usage(&self) -> &Arc<ConnectionUsage> {
        &self.usage
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.usage.set_buffer(0);
        let account = &self.usage.account;
        let mut table = lock(&account.connections);
        table.by_number.remove(&self.usage.number);
        account
            .metrics
            .set_caller_connections(table.by_number.len());
        account.connection_left.notify_waiters();
    }
}

impl ConnectionUsage {
    /// Completes once the connection is to be closed.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Account that the connection belongs to.
    pub fn account(&self) -> &Arc<CallerAccount> {
        &self.account
    }

    /// Counts a request whose head was read.
    pub fn begin_request(self: &Arc<Self>, head_bytes: usize) -> Arc<RequestUsage> {
        self.unanswered_count.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(RequestUsage {
            connection: Arc::clone(self),
            held_bytes: AtomicU64::new(0),
            body_bytes: AtomicU64::new(0),
        });
        request.add(REQUEST_BYTES + HEAD_COPIES * head_bytes as u64);
        request
    }

    /// Records that the response to a request was written.
    pub fn end_request(&self) {
        self.unanswered_count.fetch_sub(1, Ordering::Relaxed);
        self.record_progress();
    }

    /// Records that all responses are written and only the close of the caller is awaited.
    pub fn begin_close(&self) {
        self.unanswered_count.store(0, Ordering::Relaxed);
        self.set_writing(false);
        self.set_partial_head(false);
        self.set_buffer(0);
    }

    /// Records that the caller has taken part of a response or sent part of a body.
    pub fn record_progress(&self) {
        self.progress_at_ms
            .store(self.account.now_ms(), Ordering::Relaxed);
    }

    /// Sets whether a write to the caller is in progress.
    pub fn set_writing(&self, is_writing: bool) {
        self.is_writing.store(is_writing, Ordering::Relaxed);
    }

    /// Sets whether part of a head has been read.
    pub fn set_partial_head(&self, has_partial_head: bool) {
        self.has_partial_head
            .store(has_partial_head, Ordering::Relaxed);
    }

    /// Sets the size of the buffer of what was read ahead.
    pub fn set_buffer(&self, bytes: usize) {
        let bytes = bytes as u64;
        let earlier_bytes = self.buffer_bytes.swap(bytes, Ordering::Relaxed);
        if bytes > earlier_bytes {
            self.account.add(bytes - earlier_bytes);
        } else if bytes < earlier_bytes {
            self.account.release(earlier_bytes - bytes);
        }
    }

    fn total_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed) + self.buffer_bytes.load(Ordering::Relaxed)
    }

    fn state(&self) -> ConnectionState {
        let phase = if self.is_writing.load(Ordering::Relaxed) {
            ConnectionPhase::Writing
        } else if self.unanswered_count.load(Ordering::Relaxed) > 0 {
            ConnectionPhase::Calling
        } else if self.has_partial_head.load(Ordering::Relaxed) {
            ConnectionPhase::ReadingHead
        } else {
            ConnectionPhase::Idle
        };
        let progress_at_ms = self.progress_at_ms.load(Ordering::Relaxed);
        let stalled_ms = self.account.now_ms().saturating_sub(progress_at_ms);
        ConnectionState {
            number: self.number,
            phase,
            held_bytes: self.total_bytes(),
            stalled_for: Duration::from_millis(stalled_ms),
        }
    }
}

impl RequestUsage {
    /// Counts bytes that are held from now on.
    pub fn add(&self, bytes: u64) {
        self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.connection
            .held_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        self.connection.account.add(bytes);
    }

    /// Counts bytes of the request body.
    pub fn add_body(&self, length: usize) {
        self.connection.record_progress();
        let counted_bytes = self.body_bytes.load(Ordering::Relaxed);
        let bytes = (BODY_COPIES * length as u64).min(MAX_BODY_BYTES - counted_bytes);
        self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.add(bytes);
    }

    /// Releases bytes, at most those that are counted.
    pub fn release(&self, bytes: usize) {
        let held_bytes = self.held_bytes.load(Ordering::Relaxed);
        let bytes = (bytes as u64).min(held_bytes);
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.connection
            .held_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
        self.connection.account.release(bytes);
    }
}

impl Drop for RequestUsage {
    fn drop(&mut self) {
        self.release(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
