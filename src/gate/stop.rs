//! Planned stop of the gate's node: calls that could outlast it are refused, and
//! those that still wait at its end are told that they did not run.
//!
//! Load pattern: several nodes stop within a second of each other. A gate's stop may come
//! before that of the ingress, which has promised its caller an answer, so the gate takes a
//! call only if its time limit ends first. If no other gate takes the call, its ingress may
//! offer it again, to run if it usually ends in time.

use std::rc::Rc;
use std::time::Duration;

use crate::error::ErrorKind;
use crate::gate::succession::QueueEnd;
use crate::gate::{Gate, GateRefusal};

/// Nodes that are stopped together see their signals this far apart. Runs may go on for
/// longer than that after calls end.
const SIGNAL_SPREAD: Duration = Duration::from_millis(100);

impl Gate {
    /// Admits only calls that end in time, and refuses those that are queued when
    /// the time left has passed.
    pub(super) fn prepare_stop(self: &Rc<Self>, time_left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_stop_time(self.now() + time_left + SIGNAL_SPREAD);
        }
        self.refuse_evicted_calls();
        self.publish_status();
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            tokio::time::sleep(time_left).await;
            gate.end_queue(QueueEnd::Refused(ErrorKind::Draining));
        });
    }

    /// Adds the time until a planned stop to the refusal of a call that it could cut.
    pub(super) fn name_stop(&self, refusal: GateRefusal, time_left: Duration) -> GateRefusal {
        let is_open = matches!(refusal.kind, ErrorKind::WaitTooLong | ErrorKind::Overloaded);
        let admission = self.admission.borrow();
        let stops_in = admission
            .as_ref()
            .filter(|_| is_open)
            .and_then(|queue| queue.time_to_stop(self.now(), time_left));
        GateRefusal {
            stops_in,
            ..refusal
        }
    }
}
