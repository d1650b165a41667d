//! The rest of a long answer on its way to the caller.

use bytes::Bytes;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::Instant;

use super::{CallAttempt, kind_of};
use crate::error::ErrorKind;
use crate::ingress::answer::{AnswerCut, AnswerReceiver};
use crate::link::body_deadline::BodyDeadline;
use crate::link::call_link::CallEvent;
use crate::link::messages::{LinkMessage, WindowCredit};
use crate::routing::AttemptResult;

/// Chunks of an answer that wait for the caller's connection.
const ANSWER_QUEUE_CHUNKS: usize = 8;

impl CallAttempt {
    /// Passes the rest of the answer on, from a task of its own.
    pub fn relay_rest(mut self) -> AnswerReceiver {
        let (sender, receiver) = channel(ANSWER_QUEUE_CHUNKS);
        ntex::rt::spawn(async move {
            if let Err(kind) = self.relay(&sender).await {
                self.cancel();
                self.settle(AttemptResult::Failed(kind));
                // A caller that has left needs no telling.
                let _ = sender.send(Err(AnswerCut { kind })).await;
            }
        });
        receiver
    }

    async fn relay(&mut self, sender: &Sender<Result<Bytes, AnswerCut>>) -> Result<(), ErrorKind> {
        self.credit_answer();
        let mut rest = BodyDeadline::new(self.plan.deadline, Instant::now());
        while !self.incoming.is_ended() {
            self.plan.deadline = rest.expires_at();
            let event = tokio::select! {
                biased;
                event = self.events.recv() => event,
                () = sender.closed() => return Err(ErrorKind::Cancelled),
                () = tokio::time::sleep_until(self.plan.deadline) => {
                    return Err(ErrorKind::TimedOut);
                }
            };
            if let Some(data) = self.take_answer_event(event).await? {
                sender
                    .send(Ok(data))
                    .await
                    .map_err(|_| ErrorKind::Cancelled)?;
                self.credit_answer();
                rest.record_progress(Instant::now());
            }
        }
        self.acknowledge();
        Ok(())
    }

    async fn take_answer_event(
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
                let fresh = self
                    .incoming
                    .accept(chunk.offset, chunk.data, chunk.is_last)
                    .ok_or(ErrorKind::LinkLost)?;
                Ok(Some(fresh).filter(|data| !data.is_empty()))
            }
            LinkMessage::Abort(abort) => Err(kind_of(&abort.kind)),
            LinkMessage::ResumeReply(reply) => {
                self.take_resume_reply(reply)
                    .map_err(|end| end.failure.kind())?;
                Ok(None)
            }
            _ => Ok(None),
        }
    }

    fn credit_answer(&self) {
        self.link.send(LinkMessage::Credit(WindowCredit {
            sequence: self.sequence(),
            consumed_bytes: self.incoming.received_bytes(),
            is_for_response: true,
        }));
    }
}
