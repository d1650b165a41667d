//! What is left of forgotten calls: the highest sequence number by ingress.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CallId;

/// Marks of one ingress.
#[derive(Debug, Default)]
struct IngressWatermarks {
    /// Highest forgotten call that may have run.
    highest_run: Option<u64>,
    /// Highest forgotten call that never ran.
    highest_tombstone: Option<u64>,
    /// Last time at which the ingress sent something or a mark rose.
    last_activity_at: Duration,
}

/// Marks by incarnation of the ingress.
#[derive(Debug, Default)]
pub(super) struct SequenceWatermarks {
    by_ingress: BTreeMap<u64, IngressWatermarks>,
}

impl SequenceWatermarks {
    pub(super) fn record_activity(&mut self, now: Duration, ingress: u64) {
        self.by_ingress.entry(ingress).or_default().last_activity_at = now;
    }

    /// Whether an unknown call may have run and been forgotten.
    pub(super) fn may_have_run(&self, call: CallId) -> bool {
        let marks = self.by_ingress.get(&call.ingress);
        marks.and_then(|marks| marks.highest_run) >= Some(call.sequence)
    }

    /// Whether an unknown call may have been barred and forgotten.
    pub(super) fn may_have_been_tombstoned(&self, call: CallId) -> bool {
        let marks = self.by_ingress.get(&call.ingress);
        marks.and_then(|marks| marks.highest_tombstone) >= Some(call.sequence)
    }

    pub(super) fn raise_run_watermark(&mut self, now: Duration, call: CallId) {
        let marks = self.active_entry(now, call.ingress);
        marks.highest_run = marks.highest_run.max(Some(call.sequence));
    }

    pub(super) fn raise_tombstone_watermark(&mut self, now: Duration, call: CallId) {
        let marks = self.active_entry(now, call.ingress);
        marks.highest_tombstone = marks.highest_tombstone.max(Some(call.sequence));
    }

    /// A rise keeps the marks: a process that was stopped for long forgets
    /// records in its first sweep, and late originals are still to be read.
    fn active_entry(&mut self, now: Duration, ingress: u64) -> &mut IngressWatermarks {
        self.record_activity(now, ingress);
        self.by_ingress.entry(ingress).or_default()
    }

    /// Drops marks that have been as they are for `age` or longer, with nothing
    /// heard of the ingress.
    pub(super) fn remove_inactive(&mut self, now: Duration, age: Duration) {
        self.by_ingress
            .retain(|_, marks| now.saturating_sub(marks.last_activity_at) < age);
    }
}
