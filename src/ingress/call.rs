//! One caller's request, over as many attempts as it takes.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::time::Instant;

use crate::admission::{ShareKey, WorkShare};
use crate::error::ErrorKind;
use crate::ids::{CallId, NodeId};
use crate::ingress::answer::{CallAnswer, CallFailure};
use crate::ingress::attempt::{AttemptEnd, AttemptPlan, CallAttempt, FIRST_SERVER_ERROR, HeldBody};
use crate::ingress::body::{BodyPieces, RequestBody};
use crate::ingress::placing::{CallTimes, PlacementSearch, PlacementStep};
use crate::ingress::request::RequestFacts;
use crate::ingress::{IngressWorker, lock};
use crate::ledger::attempt::CallHistory;
use crate::link::messages::{AnswerHead, CallOpen, HeaderField};
use crate::link::pool::GateTarget;
use crate::retry::{AttemptFailure, CallFacts, RetryDecision};
use crate::routing::{ProbeOrder, RouteChoice, RouteRequest};

/// Requests in flight at one ingress that count as 100 percent of its shares.
const INGRESS_CAPACITY: u32 = 1_000;

/// Placements whose number fits beside the call's own.
const MAX_PLACEMENTS: u32 = 15;
/// Largest body that goes along when a gate is asked for a free slot, in bytes.
const MAX_ASK_BYTES: usize = 1_024;
/// Occupancy up to which a gate that is asked starts a call. Backend servers of
/// the users slow down above four fifths of their slots.
const EASY_PERCENT: u32 = 80;
/// Occupancy up to which a gate starts a second copy: it may take room that is
/// left over, but none that first copies need.
const HEDGE_PERCENT: u32 = 50;
/// Gates that are asked to start a second copy.
const HEDGE_ASKS: u32 = 2;
/// Shortest `Retry-After` under load.
const SHORTEST_RETRY: Duration = Duration::from_millis(10);
/// `Retry-After` of a call for which there is no upstream at all.
const UNPLACED_RETRY: Duration = Duration::from_secs(1);
/// Factor up to which the return of refused calls is spread.
const RETRY_SPREAD: f64 = 1.5;

/// A call with the gate that it is offered to.
struct PlacedCall {
    choice: RouteChoice,
    ask_percent: u32,
}

/// Answer whose head has arrived.
struct Answered {
    attempt: CallAttempt,
    head: AnswerHead,
    latency: Duration,
}

impl Answered {
    fn is_good(&self) -> bool {
        self.head.status < FIRST_SERVER_ERROR
    }
}

/// Waits for a good answer of two attempts; without one, for how the first
/// ended.
async fn first_answer(
    mut first: impl Future<Output = Result<Answered, AttemptEnd>> + Unpin,
    mut second: impl Future<Output = Result<Answered, AttemptEnd>> + Unpin,
) -> Result<Answered, AttemptEnd> {
    let is_good =
        |result: &Result<Answered, AttemptEnd>| result.as_ref().is_ok_and(Answered::is_good);
    tokio::select! {
        result = &mut first => {
            if is_good(&result) {
                return result;
            }
            let other = second.await;
            if is_good(&other) { other } else { result }
        }
        result = &mut second => {
            if is_good(&result) { result } else { first.await }
        }
    }
}

/// Drives one call.
pub struct CallDriver {
    worker: Rc<IngressWorker>,
    facts: RequestFacts,
    pieces: Option<BodyPieces>,
    id: CallId,
    started: Instant,
    deadline: Instant,
    tried: BTreeSet<NodeId>,
    placements: u32,
    free_refusals: u32,
    last_end: Option<AttemptEnd>,
    history: CallHistory,
    search: PlacementSearch,
}

impl CallDriver {
    /// Call that begins now.
    pub fn new(worker: Rc<IngressWorker>, facts: RequestFacts, pieces: Option<BodyPieces>) -> Self {
        let id = CallId {
            ingress: worker.shared.incarnation.get(),
            sequence: worker.shared.next_sequence(),
        };
        let started = Instant::now();
        let search = PlacementSearch::new(worker.shared.asks);
        Self {
            started,
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

    /// Failure of a call that is placed nowhere any more.
    fn give_up(&self, end: AttemptEnd) -> CallFailure {
        self.earlier_failure(end).unwrap_or(CallFailure {
            outcome: self.history.outcome(),
            retry_after: end.retry_after.unwrap_or(UNPLACED_RETRY),
            ..self.failure(end.failure.kind())
        })
    }

    /// Takes the next step of the search for a gate.
    fn place(&mut self) -> Result<PlacedCall, AttemptEnd> {
        if self.placements + 1 >= MAX_PLACEMENTS {
            return Err(AttemptEnd::not_run(ErrorKind::Overloaded));
        }
        loop {
            let times = CallTimes {
                target_left: self.target_left(),
                time_left: self.time_left(),
            };
            let (choice, ask_percent) = match self.search.next(times) {
                PlacementStep::Ask => match self.choose() {
                    Ok(choice) => (choice, EASY_PERCENT),
                    Err(ErrorKind::NoUpstream) if !self.tried.is_empty() => {
                        self.search.on_exhausted();
                        continue;
                    }
                    Err(kind) => return Err(AttemptEnd::not_run(kind)),
                },
                PlacementStep::Offer => {
                    let choice = self.choose().map_err(AttemptEnd::not_run)?;
                    (choice, 0)
                }
                PlacementStep::Join(node) => match self.choose_node(&node) {
                    Ok(choice) => (choice, 0),
                    Err(kind) => return Err(AttemptEnd::not_run(kind)),
                },
                PlacementStep::Refuse { retry_after } => {
                    return Err(self.refusal(retry_after));
                }
            };
            self.placements += 1;
            self.tried.insert(choice.node.clone());
            return Ok(PlacedCall {
                choice,
                ask_percent,
            });
        }
    }

    /// Refusal of a call that no gate can serve in time. Calls that are
    /// refused together come back spread over a while.
    fn refusal(&self, retry_after: Duration) -> AttemptEnd {
        let retry_after = retry_after.max(SHORTEST_RETRY);
        let spread = self.worker.rng.borrow_mut().random_range(1.0..RETRY_SPREAD);
        AttemptEnd {
            retry_after: Some(retry_after.mul_f64(spread)),
            ..AttemptEnd::not_run(ErrorKind::WaitTooLong)
        }
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

    fn enter_share(&self) -> Result<ShareGuard, CallFailure> {
        let shares = self.work_shares();
        let mut table = lock(&self.worker.shared.shares);
        if !table.has_room(&shares, INGRESS_CAPACITY) {
            return Err(self.failure(ErrorKind::ShareExceeded));
        }
        table.take(&shares);
        drop(table);
        Ok(ShareGuard {
            worker: Rc::clone(&self.worker),
            shares,
        })
    }

    fn work_shares(&self) -> Vec<WorkShare> {
        let Some(percent) = self.facts.rule.share_percent else {
            return Vec::new();
        };
        vec![WorkShare {
            key: ShareKey::Service(self.facts.service.clone()),
            percent,
        }]
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

    /// Makes one attempt, with a second copy beside it if it takes too long.
    async fn try_once(
        &mut self,
        placed: PlacedCall,
        body: &mut RequestBody,
    ) -> Result<CallAnswer, AttemptEnd> {
        let copy = self.hedge_copy(body);
        let delay = self.hedge_delay().filter(|_| copy.is_some());
        let node = placed.choice.node.clone();
        let first = self.run_attempt(placed, body);
        let Some((delay, mut copy)) = delay.zip(copy) else {
            let result = first.await;
            return self.take_result(&node, result);
        };
        tokio::pin!(first);
        let early = tokio::select! {
            biased;
            result = &mut first => Some(result),
            () = tokio::time::sleep(delay) => None,
        };
        let result = match early {
            Some(result) => result,
            None if self.takes_hedge() => {
                let second = self.run_hedge(&mut copy);
                tokio::pin!(second);
                first_answer(first, second).await
            }
            None => first.await,
        };
        self.take_result(&node, result)
    }

    fn take_result(
        &mut self,
        node: &NodeId,
        result: Result<Answered, AttemptEnd>,
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
        let rest = (!head.is_last).then(|| answered.attempt.relay_rest());
        Ok(CallAnswer {
            call: self.id,
            upstream,
            head,
            rest,
        })
    }

    /// Copy of the body for a second attempt, if the call may have one.
    fn hedge_copy(&self, body: &RequestBody) -> Option<RequestBody> {
        let may_repeat = self.worker.shared.asks > 0
            && self.facts.is_idempotent
            && self.attempts() < self.facts.attempts_limit;
        body.whole_copy().filter(|_| may_repeat)
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let times = lock(&self.worker.shared.times);
        times.hedge_delay(&self.facts.class(), self.target_left())
    }

    /// Takes a second copy out of the service's retry budget.
    fn takes_hedge(&self) -> bool {
        lock(&self.worker.shared.retries).try_hedge(&self.facts.service)
    }

    /// Finds a gate that starts a second copy at once, and has it answer.
    async fn run_hedge(&mut self, body: &mut RequestBody) -> Result<Answered, AttemptEnd> {
        for _ in 0..HEDGE_ASKS {
            if self.placements + 1 >= MAX_PLACEMENTS {
                break;
            }
            let choice = self.choose().map_err(AttemptEnd::not_run)?;
            self.placements += 1;
            self.free_refusals += 1;
            self.tried.insert(choice.node.clone());
            let placed = PlacedCall {
                choice,
                ask_percent: HEDGE_PERCENT,
            };
            let result = self.run_attempt(placed, body).await;
            match &result {
                Err(end) if end.outlook().is_some() => continue,
                Err(end) => self.history.on_failed(end.failure),
                Ok(_) => {}
            }
            // This one reached a backend server, so it counts as an attempt.
            self.free_refusals -= 1;
            return result;
        }
        Err(AttemptEnd::not_run(ErrorKind::Overloaded))
    }

    /// Offers the call to the gate that was chosen and waits for its answer.
    ///
    /// What is needed of the call is taken before the first wait, so that the
    /// search can go on beside it.
    fn run_attempt<'a>(
        &self,
        placed: PlacedCall,
        body: &'a mut RequestBody,
    ) -> impl Future<Output = Result<Answered, AttemptEnd>> + use<'a> {
        let choice = placed.choice;
        let id = CallId {
            sequence: self.id.sequence + u64::from(self.placements),
            ..self.id
        };
        let mut open = CallOpen {
            ask_percent: placed.ask_percent,
            ..self.open_message(id, body)
        };
        let is_held = placed.ask_percent > 0 && open.body.len() > MAX_ASK_BYTES;
        let held = is_held.then(|| HeldBody {
            data: std::mem::take(&mut open.body),
            is_last: std::mem::take(&mut open.is_last),
        });
        let plan = AttemptPlan {
            service: self.facts.service.clone(),
            target: GateTarget {
                node: choice.node,
                address: choice.peer_address,
            },
            number: choice.attempt,
            id,
            is_idempotent: self.facts.is_idempotent,
            timeout: self.facts.timeout,
            deadline: self.deadline,
        };
        let worker = Rc::clone(&self.worker);
        async move {
            let started = Instant::now();
            let mut attempt = CallAttempt::open(worker, plan, open, held).await?;
            let head = attempt.wait_head(body).await?;
            Ok(Answered {
                attempt,
                head,
                latency: started.elapsed(),
            })
        }
    }

    fn choose_node(&self, node: &NodeId) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let mut router = lock(&self.worker.shared.router);
        let choice = router.choose_node(now, &self.facts.service, node);
        drop(router);
        self.log_choice(&choice);
        choice
    }

    fn choose(&self) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let mut rng = self.worker.rng.borrow_mut();
        let mut router = lock(&self.worker.shared.router);
        let request = RouteRequest {
            service: &self.facts.service,
            is_idempotent: self.facts.is_idempotent,
            tried: &self.tried,
        };
        let choice = router.choose_for(now, &mut *rng, &request);
        let probes = router.probe_due(now);
        drop(router);
        self.log_choice(&choice);
        for order in probes {
            self.send_probe(order);
        }
        choice
    }

    fn send_probe(&self, order: ProbeOrder) {
        log::info!(target: "routing", upstream:% = order.node; "load probe sent");
        let worker = Rc::clone(&self.worker);
        let target = GateTarget {
            node: order.node,
            address: order.peer_address,
        };
        ntex::rt::spawn(async move {
            // An upstream that can't be probed keeps its old report.
            let _ = worker.pool.probe(&target).await;
        });
    }

    fn log_choice(&self, choice: &Result<RouteChoice, ErrorKind>) {
        let (call, service, attempt) = (self.id, &self.facts.service, self.placements + 1);
        let request_id = self.request_id();
        let target_left_ms = self.target_left().as_millis() as u64;
        match choice {
            Ok(choice) => log::info!(
                target: "routing",
                call:%, request_id, service:%, attempt, target_left_ms,
                chosen:% = choice.node,
                reason:% = choice.reason,
                candidates:serde = choice.candidates;
                "upstream chosen"
            ),
            Err(kind) => log::info!(
                target: "routing",
                call:%, request_id, service:%, attempt, target_left_ms, reason:% = kind;
                "no upstream chosen"
            ),
        }
    }

    fn request_id(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or_default()
    }

    /// One line for the end of each call.
    fn log_end(&self, result: &Result<CallAnswer, CallFailure>) {
        let route = self.facts.route.as_ref();
        let route_name = route.map_or("", |route| route.name.as_str());
        let config_version = route.map_or(0, |route| route.version);
        let (call, service) = (self.id, &self.facts.service);
        let (request_id, path) = (self.request_id(), self.facts.path.as_str());
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        let (placements, attempts) = (self.placements, self.attempts());
        let (kind, outcome) = match result {
            Ok(_) => ("none", "answered".to_string()),
            Err(failure) => (failure.kind.code(), failure.outcome.to_string()),
        };
        let metrics = &self.worker.shared.metrics;
        metrics.count_call(service.as_str(), kind, &outcome, self.started.elapsed());
        match result {
            Ok(answer) => log::info!(
                target: "ingress",
                call:%, request_id, path, route = route_name, config_version, service:%,
                status = answer.head.status, upstream:% = answer.upstream,
                elapsed_ms, placements, attempts;
                "call answered"
            ),
            Err(failure) => log::warn!(
                target: "ingress",
                call:%, request_id, path, route = route_name, config_version, service:%,
                kind = failure.kind.code(), outcome:% = failure.outcome,
                status = failure.kind.answer_row_for(failure.outcome).status,
                retry_after_ms = failure.retry_after.as_millis() as u64,
                elapsed_ms, placements, attempts;
                "call refused or failed"
            ),
        }
    }

    fn open_message(&self, id: CallId, body: &RequestBody) -> CallOpen {
        let (first, is_last) = body.first();
        let time_left = self.time_left().as_micros();
        CallOpen {
            sequence: id.sequence,
            service: self.facts.service.to_string(),
            method: self.facts.method.clone(),
            path: self.facts.path.clone(),
            headers: self.call_fields(),
            time_left_us: u64::try_from(time_left).unwrap_or(u64::MAX),
            attempts_left: self
                .facts
                .attempts_limit
                .saturating_sub(self.attempts())
                .max(1),
            is_idempotent: self.facts.is_idempotent,
            body_length: self.facts.body_length,
            body: first,
            is_last,
            request_id: self.facts.request_id.clone().unwrap_or_default(),
            rank: self.facts.rank,
            target_left_us: u64::try_from(self.target_left().as_micros()).ok(),
            ask_percent: 0,
            class: self.facts.class(),
        }
    }

    /// Fields of the request, with those that this node vouches for.
    fn call_fields(&self) -> Vec<HeaderField> {
        let shared = &self.worker.shared;
        let mut fields = self.facts.fields.clone();
        if let (Some(name), Some(service)) = (shared.dialect.caller_service, &shared.home_service) {
            fields.retain(|field| field.name != name);
            fields.push(HeaderField {
                name: name.to_string(),
                value: Bytes::from(service.to_string()),
            });
        }
        fields
    }

    /// Attempts so far that count against the limit.
    fn attempts(&self) -> u32 {
        self.placements - self.free_refusals
    }

    fn target_left(&self) -> Duration {
        let end = self.started + self.facts.target_latency;
        end.saturating_duration_since(Instant::now())
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

/// Gives a request's shares back when it has ended.
struct ShareGuard {
    worker: Rc<IngressWorker>,
    shares: Vec<WorkShare>,
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        lock(&self.worker.shared.shares).give_back(&self.shares);
    }
}
