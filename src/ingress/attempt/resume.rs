//! Moves a call to a new link after its own was lost.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::{AttemptEnd, CallAttempt};
use crate::error::ErrorKind;
use crate::ingress::lock;
use crate::ledger::attempt::ResumeKnowledge;
use crate::link::call_link::CallLink;
use crate::link::messages::{BodyChunk, CallResume, LinkMessage, ResumeReply, ResumeState};

/// Pause between two tries to reach a gate whose link was lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

impl CallAttempt {
    /// Sends again what the gate has not received.
    pub(super) fn take_resume_reply(&mut self, reply: ResumeReply) -> Result<(), AttemptEnd> {
        let knowledge = match reply.state() {
            ResumeState::NeverSeen => ResumeKnowledge::NeverSeen,
            ResumeState::Forgotten => ResumeKnowledge::Forgotten,
            ResumeState::Known => ResumeKnowledge::Known,
        };
        self.state.on_resumed(knowledge)?;
        let Some(chunks) = self.outgoing.resend_from(reply.request_received) else {
            return Err(AttemptEnd::unknown(ErrorKind::LinkLost));
        };
        for (offset, data) in chunks {
            self.resend_chunk(offset, data, false);
        }
        if self.outgoing.is_ended() {
            self.resend_chunk(self.outgoing.sent(), Bytes::new(), true);
        }
        if self.state.is_cancelled() {
            self.cancel();
        }
        Ok(())
    }

    fn resend_chunk(&self, offset: u64, data: Bytes, is_last: bool) {
        self.link.send(LinkMessage::RequestChunk(BodyChunk {
            sequence: self.sequence(),
            offset,
            data,
            is_last,
            load: None,
        }));
    }

    /// Moves the call to a new link.
    ///
    /// An idempotent call gives up at the first failure if another upstream can
    /// answer it. Any other goes on trying until its deadline, unless the
    /// gate's process is gone.
    pub(super) async fn resume(&mut self) -> Result<(), AttemptEnd> {
        self.link.detach(self.sequence());
        let deadline = self.plan.deadline;
        let reconnecting = tokio::time::timeout_at(deadline, self.reconnect()).await;
        let link = reconnecting.unwrap_or_else(|_| Err(self.state.on_time_out().into()))?;
        self.state.on_new_link(link.incarnation())?;
        log::info!(target: "link", call:% = self.plan.id; "resumed on a new link");
        self.events = link.attach(self.sequence());
        self.link = link;
        self.link.send(LinkMessage::Resume(CallResume {
            sequence: self.sequence(),
            has_head: self.has_head,
            answer_received: self.incoming.received(),
        }));
        Ok(())
    }

    fn has_other_upstream(&self) -> bool {
        let shared = &self.worker.shared;
        let router = lock(&shared.router);
        router.has_other(shared.now(), &self.plan.service, &self.plan.target.node)
    }

    async fn reconnect(&self) -> Result<Rc<CallLink>, AttemptEnd> {
        loop {
            let error = match self.worker.pool.link(&self.plan.target).await {
                Ok(link) => return Ok(link),
                Err(error) => error,
            };
            let is_gone = error.kind() == io::ErrorKind::ConnectionRefused;
            if is_gone || (self.plan.is_idempotent && self.has_other_upstream()) {
                return Err(self.state.on_gate_gone().into());
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }
}
