//! Status codes of responses.

use derive_more::{Display, Error};

/// Status code of a final response, from 200 to 599 (RFC 9110, section 15).
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub struct FinalStatus(u16);

/// A number is no status code of a final response.
#[derive(Debug, Display, Error)]
#[display("no status code of a final response: {code}")]
pub struct InvalidStatus {
    /// The number that was given.
    code: u32,
}

impl FinalStatus {
    /// Success without a body.
    pub const NO_CONTENT: Self = Self(204);
    /// The caller's copy is still valid.
    pub const NOT_MODIFIED: Self = Self(304);
    /// The recipient is not the server that the request is meant for.
    pub const MISDIRECTED_REQUEST: Self = Self(421);

    /// Status with a known code.
    ///
    /// # Panics
    ///
    /// Panics if the code is not from 200 to 599.
    pub const fn from_known(code: u16) -> Self {
        assert!(
            200 <= code && code < 600,
            "not the code of a final response"
        );
        Self(code)
    }

    /// Whether the request succeeded (2xx).
    pub fn is_success(self) -> bool {
        self.0 / 100 == 2
    }

    /// Whether the server failed (5xx).
    pub fn is_server_error(self) -> bool {
        self.0 / 100 == 5
    }

    /// Whether responses never have a body, whatever the request method.
    pub fn is_bodiless(self) -> bool {
        self == Self::NO_CONTENT || self == Self::NOT_MODIFIED
    }
}

impl TryFrom<u32> for FinalStatus {
    type Error = InvalidStatus;

    fn try_from(code: u32) -> Result<Self, Self::Error> {
        u16::try_from(code)
            .ok()
            .filter(|code| (200..600).contains(code))
            .map(Self)
            .ok_or(InvalidStatus { code })
    }
}

impl From<FinalStatus> for u16 {
    fn from(status: FinalStatus) -> Self {
        status.0
    }
}

impl From<FinalStatus> for u32 {
    fn from(status: FinalStatus) -> Self {
        status.0.into()
    }
}
