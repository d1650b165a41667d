//! Token bucket over the bytes that membership sends and receives.

use std::time::Duration;

/// Bytes by which what can't wait may overdraw the bucket.
const URGENT_OVERDRAFT: f64 = 500.0;

/// Time after the start at which unspent credit lapses.
const CREDIT_TIME: Duration = Duration::from_secs(10);

/// Token bucket; received bytes are charged too and can overdraw it.
#[derive(Debug)]
pub struct ByteBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Duration,
    lapses_at: Duration,
}

impl ByteBucket {
    /// Bucket with the given rate in bytes per second, burst in bytes, and
    /// bytes that it holds at the start, until they lapse.
    pub fn new(now: Duration, rate: u32, burst: u32, credit: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(credit),
            filled_at: now,
            lapses_at: now + CREDIT_TIME,
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let limit = if now < self.lapses_at {
            self.burst.max(self.tokens)
        } else {
            self.burst
        };
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(limit);
    }

    /// Bytes that may be spent now.
    pub fn available(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.tokens.max(0.0) as usize
    }

    /// Bytes that may be spent now on what can't wait.
    pub fn available_urgent(&mut self, now: Duration) -> usize {
        self.refill(now);
        (self.tokens + URGENT_OVERDRAFT).max(0.0) as usize
    }

    /// Whether more than half a second's bytes are owed.
    pub fn is_overdrawn(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens < -self.rate / 2.0
    }

    /// Takes `bytes` out, below zero if need be.
    ///
    /// A debt of one second is the most that is remembered, so that a flood
    /// from outside can't silence the node for long.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        self.refill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.rate);
    }
}
