//! Requests per second that a backend server takes.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest time between two starts, also at a rate of zero: without any request, no
/// response would ever state the end of the limit.
const MAX_START_INTERVAL: Duration = Duration::from_secs(10);
/// Rates above this are not limits in practice.
const MAX_PER_SECOND: f64 = 1e9;

/// Reason why a number or text is not a rate.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("expected a decimal number from 0 to 1000000000, got '{text}'")]
pub struct ParseRateError {
    /// Rejected text.
    pub text: String,
}

/// Number of requests per second, 0 or more.
#[derive(Debug, Clone, Copy, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct StartRate(f64);

impl StartRate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two starts at this rate.
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.0)
            .unwrap_or(MAX_START_INTERVAL)
            .min(MAX_START_INTERVAL)
    }
}

impl TryFrom<f64> for StartRate {
    type Error = ParseRateError;

    fn try_from(per_second: f64) -> Result<Self, ParseRateError> {
        if (0.0..=MAX_PER_SECOND).contains(&per_second) {
            Ok(Self(per_second))
        } else {
            Err(ParseRateError {
                text: per_second.to_string(),
            })
        }
    }
}

impl FromStr for StartRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        // The parser of floating-point numbers also takes exponents, signs and words.
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let parsed = text.parse::<f64>().ok().filter(|_| is_decimal);
        let rate = parsed.and_then(|per_second| Self::try_from(per_second).ok());
        rate.ok_or_else(|| ParseRateError {
            text: text.to_string(),
        })
    }
}

impl From<StartRate> for f64 {
    fn from(rate: StartRate) -> Self {
        rate.0
    }
}
