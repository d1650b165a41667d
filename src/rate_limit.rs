//! Limits on the requests per second that backend servers name in their responses.
//!
//! A limit holds for the whole fleet. The gate is the only way to its backend server,
//! so it alone counts the starts: [`StartPacer`] spaces them, [`RateStatements`]
//! decides which response is the newest statement. Both are lost with the gate's
//! process. Ingresses remember what they were told ([`KnownStatements`]) and tell a
//! gate that has restarted when they open a link to it. [`ReturnSchedule`] spreads the
//! callers that a limited gate refuses.
//!
//! The load patterns behind this are a limit named by one of several backend servers
//! while more is offered than all limits together allow, and a gate that restarts or
//! freezes meanwhile.

mod known;
mod pacer;
mod rate;
mod returns;
mod statement;

pub use known::{KnownStatement, KnownStatements};
pub use pacer::StartPacer;
pub use rate::{ParseRateError, StartRate};
pub use returns::ReturnSchedule;
pub use statement::{
    BackendStatement, RateChange, RateReading, RateStatements, ResponseTime, StatementSource,
};

#[cfg(test)]
mod tests;
