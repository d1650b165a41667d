//! Simulated faults of the store: an outage, slow calls, writes that are applied
//! although they are answered with an error, and expired leases.

use serde::Deserialize;

/// Faults in force; each `PUT /standin/faults` replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Refuse every call with status 503, also watches that are waiting.
    pub away: bool,
    /// Delay of every call.
    pub slow_ms: u64,
    /// Number of writes and deletes to apply, but answer with an error.
    pub lose_answers: u32,
    /// Number of writes and deletes to answer with an error and apply later.
    pub delay_writes: u32,
    /// Time until such a delayed write is applied.
    pub delay_ms: u64,
    /// Expire all leases when these faults are set.
    pub expire_leases: bool,
    /// Never answer the watches that are waiting when these faults are set; later
    /// ones are answered.
    pub silence_watches: bool,
}

/// How a write or delete of a key is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, and answered with its result.
    Acknowledged,
    /// Applied, but answered with an error.
    ResponseLost,
    /// Answered with an error, and applied later.
    Delayed,
}

impl StoreFaults {
    /// Outcome of the next write; takes one from the count of the fault it uses.
    pub fn take_write_outcome(&mut self) -> WriteOutcome {
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return WriteOutcome::ResponseLost;
        }
        if self.delay_writes > 0 {
            self.delay_writes -= 1;
            return WriteOutcome::Delayed;
        }
        WriteOutcome::Acknowledged
    }
}
