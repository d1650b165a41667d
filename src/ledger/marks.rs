//! Highest sequence numbers of evicted records, by ingress.
//!
//! These watermarks outlive the records, so that a delayed open message is still
//! refused after the record of its call has been evicted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CallId;

#[derive(Debug, Default)]
struct IngressWatermarks {
    /// Highest sequence number of an evicted call that may have run.
    highest_run: Option<u64>,
    /// Highest sequence number of an evicted call that never ran.
    highest_tombstone: Option<u64>,
    /// Last message of the ingress or last raise of a watermark.
    last_activity_at: Duration,
}

/// Watermarks by incarnation of the ingress.
#[derive(Debug, Default)]
pub(super) struct SequenceWatermarks {
    by_ingress: BTreeMap<u64, IngressWatermarks>,
}

impl SequenceWatermarks {
    pub(super) fn record_activity(&mut self, now: Duration, ingress: u64) {
        self.by_ingress.entry(ingress).or_default().last_activity_at = now;
    }

    /// Whether an unknown call may have run, with its record evicted since.
    pub(super) fn may_have_run(&self, call: CallId) -> bool {
        let watermarks = self.by_ingress.get(&call.ingress_incarnation);
        watermarks.and_then(|marks| marks.highest_run) >= Some(call.sequence)
    }

    /// Whether an unknown call may have had a tombstone that was evicted.
    pub(super) fn may_have_been_tombstoned(&self, call: CallId) -> bool {
        let watermarks = self.by_ingress.get(&call.ingress_incarnation);
        watermarks.and_then(|marks| marks.highest_tombstone) >= Some(call.sequence)
    }

    pub(super) fn raise_run_watermark(&mut self, now: Duration, call: CallId) {
        let marks = self.active_entry(now, call.ingress_incarnation);
        marks.highest_run = marks.highest_run.max(Some(call.sequence));
    }

    pub(super) fn raise_tombstone_watermark(&mut self, now: Duration, call: CallId) {
        let marks = self.active_entry(now, call.ingress_incarnation);
        marks.highest_tombstone = marks.highest_tombstone.max(Some(call.sequence));
    }

    /// Raising a watermark counts as activity: a process that was paused for
    /// long evicts records as soon as it resumes, and the watermarks must
    /// outlast the delayed open messages that it has yet to read.
    fn active_entry(&mut self, now: Duration, ingress: u64) -> &mut IngressWatermarks {
        self.record_activity(now, ingress);
        self.by_ingress.entry(ingress).or_default()
    }

    /// Removes the watermarks of each ingress that sent no message, and had no
    /// watermark raised, for `ttl` or longer.
    pub(super) fn remove_inactive(&mut self, now: Duration, ttl: Duration) {
        self.by_ingress
            .retain(|_, marks| now.saturating_sub(marks.last_activity_at) < ttl);
    }
}
