//! Rate of starts at which a cold upstream's limit holds in any sliding second.

use crate::rate_limit::{StartPacer, StartRate};

/// Requests of each second that are left to health polls and resends, which are sent
/// without waiting for their turn.
const RESERVED_REQUESTS: f64 = 2.0;

/// Limit on the requests to a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests that may reach the upstream in any sliding second.
    max_per_window: f64,
    start_rate: StartRate,
}

impl ColdLimit {
    /// Limit for an upstream that takes `rate` times `overage`, plus `slack` requests in
    /// any second.
    ///
    /// In any second, a pacer starts at most one request, those due in the second and
    /// those due in its burst time. The rate is lowered until these and the reserve fit.
    pub fn new(rate: StartRate, overage: f64, slack: f64) -> Self {
        let highest = rate.per_second() * overage;
        let max_per_window = highest + slack;
        let seconds_per_window = 1.0 + StartPacer::BURST_TIME.as_secs_f64();
        // The reserve would use up a low limit: at half of it, one request at a time is
        // still within the limit.
        let fitting = ((max_per_window - 1.0 - RESERVED_REQUESTS) / seconds_per_window)
            .max(max_per_window / 2.0 / seconds_per_window)
            .min(highest);
        Self {
            max_per_window,
            start_rate: StartRate::try_from(fitting).unwrap_or(rate),
        }
    }

    /// Requests that may reach the upstream in any sliding second.
    pub fn max_per_window(&self) -> f64 {
        self.max_per_window
    }

    /// Rate at which calls start.
    pub fn start_rate(&self) -> StartRate {
        self.start_rate
    }
}
