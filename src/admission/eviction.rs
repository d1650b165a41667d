//! Removal of calls from the queue to the benefit of others.
//!
//! Evicted calls never ran. They are collected until the gate refuses them.

use std::time::Duration;

use super::{AdmissionQueue, EstimateRequest, QueuedCall};
use crate::ids::CallId;

impl AdmissionQueue {
    /// Evicts the queued call of the lowest rank if that is below `rank`;
    /// returns whether it did.
    pub(super) fn evict_lower_rank(&mut self, rank: u32) -> bool {
        let lowest = (0..self.queue.len()).max_by_key(|index| self.queue[*index].priority.rank);
        let Some(index) = lowest.filter(|index| self.queue[*index].priority.rank > rank) else {
            return false;
        };
        self.evict(index);
        true
    }

    /// Makes room for an offered call at the cost of a less urgent one; returns whether
    /// it did.
    pub(super) fn evict_less_urgent(&mut self, now: Duration, call: &EstimateRequest<'_>) -> bool {
        if self.is_fair() {
            self.evict_for_fairness(now, call)
        } else {
            self.evict_lower_rank(call.rank)
        }
    }

    pub(super) fn evict(&mut self, index: usize) {
        let evicted_call = self.queue.remove(index);
        self.shares.release(&evicted_call.shares);
        self.evicted.push(evicted_call.call);
    }

    /// Removes and returns the evicted calls; they never ran and must be refused
    /// with [`ErrorKind::Overloaded`](crate::error::ErrorKind::Overloaded).
    pub fn take_evicted(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.evicted)
    }

    pub(super) fn evict_no_wait_calls(&mut self) {
        for index in (0..self.queue.len()).rev() {
            if self.queue[index].no_wait_slot_share.is_some() {
                self.evict(index);
            }
        }
    }

    pub(super) fn would_miss_target(&self, now: Duration, queued_call: &QueuedCall) -> bool {
        queued_call.gives_way_past_target
            && now + self.expected_run_time(now, queued_call.class)
                > queued_call.priority.target_deadline
    }

    /// Evicts the calls that can no longer meet their target.
    pub(super) fn evict_target_misses(&mut self, now: Duration) {
        for index in (0..self.queue.len()).rev() {
            if self.would_miss_target(now, &self.queue[index]) {
                self.evict(index);
            }
        }
    }
}
