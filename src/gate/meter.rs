//! Readings of the VM's speed that a gate takes by itself.
//!
//! Most readings ride on answers. When a call waits for one and none is fresh,
//! the gate asks the backend server's health path, which answers at once, out
//! of a budget by second. Without budget or answer the call goes on unread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::gate::Gate;
use crate::routing::ProbeBucket;

/// Time limit of a reading on the same VM; it usually takes a millisecond.
const READING_TIMEOUT: Duration = Duration::from_millis(40);

/// Budget and state of the readings.
#[derive(Debug)]
pub(super) struct SpeedMeter {
    rate: f64,
    bucket: RefCell<ProbeBucket>,
    is_reading: Cell<bool>,
}

impl SpeedMeter {
    /// Meter that takes at most `rate` readings by second.
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            bucket: RefCell::new(ProbeBucket::new(Duration::ZERO)),
            is_reading: Cell::new(false),
        }
    }
}

impl Gate {
    /// Takes a reading, now or when it is due, if a call waits for one.
    pub(super) fn take_reading(self: &Rc<Self>) {
        if self.meter.is_reading.get() || self.reading_due().is_none() {
            return;
        }
        self.meter.is_reading.set(true);
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            while let Some(due) = gate.reading_due() {
                tokio::time::sleep(due.saturating_sub(gate.now())).await;
                // An answer may have brought a reading meanwhile.
                if gate.reading_due().is_some_and(|due| due <= gate.now()) {
                    gate.read_speed().await;
                }
            }
            gate.meter.is_reading.set(false);
        });
    }

    fn reading_due(&self) -> Option<Duration> {
        let admission = self.admission.borrow();
        admission.as_ref()?.next_reading_at(self.now())
    }

    async fn read_speed(self: &Rc<Self>) {
        let client = self.backend_client();
        let has_budget = (self.meter.bucket.borrow_mut()).try_take(self.now(), self.meter.rate);
        let reading = async { client.filter(|_| has_budget)?.read_load().await };
        let reading = tokio::time::timeout(READING_TIMEOUT, reading).await;
        match reading.ok().flatten() {
            Some(load) => {
                self.metrics.count_reading("taken");
                self.note_load(load);
            }
            None => {
                self.metrics
                    .count_reading(if has_budget { "failed" } else { "no-budget" });
                self.go_on_unread();
            }
        }
    }

    fn go_on_unread(self: &Rc<Self>) {
        let now = self.now();
        let started = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.start_without_reading(now),
            None => Vec::new(),
        };
        self.start_turns(started);
        self.drop_evicted();
    }
}
