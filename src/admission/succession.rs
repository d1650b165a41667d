//! Hand-over of the queue from one start of a backend server to the next.
//!
//! Fault: a backend server crashes or falls silent while calls run and wait at its gate, and
//! another start announces itself in its place, at times one of another service. A call is
//! admitted for one start. What an earlier start runs, and how fast it was, says nothing
//! about the next.

use std::time::Duration;

use super::{AdmissionQueue, ConcurrencyLimit, SpeedHistory, WorkResult};
use crate::ids::{CallId, SlotCount};

impl AdmissionQueue {
    /// Hands the queue over to another start, for which no call runs or waits. Returns the
    /// calls that ran at the earlier one; they take no slot any more.
    pub fn begin_start(
        &mut self,
        now: Duration,
        slots: SlotCount,
        is_same_service: bool,
    ) -> Vec<CallId> {
        for queued_call in std::mem::take(&mut self.queue) {
            self.shares.release(&queued_call.shares);
        }
        let running_calls: Vec<CallId> = self.running.keys().copied().collect();
        for call in &running_calls {
            self.finish(now, *call, WorkResult::Cancelled);
        }
        if is_same_service {
            // The run times of the classes still hold.
            self.concurrency_limit = ConcurrencyLimit::new(slots, self.options.is_adaptive);
            self.speed_history = SpeedHistory::default();
        } else {
            *self = Self {
                is_draining: self.is_draining,
                stop_time: self.stop_time,
                ..Self::new(slots, self.options)
            };
        }
        running_calls
    }
}
