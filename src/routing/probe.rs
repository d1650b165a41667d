//! Token bucket that bounds load probes.
//!
//! An ingress spends its own share of an upstream's budget (the rate of the
//! change ticket divided by the ingresses); the upstream's gate keeps a bucket
//! with the whole rate and answers no probe beyond it, so that the bound holds
//! even where ingresses disagree about their number.

use std::time::Duration;

/// Most tokens a bucket saves up.
const MAX_TOKENS: f64 = 1.0;

/// Load probes sent and held back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes sent.
    pub sent: u64,
    /// Probes wanted but held back by the budget.
    pub throttled: u64,
}

/// Token bucket for the probes of one upstream.
///
/// In any span of time `t` it grants at most `1 + rate * t` probes.
#[derive(Debug, Clone)]
pub struct ProbeBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl ProbeBucket {
    /// Empty bucket, so that a restart grants nothing extra.
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a token if the budget allows a probe now.
    ///
    /// `rate` is in probes per second; a change of it counts from the last call.
    pub fn try_take(&mut self, now: Duration, rate: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.tokens + elapsed.as_secs_f64() * rate.max(0.0);
        self.tokens = refilled.min(MAX_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
