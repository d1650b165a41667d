//! A second copy of a call that takes longer than usual, at another gate.
//!
//! Only idempotent calls get one, out of the service's retry budget.

use std::time::Duration;

use super::choice::MAX_PLACEMENTS;
use super::offer::Answered;
use super::{CallDriver, PlacedCall};
use crate::error::ErrorKind;
use crate::ingress::answer::CallAnswer;
use crate::ingress::attempt::AttemptEnd;
use crate::ingress::body::RequestBody;
use crate::ingress::lock;

/// Occupancy up to which a gate starts a second copy: it may take room that is
/// left over, but none that first copies need.
const HEDGE_PERCENT: u32 = 50;
/// Gates that are asked to start a second copy.
const HEDGE_ASKS: u32 = 2;

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

impl CallDriver {
    /// Makes one attempt, with a second copy beside it if it takes too long.
    pub(super) async fn try_once(
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
        lock(&self.worker.shared.retries).try_spend_token_for_hedge(&self.facts.service)
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
                Err(end) => self.history.record_failure(end.failure),
                Ok(_) => {}
            }
            // This one reached a backend server, so it counts as an attempt.
            self.free_refusals -= 1;
            return result;
        }
        Err(AttemptEnd::not_run(ErrorKind::Overloaded))
    }
}
