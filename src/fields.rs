//! HTTP header fields: which are forwarded, and which the system itself uses.
//!
//! Hop-by-hop fields concern one connection only and are removed in both
//! directions. Body length and transfer coding are part of the forwarded call,
//! so their fields are removed as well and generated anew at the other end.
//! [`HeaderDialect`] holds the names of the fields that the system itself reads
//! and sets, so that a platform adapter can replace them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::backend::BackendLoad;
use crate::http1::head::field_text;
use crate::link::messages::HeaderField;
use crate::rate_limit::{BackendStatement, RateReading};

/// Names, in lower case, and formats of the fields that the system reads and sets.
///
/// A field whose name is `None` is neither read nor set.
#[derive(Debug, Clone, Copy)]
pub struct HeaderDialect {
    /// Time left for the request, in milliseconds.
    pub timeout: &'static str,
    /// Service that the request is for, if the host name doesn't tell.
    pub service: Option<&'static str>,
    /// Attempts that a nested request may use.
    pub attempts: Option<&'static str>,
    /// Whether a request that was answered with an error may have run.
    pub outcome: Option<&'static str>,
    /// Identifier of the call, for log lines.
    pub call_id: Option<&'static str>,
    /// Identifier that the caller gave the request; the backend server echoes it.
    pub request_id: Option<&'static str>,
    /// Field by which an answer shows that it comes from the backend server.
    pub signature: Option<&'static str>,
    /// Field of an answer that tells that the request was not run.
    pub not_executed: Option<&'static str>,
    /// Backend server that the request is meant for; any other refuses it.
    pub expected_backend: Option<&'static str>,
    /// Service on whose VM the request originated.
    pub caller_service: Option<&'static str>,
    /// Tenant of the caller, set for backend servers.
    pub tenant: Option<&'static str>,
    /// Load of the backend server, set on its answers.
    pub load: Option<&'static str>,
    /// Requests per second that the backend server takes from all nodes together, set
    /// on its answers while it is in force.
    pub rate_limit: Option<&'static str>,
    /// Set to `1` on all answers of a backend server that leaves.
    pub leaving: Option<&'static str>,
    /// Identifier of the backend server, set on answers of its health path.
    pub backend_id: Option<&'static str>,
    /// Time for which the backend server will still be cold, in milliseconds.
    pub warm_up_left_ms: Option<&'static str>,
    /// Parses the value of the `load` field.
    pub parse_load: fn(&str) -> Option<BackendLoad>,
    /// Whether `Retry-After` may contain fractions of a second.
    pub has_fractional_retry_after: bool,
}

/// Dialect used without a platform adapter.
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
    tenant: None,
    load: None,
    rate_limit: Some("currantlift-rate-limit"),
    leaving: Some("currantlift-leaving"),
    backend_id: None,
    warm_up_left_ms: Some("currantlift-warm-up-left-ms"),
    parse_load: |_| None,
    has_fractional_retry_after: false,
};

/// Value of the `leaving` field.
const LEAVING_VALUE: &str = "1";

impl HeaderDialect {
    /// What the head of a backend server's response says about the server.
    pub fn backend_statement(&self, fields: &[HeaderField]) -> BackendStatement {
        let is_leaving = self.leaving.is_some_and(|name| {
            field_text(fields, name).is_some_and(|text| text.trim() == LEAVING_VALUE)
        });
        BackendStatement {
            rate: self.rate_reading(fields),
            is_leaving,
            warm_up_left: self.warm_up_left(fields),
        }
    }

    /// Time for which the backend server is still cold; `None` if it isn't stated.
    fn warm_up_left(&self, fields: &[HeaderField]) -> Option<Duration> {
        let text = field_text(fields, self.warm_up_left_ms?)?;
        let left = text.trim().parse().map(Duration::from_millis);
        left.inspect_err(|error| {
            log::warn!(target: "gate", value = text; "warm-up time not readable: {error}");
        })
        .ok()
    }

    fn rate_reading(&self, fields: &[HeaderField]) -> RateReading {
        let Some(name) = self.rate_limit else {
            return RateReading::Absent;
        };
        let mut values = fields.iter().filter(|field| field.name == name);
        let Some(value) = values.next() else {
            return RateReading::Absent;
        };
        let text = String::from_utf8_lossy(&value.value);
        // Of two values, neither can be taken for the limit.
        let rate = text.trim().parse().ok().filter(|_| values.next().is_none());
        rate.map_or_else(
            || RateReading::Unreadable(text.into_owned()),
            RateReading::Named,
        )
    }
}

/// Hop-by-hop fields (RFC 9110, section 7.6.1) and those that describe the
/// length and coding of a body.
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

/// Returns the fields to forward: all but the hop-by-hop ones, those about the
/// body and those that the `Connection` field lists.
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
