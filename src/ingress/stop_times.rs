//! Times of a planned stop, seen from the ingress.

use tokio::time::Instant;

/// Times of a planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// Time at which the node saw the signal.
    pub signalled_at: Instant,
    /// Time at which all calls end.
    pub calls_end: Instant,
}
