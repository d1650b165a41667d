//! Flow-control window and resend buffer for one direction of one call.

use std::collections::VecDeque;

use bytes::Bytes;

/// Most bytes of one body that may be in flight, not yet consumed by the receiver.
pub const WINDOW_BYTES: u64 = 256 * 1024;
/// Most bytes of a request body that may be sent before the gate starts the call.
///
/// They stay in the resend buffer until then, so that a refused call can always
/// be sent to another gate.
pub const INITIAL_WINDOW_BYTES: u64 = 64 * 1024;
/// Largest body chunk in one frame.
pub const MAX_CHUNK_BYTES: usize = 32 * 1024;

/// Most chunks of one body that may be in flight; small ones take more memory than their
/// bytes.
pub const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Sender side: buffers bytes that were sent but not yet consumed by the receiver.
#[derive(Debug)]
pub struct SendWindow {
    unconsumed: VecDeque<Bytes>,
    consumed_bytes: u64,
    sent_bytes: u64,
    limit_bytes: u64,
    is_ended: bool,
}

impl SendWindow {
    /// Creates a window that allows `limit_bytes` in flight until the first credit.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            unconsumed: VecDeque::new(),
            consumed_bytes: 0,
            sent_bytes: 0,
            limit_bytes,
            is_ended: false,
        }
    }

    /// Bytes that may be sent now.
    pub fn available_bytes(&self) -> usize {
        if self.unconsumed.len() >= MAX_CHUNKS_IN_FLIGHT {
            return 0;
        }
        let in_flight_bytes = self.sent_bytes - self.consumed_bytes;
        usize::try_from(self.limit_bytes.saturating_sub(in_flight_bytes)).unwrap_or(usize::MAX)
    }

    /// Bytes that are kept until the receiver has consumed them.
    pub fn unconsumed_bytes(&self) -> usize {
        self.unconsumed.iter().map(Bytes::len).sum()
    }

    /// Bytes sent since the start of the body.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether the last chunk of the body has been sent.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Records a sent chunk and keeps it for a resend.
    pub fn record_sent(&mut self, data: Bytes, is_last: bool) {
        self.sent_bytes += data.len() as u64;
        self.is_ended |= is_last;
        if !data.is_empty() {
            self.unconsumed.push_back(data);
        }
    }

    /// Releases bytes that the receiver has consumed and opens the window to
    /// [`WINDOW_BYTES`].
    pub fn apply_credit(&mut self, consumed_bytes: u64) {
        self.limit_bytes = WINDOW_BYTES;
        let mut newly_consumed_bytes = consumed_bytes
            .min(self.sent_bytes)
            .saturating_sub(self.consumed_bytes);
        self.consumed_bytes += newly_consumed_bytes;
        while newly_consumed_bytes > 0 {
            let Some(mut front) = self.unconsumed.pop_front() else {
                return;
            };
            let length = front.len() as u64;
            if length > newly_consumed_bytes {
                let rest =
                    front.split_off(usize::try_from(newly_consumed_bytes).unwrap_or(usize::MAX));
                self.unconsumed.push_front(rest);
                return;
            }
            newly_consumed_bytes -= length;
        }
    }

    /// Chunks, each with its offset, that a receiver with `received_bytes` still
    /// lacks; `None` if some of them are no longer buffered.
    pub fn resend_from(&self, received_bytes: u64) -> Option<Vec<(u64, Bytes)>> {
        if received_bytes < self.consumed_bytes {
            return None;
        }
        let mut offset = self.consumed_bytes;
        let mut chunks = Vec::new();
        for chunk in &self.unconsumed {
            let end = offset + chunk.len() as u64;
            if end > received_bytes {
                let skipped_bytes = received_bytes.saturating_sub(offset);
                let tail = chunk.slice(usize::try_from(skipped_bytes).unwrap_or(usize::MAX)..);
                chunks.push((offset + skipped_bytes, tail));
            }
            offset = end;
        }
        Some(chunks)
    }
}

/// Receiver side: drops duplicate bytes after a resend.
#[derive(Debug, Default)]
pub struct ReceiveWindow {
    received_bytes: u64,
    is_ended: bool,
}

impl ReceiveWindow {
    /// Contiguous bytes received since the start of the body.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Whether the last chunk of the body has been received.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Accepts a chunk and returns the bytes that are new; `None` if there is a
    /// gap before it.
    pub fn accept(&mut self, offset: u64, mut data: Bytes, is_last: bool) -> Option<Bytes> {
        if offset > self.received_bytes {
            return None;
        }
        let end = offset + data.len() as u64;
        if end < self.received_bytes {
            return Some(Bytes::new());
        }
        let duplicate_bytes = usize::try_from(self.received_bytes - offset).unwrap_or(usize::MAX);
        let new_data = data.split_off(duplicate_bytes);
        self.received_bytes = end;
        self.is_ended |= is_last;
        Some(new_data)
    }
}
