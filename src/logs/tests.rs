use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::writer::BufferWriter;

/// Output whose reader may stall.
struct StalledOutput {
    /// Told that a write has begun.
    begun: Sender<()>,
    gate: Receiver<()>,
    written: Sender<String>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.begun.send(());
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

fn write_line(writer: &mut BufferWriter, line: &str) {
    writeln!(writer, "{line}").unwrap();
    writer.flush().unwrap();
}

#[test]
fn stalled_reader_costs_lines_but_never_the_writer() {
    let (begun, stall) = channel();
    let (open, gate) = channel();
    let (written, output) = channel();
    let (mut writer, flusher) = BufferWriter::start(StalledOutput {
        begun,
        gate,
        written,
    })
    .unwrap();
    write_line(&mut writer, "first");
    stall.recv().unwrap();
    let long = "x".repeat(1_000);
    for _ in 0..10_000 {
        write_line(&mut writer, &long);
    }
    drop(open);
    flusher.flush(Duration::from_secs(10));
    // There is room again.
    write_line(&mut writer, "last");
    flusher.flush(Duration::from_secs(10));
    drop((writer, flusher));
    let text: String = output.iter().collect();
    assert!(text.starts_with("first\n"));
    assert!(text.contains("lines dropped"));
    assert!(text.ends_with("last\n"));
    assert!(text.len() < 10_000 * 1_001);
}

#[test]
fn urgent_lines_are_the_last_to_go() {
    let (begun, stall) = channel();
    let (open, gate) = channel();
    let (written, output) = channel();
    let (mut common, flusher) = BufferWriter::start(StalledOutput {
        begun,
        gate,
        written,
    })
    .unwrap();
    let mut urgent = common.with_whole_buffer();
    write_line(&mut common, "first");
    stall.recv().unwrap();
    let long = "x".repeat(1_000);
    for _ in 0..10_000 {
        write_line(&mut common, &long);
    }
    // As long as the others, so that it fits no gap either.
    write_line(&mut common, &format!("common {long}"));
    write_line(&mut urgent, "urgent");
    drop(open);
    flusher.flush(Duration::from_secs(10));
    drop((common, urgent, flusher));
    let text: String = output.iter().collect();
    assert!(text.contains("urgent\n"));
    assert!(!text.contains("common"));
}

/// Output that keeps what each write held.
struct PieceOutput {
    pieces: Sender<String>,
}

impl Write for PieceOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.pieces.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_write_holds_whole_lines_that_a_pipe_takes_in_one_piece() {
    let (pieces, output) = channel();
    let (mut writer, flusher) = BufferWriter::start(PieceOutput { pieces }).unwrap();
    for number in 0..1_000 {
        write_line(
            &mut writer,
            &format!("{number} {}", "x".repeat(number % 400)),
        );
    }
    flusher.flush(Duration::from_secs(10));
    drop((writer, flusher));
    let written: Vec<String> = output.iter().collect();
    assert_eq!(written.concat().lines().count(), 1_000);
    assert!(written.iter().all(|piece| piece.len() <= 4_096));
    assert!(written.iter().all(|piece| piece.ends_with('\n')));
}
