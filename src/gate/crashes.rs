//! Notices that the backend server has ended, and runs suspects one at a time.
//!
//! A connection that fails may be cut, reset or closed by a backend server that goes on.
//! The gate therefore opens another: if nothing listens any more, the server has ended,
//! and the calls that ran there are the suspects. A planned stop is no crash.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::backend::{BackendClient, ListenerState};
use crate::error::ErrorKind;
use crate::gate::call::{CallInput, GateCall, InputEffect};
use crate::gate::{Gate, GateRefusal};
use crate::ids::CallId;
use crate::link::messages::CallOpen;
use crate::quarantine::{
    CrashFinding, CrashId, CrashWatch, FingerprintHasher, HeadDigest, RequestFingerprint,
    RequestIdentity, RequestStanding, RunEnd, WatchedRun,
};

/// Time for which the result of a check holds, so that calls which fail together share it.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a second look at a listener that was still open: a process that ends
/// may close its connections first.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(3);
/// Pause before the last look, for which no call waits.
const LAST_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Suspects that wait for their trial at one gate.
const MAX_WAITING_SUSPECTS: usize = 32;

/// Ends of the backend server, and the turns of suspects.
#[derive(Debug)]
pub(super) struct CrashMonitor {
    watch: RefCell<CrashWatch>,
    crash_count: Cell<u64>,
    /// Whether the end of the present backend server is recorded.
    is_end_recorded: Cell<bool>,
    last_check: Cell<Option<Instant>>,
    check_lock: tokio::sync::Mutex<()>,
    trial_turn: std::sync::Arc<Semaphore>,
    waiting_suspects: Cell<usize>,
}

impl Default for CrashMonitor {
    fn default() -> Self {
        Self {
            watch: RefCell::default(),
            crash_count: Cell::new(0),
            is_end_recorded: Cell::new(false),
            last_check: Cell::new(None),
            check_lock: tokio::sync::Mutex::new(()),
            trial_turn: std::sync::Arc::new(Semaphore::new(1)),
            waiting_suspects: Cell::new(0),
        }
    }
}

/// Identity of a call's request, as its body passes the gate.
#[derive(Debug)]
pub(super) struct CallIdentity {
    identity: Option<Rc<RequestIdentity>>,
    hasher: Option<FingerprintHasher>,
}

impl CallIdentity {
    /// Identity as the ingress stated it; nodes of older builds state none.
    pub(super) fn from_open(open: &CallOpen) -> Self {
        let Ok(head) = HeadDigest::try_from(&open.head_digest[..]) else {
            return Self {
                identity: None,
                hasher: None,
            };
        };
        let fingerprint = RequestFingerprint::try_from(&open.fingerprint[..]).ok();
        let hasher = fingerprint.is_none().then(|| FingerprintHasher::new(head));
        let mut call_identity = Self {
            identity: Some(Rc::new(RequestIdentity::new(head, fingerprint))),
            hasher,
        };
        call_identity.update(&open.body, open.is_body_complete);
        call_identity
    }

    /// Adds the next bytes of the request body.
    pub(super) fn update(&mut self, data: &[u8], is_body_complete: bool) {
        let (Some(hasher), Some(identity)) = (&mut self.hasher, &self.identity) else {
            return;
        };
        hasher.update(data);
        if let Some(fingerprint) = hasher.finish(is_body_complete) {
            identity.set_fingerprint(fingerprint);
            self.hasher = None;
        }
    }

    pub(super) fn fingerprint(&self) -> Option<RequestFingerprint> {
        self.identity.as_ref()?.fingerprint()
    }
}

impl Gate {
    /// Records that a call begins to run at the backend server.
    pub(super) fn watch_run(&self, call: CallId, identity: &CallIdentity, is_trial: bool) {
        if let Some(identity) = &identity.identity {
            let identity = Rc::clone(identity);
            let run = WatchedRun { identity, is_trial };
            self.crashes.watch.borrow_mut().start_run(call, run);
        }
    }

    /// Records the end of a run. If its connection failed, checks whether the backend
    /// server has ended, so that the evidence is out before the call is answered.
    pub(super) async fn end_watched_run(
        self: &Rc<Self>,
        client: &Rc<BackendClient>,
        call: CallId,
        identity: &CallIdentity,
        end: RunEnd,
    ) {
        let now = self.now();
        let is_known = self.crashes.watch.borrow_mut().end_run(now, call, end);
        let has_connected = matches!(end, RunEnd::Completed | RunEnd::ConnectionLost);
        if is_known && has_connected {
            // It began after the end that is recorded: there is another start.
            self.crashes.is_end_recorded.set(false);
        }
        match end {
            RunEnd::Completed => {
                if let Some(fingerprint) = identity.fingerprint() {
                    self.quarantine.record_completion(fingerprint);
                }
            }
            RunEnd::ConnectionLost | RunEnd::Unreachable => self.check_backend_end(client).await,
            RunEnd::GivenUp | RunEnd::NotRun => {}
        }
    }

    /// Checks whether the backend server still listens.
    async fn check_backend_end(self: &Rc<Self>, client: &Rc<BackendClient>) {
        let monitor = &self.crashes;
        let _guard = monitor.check_lock.lock().await;
        let is_recent = monitor
            .last_check
            .get()
            .is_some_and(|at| at.elapsed() < CHECK_INTERVAL);
        if is_recent {
            return;
        }
        let mut state = client.check_listener().await;
        if state == ListenerState::Listening {
            tokio::time::sleep(SECOND_CHECK_DELAY).await;
            state = client.check_listener().await;
        }
        monitor.last_check.set(Some(Instant::now()));
        self.record_listener_state(client, state);
        if state == ListenerState::Listening {
            let gate = Rc::clone(self);
            let client = Rc::clone(client);
            ntex::rt::spawn(async move {
                tokio::time::sleep(LAST_CHECK_DELAY).await;
                let state = client.check_listener().await;
                gate.record_listener_state(&client, state);
            });
        }
    }

    fn record_listener_state(&self, client: &Rc<BackendClient>, state: ListenerState) {
        let is_present = self
            .backend_client()
            .is_some_and(|present| Rc::ptr_eq(&present, client));
        match state {
            ListenerState::Listening => self.crashes.is_end_recorded.set(false),
            ListenerState::Closed if is_present => self.record_backend_end(client),
            ListenerState::Closed | ListenerState::Unknown => {}
        }
    }

    fn record_backend_end(&self, client: &BackendClient) {
        if self.crashes.is_end_recorded.replace(true) {
            return;
        }
        let mut watch = self.crashes.watch.borrow_mut();
        if self.is_draining.get() || self.statements.is_leaving() {
            watch.forget();
            return;
        }
        let finding = watch.take_crash(self.now());
        drop(watch);
        self.publish_crash(client, &finding);
    }

    /// Records the crash of a backend server of which only the next start tells.
    pub(super) fn record_unnoticed_end(&self, client: &BackendClient) {
        let was_recorded = self.crashes.is_end_recorded.replace(false);
        let mut watch = self.crashes.watch.borrow_mut();
        let finding = watch.take_unnoticed_crash(self.now());
        watch.forget();
        drop(watch);
        let is_planned = self.is_draining.get() || self.statements.is_leaving();
        if let Some(finding) = finding.filter(|_| !was_recorded && !is_planned) {
            self.publish_crash(client, &finding);
        }
    }

    fn publish_crash(&self, client: &BackendClient, finding: &CrashFinding) {
        if finding.calls.is_empty() {
            return;
        }
        let number = self.crashes.crash_count.get();
        self.crashes.crash_count.set(number + 1);
        let crash = CrashId::new(self.incarnation, number);
        let target = client.target();
        self.quarantine
            .record_crash(crash, &target.id, &target.service, finding);
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
        if gate.crashes.waiting_suspects.get() >= MAX_WAITING_SUSPECTS {
            self.send_refusal(&ErrorKind::Overloaded.into());
            return TrialTurn::Ended;
        }
        let waiting = WaitingSuspect::new(&gate.crashes.waiting_suspects);
        let turn = std::sync::Arc::clone(&gate.crashes.trial_turn).acquire_owned();
        tokio::pin!(turn);
        let permit = loop {
            let deadline = self.deadline();
            tokio::select! {
                biased;
                input = self.next_input() => {
                    let is_cancelled = input.is_none_or(|input| self.is_cancelled_by(input));
                    if is_cancelled {
                        self.send_cancel_reply(true);
                        return TrialTurn::Ended;
                    }
                }
                permit = &mut turn => match permit {
                    Ok(permit) => break permit,
                    Err(_) => {
                        self.send_refusal(&ErrorKind::Internal.into());
                        return TrialTurn::Ended;
                    }
                },
                () = tokio::time::sleep_until(deadline) => {
                    self.send_refusal(&ErrorKind::TimedOut.into());
                    return TrialTurn::Ended;
                }
            }
        };
        drop(waiting);
        match self.gate.quarantine.standing(fingerprint) {
            RequestStanding::Unsuspected => TrialTurn::NotNeeded,
            RequestStanding::Held { .. } => self.refuse_held(fingerprint),
            RequestStanding::Suspect {
                crashes,
                evidence_age,
            } => {
                log::info!(
                    target: "quarantine",
                    call:% = self.id(), fingerprint:%, crashes,
                    evidence_age_ms = evidence_age.as_millis() as u64;
                    "suspect runs in a trial"
                );
                TrialTurn::Granted(permit)
            }
        }
    }

    fn is_cancelled_by(&mut self, input: CallInput) -> bool {
        matches!(self.handle_input(input), InputEffect::Cancelled)
    }

    fn refuse_held(&mut self, fingerprint: RequestFingerprint) -> TrialTurn {
        let standing = self.gate.quarantine.standing(fingerprint);
        if let RequestStanding::Held {
            crashes,
            evidence_age,
            retry_after,
        } = standing
        {
            log::info!(
                target: "quarantine",
                call:% = self.id(), fingerprint:%, crashes,
                evidence_age_ms = evidence_age.as_millis() as u64,
                retry_after_ms = retry_after.as_millis() as u64;
                "held request refused by the gate"
            );
            self.send_refusal(&GateRefusal {
                retry_after,
                ..ErrorKind::Quarantined.into()
            });
        } else {
            // It was cleared at this moment.
            self.send_refusal(&ErrorKind::Overloaded.into());
        }
        TrialTurn::Ended
    }
}
