//! Evacuation of the gate's availability zone: no call starts, runs in progress end
//! normally.

use std::rc::Rc;

use crate::gate::Gate;

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
            self.refuse_queued_calls();
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

    /// Takes all waiting calls out of the queue. Dropping a slot grant makes its call send
    /// the refusal.
    pub(super) fn refuse_queued_calls(&self) {
        let waiting = std::mem::take(&mut *self.slot_grants.borrow_mut());
        let now = self.now();
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            for call in waiting.keys() {
                admission.withdraw(now, *call);
            }
        }
        drop(waiting);
        self.publish_status();
    }
}
