//! Drives one caller's request to a response, over as many attempts as its
//! limits allow.

mod choice;
mod offer;
mod quarantine;
mod quota;
mod record;
mod refused_rank;
mod second_copy;
mod share;

pub use choice::{IMMEDIATE_OFFER_OCCUPANCY_PERCENT, MAX_OFFERS};

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use quota::QuotaUse;
use tokio::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{CallId, NodeId};
use crate::ingress::answer::{CallFailure, CallResponse};
use crate::ingress::attempt::AttemptError;
use crate::ingress::body::{BodyReceiver, RequestBody};
use crate::ingress::in_flight::{RequestProgress, RequestState};
use crate::ingress::placing::{CallTimeBudget, GateSearch};
use crate::ingress::request::ResolvedRequest;
use crate::ingress::returns::CallerRequest;
use crate::ingress::{IngressWorker, lock};
use crate::ledger::attempt::CallHistory;
use crate::quarantine::{HeadDigest, RequestFingerprint};
use crate::retry::{AttemptFailure, RetryContext, RetryDecision};
use crate::routing::RouteChoice;

/// `Retry-After` of a call for which there is no upstream at all.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call at a node that has just started waits for an upstream for at most its
/// target latency divided by this.
const STARTUP_WAIT_DIVISOR: u32 = 2;

/// Offer of a call to a gate.
struct GateOffer {
    choice: RouteChoice,
    /// Occupancy up to which the gate may start the call at once; it refuses the
    /// call otherwise. 0 if it may queue the call.
    max_occupancy_percent: u32,
    /// Whether the call already runs elsewhere.
    is_hedge: bool,
    /// Whether the gate may run the call although its planned stop could cut it, as no
    /// other takes it.
    is_last_resort: bool,
}

/// Time left until the target latency of the refused request that this one
/// retries; `None` for a first request.
fn original_target_left(worker: &IngressWorker, request: &ResolvedRequest) -> Option<Duration> {
    let now = worker.shared.now();
    let retry = CallerRequest {
        route: &request.class(),
        arrived_at: now,
        time_left: request.requested_timeout?,
    };
    let target_at = lock(&worker.shared.caller_retries).take_retry_target(retry)?;
    Some(target_at.saturating_sub(now))
}

/// Driver of one call, from the choice of a gate to the response.
pub struct CallDriver {
    worker: Rc<IngressWorker>,
    request: ResolvedRequest,
    body_receiver: Option<BodyReceiver>,
    id: CallId,
    started_at: Instant,
    /// End of the time limit.
    deadline: Instant,
    /// Moment of the target latency, which counts from the caller's first
    /// request.
    target_at: Instant,
    tried_nodes: BTreeSet<NodeId>,
    offer_count: u32,
    /// Offers that don't count as attempts, as no backend server was reached.
    uncounted_offers: u32,
    last_error: Option<AttemptError>,
    history: CallHistory,
    search: GateSearch,
    head_digest: HeadDigest,
    fingerprint: Option<RequestFingerprint>,
    quota: QuotaUse,
    progress: RequestProgress,
}

impl CallDriver {
    /// Driver of a call whose request arrived at `arrived_at`.
    pub fn new(
        worker: Rc<IngressWorker>,
        request: ResolvedRequest,
        pieces: Option<BodyReceiver>,
        arrived_at: Instant,
        progress: RequestProgress,
    ) -> Self {
        let id = CallId {
            ingress_incarnation: worker.shared.incarnation.get(),
            sequence: worker.shared.reserve_call_sequence(),
        };
        progress.update(|request| request.call = Some(id));
        let search = GateSearch::new(worker.shared.max_immediate_offers);
        let head_digest = request.head_digest();
        let target_left = original_target_left(&worker, &request).unwrap_or(request.target_latency);
        Self {
            started_at: arrived_at,
            target_at: arrived_at + target_left,
            deadline: arrived_at + request.timeout,
            worker,
            request,
            body_receiver: pieces,
            id,
            tried_nodes: BTreeSet::new(),
            offer_count: 0,
            uncounted_offers: 0,
            last_error: None,
            history: CallHistory::default(),
            search,
            head_digest,
            fingerprint: None,
            progress,
            quota: QuotaUse::default(),
        }
    }

    /// Runs the call to its one response.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told.
    pub async fn run(mut self) -> Result<CallResponse, CallFailure> {
        let result = self.run_until_response().await;
        let result = result.map_err(|failure| self.name_stop(failure));
        if let Err(failure) = &result {
            if failure.kind != ErrorKind::Cancelled {
                self.record_refusal();
            }
            self.return_quota_token(failure);
        }
        self.log_result(&result);
        result
    }

    async fn run_until_response(&mut self) -> Result<CallResponse, CallFailure> {
        self.check_upstreams()?;
        let mut body = self.read_body_start().await?;
        self.progress.set_state(RequestState::Calling);
        let _share = self.reserve_shares()?;
        let service = &self.request.service;
        lock(&self.worker.shared.retry_policy).record_first_attempt(service);
        loop {
            self.identify_request(&mut body).await?;
            self.check_quarantine()?;
            self.check_rank()?;
            let Some(replayable_body) = body.replayable() else {
                return Err(self.unplaced_failure(AttemptError::not_run(ErrorKind::NoUpstream)));
            };
            self.take_quota_token().await?;
            let choice = match self.next_offer() {
                Ok(choice) => choice,
                Err(error) if self.may_wait_for_upstream(error) => {
                    self.wait_for_upstreams().await;
                    continue;
                }
                Err(error) => return Err(self.unplaced_failure(error)),
            };
            self.quota.spend();
            match self.run_attempt_with_hedge(choice, replayable_body).await {
                Ok(response) if !self.should_retry_response(&response) => return Ok(response),
                Ok(response) => {
                    let error = AttemptError::backend_failed();
                    if self.decide_retry(error, &body).is_err() {
                        // The backend server's error response is better than
                        // none.
                        return Ok(response);
                    }
                }
                Err(error) => self.decide_retry(error, &body)?,
            }
        }
    }

    /// Names the planned stop as the cause if it ended the call before its time
    /// limit.
    fn name_stop(&self, failure: CallFailure) -> CallFailure {
        let is_stop = self.deadline() < self.deadline && failure.kind == ErrorKind::TimedOut;
        let kind = if is_stop {
            ErrorKind::Draining
        } else {
            failure.kind
        };
        CallFailure { kind, ..failure }
    }

    /// Fails the call, before any of its body is read, if no upstream in its allowed regions
    /// accepts calls. A node that has just started may not know all upstreams yet.
    fn check_upstreams(&self) -> Result<(), CallFailure> {
        let shared = &self.worker.shared;
        let table = shared.table.borrow().clone();
        let regions = self.request.region_limit();
        let Some(entry) = table.services.get(&self.request.service) else {
            return Ok(());
        };
        let is_known = !entry.upstreams.is_empty() && shared.startup_time_left().is_zero();
        if !is_known || regions.has_upstream(entry) {
            return Ok(());
        }
        let upstreams = entry.upstreams.values();
        log::info!(
            target: "routing",
            call:% = self.id,
            request_id = self.request_id(),
            service:% = self.request.service,
            allowed_regions:? = self.request.allowed_regions,
            upstreams = upstreams.len(),
            not_allowed = upstreams.filter(|upstream| !regions.allows(upstream)).count(),
            table = table.version;
            "no upstream in the allowed regions accepts the call"
        );
        Err(CallFailure {
            retry_after: NO_UPSTREAM_RETRY_AFTER,
            ..self.failure(ErrorKind::NoUpstream)
        })
    }

    /// Whether an upstream may become known soon, as the node has just started.
    fn may_wait_for_upstream(&self, error: AttemptError) -> bool {
        let is_no_upstream = error.failure == AttemptFailure::NotRun(ErrorKind::NoUpstream);
        let is_untried = self.tried_nodes.is_empty();
        is_no_upstream && is_untried && !self.upstream_wait_left().is_zero()
    }

    /// Time for which the call may wait for an upstream to become known: it
    /// must still be able to meet its target latency.
    fn upstream_wait_left(&self) -> Duration {
        let waited = self.started_at.elapsed();
        let limit = self.request.target_latency / STARTUP_WAIT_DIVISOR;
        limit
            .saturating_sub(waited)
            .min(self.worker.shared.startup_time_left())
    }

    async fn wait_for_upstreams(&mut self) {
        let limit = self.upstream_wait_left();
        self.worker.shared.wait_for_table_update(limit).await;
        self.search = GateSearch::new(self.worker.shared.max_immediate_offers);
    }

    /// Failure of a call for which there is no further gate.
    fn unplaced_failure(&self, error: AttemptError) -> CallFailure {
        self.previous_failure(error).unwrap_or(CallFailure {
            outcome: self.history.outcome(),
            retry_after: error.retry_after.unwrap_or(NO_UPSTREAM_RETRY_AFTER),
            ..self.failure(error.failure.kind())
        })
    }

    /// Failure reported when there is no upstream left to try: that of the
    /// previous attempt, which says more than that none is left.
    fn previous_failure(&self, error: AttemptError) -> Option<CallFailure> {
        let is_no_upstream = error.failure == AttemptFailure::NotRun(ErrorKind::NoUpstream);
        let previous = self.last_error.filter(|_| is_no_upstream)?;
        let failure = self.failure(previous.failure.kind());
        Some(CallFailure {
            outcome: self.history.outcome(),
            retry_after: previous.retry_after.unwrap_or(failure.retry_after),
            ..failure
        })
    }

    /// Whether another upstream should be tried in place of a server error
    /// response.
    fn should_retry_response(&self, response: &CallResponse) -> bool {
        self.request.is_idempotent && response.head.status.is_server_error()
    }

    fn failure(&self, kind: ErrorKind) -> CallFailure {
        CallFailure {
            call_id: Some(self.id),
            outcome: self.history.outcome(),
            ..CallFailure::from(kind)
        }
    }

    async fn read_body_start(&mut self) -> Result<RequestBody, CallFailure> {
        let stated_length = self.request.body_length;
        let limit = self.request.rule.body_limit;
        let read_start =
            RequestBody::read_body_start(self.body_receiver.take(), stated_length, limit);
        let body_start = self.within_deadline(read_start).await;
        body_start.map_err(|kind| self.failure(kind))
    }

    /// Result of reading the body, or a failure at the deadline.
    async fn within_deadline<T>(
        &self,
        reading: impl Future<Output = Result<T, ErrorKind>>,
    ) -> Result<T, ErrorKind> {
        tokio::select! {
            biased;
            result = reading => result,
            () = self.worker.shared.wait_for_deadline(self.deadline) => Err(ErrorKind::TimedOut),
        }
    }

    fn record_result(
        &mut self,
        node: &NodeId,
        result: Result<offer::AttemptResponse, AttemptError>,
    ) -> Result<CallResponse, AttemptError> {
        let result_name = match &result {
            Ok(_) => "answered",
            Err(error) => error.failure.kind().code(),
        };
        let metrics = &self.worker.shared.metrics;
        metrics.count_attempt(self.request.service.as_str(), result_name);
        let start = result.inspect_err(|error| {
            self.search.on_refused(node, error.estimate());
            if let Some(stops_in) = error.stops_in {
                self.search.on_stopping(node, stops_in);
            }
            if error.failure == AttemptFailure::NotRun(ErrorKind::ZoneEvacuated) {
                self.leave_zone_of(node);
            }
        })?;
        let head = start.head;
        if !head.status.is_server_error() {
            let mut latencies = lock(&self.worker.shared.latencies);
            latencies.record(&self.request.class(), start.time_to_head);
        }
        let upstream = start.attempt.gate().clone();
        let remaining_body = (!head.is_body_complete).then(|| start.attempt.relay_response_body());
        Ok(CallResponse {
            call_id: self.id,
            upstream,
            head,
            remaining_body,
        })
    }

    /// Excludes all upstreams in the zone of a node from this call. The routing table may
    /// not show yet that the zone is evacuated, and each of its gates would refuse the call.
    fn leave_zone_of(&mut self, node: &NodeId) {
        let table = self.worker.shared.table.borrow().clone();
        let entry = table.services.get(&self.request.service);
        let nodes = entry
            .into_iter()
            .flat_map(|entry| entry.nodes_in_zone_of(node));
        let nodes: Vec<&NodeId> = nodes.collect();
        self.search.on_zone_evacuated(nodes.iter().copied());
        self.tried_nodes.extend(nodes.into_iter().cloned());
    }

    /// Records the refused call, so that a retry by its caller is recognized.
    fn record_refusal(&self) {
        let Some(time_left) = self.request.requested_timeout else {
            return;
        };
        let now = self.worker.shared.now();
        let refused = CallerRequest {
            route: &self.request.class(),
            arrived_at: now.saturating_sub(self.started_at.elapsed()),
            time_left,
        };
        let mut caller_retries = lock(&self.worker.shared.caller_retries);
        caller_retries.record_refusal(refused, now + self.target_left());
    }

    fn request_id(&self) -> &str {
        self.request.request_id.as_deref().unwrap_or_default()
    }

    /// Attempts so far that count against the limit.
    fn attempt_count(&self) -> u32 {
        self.offer_count - self.uncounted_offers
    }

    fn target_left(&self) -> Duration {
        self.target_at.saturating_duration_since(Instant::now())
    }

    fn time_budget(&self) -> CallTimeBudget {
        CallTimeBudget {
            target_left: self.target_left(),
            time_left: self.time_left(),
        }
    }

    /// End of the time limit, or of the calls at a planned stop if that is earlier.
    fn deadline(&self) -> Instant {
        self.worker.shared.bound_by_stop(self.deadline)
    }

    fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Returns if the call is tried again, or fails with what the caller is
    /// told.
    fn decide_retry(&mut self, error: AttemptError, body: &RequestBody) -> Result<(), CallFailure> {
        if let Some(failure) = self.previous_failure(error) {
            return Err(failure);
        }
        self.last_error = Some(error);
        self.history.record_failure(error.failure);
        self.quota.record_failure(error.failure);
        let facts = RetryContext {
            is_idempotent: self.request.is_idempotent,
            may_have_run: self.history.may_have_run(),
            is_body_replayable: body.is_replayable(),
            attempts_made: self.attempt_count(),
            max_attempts: self.request.attempts_limit,
            time_left: self.time_left(),
        };
        let mut retries = lock(&self.worker.shared.retry_policy);
        let is_free = retries.is_free_retry(&facts, error.failure);
        let decision = retries.decide(&self.request.service, &facts, error.failure);
        drop(retries);
        log::info!(
            target: "retry",
            call:% = self.id,
            request_id = self.request_id(),
            service:% = self.request.service,
            attempt = self.offer_count,
            kind = error.failure.kind().code(),
            outcome:% = error.failure.outcome(),
            body_sent_bytes = error.sent_body.bytes,
            is_body_end_sent = error.sent_body.has_end,
            is_body_replayable = body.is_replayable(),
            is_free,
            decision:% = decision.name();
            "attempt failed"
        );
        match decision {
            RetryDecision::Retry => {
                if is_free {
                    self.uncounted_offers += 1;
                } else {
                    self.search.restart(self.worker.shared.max_immediate_offers);
                }
                Ok(())
            }
            RetryDecision::GiveUp {
                kind, retry_after, ..
            } => Err(CallFailure {
                call_id: Some(self.id),
                kind,
                outcome: self.history.outcome(),
                retry_after: error.retry_after.unwrap_or(retry_after),
            }),
        }
    }
}
