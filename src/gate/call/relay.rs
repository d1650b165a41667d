//! Relays the backend server's response to the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

use super::{ExchangeStep, GateCall, RunError};
use crate::backend::BackendResponse;
use crate::error::ErrorKind;
use crate::link::body_deadline::BodyDeadline;
use crate::link::messages::ResponseStart;
use crate::link::window::MAX_CHUNK_BYTES;

/// Longest time for which the start of a response of unknown length is
/// buffered. Most such responses are short, and a failure before the head is
/// sent can still be hidden from the caller.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(20);

impl GateCall {
    /// Relays the whole response.
    pub(super) async fn relay_response(
        &mut self,
        mut response: BackendResponse,
    ) -> Result<(), RunError> {
        let body_length = response.body_length();
        let (first_chunk, is_last) = self.buffer_short_response(&mut response).await?;
        let body_length = if is_last && body_length.is_none() {
            Some(first_chunk.len() as u64)
        } else {
            body_length
        };
        self.wait_for_link_room().await?;
        self.response_sender.send_head(ResponseStart {
            sequence: self.open.sequence,
            status: response.status().into(),
            headers: response.take_fields(),
            body_length,
            body: first_chunk,
            is_body_complete: is_last,
            load: Some(self.gate.current_load()),
        });
        self.response_deadline = Some(BodyDeadline::new(self.deadline, Instant::now()));
        let mut is_last = is_last;
        while !is_last {
            is_last = self.relay_chunk(&mut response).await?;
            self.extend_deadline();
        }
        Ok(())
    }

    /// Buffers a short response completely, so that it is sent in one frame.
    /// Returns the buffered bytes and whether they are the whole body.
    async fn buffer_short_response(
        &mut self,
        response: &mut BackendResponse,
    ) -> Result<(Bytes, bool), RunError> {
        if response.is_ended() {
            response.release_connection();
            return Ok((Bytes::new(), true));
        }
        let is_short = match response.body_length() {
            Some(length) => length <= MAX_CHUNK_BYTES as u64,
            None => true,
        };
        let has_known_length = response.body_length().is_some();
        let buffering_deadline = Instant::now() + BUFFERING_TIMEOUT;
        let mut buffered = BytesMut::new();
        while is_short && buffered.len() < MAX_CHUNK_BYTES {
            let next = self.next_chunk(response);
            let next = if has_known_length {
                next.await?
            } else {
                match tokio::time::timeout_at(buffering_deadline, next).await {
                    Ok(next) => next?,
                    Err(_) => break,
                }
            };
            match next {
                Some(data) => buffered.extend_from_slice(&data),
                None => return Ok((buffered.freeze(), true)),
            }
        }
        Ok((buffered.freeze(), false))
    }

    /// Relays the next chunk; `true` at the end of the body.
    async fn relay_chunk(&mut self, response: &mut BackendResponse) -> Result<bool, RunError> {
        while self.response_sender.available_window() == 0 {
            self.handle_next_input().await?;
        }
        self.wait_for_link_room().await?;
        match self.next_chunk(response).await? {
            Some(mut data) => {
                while !data.is_empty() {
                    let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
                    self.response_sender.send_chunk(piece, false, None);
                }
                Ok(false)
            }
            None => {
                let load = Some(self.gate.current_load());
                self.response_sender.send_chunk(Bytes::new(), true, load);
                Ok(true)
            }
        }
    }

    /// Waits until the link takes more of a body; the call may move to another link meanwhile.
    async fn wait_for_link_room(&mut self) -> Result<(), RunError> {
        loop {
            let link = self.response_sender.link().clone();
            if link.has_room() {
                return Ok(());
            }
            tokio::select! {
                biased;
                handled = self.handle_next_input() => handled?,
                () = link.wait_for_room() => {}
            }
        }
    }

    async fn next_chunk(
        &mut self,
        response: &mut BackendResponse,
    ) -> Result<Option<Bytes>, RunError> {
        let id = self.id;
        let next = async {
            let chunk = response.next_chunk().await;
            ExchangeStep::ResponseChunk(chunk.map_err(|error| {
                log::warn!(target: "gate", call:% = id; "{error}");
                ErrorKind::BackendFailed
            }))
        };
        match self.await_step(next).await? {
            ExchangeStep::ResponseChunk(chunk) => chunk.map_err(RunError::Failed),
            ExchangeStep::ResponseHead(_) => Err(RunError::Failed(ErrorKind::Internal)),
        }
    }
}
