//! A caller's request body; its start is buffered, so that a short body can be
//! sent again.

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc::Receiver;

use crate::error::ErrorKind;
use crate::link::window::{INITIAL_WINDOW_BYTES, MAX_CHUNK_BYTES};
use crate::quarantine::PREFIX_BYTES;

/// Bytes of a body that are buffered for another attempt.
const REPLAY_BUFFER_BYTES: usize = INITIAL_WINDOW_BYTES as usize;

/// Chunks of a request body as the caller's connection reads them; an `Err`
/// says why no more will follow. The channel closes at the end of a complete
/// body.
pub type BodyReceiver = Receiver<Result<Bytes, ErrorKind>>;

/// Request body as it arrives.
///
/// The bytes read before the first attempt are buffered, so that a refused call
/// can be sent to another upstream. They are at most the first flow-control
/// window; a gate grants credit for more of the body only once it has started
/// the call.
pub struct RequestBody {
    body_receiver: Option<BodyReceiver>,
    replay_buffer: BytesMut,
    unsent: Bytes,
    is_ended: bool,
    exceeds_replay_buffer: bool,
    received_bytes: u64,
    limit_bytes: u64,
}

impl RequestBody {
    /// Reads the start of the body: all of a short one of stated length,
    /// otherwise what the first window allows.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated, or longer than `limit_bytes`.
    pub async fn read_body_start(
        chunks: Option<BodyReceiver>,
        stated_length: Option<u64>,
        limit_bytes: u64,
    ) -> Result<Self, ErrorKind> {
        let mut body = Self {
            is_ended: chunks.is_none(),
            body_receiver: chunks,
            replay_buffer: BytesMut::new(),
            unsent: Bytes::new(),
            exceeds_replay_buffer: false,
            received_bytes: 0,
            limit_bytes,
        };
        let wanted_bytes = stated_length
            .unwrap_or(INITIAL_WINDOW_BYTES)
            .min(INITIAL_WINDOW_BYTES);
        let is_short = stated_length.is_some_and(|length| length <= INITIAL_WINDOW_BYTES);
        while !body.is_ended && (is_short || (body.replay_buffer.len() as u64) < wanted_bytes) {
            if let Some(data) = body.receive().await? {
                body.replay_buffer.extend_from_slice(&data);
            }
            if stated_length.is_none() && !body.replay_buffer.is_empty() {
                // A body of unstated length may stall; what has arrived is sent
                // first.
                break;
            }
        }
        let buffered_length = body.replay_buffer.len().min(REPLAY_BUFFER_BYTES);
        body.unsent = body.replay_buffer.split_off(buffered_length).freeze();
        Ok(body)
    }

    /// Reads on until the replay buffer is full or the body ends.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated or too long.
    pub async fn fill_replay_buffer(&mut self) -> Result<(), ErrorKind> {
        while !self.is_ended && self.unsent.is_empty() {
            if let Some(data) = self.receive().await? {
                self.replay_buffer.extend_from_slice(&data);
            }
            let buffered_length = self.replay_buffer.len().min(REPLAY_BUFFER_BYTES);
            self.unsent = self.replay_buffer.split_off(buffered_length).freeze();
        }
        Ok(())
    }

    /// Start of the body, and whether all of it that counts for the request's identity is
    /// there.
    pub fn identity_prefix(&self) -> (&[u8], bool) {
        let is_ended = self.is_ended && self.unsent.is_empty();
        let is_known = is_ended || self.replay_buffer.len() >= PREFIX_BYTES;
        (&self.replay_buffer, is_known)
    }

    /// Copy of a body that has been read to its end and is completely buffered.
    pub fn complete_copy(&self) -> Option<Self> {
        let (start, is_whole) = self.opening_bytes();
        is_whole.then(|| Self {
            body_receiver: None,
            replay_buffer: BytesMut::from(&start[..]),
            unsent: Bytes::new(),
            is_ended: true,
            exceeds_replay_buffer: false,
            received_bytes: self.received_bytes,
            limit_bytes: self.limit_bytes,
        })
    }

    /// Buffered bytes for the start of an attempt, and whether the body ends
    /// with them.
    pub fn opening_bytes(&self) -> (Bytes, bool) {
        let is_whole = self.is_ended && self.unsent.is_empty() && !self.exceeds_replay_buffer;
        (Bytes::copy_from_slice(&self.replay_buffer), is_whole)
    }

    /// Whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        !self.exceeds_replay_buffer
    }

    /// Next chunk of the body, at most `room` bytes; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated or too long.
    pub async fn next_chunk(&mut self, room: usize) -> Result<Option<Bytes>, ErrorKind> {
        while self.unsent.is_empty() {
            if self.is_ended {
                return Ok(None);
            }
            if let Some(data) = self.receive().await? {
                self.unsent = data;
            }
        }
        let length = self.unsent.len().min(room).min(MAX_CHUNK_BYTES);
        let data = self.unsent.split_to(length);
        self.keep_for_replay(&data);
        Ok(Some(data))
    }

    fn keep_for_replay(&mut self, data: &Bytes) {
        let has_room = self.replay_buffer.len() + data.len() <= REPLAY_BUFFER_BYTES;
        if has_room && !self.exceeds_replay_buffer {
            self.replay_buffer.extend_from_slice(data);
        } else {
            self.exceeds_replay_buffer = true;
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, ErrorKind> {
        let chunk = match &mut self.body_receiver {
            Some(pieces) => pieces.recv().await,
            None => None,
        };
        let Some(data) = chunk.transpose()? else {
            self.is_ended = true;
            return Ok(None);
        };
        self.received_bytes += data.len() as u64;
        if self.received_bytes > self.limit_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        Ok(Some(data))
    }
}
