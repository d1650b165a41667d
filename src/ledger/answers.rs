//! Cache of complete answers that an ingress may request again on a new link.
//!
//! The cache is bounded in bytes. The answer of an idempotent call can be had
//! again by running the call again, so it is evicted first and never displaces
//! the answer of a non-idempotent call.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::ids::CallId;

/// Complete answer of a backend server, as encoded on a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedAnswer {
    /// Encoded status and headers.
    pub head: Bytes,
    /// Complete body.
    pub body: Bytes,
}

impl CachedAnswer {
    fn size_bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

#[derive(Debug)]
struct CacheEntry {
    cached_at: Duration,
    is_idempotent: bool,
    answer: CachedAnswer,
}

/// Cached answers by call id.
#[derive(Debug)]
pub(super) struct AnswerCache {
    max_bytes: usize,
    max_answer_bytes: usize,
    total_bytes: usize,
    entries: BTreeMap<CallId, CacheEntry>,
    /// Answers of idempotent calls first, then by age.
    eviction_order: BTreeSet<(bool, Duration, CallId)>,
}

impl AnswerCache {
    pub(super) fn new(max_bytes: usize, max_answer: usize) -> Self {
        Self {
            max_bytes,
            max_answer_bytes: max_answer,
            total_bytes: 0,
            entries: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
        }
    }

    pub(super) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    pub(super) fn get(&self, call: CallId) -> Option<&CachedAnswer> {
        self.entries.get(&call).map(|entry| &entry.answer)
    }

    /// Caches an answer if it fits the limits.
    pub(super) fn store(
        &mut self,
        now: Duration,
        call: CallId,
        idempotent: bool,
        answer: CachedAnswer,
    ) {
        let size = answer.size_bytes();
        if size > self.max_answer_bytes || !self.make_room(size, idempotent) {
            return;
        }
        self.total_bytes += size;
        self.eviction_order.insert((!idempotent, now, call));
        let entry = CacheEntry {
            cached_at: now,
            is_idempotent: idempotent,
            answer,
        };
        self.entries.insert(call, entry);
    }

    fn make_room(&mut self, size: usize, idempotent: bool) -> bool {
        if size > self.max_bytes {
            return false;
        }
        while self.total_bytes + size > self.max_bytes {
            let Some(&(not_idempotent, _, oldest)) = self.eviction_order.first() else {
                return false;
            };
            if idempotent && not_idempotent {
                return false;
            }
            self.drop_answer(oldest);
        }
        true
    }

    pub(super) fn drop_answer(&mut self, call: CallId) {
        let Some(entry) = self.entries.remove(&call) else {
            return;
        };
        self.total_bytes -= entry.answer.size_bytes();
        self.eviction_order
            .remove(&(!entry.is_idempotent, entry.cached_at, call));
    }

    /// Evicts every answer that was cached `ttl` ago or earlier.
    pub(super) fn evict_expired(&mut self, now: Duration, age: Duration) {
        for not_idempotent in [false, true] {
            while let Some(call) = self.oldest_expired(not_idempotent, now, age) {
                self.drop_answer(call);
            }
        }
    }

    fn oldest_expired(&self, not_idempotent: bool, now: Duration, age: Duration) -> Option<CallId> {
        let first = CallId {
            ingress: 0,
            sequence: 0,
        };
        let from = (not_idempotent, Duration::ZERO, first);
        let &(is_same, kept_at, call) = self.eviction_order.range(from..).next()?;
        let is_past = is_same == not_idempotent && now.saturating_sub(kept_at) >= age;
        is_past.then_some(call)
    }
}
