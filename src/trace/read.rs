//! Parser and validation of trace lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{
    EventKind, NodeLine, OutcomeLine, RecordedTrace, RequestLine, ServiceLine, SpeedLine,
    TraceError, TraceEvent, UpstreamLine,
};
use crate::ids::{NodeId, ServiceName};

/// Maximum length of a trace: one day.
const MAX_AT_MS: f64 = 86_400_000.0;
/// Maximum number of nested calls below a request.
const MAX_CALL_DEPTH: u32 = 32;

/// Name of an invalid field, and the reason.
type FieldError = (String, String);

/// Fields of a line that are not parsed yet.
#[derive(Debug)]
pub struct RawLine {
    fields: Map<String, Value>,
}

impl RawLine {
    fn take_required<T: DeserializeOwned>(&mut self, field: &str) -> Result<T, FieldError> {
        let value = self
            .fields
            .remove(field)
            .ok_or_else(|| field_error(field, "missing"))?;
        serde_json::from_value(value).map_err(|error| field_error(field, &error.to_string()))
    }

    fn take_optional<T: DeserializeOwned>(&mut self, field: &str) -> Result<Option<T>, FieldError> {
        match self.fields.contains_key(field) {
            true => self.take_required(field).map(Some),
            false => Ok(None),
        }
    }

    /// Parses all remaining fields as one type, whose errors name the field.
    fn take_remaining<T: DeserializeOwned>(&mut self, kind: &str) -> Result<T, FieldError> {
        let rest = std::mem::take(&mut self.fields);
        serde_json::from_value(Value::Object(rest))
            .map_err(|error| field_error(kind, &error.to_string()))
    }

    fn check_empty(&self) -> Result<(), FieldError> {
        match self.fields.keys().next() {
            Some(field) => Err(field_error(field, "unknown field")),
            None => Ok(()),
        }
    }
}

fn field_error(field: &str, reason: &str) -> FieldError {
    (field.to_string(), reason.to_string())
}

impl TryFrom<RawLine> for TraceEvent {
    type Error = (String, String);

    fn try_from(mut line: RawLine) -> Result<Self, FieldError> {
        let at_ms: f64 = line.take_required("at_ms")?;
        if !(0.0..=MAX_AT_MS).contains(&at_ms) {
            return Err(field_error("at_ms", "expected 0 to 86400000"));
        }
        let kind_name: String = line.take_required("kind")?;
        let kind = parse_event_kind(&kind_name, &mut line)?;
        line.check_empty()?;
        Ok(Self { at_ms, kind })
    }
}

fn parse_event_kind(kind: &str, line: &mut RawLine) -> Result<EventKind, FieldError> {
    Ok(match kind {
        "upstream" => EventKind::Upstream(parse_upstream(line)?),
        "service" => EventKind::Service(ServiceLine {
            service: line.take_required("service")?,
            rule: line.take_required("rule")?,
        }),
        "request" => EventKind::Request(parse_request(line)?),
        "speed" => EventKind::Speed(parse_speed(line)?),
        "drain" => EventKind::Drain(parse_node(line)?),
        "fail_fast" => EventKind::FailFast(parse_node(line)?),
        "freeze" => EventKind::Freeze(parse_node(line)?),
        "recover" => EventKind::Recover(parse_node(line)?),
        "gone" => EventKind::Gone(parse_node(line)?),
        "delay" => EventKind::Delay(line.take_remaining("delay")?),
        "outcome" => EventKind::Outcome(line.take_remaining("outcome")?),
        _ => return Err(field_error("kind", &format!("unknown kind '{kind}'"))),
    })
}

fn parse_upstream(line: &mut RawLine) -> Result<UpstreamLine, FieldError> {
    Ok(UpstreamLine {
        node: line.take_required("node")?,
        region: line.take_required("region")?,
        zone: line.take_required("zone")?,
        service: line.take_required("service")?,
        slots: line.take_required("slots")?,
        connections: line.take_required("connections")?,
    })
}

fn parse_request(line: &mut RawLine) -> Result<RequestLine, FieldError> {
    let request = RequestLine {
        id: line.take_required("id")?,
        service: line.take_required("service")?,
        region: line.take_required("region")?,
        zone: line.take_required("zone")?,
        method: line.take_required("method")?,
        path: line.take_required("path")?,
        body_bytes: line.take_required("body_bytes")?,
        work_us: line.take_required("work_us")?,
        timeout_ms: line.take_optional("timeout_ms")?,
        depth: line.take_optional("depth")?,
    };
    if request.timeout_ms == Some(0) {
        return Err(field_error("timeout_ms", "expected a whole number from 1"));
    }
    if request.depth.is_some_and(|depth| depth > MAX_CALL_DEPTH) {
        return Err(field_error("depth", "expected 0 to 32"));
    }
    Ok(request)
}

fn parse_speed(line: &mut RawLine) -> Result<SpeedLine, FieldError> {
    let speed = SpeedLine {
        node: line.take_required("node")?,
        factor: line.take_required("factor")?,
    };
    if !(speed.factor.is_finite() && speed.factor > 0.0) {
        return Err(field_error("factor", "expected a number above 0"));
    }
    Ok(speed)
}

fn parse_node(line: &mut RawLine) -> Result<NodeLine, FieldError> {
    Ok(NodeLine {
        node: line.take_required("node")?,
    })
}

/// Checks each event against those before it: order of time, unique request ids,
/// declared nodes and services, and a single `outcome`.
#[derive(Debug, Default)]
struct TraceValidator {
    last_at_ms: f64,
    nodes: BTreeSet<NodeId>,
    services: BTreeSet<ServiceName>,
    request_ids: BTreeSet<u64>,
    outcome: Option<OutcomeLine>,
}

impl TraceValidator {
    fn check(&mut self, event: &TraceEvent) -> Result<(), FieldError> {
        if event.at_ms < self.last_at_ms {
            return Err(field_error("at_ms", "earlier than the previous event"));
        }
        self.last_at_ms = event.at_ms;
        match &event.kind {
            EventKind::Upstream(line) => {
                self.nodes.insert(line.node.clone());
                self.check_service(&line.service)
            }
            EventKind::Service(line) => {
                self.services.insert(line.service.clone());
                Ok(())
            }
            EventKind::Request(line) => {
                if !self.request_ids.insert(line.id) {
                    return Err(field_error("id", "already used by an earlier request"));
                }
                self.check_service(&line.service)
            }
            EventKind::Speed(line) => self.check_node(&line.node),
            EventKind::Drain(line)
            | EventKind::FailFast(line)
            | EventKind::Freeze(line)
            | EventKind::Recover(line)
            | EventKind::Gone(line) => self.check_node(&line.node),
            EventKind::Delay(_) => Ok(()),
            EventKind::Outcome(line) => match self.outcome.replace(*line) {
                Some(_) => Err(field_error(
                    "kind",
                    "only one event may have kind 'outcome'",
                )),
                None => Ok(()),
            },
        }
    }

    fn check_service(&self, service: &ServiceName) -> Result<(), FieldError> {
        match self.services.contains(service) {
            true => Ok(()),
            false => Err(field_error("service", "not declared by an earlier line")),
        }
    }

    fn check_node(&self, node: &NodeId) -> Result<(), FieldError> {
        match self.nodes.contains(node) {
            true => Ok(()),
            false => Err(field_error("node", "not declared by an earlier line")),
        }
    }
}

impl RecordedTrace {
    /// Reads and validates a trace; empty lines are skipped.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid line, or if there is no `outcome` line.
    pub fn read(reader: impl BufRead) -> Result<Self, TraceError> {
        let mut validator = TraceValidator::default();
        let mut events = Vec::new();
        for (index, text) in reader.lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| TraceError::Read { line, source })?;
            if text.trim().is_empty() {
                continue;
            }
            events.push(parse_line(line, &text, &mut validator)?);
        }
        let outcome = validator.outcome.ok_or(TraceError::MissingOutcome)?;
        Ok(Self { events, outcome })
    }
}

fn parse_line(
    line: usize,
    text: &str,
    validator: &mut TraceValidator,
) -> Result<TraceEvent, TraceError> {
    let fields = serde_json::from_str(text).map_err(|error| TraceError::InvalidJson {
        line,
        reason: error.to_string(),
    })?;
    let to_error = |(field, reason)| TraceError::InvalidField {
        line,
        field,
        reason,
    };
    let event = TraceEvent::try_from(RawLine { fields }).map_err(to_error)?;
    validator.check(&event).map_err(to_error)?;
    Ok(event)
}
