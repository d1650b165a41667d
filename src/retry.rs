//! Retry policy: whether a failed attempt of a call is followed by another.
//!
//! A retry has to pass three checks: the call has attempts and time left, a
//! second run is safe, and the service's retry budget has a token. Only first
//! attempts add tokens to the budget. Under overload the budget is soon empty
//! and failures are returned to the caller, so that retries can't multiply the
//! load. A non-idempotent call is retried only while every earlier attempt is
//! known not to have run, and no call once the start of its body is gone. A
//! retry that costs no token has to be as safe as any other.

pub mod resend;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::{ErrorKind, RunOutcome};
use crate::ids::ServiceName;

const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;
const MAX_TOKENS: f64 = 10.0;
/// Lets a service retry once before its first attempts have earned a token.
const INITIAL_TOKENS: f64 = 1.0;
/// With less time left another attempt isn't worth its cost.
const MIN_RETRY_TIME_LEFT: Duration = Duration::from_millis(2);
/// `retry-after` of failures other than a missing or lost upstream, such as lack
/// of capacity.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry-after` of failures because an upstream is missing or lost.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Settings of the retry budgets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryOptions {
    /// Tokens that a first attempt adds to its service's budget; a retry costs
    /// one.
    pub tokens_per_first_attempt: f64,
    /// Most tokens that a service's budget holds.
    pub max_tokens: f64,
    /// Whether a retry after a refusal by a gate costs no token, since the call
    /// reached no backend server. The placement search bounds their number.
    pub are_gate_refusals_free: bool,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            tokens_per_first_attempt: TOKENS_PER_FIRST_ATTEMPT,
            max_tokens: MAX_TOKENS,
            are_gate_refusals_free: false,
        }
    }
}

/// Token bucket of one service's retries.
///
/// With the default options it grants at most `1 + n / 10` retries over the
/// first `n` first attempts, and at most `10 + n / 10` over any `n` later ones.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryOptions,
    tokens: f64,
}

impl RetryBudget {
    /// Budget with the initial tokens.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            tokens: INITIAL_TOKENS.min(options.max_tokens),
        }
    }
}

impl RetryBudget {
    /// Adds the tokens that one first attempt earns.
    pub fn deposit(&mut self) {
        self.tokens =
            (self.tokens + self.options.tokens_per_first_attempt).min(self.options.max_tokens);
    }

    /// Spends one token; false if there is less than one.
    pub fn try_spend_token(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back a token that was spent on an attempt that no backend server got.
    pub fn return_token(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.options.max_tokens);
    }

    /// Tokens left; a retry needs one whole token.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// State of a call after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether another attempt can send the whole request body.
    pub is_body_replayable: bool,
    /// Attempts made so far, the failed one included; sent along with the call.
    pub attempts_made: u32,
    /// Attempts allowed in total.
    pub max_attempts: u32,
    /// Time left until the call's time limit.
    pub time_left: Duration,
}

impl RetryContext {
    /// Why another attempt would be unsafe, if it would be.
    fn unsafe_reason(&self, failure: AttemptFailure) -> Option<GiveUpReason> {
        if self.has_possible_run(failure) && !self.is_idempotent {
            return Some(GiveUpReason::MayHaveRun);
        }
        (!self.is_body_replayable).then_some(GiveUpReason::BodyNotReplayable)
    }

    /// Whether this or an earlier attempt may have run.
    fn has_possible_run(&self, failure: AttemptFailure) -> bool {
        self.may_have_run || matches!(failure, AttemptFailure::Unknown(_))
    }
}

/// Why an attempt failed and whether it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It did not run and never will.
    NotRun(ErrorKind),
    /// It may or may not have run.
    Unknown(ErrorKind),
}

impl AttemptFailure {
    /// Error kind, whether the attempt ran or not.
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::NotRun(kind) | Self::Unknown(kind) => kind,
        }
    }

    /// What is known about the run of this attempt.
    pub fn outcome(self) -> RunOutcome {
        match self {
            Self::NotRun(_) => RunOutcome::NotRun,
            Self::Unknown(_) => RunOutcome::Unknown,
        }
    }
}

/// Whether a failed attempt is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt at an upstream not tried yet.
    Retry,
    /// Return the failure to the caller.
    GiveUp {
        /// Error kind of the response.
        kind: ErrorKind,
        /// What is known about the run, over all attempts.
        outcome: RunOutcome,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Why there is no further attempt.
        reason: GiveUpReason,
    },
}

impl RetryDecision {
    /// Decision as written to log lines, with the reason for giving up.
    pub fn name(&self) -> String {
        match self {
            Self::Retry => "retry".to_string(),
            Self::GiveUp { reason, .. } => format!("give-up: {reason}"),
        }
    }
}

/// Why a call is not retried.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq)]
pub enum GiveUpReason {
    /// An attempt at another upstream would fail the same way.
    #[display("not-retryable")]
    NotRetryable,
    /// A non-idempotent call may have run.
    #[display("may-have-run")]
    MayHaveRun,
    /// Part of the request body was sent and is no longer buffered.
    #[display("body-not-replayable")]
    BodyNotReplayable,
    /// The call has made all its allowed attempts.
    #[display("attempts-used-up")]
    AttemptsUsedUp,
    /// The call has too little time left.
    #[display("time-used-up")]
    TimeUsedUp,
    /// The service's retry budget is empty.
    #[display("budget-spent")]
    BudgetSpent,
}

/// Retry decisions and the retry budgets of all services at one node.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

impl RetryPolicy {
    /// Policy under which each service starts with a new budget.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            budgets: BTreeMap::new(),
        }
    }

    /// Whether the call may be retried without spending a token.
    ///
    /// A retry after a refusal by a draining upstream or in an evacuated zone is free:
    /// neither is a sign of overload, and each call in transit is refused by it only once,
    /// since the upstream is not chosen again.
    pub fn is_free_retry(&self, context: &RetryContext, failure: AttemptFailure) -> bool {
        let AttemptFailure::NotRun(kind) = failure else {
            return false;
        };
        let is_free_kind = matches!(kind, ErrorKind::Draining | ErrorKind::ZoneEvacuated)
            || (self.options.are_gate_refusals_free && is_gate_refusal(kind));
        is_free_kind
            && context.unsafe_reason(failure).is_none()
            && context.time_left >= MIN_RETRY_TIME_LEFT
    }

    /// Adds the tokens of a call's first attempt to its service's budget.
    pub fn record_first_attempt(&mut self, service: &ServiceName) {
        self.budget(service).deposit();
    }

    /// Decides whether a failed attempt is retried; spends a token if the retry
    /// is not free.
    pub fn decide(
        &mut self,
        service: &ServiceName,
        context: &RetryContext,
        failure: AttemptFailure,
    ) -> RetryDecision {
        if self.is_free_retry(context, failure) {
            return RetryDecision::Retry;
        }
        let Some(reason) = self.spend_token_or_give_up(service, context, failure) else {
            return RetryDecision::Retry;
        };
        let outcome = if context.has_possible_run(failure) {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        RetryDecision::GiveUp {
            kind: failure.kind(),
            outcome,
            retry_after: retry_after(failure.kind()),
            reason,
        }
    }

    /// Spends a token on a hedged second copy of a call; false if the budget has
    /// none.
    pub fn try_spend_token_for_hedge(&mut self, service: &ServiceName) -> bool {
        self.budget(service).try_spend_token()
    }

    /// Gives back the token of a hedged copy that no gate started.
    pub fn return_hedge_token(&mut self, service: &ServiceName) {
        self.budget(service).return_token();
    }

    /// Whether the budget of a service has a token for a retry.
    pub fn has_retry_token(&self, service: &ServiceName) -> bool {
        self.tokens(service) >= 1.0
    }

    /// Tokens left in the budget of a service.
    pub fn tokens(&self, service: &ServiceName) -> f64 {
        self.budgets
            .get(service)
            .map_or(INITIAL_TOKENS, RetryBudget::tokens)
    }

    fn spend_token_or_give_up(
        &mut self,
        service: &ServiceName,
        context: &RetryContext,
        failure: AttemptFailure,
    ) -> Option<GiveUpReason> {
        if !is_retryable(failure.kind()) {
            return Some(GiveUpReason::NotRetryable);
        }
        if let Some(reason) = context.unsafe_reason(failure) {
            return Some(reason);
        }
        if context.attempts_made >= context.max_attempts {
            return Some(GiveUpReason::AttemptsUsedUp);
        }
        if context.time_left < MIN_RETRY_TIME_LEFT {
            return Some(GiveUpReason::TimeUsedUp);
        }
        let has_spent_token = self.budget(service).try_spend_token();
        (!has_spent_token).then_some(GiveUpReason::BudgetSpent)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let options = self.options;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(options))
    }
}

/// Whether a failure of this kind occurs before the call reaches the backend server.
fn is_gate_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::Draining
            | ErrorKind::ZoneEvacuated
            | ErrorKind::UnknownService
            | ErrorKind::BackendUnreachable
            | ErrorKind::LinkLost
    )
}

/// Whether an attempt at another upstream may succeed.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::Draining
            | ErrorKind::ZoneEvacuated
            | ErrorKind::BackendUnreachable
            | ErrorKind::BackendRefused
            | ErrorKind::BackendFailed
            | ErrorKind::LinkLost
            | ErrorKind::GateRestarted
    )
}

fn retry_after(kind: ErrorKind) -> Duration {
    match kind {
        ErrorKind::NoUpstream
        | ErrorKind::BackendUnreachable
        | ErrorKind::LinkLost
        | ErrorKind::GateRestarted => UPSTREAM_RETRY_AFTER,
        _ => CAPACITY_RETRY_AFTER,
    }
}

#[cfg(test)]
mod tests;
