//! Settings of every binary, from flags and environment variables.
//!
//! Each binary has a [`CommandSpec`] with a table of its flags, from which
//! `--help` is generated. The reader turns the command line and the
//! environment into [`RawOptions`]; a `TryFrom` per binary turns these into
//! checked settings. Every flag `--some-name` can also be given as variable
//! `CURRANTLIFT_SOME_NAME`; a flag goes before the variable.

mod error;
mod node;
mod reader;
mod spec;
mod values;

pub use error::SettingError;
pub use node::{NODE_COMMAND, NodeOptions};
pub use reader::{EXIT_USAGE, ParsedCommand, RawOptions, options_from_process, parse_command};
pub use spec::{CommandSpec, FlagArity, FlagSpec};
pub use values::{
    BaseUrl, BoundedNumber, DurationSeconds, ReachableAddress, SecretToken, ThreadCount,
};

#[cfg(test)]
mod tests;
