//! Limit on the requests to an upstream that is cold after a start.
//!
//! A cold upstream takes a fraction of its usual rate, and one that gets much more
//! crashes and returns cold. The gate is the only way to its backend server, so it alone
//! counts the requests: [`ColdLimit`] derives the rate of starts from what the upstream
//! takes in any sliding second, [`WarmUpState`] decides from heartbeats and health
//! responses whether that rate is in force and when the health path must be queried,
//! and [`RecentStarts`] counts what was sent since the upstream was last known to be
//! warm. The starts are spaced by [`StartPacer`](crate::rate_limit::StartPacer).
//!
//! The load patterns behind this are a service that returns cold at full load, where each
//! crash starts the next cold period, and an upstream that becomes cold while its queue
//! is full.

mod limit;
mod starts;
mod state;

pub use limit::ColdLimit;
pub use starts::RecentStarts;
pub use state::{WarmUpState, Warmth, WarmthChange};

#[cfg(test)]
mod tests;
