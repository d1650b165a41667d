//! Spreads the callers that a limited gate refuses.
//!
//! Callers that are refused together and told the same time return together, and all
//! but one are refused again. Each is therefore told a time of its own, one interval of
//! the rate after the one before it.

use std::time::Duration;

use super::StartRate;

/// Times at which refused callers are expected to return.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    last_return_at: Duration,
}

impl ReturnSchedule {
    /// Time after which the refused caller should return: not before `earliest`, when
    /// the calls that wait now have started. A caller that can't wait so long takes no
    /// place.
    pub fn reserve(
        &mut self,
        now: Duration,
        rate: StartRate,
        earliest: Duration,
        time_left: Duration,
    ) -> Duration {
        let return_at = (now + earliest).max(self.last_return_at + rate.interval());
        let retry_after = return_at.saturating_sub(now);
        if retry_after < time_left {
            self.last_return_at = return_at;
        }
        retry_after
    }
}
