//! Hedges a call that takes longer than usual by a second attempt at another
//! gate.
//!
//! Only idempotent calls are hedged, out of the service's retry budget.

use std::time::Duration;

use super::choice::MAX_OFFERS;
use super::offer::AttemptResponse;
use super::{CallDriver, GateOffer};
use crate::error::ErrorKind;
use crate::ingress::answer::CallResponse;
use crate::ingress::attempt::AttemptError;
use crate::ingress::body::RequestBody;
use crate::ingress::lock;

/// Occupancy up to which a gate starts a hedged attempt: it may take spare
/// slots, but none that first attempts need.
const HEDGE_OCCUPANCY_PERCENT: u32 = 50;
/// Gates that a hedged attempt is offered to, at most.
const MAX_HEDGE_OFFERS: u32 = 2;

/// Waits for a usable response of two attempts; without one, for the result of
/// the first.
async fn first_usable_response(
    mut first: impl Future<Output = Result<AttemptResponse, AttemptError>> + Unpin,
    mut second: impl Future<Output = Result<AttemptResponse, AttemptError>> + Unpin,
) -> Result<AttemptResponse, AttemptError> {
    let is_usable = |result: &Result<AttemptResponse, AttemptError>| {
        result.as_ref().is_ok_and(AttemptResponse::is_usable)
    };
    tokio::select! {
        result = &mut first => {
            if is_usable(&result) {
                return result;
            }
            let second_result = second.await;
            if is_usable(&second_result) { second_result } else { result }
        }
        result = &mut second => {
            if is_usable(&result) { result } else { first.await }
        }
    }
}

impl CallDriver {
    /// Makes one attempt, and hedges it by a second one if it takes too long.
    pub(super) async fn run_attempt_with_hedge(
        &mut self,
        offer: GateOffer,
        body: &mut RequestBody,
    ) -> Result<CallResponse, AttemptError> {
        let body_copy = self.copy_body_for_hedge(body);
        let delay = self.hedge_delay().filter(|_| body_copy.is_some());
        let node = offer.choice.node.clone();
        let first = self.run_attempt(offer, body);
        let Some((delay, mut body_copy)) = delay.zip(body_copy) else {
            let result = first.await;
            return self.record_result(&node, result);
        };
        tokio::pin!(first);
        let early_result = tokio::select! {
            biased;
            result = &mut first => Some(result),
            () = tokio::time::sleep(delay) => None,
        };
        let result = match early_result {
            Some(result) => result,
            None if self.try_spend_hedge() => {
                let second = self.run_hedged_attempt(&mut body_copy);
                tokio::pin!(second);
                first_usable_response(first, second).await
            }
            None => first.await,
        };
        self.record_result(&node, result)
    }

    /// Copy of the body for a hedged attempt, if the call may have one.
    fn copy_body_for_hedge(&self, body: &RequestBody) -> Option<RequestBody> {
        let may_hedge = self.worker.shared.max_immediate_offers > 0
            && self.request.is_idempotent
            && self.attempt_count() < self.request.attempts_limit;
        body.complete_copy().filter(|_| may_hedge)
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let latencies = lock(&self.worker.shared.latencies);
        latencies.hedge_delay(&self.request.class(), self.target_left())
    }

    /// Takes a hedged attempt out of the service's retry budget; false if the
    /// budget is spent.
    fn try_spend_hedge(&self) -> bool {
        lock(&self.worker.shared.retry_policy).try_spend_token_for_hedge(&self.request.service)
    }

    /// Finds a gate that starts the hedged attempt at once, and waits for its
    /// response.
    async fn run_hedged_attempt(
        &mut self,
        body: &mut RequestBody,
    ) -> Result<AttemptResponse, AttemptError> {
        for _ in 0..MAX_HEDGE_OFFERS {
            if self.offer_count + 1 >= MAX_OFFERS {
                break;
            }
            let choice = self.choose_upstream().map_err(AttemptError::not_run)?;
            self.offer_count += 1;
            self.uncounted_offers += 1;
            self.tried_nodes.insert(choice.node.clone());
            let offer = GateOffer {
                choice,
                max_occupancy_percent: HEDGE_OCCUPANCY_PERCENT,
            };
            let result = self.run_attempt(offer, body).await;
            match &result {
                Err(error) if error.estimate().is_some() => continue,
                Err(error) => self.history.record_failure(error.failure),
                Ok(_) => {}
            }
            // This offer reached a backend server, so it counts as an attempt.
            self.uncounted_offers -= 1;
            return result;
        }
        Err(AttemptError::not_run(ErrorKind::Overloaded))
    }
}
