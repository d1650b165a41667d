//! A caller's request body; its start is buffered, so that a short body can be
//! sent again.

use bytes::{Bytes, BytesMut};

use crate::body_channel::{self, BodyTruncated};
use crate::error::ErrorKind;
use crate::link::window::{INITIAL_WINDOW_BYTES, MAX_CHUNK_BYTES};
use crate::quarantine::PREFIX_BYTES;

/// Bytes of a body that are buffered for another attempt.
const REPLAY_BUFFER_BYTES: usize = INITIAL_WINDOW_BYTES as usize;

/// Chunks of a request body as the caller's connection reads them; an `Err`
/// says why no more will follow.
pub type BodyReceiver = body_channel::BodyReceiver<ErrorKind>;

impl From<BodyTruncated> for ErrorKind {
    /// The caller's connection ended in the body of its request.
    fn from(_: BodyTruncated) -> Self {
        Self::Cancelled
    }
}

/// Request body as it arrives.
///
/// The bytes read before the first attempt are buffered, so that a refused call
/// can be sent to another upstream. They are at most the first flow-control
/// window; a gate grants credit for more of the body only once it has started
/// the call.
///
/// An attempt takes its bytes from a [`ReplayableBody`], which exists only while
/// the buffer holds all bytes that earlier attempts have taken.
pub struct RequestBody {
    body_receiver: Option<BodyReceiver>,
    /// All bytes taken so far; `None` once they were too many to be kept.
    replay_buffer: Option<BytesMut>,
    unsent: Bytes,
    is_ended: bool,
    received_bytes: u64,
    limit_bytes: u64,
}

/// Request body that an attempt can send from its first byte.
pub struct ReplayableBody<'a> {
    body: &'a mut RequestBody,
}

/// Bytes with which an attempt is opened.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyOpening {
    /// Start of the body.
    pub data: Bytes,
    /// Whether the body ends with them.
    pub is_whole: bool,
}

/// Rest of a request body, after the bytes with which an attempt was opened.
pub struct BodyRest<'a> {
    body: &'a mut RequestBody,
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
            replay_buffer: None,
            unsent: Bytes::new(),
            received_bytes: 0,
            limit_bytes,
        };
        let mut start = BytesMut::new();
        let wanted_bytes = stated_length
            .unwrap_or(INITIAL_WINDOW_BYTES)
            .min(INITIAL_WINDOW_BYTES);
        let is_short = stated_length.is_some_and(|length| length <= INITIAL_WINDOW_BYTES);
        while !body.is_ended && (is_short || (start.len() as u64) < wanted_bytes) {
            if let Some(data) = body.receive().await? {
                start.extend_from_slice(&data);
            }
            if stated_length.is_none() && !start.is_empty() {
                // A body of unstated length may stall; what has arrived is sent
                // first.
                break;
            }
        }
        body.unsent = split_excess(&mut start);
        body.replay_buffer = Some(start);
        Ok(body)
    }

    /// Reads on until the replay buffer is full or the body ends. Does nothing once the
    /// start of the body is no longer kept.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated or too long.
    pub async fn fill_replay_buffer(&mut self) -> Result<(), ErrorKind> {
        while self.is_replayable() && !self.is_ended && self.unsent.is_empty() {
            let data = self.receive().await?;
            if let (Some(data), Some(start)) = (data, &mut self.replay_buffer) {
                start.extend_from_slice(&data);
                self.unsent = split_excess(start);
            }
        }
        Ok(())
    }

    /// Start of the body, and whether all of it that counts for the request's identity is
    /// there.
    pub fn identity_prefix(&self) -> (&[u8], bool) {
        let Some(start) = &self.replay_buffer else {
            return (&[], false);
        };
        let is_ended = self.is_ended && self.unsent.is_empty();
        (start, is_ended || start.len() >= PREFIX_BYTES)
    }

    /// Whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        self.replay_buffer.is_some()
    }

    /// The body for an attempt; `None` once its start is no longer kept.
    pub fn replayable(&mut self) -> Option<ReplayableBody<'_>> {
        self.is_replayable()
            .then_some(ReplayableBody { body: self })
    }

    async fn next_chunk(&mut self, room: usize) -> Result<Option<Bytes>, ErrorKind> {
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
        let kept = self.replay_buffer.take();
        self.replay_buffer = kept
            .filter(|start| start.len() + data.len() <= REPLAY_BUFFER_BYTES)
            .map(|mut start| {
                start.extend_from_slice(data);
                start
            });
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, ErrorKind> {
        let chunk = match &mut self.body_receiver {
            Some(receiver) => receiver.next().await?,
            None => None,
        };
        let Some(data) = chunk else {
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

impl<'a> ReplayableBody<'a> {
    /// Copy of a body that has been read to its end and is completely buffered.
    pub fn complete_copy(&self) -> Option<RequestBody> {
        let opening = self.opening();
        opening.is_whole.then(|| RequestBody {
            body_receiver: None,
            replay_buffer: Some(BytesMut::from(&opening.data[..])),
            unsent: Bytes::new(),
            is_ended: true,
            received_bytes: self.body.received_bytes,
            limit_bytes: self.body.limit_bytes,
        })
    }

    /// Bytes with which an attempt is opened, and the rest, which it sends after them.
    pub fn open(self) -> (BodyOpening, BodyRest<'a>) {
        let opening = self.opening();
        (opening, BodyRest { body: self.body })
    }

    fn opening(&self) -> BodyOpening {
        let start = self.body.replay_buffer.as_deref().unwrap_or_default();
        BodyOpening {
            data: Bytes::copy_from_slice(start),
            is_whole: self.body.is_ended && self.body.unsent.is_empty(),
        }
    }
}

impl BodyRest<'_> {
    /// Next chunk of the body, at most `room` bytes; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, truncated or too long.
    pub async fn next_chunk(&mut self, room: usize) -> Result<Option<Bytes>, ErrorKind> {
        self.body.next_chunk(room).await
    }
}

/// Splits off what the replay buffer can't hold.
fn split_excess(start: &mut BytesMut) -> Bytes {
    let kept_length = start.len().min(REPLAY_BUFFER_BYTES);
    start.split_off(kept_length).freeze()
}

#[cfg(test)]
mod tests;
