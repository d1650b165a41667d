//! Whether a failed attempt of a call is followed by another.
//!
//! Three limits hold at once: the attempts and the time left of the call, what
//! is known about its run, and a budget per service that only first attempts
//! fill. Under overload the budget runs dry and refusals go straight to the
//! caller, so that retries never multiply the load. A non-idempotent call is
//! sent again only while every earlier attempt is known not to have run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::{ErrorKind, RunOutcome};
use crate::ids::ServiceName;

/// Retries earned by one first attempt.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Most retries that a service saves up.
const MAX_TOKENS: f64 = 10.0;
/// Retries that a service may make before any first attempt earned one.
const INITIAL_TOKENS: f64 = 1.0;
/// Least time left with which another attempt is worth its cost.
const MIN_RETRY_TIME_LEFT: Duration = Duration::from_millis(2);
/// Time after which a caller told of lost capacity should come back.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller told of a lost upstream should come back.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Bounds on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryOptions {
    /// Retries earned by one first attempt.
    pub tokens_per_first_attempt: f64,
    /// Most retries that a service saves up.
    pub max_tokens: f64,
    /// Whether a call is placed again at no cost after a refusal by a gate,
    /// which reached no backend server. Its placement bounds how often.
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
/// With the default options it grants over its first `n` first attempts at
/// most `1 + n / 10` retries, and over any later `n` at most `10 + n / 10`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryOptions,
    tokens: f64,
}

impl RetryBudget {
    /// Budget before the first attempt.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            tokens: INITIAL_TOKENS.min(options.max_tokens),
        }
    }
}

impl RetryBudget {
    /// Earns a share of a retry for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens =
            (self.tokens + self.options.tokens_per_first_attempt).min(self.options.max_tokens);
    }

    /// Spends one retry if there is one.
    pub fn try_spend_token(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that can be made now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// What the decision needs to know about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Attempts made, the failed one included; travels with the call.
    pub attempts_made: u32,
    /// Most attempts of the call.
    pub max_attempts: u32,
    /// Time left of the call's limit.
    pub time_left: Duration,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It was not run and never will be.
    NotRun(ErrorKind),
    /// It may or may not have run.
    Unknown(ErrorKind),
}

impl AttemptFailure {
    /// Kind of the failure.
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::NotRun(kind) | Self::Unknown(kind) => kind,
        }
    }

    /// What is known about the run.
    pub fn outcome(self) -> RunOutcome {
        match self {
            Self::NotRun(_) => RunOutcome::NotRun,
            Self::Unknown(_) => RunOutcome::Unknown,
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, at an upstream not tried yet.
    Retry,
    /// The caller is told.
    GiveUp {
        /// Kind of the answer.
        kind: ErrorKind,
        /// What is known about the run, over all attempts.
        outcome: RunOutcome,
        /// When to come back.
        retry_after: Duration,
        /// Why there is no further attempt.
        reason: GiveUpReason,
    },
}

impl RetryDecision {
    /// Short name for log lines.
    pub fn name(&self) -> String {
        match self {
            Self::Retry => "retry".to_string(),
            Self::GiveUp { reason, .. } => format!("give-up: {reason}"),
        }
    }
}

/// Why a call gets no further attempt.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Another upstream would answer the same.
    #[display("not-retryable")]
    NotRetryable,
    /// A non-idempotent call may have run.
    #[display("may-have-run")]
    MayHaveRun,
    /// Its attempts are used up.
    #[display("attempts-used-up")]
    AttemptsUsedUp,
    /// Its time is used up.
    #[display("time-used-up")]
    TimeUsedUp,
    /// The service's retry budget is spent.
    #[display("budget-spent")]
    BudgetSpent,
}

/// Retry decisions and budgets of one node.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

impl RetryPolicy {
    /// Policy without history.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            budgets: BTreeMap::new(),
        }
    }

    /// Whether the call may be placed again without a retry being spent.
    ///
    /// A drain is refused for free: it is no sign of load, and each call on its
    /// way meets it once, since the upstream is not chosen again.
    pub fn is_free_retry(&self, context: &RetryContext, failure: AttemptFailure) -> bool {
        let AttemptFailure::NotRun(kind) = failure else {
            return false;
        };
        let is_free_kind = kind == ErrorKind::Draining
            || (self.options.are_gate_refusals_free && is_gate_refusal(kind));
        is_free_kind && context.time_left >= MIN_RETRY_TIME_LEFT
    }

    /// Counts the first attempt of a call.
    pub fn record_first_attempt(&mut self, service: &ServiceName) {
        self.budget(service).deposit();
    }

    /// Decides what follows a failed attempt; a retry is taken out of the budget.
    pub fn decide(
        &mut self,
        service: &ServiceName,
        context: &RetryContext,
        failure: AttemptFailure,
    ) -> RetryDecision {
        if self.is_free_retry(context, failure) {
            return RetryDecision::Retry;
        }
        let may_have_run = matches!(failure, AttemptFailure::Unknown(_)) || context.may_have_run;
        let Some(reason) =
            self.spend_token_or_give_up(service, context, failure.kind(), may_have_run)
        else {
            return RetryDecision::Retry;
        };
        let outcome = if may_have_run {
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

    /// Takes a second copy of a call out of the budget, if there is one left.
    pub fn try_spend_token_for_hedge(&mut self, service: &ServiceName) -> bool {
        self.budget(service).try_spend_token()
    }

    /// Whether a service can make a retry now.
    pub fn has_retry_token(&self, service: &ServiceName) -> bool {
        self.tokens(service) >= 1.0
    }

    /// Retries that a service can make now, for status and metrics.
    pub fn tokens(&self, service: &ServiceName) -> f64 {
        self.budgets
            .get(service)
            .map_or(INITIAL_TOKENS, RetryBudget::tokens)
    }

    fn spend_token_or_give_up(
        &mut self,
        service: &ServiceName,
        context: &RetryContext,
        kind: ErrorKind,
        may_have_run: bool,
    ) -> Option<GiveUpReason> {
        if !is_retryable(kind) {
            return Some(GiveUpReason::NotRetryable);
        }
        if may_have_run && !context.is_idempotent {
            return Some(GiveUpReason::MayHaveRun);
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

/// Whether a refusal with this kind says that nothing reached the backend
/// server.
fn is_gate_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::Draining
            | ErrorKind::UnknownService
            | ErrorKind::BackendUnreachable
            | ErrorKind::LinkLost
    )
}

/// Whether another upstream may do better.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::Draining
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
