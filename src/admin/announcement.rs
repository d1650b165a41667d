//! Parsing and validation of backend server announcements.
//!
//! Errors name the first invalid field and its allowed values.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::messages::{BackendAnnouncement, BackendWithdrawal, FieldError};
use crate::table::UpstreamState;

/// Parsers for the bodies that backend servers send.
///
/// A platform adapter replaces them to accept its platform's format.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncementDecoder {
    /// Parses the body of an announcement or heartbeat.
    pub decode_announcement: fn(&str) -> Result<BackendAnnouncement, FieldError>,
    /// Parses the body of a withdrawal; invalid bodies count as empty.
    pub decode_withdrawal: fn(&str) -> BackendWithdrawal,
}

/// Decoder for the JSON format of this API, used without a platform adapter.
pub const DEFAULT_ANNOUNCEMENT_DECODER: AnnouncementDecoder = AnnouncementDecoder {
    decode_announcement: |text| BackendAnnouncement::try_from(RawAnnouncement::parse(text)?),
    decode_withdrawal: |_| BackendWithdrawal {
        announcements_are_ordered: false,
        started_at_ms: None,
    },
};

/// JSON object of an announcement before validation.
#[derive(Debug)]
pub struct RawAnnouncement(Map<String, Value>);

impl RawAnnouncement {
    /// Parses `text` as a JSON object.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a JSON object.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let object = serde_json::from_str(text);
        object
            .map(Self)
            .map_err(|error| field_error("body", format!("expected a JSON object: {error}")))
    }

    fn take_optional_field<T: DeserializeOwned>(
        &mut self,
        field: &str,
        allowed: &str,
    ) -> Result<Option<T>, FieldError> {
        if self.0.contains_key(field) {
            self.take_field(field, allowed).map(Some)
        } else {
            Ok(None)
        }
    }

    fn take_field<T: DeserializeOwned>(
        &mut self,
        field: &str,
        allowed: &str,
    ) -> Result<T, FieldError> {
        let value = self
            .0
            .remove(field)
            .ok_or_else(|| field_error(field, format!("missing, expected {allowed}")))?;
        let reason = format!("{value} is not allowed, expected {allowed}");
        serde_json::from_value(value).map_err(|_| field_error(field, reason))
    }
}

fn field_error(field: &str, reason: String) -> FieldError {
    FieldError {
        field: field.to_string(),
        reason,
    }
}

impl TryFrom<RawAnnouncement> for BackendAnnouncement {
    type Error = FieldError;

    fn try_from(mut raw: RawAnnouncement) -> Result<Self, FieldError> {
        let announcement = Self {
            service: raw.take_field("service", "1 to 64 letters, digits, '-', '_' or '.'")?,
            address: raw.take_field("address", "IP:PORT")?,
            slots: raw.take_field("slots", "a whole number from 1 to 4294967295")?,
            connections: raw.take_field("connections", "a whole number from 1 to 4294967295")?,
            state: raw.take_field("state", "joining, ready or draining")?,
            order: None,
            warmup_left_ms: 0,
            rate_limit: raw.take_optional_field("rate_limit", "a decimal number from 0")?,
        };
        if announcement.address.port() == 0 || announcement.address.ip().is_unspecified() {
            let reason = format!(
                "\"{}\" is not allowed, expected IP:PORT of one host, with a port from 1",
                announcement.address
            );
            return Err(field_error("address", reason));
        }
        if announcement.state == UpstreamState::Gone {
            let reason = "\"gone\" is not allowed, expected joining, ready or draining; \
                          withdraw with DELETE";
            return Err(field_error("state", reason.to_string()));
        }
        if let Some(field) = raw.0.keys().next() {
            let reason = "unknown, expected service, address, slots, connections, state and \
                          rate_limit";
            return Err(field_error(field, reason.to_string()));
        }
        Ok(announcement)
    }
}
