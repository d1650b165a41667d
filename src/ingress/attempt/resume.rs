//! Moves an attempt to a new link after its link was lost.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{AttemptError, CallAttempt};
use crate::error::ErrorKind;
use crate::ingress::lock;
use crate::ledger::attempt::ResumeStatus;
use crate::link::call_link::CallLink;
use crate::link::messages::{BodyChunk, CallResume, LinkMessage, ResumeReply, ResumeState};
use crate::routing::RegionLimit;

/// Time for which a gate may be silent before a call is given up for another upstream; a busy
/// VM may stall a process for almost as long.
const MAX_STALL_TIME: Duration = Duration::from_secs(1);
/// Pause between two attempts to reconnect to a gate.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Gate that can't be reached after the call's link to it was lost.
#[derive(Debug, Clone, Copy)]
struct LostGate {
    /// Its process has ended: the connection was refused.
    is_process_gone: bool,
    /// The call may run a second time, and another upstream could run it now.
    may_run_elsewhere: bool,
}

impl LostGate {
    /// Whether to give up on the call there, although its backend server may
    /// still be serving it. If the call can't run elsewhere, giving up would
    /// only trade a response that may still arrive for a failure.
    fn should_give_up(self) -> bool {
        self.is_process_gone || self.may_run_elsewhere
    }
}

impl CallAttempt {
    /// Resends the parts of the request that the gate has not received.
    pub(super) fn handle_resume_reply(&mut self, reply: ResumeReply) -> Result<(), AttemptError> {
        let knowledge = match reply.state() {
            ResumeState::NeverSeen => ResumeStatus::NeverSeen,
            ResumeState::ResponseDiscarded => ResumeStatus::Forgotten,
            ResumeState::Known => ResumeStatus::Known,
        };
        self.state.on_resumed(knowledge)?;
        let Some(chunks) = self
            .request_window
            .resend_from(reply.request_bytes_received)
        else {
            return Err(AttemptError::unknown(ErrorKind::LinkLost));
        };
        for (offset, data) in chunks {
            self.resend_chunk(offset, data, false);
        }
        if self.request_window.is_ended() {
            self.resend_chunk(self.request_window.sent_bytes(), Bytes::new(), true);
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

    /// Reconnects to the gate and asks it to resume the call.
    ///
    /// Reconnecting continues until the deadline unless
    /// [`LostGate::should_give_up`] says otherwise.
    pub(super) async fn resume(&mut self) -> Result<(), AttemptError> {
        self.link.unregister_call(self.sequence());
        let link = tokio::select! {
            biased;
            link = self.reconnect() => link?,
            () = self.worker.shared.wait_for_deadline(self.plan.deadline) => {
                return Err(self.state.on_timeout().into());
            }
        };
        self.state.on_new_link(link.incarnation())?;
        log::info!(target: "link", call:% = self.plan.id; "resumed on a new link");
        self.events = link.register_call(self.sequence(), Arc::clone(&self.plan.usage));
        self.link = link;
        self.link.send(LinkMessage::Resume(CallResume {
            sequence: self.sequence(),
            has_head: self.has_response_head,
            response_bytes_received: self.response_window.received_bytes(),
        }));
        Ok(())
    }

    /// Whether an upstream that the call has not tried accepts work, and the service has a
    /// retry left.
    fn can_retry_elsewhere(&self) -> bool {
        let shared = &self.worker.shared;
        let service = &self.plan.service;
        let has_retry = lock(&shared.retry_policy).has_retry_token(service);
        let regions = RegionLimit::from(self.plan.allowed_regions.as_ref());
        let tried_nodes = &self.plan.tried_nodes;
        let router = lock(&shared.router);
        has_retry && router.has_alternative(shared.now(), service, tried_nodes, regions)
    }

    async fn reconnect(&self) -> Result<Rc<CallLink>, AttemptError> {
        let lost_at = Instant::now();
        loop {
            let error = match self.worker.pool.get_or_open(&self.plan.target).await {
                Ok(link) => return Ok(link),
                Err(error) => error,
            };
            // A response that the caller has the head of can't be replaced by another.
            let may_retry = self.plan.may_retry
                && !self.has_response_head
                && lost_at.elapsed() >= MAX_STALL_TIME;
            let lost_gate = LostGate {
                is_process_gone: error.kind() == io::ErrorKind::ConnectionRefused,
                may_run_elsewhere: may_retry && self.can_retry_elsewhere(),
            };
            if lost_gate.should_give_up() {
                return Err(self.state.on_gate_unreachable().into());
            }
            tokio::time::sleep(RECONNECT_INTERVAL).await;
        }
    }
}
