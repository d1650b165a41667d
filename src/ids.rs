//! Newtypes for identifiers and counts, which reject invalid values.
//!
//! Text identifiers have 1 to 64 characters out of letters, digits, `-`, `_`
//! and `.`, so that they need no quoting in URLs, store keys and log lines.
//! The unit of a number is in the type name or its documentation.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest text identifier, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Reason why a text or number is not a valid identifier.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty, too long or has a character that is not allowed.
    #[display("expected 1 to 64 letters, digits, '-', '_' or '.', got '{text}'")]
    InvalidName {
        /// Rejected text.
        text: String,
    },
    /// The text is not a number in the allowed range.
    #[display("expected {expected}, got '{text}'")]
    InvalidNumber {
        /// Allowed values in words.
        expected: &'static str,
        /// Rejected text.
        text: String,
    },
}

fn validate_name(text: &str) -> Result<(), ParseIdError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    if is_valid {
        Ok(())
    } else {
        Err(ParseIdError::InvalidName {
            text: text.to_string(),
        })
    }
}

macro_rules! text_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                validate_name(&text)?;
                Ok(Self(text))
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                Self::try_from(text.to_string())
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_newtype!(
    /// Identifier of a node and its upstream, unique in the fleet.
    NodeId
);
text_newtype!(
    /// Name of a service.
    ServiceName
);
text_newtype!(
    /// Name of a region.
    RegionName
);
text_newtype!(
    /// Name of an availability zone, unique in the fleet.
    ZoneName
);
text_newtype!(
    /// Name of the team that owns a service.
    TeamName
);
text_newtype!(
    /// Name of a tenant, which callers prove by an API key.
    TenantName
);
text_newtype!(
    /// Identifier under which a backend server announces itself.
    BackendId
);

macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $min:expr, $expected:expr) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(try_from = "u64", into = "u64")]
        pub struct $name($repr);

        impl $name {
            /// Returns the value as a primitive integer.
            pub fn get(self) -> $repr {
                self.0
            }
        }

        impl TryFrom<u64> for $name {
            type Error = ParseIdError;

            fn try_from(number: u64) -> Result<Self, ParseIdError> {
                let invalid_number = || ParseIdError::InvalidNumber {
                    expected: $expected,
                    text: number.to_string(),
                };
                let value = <$repr>::try_from(number).map_err(|_| invalid_number())?;
                if value < $min {
                    return Err(invalid_number());
                }
                Ok(Self(value))
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let number = text.parse::<u64>().map_err(|_| ParseIdError::InvalidNumber {
                    expected: $expected,
                    text: text.to_string(),
                })?;
                Self::try_from(number)
            }
        }

        impl From<$name> for u64 {
            fn from(id: $name) -> Self {
                u64::from(id.0)
            }
        }
    };
}

number_newtype!(
    /// Number of a change ticket.
    TicketNumber,
    u64,
    1,
    "a whole number from 1"
);
number_newtype!(
    /// Number of calls that a backend server can run concurrently.
    SlotCount,
    u32,
    1,
    "a whole number from 1 to 4294967295"
);
number_newtype!(
    /// Number of connections that a backend server accepts.
    ConnectionCount,
    u32,
    1,
    "a whole number from 1 to 4294967295"
);
number_newtype!(
    /// Incarnation of a node process; each later start of the node has a higher one.
    NodeIncarnation,
    u64,
    1,
    "a whole number from 1"
);

/// Hash that identifies one start of a backend server.
#[derive(
    Debug,
    Clone,
    Copy,
    Display,
    derive_more::FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct BackendKey(u64);

impl BackendKey {
    /// Key of the start at this time in Unix milliseconds.
    pub fn new(id: &BackendId, started_at_ms: u64) -> Self {
        Self(xxh3_64_with_seed(id.as_str().as_bytes(), started_at_ms))
    }

    /// Key of a backend server that doesn't state its start: a later start at the same
    /// address has the same.
    pub fn at_address(id: &BackendId, address: SocketAddr) -> Self {
        Self(xxh3_64(format!("{id}@{address}").as_bytes()))
    }

    /// Returns the hash.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for BackendKey {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

/// Identifier of a call, unique in the fleet and across restarts.
///
/// It consists of the incarnation of the ingress node, whose low bits are
/// random, and a sequence number. Resends of the call keep it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// Incarnation of the ingress node that accepted the call.
    pub ingress_incarnation: u64,
    /// Sequence number of the call at that ingress.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:016x}-{:x}",
            self.ingress_incarnation, self.sequence
        )
    }
}

impl FromStr for CallId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let invalid_number = || ParseIdError::InvalidNumber {
            expected: "a call id such as 00000000000000ff-1a",
            text: text.to_string(),
        };
        let (ingress_incarnation, sequence) = text.split_once('-').ok_or_else(invalid_number)?;
        let ingress_incarnation =
            u64::from_str_radix(ingress_incarnation, 16).map_err(|_| invalid_number())?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| invalid_number())?;
        Ok(Self {
            ingress_incarnation,
            sequence,
        })
    }
}

#[cfg(test)]
mod tests;
