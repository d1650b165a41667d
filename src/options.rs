//! Command-line flags and environment variables of all binaries.
//!
//! Each binary declares its flags in a [`CommandSpec`], from which `--help` is
//! generated. [`parse_command`] collects flags and variables as text in
//! [`RawOptions`]; each binary converts these with `TryFrom` into validated
//! settings. Every flag `--some-name` can also be set by the environment
//! variable `CURRANTLIFT_SOME_NAME`; the flag takes precedence.

mod error;
mod node;
mod reader;
mod spec;
mod values;

pub use error::SettingError;
pub use node::{EXIT_MARGIN, NODE_COMMAND, NodeOptions, QuotaTolerance, WarmUpTolerance};
pub use reader::{EXIT_USAGE, ParsedCommand, RawOptions, options_from_process, parse_command};
pub use spec::{CommandSpec, FlagArity, FlagSpec};
pub use values::{
    BaseUrl, BoundedNumber, DecimalNumber, DescriptorCount, DurationSeconds, MemoryMegabytes,
    ReachableAddress, SecretToken, ThreadCount,
};

#[cfg(test)]
mod tests;
