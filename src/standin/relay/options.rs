//! Settings of `standin-relay`.

use std::net::SocketAddr;

use crate::options::{CommandSpec, FlagSpec, RawOptions, SettingError};

const RELAY_FLAGS: &[FlagSpec] = &[FlagSpec::single(
    "listen",
    "IP:PORT",
    "IP:PORT",
    "TCP and UDP address to forward from",
)
.with_default("127.0.0.1:0")];

/// Command line of `standin-relay`.
pub const RELAY_COMMAND: CommandSpec = CommandSpec {
    name: "standin-relay",
    summary: "Stands in for the network between two nodes. Prints its address as one line.",
    positional_usage: "",
    notes: "Lines on standard input: target IP:PORT, delay MILLISECONDS (new connections),\n\
            silence (open connections go silent for good), hold, release, cut. Each is\n\
            answered with the line ok.",
    flags: RELAY_FLAGS,
};

/// Checked settings of the stand-in.
#[derive(Debug, Clone, Copy)]
pub struct RelayOptions {
    /// Address to forward from.
    pub listen: SocketAddr,
}

impl TryFrom<RawOptions> for RelayOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        Ok(Self {
            listen: raw.required("listen")?,
        })
    }
}
