//! The backend server's answer on its way into the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

use super::{GateCall, WorkEnd, WorkStep};
use crate::backend::BackendAnswer;
use crate::error::ErrorKind;
use crate::link::body_deadline::BodyDeadline;
use crate::link::messages::ResponseStart;
use crate::link::window::MAX_CHUNK_BYTES;

/// Time for which the start of an answer of unstated length is collected. Most
/// are short, and a failure before the start is passed on can still be hidden.
const COLLECT_LIMIT: Duration = Duration::from_millis(20);

impl GateCall {
    /// Passes the backend server's answer on, whole.
    pub(super) async fn relay_answer(&mut self, mut answer: BackendAnswer) -> Result<(), WorkEnd> {
        let body_length = answer.body_length();
        let (first, is_last) = self.collect_first(&mut answer).await?;
        let body_length = if is_last && body_length.is_none() {
            Some(first.len() as u64)
        } else {
            body_length
        };
        self.output.start(ResponseStart {
            sequence: self.open.sequence,
            status: u32::from(answer.status()),
            headers: answer.take_fields(),
            body_length,
            body: first,
            is_body_complete: is_last,
            load: Some(self.gate.load()),
        });
        self.rest = Some(BodyDeadline::new(self.deadline, Instant::now()));
        let mut is_last = is_last;
        while !is_last {
            is_last = self.relay_chunk(&mut answer).await?;
            self.note_piece();
        }
        Ok(())
    }

    /// Collects a short answer whole, so that it goes out in one frame.
    async fn collect_first(
        &mut self,
        answer: &mut BackendAnswer,
    ) -> Result<(Bytes, bool), WorkEnd> {
        if answer.is_ended() {
            answer.release();
            return Ok((Bytes::new(), true));
        }
        let is_short = match answer.body_length() {
            Some(length) => length <= MAX_CHUNK_BYTES as u64,
            None => true,
        };
        let is_stated = answer.body_length().is_some();
        let end = Instant::now() + COLLECT_LIMIT;
        let mut first = BytesMut::new();
        while is_short && first.len() < MAX_CHUNK_BYTES {
            let next = self.next_chunk(answer);
            let next = if is_stated {
                next.await?
            } else {
                match tokio::time::timeout_at(end, next).await {
                    Ok(next) => next?,
                    Err(_) => break,
                }
            };
            match next {
                Some(data) => first.extend_from_slice(&data),
                None => return Ok((first.freeze(), true)),
            }
        }
        Ok((first.freeze(), false))
    }

    async fn relay_chunk(&mut self, answer: &mut BackendAnswer) -> Result<bool, WorkEnd> {
        while self.output.room() == 0 {
            self.serve_input().await?;
        }
        match self.next_chunk(answer).await? {
            Some(mut data) => {
                while !data.is_empty() {
                    let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
                    self.output.push(piece, false, None);
                }
                Ok(false)
            }
            None => {
                let load = Some(self.gate.load());
                self.output.push(Bytes::new(), true, load);
                Ok(true)
            }
        }
    }

    async fn next_chunk(&mut self, answer: &mut BackendAnswer) -> Result<Option<Bytes>, WorkEnd> {
        let id = self.id;
        let next = async {
            let chunk = answer.next().await;
            WorkStep::Body(chunk.map_err(|error| {
                log::warn!(target: "gate", call:% = id; "{error}");
                ErrorKind::BackendFailed
            }))
        };
        match self.step(next).await? {
            WorkStep::Body(chunk) => chunk.map_err(WorkEnd::Failed),
            WorkStep::Head(_) => Err(WorkEnd::Failed(ErrorKind::Internal)),
        }
    }
}
