//! Explains the handling of a call or request from the JSON logs of nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};

use serde_json::{Map, Value};

use crate::ids::CallId;
use crate::ingress::SEQUENCE_NUMBERS_PER_CALL;

/// Fields of the header line, followed by the call, which is not printed.
const LEADING_FIELDS: [&str; 5] = ["at", "node", "target", "message", "call"];
/// Log field with the identifier of the call or attempt.
const CALL_ID_FIELD: &str = "call";
/// Log field with the fingerprint of a request that may have crashed backend servers.
const FINGERPRINT_FIELD: &str = "fingerprint";
/// Log field with the fingerprints, separated by spaces, of all suspects of a crash.
const SUSPECTS_FIELD: &str = "suspects";
/// Log field with the caller's identifier of the request.
const REQUEST_ID_FIELD: &str = "request_id";

/// Call or request to explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainSubject {
    /// A call with all its attempts.
    Call(CallId),
    /// All calls whose caller gave this request identifier.
    Request(String),
}

impl fmt::Display for ExplainSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(call) => write!(formatter, "call {call}"),
            Self::Request(id) => write!(formatter, "request {id}"),
        }
    }
}

/// Formats the log lines about a call or request and its attempts, ordered by time, and
/// those on crashes for which its request was suspected.
///
/// `logs` holds JSON lines of any number of nodes; other lines are skipped.
/// Lines of different nodes are ordered by the nodes' own clocks.
pub fn explain(subject: &ExplainSubject, logs: &str) -> String {
    let log_lines = logs.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str::<Map<String, Value>>(&line[start..]).ok()
    });
    let log_lines: Vec<Map<String, Value>> = log_lines.collect();
    let calls = matching_calls(subject, &log_lines);
    let is_about_calls = |fields: &Map<String, Value>| {
        call_of_line(fields).is_some_and(|call| calls.contains(&call))
    };
    let fingerprints: BTreeSet<String> = log_lines
        .iter()
        .filter(|fields| is_about_calls(fields))
        .map(|fields| field_text(fields, FINGERPRINT_FIELD))
        .filter(|fingerprint| !fingerprint.is_empty())
        .collect();
    let mut output_lines: BTreeMap<(String, usize), String> = BTreeMap::new();
    for (index, fields) in log_lines.iter().enumerate() {
        if is_about_calls(fields)
            || names_request(subject, fields)
            || is_evidence(fields, &fingerprints)
        {
            output_lines.insert((field_text(fields, "at"), index), format_line(fields));
        }
    }
    if output_lines.is_empty() {
        return format!("no log line names {subject}\n");
    }
    output_lines.into_values().collect()
}

/// Whether a line names the request, which may have been rejected before it became a call.
fn names_request(subject: &ExplainSubject, fields: &Map<String, Value>) -> bool {
    matches!(subject, ExplainSubject::Request(id) if field_text(fields, REQUEST_ID_FIELD) == *id)
}

/// Whether a line about no call tells of the evidence against one of these requests.
fn is_evidence(fields: &Map<String, Value>, fingerprints: &BTreeSet<String>) -> bool {
    let suspects = field_text(fields, SUSPECTS_FIELD);
    let mut named = suspects
        .split(' ')
        .map(ToString::to_string)
        .chain([field_text(fields, FINGERPRINT_FIELD)]);
    call_of_line(fields).is_none() && named.any(|fingerprint| fingerprints.contains(&fingerprint))
}

fn matching_calls(subject: &ExplainSubject, lines: &[Map<String, Value>]) -> BTreeSet<CallId> {
    match subject {
        ExplainSubject::Call(call) => BTreeSet::from([call_of_attempt(*call)]),
        ExplainSubject::Request(id) => lines
            .iter()
            .filter(|fields| field_text(fields, REQUEST_ID_FIELD) == *id)
            .filter_map(call_of_line)
            .collect(),
    }
}

/// Returns the call of a log line; an attempt is mapped to its call.
fn call_of_line(fields: &Map<String, Value>) -> Option<CallId> {
    field_text(fields, CALL_ID_FIELD)
        .parse()
        .ok()
        .map(call_of_attempt)
}

fn call_of_attempt(attempt: CallId) -> CallId {
    CallId {
        sequence: attempt.sequence / SEQUENCE_NUMBERS_PER_CALL * SEQUENCE_NUMBERS_PER_CALL,
        ..attempt
    }
}

fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn format_line(fields: &Map<String, Value>) -> String {
    let mut line = String::new();
    let header: Vec<String> = LEADING_FIELDS[..4]
        .iter()
        .map(|name| field_text(fields, name))
        .collect();
    let _ = writeln!(line, "{}", header.join("  "));
    for name in fields.keys() {
        if !LEADING_FIELDS.contains(&name.as_str()) && name != "level" {
            let _ = writeln!(line, "    {name}: {}", field_text(fields, name));
        }
    }
    line
}
