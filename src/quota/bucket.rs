//! Token bucket of a tenant at its owner, or of a node without an owner.

use std::time::Duration;

/// Bucket that fills with time; the caller states rate and depth, which may change.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    pub fn new(now: Duration, level: f64) -> Self {
        Self {
            level,
            filled_at: now,
        }
    }

    /// Fills the bucket for the time that has passed.
    pub fn fill(&mut self, now: Duration, rate: f64, depth: f64) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(depth);
    }

    /// Tokens that it holds.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes up to `wanted` whole tokens, and leaves `reserve` behind.
    pub fn take(&mut self, wanted: u16, reserve: f64) -> u16 {
        let available = (self.level - reserve).max(0.0).floor();
        let taken = available.min(f64::from(wanted));
        self.level -= taken;
        taken as u16
    }
}
