//! Statements of the backend server about itself: the limit on its requests, and that
//! it leaves.
//!
//! A backend server that leaves gets no further call: queued calls are refused, so that
//! they are offered elsewhere, and the ingresses are told at once. What it said holds
//! until its next start, as a withdrawal does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::backend::{BackendClient, BackendExchange};
use crate::error::ErrorKind;
use crate::gate::Gate;
use crate::gate::succession::QueueEnd;
use crate::ids::BackendKey;
use crate::link::messages::{KnownBackendStatement, LinkHello, LinkMessage, LinkPing};
use crate::rate_limit::{
    BackendStatement, RateChange, RateReading, RateStatements, ResponseTime, StartRate,
    StatementSource,
};

/// Time for which a backend server that doesn't state its start is taken to leave.
const UNKNOWN_START_MEMORY: Duration = Duration::from_secs(60);
/// Statements that ingresses reported before their backend server announced itself.
const MAX_REPORTED: usize = 64;

/// What the gate knows of its backend server's statements.
#[derive(Debug, Default)]
pub(super) struct BackendStatements {
    rate: RefCell<RateStatements>,
    /// Time since which the backend server is known to leave.
    leaving_since: Cell<Option<Duration>>,
    last_unreadable: RefCell<String>,
    /// Statements that ingresses knew when they opened their links.
    reported: RefCell<BTreeMap<BackendKey, KnownBackendStatement>>,
}

impl BackendStatements {
    /// Limit on the backend server's requests.
    pub(super) fn rate_limit(&self) -> Option<StartRate> {
        self.rate.borrow().rate()
    }

    /// Whether the backend server said that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }
}

impl Gate {
    /// Present start of the backend server, if there is a statement of it to remember.
    pub(super) fn stated_backend(&self) -> Option<BackendKey> {
        let client = self.backend_client()?;
        let has_rate = self.effective_start_rate().is_some();
        (has_rate || self.statements.is_leaving()).then_some(client.target().key)
    }

    /// Applies what the exchange with the backend server says about it.
    pub(super) fn record_exchange(
        self: &Rc<Self>,
        client: &Rc<BackendClient>,
        sent_at: Duration,
        exchange: &BackendExchange,
    ) {
        if exchange.is_resent {
            self.record_extra_request();
        }
        if let Some(statement) = &exchange.statement {
            self.record_statement(client, sent_at, statement, StatementSource::Response);
        }
    }

    /// Applies a statement, unless the backend server has been replaced since the
    /// request was sent.
    pub(super) fn record_statement(
        self: &Rc<Self>,
        client: &Rc<BackendClient>,
        sent_at: Duration,
        statement: &BackendStatement,
        source: StatementSource,
    ) {
        if !self.is_present_start(client) {
            return;
        }
        if let RateReading::Unreadable(text) = &statement.rate {
            self.record_unreadable(text);
        }
        let times = ResponseTime {
            sent_at,
            read_at: self.now(),
        };
        let mut rate = self.statements.rate.borrow_mut();
        let change = rate.record_response(times, &statement.rate, source);
        drop(rate);
        self.apply_rate_change(change, source);
        if let Some(left) = statement.warm_up_left {
            self.record_warm_up_reading(times, left, &source.to_string());
        }
        if statement.is_leaving {
            self.start_leaving(source);
        }
    }

    /// Applies the limit of the backend server's last announcement.
    pub(super) fn record_announced_rate(self: &Rc<Self>, announced: Option<StartRate>) {
        let mut rate = self.statements.rate.borrow_mut();
        let change = rate.record_announcement(self.now(), announced);
        drop(rate);
        self.apply_rate_change(change, StatementSource::Announcement);
    }

    /// Applies what an ingress knows of the backend server when it opens a link.
    pub(super) fn record_known_statement(self: &Rc<Self>, hello: &LinkHello) {
        let Some(known) = hello.known else {
            return;
        };
        let backend = BackendKey::from(known.backend);
        let mut reported = self.statements.reported.borrow_mut();
        if reported.len() >= MAX_REPORTED && !reported.contains_key(&backend) {
            reported.pop_first();
        }
        reported.insert(backend, known);
        drop(reported);
        let current = self.backend_client().map(|client| client.target().key);
        if current == Some(backend) {
            self.adopt_known_statement(backend);
            self.publish_status();
        }
    }

    /// Adopts what ingresses know of a backend server, for a gate that has restarted.
    pub(super) fn adopt_known_statement(self: &Rc<Self>, backend: BackendKey) {
        let known = self.statements.reported.borrow_mut().remove(&backend);
        let Some(known) = known else {
            return;
        };
        let known_rate = known
            .start_rate
            .and_then(|per_second| StartRate::try_from(per_second).ok());
        if let Some(known_rate) = known_rate {
            let mut rate = self.statements.rate.borrow_mut();
            let change = rate.record_from_ingress(self.now(), known_rate);
            drop(rate);
            self.apply_rate_change(change, StatementSource::Ingress);
        }
        if known.is_leaving {
            self.start_leaving(StatementSource::Ingress);
        }
    }

    /// Forgets the statements of a backend server that withdrew or was replaced.
    pub(super) fn forget_statements(self: &Rc<Self>) {
        let old = self.statements.rate.take().rate();
        self.statements.leaving_since.set(None);
        if let Some(old) = old {
            log::info!(
                target: "admission", rate_limit = old.per_second();
                "limit of an earlier backend server dropped"
            );
        }
        self.refresh_start_rate();
    }

    /// Counts a request that was sent without having been admitted.
    pub(super) fn record_extra_request(&self) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.record_extra_request(self.now());
        }
    }

    /// Whether a load poll may be sent: it takes one request of the named rate.
    pub(super) fn may_poll_under_limit(&self) -> bool {
        let mut admission = self.admission.borrow_mut();
        let Some(admission) = admission.as_mut() else {
            return true;
        };
        let now = self.now();
        let is_free = admission.load(now).next_start.is_zero();
        if is_free {
            admission.record_extra_request(now);
        }
        is_free
    }

    fn apply_rate_change(self: &Rc<Self>, change: Option<RateChange>, source: StatementSource) {
        let Some(RateChange { old, new, old_age }) = change else {
            return;
        };
        let kind = if new.is_some() {
            "limit-named"
        } else {
            "limit-ended"
        };
        self.metrics.count_statement(kind);
        log::info!(
            target: "admission",
            rate_limit = new.map(StartRate::per_second),
            old_rate_limit = old.map(StartRate::per_second),
            old_age_ms = old_age.map(|age| age.as_millis() as u64),
            source:%;
            "limit of the backend server changed"
        );
        self.refresh_start_rate();
        self.send_load_to_ingresses();
    }

    /// Sends the load to all ingresses: after refusals at a limit they may pause for
    /// longer than the limit lasts.
    pub(super) fn send_load_to_ingresses(&self) {
        let load = self.current_load();
        for sender in self.link_senders.borrow().values() {
            sender.send(LinkMessage::Pong(LinkPing {
                load: Some(load),
                zone: None,
            }));
        }
    }

    /// Rate of starts that must be in force: the lower of the rate that the backend server
    /// named and that of a cold one.
    pub(super) fn effective_start_rate(&self) -> Option<StartRate> {
        let named = self.statements.rate_limit();
        match (named, self.warm_up.start_rate(self.now())) {
            (Some(named), Some(cold)) if cold < named => Some(cold),
            (named, cold) => named.or(cold),
        }
    }

    /// Rate of starts that the admission queue keeps.
    pub(super) fn applied_start_rate(&self) -> Option<StartRate> {
        self.admission.borrow().as_ref()?.start_rate()
    }

    /// Applies the rate of starts that must be in force, if it has changed.
    pub(super) fn refresh_start_rate(self: &Rc<Self>) {
        let named = self.statements.rate_limit();
        self.metrics
            .set_rate_limit(named.map(StartRate::per_second));
        let rate = self.effective_start_rate();
        if rate.is_some() && rate == self.applied_start_rate() {
            return;
        }
        let now = self.now();
        let started_calls = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.set_start_rate(now, rate),
            None => Vec::new(),
        };
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.schedule_load_poll();
        self.schedule_turns();
        self.publish_status();
    }

    /// Lets a backend server that doesn't state its start be tried again after a while:
    /// it may have restarted unnoticed.
    pub(super) fn expire_leaving(self: &Rc<Self>) {
        let since = self.statements.leaving_since.get();
        let is_old =
            since.is_some_and(|since| self.now().saturating_sub(since) >= UNKNOWN_START_MEMORY);
        let may_have_restarted = self
            .backend_client()
            .is_some_and(|client| !client.target().states_its_start);
        if is_old && may_have_restarted {
            log::info!(target: "admission", "backend server that said it leaves is tried again");
            self.statements.leaving_since.set(None);
            self.publish_status();
        }
    }

    fn record_unreadable(&self, text: &str) {
        self.metrics.count_statement("unreadable");
        let mut last_unreadable = self.statements.last_unreadable.borrow_mut();
        if *last_unreadable != text {
            log::warn!(
                target: "admission", value = text;
                "limit that the backend server named can't be read; the last one stays in force"
            );
            *last_unreadable = text.to_string();
        }
    }

    fn start_leaving(self: &Rc<Self>, source: StatementSource) {
        if self
            .statements
            .leaving_since
            .replace(Some(self.now()))
            .is_some()
        {
            return;
        }
        self.metrics.count_statement("leaving");
        log::info!(target: "admission", source:%; "backend server says that it leaves");
        self.end_queue(QueueEnd::Refused(ErrorKind::Draining));
        for sender in self.link_senders.borrow().values() {
            sender.send(LinkMessage::Leaving(LinkPing {
                load: Some(self.current_load()),
                zone: None,
            }));
        }
        self.publish_status();
    }
}
