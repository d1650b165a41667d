//! Endpoints of a link, and the functions that read and write frames on a
//! socket.
//!
//! Each direction has two queues: one for messages that start, end or control
//! a call, which are delivered first, and one for body chunks.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::FramedPeerStream;
use crate::link::messages::{LinkFrame, LinkMessage};

const MAX_FRAMES_PER_FLUSH: usize = 32;
/// Most priority messages that wait for a peer, many more than the calls of a link cause.
const MAX_QUEUED_MESSAGES: usize = 16_384;

/// Sending half of a link endpoint.
///
/// The queues are unbounded because each call's window already limits the bytes
/// that it may have in flight. Replies to a peer that doesn't read them are limited by
/// [`is_overfull`](Self::is_overfull).
#[derive(Debug, Clone)]
pub struct LinkSender {
    priority: UnboundedSender<LinkMessage>,
    bulk: UnboundedSender<LinkMessage>,
    /// Messages in the priority queue.
    queued: Arc<AtomicUsize>,
}

impl LinkSender {
    /// Queues a message; it is dropped if the link is closed.
    pub fn send(&self, message: LinkMessage) {
        let is_bulk = matches!(
            message,
            LinkMessage::RequestChunk(_) | LinkMessage::ResponseChunk(_)
        );
        if !is_bulk {
            self.queued.fetch_add(1, Ordering::Relaxed);
        }
        let channel = if is_bulk { &self.bulk } else { &self.priority };
        // The channel is closed only if the link is lost. Its calls are notified
        // of that separately and resume on a new link.
        let _ = channel.send(message);
    }

    /// Whether so many messages wait for the peer that the link must be given up.
    pub fn is_overfull(&self) -> bool {
        self.queued.load(Ordering::Relaxed) > MAX_QUEUED_MESSAGES
    }
}

/// Receiving half of a link endpoint.
#[derive(Debug)]
pub struct LinkReceiver {
    priority: UnboundedReceiver<LinkMessage>,
    bulk: UnboundedReceiver<LinkMessage>,
    queued: Arc<AtomicUsize>,
}

impl LinkReceiver {
    /// Receives the next message, priority messages first; `None` once the link
    /// is closed.
    pub async fn recv(&mut self) -> Option<LinkMessage> {
        tokio::select! {
            biased;
            message = self.priority.recv() => match message {
                Some(message) => {
                    self.queued.fetch_sub(1, Ordering::Relaxed);
                    Some(message)
                }
                None => self.bulk.recv().await,
            },
            Some(message) = self.bulk.recv() => Some(message),
        }
    }

    /// Drops what is sent from now on; what is queued can still be received.
    fn close(&mut self) {
        self.priority.close();
        self.bulk.close();
    }

    fn try_recv(&mut self) -> Option<LinkMessage> {
        if let Ok(message) = self.priority.try_recv() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Some(message);
        }
        self.bulk.try_recv().ok()
    }
}

/// Creates a connected sender and receiver for one direction of a link.
pub fn message_channel() -> (LinkSender, LinkReceiver) {
    let (priority_sender, priority_receiver) = unbounded_channel();
    let (bulk_sender, bulk_receiver) = unbounded_channel();
    let queued = Arc::new(AtomicUsize::new(0));
    let sender = LinkSender {
        priority: priority_sender,
        bulk: bulk_sender,
        queued: Arc::clone(&queued),
    };
    let receiver = LinkReceiver {
        priority: priority_receiver,
        bulk: bulk_receiver,
        queued,
    };
    (sender, receiver)
}

/// Writes messages to the socket until all senders of the link are dropped or `closing`
/// completes. What is queued by then is written before the sending side is shut down.
///
/// # Errors
///
/// Fails if writing to the socket fails.
pub async fn write_frames(
    mut sink: SplitSink<FramedPeerStream, Bytes>,
    mut outgoing: LinkReceiver,
    closing: impl Future<Output = ()>,
) -> io::Result<()> {
    tokio::pin!(closing);
    let mut is_closing = false;
    loop {
        let message = tokio::select! {
            biased;
            () = &mut closing, if !is_closing => {
                is_closing = true;
                outgoing.close();
                continue;
            }
            message = outgoing.recv() => message,
        };
        let Some(message) = message else {
            break;
        };
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

/// Reads the next message and skips unknown ones; `Ok(None)` at the end of the
/// stream.
///
/// # Errors
///
/// Fails if reading from the socket fails or a frame is malformed.
pub async fn read_frame(
    stream: &mut SplitStream<FramedPeerStream>,
) -> io::Result<Option<LinkMessage>> {
    while let Some(frame) = stream.next().await {
        let frame = LinkFrame::decode(frame?).map_err(io::Error::other)?;
        if frame.message.is_some() {
            return Ok(frame.message);
        }
    }
    Ok(None)
}
