//! Limit on the requests to a backend server that is cold after a start.
//!
//! The limit joins the rate that the backend server names itself: the lower of the two
//! spaces the starts and is reported to the ingresses. Timers and queries of the health
//! path follow [`WarmUpState`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::admission::AdmissionDecision;
use crate::backend::{BackendClient, ListenerState};
use crate::gate::Gate;
use crate::ids::BackendKey;
use crate::options::WarmUpTolerance;
use crate::rate_limit::{ResponseTime, StartRate};
use crate::routes::WarmUpSettings;
use crate::warm_up::{ColdLimit, WarmUpState, Warmth, WarmthChange};

/// Queries of the health path that may be sent ahead of their turn, within the reserve of
/// [`ColdLimit`].
const MAX_READINGS_AHEAD: u32 = 1;
/// Pause before the next attempt of a query that had to wait for its turn.
const READING_TURN_PAUSE: Duration = Duration::from_millis(10);
/// Slowdown of runs at a cold backend server that states no load.
const COLD_SLOWDOWN: f64 = 2.0;

/// Warm-up state of the backend server and its timer.
#[derive(Debug)]
pub(super) struct WarmUpControl {
    tolerance: WarmUpTolerance,
    state: RefCell<WarmUpState>,
    is_timer_running: Cell<bool>,
    /// Whether ingresses know of the cold time, and must be told of its end.
    has_told_ingresses: Cell<bool>,
    /// The next step may have come earlier than the timer waits for.
    state_changed: Notify,
}

impl WarmUpControl {
    pub(super) fn new(tolerance: WarmUpTolerance) -> Self {
        Self {
            tolerance,
            state: RefCell::default(),
            is_timer_running: Cell::new(false),
            has_told_ingresses: Cell::new(false),
            state_changed: Notify::new(),
        }
    }

    /// Rate at which a cold backend server gets requests; `None` if it is warm.
    pub(super) fn start_rate(&self, now: Duration) -> Option<StartRate> {
        self.state.borrow().start_rate(now)
    }
}

impl Gate {
    /// Makes the warm-up state unknown, which counts as cold until the backend server
    /// states it again: it may have been restarted or idle.
    pub fn forget_warm_state(self: &Rc<Self>) {
        let change = self.warm_up.state.borrow_mut().forget(self.now());
        self.apply_warmth_change(change, "forgotten");
    }

    /// Applies the settings of the service and a heartbeat of the backend server.
    pub(super) fn record_warm_up_heartbeat(
        self: &Rc<Self>,
        settings: Option<WarmUpSettings>,
        backend: BackendKey,
        left: Duration,
    ) {
        let tolerance = self.warm_up.tolerance;
        let limit = settings
            .map(|settings| ColdLimit::new(settings.rate, tolerance.overage, tolerance.slack));
        let is_readable = self
            .backend_client()
            .is_some_and(|client| client.states_warm_up());
        let mut state = self.warm_up.state.borrow_mut();
        let is_new_limit = state.limit() != limit;
        state.configure(self.now(), limit, is_readable);
        let change = state.record_heartbeat(self.now(), backend, left);
        drop(state);
        self.apply_warmth_change(change, "heartbeat");
        if is_new_limit {
            self.refresh_start_rate();
        }
        self.apply_warm_up_end();
        self.schedule_warm_up_step();
    }

    /// Applies the warm-up time that a response states.
    pub(super) fn record_warm_up_reading(
        self: &Rc<Self>,
        times: ResponseTime,
        left: Duration,
        source: &str,
    ) {
        let change = self.warm_up.state.borrow_mut().record_reading(times, left);
        self.apply_warmth_change(change, source);
    }

    /// Makes the state unknown when a connection to the backend server is lost.
    pub(super) fn watch_connections(self: &Rc<Self>, client: &BackendClient) {
        let gate = Rc::downgrade(self);
        client.set_on_connection_lost(move |listener| {
            let Some(gate) = gate.upgrade() else {
                return;
            };
            let (now, mut state) = (gate.now(), gate.warm_up.state.borrow_mut());
            let change = match listener {
                ListenerState::Closed => state.record_end(now),
                ListenerState::Listening | ListenerState::Unknown => state.suspect(now),
            };
            drop(state);
            gate.apply_warmth_change(change, "connection-lost");
            gate.schedule_warm_up_step();
        });
    }

    /// Makes sure that the backend server has not been restarted, after a run that failed.
    pub(super) fn suspect_restart(self: &Rc<Self>) {
        let change = self.warm_up.state.borrow_mut().suspect(self.now());
        self.apply_warmth_change(change, "connection-lost");
        self.schedule_warm_up_step();
    }

    /// Records that a request is sent to the backend server.
    pub(super) fn record_sent_request(self: &Rc<Self>) {
        let change = self.warm_up.state.borrow_mut().record_start(self.now());
        self.apply_warmth_change(change, "connection-lost");
        self.schedule_warm_up_step();
    }

    /// Counts a decision that the cold limit may have caused.
    pub(super) fn count_cold_decision(&self, decision: &AdmissionDecision) {
        if !self.warm_up.state.borrow().is_cold(self.now()) {
            return;
        }
        match decision {
            AdmissionDecision::Start => return,
            AdmissionDecision::Queued { .. } => self.metrics.count_cold_call("delayed"),
            AdmissionDecision::Refused { .. } => self.metrics.count_cold_call("refused"),
        }
        self.warm_up.has_told_ingresses.set(true);
    }

    fn apply_warmth_change(self: &Rc<Self>, change: Option<WarmthChange>, source: &str) {
        let Some(change) = change else {
            return;
        };
        let now = self.now();
        let state = self.warm_up.state.borrow();
        let (limit, reading_age) = (state.limit(), state.reading_age(now));
        let cold_left = state
            .cold_ends_at(now)
            .map(|ends_at| ends_at.saturating_sub(now));
        drop(state);
        let Some(limit) = limit else {
            return;
        };
        log::info!(
            target: "admission",
            old:% = change.old, new:% = change.new, source,
            cold_left_ms = cold_left.map(|left| left.as_millis() as u64),
            reading_age_ms = reading_age.map(|age| age.as_millis() as u64),
            unread_starts = change.unread_starts,
            start_rate = limit.start_rate().per_second();
            "warm-up state of the backend server changed"
        );
        self.refresh_start_rate();
        if change.unread_starts > 0 {
            self.charge_unread_starts(change.unread_starts, limit);
        }
        self.apply_warm_up_end();
        match change.new {
            Warmth::Cold { .. } => {
                self.warm_up.has_told_ingresses.set(true);
                self.send_load_to_ingresses();
            }
            Warmth::Warm => self.tell_end_of_cold_time(),
            // Known again after the next query, within some milliseconds.
            Warmth::Unknown { .. } => {}
        }
        self.schedule_warm_up_step();
    }

    /// Tells the ingresses that the limit has ended: they offer a limited upstream no more
    /// than its rate.
    fn tell_end_of_cold_time(&self) {
        if self.warm_up.has_told_ingresses.replace(false) {
            self.send_load_to_ingresses();
        }
    }

    /// Counts the requests that may have reached the backend server after it had become
    /// cold, at most those of one second: after that they no longer matter.
    fn charge_unread_starts(self: &Rc<Self>, unread_starts: u32, limit: ColdLimit) {
        let starts_per_second = limit.start_rate().per_second().ceil() as u32;
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            for _ in 0..unread_starts.min(starts_per_second) {
                admission.record_extra_request(self.now());
            }
        }
        self.schedule_turns();
    }

    /// Applies the end of the cold time to the estimates of run times.
    fn apply_warm_up_end(&self) {
        let now = self.now();
        let state = self.warm_up.state.borrow();
        let is_limited = state.limit().is_some();
        let (is_cold, cold_ends_at) = (state.is_cold(now), state.cold_ends_at(now));
        drop(state);
        self.metrics.set_cold(is_cold);
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_assumed_slowdown(if is_cold { COLD_SLOWDOWN } else { 1.0 });
            if is_limited {
                admission.set_warm_up_end(cold_ends_at.unwrap_or_default());
            }
        }
    }

    /// Time of the next query of the health path, or of the end of the cold time.
    fn next_warm_up_step_at(&self) -> Option<Duration> {
        let now = self.now();
        let state = self.warm_up.state.borrow();
        state.limit()?;
        self.backend_client()?;
        let reading_at = state.next_reading_at(now);
        let ends_at = state.cold_ends_at(now);
        drop(state);
        let is_outdated = self.effective_start_rate() != self.applied_start_rate();
        let outdated_at = is_outdated.then_some(now);
        reading_at
            .into_iter()
            .chain(ends_at)
            .chain(outdated_at)
            .min()
    }

    /// Queries the health path and ends the limit when they are due.
    fn schedule_warm_up_step(self: &Rc<Self>) {
        if self.next_warm_up_step_at().is_none() {
            return;
        }
        if self.warm_up.is_timer_running.replace(true) {
            self.warm_up.state_changed.notify_one();
            return;
        }
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            while let Some(step_at) = gate.next_warm_up_step_at() {
                let wait = step_at.saturating_sub(gate.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => gate.take_warm_up_step().await,
                    () = gate.warm_up.state_changed.notified() => {}
                }
            }
            gate.warm_up.is_timer_running.set(false);
        });
    }

    async fn take_warm_up_step(self: &Rc<Self>) {
        if self.effective_start_rate() != self.applied_start_rate() {
            log::info!(target: "admission", "cold time of the backend server ended");
            self.refresh_start_rate();
            self.apply_warm_up_end();
            self.tell_end_of_cold_time();
        }
        if self.is_reading_due() {
            self.read_warm_up().await;
        }
    }

    fn is_reading_due(&self) -> bool {
        let now = self.now();
        let reading_at = self.warm_up.state.borrow().next_reading_at(now);
        reading_at.is_some_and(|due_at| due_at <= now)
    }

    /// Queries the health path, ahead of the queued calls.
    async fn read_warm_up(self: &Rc<Self>) {
        let Some(client) = self.backend_client() else {
            return;
        };
        let may_send = (self.admission.borrow().as_ref())
            .is_none_or(|admission| admission.may_send_ahead(self.now(), MAX_READINGS_AHEAD));
        if !may_send {
            tokio::time::sleep(READING_TURN_PAUSE).await;
            return;
        }
        self.record_extra_request();
        let sent_at = self.now();
        // Responses without a usable statement are failures too.
        let _ = self.fetch_load(&client).await;
        let now = self.now();
        let mut state = self.warm_up.state.borrow_mut();
        let mut change = None;
        let result = if !state.has_reading_since(sent_at) {
            change = state.record_failed_reading(now);
            "failed"
        } else if state.is_cold(now) {
            "cold"
        } else {
            "warm"
        };
        drop(state);
        self.apply_warmth_change(change, "load-poll");
        self.metrics.count_warm_up_reading(result);
    }
}

#[cfg(test)]
mod tests;
