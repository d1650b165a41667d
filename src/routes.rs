//! Route configuration: selects the service of a request by host and path.
//!
//! A [`RouteConfig`] is one complete version of the operator's configuration. A
//! node only ever moves to a higher version. It reads versions from the
//! platform's store and from peers, which announce their active version by
//! gossip, so that it stays up to date while the store is unreachable.

mod announced;
pub mod config;
pub mod driver;
pub mod freshness;
pub mod history;
mod replica;
mod schedule;
pub mod split;
mod spread;
pub mod tenants;

pub use config::{
    CallerLimits, ConfigVersion, RequestKind, Route, RouteConfig, RouteTarget, ServiceSettings,
    WarmUpSettings, WeightedService,
};
pub use driver::{ConfigSource, ContactSource, RoutesHandle, RoutesSettings};
pub use freshness::{ConfigConfirmation, ConfirmationHub, ConfirmationOrigin};
pub use split::SplitSelector;
pub use tenants::{ApiKey, Tenant, TenantDirectory, TenantQuota};

#[cfg(test)]
mod tests;
