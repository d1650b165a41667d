//! Request body of one call between its link and the backend server.

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::backend::{BodySource, RequestCut};
use crate::gate::call::CallInput;
use crate::link::messages::CallOpen;
use crate::link::window::ReceiveWindow;

/// Request body between the link and the backend server's connection.
pub struct RequestFeed {
    window: ReceiveWindow,
    consumed: u64,
    chunks: Option<UnboundedSender<Result<Bytes, RequestCut>>>,
}

impl RequestFeed {
    /// Feed of a call, and the source that the backend server's connection reads.
    pub fn new(open: &CallOpen, inputs: UnboundedSender<CallInput>) -> (Self, BodySource) {
        let (sender, chunks) = unbounded_channel();
        let mut feed = Self {
            window: ReceiveWindow::default(),
            consumed: 0,
            chunks: Some(sender),
        };
        feed.accept(0, open.body.clone(), open.is_body_complete);
        let on_consumed = Box::new(move |length| {
            // A call that ended needs no more credit.
            let _ = inputs.send(CallInput::Consumed(length));
        });
        let source = BodySource {
            chunks,
            on_consumed,
        };
        (feed, source)
    }

    /// Takes a chunk in; a gap breaks the body off rather than joining what
    /// does not belong together.
    pub fn accept(&mut self, offset: u64, data: Bytes, is_last: bool) {
        let chunk = match self.window.accept(offset, data, is_last) {
            Some(fresh) if fresh.is_empty() => None,
            Some(fresh) => Some(Ok(fresh)),
            None => Some(Err(RequestCut)),
        };
        if let (Some(chunk), Some(sender)) = (chunk, &self.chunks)
            && sender.send(chunk).is_err()
        {
            self.chunks = None;
        }
        if self.window.is_ended() {
            self.chunks = None;
        }
    }

    /// Body bytes received so far.
    pub fn received(&self) -> u64 {
        self.window.received_bytes()
    }

    /// Body bytes that the backend server's connection has taken.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Notes that the connection took more bytes.
    pub fn note_consumed(&mut self, length: u64) {
        self.consumed += length;
    }
}
