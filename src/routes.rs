//! Routes: which service answers a request, by host and path.
//!
//! A [`RouteConfig`] is one whole version of the operator's configuration. A
//! node only ever moves to a higher version. It gets versions from the
//! platform's store or, when the store can't be reached, from its peers, who
//! name the version that they have in force.

pub mod config;
pub mod driver;
pub mod history;
mod replica;
pub mod split;

pub use config::{
    CallerLimits, ConfigVersion, RequestKind, Route, RouteConfig, RouteTarget, ServiceSettings,
    WeightedService,
};
pub use driver::{ConfigSource, RoutesHandle, RoutesSettings};
pub use split::SplitSelector;

#[cfg(test)]
mod tests;
