//! Commands that the relay reads from standard input.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};

/// Command to the relay, one line of standard input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayCommand {
    /// Forward new connections and datagrams to this address.
    Target(SocketAddr),
    /// Delay the data of new connections by this time, in each direction.
    Delay(Duration),
    /// Discard the data of open connections, until they are closed.
    Silence,
    /// Hold back the data of open connections.
    Hold,
    /// Forward the data that was held back, and go on forwarding.
    Release,
    /// Close open connections.
    Cut,
    /// Refuse new connections, as a VM whose process has exited does.
    Refuse,
    /// Accept new connections again.
    Accept,
}

/// Line that is not a command.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("unknown or malformed command '{line}', ignored")]
pub struct ParseCommandError {
    /// Line as read.
    line: String,
}

impl FromStr for RelayCommand {
    type Err = ParseCommandError;

    fn from_str(line: &str) -> Result<Self, ParseCommandError> {
        let malformed = || ParseCommandError {
            line: line.to_string(),
        };
        let (name, argument) = line.split_once(' ').unwrap_or((line, ""));
        match name {
            "target" => argument.parse().map(Self::Target).map_err(|_| malformed()),
            "delay" => argument
                .parse()
                .map(|millis| Self::Delay(Duration::from_millis(millis)))
                .map_err(|_| malformed()),
            "silence" => Ok(Self::Silence),
            "hold" => Ok(Self::Hold),
            "release" => Ok(Self::Release),
            "cut" => Ok(Self::Cut),
            "refuse" => Ok(Self::Refuse),
            "accept" => Ok(Self::Accept),
            _ => Err(malformed()),
        }
    }
}
