//! What is left of forgotten calls: the highest sequence number by ingress.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CallId;

/// Marks of one ingress.
#[derive(Debug, Default)]
struct IngressMarks {
    /// Highest forgotten call that may have run.
    run: Option<u64>,
    /// Highest forgotten call that never ran.
    barred: Option<u64>,
    /// Last time at which the ingress sent something or a mark rose.
    fresh_at: Duration,
}

/// Marks by incarnation of the ingress.
#[derive(Debug, Default)]
pub(super) struct SequenceMarks {
    marks: BTreeMap<u64, IngressMarks>,
}

impl SequenceMarks {
    pub(super) fn touch(&mut self, now: Duration, ingress: u64) {
        self.marks.entry(ingress).or_default().fresh_at = now;
    }

    /// Whether an unknown call may have run and been forgotten.
    pub(super) fn may_have_run(&self, call: CallId) -> bool {
        let marks = self.marks.get(&call.ingress_incarnation);
        marks.and_then(|marks| marks.run) >= Some(call.sequence)
    }

    /// Whether an unknown call may have been barred and forgotten.
    pub(super) fn is_barred(&self, call: CallId) -> bool {
        let marks = self.marks.get(&call.ingress_incarnation);
        marks.and_then(|marks| marks.barred) >= Some(call.sequence)
    }

    pub(super) fn raise_run(&mut self, now: Duration, call: CallId) {
        let marks = self.raised(now, call.ingress_incarnation);
        marks.run = marks.run.max(Some(call.sequence));
    }

    pub(super) fn raise_barred(&mut self, now: Duration, call: CallId) {
        let marks = self.raised(now, call.ingress_incarnation);
        marks.barred = marks.barred.max(Some(call.sequence));
    }

    /// A rise keeps the marks: a process that was stopped for long forgets
    /// records in its first sweep, and late originals are still to be read.
    fn raised(&mut self, now: Duration, ingress: u64) -> &mut IngressMarks {
        self.touch(now, ingress);
        self.marks.entry(ingress).or_default()
    }

    /// Drops marks that have been as they are for `age` or longer, with nothing
    /// heard of the ingress.
    pub(super) fn drop_older(&mut self, now: Duration, age: Duration) {
        self.marks
            .retain(|_, marks| now.saturating_sub(marks.fresh_at) < age);
    }
}
