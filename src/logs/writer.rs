//! Writes log lines from a thread of its own.
//!
//! A reader of standard output that stalls must not stall traffic, and a line
//! must not cost traffic a system call or the wake-up of another thread. Lines
//! are collected in a buffer of bounded size, which the writing thread takes
//! whole at a fixed interval. What does not fit is dropped and counted, and the
//! count is logged once there is room again.
//!
//! Each write holds whole lines and no more than a pipe takes in one piece, so
//! that a reader that follows several processes gets no line in parts.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that wait to be written, at most.
const BUFFER_CAPACITY_BYTES: usize = 2 * 1024 * 1024;
/// Part of them that common lines may take; the rest is for urgent ones.
const LOW_SEVERITY_CAPACITY_BYTES: usize = BUFFER_CAPACITY_BYTES / 4 * 3;
/// Bytes that a pipe takes in one piece, by POSIX at least 512 and 4,096 on
/// Linux (`PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4_096;
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Lines between the threads that log and the one that writes.
#[derive(Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

type SharedBuffer = Arc<Mutex<LogBuffer>>;

fn lock_buffer(buffer: &SharedBuffer) -> MutexGuard<'_, LogBuffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for the lines that are still buffered, for the end of a process.
pub struct LogFlusher {
    buffer: SharedBuffer,
}

impl LogFlusher {
    /// Waits until all lines so far are written, at most for `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let buffer = lock_buffer(&self.buffer);
            if buffer.bytes.is_empty() && !buffer.is_writing {
                return;
            }
            drop(buffer);
            thread::sleep(WRITE_INTERVAL / 10);
        }
    }
}

/// Collects one line at a time and adds it to the buffer.
pub struct BufferWriter {
    line: Vec<u8>,
    buffer: SharedBuffer,
    capacity_bytes: usize,
}

impl BufferWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, LogFlusher)> {
        let buffer = SharedBuffer::default();
        let writer_buffer = Arc::clone(&buffer);
        thread::Builder::new()
            .name("logs".to_string())
            .spawn(move || run_writer(&writer_buffer, output))?;
        let flusher = LogFlusher {
            buffer: Arc::clone(&buffer),
        };
        let writer = Self {
            line: Vec::new(),
            buffer,
            capacity_bytes: LOW_SEVERITY_CAPACITY_BYTES,
        };
        Ok((writer, flusher))
    }

    /// Writer to the same output whose lines may take the whole buffer.
    pub fn with_full_capacity(&self) -> Self {
        Self {
            line: Vec::new(),
            buffer: Arc::clone(&self.buffer),
            capacity_bytes: BUFFER_CAPACITY_BYTES,
        }
    }
}

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Ends the line; the logging library flushes after each.
    fn flush(&mut self) -> io::Result<()> {
        let mut buffer = lock_buffer(&self.buffer);
        if buffer.bytes.len() + self.line.len() <= self.capacity_bytes {
            buffer.bytes.extend_from_slice(&self.line);
        } else {
            buffer.dropped_lines += 1;
        }
        drop(buffer);
        self.line.clear();
        Ok(())
    }
}

/// Writes what has been collected until the output fails or nobody logs any
/// more.
fn run_writer(buffer: &SharedBuffer, mut output: impl Write) {
    loop {
        let is_last = Arc::strong_count(buffer) == 1;
        let bytes = take_buffered_bytes(buffer);
        let result = write_whole_lines(&bytes, &mut output);
        lock_buffer(buffer).is_writing = false;
        if result.is_err() || is_last {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Writes whole lines, a piece at a time; only a line that is longer than a
/// piece is written in parts.
fn write_whole_lines(bytes: &[u8], output: &mut impl Write) -> io::Result<()> {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let chunk = &remaining[..remaining.len().min(ATOMIC_WRITE_BYTES)];
        let chunk_end = match chunk.iter().rposition(|byte| *byte == b'\n') {
            Some(newline) => newline + 1,
            None => chunk.len(),
        };
        output.write_all(&remaining[..chunk_end])?;
        output.flush()?;
        remaining = &remaining[chunk_end..];
    }
    Ok(())
}

fn take_buffered_bytes(buffer: &SharedBuffer) -> Vec<u8> {
    let mut buffer = lock_buffer(buffer);
    let mut bytes = std::mem::take(&mut buffer.bytes);
    if buffer.dropped_lines > 0 {
        let report_line = format!(
            "{{\"level\":\"WARN\",\"target\":\"logs\",\"message\":\"lines dropped\",\"lines\":{}}}\n",
            buffer.dropped_lines
        );
        bytes.extend_from_slice(report_line.as_bytes());
        buffer.dropped_lines = 0;
    }
    buffer.is_writing = !bytes.is_empty();
    bytes
}
