//! Dispatches the messages of a link to the calls and the ledger of the gate.

use std::rc::Rc;

use prost::Message;
use tokio::sync::mpsc::unbounded_channel;

use crate::error::ErrorKind;
use crate::gate::Gate;
use crate::gate::call::{CallInput, GateCall};
use crate::ids::CallId;
use crate::ledger::{CachedResponse, CancelOutcome, OpenOutcome, ResumeOutcome};
use crate::link::endpoint::LinkSender;
use crate::link::messages::{
    BodyChunk, CallAbort, CallOpen, CallReference, CallRefusal, CallResume, CancelReply,
    ENTIRE_REQUEST_BODY, LinkMessage, ResponseStart, ResumeReply, ResumeState,
};

impl Gate {
    fn open_call(self: &Rc<Self>, id: CallId, open: CallOpen, link: &LinkSender) {
        let outcome = self
            .ledger
            .borrow_mut()
            .open(self.now(), id, open.is_idempotent);
        if outcome != OpenOutcome::Fresh {
            log::info!(
                target: "admission",
                call:% = id, outcome:?;
                "open message rejected by the ledger; it starts no call"
            );
            reply_to_rejected_open(open.sequence, outcome, link);
            return;
        }
        let (sender, inputs) = unbounded_channel();
        self.call_inputs.borrow_mut().insert(id, sender.clone());
        let gate = Rc::clone(self);
        let link = link.clone();
        ntex::rt::spawn(GateCall::run(gate, id, open, link, (sender, inputs)));
    }

    /// Passes an input to a call; returns the input if the call has ended.
    fn forward_input(&self, id: CallId, input: CallInput) -> Result<(), CallInput> {
        match self.call_inputs.borrow().get(&id) {
            Some(input_sender) => input_sender.send(input).map_err(|error| error.0),
            None => Err(input),
        }
    }

    pub(super) fn cancel_call(&self, id: CallId, link: &LinkSender) {
        if self.forward_input(id, CallInput::Cancel).is_ok() {
            return;
        }
        let outcome = self.ledger.borrow_mut().cancel(self.now(), id);
        link.send(LinkMessage::CancelReply(CancelReply {
            sequence: id.sequence,
            is_not_run: matches!(outcome, CancelOutcome::NotRun),
        }));
    }

    pub(super) fn resume_call(&self, id: CallId, resume: CallResume, link: &LinkSender) {
        let input = CallInput::Resume(resume, link.clone());
        if self.forward_input(id, input).is_ok() {
            return;
        }
        let outcome = self.ledger.borrow_mut().resume(self.now(), id);
        let state = match outcome {
            ResumeOutcome::NeverSeen | ResumeOutcome::NotRun => ResumeState::NeverSeen,
            ResumeOutcome::ResponseAvailable(_) => ResumeState::Known,
            ResumeOutcome::Waiting
            | ResumeOutcome::Running
            | ResumeOutcome::ResponseUnavailable
            | ResumeOutcome::Forgotten => ResumeState::ResponseDiscarded,
        };
        link.send(LinkMessage::ResumeReply(ResumeReply {
            sequence: id.sequence,
            state: state.into(),
            request_bytes_received: ENTIRE_REQUEST_BODY,
        }));
        if let ResumeOutcome::ResponseAvailable(response) = outcome {
            resend_kept_response(&response, resume, link);
        }
    }

    /// Handles one message of an ingress.
    pub(super) fn handle_message(
        self: &Rc<Self>,
        ingress: u64,
        message: LinkMessage,
        link: &LinkSender,
    ) {
        let call_id = |sequence| CallId {
            ingress_incarnation: ingress,
            sequence,
        };
        // A message for a call that has ended needs no reply.
        let _ = match message {
            LinkMessage::Open(open) => {
                self.open_call(call_id(open.sequence), open, link);
                return;
            }
            LinkMessage::Cancel(CallReference { sequence }) => {
                self.cancel_call(call_id(sequence), link);
                return;
            }
            LinkMessage::Resume(resume) => {
                self.resume_call(call_id(resume.sequence), resume, link);
                return;
            }
            LinkMessage::Ping(_) => {
                link.send(LinkMessage::Pong(self.pong()));
                return;
            }
            LinkMessage::Quarantine(update) => {
                self.quarantine.merge(&update);
                return;
            }
            LinkMessage::RequestChunk(chunk) => self.forward_request_chunk(ingress, chunk),
            LinkMessage::Credit(credit) => self.forward_input(
                call_id(credit.sequence),
                CallInput::ResponseCredit(credit.consumed_bytes),
            ),
            LinkMessage::Acknowledge(reference) => {
                self.ledger
                    .borrow_mut()
                    .acknowledge(call_id(reference.sequence));
                self.forward_input(call_id(reference.sequence), CallInput::Acknowledge)
            }
            // Messages that only a gate sends.
            LinkMessage::Refusal(CallRefusal { .. })
            | LinkMessage::ResponseStart(_)
            | LinkMessage::ResponseChunk(_)
            | LinkMessage::Abort(_)
            | LinkMessage::CancelReply(_)
            | LinkMessage::ResumeReply(_)
            | LinkMessage::Pong(_)
            | LinkMessage::Leaving(_) => return,
        };
    }

    fn forward_request_chunk(&self, ingress: u64, chunk: BodyChunk) -> Result<(), CallInput> {
        let sequence = chunk.sequence;
        self.forward_input(
            CallId {
                ingress_incarnation: ingress,
                sequence,
            },
            CallInput::RequestChunk(chunk),
        )
    }
}

/// Replies to an open message that the ledger rejected. The ingress has usually
/// moved on to another upstream; if not, it must learn what the gate knows of
/// the call.
fn reply_to_rejected_open(sequence: u64, outcome: OpenOutcome, link: &LinkSender) {
    let message = match outcome {
        OpenOutcome::Barred => LinkMessage::Refusal(CallRefusal {
            sequence,
            kind: ErrorKind::Cancelled.code().to_string(),
            retry_after_ms: 0,
            load: None,
            expected_response_us: 0,
            admits_past_target: false,
            stops_in_us: 0,
        }),
        OpenOutcome::Forgotten => LinkMessage::Abort(CallAbort {
            sequence,
            kind: ErrorKind::LinkLost.code().to_string(),
            load: None,
        }),
        // A duplicate gets no reply: the first open message does.
        OpenOutcome::Fresh | OpenOutcome::Duplicate(_) => return,
    };
    link.send(message);
}

/// Resends a kept response. It was sent as one frame, so the ingress has
/// received all of it or nothing.
fn resend_kept_response(response: &CachedResponse, resume: CallResume, link: &LinkSender) {
    if resume.has_head {
        return;
    }
    let Ok(head) = ResponseStart::decode(response.head.clone()) else {
        return;
    };
    link.send(LinkMessage::ResponseStart(ResponseStart {
        body: response.body.clone(),
        ..head
    }));
}
