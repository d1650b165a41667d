//! Response of one call on its way back to the ingress.
//!
//! The part that the ingress has not yet consumed is kept, so that after the
//! loss of a link the response continues on a new one from the exact byte where
//! the old one stopped.

use bytes::Bytes;
use prost::Message;

use crate::error::ErrorKind;
use crate::gate::GateRefusal;
use crate::ledger::CachedResponse;
use crate::link::endpoint::LinkSender;
use crate::link::messages::{
    BodyChunk, CallAbort, CallRefusal, CallResume, LinkMessage, LoadSnapshot, ResponseStart,
    ResumeReply, ResumeState, WindowCredit,
};
use crate::link::window::{SendWindow, WINDOW_BYTES};

/// Sends one call's response to the ingress.
#[derive(Debug)]
pub struct ResponseSender {
    sequence: u64,
    link: LinkSender,
    /// Head that was sent, without body and load, for a resend.
    head: Option<ResponseStart>,
    window: SendWindow,
    /// Set if the whole response was sent in one frame.
    single_frame_body: Option<Bytes>,
    is_complete: bool,
}

impl ResponseSender {
    /// Creates the sender of a call that arrived on `link`.
    pub fn new(sequence: u64, link: LinkSender) -> Self {
        Self {
            sequence,
            link,
            head: None,
            window: SendWindow::new(WINDOW_BYTES),
            single_frame_body: None,
            is_complete: false,
        }
    }

    /// Body bytes that the flow-control window allows to send now.
    pub fn available_window(&self) -> usize {
        self.window.available_bytes()
    }

    /// Body bytes that are kept until the ingress has consumed them.
    pub fn unconsumed_bytes(&self) -> usize {
        self.window.unconsumed_bytes()
    }

    /// Sends the response head with the first bytes of the body.
    pub fn send_head(&mut self, head: ResponseStart) {
        self.window
            .record_sent(head.body.clone(), head.is_body_complete);
        if head.is_body_complete {
            self.is_complete = true;
            self.single_frame_body = Some(head.body.clone());
        }
        self.link.send(LinkMessage::ResponseStart(head.clone()));
        self.head = Some(ResponseStart {
            body: Bytes::new(),
            load: None,
            ..head
        });
    }

    /// Sends a chunk of the response body.
    pub fn send_chunk(&mut self, data: Bytes, is_last: bool, load: Option<LoadSnapshot>) {
        let chunk = BodyChunk {
            sequence: self.sequence,
            offset: self.window.sent_bytes(),
            data: data.clone(),
            is_last,
            load,
        };
        self.window.record_sent(data, is_last);
        if is_last {
            self.is_complete = true;
        }
        self.link.send(LinkMessage::ResponseChunk(chunk));
    }

    /// Response to keep in the ledger, if it was sent in a single frame.
    pub fn single_frame_response(&self) -> Option<CachedResponse> {
        let head = self.head.as_ref()?;
        let body = self.single_frame_body.clone()?;
        Some(CachedResponse {
            head: Bytes::from(head.encode_to_vec()),
            body,
        })
    }

    /// Reports that the call failed after it may have run.
    pub fn send_abort(&mut self, kind: ErrorKind, load: Option<LoadSnapshot>) {
        let abort = CallAbort {
            sequence: self.sequence,
            kind: kind.code().to_string(),
            load,
        };
        self.link.send(LinkMessage::Abort(abort));
    }

    /// Reports that the call has not run and never will.
    pub fn send_refusal(&mut self, refusal: &GateRefusal, load: Option<LoadSnapshot>) {
        let estimated_response_time = refusal.estimated_response_time.unwrap_or_default();
        let admits_past_target = refusal.admits_past_target;
        let refusal = CallRefusal {
            sequence: self.sequence,
            kind: refusal.kind.code().to_string(),
            retry_after_ms: u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX),
            load,
            expected_response_us: u64::try_from(estimated_response_time.as_micros())
                .unwrap_or(u64::MAX),
            admits_past_target,
            stops_in_us: refusal.stops_in.map_or(0, |stops_in| {
                u64::try_from(stops_in.as_micros())
                    .unwrap_or(u64::MAX)
                    .max(1)
            }),
        };
        self.link.send(LinkMessage::Refusal(refusal));
    }

    /// Tells the ingress how many bytes of the request body have been consumed.
    pub fn send_request_credit(&self, consumed: u64) {
        self.link.send(LinkMessage::Credit(WindowCredit {
            sequence: self.sequence,
            consumed_bytes: consumed,
            is_for_response: false,
        }));
    }

    /// Applies the ingress's credit: response body bytes that it has consumed.
    pub fn apply_credit(&mut self, consumed: u64) {
        self.window.apply_credit(consumed);
    }

    /// Link that currently carries the call.
    pub fn link(&self) -> &LinkSender {
        &self.link
    }

    /// Sends a message about the call on its current link.
    pub fn send_message(&self, message: LinkMessage) {
        self.link.send(message);
    }

    /// Moves the response to a new link and resends what the ingress has not
    /// received.
    pub fn resume_on_link(&mut self, link: LinkSender, request: CallResume, request_received: u64) {
        self.link = link;
        let missing_chunks = self.window.resend_from(request.response_bytes_received);
        // The ingress's last credit may have been lost with the old link.
        self.window.apply_credit(request.response_bytes_received);
        let state = if missing_chunks.is_some() {
            ResumeState::Known
        } else {
            ResumeState::ResponseDiscarded
        };
        self.link.send(LinkMessage::ResumeReply(ResumeReply {
            sequence: self.sequence,
            state: state.into(),
            request_bytes_received: request_received,
        }));
        let Some(chunks) = missing_chunks else {
            return;
        };
        if !request.has_head
            && let Some(head) = &self.head
        {
            self.link.send(LinkMessage::ResponseStart(ResponseStart {
                is_body_complete: false,
                ..head.clone()
            }));
        }
        self.resend_chunks(chunks);
        self.resend_end_marker();
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

    fn resend_end_marker(&self) {
        if self.is_complete {
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
