//! Faults that the stand-in store shows on demand.

use serde::Deserialize;

/// Faults switched on; each `PUT /standin/faults` replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call is refused with 503, and waiting watches end so.
    pub away: bool,
    /// Time that every call takes, in milliseconds.
    pub slow_ms: u64,
    /// Writes of keys that take effect while their answer is an error.
    pub lose_answers: u32,
    /// Writes of keys that take effect only after an error was answered.
    pub delay_writes: u32,
    /// Time until such a write takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Every lease lapses now.
    pub expire_leases: bool,
}

/// What happens to one write of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Takes effect and is answered.
    Acknowledged,
    /// Takes effect while the answer is an error.
    ResponseLost,
    /// Takes effect after an error was answered.
    Delayed,
}

impl StoreFaults {
    /// Uses up the fault that is due for a write.
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
