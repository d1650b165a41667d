//! Planned stop of the gate's node: calls that would outlast it are refused, and
//! those that still wait at its end are told that they did not run.

use std::rc::Rc;
use std::time::Duration;

use crate::gate::Gate;

impl Gate {
    /// Admits only calls that end in time, and refuses those that are queued when
    /// the time left has passed.
    pub(super) fn prepare_stop(self: &Rc<Self>, time_left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_stop_time(self.now() + time_left);
        }
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            tokio::time::sleep(time_left).await;
            gate.has_stopped.set(true);
            gate.refuse_queued_calls();
        });
    }
}
