//! Whole answers that an ingress may still ask for on a new link.
//!
//! The shelf is bounded in bytes. The answer of an idempotent call can be had
//! again by running the call again, so it never displaces another answer and
//! is the first to go.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::ids::CallId;

/// Whole answer of a backend server, in the encoding of the link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Encoded status and headers.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
}

impl KeptAnswer {
    fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

#[derive(Debug)]
struct ShelfEntry {
    kept_at: Duration,
    idempotent: bool,
    answer: KeptAnswer,
}

/// Kept answers by call.
#[derive(Debug)]
pub(super) struct AnswerShelf {
    max_bytes: usize,
    max_answer: usize,
    bytes: usize,
    entries: BTreeMap<CallId, ShelfEntry>,
    /// Idempotent first, then by age: the order in which answers go.
    order: BTreeSet<(bool, Duration, CallId)>,
}

impl AnswerShelf {
    pub(super) fn new(max_bytes: usize, max_answer: usize) -> Self {
        Self {
            max_bytes,
            max_answer,
            bytes: 0,
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, call: CallId) -> Option<&KeptAnswer> {
        self.entries.get(&call).map(|entry| &entry.answer)
    }

    /// Keeps an answer if it fits.
    pub(super) fn put(
        &mut self,
        now: Duration,
        call: CallId,
        idempotent: bool,
        answer: KeptAnswer,
    ) {
        let size = answer.bytes();
        if size > self.max_answer || !self.make_room(size, idempotent) {
            return;
        }
        self.bytes += size;
        self.order.insert((!idempotent, now, call));
        let entry = ShelfEntry {
            kept_at: now,
            idempotent,
            answer,
        };
        self.entries.insert(call, entry);
    }

    fn make_room(&mut self, size: usize, idempotent: bool) -> bool {
        if size > self.max_bytes {
            return false;
        }
        while self.bytes + size > self.max_bytes {
            let Some(&(not_idempotent, _, oldest)) = self.order.first() else {
                return false;
            };
            if idempotent && not_idempotent {
                return false;
            }
            self.drop_answer(oldest);
        }
        true
    }

    /// Drops the answer of one call.
    pub(super) fn drop_answer(&mut self, call: CallId) {
        let Some(entry) = self.entries.remove(&call) else {
            return;
        };
        self.bytes -= entry.answer.bytes();
        self.order.remove(&(!entry.idempotent, entry.kept_at, call));
    }

    /// Drops every answer kept for `age` or longer.
    pub(super) fn drop_older(&mut self, now: Duration, age: Duration) {
        for not_idempotent in [false, true] {
            while let Some(call) = self.oldest_past(not_idempotent, now, age) {
                self.drop_answer(call);
            }
        }
    }

    fn oldest_past(&self, not_idempotent: bool, now: Duration, age: Duration) -> Option<CallId> {
        let first = CallId {
            ingress_incarnation: 0,
            sequence: 0,
        };
        let from = (not_idempotent, Duration::ZERO, first);
        let &(is_same, kept_at, call) = self.order.range(from..).next()?;
        let is_past = is_same == not_idempotent && now.saturating_sub(kept_at) >= age;
        is_past.then_some(call)
    }
}
