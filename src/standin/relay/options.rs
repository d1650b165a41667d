//! Settings of `standin-relay`.

use std::net::SocketAddr;

use crate::options::{CommandSpec, FlagSpec, RawOptions, SettingError};

const RELAY_FLAGS: &[FlagSpec] = &[FlagSpec::single(
    "listen",
    "IP:PORT",
    "IP:PORT",
    "TCP and UDP address to listen on",
)
.with_default("127.0.0.1:0")];

/// Command line of `standin-relay`.
pub const RELAY_COMMAND: CommandSpec = CommandSpec {
    name: "standin-relay",
    summary: "Stands in for the network between two nodes. Prints its address as one line.",
    positional_usage: "",
    notes: "Commands on standard input, one a line: target IP:PORT, delay MILLISECONDS (for new\n\
            connections), silence (open connections discard data until closed), hold, release,\n\
            cut. Each is confirmed with the line ok.",
    flags: RELAY_FLAGS,
};

/// Checked settings of the stand-in.
#[derive(Debug, Clone, Copy)]
pub struct RelayOptions {
    /// TCP and UDP address to listen on.
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
