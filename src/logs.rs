//! Structured logs: one JSON object per line on standard output.
//!
//! Each line has `at` (UTC), `level`, `target`, `node` and `message`, followed
//! by the fields of the event. Decisions have the targets `ingress`, `routing`,
//! `admission`, `retry` and `placement`; those about one call have its id in the
//! field `call`.
//!
//! Lines are buffered up to a limit, so that a slow reader never blocks traffic.
//! Part of the buffer is reserved for warnings and errors, among them every
//! refused or failed call. If the reader is too slow, lines about successful
//! calls are therefore dropped first.

mod writer;

use std::io::{self, Write};
use std::time::SystemTime;

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde::ser::{Serialize, SerializeMap, Serializer};

use crate::logs::writer::BufferWriter;
pub use crate::logs::writer::LogFlusher;

/// Libraries of which only warnings and errors are logged.
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

/// Installs the global logger of this process.
///
/// Lines below `level` are discarded; `node` is written in every line.
///
/// # Errors
///
/// Fails if a logger is already installed or its thread can't be started.
pub fn start_logging(node: &str, level: LevelFilter) -> io::Result<LogFlusher> {
    let node = node.to_string();
    let (writer, flusher) = BufferWriter::start(io::stdout())?;
    let high_severity_writer = writer.with_full_capacity();
    let is_high_severity = |level: Level| level <= Level::Warn;
    let low_severity_lines = Dispatch::new()
        .filter(move |metadata| !is_high_severity(metadata.level()))
        .chain(Box::new(writer) as Box<dyn Write + Send>);
    let high_severity_lines = Dispatch::new()
        .filter(move |metadata| is_high_severity(metadata.level()))
        .chain(Box::new(high_severity_writer) as Box<dyn Write + Send>);
    let mut dispatch = Dispatch::new()
        .level(level)
        .format(move |out, _args, record| out.finish(format_args!("{}", json_line(&node, record))))
        .chain(low_severity_lines)
        .chain(high_severity_lines);
    for target in LIBRARY_TARGETS {
        dispatch = dispatch.level_for(target, LevelFilter::Warn.min(level));
    }
    dispatch.apply().map_err(io::Error::other)?;
    Ok(flusher)
}

/// Serializes the line before the logging library takes its lock, which keeps
/// the time under the lock short.
fn json_line(node: &str, record: &Record<'_>) -> String {
    serde_json::to_string(&LogLine { node, record }).unwrap_or_default()
}

struct LogLine<'a> {
    node: &'a str,
    record: &'a Record<'a>,
}

impl Serialize for LogLine<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let at = humantime::format_rfc3339_millis(SystemTime::now());
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("at", &format_args!("{at}"))?;
        map.serialize_entry("level", self.record.level().as_str())?;
        map.serialize_entry("target", self.record.target())?;
        map.serialize_entry("node", self.node)?;
        map.serialize_entry("message", self.record.args())?;
        let mut visitor = FieldVisitor {
            map: &mut map,
            result: Ok(()),
        };
        // The visitor stores its errors in `result`; the visit always succeeds.
        let _ = self.record.key_values().visit(&mut visitor);
        visitor.result?;
        map.end()
    }
}

struct FieldVisitor<'a, M: SerializeMap> {
    map: &'a mut M,
    result: Result<(), M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldVisitor<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        if self.result.is_ok() {
            self.result = self.map.serialize_entry(key.as_str(), &value);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
