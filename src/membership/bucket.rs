//! Token bucket that bounds the bytes that membership sends and receives.

use std::time::Duration;

/// Debt that urgent updates may run up.
const URGENT_OVERDRAFT_BYTES: f64 = 500.0;

/// Time after the start at which unspent startup credit expires.
const STARTUP_CREDIT_LIFETIME: Duration = Duration::from_secs(10);

/// Token bucket. Received bytes are charged as well, so the balance can be negative.
#[derive(Debug)]
pub struct ByteBucket {
    bytes_per_second: f64,
    burst_bytes: f64,
    tokens: f64,
    refilled_at: Duration,
    credit_expires_at: Duration,
}

impl ByteBucket {
    /// Bucket that holds `startup_credit_bytes` at first. What is left of them
    /// above `burst_bytes` expires after `STARTUP_CREDIT_LIFETIME`.
    pub fn new(
        now: Duration,
        bytes_per_second: u32,
        burst_bytes: u32,
        startup_credit_bytes: u32,
    ) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst_bytes: f64::from(burst_bytes),
            tokens: f64::from(startup_credit_bytes),
            refilled_at: now,
            credit_expires_at: now + STARTUP_CREDIT_LIFETIME,
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let limit = if now < self.credit_expires_at {
            self.burst_bytes.max(self.tokens)
        } else {
            self.burst_bytes
        };
        self.tokens = (self.tokens + self.bytes_per_second * elapsed.as_secs_f64()).min(limit);
    }

    /// Refills the bucket and returns the balance, 0 if it is overdrawn.
    pub fn available_bytes(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.tokens.max(0.0) as usize
    }

    /// Like [`available_bytes`](Self::available_bytes), with the overdraft for urgent updates.
    pub fn available_urgent_bytes(&mut self, now: Duration) -> usize {
        self.refill(now);
        (self.tokens + URGENT_OVERDRAFT_BYTES).max(0.0) as usize
    }

    /// Whether the debt exceeds the bytes of half a second.
    pub fn is_overdrawn(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens < -self.bytes_per_second / 2.0
    }

    /// Deducts `bytes`, below zero if necessary.
    ///
    /// The debt is capped at the bytes of one second, so that a flood from
    /// outside can't silence the node for long.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        self.refill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.bytes_per_second);
    }
}
