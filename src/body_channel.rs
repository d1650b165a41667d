//! Channel for the chunks of one message body.
//!
//! The end of a body is stated by [`BodySender::finish`] or
//! [`UnboundedBodySender::finish`]. A sender that is dropped without it, as its task has
//! failed or was cancelled, leaves a truncated body, and the receiver reports an error in
//! place of the end. A truncated body can so never be taken for a whole one.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;

/// The sender of a body was dropped before the end of the body.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
#[display("body truncated")]
pub struct BodyTruncated;

/// The receiver of a body was dropped.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
#[display("body no longer received")]
pub struct ReceiverClosed;

/// Sender of a body that waits while the receiver is behind.
#[derive(Debug)]
pub struct BodySender<E> {
    chunks: mpsc::Sender<Result<Bytes, E>>,
    is_finished: Rc<Cell<bool>>,
}

/// Sender of a body whose length in transit is limited otherwise.
#[derive(Debug)]
pub struct UnboundedBodySender<E> {
    chunks: mpsc::UnboundedSender<Result<Bytes, E>>,
    is_finished: Rc<Cell<bool>>,
}

/// Receiver of a body.
#[derive(Debug)]
pub struct BodyReceiver<E> {
    queue: ChunkQueue<E>,
    is_finished: Rc<Cell<bool>>,
}

#[derive(Debug)]
enum ChunkQueue<E> {
    Bounded(mpsc::Receiver<Result<Bytes, E>>),
    Unbounded(mpsc::UnboundedReceiver<Result<Bytes, E>>),
}

/// Creates a channel that holds at most `capacity` chunks.
pub fn bounded<E>(capacity: usize) -> (BodySender<E>, BodyReceiver<E>) {
    let (chunks, queue) = mpsc::channel(capacity);
    let is_finished = Rc::new(Cell::new(false));
    let sender = BodySender {
        chunks,
        is_finished: Rc::clone(&is_finished),
    };
    let receiver = BodyReceiver {
        queue: ChunkQueue::Bounded(queue),
        is_finished,
    };
    (sender, receiver)
}

/// Creates a channel without a limit.
pub fn unbounded<E>() -> (UnboundedBodySender<E>, BodyReceiver<E>) {
    let (chunks, queue) = mpsc::unbounded_channel();
    let is_finished = Rc::new(Cell::new(false));
    let sender = UnboundedBodySender {
        chunks,
        is_finished: Rc::clone(&is_finished),
    };
    let receiver = BodyReceiver {
        queue: ChunkQueue::Unbounded(queue),
        is_finished,
    };
    (sender, receiver)
}

impl<E> BodySender<E> {
    /// Sends the next chunk.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ReceiverClosed> {
        let sent = self.chunks.send(Ok(chunk)).await;
        sent.map_err(|_| ReceiverClosed)
    }

    /// States that the body is complete.
    pub fn finish(self) {
        self.is_finished.set(true);
    }

    /// Ends the body early, with the reason.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped.
    pub async fn fail(self, error: E) -> Result<(), ReceiverClosed> {
        let sent = self.chunks.send(Err(error)).await;
        sent.map_err(|_| ReceiverClosed)
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl<E> UnboundedBodySender<E> {
    /// Sends the next chunk.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped.
    pub fn send(&self, chunk: Bytes) -> Result<(), ReceiverClosed> {
        self.chunks.send(Ok(chunk)).map_err(|_| ReceiverClosed)
    }

    /// States that the body is complete.
    pub fn finish(self) {
        self.is_finished.set(true);
    }
}

impl<E: From<BodyTruncated>> BodyReceiver<E> {
    /// Next chunk; `None` once the sender has stated the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with the sender's reason, or with [`BodyTruncated`] if the sender was dropped.
    pub async fn next(&mut self) -> Result<Option<Bytes>, E> {
        let chunk = match &mut self.queue {
            ChunkQueue::Bounded(queue) => queue.recv().await,
            ChunkQueue::Unbounded(queue) => queue.recv().await,
        };
        match chunk {
            Some(chunk) => chunk.map(Some),
            None if self.is_finished.get() => Ok(None),
            None => Err(BodyTruncated.into()),
        }
    }
}

#[cfg(test)]
mod tests;
