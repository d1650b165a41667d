//! Steering lines of the relay.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};

/// One steering line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayCommand {
    /// Forward new connections and datagrams to this address.
    Target(SocketAddr),
    /// Delay what new connections carry, in each direction.
    Delay(Duration),
    /// Swallow what open connections carry, for good.
    Silence,
    /// Keep back what open connections carry.
    Hold,
    /// Pass on what was kept back.
    Release,
    /// Close open connections.
    Cut,
    /// Refuse new connections, as a VM does whose process is gone.
    Refuse,
    /// Accept new connections again.
    Accept,
}

/// Reason why a line is not a steering line.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("bad line '{line}'")]
pub struct ParseCommandError {
    /// Rejected line.
    line: String,
}

impl FromStr for RelayCommand {
    type Err = ParseCommandError;

    fn from_str(line: &str) -> Result<Self, ParseCommandError> {
        let bad_line = || ParseCommandError {
            line: line.to_string(),
        };
        let (word, argument) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "target" => argument.parse().map(Self::Target).map_err(|_| bad_line()),
            "delay" => argument
                .parse()
                .map(|millis| Self::Delay(Duration::from_millis(millis)))
                .map_err(|_| bad_line()),
            "silence" => Ok(Self::Silence),
            "hold" => Ok(Self::Hold),
            "release" => Ok(Self::Release),
            "cut" => Ok(Self::Cut),
            "refuse" => Ok(Self::Refuse),
            "accept" => Ok(Self::Accept),
            _ => Err(bad_line()),
        }
    }
}
