use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::writer::QueueWriter;

/// Output whose reader may stall.
struct StalledOutput {
    gate: Receiver<()>,
    written: Sender<String>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A closed gate lets everything through.
        let _ = self.gate.recv();
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.written.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_costs_lines_but_never_the_writer() {
    let (open, gate) = channel();
    let (written, lines) = channel();
    let (mut writer, flusher) = QueueWriter::start(StalledOutput { gate, written }).unwrap();
    for number in 0..20_000 {
        writeln!(writer, "line {number}").unwrap();
        writer.flush().unwrap();
    }
    drop(open);
    assert_eq!(lines.recv().unwrap(), "line 0\n");
    // There is room again: the next line tells what was lost.
    for _ in 0..8_000 {
        lines.recv().unwrap();
    }
    writeln!(writer, "last").unwrap();
    writer.flush().unwrap();
    flusher.flush(Duration::from_secs(10));
    drop((writer, flusher));
    let rest: Vec<String> = lines.iter().collect();
    assert!(rest.iter().any(|line| line.contains("lines dropped")));
    assert_eq!(rest.last().map(String::as_str), Some("last\n"));
}
