//! Endpoints of a link, and the tasks that join them to a socket.

use std::io;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::PeerFramed;
use crate::link::messages::{LinkFrame, LinkMessage};

/// Frames written between two flushes, at most.
const MAX_FRAMES_PER_FLUSH: usize = 32;

/// Sending half of a link endpoint.
///
/// What a call may have under way is bounded by its window, so the lanes need
/// no bound of their own.
#[derive(Debug, Clone)]
pub struct LinkSender {
    priority: UnboundedSender<LinkMessage>,
    bulk: UnboundedSender<LinkMessage>,
}

impl LinkSender {
    /// Queues a message; a closed link drops it.
    pub fn send(&self, message: LinkMessage) {
        let is_bulk = matches!(
            message,
            LinkMessage::RequestChunk(_) | LinkMessage::ResponseChunk(_)
        );
        let channel = if is_bulk { &self.bulk } else { &self.priority };
        // A closed lane means that the link is lost; its calls learn so from
        // the link's end and resume elsewhere.
        let _ = channel.send(message);
    }
}

/// Receiving half of a link endpoint.
#[derive(Debug)]
pub struct LinkReceiver {
    priority: UnboundedReceiver<LinkMessage>,
    bulk: UnboundedReceiver<LinkMessage>,
}

impl LinkReceiver {
    /// Next message, urgent ones first; `None` once the link is closed.
    pub async fn recv(&mut self) -> Option<LinkMessage> {
        tokio::select! {
            biased;
            message = self.priority.recv() => match message {
                Some(message) => Some(message),
                None => self.bulk.recv().await,
            },
            Some(message) = self.bulk.recv() => Some(message),
        }
    }

    fn try_recv(&mut self) -> Option<LinkMessage> {
        self.priority
            .try_recv()
            .or_else(|_| self.bulk.try_recv())
            .ok()
    }
}

/// One lane pair: what goes in at the sender comes out at the receiver.
pub fn message_channel() -> (LinkSender, LinkReceiver) {
    let (priority_sender, priority_receiver) = unbounded_channel();
    let (bulk_sender, bulk_receiver) = unbounded_channel();
    let sender = LinkSender {
        priority: priority_sender,
        bulk: bulk_sender,
    };
    let receiver = LinkReceiver {
        priority: priority_receiver,
        bulk: bulk_receiver,
    };
    (sender, receiver)
}

/// Writes messages to the socket until the link's senders are dropped.
pub async fn write_frames(
    mut sink: SplitSink<PeerFramed, Bytes>,
    mut outgoing: LinkReceiver,
) -> io::Result<()> {
    while let Some(message) = outgoing.recv().await {
        sink.feed(encode_frame(message)).await?;
        for _ in 1..MAX_FRAMES_PER_FLUSH {
            let Some(message) = outgoing.try_recv() else {
                break;
            };
            sink.feed(encode_frame(message)).await?;
        }
        sink.flush().await?;
    }
    sink.close().await
}

fn encode_frame(message: LinkMessage) -> Bytes {
    let frame = LinkFrame {
        message: Some(message),
    };
    Bytes::from(frame.encode_to_vec())
}

/// Reads the next message; unknown ones are skipped. `Ok(None)` at the end.
///
/// # Errors
///
/// Fails when the socket fails or a frame is malformed.
pub async fn read_frame(stream: &mut SplitStream<PeerFramed>) -> io::Result<Option<LinkMessage>> {
    while let Some(frame) = stream.next().await {
        let frame = LinkFrame::decode(frame?).map_err(io::Error::other)?;
        if frame.message.is_some() {
            return Ok(frame.message);
        }
    }
    Ok(None)
}
