//! Deadline for the body of a response whose head has already been sent.
//!
//! Cutting off the body at the call's deadline would discard a response that is
//! nearly complete, and the caller couldn't tell what its request did. The
//! deadline is therefore extended while data keeps arriving, up to a maximum
//! that also ends a response that trickles forever.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a gate keeps an unacknowledged response that is too long for
/// the ledger.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(10);
/// Longest gap between two chunks after the call's deadline; processes on a busy
/// machine were seen to stall for 0.9 s.
const MAX_CHUNK_GAP: Duration = Duration::from_secs(1);
/// Longest extension past the call's deadline, equal to the time for which a
/// gate keeps a complete response.
const MAX_EXTENSION: Duration = RESPONSE_RETENTION;

/// Time at which an incomplete response body is abandoned.
#[derive(Debug, Clone, Copy)]
pub struct BodyDeadline {
    call_deadline: Instant,
    expires_at: Instant,
}

impl BodyDeadline {
    /// Starts when the head of the response is sent; the result is never earlier
    /// than `call_deadline`.
    pub fn new(call_deadline: Instant, now: Instant) -> Self {
        let mut deadline = Self {
            call_deadline,
            expires_at: call_deadline,
        };
        deadline.record_progress(now);
        deadline
    }

    /// Extends the deadline after a chunk was transferred.
    pub fn record_progress(&mut self, now: Instant) {
        let extended = (now + MAX_CHUNK_GAP).min(self.call_deadline + MAX_EXTENSION);
        self.expires_at = self.expires_at.max(extended);
    }

    /// Time at which the body is abandoned unless another chunk is transferred.
    pub fn expires_at(self) -> Instant {
        self.expires_at
    }
}

#[cfg(test)]
mod tests;
