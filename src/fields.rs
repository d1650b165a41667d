//! HTTP header fields on their way through the system.
//!
//! Hop-by-hop fields concern one connection only and are removed in both
//! directions. Body length and transfer coding travel as part of the call, so
//! they are removed as well and written anew at the other end. The names of
//! the fields that the system itself reads and sets are a [`CallDialect`], so
//! that an adapter can put those of its platform in their place.

use std::collections::BTreeSet;

use crate::backend::BackendLoad;
use crate::link::messages::HeaderField;

/// Names of the fields that the system reads and sets, and how it reads them.
///
/// A field without a name is neither read nor set.
#[derive(Debug, Clone, Copy)]
pub struct HeaderDialect {
    /// Time left for a request, in milliseconds.
    pub timeout: &'static str,
    /// Service that a request is for, where the host name doesn't say it.
    pub service: Option<&'static str>,
    /// Attempts that a nested request may use.
    pub attempts: Option<&'static str>,
    /// Whether a request that got an error answer may have run.
    pub outcome: Option<&'static str>,
    /// Identifier of the call, for log lines.
    pub call_id: Option<&'static str>,
    /// Caller's own identifier of a request; the backend server repeats it.
    pub request_id: Option<&'static str>,
    /// Mark by which an answer shows that the backend server made it.
    pub signature: Option<&'static str>,
    /// Mark of an answer that says that the request was not run.
    pub not_executed: Option<&'static str>,
    /// Backend server that a request is meant for; another one refuses it.
    pub expected_backend: Option<&'static str>,
    /// Service on whose VM a request began.
    pub caller_service: Option<&'static str>,
    /// Load of the backend server, on its answers.
    pub load: Option<&'static str>,
    /// Reads the value of the load field.
    pub parse_load: fn(&str) -> Option<BackendLoad>,
    /// Whether `Retry-After` may have fractions of a second.
    pub has_fractional_retry_after: bool,
}

/// The product's own dialect.
pub const DEFAULT_DIALECT: HeaderDialect = HeaderDialect {
    timeout: "currantlift-timeout-ms",
    service: Some("currantlift-service"),
    attempts: Some("currantlift-attempts"),
    outcome: Some("currantlift-outcome"),
    call_id: Some("currantlift-call"),
    request_id: None,
    signature: None,
    not_executed: None,
    expected_backend: None,
    caller_service: None,
    load: None,
    parse_load: |_| None,
    has_fractional_retry_after: false,
};

/// Fields that concern one connection only (RFC 9110, section 7.6.1), and
/// those that state a body's length and coding.
const REMOVED_FIELDS: [&str; 11] = [
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
pub fn end_to_end_fields(fields: Vec<HeaderField>) -> Vec<HeaderField> {
    let listed = connection_options(&fields);
    let forwarded = fields
        .into_iter()
        .filter(|field| !is_removed(&field.name, &listed));
    forwarded.collect()
}

fn connection_options(fields: &[HeaderField]) -> BTreeSet<String> {
    fields
        .iter()
        .filter(|field| field.name == "connection")
        .filter_map(|field| std::str::from_utf8(&field.value).ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn is_removed(name: &str, listed: &BTreeSet<String>) -> bool {
    REMOVED_FIELDS.contains(&name) || listed.contains(name)
}

#[cfg(test)]
mod tests;
