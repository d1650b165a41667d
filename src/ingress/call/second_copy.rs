//! Hedges a call that takes longer than usual by a second attempt at another
//! gate.
//!
//! Only idempotent calls are hedged, out of the service's retry budget.

use std::collections::BTreeSet;
use std::time::Duration;

use super::choice::MAX_OFFERS;
use super::offer::AttemptResponse;
use super::{CallDriver, GateOffer};
use crate::error::ErrorKind;
use crate::ids::NodeId;
use crate::ingress::answer::CallResponse;
use crate::ingress::attempt::AttemptError;
use crate::ingress::body::{ReplayableBody, RequestBody};
use crate::ingress::lock;
use crate::retry::AttemptFailure;
use crate::routing::SkippedUpstreams;

/// Occupancy up to which a gate starts a hedged attempt: it may take spare
/// slots, but none that first attempts need.
const HEDGE_OCCUPANCY_PERCENT: u32 = 50;
/// Gates that a hedged attempt is offered to, at most.
const MAX_HEDGE_OFFERS: u32 = 2;

/// Delay before a hedged attempt that no gate started is offered again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Result of an attempt that reached a gate.
type AttemptResult = Result<AttemptResponse, AttemptError>;

fn is_usable(result: &AttemptResult) -> bool {
    result.as_ref().is_ok_and(AttemptResponse::is_usable)
}

/// Whether a gate refused to start a hedged attempt for a reason that doesn't end the search
/// for another.
fn was_not_started(error: &AttemptError) -> bool {
    let is_evacuated = error.failure == AttemptFailure::NotRun(ErrorKind::ZoneEvacuated);
    is_evacuated || error.estimate().is_some() || error.stops_in.is_some()
}

impl CallDriver {
    /// Makes one attempt, and hedges it by a second one if it takes too long.
    pub(super) async fn run_attempt_with_hedge(
        &mut self,
        offer: GateOffer,
        body: ReplayableBody<'_>,
    ) -> Result<CallResponse, AttemptError> {
        let body_copy = self.copy_body_for_hedge(&body);
        let delay = self.hedge_delay().filter(|_| body_copy.is_some());
        let node = offer.choice.node.clone();
        let first = self.run_attempt(offer, body);
        let result = match delay.zip(body_copy) {
            Some((delay, mut body_copy)) => {
                tokio::pin!(first);
                self.hedge_attempt(first, &node, delay, &mut body_copy)
                    .await
            }
            None => first.await,
        };
        self.record_result(&node, result)
    }

    /// Waits for a usable response of the first attempt at `node` and of a hedged
    /// one; without one, for the result of the first.
    ///
    /// While no gate starts the hedged attempt, it is offered again.
    async fn hedge_attempt(
        &mut self,
        mut first: impl Future<Output = AttemptResult> + Unpin,
        node: &NodeId,
        delay: Duration,
        body: &mut RequestBody,
    ) -> AttemptResult {
        let mut next_delay = delay;
        loop {
            tokio::select! {
                biased;
                result = &mut first => return result,
                () = tokio::time::sleep(next_delay) => {}
            }
            if !self.may_offer_hedge() || !self.try_spend_hedge() {
                return first.await;
            }
            self.tried_nodes = BTreeSet::from([node.clone()]);
            let second_result = {
                let second = self.run_hedged_attempt(body);
                tokio::pin!(second);
                tokio::select! {
                    result = &mut first => {
                        if is_usable(&result) {
                            return result;
                        }
                        let second_result = second.await;
                        return second_result.filter(is_usable).unwrap_or(result);
                    }
                    result = &mut second => result,
                }
            };
            match second_result {
                Some(result) if is_usable(&result) => return result,
                Some(_) => return first.await,
                None => {
                    self.return_hedge_token();
                    next_delay = HEDGE_RETRY_DELAY;
                }
            }
        }
    }

    /// Gives back the token of a hedged attempt that no gate started.
    fn return_hedge_token(&self) {
        lock(&self.worker.shared.retry_policy).return_hedge_token(&self.request.service);
    }

    /// Whether the call has numbers and time left for a hedged attempt.
    fn may_offer_hedge(&self) -> bool {
        let latencies = lock(&self.worker.shared.latencies);
        let time_budget = self.time_budget();
        self.offer_count + 1 < MAX_OFFERS
            && latencies
                .hedge_delay(&self.request.class(), time_budget)
                .is_some()
    }

    /// Copy of the body for a hedged attempt, if the call may have one.
    fn copy_body_for_hedge(&self, body: &ReplayableBody<'_>) -> Option<RequestBody> {
        let may_hedge = self.worker.shared.max_immediate_offers > 0
            && self.request.is_idempotent
            && self.attempt_count() < self.request.attempts_limit;
        body.complete_copy().filter(|_| may_hedge)
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let latencies = lock(&self.worker.shared.latencies);
        latencies.hedge_delay(&self.request.class(), self.time_budget())
    }

    /// Takes a hedged attempt out of the service's retry budget; false if the
    /// budget is spent.
    fn try_spend_hedge(&self) -> bool {
        // Two runs of a suspect may cost two backend servers.
        self.suspect_fingerprint().is_none()
            && lock(&self.worker.shared.retry_policy)
                .try_spend_token_for_hedge(&self.request.service)
    }

    /// Finds a gate that starts the hedged attempt at once, and waits for its
    /// response; `None` if no gate does.
    async fn run_hedged_attempt(&mut self, body: &mut RequestBody) -> Option<AttemptResult> {
        for _ in 0..MAX_HEDGE_OFFERS {
            if self.offer_count + 1 >= MAX_OFFERS {
                break;
            }
            let Some(body) = body.replayable() else {
                break;
            };
            let Ok(choice) = self.choose_upstream(SkippedUpstreams::Limited) else {
                break;
            };
            self.offer_count += 1;
            self.uncounted_offers += 1;
            self.tried_nodes.insert(choice.node.clone());
            let offer = GateOffer {
                choice,
                max_occupancy_percent: HEDGE_OCCUPANCY_PERCENT,
                is_hedge: true,
                is_last_resort: false,
            };
            let result = self.run_attempt(offer, body).await;
            match &result {
                Err(error) if was_not_started(error) => continue,
                Err(error) => self.history.record_failure(error.failure),
                Ok(_) => {}
            }
            // This offer reached a backend server, so it counts as an attempt.
            self.uncounted_offers -= 1;
            return Some(result);
        }
        None
    }
}
