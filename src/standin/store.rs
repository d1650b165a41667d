//! Stand-in for the platform's key-value service.
//!
//! It implements the part of Consul's HTTP API and of the users' platform's that the
//! store clients use, enforces the platform's rate limits, counts calls by kind
//! (`GET /standin/counts`) and simulates faults (`PUT /standin/faults`). It also
//! copies its data (`PUT /standin/copy`) and goes back to that copy
//! (`PUT /standin/restore`).

mod faults;
pub(crate) mod rates;
pub(crate) mod service;
pub(crate) mod state;

pub use faults::StoreFaults;
pub use rates::CallCounts;
pub use service::serve;

use std::net::SocketAddr;

use crate::options::{CommandSpec, FlagSpec, RawOptions, SettingError};

const STANDIN_FLAGS: &[FlagSpec] = &[
    FlagSpec::single("listen", "IP:PORT", "IP:PORT", "address to listen on")
        .with_default("127.0.0.1:0"),
    FlagSpec::single(
        "writes-per-second",
        "N",
        "a whole number",
        "limit of writes and lease calls per second; more are refused with status 429",
    )
    .with_default("400"),
    FlagSpec::single(
        "reads-per-second",
        "N",
        "a whole number",
        "limit of reads and watches per second; more are refused with status 429",
    )
    .with_default("2000"),
];

/// Command line of `standin-store`.
pub const STANDIN_COMMAND: CommandSpec = CommandSpec {
    name: "standin-store",
    summary: "Stands in for the platform's key-value service in tests and the demo.",
    positional_usage: "",
    notes: "Prints its address as one line.",
    flags: STANDIN_FLAGS,
};

/// Checked settings of `standin-store`.
#[derive(Debug, Clone)]
pub struct StandinOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Limit of writes and lease calls.
    pub writes_per_second: u32,
    /// Limit of reads and watches.
    pub reads_per_second: u32,
}

impl TryFrom<RawOptions> for StandinOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        Ok(Self {
            listen: raw.required("listen")?,
            writes_per_second: raw.required("writes-per-second")?,
            reads_per_second: raw.required("reads-per-second")?,
        })
    }
}
