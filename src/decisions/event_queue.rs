//! Event queue of a simulation in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Events by time; those of the same time in the order of scheduling.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    last_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, event: E) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
