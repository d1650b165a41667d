//! Adapter for the platform that the load balancer is deployed on.
//!
//! Platform-specific names and formats are converted here, and only here, to the
//! load balancer's own types: header fields of calls, heartbeats of backend
//! servers, the operator's configuration and requests to the platform's
//! key-value store. The adapter makes no decisions and has no state, retries or
//! timers of its own.

mod announcement;
mod config;
mod dialect;
mod standin;
mod store;

use crate::admin::AnnouncementDecoder;
use crate::fields::HeaderDialect;
use crate::routes::ConfigSource;

pub use standin::add_platform_routes;
pub use store::PlatformStore;

/// Platform-specific definitions that the rest of the node uses.
#[derive(Debug)]
pub struct PlatformAdapter {
    /// Names and formats of the header fields of calls.
    pub dialect: &'static HeaderDialect,
    /// Decoder for heartbeats and withdrawals of backend servers.
    pub announcements: AnnouncementDecoder,
    /// Store keys and decoder of the operator's configuration.
    pub config: ConfigSource,
}

/// The only adapter.
pub static PLATFORM: PlatformAdapter = PlatformAdapter {
    dialect: &dialect::PLATFORM_DIALECT,
    announcements: AnnouncementDecoder {
        decode_announcement: announcement::decode_announcement,
        decode_withdrawal: announcement::decode_withdrawal,
    },
    config: ConfigSource {
        prefix: config::OPERATOR_PREFIX,
        key: config::CONFIG_KEY,
        decode: config::decode_config,
        evacuated_zone: config::evacuated_zone,
    },
};

#[cfg(test)]
mod tests;
