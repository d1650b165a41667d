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

/// Gate that a call lost its link to and can't reach.
#[derive(Debug, Clone, Copy)]
struct LostGate {
    /// Its process is gone.
    is_gone: bool,
    /// The call may run a second time, and could do so now.
    may_run_elsewhere: bool,
}

impl LostGate {
    /// Whether the call is given up there, at which its backend server may
    /// still be at work. A call that can't run elsewhere would only exchange an
    /// answer on its way for a failure.
    fn is_given_up(self) -> bool {
        self.is_gone || self.may_run_elsewhere
    }
}

impl CallAttempt {
    /// Sends again what the gate has not received.
    pub(super) fn take_resume_reply(&mut self, reply: ResumeReply) -> Result<(), AttemptEnd> {
        let knowledge = match reply.state() {
            ResumeState::NeverSeen => ResumeKnowledge::NeverSeen,
            ResumeState::ResponseDiscarded => ResumeKnowledge::Forgotten,
            ResumeState::Known => ResumeKnowledge::Known,
        };
        self.state.on_resumed(knowledge)?;
        let Some(chunks) = self.outgoing.resend_from(reply.request_bytes_received) else {
            return Err(AttemptEnd::unknown(ErrorKind::LinkLost));
        };
        for (offset, data) in chunks {
            self.resend_chunk(offset, data, false);
        }
        if self.outgoing.is_ended() {
            self.resend_chunk(self.outgoing.sent_bytes(), Bytes::new(), true);
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
    /// See [`LostGate::is_given_up`] for when it goes on trying until its
    /// deadline.
    pub(super) async fn resume(&mut self) -> Result<(), AttemptEnd> {
        self.link.unregister_call(self.sequence());
        let deadline = self.plan.deadline;
        let reconnecting = tokio::time::timeout_at(deadline, self.reconnect()).await;
        let link = reconnecting.unwrap_or_else(|_| Err(self.state.on_time_out().into()))?;
        self.state.on_new_link(link.incarnation())?;
        log::info!(target: "link", call:% = self.plan.id; "resumed on a new link");
        self.events = link.register_call(self.sequence());
        self.link = link;
        self.link.send(LinkMessage::Resume(CallResume {
            sequence: self.sequence(),
            has_head: self.has_head,
            response_bytes_received: self.incoming.received_bytes(),
        }));
        Ok(())
    }

    /// Whether another upstream takes work and the service has a retry left.
    fn can_repeat(&self) -> bool {
        let shared = &self.worker.shared;
        let service = &self.plan.service;
        let has_retry = lock(&shared.retries).has_retry(service);
        let router = lock(&shared.router);
        has_retry && router.has_other(shared.now(), service, &self.plan.target.node)
    }

    async fn reconnect(&self) -> Result<Rc<CallLink>, AttemptEnd> {
        loop {
            let error = match self.worker.pool.get_or_open(&self.plan.target).await {
                Ok(link) => return Ok(link),
                Err(error) => error,
            };
            let gate = LostGate {
                is_gone: error.kind() == io::ErrorKind::ConnectionRefused,
                may_run_elsewhere: self.plan.may_repeat && self.can_repeat(),
            };
            if gate.is_given_up() {
                return Err(self.state.on_gate_gone().into());
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }
}
