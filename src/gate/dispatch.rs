//! What a gate does with each message of a link.

use std::rc::Rc;

use prost::Message;
use tokio::sync::mpsc::unbounded_channel;

use crate::error::ErrorKind;
use crate::gate::Gate;
use crate::gate::call::{CallInput, GateCall};
use crate::ids::CallId;
use crate::ledger::{CancelOutcome, KeptAnswer, OpenOutcome, ResumeOutcome};
use crate::link::endpoint::LinkSender;
use crate::link::messages::{
    BodyChunk, CallAbort, CallOpen, CallReference, CallRefusal, CallResume, CancelReply,
    ENTIRE_REQUEST_BODY, LinkMessage, LinkPing, ResponseStart, ResumeReply, ResumeState,
};

impl Gate {
    fn open_call(self: &Rc<Self>, id: CallId, open: CallOpen, link: &LinkSender) {
        let outcome = self
            .ledger
            .borrow_mut()
            .open(self.now(), id, open.is_idempotent);
        if outcome != OpenOutcome::Fresh {
            log::info!(target: "admission", call:% = id, outcome:?; "original not let in");
            answer_barred(open.sequence, outcome, link);
            return;
        }
        let (sender, inputs) = unbounded_channel();
        self.calls.borrow_mut().insert(id, sender.clone());
        let gate = Rc::clone(self);
        let link = link.clone();
        ntex::rt::spawn(GateCall::run(gate, id, open, link, (sender, inputs)));
    }

    fn pass_on(&self, id: CallId, input: CallInput) -> Result<(), CallInput> {
        match self.calls.borrow().get(&id) {
            Some(call) => call.send(input).map_err(|error| error.0),
            None => Err(input),
        }
    }

    pub(super) fn cancel_call(&self, id: CallId, link: &LinkSender) {
        if self.pass_on(id, CallInput::Cancel).is_ok() {
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
        if self.pass_on(id, input).is_ok() {
            return;
        }
        let outcome = self.ledger.borrow_mut().resume(self.now(), id);
        let state = match outcome {
            ResumeOutcome::NeverSeen | ResumeOutcome::NotRun => ResumeState::NeverSeen,
            ResumeOutcome::Kept(_) => ResumeState::Known,
            ResumeOutcome::Waiting
            | ResumeOutcome::Running
            | ResumeOutcome::NotKept
            | ResumeOutcome::Forgotten => ResumeState::ResponseDiscarded,
        };
        link.send(LinkMessage::ResumeReply(ResumeReply {
            sequence: id.sequence,
            state: state.into(),
            request_bytes_received: ENTIRE_REQUEST_BODY,
        }));
        if let ResumeOutcome::Kept(answer) = outcome {
            resend_kept(&answer, resume, link);
        }
    }

    /// Takes one message of an ingress.
    pub(super) fn handle_message(
        self: &Rc<Self>,
        ingress: u64,
        message: LinkMessage,
        link: &LinkSender,
    ) {
        let id = |sequence| CallId { ingress, sequence };
        // A message for a call that has ended needs no answer.
        let _ = match message {
            LinkMessage::Open(open) => {
                self.open_call(id(open.sequence), open, link);
                return;
            }
            LinkMessage::Cancel(CallReference { sequence }) => {
                self.cancel_call(id(sequence), link);
                return;
            }
            LinkMessage::Resume(resume) => {
                self.resume_call(id(resume.sequence), resume, link);
                return;
            }
            LinkMessage::Ping(_) => {
                let load = Some(self.load());
                link.send(LinkMessage::Pong(LinkPing { load }));
                return;
            }
            LinkMessage::RequestChunk(chunk) => self.pass_chunk(ingress, chunk),
            LinkMessage::Credit(credit) => self.pass_on(
                id(credit.sequence),
                CallInput::Credit(credit.consumed_bytes),
            ),
            LinkMessage::Acknowledge(name) => {
                self.ledger.borrow_mut().acknowledge(id(name.sequence));
                self.pass_on(id(name.sequence), CallInput::Acknowledge)
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

    fn pass_chunk(&self, ingress: u64, chunk: BodyChunk) -> Result<(), CallInput> {
        let sequence = chunk.sequence;
        self.pass_on(CallId { ingress, sequence }, CallInput::Chunk(chunk))
    }
}

/// Answers an original that the ledger has not let in. Its ingress has usually
/// moved on; if it has not, it must hear what is known.
fn answer_barred(sequence: u64, outcome: OpenOutcome, link: &LinkSender) {
    let message = match outcome {
        OpenOutcome::Barred => LinkMessage::Refusal(CallRefusal {
            sequence,
            kind: ErrorKind::Cancelled.code().to_string(),
            retry_after_ms: 0,
            load: None,
            expected_response_us: 0,
        }),
        OpenOutcome::Forgotten => LinkMessage::Abort(CallAbort {
            sequence,
            kind: ErrorKind::LinkLost.code().to_string(),
            load: None,
        }),
        // The first original answers.
        OpenOutcome::Fresh | OpenOutcome::Duplicate(_) => return,
    };
    link.send(message);
}

/// Sends a kept answer again. A kept answer went out as one frame, so the
/// ingress has all of it or nothing.
fn resend_kept(answer: &KeptAnswer, resume: CallResume, link: &LinkSender) {
    if resume.has_head {
        return;
    }
    let Ok(head) = ResponseStart::decode(answer.head.clone()) else {
        return;
    };
    link.send(LinkMessage::ResponseStart(ResponseStart {
        body: answer.body.clone(),
        ..head
    }));
}
