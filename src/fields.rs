//! HTTP header fields on their way through the system.
//!
//! Hop-by-hop fields concern one connection only and are removed in both
//! directions. Body length and transfer coding travel as part of the call, so
//! they are removed as well and written anew by the library at the other end.

use std::collections::BTreeSet;

use bytes::Bytes;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};

use crate::link::messages::HeaderField;

/// Service that a request is for, where the host name doesn't say it.
pub const SERVICE_FIELD: &str = "currantlift-service";
/// Time left for a request, in milliseconds.
pub const TIMEOUT_FIELD: &str = "currantlift-timeout-ms";
/// Attempts that a nested request may use.
pub const ATTEMPTS_FIELD: &str = "currantlift-attempts";
/// Whether a request that got an error answer may have run.
pub const OUTCOME_FIELD: &str = "currantlift-outcome";
/// Identifier of the call, for log lines.
pub const CALL_FIELD: &str = "currantlift-call";

/// Fields that concern one connection only (RFC 9110, section 7.6.1), and
/// those that state a body's length and coding.
const DROPPED_FIELDS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that travel on, without the dropped ones and those that the
/// `Connection` field names.
pub fn end_to_end_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let named = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name.as_str(), &named))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn connection_options(headers: &HeaderMap) -> BTreeSet<String> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn is_dropped(name: &str, named: &BTreeSet<String>) -> bool {
    DROPPED_FIELDS.contains(&name) || named.contains(name)
}

/// Library form of a field; `None` for a malformed one.
pub fn library_field(field: &HeaderField) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
    let value = HeaderValue::from_bytes(&field.value).ok()?;
    Some((name, value))
}

/// Body length that a head states.
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
