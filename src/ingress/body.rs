//! A caller's request body, kept replayable while it is short.

use bytes::{Bytes, BytesMut};
use ntex::web::types::Payload;

use crate::error::ErrorKind;
use crate::link::window::{CHUNK_BYTES, FIRST_WINDOW_BYTES};

/// Request body as it comes in.
///
/// What was read before the first attempt is kept, so that a refused call can
/// be sent to another upstream. It is at most the first window; a gate lets
/// more of the body come only once it has started the call.
pub struct RequestBody {
    payload: Payload,
    first: Bytes,
    is_first_all: bool,
    rest: Bytes,
    is_ended: bool,
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
        payload: Payload,
        stated: Option<u64>,
        limit: u64,
    ) -> Result<Self, ErrorKind> {
        let mut body = Self {
            payload,
            first: Bytes::new(),
            is_first_all: false,
            rest: Bytes::new(),
            is_ended: false,
            received: 0,
            limit,
        };
        let wanted = stated.unwrap_or(FIRST_WINDOW_BYTES).min(FIRST_WINDOW_BYTES);
        let mut first = BytesMut::new();
        let is_short = stated.is_some_and(|length| length <= FIRST_WINDOW_BYTES);
        while !body.is_ended && (is_short || (first.len() as u64) < wanted) {
            if let Some(data) = body.read().await? {
                first.extend_from_slice(&data);
            }
            if !is_short && stated.is_none() && !first.is_empty() {
                // A body of unstated length may pause; what is here goes out.
                break;
            }
        }
        let mut first = first.freeze();
        let cut = first.len().min(CHUNK_BYTES * 2);
        body.rest = first.split_off(cut);
        body.first = first;
        body.is_first_all = body.is_ended && body.rest.is_empty();
        Ok(body)
    }

    /// Bytes for the start of an attempt, and whether the body ends with them.
    pub fn first(&self) -> (Bytes, bool) {
        (self.first.clone(), self.is_first_all)
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
        let length = self.rest.len().min(room).min(CHUNK_BYTES);
        Ok(Some(self.rest.split_to(length)))
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ErrorKind> {
        match self.payload.recv().await {
            Some(Ok(data)) => {
                self.received += data.len() as u64;
                if self.received > self.limit {
                    return Err(ErrorKind::BodyTooLarge);
                }
                Ok(Some(Bytes::copy_from_slice(&data)))
            }
            Some(Err(_)) => Err(ErrorKind::BadRequest),
            None => {
                self.is_ended = true;
                Ok(None)
            }
        }
    }
}
