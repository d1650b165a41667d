//! Request body of one call between its link and the backend server.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::Display;
use tokio::sync::mpsc::UnboundedSender;

use crate::backend::RequestBodySource;
use crate::body_channel::{self, BodyTruncated, UnboundedBodySender};
use crate::gate::call::CallInput;
use crate::link::messages::CallOpen;
use crate::link::window::ReceiveWindow;

/// How the gate knows that it has received a whole request body, or why it has not.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum BodyEnd {
    /// The ingress marked the last chunk, and no length is stated.
    #[display("last-chunk")]
    LastChunk,
    /// The ingress marked the last chunk after as many bytes as the head states.
    #[display("stated-length")]
    StatedLength,
    /// The ingress marked the last chunk after another number of bytes than the head states.
    #[display("length-mismatch")]
    LengthMismatch,
    /// The last chunk has not arrived.
    #[display("not-ended")]
    NotEnded,
    /// Bytes before a chunk are missing.
    #[display("gap")]
    Gap,
}

impl BodyEnd {
    /// Whether the whole body has been received.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::LastChunk | Self::StatedLength)
    }
}

/// Passes a call's request body from the link to the backend server's
/// connection.
pub struct RequestBodyFeed {
    window: ReceiveWindow,
    consumed_bytes: u64,
    written_bytes: Rc<Cell<u64>>,
    stated_length: Option<u64>,
    has_gap: bool,
    chunk_sender: Option<UnboundedBodySender<BodyTruncated>>,
}

impl RequestBodyFeed {
    /// Creates the feed of a call and the source that the backend server's
    /// connection reads.
    pub fn new(open: &CallOpen, inputs: UnboundedSender<CallInput>) -> (Self, RequestBodySource) {
        let (chunk_sender, chunks) = body_channel::unbounded();
        let written_bytes = Rc::new(Cell::new(0));
        let mut feed = Self {
            window: ReceiveWindow::default(),
            consumed_bytes: 0,
            written_bytes: Rc::clone(&written_bytes),
            stated_length: open.body_length,
            has_gap: false,
            chunk_sender: Some(chunk_sender),
        };
        feed.accept(0, open.body.clone(), open.is_body_complete);
        let on_consumed = Box::new(move |length| {
            written_bytes.set(written_bytes.get() + length);
            // A call that has ended needs no more credit.
            let _ = inputs.send(CallInput::RequestConsumed(length));
        });
        let source = RequestBodySource {
            chunks,
            on_consumed,
        };
        (feed, source)
    }

    /// Accepts a chunk. A gap aborts the body, since joining the parts around
    /// it would corrupt the request.
    pub fn accept(&mut self, offset: u64, data: Bytes, is_last: bool) {
        let Some(new_bytes) = self.window.accept(offset, data, is_last) else {
            self.has_gap = true;
            self.chunk_sender = None;
            return;
        };
        let Some(sender) = self.chunk_sender.take() else {
            return;
        };
        if !new_bytes.is_empty() && sender.send(new_bytes).is_err() {
            return;
        }
        if self.window.is_ended() {
            sender.finish();
        } else {
            self.chunk_sender = Some(sender);
        }
    }

    /// Body bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.window.received_bytes()
    }

    /// How the end of the body is known.
    pub fn body_end(&self) -> BodyEnd {
        match self.stated_length {
            _ if self.has_gap => BodyEnd::Gap,
            _ if !self.window.is_ended() => BodyEnd::NotEnded,
            Some(length) if length != self.received_bytes() => BodyEnd::LengthMismatch,
            Some(_) => BodyEnd::StatedLength,
            None => BodyEnd::LastChunk,
        }
    }

    /// Body bytes that were written to the backend server's connection.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Body bytes that the backend server's connection has taken, as far as its reports
    /// have been processed.
    pub fn consumed_bytes(&self) -> u64 {
        self.consumed_bytes
    }

    /// Records that the backend server's connection has taken more bytes.
    pub fn record_consumed(&mut self, length: u64) {
        self.consumed_bytes += length;
    }
}
