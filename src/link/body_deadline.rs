//! How long the rest of an answer may take.
//!
//! Once the head of an answer is on its way, a cut at the call's time limit
//! would throw away what is ready, and the caller could not tell what its
//! request did. So the rest goes on past the limit as long as pieces keep
//! coming, up to a bound that also ends an answer that trickles for ever.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a gate keeps a long answer whose receipt is not acknowledged.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(10);
/// Longest pause between two pieces after the time limit; processes on a busy
/// machine were seen to stall for 0.9 s.
const MAX_CHUNK_GAP: Duration = Duration::from_secs(1);
/// Longest time past the limit: as long as a gate keeps a whole answer.
const MAX_EXTENSION: Duration = RESPONSE_RETENTION;

/// Moment at which the rest of an answer is given up.
#[derive(Debug, Clone, Copy)]
pub struct BodyDeadline {
    call_deadline: Instant,
    expires_at: Instant,
}

impl BodyDeadline {
    /// Starts with the head of an answer, for a call with this time limit.
    pub fn new(call_deadline: Instant, now: Instant) -> Self {
        let mut deadline = Self {
            call_deadline,
            expires_at: call_deadline,
        };
        deadline.record_progress(now);
        deadline
    }

    /// Takes note that a piece went on.
    pub fn record_progress(&mut self, now: Instant) {
        let extended = (now + MAX_CHUNK_GAP).min(self.call_deadline + MAX_EXTENSION);
        self.expires_at = self.expires_at.max(extended);
    }

    /// Moment at which the rest is given up unless another piece comes.
    pub fn expires_at(self) -> Instant {
        self.expires_at
    }
}

#[cfg(test)]
mod tests;
