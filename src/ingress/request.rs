//! Checks of a caller's request before anything is done with it.

use std::time::Duration;

use ntex::http::header::{HOST, HeaderMap};
use ntex::web::HttpRequest;

use crate::error::ErrorKind;
use crate::fields::{
    ATTEMPTS_FIELD, SERVICE_FIELD, TIMEOUT_FIELD, end_to_end_fields, stated_length,
};
use crate::ids::ServiceName;
use crate::link::messages::HeaderField;
use crate::table::{RoutingTable, ServiceRule};

/// Longest time limit that a caller may ask for, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// What the system needs to know about a request.
#[derive(Debug)]
pub struct RequestFacts {
    /// Service that is asked for.
    pub service: ServiceName,
    /// Its rule in force.
    pub rule: ServiceRule,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields that travel on.
    pub fields: Vec<HeaderField>,
    /// Time limit.
    pub timeout: Duration,
    /// Most attempts.
    pub attempts_limit: u32,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Length of the body, if the caller stated it.
    pub body_length: Option<u64>,
}

impl RequestFacts {
    /// Checks a request against the services in force.
    ///
    /// # Errors
    ///
    /// The error kind of the refusal; nothing was run.
    pub fn check(request: &HttpRequest, table: &RoutingTable) -> Result<Self, ErrorKind> {
        let headers = request.headers();
        let service = service_name(headers)?;
        let entry = table
            .services
            .get(&service)
            .ok_or(ErrorKind::UnknownService)?;
        let method = request.method().as_str().to_string();
        if method == "CONNECT" {
            return Err(ErrorKind::BadRequest);
        }
        let uri = request.uri();
        let path = uri
            .path_and_query()
            .map_or_else(|| "/".to_string(), ToString::to_string);
        let rule = entry.rule.clone();
        let body_length = stated_length(headers);
        if body_length.is_some_and(|length| length > rule.body_limit) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let own_timeout = rule.timeout(&method, uri.path());
        let asked_timeout = asked_timeout(headers)?;
        Ok(Self {
            service,
            timeout: asked_timeout.unwrap_or(own_timeout),
            attempts_limit: attempts_limit(headers, rule.attempts)?,
            is_idempotent: rule.is_idempotent(&method, uri.path()),
            method,
            path,
            fields: end_to_end_fields(headers),
            body_length,
            rule,
        })
    }
}

fn service_name(headers: &HeaderMap) -> Result<ServiceName, ErrorKind> {
    let text = match headers.get(SERVICE_FIELD) {
        Some(value) => value.to_str().map_err(|_| ErrorKind::BadRequest)?,
        None => host_name(headers)?,
    };
    text.parse().map_err(|_| ErrorKind::UnknownService)
}

fn host_name(headers: &HeaderMap) -> Result<&str, ErrorKind> {
    let host = headers.get(HOST).ok_or(ErrorKind::BadRequest)?;
    let host = host.to_str().map_err(|_| ErrorKind::BadRequest)?;
    Ok(host.split(':').next().unwrap_or(host))
}

fn asked_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ErrorKind> {
    let Some(value) = headers.get(TIMEOUT_FIELD) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ErrorKind::BadTimeout)?;
    let timeout_ms: u64 = text.parse().map_err(|_| ErrorKind::BadTimeout)?;
    if !(1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
        return Err(ErrorKind::BadTimeout);
    }
    Ok(Some(Duration::from_millis(timeout_ms)))
}

/// Attempts that this call may use: a nested call can't use more than its
/// caller has left.
fn attempts_limit(headers: &HeaderMap, own_limit: u32) -> Result<u32, ErrorKind> {
    let Some(value) = headers.get(ATTEMPTS_FIELD) else {
        return Ok(own_limit);
    };
    let text = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
    let left: u32 = text.parse().map_err(|_| ErrorKind::BadRequest)?;
    Ok(left.clamp(1, own_limit.max(1)))
}
