//! Relays the rest of a long response to the caller.

use bytes::Bytes;
use tokio::time::Instant;

use super::{CallAttempt, error_kind_from_code};
use crate::body_channel::{BodySender, bounded};
use crate::error::ErrorKind;
use crate::ingress::answer::{ResponseBodyReceiver, ResponseTruncated};
use crate::link::body_deadline::BodyDeadline;
use crate::link::call_link::CallEvent;
use crate::link::messages::{LinkMessage, WindowCredit};
use crate::routing::AttemptResult;

/// Response chunks buffered for the caller's connection.
const RESPONSE_QUEUE_CHUNKS: usize = 8;

impl CallAttempt {
    /// Spawns a task that relays the rest of the response.
    pub fn relay_response_body(mut self) -> ResponseBodyReceiver {
        let (sender, receiver) = bounded(RESPONSE_QUEUE_CHUNKS);
        ntex::rt::spawn(async move {
            match self.relay_chunks(&sender).await {
                Ok(()) => sender.finish(),
                Err(kind) => {
                    self.cancel();
                    self.finish(AttemptResult::Failed(kind));
                    // Fails if the caller has disconnected and needs no error.
                    let _ = sender.fail(ResponseTruncated { kind }).await;
                }
            }
        });
        receiver
    }

    async fn relay_chunks(
        &mut self,
        sender: &BodySender<ResponseTruncated>,
    ) -> Result<(), ErrorKind> {
        self.send_response_credit();
        let mut rest_deadline = BodyDeadline::new(self.plan.deadline, Instant::now());
        while !self.response_window.is_ended() {
            self.plan.deadline = rest_deadline.expires_at();
            let event = tokio::select! {
                biased;
                event = self.events.recv() => event,
                () = sender.closed() => return Err(ErrorKind::Cancelled),
                () = tokio::time::sleep_until(self.plan.deadline) => {
                    return Err(ErrorKind::TimedOut);
                }
            };
            if let Some(data) = self.handle_body_event(event).await? {
                sender.send(data).await.map_err(|_| ErrorKind::Cancelled)?;
                self.send_response_credit();
                rest_deadline.record_progress(Instant::now());
            }
        }
        self.acknowledge_response();
        Ok(())
    }

    async fn handle_body_event(
        &mut self,
        event: Option<CallEvent>,
    ) -> Result<Option<Bytes>, ErrorKind> {
        let message = match event {
            Some(CallEvent::Message(message)) => *message,
            Some(CallEvent::LinkLost) | None => {
                self.resume().await.map_err(|end| end.failure.kind())?;
                return Ok(None);
            }
        };
        match message {
            LinkMessage::ResponseChunk(chunk) => {
                let new_data = self
                    .response_window
                    .accept(chunk.offset, chunk.data, chunk.is_last)
                    .ok_or(ErrorKind::LinkLost)?;
                Ok(Some(new_data).filter(|data| !data.is_empty()))
            }
            LinkMessage::Abort(abort) => Err(error_kind_from_code(&abort.kind)),
            LinkMessage::ResumeReply(reply) => {
                self.handle_resume_reply(reply)
                    .map_err(|end| end.failure.kind())?;
                Ok(None)
            }
            _ => Ok(None),
        }
    }

    fn send_response_credit(&self) {
        self.link.send(LinkMessage::Credit(WindowCredit {
            sequence: self.sequence(),
            consumed_bytes: self.response_window.received_bytes(),
            is_for_response: true,
        }));
    }
}
