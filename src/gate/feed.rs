//! Request body of one call between its link and the backend server.

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::backend::{RequestBodyIncomplete, RequestBodySource};
use crate::gate::call::CallInput;
use crate::link::messages::CallOpen;
use crate::link::window::ReceiveWindow;

/// Passes a call's request body from the link to the backend server's
/// connection.
pub struct RequestBodyFeed {
    window: ReceiveWindow,
    consumed_bytes: u64,
    chunk_sender: Option<UnboundedSender<Result<Bytes, RequestBodyIncomplete>>>,
}

impl RequestBodyFeed {
    /// Creates the feed of a call and the source that the backend server's
    /// connection reads.
    pub fn new(open: &CallOpen, inputs: UnboundedSender<CallInput>) -> (Self, RequestBodySource) {
        let (chunk_sender, chunks) = unbounded_channel();
        let mut feed = Self {
            window: ReceiveWindow::default(),
            consumed_bytes: 0,
            chunk_sender: Some(chunk_sender),
        };
        feed.accept(0, open.body.clone(), open.is_body_complete);
        let on_consumed = Box::new(move |length| {
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
        let chunk = match self.window.accept(offset, data, is_last) {
            Some(new_bytes) if new_bytes.is_empty() => None,
            Some(new_bytes) => Some(Ok(new_bytes)),
            None => Some(Err(RequestBodyIncomplete)),
        };
        if let (Some(chunk), Some(sender)) = (chunk, &self.chunk_sender)
            && sender.send(chunk).is_err()
        {
            self.chunk_sender = None;
        }
        if self.window.is_ended() {
            self.chunk_sender = None;
        }
    }

    /// Body bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.window.received_bytes()
    }

    /// Body bytes that the backend server's connection has taken.
    pub fn consumed_bytes(&self) -> u64 {
        self.consumed_bytes
    }

    /// Records that the backend server's connection has taken more bytes.
    pub fn record_consumed(&mut self, length: u64) {
        self.consumed_bytes += length;
    }
}
