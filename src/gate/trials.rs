//! Turns of suspects: a gate runs one at a time, so that a crash has one to blame.
//!
//! The load pattern behind this is the calls that a crash has ended and that come again
//! together, all but one of them innocent.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::error::ErrorKind;
use crate::gate::GateRefusal;
use crate::gate::call::{CallInput, GateCall, InputEffect};
use crate::quarantine::{RequestFingerprint, RequestStanding};

/// Suspects that wait for their trial at one gate.
const MAX_WAITING_SUSPECTS: usize = 32;

/// Order of the suspects of a gate.
#[derive(Debug)]
pub(super) struct TrialQueue {
    turn: Arc<Semaphore>,
    waiting_count: Cell<usize>,
}

impl Default for TrialQueue {
    fn default() -> Self {
        Self {
            turn: Arc::new(Semaphore::new(1)),
            waiting_count: Cell::new(0),
        }
    }
}

/// Counts a call as waiting for its trial until it is dropped.
struct WaitingSuspect<'a>(&'a Cell<usize>);

impl<'a> WaitingSuspect<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitingSuspect<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How the wait of a suspect for its trial ended.
pub(super) enum TrialTurn {
    /// The call is no suspect.
    NotNeeded,
    /// No other suspect runs here until the permit is dropped.
    Granted(OwnedSemaphorePermit),
    /// The call was refused or cancelled, and told so.
    Ended,
}

impl GateCall {
    /// Waits until no other suspect runs, if the call's request is a suspect; refuses the
    /// call if its request is held.
    pub(super) async fn take_trial_turn(&mut self) -> TrialTurn {
        let Some(fingerprint) = self.identity.fingerprint() else {
            return TrialTurn::NotNeeded;
        };
        match self.gate.quarantine.standing(fingerprint) {
            RequestStanding::Unsuspected => return TrialTurn::NotNeeded,
            RequestStanding::Held { .. } => return self.refuse_held(fingerprint),
            RequestStanding::Suspect { .. } => {}
        }
        let gate = Rc::clone(&self.gate);
        if gate.trials.waiting_count.get() >= MAX_WAITING_SUSPECTS {
            self.send_refusal(&ErrorKind::Overloaded.into());
            return TrialTurn::Ended;
        }
        let _waiting = WaitingSuspect::new(&gate.trials.waiting_count);
        loop {
            let turn = Arc::clone(&gate.trials.turn).acquire_owned();
            let Some(permit) = self.wait_unless_ended(turn).await else {
                return TrialTurn::Ended;
            };
            let Ok(permit) = permit else {
                self.send_refusal(&ErrorKind::Internal.into());
                return TrialTurn::Ended;
            };
            match self.gate.quarantine.standing(fingerprint) {
                RequestStanding::Unsuspected => return TrialTurn::NotNeeded,
                RequestStanding::Held { .. } => return self.refuse_held(fingerprint),
                RequestStanding::Suspect { trial_in, .. } if !trial_in.is_zero() => {
                    // Others may run meanwhile.
                    drop(permit);
                    let pause = tokio::time::sleep(trial_in);
                    if self.wait_unless_ended(pause).await.is_none() {
                        return TrialTurn::Ended;
                    }
                }
                standing @ RequestStanding::Suspect { .. } => {
                    log::info!(
                        target: "quarantine",
                        call:% = self.id(), fingerprint:%,
                        crashes = standing.crashes(),
                        evidence_age_ms = standing.evidence_age().as_millis() as u64;
                        "suspect runs in a trial"
                    );
                    return TrialTurn::Granted(permit);
                }
            }
        }
    }

    /// Waits while handling inputs; `None` if the call is refused, cancelled or out of time
    /// meanwhile, and told so.
    async fn wait_unless_ended<T>(&mut self, awaited: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(awaited);
        let gate = Rc::clone(&self.gate);
        loop {
            let deadline = self.deadline();
            tokio::select! {
                biased;
                () = gate.evacuated() => {
                    self.send_refusal(&ErrorKind::ZoneEvacuated.into());
                    return None;
                }
                () = gate.drained() => {
                    self.send_refusal(&ErrorKind::Draining.into());
                    return None;
                }
                input = self.next_input() => {
                    if input.is_none_or(|input| self.is_cancelled_by(input)) {
                        self.send_cancel_reply(true);
                        return None;
                    }
                }
                result = &mut awaited => return Some(result),
                () = tokio::time::sleep_until(deadline) => {
                    self.send_refusal(&ErrorKind::TimedOut.into());
                    return None;
                }
            }
        }
    }

    fn is_cancelled_by(&mut self, input: CallInput) -> bool {
        matches!(self.handle_input(input), InputEffect::Cancelled)
    }

    fn refuse_held(&mut self, fingerprint: RequestFingerprint) -> TrialTurn {
        let standing = self.gate.quarantine.standing(fingerprint);
        let retry_after = standing.retry_after();
        log::info!(
            target: "quarantine",
            call:% = self.id(), fingerprint:%,
            standing = standing.name(),
            crashes = standing.crashes(),
            evidence_age_ms = standing.evidence_age().as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "suspected request refused by the gate"
        );
        self.send_refusal(&GateRefusal {
            retry_after,
            ..ErrorKind::Quarantined.into()
        });
        TrialTurn::Ended
    }
}
