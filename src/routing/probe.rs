//! Token bucket that limits the rate of load probes.
//!
//! Each ingress uses an equal share of an upstream's probe budget: the rate of
//! the change ticket divided by the number of ingresses. The gate of the
//! upstream has a bucket with the whole rate and answers no probe beyond it, so
//! the limit holds even if ingresses disagree about their number.

use std::time::Duration;

/// Capacity of a bucket; each probe takes one token.
const MAX_TOKENS: f64 = 1.0;

/// Numbers of load probes sent and throttled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes for which the bucket granted a token.
    pub sent: u64,
    /// Probes that were due but exceeded the budget.
    pub throttled: u64,
}

/// Token bucket for the probes of one upstream.
///
/// Grants at most `1 + rate * t` probes in any `t` seconds.
#[derive(Debug, Clone)]
pub struct ProbeBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl ProbeBucket {
    /// Creates an empty bucket, so that a restart grants no extra probe.
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a token if the budget allows a probe now.
    ///
    /// `rate` is in probes per second and applies to the time since the last call.
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
