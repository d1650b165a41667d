//! Cache of complete responses that an ingress may request again on a new link.
//!
//! The cache is bounded in bytes. An idempotent call can be run again if its
//! response is lost, so its response is evicted first and never displaces that of
//! a non-idempotent call.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::ids::CallId;

/// Complete response of a backend server, as encoded on a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedResponse {
    /// Encoded status and headers.
    pub head: Bytes,
    /// Complete body.
    pub body: Bytes,
}

impl CachedResponse {
    fn size_bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

#[derive(Debug)]
struct CacheEntry {
    cached_at: Duration,
    is_idempotent: bool,
    response: CachedResponse,
}

/// Cached responses by call id.
#[derive(Debug)]
pub(super) struct ResponseCache {
    max_bytes: usize,
    max_response_bytes: usize,
    total_bytes: usize,
    entries: BTreeMap<CallId, CacheEntry>,
    /// Responses to idempotent calls first, then by age.
    eviction_order: BTreeSet<(bool, Duration, CallId)>,
}

impl ResponseCache {
    pub(super) fn new(max_bytes: usize, max_response_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_response_bytes,
            total_bytes: 0,
            entries: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
        }
    }

    pub(super) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    pub(super) fn get(&self, call: CallId) -> Option<&CachedResponse> {
        self.entries.get(&call).map(|entry| &entry.response)
    }

    /// Caches a response if it fits the limits.
    pub(super) fn store(
        &mut self,
        now: Duration,
        call: CallId,
        is_idempotent: bool,
        response: CachedResponse,
    ) {
        let response_bytes = response.size_bytes();
        if response_bytes > self.max_response_bytes
            || !self.make_room(response_bytes, is_idempotent)
        {
            return;
        }
        self.total_bytes += response_bytes;
        self.eviction_order.insert((!is_idempotent, now, call));
        let entry = CacheEntry {
            cached_at: now,
            is_idempotent,
            response,
        };
        self.entries.insert(call, entry);
    }

    fn make_room(&mut self, needed_bytes: usize, is_idempotent: bool) -> bool {
        if needed_bytes > self.max_bytes {
            return false;
        }
        while self.total_bytes + needed_bytes > self.max_bytes {
            let Some(&(not_idempotent, _, oldest)) = self.eviction_order.first() else {
                return false;
            };
            if is_idempotent && not_idempotent {
                return false;
            }
            self.drop_response(oldest);
        }
        true
    }

    pub(super) fn drop_response(&mut self, call: CallId) {
        let Some(entry) = self.entries.remove(&call) else {
            return;
        };
        self.total_bytes -= entry.response.size_bytes();
        self.eviction_order
            .remove(&(!entry.is_idempotent, entry.cached_at, call));
    }

    /// Evicts every response that was cached `ttl` ago or earlier.
    pub(super) fn evict_expired(&mut self, now: Duration, ttl: Duration) {
        for not_idempotent in [false, true] {
            while let Some(call) = self.oldest_expired(not_idempotent, now, ttl) {
                self.drop_response(call);
            }
        }
    }

    fn oldest_expired(&self, not_idempotent: bool, now: Duration, ttl: Duration) -> Option<CallId> {
        let lowest_id = CallId {
            ingress_incarnation: 0,
            sequence: 0,
        };
        let range_start = (not_idempotent, Duration::ZERO, lowest_id);
        let &(entry_not_idempotent, cached_at, call) =
            self.eviction_order.range(range_start..).next()?;
        let is_expired =
            entry_not_idempotent == not_idempotent && now.saturating_sub(cached_at) >= ttl;
        is_expired.then_some(call)
    }
}
