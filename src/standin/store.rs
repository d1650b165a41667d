//! Stand-in for the platform's key-value service.
//!
//! It speaks the small part of Consul's HTTP protocol that the adapter uses,
//! keeps to the platform's rates, counts its calls by kind
//! (`GET /standin/counts`) and fails on demand (`PUT /standin/faults`).

mod faults;
mod rates;
mod service;
mod state;

pub use faults::StoreFaults;
pub use rates::CallCounts;
pub use service::serve;

use std::net::SocketAddr;

use crate::options::{CommandSpec, FlagSpec, RawOptions, SettingError};

const STANDIN_FLAGS: &[FlagSpec] = &[
    FlagSpec::single("listen", "IP:PORT", "IP:PORT", "address to serve")
        .with_default("127.0.0.1:0"),
    FlagSpec::single(
        "writes-per-second",
        "N",
        "a whole number",
        "writes and lease calls answered in a second; more are refused with 429",
    )
    .with_default("400"),
    FlagSpec::single(
        "reads-per-second",
        "N",
        "a whole number",
        "reads and watches answered in a second; more are refused with 429",
    )
    .with_default("2000"),
];

/// Command line of `standin-store`.
pub const STANDIN_COMMAND: CommandSpec = CommandSpec {
    name: "standin-store",
    summary: "Stand-in for the platform's key-value service, for tests and the demo.",
    positional_usage: "",
    notes: "Prints the address that it serves as one line.",
    flags: STANDIN_FLAGS,
};

/// Settings of `standin-store`.
#[derive(Debug, Clone)]
pub struct StandinOptions {
    /// Address to serve.
    pub listen: SocketAddr,
    /// Writes answered in a second.
    pub writes_per_second: u32,
    /// Reads answered in a second.
    pub reads_per_second: u32,
}

impl TryFrom<RawOptions> for StandinOptions {
    type Error = SettingError;

    fn try_from(options: RawOptions) -> Result<Self, SettingError> {
        Ok(Self {
            listen: options.required("listen")?,
            writes_per_second: options.required("writes-per-second")?,
            reads_per_second: options.required("reads-per-second")?,
        })
    }
}
