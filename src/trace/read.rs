//! Reading and checking of trace lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{
    EventKind, NodeLine, OutcomeLine, RecordedTrace, RequestLine, ServiceLine, SpeedLine,
    TraceError, TraceEvent, UpstreamLine,
};
use crate::ids::{NodeId, ServiceName};

/// Longest trace, in milliseconds: one day.
const MAX_AT_MS: f64 = 86_400_000.0;
/// Deepest nesting of calls.
const MAX_DEPTH: u32 = 32;

/// A field's name and what is wrong with it.
type FieldFault = (String, String);

/// One line before its check.
#[derive(Debug)]
pub struct RawLine {
    fields: Map<String, Value>,
}

impl RawLine {
    fn take<T: DeserializeOwned>(&mut self, field: &str) -> Result<T, FieldFault> {
        let value = self
            .fields
            .remove(field)
            .ok_or_else(|| fault(field, "missing"))?;
        serde_json::from_value(value).map_err(|e| fault(field, &e.to_string()))
    }

    fn take_optional<T: DeserializeOwned>(&mut self, field: &str) -> Result<Option<T>, FieldFault> {
        match self.fields.contains_key(field) {
            true => self.take(field).map(Some),
            false => Ok(None),
        }
    }

    /// Hands what is left to a type that names its own fields in errors.
    fn take_rest<T: DeserializeOwned>(&mut self, kind: &str) -> Result<T, FieldFault> {
        let rest = std::mem::take(&mut self.fields);
        serde_json::from_value(Value::Object(rest)).map_err(|e| fault(kind, &e.to_string()))
    }

    fn check_empty(&self) -> Result<(), FieldFault> {
        match self.fields.keys().next() {
            Some(field) => Err(fault(field, "unknown field")),
            None => Ok(()),
        }
    }
}

fn fault(field: &str, reason: &str) -> FieldFault {
    (field.to_string(), reason.to_string())
}

impl TryFrom<RawLine> for TraceEvent {
    type Error = (String, String);

    fn try_from(mut line: RawLine) -> Result<Self, FieldFault> {
        let at_ms: f64 = line.take("at_ms")?;
        if !(0.0..=MAX_AT_MS).contains(&at_ms) {
            return Err(fault("at_ms", "expected 0 to 86400000"));
        }
        let kind: String = line.take("kind")?;
        let kind = read_kind(&kind, &mut line)?;
        line.check_empty()?;
        Ok(Self { at_ms, kind })
    }
}

fn read_kind(kind: &str, line: &mut RawLine) -> Result<EventKind, FieldFault> {
    Ok(match kind {
        "upstream" => EventKind::Upstream(read_upstream(line)?),
        "service" => EventKind::Service(ServiceLine {
            service: line.take("service")?,
            rule: line.take("rule")?,
        }),
        "request" => EventKind::Request(read_request(line)?),
        "speed" => EventKind::Speed(read_speed(line)?),
        "drain" => EventKind::Drain(read_node(line)?),
        "fail_fast" => EventKind::FailFast(read_node(line)?),
        "freeze" => EventKind::Freeze(read_node(line)?),
        "recover" => EventKind::Recover(read_node(line)?),
        "gone" => EventKind::Gone(read_node(line)?),
        "delay" => EventKind::Delay(line.take_rest("delay")?),
        "outcome" => EventKind::Outcome(line.take_rest("outcome")?),
        _ => return Err(fault("kind", &format!("unknown kind '{kind}'"))),
    })
}

fn read_upstream(line: &mut RawLine) -> Result<UpstreamLine, FieldFault> {
    Ok(UpstreamLine {
        node: line.take("node")?,
        region: line.take("region")?,
        zone: line.take("zone")?,
        service: line.take("service")?,
        slots: line.take("slots")?,
        connections: line.take("connections")?,
    })
}

fn read_request(line: &mut RawLine) -> Result<RequestLine, FieldFault> {
    let request = RequestLine {
        id: line.take("id")?,
        service: line.take("service")?,
        region: line.take("region")?,
        zone: line.take("zone")?,
        method: line.take("method")?,
        path: line.take("path")?,
        body_bytes: line.take("body_bytes")?,
        work_us: line.take("work_us")?,
        timeout_ms: line.take_optional("timeout_ms")?,
        depth: line.take_optional("depth")?,
    };
    if request.timeout_ms == Some(0) {
        return Err(fault("timeout_ms", "expected a whole number from 1"));
    }
    if request.depth.is_some_and(|depth| depth > MAX_DEPTH) {
        return Err(fault("depth", "expected 0 to 32"));
    }
    Ok(request)
}

fn read_speed(line: &mut RawLine) -> Result<SpeedLine, FieldFault> {
    let speed = SpeedLine {
        node: line.take("node")?,
        factor: line.take("factor")?,
    };
    if !(speed.factor.is_finite() && speed.factor > 0.0) {
        return Err(fault("factor", "expected a number above 0"));
    }
    Ok(speed)
}

fn read_node(line: &mut RawLine) -> Result<NodeLine, FieldFault> {
    Ok(NodeLine {
        node: line.take("node")?,
    })
}

/// What earlier lines declared, against which later ones are checked.
#[derive(Debug, Default)]
struct DeclaredNames {
    at_ms: f64,
    nodes: BTreeSet<NodeId>,
    services: BTreeSet<ServiceName>,
    requests: BTreeSet<u64>,
    outcome: Option<OutcomeLine>,
}

impl DeclaredNames {
    fn check(&mut self, event: &TraceEvent) -> Result<(), FieldFault> {
        if event.at_ms < self.at_ms {
            return Err(fault("at_ms", "earlier than the line before"));
        }
        self.at_ms = event.at_ms;
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
                if !self.requests.insert(line.id) {
                    return Err(fault("id", "already used"));
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
                Some(_) => Err(fault("kind", "a second 'outcome'")),
                None => Ok(()),
            },
        }
    }

    fn check_service(&self, service: &ServiceName) -> Result<(), FieldFault> {
        match self.services.contains(service) {
            true => Ok(()),
            false => Err(fault("service", "not declared by an earlier line")),
        }
    }

    fn check_node(&self, node: &NodeId) -> Result<(), FieldFault> {
        match self.nodes.contains(node) {
            true => Ok(()),
            false => Err(fault("node", "not declared by an earlier line")),
        }
    }
}

impl RecordedTrace {
    /// Reads and checks a trace; empty lines are passed over.
    ///
    /// # Errors
    ///
    /// Names the first line and field that is wrong.
    pub fn read(reader: impl BufRead) -> Result<Self, TraceError> {
        let mut names = DeclaredNames::default();
        let mut events = Vec::new();
        for (index, text) in reader.lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| TraceError::Read { line, source })?;
            if text.trim().is_empty() {
                continue;
            }
            events.push(read_line(line, &text, &mut names)?);
        }
        let outcome = names.outcome.ok_or(TraceError::NoOutcome)?;
        Ok(Self { events, outcome })
    }
}

fn read_line(line: usize, text: &str, names: &mut DeclaredNames) -> Result<TraceEvent, TraceError> {
    let fields = serde_json::from_str(text).map_err(|e| TraceError::BadLine {
        line,
        reason: e.to_string(),
    })?;
    let to_error = |(field, reason)| TraceError::BadField {
        line,
        field,
        reason,
    };
    let event = TraceEvent::try_from(RawLine { fields }).map_err(to_error)?;
    names.check(&event).map_err(to_error)?;
    Ok(event)
}
