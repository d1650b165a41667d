//! Whether a gate sends a request a second time to its own backend server.
//!
//! Fault: a backend server closes an idle connection at the moment at which a request is
//! sent on it. It has not read the request then, and shows that within a round trip. A
//! connection that ends later, or again and again, was lost while the backend server worked:
//! such a request goes back to its ingress, which may retry it elsewhere. The second copy is
//! a request like any other, so it needs time left, a budget, and a server that takes work.

use std::time::Duration;

use super::{MIN_RETRY_TIME_LEFT, RetryBudget, RetryOptions};

/// Time within which a connection that was closed while idle shows it. The backend server
/// is on the same VM, which may be busy.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(50);
/// Tokens that a request adds to the budget; idle connections are seldom closed under one.
const TOKENS_PER_REQUEST: f64 = 0.02;
/// Second copies that may follow each other.
const MAX_TOKENS: f64 = 2.0;

/// Exchange whose connection ended before any byte of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostExchange {
    /// Whether the connection had carried a request before.
    pub is_reused: bool,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
    /// Whether part of the body is gone, which a second copy would lack.
    pub has_read_body: bool,
    /// Time from the start of the exchange to the end of the connection.
    pub elapsed: Duration,
    /// Time left until the time limit of the call.
    pub time_left: Duration,
}

/// Whether a request is sent a second time.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq)]
pub enum ResendDecision {
    /// Send it on a new connection.
    #[display("resend")]
    Resend,
    /// A second run or a second copy would be unsafe.
    #[display("unsafe")]
    Unsafe,
    /// The connection was not idle, or not for long enough: the request may be running.
    #[display("may-have-run")]
    MayHaveRun,
    /// The backend server leaves, or the zone is evacuated.
    #[display("not-accepting")]
    NotAccepting,
    /// The call has too little time left.
    #[display("time-used-up")]
    TimeUsedUp,
    /// The budget of the gate is empty.
    #[display("budget-spent")]
    BudgetSpent,
}

/// Decides on second copies at one gate.
#[derive(Debug)]
pub struct ResendPolicy {
    budget: RetryBudget,
}

impl Default for ResendPolicy {
    fn default() -> Self {
        let options = RetryOptions {
            tokens_per_first_attempt: TOKENS_PER_REQUEST,
            max_tokens: MAX_TOKENS,
            ..RetryOptions::default()
        };
        Self {
            budget: RetryBudget::new(options),
        }
    }
}

impl ResendPolicy {
    /// Adds to the budget for a request that was admitted.
    pub fn record_request(&mut self) {
        self.budget.deposit();
    }

    /// Decides on a second copy; spends a token for one. `is_accepting` tells whether the
    /// gate would admit a call now.
    pub fn decide(&mut self, lost: &LostExchange, is_accepting: bool) -> ResendDecision {
        if !lost.is_idempotent || lost.has_read_body {
            return ResendDecision::Unsafe;
        }
        if !lost.is_reused || lost.elapsed > IDLE_CLOSE_TIME {
            return ResendDecision::MayHaveRun;
        }
        if !is_accepting {
            return ResendDecision::NotAccepting;
        }
        if lost.time_left < MIN_RETRY_TIME_LEFT {
            return ResendDecision::TimeUsedUp;
        }
        if self.budget.try_spend_token() {
            ResendDecision::Resend
        } else {
            ResendDecision::BudgetSpent
        }
    }
}

#[cfg(test)]
mod tests;
