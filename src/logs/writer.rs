//! Log writer on a dedicated thread.
//!
//! Logging must not block traffic when the reader of standard output stalls, and
//! a line must not cost traffic a system call or the wake-up of another thread.
//! Lines are collected in a bounded buffer, which the writer thread empties at a
//! fixed interval. Lines that don't fit are dropped and counted, and the count
//! is logged with the next write.
//!
//! Each write contains only whole lines and is small enough to be atomic on a
//! pipe, so that lines of several processes on one pipe are not interleaved.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity for lines that wait to be written.
const BUFFER_CAPACITY_BYTES: usize = 2 * 1024 * 1024;
/// Fill level up to which lines below a warning are accepted; the rest of the
/// buffer is reserved for warnings and errors.
const LOW_SEVERITY_CAPACITY_BYTES: usize = BUFFER_CAPACITY_BYTES / 4 * 3;
/// Largest write that is atomic on a pipe: `PIPE_BUF`, which is 4,096 on Linux
/// and at least 512 by POSIX.
const ATOMIC_WRITE_BYTES: usize = 4_096;
/// Pause of the writer thread between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Lines that are logged but not written yet.
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

/// Waits for buffered lines to be written before the process exits.
pub struct LogFlusher {
    buffer: SharedBuffer,
}

impl LogFlusher {
    /// Waits until all lines logged so far are written, or `timeout` has passed.
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

/// Appends lines to the buffer, up to a capacity of its own.
pub struct BufferWriter {
    line: Vec<u8>,
    buffer: SharedBuffer,
    capacity_bytes: usize,
}

impl BufferWriter {
    /// Starts the thread that writes to `output`; the returned writer is for lines
    /// below a warning.
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

    /// Writer to the same output that may fill the whole buffer, for warnings and
    /// errors.
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

    /// Appends the line to the buffer or drops it; the logging library flushes
    /// after each line.
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

/// Writes buffered lines until the output fails or every [`BufferWriter`] and
/// [`LogFlusher`] is dropped.
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

/// Writes chunks of whole lines; only a line that is longer than an atomic write
/// is split.
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
