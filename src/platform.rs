//! Adapter for the users' platform.
//!
//! Everything that the platform names in its own way is decoded here, once,
//! into types of the product: the header fields of calls, the heartbeats of
//! backend servers, the operator's configuration and the calls of the
//! platform's store. Decisions, state, retries and timers are the product's.

mod announcement;
mod config;
mod dialect;
mod store;

use crate::admin::AnnouncementDecoder;
use crate::fields::HeaderDialect;
use crate::routes::ConfigSource;

pub use store::PlatformStore;

/// What the rest of the node takes from the adapter.
#[derive(Debug)]
pub struct PlatformAdapter {
    /// Names of the header fields of calls.
    pub dialect: &'static HeaderDialect,
    /// Reader of heartbeats.
    pub announcements: AnnouncementDecoder,
    /// Where the operator's configuration lies.
    pub config: ConfigSource,
}

/// The one adapter.
pub static PLATFORM: PlatformAdapter = PlatformAdapter {
    dialect: &dialect::PLATFORM_DIALECT,
    announcements: AnnouncementDecoder {
        decode_announcement: announcement::decode_announcement,
        decode_withdrawal: announcement::decode_withdrawal,
    },
    config: ConfigSource {
        key: config::CONFIG_KEY,
        decode: config::decode_config,
    },
};

#[cfg(test)]
mod tests;
