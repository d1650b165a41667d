//! Evacuation of the gate's availability zone: no call starts, runs in progress end
//! normally.

use std::rc::Rc;

use crate::error::ErrorKind;
use crate::gate::Gate;
use crate::gate::succession::QueueEnd;

impl Gate {
    /// Refuses new and queued calls from now on, or admits calls again.
    pub(super) fn set_evacuated(self: &Rc<Self>, is_evacuated: bool) {
        if self.is_evacuated.replace(is_evacuated) == is_evacuated {
            return;
        }
        let load = self.current_load();
        log::info!(
            target: "admission",
            is_evacuated, in_flight = load.in_flight, queued = load.queued;
            "evacuation of the own zone changed"
        );
        if is_evacuated {
            self.end_queue(QueueEnd::Refused(ErrorKind::ZoneEvacuated));
            self.evacuation_began.notify_waiters();
        } else {
            // The backend server has had no requests and is usually cold.
            self.forget_warm_state();
        }
    }

    /// Waits until the zone is evacuated.
    pub(super) async fn evacuated(&self) {
        while !self.is_evacuated.get() {
            self.evacuation_began.notified().await;
        }
    }
}
