//! Requests that a stopping node still accepts.
//!
//! Load pattern: planned stops beside requests that run about as long as the stop lasts. Callers
//! have some time to leave, and what they send in most of it is served, however long it may run.
//! What comes later, such as nested calls of the node's own backend server, is accepted only if its
//! whole time limit ends before the stop ends all calls. Otherwise it could be cut while its
//! upstream works, and its caller would not know whether it ran.

use std::time::Duration;

use tokio::time::Instant;

/// Longest delay with which a busy VM sees a signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(900);

/// Times of a planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// Time at which the node saw the signal.
    pub signalled_at: Instant,
    /// Earliest end of the callers' time to leave: the signal may have been sent some time
    /// before it was seen.
    leave_until: Instant,
    /// Time at which all calls end.
    pub calls_end: Instant,
}

impl StopTimes {
    /// Times of a stop whose signal is seen now.
    pub fn new(signalled_at: Instant, leave_time: Duration, call_limit: Duration) -> Self {
        Self {
            signalled_at,
            leave_until: signalled_at + leave_time.saturating_sub(SIGNAL_DELAY),
            calls_end: signalled_at + call_limit,
        }
    }

    /// Whether a request with this time limit is accepted.
    pub fn accepts(&self, arrived_at: Instant, time_limit: Duration) -> bool {
        arrived_at < self.leave_until || arrived_at + time_limit <= self.calls_end
    }
}

#[cfg(test)]
mod tests;
