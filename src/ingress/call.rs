//! One caller's request, over as many attempts as it takes.

mod choice;
mod offer;
mod record;
mod second_copy;
mod share;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{CallId, NodeId};
use crate::ingress::answer::{CallAnswer, CallFailure};
use crate::ingress::attempt::{AttemptEnd, FIRST_SERVER_ERROR};
use crate::ingress::body::{BodyPieces, RequestBody};
use crate::ingress::placing::PlacementSearch;
use crate::ingress::request::RequestFacts;
use crate::ingress::returns::CallerTry;
use crate::ingress::{IngressWorker, lock};
use crate::ledger::attempt::CallHistory;
use crate::retry::{AttemptFailure, CallFacts, RetryDecision};
use crate::routing::RouteChoice;

/// `Retry-After` of a call for which there is no upstream at all.
const UNPLACED_RETRY: Duration = Duration::from_secs(1);

/// Part of its target latency that a call waits at a node that has just started.
const LEARNING_SHARE: u32 = 2;

/// A call with the gate that it is offered to.
struct PlacedCall {
    choice: RouteChoice,
    ask_percent: u32,
}

/// Time left until the target latency of a caller that has come back.
fn first_target(worker: &IngressWorker, facts: &RequestFacts) -> Option<Duration> {
    let now = worker.shared.now();
    let found = CallerTry {
        route: &facts.class(),
        arrived_at: now,
        time_left: facts.stated_timeout?,
    };
    let target_at = lock(&worker.shared.returns).take_return(found)?;
    Some(target_at.saturating_sub(now))
}

/// Drives one call.
pub struct CallDriver {
    worker: Rc<IngressWorker>,
    facts: RequestFacts,
    pieces: Option<BodyPieces>,
    id: CallId,
    started: Instant,
    deadline: Instant,
    /// Moment of the target latency, which counts from the caller's first try.
    target_at: Instant,
    tried: BTreeSet<NodeId>,
    placements: u32,
    free_refusals: u32,
    last_end: Option<AttemptEnd>,
    history: CallHistory,
    search: PlacementSearch,
}

impl CallDriver {
    /// Call whose request arrived at `started`.
    pub fn new(
        worker: Rc<IngressWorker>,
        facts: RequestFacts,
        pieces: Option<BodyPieces>,
        started: Instant,
    ) -> Self {
        let id = CallId {
            ingress: worker.shared.incarnation.get(),
            sequence: worker.shared.next_sequence(),
        };
        let search = PlacementSearch::new(worker.shared.asks);
        let target_left = first_target(&worker, &facts).unwrap_or(facts.target_latency);
        Self {
            started,
            target_at: started + target_left,
            deadline: started + facts.timeout,
            worker,
            facts,
            pieces,
            id,
            tried: BTreeSet::new(),
            placements: 0,
            free_refusals: 0,
            last_end: None,
            history: CallHistory::default(),
            search,
        }
    }

    /// Runs the call to its one answer.
    ///
    /// # Errors
    ///
    /// The failure that the caller is told.
    pub async fn run(mut self) -> Result<CallAnswer, CallFailure> {
        let result = self.run_attempts().await;
        if result.is_err() {
            self.note_refused();
        }
        self.log_end(&result);
        result
    }

    async fn run_attempts(&mut self) -> Result<CallAnswer, CallFailure> {
        let mut body = self.read_first().await?;
        let _share = self.enter_share()?;
        let service = &self.facts.service;
        lock(&self.worker.shared.retries).on_first_attempt(service);
        loop {
            let choice = match self.place() {
                Ok(choice) => choice,
                Err(end) if self.may_learn(end) => {
                    self.wait_for_upstreams().await;
                    continue;
                }
                Err(end) => return Err(self.give_up(end)),
            };
            match self.try_once(choice, &mut body).await {
                Ok(answer) if !self.wants_other(&answer) => return Ok(answer),
                Ok(answer) => {
                    let end = AttemptEnd::backend_failed();
                    if self.decide(end, &body).is_err() {
                        // A failed answer is better than none.
                        return Ok(answer);
                    }
                }
                Err(end) => self.decide(end, &body)?,
            }
        }
    }

    /// Whether an upstream may become known soon, as the node has just started.
    fn may_learn(&self, end: AttemptEnd) -> bool {
        let is_missing = end.failure == AttemptFailure::NotRun(ErrorKind::NoUpstream);
        let is_first = self.tried.is_empty();
        is_missing && is_first && !self.learning_left().is_zero()
    }

    /// Time for which the call may wait for an upstream to become known: it must
    /// still be able to meet its target.
    fn learning_left(&self) -> Duration {
        let waited = self.started.elapsed();
        let limit = self.facts.target_latency / LEARNING_SHARE;
        limit
            .saturating_sub(waited)
            .min(self.worker.shared.start_left())
    }

    async fn wait_for_upstreams(&mut self) {
        let limit = self.learning_left();
        self.worker.shared.wait_for_table(limit).await;
        self.search = PlacementSearch::new(self.worker.shared.asks);
    }

    /// Failure of a call that is placed nowhere any more.
    fn give_up(&self, end: AttemptEnd) -> CallFailure {
        self.earlier_failure(end).unwrap_or(CallFailure {
            outcome: self.history.outcome(),
            retry_after: end.retry_after.unwrap_or(UNPLACED_RETRY),
            ..self.failure(end.failure.kind())
        })
    }

    /// Failure to tell when there is no upstream left to try: that of the
    /// attempt before, which says more than that none is left.
    fn earlier_failure(&self, end: AttemptEnd) -> Option<CallFailure> {
        let is_no_upstream = end.failure == AttemptFailure::NotRun(ErrorKind::NoUpstream);
        let earlier = self.last_end.filter(|_| is_no_upstream)?;
        let failure = self.failure(earlier.failure.kind());
        Some(CallFailure {
            outcome: self.history.outcome(),
            retry_after: earlier.retry_after.unwrap_or(failure.retry_after),
            ..failure
        })
    }

    /// Whether another upstream should be asked in place of a failed answer.
    fn wants_other(&self, answer: &CallAnswer) -> bool {
        self.facts.is_idempotent && answer.head.status >= FIRST_SERVER_ERROR
    }

    fn failure(&self, kind: ErrorKind) -> CallFailure {
        CallFailure {
            call: Some(self.id),
            ..CallFailure::from(kind)
        }
    }

    async fn read_first(&mut self) -> Result<RequestBody, CallFailure> {
        let stated = self.facts.body_length;
        let limit = self.facts.rule.body_limit;
        let reading = RequestBody::read_first(self.pieces.take(), stated, limit);
        let first = tokio::time::timeout_at(self.deadline, reading).await;
        first
            .unwrap_or(Err(ErrorKind::TimedOut))
            .map_err(|kind| self.failure(kind))
    }

    fn take_result(
        &mut self,
        node: &NodeId,
        result: Result<offer::Answered, AttemptEnd>,
    ) -> Result<CallAnswer, AttemptEnd> {
        let name = match &result {
            Ok(_) => "answered",
            Err(end) => end.failure.kind().code(),
        };
        let metrics = &self.worker.shared.metrics;
        metrics.count_attempt(self.facts.service.as_str(), name);
        let answered = result.inspect_err(|end| self.search.on_refused(node, end.outlook()))?;
        let head = answered.head;
        if head.status < FIRST_SERVER_ERROR {
            let mut times = lock(&self.worker.shared.times);
            times.note(&self.facts.class(), answered.latency);
        }
        let upstream = answered.attempt.gate().clone();
        let rest = (!head.is_body_complete).then(|| answered.attempt.relay_rest());
        Ok(CallAnswer {
            call: self.id,
            upstream,
            head,
            rest,
        })
    }

    /// Remembers the call for the case that its caller comes back.
    fn note_refused(&self) {
        let Some(time_left) = self.facts.stated_timeout else {
            return;
        };
        let now = self.worker.shared.now();
        let refused = CallerTry {
            route: &self.facts.class(),
            arrived_at: now.saturating_sub(self.started.elapsed()),
            time_left,
        };
        let mut returns = lock(&self.worker.shared.returns);
        returns.note_refused(refused, now + self.target_left());
    }

    fn request_id(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or_default()
    }

    /// Attempts so far that count against the limit.
    fn attempts(&self) -> u32 {
        self.placements - self.free_refusals
    }

    fn target_left(&self) -> Duration {
        self.target_at.saturating_duration_since(Instant::now())
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns to try again, or fails with what the caller is told.
    fn decide(&mut self, end: AttemptEnd, body: &RequestBody) -> Result<(), CallFailure> {
        if let Some(failure) = self.earlier_failure(end) {
            return Err(failure);
        }
        self.last_end = Some(end);
        self.history.on_failed(end.failure);
        let attempts_limit = if body.is_replayable() {
            self.facts.attempts_limit
        } else {
            self.attempts()
        };
        let facts = CallFacts {
            is_idempotent: self.facts.is_idempotent,
            may_have_run: self.history.may_have_run(),
            attempt: self.attempts(),
            attempts_limit,
            time_left: self.time_left(),
        };
        let mut retries = lock(&self.worker.shared.retries);
        let is_free = retries.is_free(&facts, end.failure);
        let decision = retries.decide(&self.facts.service, &facts, end.failure);
        drop(retries);
        log::info!(
            target: "retry",
            call:% = self.id,
            request_id = self.request_id(),
            service:% = self.facts.service,
            attempt = self.placements,
            kind = end.failure.kind().code(),
            outcome:% = end.failure.outcome(),
            is_free,
            decision:% = decision.name();
            "attempt failed"
        );
        match decision {
            RetryDecision::Retry => {
                if is_free {
                    self.free_refusals += 1;
                } else {
                    self.search.restart(self.worker.shared.asks);
                }
                Ok(())
            }
            RetryDecision::GiveUp {
                kind, retry_after, ..
            } => Err(CallFailure {
                call: Some(self.id),
                kind,
                outcome: self.history.outcome(),
                retry_after: end.retry_after.unwrap_or(retry_after),
            }),
        }
    }
}
