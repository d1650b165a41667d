//! Parsing, validation and canonical encoding of tickets.
//!
//! A validated ticket has one canonical encoding, in which every default is
//! written out. Two tickets have the same content if the digests of their
//! canonical encodings are equal, so white space and the order of fields don't
//! matter.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::ids::{ServiceName, TicketNumber};
use crate::table::{RequestRule, ServiceRule};

/// Maximum timeout of a call, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 10;
/// Maximum number of request rules of one service.
const MAX_REQUEST_RULES: usize = 64;
/// Maximum length of a path prefix, in bytes.
const MAX_PATH_BYTES: usize = 256;
/// Maximum length of a method, in bytes.
const MAX_METHOD_BYTES: usize = 32;
/// Maximum probe budget, in probes per second and upstream.
const MAX_PROBES_PER_SECOND: f64 = 1_000.0;
/// Maximum value of a service's limit on request bodies, in bytes.
const MAX_BODY_LIMIT: u64 = 1 << 40;
/// Maximum size of a ticket's canonical encoding, in bytes; well under the limit of a stored value.
pub const MAX_TICKET_BYTES: usize = 256 * 1024;
/// Bytes of the SHA-256 hash that a digest keeps.
const DIGEST_BYTES: usize = 16;

/// Invalid field of a ticket, and what is allowed there.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct TicketError {
    /// Path of the field, such as `services.tillpost.attempts`.
    pub field: String,
    /// Allowed values, and the value given.
    pub reason: String,
}

impl TicketError {
    fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Ticket as decoded from JSON, before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTicket {
    /// Number; optional in a submission, whose path has it.
    pub number: Option<u64>,
    /// New state by service name; null removes the service.
    pub services: BTreeMap<String, Value>,
}

/// Truncated SHA-256 hash of a ticket's canonical encoding, as URL-safe base64.
#[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TicketDigest(String);

impl TicketDigest {
    /// Computes the digest of a canonical encoding.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = Sha256::digest(bytes);
        Self(URL_SAFE_NO_PAD.encode(&hash[..DIGEST_BYTES]))
    }
}

/// Validated change ticket.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ChangeTicket {
    /// Number, which orders tickets for the same service.
    pub number: TicketNumber,
    /// Complete new state of every service that it touches; `None` removes the service.
    pub services: BTreeMap<ServiceName, Option<ServiceRule>>,
}

impl ChangeTicket {
    /// Parses and validates the JSON body of a submission.
    ///
    /// # Errors
    ///
    /// Names the first invalid field.
    pub fn parse(number: TicketNumber, json: &[u8]) -> Result<Self, TicketError> {
        let mut raw: RawTicket =
            serde_json::from_slice(json).map_err(|e| TicketError::new("body", e.to_string()))?;
        if raw.number.is_some_and(|given| given != number.get()) {
            let reason = format!("expected {number} as in the path, or none");
            return Err(TicketError::new("number", reason));
        }
        raw.number = Some(number.get());
        Self::try_from(raw)
    }

    /// Decodes a canonical encoding.
    ///
    /// # Errors
    ///
    /// Names the first invalid field.
    pub fn decode(bytes: &[u8]) -> Result<Self, TicketError> {
        let raw: RawTicket =
            serde_json::from_slice(bytes).map_err(|e| TicketError::new("body", e.to_string()))?;
        Self::try_from(raw)
    }

    /// Returns the canonical encoding, which is the same for equal content.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is larger than 256 KiB.
    pub fn encode(&self) -> Result<Vec<u8>, TicketError> {
        let bytes =
            serde_json::to_vec(self).map_err(|e| TicketError::new("body", e.to_string()))?;
        if bytes.len() > MAX_TICKET_BYTES {
            let reason = format!("expected at most {MAX_TICKET_BYTES} bytes");
            return Err(TicketError::new("body", reason));
        }
        Ok(bytes)
    }
}

impl TryFrom<RawTicket> for ChangeTicket {
    type Error = TicketError;

    fn try_from(raw: RawTicket) -> Result<Self, TicketError> {
        let number = raw
            .number
            .ok_or_else(|| TicketError::new("number", "expected a whole number from 1"))?;
        let number = TicketNumber::try_from(number)
            .map_err(|error| TicketError::new("number", error.to_string()))?;
        if raw.services.is_empty() {
            return Err(TicketError::new(
                "services",
                "expected at least one service",
            ));
        }
        let services = raw.services.into_iter().map(check_service);
        let services = services.collect::<Result<_, TicketError>>()?;
        let ticket = Self { number, services };
        ticket.encode()?;
        Ok(ticket)
    }
}

fn check_service(
    (name, value): (String, Value),
) -> Result<(ServiceName, Option<ServiceRule>), TicketError> {
    let field = format!("services.{name}");
    let name = ServiceName::try_from(name).map_err(|e| TicketError::new(&field, e.to_string()))?;
    if value.is_null() {
        return Ok((name, None));
    }
    let rule: ServiceRule =
        serde_json::from_value(value).map_err(|e| TicketError::new(&field, e.to_string()))?;
    check_rule(&field, &rule)?;
    Ok((name, Some(rule)))
}

fn check_rule(field: &str, rule: &ServiceRule) -> Result<(), TicketError> {
    check_timeout(&format!("{field}.timeout_ms"), rule.timeout_ms)?;
    if !(1..=MAX_ATTEMPTS).contains(&rule.attempts) {
        let reason = format!("expected 1 to {MAX_ATTEMPTS}, got {}", rule.attempts);
        return Err(TicketError::new(format!("{field}.attempts"), reason));
    }
    if let Some(share) = rule.share_percent.filter(|s| !(1..=100).contains(s)) {
        let reason = format!("expected 1 to 100, got {share}");
        return Err(TicketError::new(format!("{field}.share_percent"), reason));
    }
    let probes = rule.probes_per_second;
    if !(0.0..=MAX_PROBES_PER_SECOND).contains(&probes) {
        let reason = format!("expected 0 to {MAX_PROBES_PER_SECOND}, got {probes}");
        return Err(TicketError::new(
            format!("{field}.probes_per_second"),
            reason,
        ));
    }
    if rule.body_limit > MAX_BODY_LIMIT {
        let reason = format!("expected 0 to {MAX_BODY_LIMIT}, got {}", rule.body_limit);
        return Err(TicketError::new(format!("{field}.body_limit"), reason));
    }
    if rule.requests.len() > MAX_REQUEST_RULES {
        let reason = format!("expected at most {MAX_REQUEST_RULES} rules");
        return Err(TicketError::new(format!("{field}.requests"), reason));
    }
    let mut requests = rule.requests.iter().enumerate();
    requests.try_for_each(|(i, request)| check_request(&format!("{field}.requests.{i}"), request))
}

fn check_timeout(field: &str, timeout_ms: u64) -> Result<(), TicketError> {
    if (1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
        return Ok(());
    }
    let reason = format!("expected 1 to {MAX_TIMEOUT_MS}, got {timeout_ms}");
    Err(TicketError::new(field, reason))
}

fn check_request(field: &str, request: &RequestRule) -> Result<(), TicketError> {
    let method = &request.method;
    let is_token = !method.is_empty()
        && method.len() <= MAX_METHOD_BYTES
        && method
            .bytes()
            .all(|byte| byte.is_ascii_alphabetic() || byte == b'-');
    if method != "*" && !is_token {
        let reason = format!("expected an HTTP method or '*', got '{method}'");
        return Err(TicketError::new(format!("{field}.method"), reason));
    }
    let path = &request.path;
    let is_printable = path.bytes().all(|byte| byte.is_ascii_graphic());
    if !path.starts_with('/') || path.len() > MAX_PATH_BYTES || !is_printable {
        let reason = format!("expected '/' and at most {MAX_PATH_BYTES} characters, got '{path}'");
        return Err(TicketError::new(format!("{field}.path"), reason));
    }
    match request.timeout_ms {
        Some(timeout_ms) => check_timeout(&format!("{field}.timeout_ms"), timeout_ms),
        None => Ok(()),
    }
}
