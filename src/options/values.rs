//! Types of setting values, which are validated when they are parsed.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};
use ntex::http::Uri;
use sha2::{Digest, Sha256};

/// A text is not a valid value. [`FlagSpec::allowed`] describes the valid ones.
///
/// [`FlagSpec::allowed`]: super::FlagSpec::allowed
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("value has the wrong format or is out of range")]
pub struct ParseValueError;

/// Integer from `MIN` to `MAX`, both inclusive.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoundedNumber<const MIN: u64, const MAX: u64>(u64);

/// Decimal number from `MIN` to `MAX`, both inclusive.
#[derive(Debug, Clone, Copy, Display, PartialEq, PartialOrd)]
pub struct DecimalNumber<const MIN: u32, const MAX: u32>(f64);

impl<const MIN: u32, const MAX: u32> DecimalNumber<MIN, MAX> {
    /// Returns the number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<const MIN: u32, const MAX: u32> FromStr for DecimalNumber<MIN, MAX> {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let number: f64 = text.parse().map_err(|_| ParseValueError)?;
        let range = f64::from(MIN)..=f64::from(MAX);
        range
            .contains(&number)
            .then_some(Self(number))
            .ok_or(ParseValueError)
    }
}

/// Memory of a machine in megabytes.
pub type MemoryMegabytes = BoundedNumber<64, 1_048_576>;
/// Number of file descriptors.
pub type DescriptorCount = BoundedNumber<128, 1_048_576>;
/// Number of threads.
pub type ThreadCount = BoundedNumber<1, 64>;
/// Duration from one second to ten minutes.
pub type DurationSeconds = BoundedNumber<1, 600>;

/// Whether a gate's concurrency limit follows the latency.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum SlotLimitMode {
    /// The limit is lowered when latencies rise.
    #[display("adaptive")]
    Adaptive,
    /// The limit equals the number of slots.
    #[display("fixed")]
    Fixed,
}

impl FromStr for SlotLimitMode {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        [Self::Adaptive, Self::Fixed]
            .into_iter()
            .find(|mode| mode.to_string() == text)
            .ok_or(ParseValueError)
    }
}

/// Whether an optional part is in use.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum Toggle {
    /// The part is used.
    #[display("on")]
    On,
    /// The part is not used.
    #[display("off")]
    Off,
}

impl FromStr for Toggle {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        [Self::On, Self::Off]
            .into_iter()
            .find(|toggle| toggle.to_string() == text)
            .ok_or(ParseValueError)
    }
}

impl<const MIN: u64, const MAX: u64> BoundedNumber<MIN, MAX> {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the allowed number that is nearest to `number`.
    pub fn clamped(number: u64) -> Self {
        Self(number.clamp(MIN, MAX))
    }
}

impl<const MIN: u64, const MAX: u64> TryFrom<u64> for BoundedNumber<MIN, MAX> {
    type Error = ParseValueError;

    fn try_from(number: u64) -> Result<Self, ParseValueError> {
        if (MIN..=MAX).contains(&number) {
            Ok(Self(number))
        } else {
            Err(ParseValueError)
        }
    }
}

impl<const MIN: u64, const MAX: u64> FromStr for BoundedNumber<MIN, MAX> {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let number: u64 = text.parse().map_err(|_| ParseValueError)?;
        Self::try_from(number)
    }
}

/// Base URL of an HTTP service: `http://HOST:PORT`, without path and query.
#[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct BaseUrl(String);

impl BaseUrl {
    /// URL without a trailing slash.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// URL of `path`, which starts with a slash, on this service.
    pub fn join(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl FromStr for BaseUrl {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let uri: Uri = text.parse().map_err(|_| ParseValueError)?;
        let is_http = uri.scheme_str() == Some("http");
        let has_host = uri.host().is_some_and(|host| !host.is_empty());
        let has_port = uri.port_u16().is_some_and(|port| port > 0);
        let has_no_path = uri.path() == "/" && uri.query().is_none();
        if is_http && has_host && has_port && has_no_path {
            Ok(Self(text.trim_end_matches('/').to_string()))
        } else {
            Err(ParseValueError)
        }
    }
}

/// Socket address that can be a destination: its port is not 0 and its IP
/// address is not the unspecified one.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReachableAddress(SocketAddr);

impl ReachableAddress {
    /// Returns the address.
    pub fn get(self) -> SocketAddr {
        self.0
    }
}

impl FromStr for ReachableAddress {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let address: SocketAddr = text.parse().map_err(|_| ParseValueError)?;
        if address.port() == 0 || address.ip().is_unspecified() {
            return Err(ParseValueError);
        }
        Ok(Self(address))
    }
}

/// Bearer token; its `Debug` output hides the text.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretToken(String);

impl SecretToken {
    /// Text of the token, to send it in a request.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `offered` equals this token.
    ///
    /// Compares digests instead of the texts, so that the response time does not
    /// reveal how long a prefix of the token was correct.
    pub fn matches(&self, offered: &str) -> bool {
        Sha256::digest(self.0.as_bytes()) == Sha256::digest(offered.as_bytes())
    }
}

impl fmt::Debug for SecretToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretToken(..)")
    }
}

impl FromStr for SecretToken {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let is_printable = |c: char| c.is_ascii_graphic();
        if text.len() >= 8 && text.chars().all(is_printable) {
            Ok(Self(text.to_string()))
        } else {
            Err(ParseValueError)
        }
    }
}
