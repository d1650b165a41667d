//! Writes log lines from a thread of its own.
//!
//! A reader of standard error that stalls must not stall traffic. Lines wait
//! in a queue of bounded length; what does not fit is dropped and counted, and
//! the count is logged once there is room again.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that wait to be written, at most.
const QUEUE_LINES: usize = 8_192;

/// What the writing thread is given.
enum LogItem {
    Line(Vec<u8>),
    /// Everything before has been written; tells the waiter so.
    Flush(SyncSender<()>),
}

/// Waits for the lines that are still queued, for the end of a process.
pub struct LogFlusher {
    queue: SyncSender<LogItem>,
}

impl LogFlusher {
    /// Waits until all lines so far are written, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let (done, waiter) = sync_channel(1);
        if self.queue.try_send(LogItem::Flush(done)).is_ok() {
            // Past the limit the lines are lost, which is better than a hang.
            let _ = waiter.recv_timeout(limit);
        }
    }
}

/// Collects one line at a time and hands it to the writing thread.
pub struct QueueWriter {
    line: Vec<u8>,
    queue: SyncSender<LogItem>,
    dropped: u64,
}

impl QueueWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, LogFlusher)> {
        let (queue, items) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("logs".to_string())
            .spawn(move || write_lines(&items, output))?;
        let flusher = LogFlusher {
            queue: queue.clone(),
        };
        let writer = Self {
            line: Vec::new(),
            queue,
            dropped: 0,
        };
        Ok((writer, flusher))
    }

    fn send_line(&mut self, line: Vec<u8>) {
        match self.queue.try_send(LogItem::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.dropped += 1,
            // The thread ends only when its output fails; nobody can be told.
            Err(TrySendError::Disconnected(_)) => {}
        }
    }

    fn report_dropped(&mut self) {
        if self.dropped == 0 {
            return;
        }
        let report = format!(
            "{{\"level\":\"WARN\",\"target\":\"logs\",\"message\":\"lines dropped\",\"lines\":{}}}\n",
            self.dropped
        );
        if self
            .queue
            .try_send(LogItem::Line(report.into_bytes()))
            .is_ok()
        {
            self.dropped = 0;
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Ends the line; the logging library flushes after each.
    fn flush(&mut self) -> io::Result<()> {
        self.report_dropped();
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() {
            self.send_line(line);
        }
        Ok(())
    }
}

fn write_lines(items: &Receiver<LogItem>, mut output: impl Write) {
    while let Ok(item) = items.recv() {
        match item {
            LogItem::Line(line) => {
                if output.write_all(&line).is_err() {
                    return;
                }
            }
            // A waiter past its limit has gone.
            LogItem::Flush(done) => drop(done.send(())),
        }
    }
}
