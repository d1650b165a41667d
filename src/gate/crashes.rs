//! Notices that the backend server has ended, and which calls ran there.
//!
//! A connection that fails may be cut, reset or closed by a backend server that goes on.
//! The gate therefore opens another: if nothing listens any more, the server has ended,
//! and the calls that ran there are the suspects. A planned stop is no crash.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::backend::{BackendClient, ListenerState};
use crate::gate::Gate;
use crate::gate::identity::CallIdentity;
use crate::ids::CallId;
use crate::quarantine::{CrashFinding, CrashId, CrashWatch, RunEnd, WatchedRun};

/// Pause before a second look at a listener that was still open: a process that ends
/// may close its connections first.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(3);
/// Pause before the last look, for which no call waits.
const LAST_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Runs at the backend server, and its ends.
#[derive(Debug, Default)]
pub(super) struct CrashMonitor {
    watch: RefCell<CrashWatch>,
    crash_count: Cell<u64>,
    /// Whether the end of the present backend server is recorded.
    is_end_recorded: Cell<bool>,
    last_check_began: Cell<Option<Instant>>,
    is_last_look_due: Cell<bool>,
    check_lock: Mutex<()>,
}

impl Gate {
    /// Records that a call begins to run at the backend server.
    pub(super) fn watch_run(&self, call: CallId, identity: &CallIdentity, is_trial: bool) {
        if let Some(identity) = identity.shared() {
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
            RunEnd::ConnectionLost | RunEnd::Unreachable => {
                self.suspect_restart();
                self.check_backend_end(client).await;
            }
            RunEnd::GivenUp | RunEnd::NotRun => {}
        }
    }

    /// Checks whether the backend server still listens. Calls that fail together share
    /// one check.
    async fn check_backend_end(self: &Rc<Self>, client: &Rc<BackendClient>) {
        let lost_at = Instant::now();
        let monitor = &self.crashes;
        let _guard = monitor.check_lock.lock().await;
        let is_checked = monitor
            .last_check_began
            .get()
            .is_some_and(|began_at| began_at > lost_at);
        if is_checked {
            return;
        }
        monitor.last_check_began.set(Some(Instant::now()));
        let mut state = client.check_listener().await;
        if state == ListenerState::Listening {
            tokio::time::sleep(SECOND_CHECK_DELAY).await;
            state = client.check_listener().await;
        }
        self.record_listener_state(client, state);
        if state == ListenerState::Listening && !monitor.is_last_look_due.replace(true) {
            let gate = Rc::clone(self);
            let client = Rc::clone(client);
            ntex::rt::spawn(async move {
                tokio::time::sleep(LAST_CHECK_DELAY).await;
                let state = client.check_listener().await;
                gate.crashes.is_last_look_due.set(false);
                gate.record_listener_state(&client, state);
            });
        }
    }

    fn record_listener_state(&self, client: &Rc<BackendClient>, state: ListenerState) {
        let is_present = self.is_present_start(client);
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
