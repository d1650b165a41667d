//! The answer of one call on its way back to the ingress.
//!
//! What the ingress has not yet consumed is kept, so that the answer can be
//! sent again over a new link from the exact byte where the old one stopped.

use bytes::Bytes;
use prost::Message;

use crate::error::ErrorKind;
use crate::gate::GateRefusal;
use crate::ledger::KeptAnswer;
use crate::link::endpoint::LinkSender;
use crate::link::messages::{
    BodyChunk, CallAbort, CallRefusal, CallResume, LinkMessage, LoadSnapshot, ResponseStart,
    ResumeReply, ResumeState, WindowCredit,
};
use crate::link::window::{SendWindow, WINDOW_BYTES};

/// Sending side of one call's answer.
#[derive(Debug)]
pub struct AnswerOutput {
    sequence: u64,
    link: LinkSender,
    head: Option<ResponseStart>,
    window: SendWindow,
    whole_body: Option<Bytes>,
    is_whole: bool,
}

impl AnswerOutput {
    /// Answer that goes out on `link`.
    pub fn new(sequence: u64, link: LinkSender) -> Self {
        Self {
            sequence,
            link,
            head: None,
            window: SendWindow::new(WINDOW_BYTES),
            whole_body: None,
            is_whole: false,
        }
    }

    /// Bytes of body that may be sent now.
    pub fn room(&self) -> usize {
        self.window.available_bytes()
    }

    /// Sends the head with the first bytes of the body.
    pub fn start(&mut self, head: ResponseStart) {
        self.window
            .record_sent(head.body.clone(), head.is_body_complete);
        if head.is_body_complete {
            self.is_whole = true;
            self.whole_body = Some(head.body.clone());
        }
        self.link.send(LinkMessage::ResponseStart(head.clone()));
        self.head = Some(ResponseStart {
            body: Bytes::new(),
            load: None,
            ..head
        });
    }

    /// Sends more of the body.
    pub fn push(&mut self, data: Bytes, is_last: bool, load: Option<LoadSnapshot>) {
        let chunk = BodyChunk {
            sequence: self.sequence,
            offset: self.window.sent_bytes(),
            data: data.clone(),
            is_last,
            load,
        };
        self.window.record_sent(data, is_last);
        if is_last {
            self.is_whole = true;
        }
        self.link.send(LinkMessage::ResponseChunk(chunk));
    }

    /// Whole answer for the ledger, if it went out in one frame.
    pub fn kept_answer(&self) -> Option<KeptAnswer> {
        let head = self.head.as_ref()?;
        let body = self.whole_body.clone()?;
        Some(KeptAnswer {
            head: Bytes::from(head.encode_to_vec()),
            body,
        })
    }

    /// Tells that the call failed after it may have run.
    pub fn abort(&mut self, kind: ErrorKind, load: Option<LoadSnapshot>) {
        let abort = CallAbort {
            sequence: self.sequence,
            kind: kind.code().to_string(),
            load,
        };
        self.link.send(LinkMessage::Abort(abort));
    }

    /// Tells that the call was not run and never will be.
    pub fn refuse(&mut self, refusal: &GateRefusal, load: Option<LoadSnapshot>) {
        let finish = refusal.estimated_finish.unwrap_or_default();
        let refusal = CallRefusal {
            sequence: self.sequence,
            kind: refusal.kind.code().to_string(),
            retry_after_ms: u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX),
            load,
            expected_response_us: u64::try_from(finish.as_micros()).unwrap_or(u64::MAX),
        };
        self.link.send(LinkMessage::Refusal(refusal));
    }

    /// Tells the ingress how much of the request's body was consumed.
    pub fn credit_request(&self, consumed: u64) {
        self.link.send(LinkMessage::Credit(WindowCredit {
            sequence: self.sequence,
            consumed_bytes: consumed,
            is_for_response: false,
        }));
    }

    /// Notes how much of the answer's body the ingress has consumed.
    pub fn credit(&mut self, consumed: u64) {
        self.window.apply_credit(consumed);
    }

    /// Link that the call is on.
    pub fn link(&self) -> &LinkSender {
        &self.link
    }

    /// Sends any message about the call.
    pub fn send(&self, message: LinkMessage) {
        self.link.send(message);
    }

    /// Moves the answer to a new link and sends what the ingress lacks.
    pub fn resume(&mut self, link: LinkSender, resume: CallResume, request_received: u64) {
        self.link = link;
        let resent = self.window.resend_from(resume.response_bytes_received);
        // The ingress's last credit may have been lost with the old link.
        self.window.apply_credit(resume.response_bytes_received);
        let state = if resent.is_some() {
            ResumeState::Known
        } else {
            ResumeState::ResponseDiscarded
        };
        self.link.send(LinkMessage::ResumeReply(ResumeReply {
            sequence: self.sequence,
            state: state.into(),
            request_bytes_received: request_received,
        }));
        let Some(chunks) = resent else {
            return;
        };
        if !resume.has_head
            && let Some(head) = &self.head
        {
            self.link.send(LinkMessage::ResponseStart(ResponseStart {
                is_body_complete: false,
                ..head.clone()
            }));
        }
        self.resend_chunks(chunks);
        self.resend_end();
    }

    fn resend_chunks(&self, chunks: Vec<(u64, Bytes)>) {
        for (offset, data) in chunks {
            self.link.send(LinkMessage::ResponseChunk(BodyChunk {
                sequence: self.sequence,
                offset,
                data,
                is_last: false,
                load: None,
            }));
        }
    }

    fn resend_end(&self) {
        if self.is_whole {
            self.link.send(LinkMessage::ResponseChunk(BodyChunk {
                sequence: self.sequence,
                offset: self.window.sent_bytes(),
                data: Bytes::new(),
                is_last: true,
                load: None,
            }));
        }
    }
}
