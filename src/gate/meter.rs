//! Load polls: requests for the load that the backend server states of its VM.
//!
//! Most load readings arrive with responses. When a queued call waits for a
//! recent reading and there is none, the gate requests the backend server's
//! health path, which responds at once. A new backend server is polled before its
//! first call, since without any reading the gate would take it for one that
//! states no load. Polls have a budget per second. Without budget or response, the
//! last reading stays in use for a while.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::backend::{BackendClient, LoadPollResponse};
use crate::gate::Gate;
use crate::rate_limit::StatementSource;
use crate::routing::ProbeBucket;

/// Timeout of a poll on the same VM, which usually takes 1 ms.
const LOAD_POLL_TIMEOUT: Duration = Duration::from_millis(40);

/// Budget and state of the load polls.
#[derive(Debug)]
pub(super) struct LoadPoller {
    max_polls_per_second: f64,
    budget: RefCell<ProbeBucket>,
    is_polling: Cell<bool>,
}

impl LoadPoller {
    /// Creates a poller that makes at most `max_polls_per_second` requests.
    pub(super) fn new(max_polls_per_second: f64) -> Self {
        Self {
            max_polls_per_second,
            budget: RefCell::new(ProbeBucket::new(Duration::ZERO)),
            is_polling: Cell::new(false),
        }
    }
}

impl Gate {
    /// Polls the load as soon as a poll is due, if a queued call waits for
    /// a reading.
    pub(super) fn schedule_load_poll(self: &Rc<Self>) {
        if self.load_poller.is_polling.get() || self.next_load_poll_at().is_none() {
            return;
        }
        self.load_poller.is_polling.set(true);
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            while let Some(due_at) = gate.next_load_poll_at() {
                tokio::time::sleep(due_at.saturating_sub(gate.now())).await;
                // A response may have brought a load reading in the meantime.
                if gate
                    .next_load_poll_at()
                    .is_some_and(|due_at| due_at <= gate.now())
                {
                    gate.poll_load().await;
                }
            }
            gate.load_poller.is_polling.set(false);
        });
    }

    /// Takes the first reading of a new backend server, which may also say that it
    /// leaves or name a limit, as soon as the budget allows it.
    pub(super) fn spawn_first_load_poll(self: &Rc<Self>) {
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            let polls_per_second = gate.load_poller.max_polls_per_second;
            let Ok(pause) = Duration::try_from_secs_f64(1.0 / polls_per_second) else {
                gate.proceed_without_load();
                return;
            };
            // A status check is a request as well, which an evacuated zone gets none of.
            while (gate.is_evacuated.get() || !gate.poll_load().await)
                && gate.backend_client().is_some()
            {
                tokio::time::sleep(pause).await;
            }
        });
    }

    fn next_load_poll_at(&self) -> Option<Duration> {
        if self.is_evacuated.get() {
            return None;
        }
        let admission = self.admission.borrow();
        admission.as_ref()?.next_reading_at(self.now())
    }

    /// Polls the load, if the budget allows it; returns whether it did.
    async fn poll_load(self: &Rc<Self>) -> bool {
        let client = self.backend_client();
        let has_budget = (self.load_poller.budget.borrow_mut())
            .try_take(self.now(), self.load_poller.max_polls_per_second);
        let polled_client = client.filter(|_| has_budget && self.may_poll_under_limit());
        let response = match polled_client {
            Some(client) => self.fetch_load(&client).await,
            None => None,
        };
        match response.and_then(|response| response.load) {
            Some(_) => self.metrics.count_load_poll("taken"),
            None => {
                self.metrics
                    .count_load_poll(if has_budget { "failed" } else { "no-budget" });
                self.proceed_without_load();
            }
        }
        has_budget
    }

    /// Requests the health path and applies what the response says; `None` without one.
    pub(super) async fn fetch_load(
        self: &Rc<Self>,
        client: &Rc<BackendClient>,
    ) -> Option<LoadPollResponse> {
        let sent_at = self.now();
        self.record_sent_request();
        let response = tokio::time::timeout(LOAD_POLL_TIMEOUT, client.fetch_load()).await;
        let response = response.ok().flatten()?;
        if let Some(statement) = &response.statement {
            self.record_statement(client, sent_at, statement, StatementSource::LoadPoll);
        }
        if let Some(load) = response.load {
            self.record_backend_load(client, load);
        }
        Some(response)
    }

    fn proceed_without_load(self: &Rc<Self>) {
        let now = self.now();
        let started_calls = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.start_without_reading(now),
            None => Vec::new(),
        };
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
    }
}
