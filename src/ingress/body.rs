//! A caller's request body, kept replayable while it is short.

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc::Receiver;

use crate::error::ErrorKind;
use crate::link::window::{INITIAL_WINDOW_BYTES, MAX_CHUNK_BYTES};

/// Bytes of a body that are kept for another attempt.
const FIRST_BYTES: usize = INITIAL_WINDOW_BYTES as usize;

/// Pieces of a body as the caller's connection reads them; an `Err` says why
/// there will be no more. The channel closes at the end of a whole body.
pub type BodyPieces = Receiver<Result<Bytes, ErrorKind>>;

/// Request body as it comes in.
///
/// What was read before the first attempt is kept, so that a refused call can
/// be sent to another upstream. It is at most the first window; a gate lets
/// more of the body come only once it has started the call.
pub struct RequestBody {
    pieces: Option<BodyPieces>,
    first: BytesMut,
    rest: Bytes,
    is_ended: bool,
    is_overrun: bool,
    received: u64,
    limit: u64,
}

impl RequestBody {
    /// Reads the start of the body: all of a short one of stated length,
    /// otherwise what the first window allows.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, cut short, or longer than `limit` bytes.
    pub async fn read_first(
        pieces: Option<BodyPieces>,
        stated: Option<u64>,
        limit: u64,
    ) -> Result<Self, ErrorKind> {
        let mut body = Self {
            is_ended: pieces.is_none(),
            pieces,
            first: BytesMut::new(),
            rest: Bytes::new(),
            is_overrun: false,
            received: 0,
            limit,
        };
        let wanted = stated
            .unwrap_or(INITIAL_WINDOW_BYTES)
            .min(INITIAL_WINDOW_BYTES);
        let is_short = stated.is_some_and(|length| length <= INITIAL_WINDOW_BYTES);
        while !body.is_ended && (is_short || (body.first.len() as u64) < wanted) {
            if let Some(data) = body.read().await? {
                body.first.extend_from_slice(&data);
            }
            if stated.is_none() && !body.first.is_empty() {
                // A body of unstated length may pause; what is here goes out.
                break;
            }
        }
        let cut = body.first.len().min(FIRST_BYTES);
        body.rest = body.first.split_off(cut).freeze();
        Ok(body)
    }

    /// Copy of a body that has been read to its end and is kept whole.
    pub fn whole_copy(&self) -> Option<Self> {
        let (first, is_all) = self.first();
        is_all.then(|| Self {
            pieces: None,
            first: BytesMut::from(&first[..]),
            rest: Bytes::new(),
            is_ended: true,
            is_overrun: false,
            received: self.received,
            limit: self.limit,
        })
    }

    /// Bytes for the start of an attempt, and whether the body ends with them.
    pub fn first(&self) -> (Bytes, bool) {
        let is_all = self.is_ended && self.rest.is_empty() && !self.is_overrun;
        (Bytes::copy_from_slice(&self.first), is_all)
    }

    /// Whether another attempt can still send the body from its start.
    pub fn is_replayable(&self) -> bool {
        !self.is_overrun
    }

    /// More of the body, at most `room` bytes; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, cut short or too long.
    pub async fn next(&mut self, room: usize) -> Result<Option<Bytes>, ErrorKind> {
        while self.rest.is_empty() {
            if self.is_ended {
                return Ok(None);
            }
            if let Some(data) = self.read().await? {
                self.rest = data;
            }
        }
        let length = self.rest.len().min(room).min(MAX_CHUNK_BYTES);
        let data = self.rest.split_to(length);
        self.keep(&data);
        Ok(Some(data))
    }

    fn keep(&mut self, data: &Bytes) {
        let has_room = self.first.len() + data.len() <= FIRST_BYTES;
        if has_room && !self.is_overrun {
            self.first.extend_from_slice(data);
        } else {
            self.is_overrun = true;
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ErrorKind> {
        let piece = match &mut self.pieces {
            Some(pieces) => pieces.recv().await,
            None => None,
        };
        let Some(data) = piece.transpose()? else {
            self.is_ended = true;
            return Ok(None);
        };
        self.received += data.len() as u64;
        if self.received > self.limit {
            return Err(ErrorKind::BodyTooLarge);
        }
        Ok(Some(data))
    }
}
