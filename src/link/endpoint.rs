//! Endpoints of a link, and the functions that read and write frames on a
//! socket.
//!
//! Each direction has two queues: one for messages that start, end or control
//! a call, which are delivered first, and one for body chunks. Their bytes are counted, also
//! those of calls that have ended meanwhile: a call sends more of its body only while its
//! link [has room](LinkSender::has_room).

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::FramedPeerStream;
use crate::link::messages::{HeaderField, LinkFrame, LinkMessage};
use crate::metrics::NodeMetrics;
use crate::resources::ResourceLimits;

const MAX_FRAMES_PER_FLUSH: usize = 32;
/// Most priority messages that wait for a peer, many more than the calls of a link cause.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Bytes of bodies from which on a link has no room for more; many more than are on their
/// way to a peer within a round trip.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Bytes that the queues of all links of the process hold.
#[derive(Debug)]
pub struct QueueBudget {
    queued_bytes: AtomicUsize,
    limit_bytes: usize,
    metrics: Arc<NodeMetrics>,
}

impl QueueBudget {
    /// Budget of a process whose queues are empty.
    pub fn new(limits: &ResourceLimits, metrics: Arc<NodeMetrics>) -> Self {
        Self {
            queued_bytes: AtomicUsize::new(0),
            limit_bytes: limits.link_bytes,
            metrics,
        }
    }

    /// Bytes in all queues.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    fn has_room(&self) -> bool {
        self.queued_bytes() < self.limit_bytes
    }

    fn add(&self, bytes: usize) {
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.metrics.set_link_bytes(queued);
    }

    fn release(&self, bytes: usize) {
        let queued = self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed) - bytes;
        self.metrics.set_link_bytes(queued);
    }
}

impl Default for QueueBudget {
    /// Budget on a machine of the default size.
    fn default() -> Self {
        Self::new(&ResourceLimits::default(), Arc::default())
    }
}

/// What waits in the queues of one direction of a link.
#[derive(Debug)]
struct QueueLoad {
    budget: Arc<QueueBudget>,
    /// Messages in the priority queue.
    priority_count: AtomicUsize,
    /// Bytes of bodies and fields in both queues.
    bytes: AtomicUsize,
    drained: Notify,
}

impl QueueLoad {
    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.budget.add(bytes);
    }

    fn release(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.release(bytes);
        self.drained.notify_waiters();
    }
}

/// Sending half of a link endpoint.
///
/// Each call's window limits the bytes that it may have in flight, and
/// [`has_room`](Self::has_room) those of all calls together. Replies to a peer that doesn't
/// read them are limited by [`is_overfull`](Self::is_overfull).
#[derive(Debug, Clone)]
pub struct LinkSender {
    priority: UnboundedSender<LinkMessage>,
    bulk: UnboundedSender<LinkMessage>,
    load: Arc<QueueLoad>,
}

impl LinkSender {
    /// Queues a message; it is dropped if the link is closed.
    pub fn send(&self, message: LinkMessage) {
        let is_bulk = matches!(
            message,
            LinkMessage::RequestChunk(_) | LinkMessage::ResponseChunk(_)
        );
        if !is_bulk {
            self.load.priority_count.fetch_add(1, Ordering::Relaxed);
        }
        let channel = if is_bulk { &self.bulk } else { &self.priority };
        let bytes = payload_bytes(&message);
        self.load.add(bytes);
        // The channel is closed only if the link is lost. Its calls are notified
        // of that separately and resume on a new link.
        if channel.send(message).is_err() {
            self.load.release(bytes);
        }
    }

    /// Whether a call may send more of a body: the queues of this link are empty, or they are
    /// short and those of all links together are within their budget.
    pub fn has_room(&self) -> bool {
        let queued_bytes = self.load.bytes.load(Ordering::Relaxed);
        queued_bytes == 0 || (queued_bytes < MAX_QUEUED_BYTES && self.load.budget.has_room())
    }

    /// Waits until there is room; for ever if the link is lost.
    pub async fn wait_for_room(&self) {
        loop {
            let drained = self.load.drained.notified();
            if self.has_room() {
                return;
            }
            drained.await;
        }
    }

    /// Whether so many messages wait for the peer that the link must be given up.
    pub fn is_overfull(&self) -> bool {
        self.load.priority_count.load(Ordering::Relaxed) > MAX_QUEUED_MESSAGES
    }
}

/// Receiving half of a link endpoint.
#[derive(Debug)]
pub struct LinkReceiver {
    priority: UnboundedReceiver<LinkMessage>,
    bulk: UnboundedReceiver<LinkMessage>,
    load: Arc<QueueLoad>,
}

impl LinkReceiver {
    /// Receives the next message, priority messages first; `None` once the link
    /// is closed.
    pub async fn recv(&mut self) -> Option<LinkMessage> {
        let message = tokio::select! {
            biased;
            message = self.priority.recv() => match message {
                Some(message) => {
                    self.load.priority_count.fetch_sub(1, Ordering::Relaxed);
                    Some(message)
                }
                None => self.bulk.recv().await,
            },
            Some(message) = self.bulk.recv() => Some(message),
        };
        message.inspect(|message| self.load.release(payload_bytes(message)))
    }

    /// Drops what is sent from now on; what is queued can still be received.
    fn close(&mut self) {
        self.priority.close();
        self.bulk.close();
    }

    fn try_recv(&mut self) -> Option<LinkMessage> {
        let message = match self.priority.try_recv() {
            Ok(message) => {
                self.load.priority_count.fetch_sub(1, Ordering::Relaxed);
                message
            }
            Err(_) => self.bulk.try_recv().ok()?,
        };
        self.load.release(payload_bytes(&message));
        Some(message)
    }
}

impl Drop for LinkReceiver {
    /// Returns what is still queued to the budget.
    fn drop(&mut self) {
        self.close();
        while self.try_recv().is_some() {}
    }
}

/// Bytes of the body and the header fields in a message.
pub fn payload_bytes(message: &LinkMessage) -> usize {
    let fields_bytes = |fields: &[HeaderField]| -> usize {
        let lengths = fields.iter().map(|it| it.name.len() + it.value.len());
        lengths.sum()
    };
    match message {
        LinkMessage::Open(open) => open.body.len() + open.path.len() + fields_bytes(&open.headers),
        LinkMessage::ResponseStart(head) => head.body.len() + fields_bytes(&head.headers),
        LinkMessage::RequestChunk(chunk) | LinkMessage::ResponseChunk(chunk) => chunk.data.len(),
        _ => 0,
    }
}

/// Creates a connected sender and receiver for one direction of a link.
pub fn message_channel(budget: &Arc<QueueBudget>) -> (LinkSender, LinkReceiver) {
    let (priority_sender, priority_receiver) = unbounded_channel();
    let (bulk_sender, bulk_receiver) = unbounded_channel();
    let load = Arc::new(QueueLoad {
        budget: Arc::clone(budget),
        priority_count: AtomicUsize::new(0),
        bytes: AtomicUsize::new(0),
        drained: Notify::new(),
    });
    let sender = LinkSender {
        priority: priority_sender,
        bulk: bulk_sender,
        load: Arc::clone(&load),
    };
    let receiver = LinkReceiver {
        priority: priority_receiver,
        bulk: bulk_receiver,
        load,
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
