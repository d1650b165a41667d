//! The backend server's answer on its way into the link.

use bytes::Bytes;
use ntex::client::ClientResponse;
use ntex::http::Payload;

use super::{GateCall, WorkEnd, WorkStep};
use crate::error::ErrorKind;
use crate::fields::{end_to_end_fields, stated_length};
use crate::link::messages::AnswerHead;
use crate::link::window::CHUNK_BYTES;

impl GateCall {
    /// Passes the backend server's answer on, whole.
    pub(super) async fn relay_answer(&mut self, response: &ClientResponse) -> Result<(), WorkEnd> {
        let mut payload = response.take_payload();
        let body_length = stated_length(response.headers());
        let mut first = Bytes::new();
        let mut is_last = matches!(payload, Payload::None);
        // A short answer of known length goes out whole, in one frame.
        let is_short = body_length.is_some_and(|length| length <= CHUNK_BYTES as u64);
        while is_short && !is_last {
            match self.next_chunk(&mut payload).await? {
                Some(data) if first.is_empty() => first = data,
                Some(data) => first = Bytes::from([first, data].concat()),
                None => is_last = true,
            }
        }
        self.output.start(AnswerHead {
            sequence: self.open.sequence,
            status: u32::from(response.status().as_u16()),
            headers: end_to_end_fields(response.headers()),
            body_length,
            body: first,
            is_last,
            load: Some(self.gate.load()),
        });
        while !is_last {
            is_last = self.relay_chunk(&mut payload).await?;
        }
        Ok(())
    }

    async fn relay_chunk(&mut self, payload: &mut Payload) -> Result<bool, WorkEnd> {
        while self.output.room() == 0 {
            self.serve_input().await?;
        }
        match self.next_chunk(payload).await? {
            Some(mut data) => {
                while !data.is_empty() {
                    let piece = data.split_to(data.len().min(CHUNK_BYTES));
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

    async fn next_chunk(&mut self, payload: &mut Payload) -> Result<Option<Bytes>, WorkEnd> {
        let next = async {
            let chunk = payload.recv().await;
            WorkStep::Body(chunk.map(|chunk| {
                chunk
                    .map(|data| Bytes::copy_from_slice(&data))
                    .map_err(|_| ErrorKind::BackendFailed)
            }))
        };
        match self.step(next).await? {
            WorkStep::Body(chunk) => chunk.transpose().map_err(WorkEnd::Failed),
            WorkStep::Head(_) => Err(WorkEnd::Failed(ErrorKind::Internal)),
        }
    }
}
