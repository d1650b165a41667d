//! Complete responses that a gate keeps until their ingresses acknowledge them.
//!
//! Load pattern: callers leave many long responses unread, and none of them is acknowledged
//! until the retention ends.

use std::collections::BTreeMap;

use crate::ids::CallId;

/// Number of a response in the order of their ends.
type RetentionNumber = u64;

/// Calls with a complete response, and the bytes kept for each.
#[derive(Debug)]
pub struct RetainedResponses {
    limit_bytes: usize,
    held_bytes: usize,
    last_number: RetentionNumber,
    by_number: BTreeMap<RetentionNumber, (CallId, usize)>,
    by_call: BTreeMap<CallId, RetentionNumber>,
}

impl RetainedResponses {
    /// Keeps at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            last_number: 0,
            by_number: BTreeMap::new(),
            by_call: BTreeMap::new(),
        }
    }

    /// Bytes of all responses.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds the response of a call; returns the calls whose responses are discarded for it,
    /// the oldest first.
    pub fn add(&mut self, call: CallId, bytes: usize) -> Vec<CallId> {
        self.remove(call);
        self.last_number += 1;
        self.by_number.insert(self.last_number, (call, bytes));
        self.by_call.insert(call, self.last_number);
        self.held_bytes += bytes;
        let mut discarded = Vec::new();
        while self.held_bytes > self.limit_bytes
            && let Some((_, (oldest, bytes))) = self.by_number.pop_first()
        {
            self.by_call.remove(&oldest);
            self.held_bytes -= bytes;
            discarded.push(oldest);
        }
        discarded
    }

    /// Removes the response of a call, if it is kept.
    pub fn remove(&mut self, call: CallId) {
        let number = self.by_call.remove(&call);
        let entry = number.and_then(|number| self.by_number.remove(&number));
        self.held_bytes -= entry.map_or(0, |(_, bytes)| bytes);
    }
}

#[cfg(test)]
mod tests;
