//! Logs: one JSON object a line on standard error.
//!
//! Each line has `at` (UTC), `level`, `target`, `node` and `message`, and the
//! fields of the event. Decisions use the targets `routing`, `admission`,
//! `retry` and `placement` and name the call they are about.

mod writer;

use std::io::{self, Write};
use std::time::SystemTime;

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as JsonValue};

pub use crate::logs::writer::LogFlusher;
use crate::logs::writer::QueueWriter;

/// Targets of the libraries, whose lines below a warning are of no use here.
const LIBRARY_TARGETS: [&str; 8] = [
    "mio",
    "ntex",
    "ntex_dispatcher",
    "ntex_io",
    "ntex_net",
    "ntex_rt",
    "ntex_server",
    "ntex_service",
];

/// Starts logging for this process.
///
/// # Errors
///
/// Fails if logging was started before or its thread can't be started.
pub fn start_logs(node: &str, level: LevelFilter) -> io::Result<LogFlusher> {
    let node = node.to_string();
    let (writer, flusher) = QueueWriter::start(io::stderr())?;
    let mut dispatch = Dispatch::new()
        .level(level)
        .format(move |out, _message, record| out.finish(format_args!("{}", line_of(&node, record))))
        .chain(Box::new(writer) as Box<dyn Write + Send>);
    for target in LIBRARY_TARGETS {
        dispatch = dispatch.level_for(target, LevelFilter::Warn.min(level));
    }
    dispatch.apply().map_err(io::Error::other)?;
    Ok(flusher)
}

fn line_of(node: &str, record: &Record<'_>) -> JsonValue {
    let mut line = Map::new();
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    line.insert("at".to_string(), at.to_string().into());
    line.insert("level".to_string(), record.level().as_str().into());
    line.insert("target".to_string(), record.target().into());
    line.insert("node".to_string(), node.into());
    line.insert("message".to_string(), record.args().to_string().into());
    // Visiting a record's own fields can't fail: the visitor never does.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
    JsonValue::Object(line)
}

struct FieldVisitor<'a>(&'a mut Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
