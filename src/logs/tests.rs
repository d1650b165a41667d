use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::writer::BufferWriter;

/// Output that blocks each write until the test resumes it.
struct StalledOutput {
    /// Notified when a write starts.
    write_started: Sender<()>,
    resume: Receiver<()>,
    written: Sender<String>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.write_started.send(());
        // Once the sender is dropped, no write blocks any more.
        let _ = self.resume.recv();
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
fn stalled_reader_drops_lines_without_blocking_the_writer() {
    let (write_started, started_writes) = channel();
    let (resume_sender, resume) = channel();
    let (written, output) = channel();
    let (mut writer, flusher) = BufferWriter::start(StalledOutput {
        write_started,
        resume,
        written,
    })
    .unwrap();
    write_line(&mut writer, "first");
    started_writes.recv().unwrap();
    let long_line = "x".repeat(1_000);
    for _ in 0..10_000 {
        write_line(&mut writer, &long_line);
    }
    drop(resume_sender);
    flusher.flush(Duration::from_secs(10));
    // The buffer has space again.
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
fn high_severity_lines_are_kept_when_low_severity_lines_are_dropped() {
    let (write_started, started_writes) = channel();
    let (resume_sender, resume) = channel();
    let (written, output) = channel();
    let (mut low_severity, flusher) = BufferWriter::start(StalledOutput {
        write_started,
        resume,
        written,
    })
    .unwrap();
    let mut high_severity = low_severity.with_full_capacity();
    write_line(&mut low_severity, "first");
    started_writes.recv().unwrap();
    let long_line = "x".repeat(1_000);
    for _ in 0..10_000 {
        write_line(&mut low_severity, &long_line);
    }
    // Longer than the others, so that it does not fit the remaining space either.
    write_line(&mut low_severity, &format!("low severity {long_line}"));
    write_line(&mut high_severity, "high severity");
    drop(resume_sender);
    flusher.flush(Duration::from_secs(10));
    drop((low_severity, high_severity, flusher));
    let text: String = output.iter().collect();
    assert!(text.contains("high severity\n"));
    assert!(!text.contains("low severity"));
}

/// Output that records the content of each write.
struct WriteRecorder {
    writes: Sender<String>,
}

impl Write for WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.writes.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_write_holds_whole_lines_and_is_atomic_on_a_pipe() {
    let (writes, output) = channel();
    let (mut writer, flusher) = BufferWriter::start(WriteRecorder { writes }).unwrap();
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
    assert!(written.iter().all(|chunk| chunk.len() <= 4_096));
    assert!(written.iter().all(|chunk| chunk.ends_with('\n')));
}
