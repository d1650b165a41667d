//! Timer of the queued calls that wait for their turn at the rate that the backend
//! server named.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::gate::Gate;

/// State of the timer task, which runs while a queued call waits for its turn.
#[derive(Debug, Default)]
pub(super) struct TurnTimer {
    is_running: Cell<bool>,
    /// The next turn may have come earlier than the task waits for.
    turns_changed: Notify,
}

impl Gate {
    /// Starts queued calls in their turn for as long as any waits for the named rate.
    pub(super) fn schedule_turns(self: &Rc<Self>) {
        if self.next_turn_at().is_none() {
            return;
        }
        if self.turn_timer.is_running.replace(true) {
            self.turn_timer.turns_changed.notify_one();
            return;
        }
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            while let Some(turn_at) = gate.next_turn_at() {
                let wait = turn_at.saturating_sub(gate.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => gate.take_turns(),
                    () = gate.turn_timer.turns_changed.notified() => {}
                }
            }
            gate.turn_timer.is_running.set(false);
        });
    }

    fn next_turn_at(&self) -> Option<Duration> {
        let admission = self.admission.borrow();
        admission.as_ref()?.next_turn_at(self.now())
    }

    fn take_turns(self: &Rc<Self>) {
        let now = self.now();
        let turns = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.take_turns(now),
            None => return,
        };
        let (expired_calls, started_calls) = turns;
        for call in expired_calls {
            self.slot_grants.borrow_mut().remove(&call);
        }
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.publish_status();
    }
}
