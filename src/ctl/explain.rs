//! Explanation of one call from the log lines of nodes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::{Map, Value};

use crate::ids::CallId;
use crate::ingress::ATTEMPTS_PER_CALL;

/// Fields that stand at the start of an explained line.
const LEADING_FIELDS: [&str; 5] = ["at", "node", "target", "message", "call"];
/// Field that names the call.
const CALL_FIELD: &str = "call";

/// Log lines about a call and its attempts, in order of time, for a reader.
///
/// `logs` holds JSON lines of any number of nodes; other lines are skipped.
/// The clocks of the nodes decide the order between nodes.
pub fn explain_call(call: CallId, logs: &str) -> String {
    let mut lines: BTreeMap<(String, usize), String> = BTreeMap::new();
    for (index, line) in logs.lines().enumerate() {
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(line) else {
            continue;
        };
        if is_about(&fields, call) {
            lines.insert((text(&fields, "at"), index), explain_line(&fields));
        }
    }
    if lines.is_empty() {
        return format!("no log line names call {call}\n");
    }
    lines.into_values().collect()
}

fn is_about(fields: &Map<String, Value>, call: CallId) -> bool {
    let named: Option<CallId> = text(fields, CALL_FIELD).parse().ok();
    named.is_some_and(|named| {
        let same_sequence = named.sequence / ATTEMPTS_PER_CALL == call.sequence / ATTEMPTS_PER_CALL;
        named.ingress == call.ingress && same_sequence
    })
}

fn text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn explain_line(fields: &Map<String, Value>) -> String {
    let mut line = String::new();
    let leading: Vec<String> = LEADING_FIELDS[..4]
        .iter()
        .map(|name| text(fields, name))
        .collect();
    let _ = writeln!(line, "{}", leading.join("  "));
    for name in fields.keys() {
        if !LEADING_FIELDS.contains(&name.as_str()) && name != "level" {
            let _ = writeln!(line, "    {name}: {}", text(fields, name));
        }
    }
    line
}
