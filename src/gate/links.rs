//! Links that ingresses open to a gate.
//!
//! A newer link of the same worker thread closes the older one before the gate
//! sends the welcome message, so that nothing sent on the older link can arrive
//! after a resume.
//!
//! At the end of a planned stop the links are closed in order. If the process just
//! exited, input that it has not read would reset their connections, and the end of a
//! response that an ingress is slow to read would be lost.

use std::io;
use std::net::TcpStream as StdTcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};

use crate::exchange::{FramedPeerStream, frame_partly_read_stream};
use crate::gate::Gate;
use crate::link::endpoint::{LinkReceiver, LinkSender, message_channel, read_frame, write_frames};
use crate::link::messages::{LinkHello, LinkMessage, LinkPing, LinkWelcome};

/// Time limit for the hello frame of a link; ingresses give up on a link much earlier.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Link that a worker thread of an ingress has open.
pub(super) struct ActiveLink {
    generation: u64,
    close_signal: Rc<Notify>,
}

impl Gate {
    /// Registers a link and closes the older one of the same worker thread, so
    /// that nothing sent on the older one can arrive after a resume. Returns
    /// `false` if the existing link is not older.
    fn register_link(&self, hello: &LinkHello, close_signal: &Rc<Notify>) -> bool {
        let key = (hello.incarnation, hello.worker);
        let mut links = self.active_links.borrow_mut();
        if let Some(older) = links.get(&key) {
            if older.generation >= hello.generation {
                return false;
            }
            older.close_signal.notify_one();
        }
        let link = ActiveLink {
            generation: hello.generation,
            close_signal: Rc::clone(close_signal),
        };
        links.insert(key, link);
        true
    }

    fn unregister_link(&self, hello: &LinkHello) {
        let key = (hello.incarnation, hello.worker);
        let mut links = self.active_links.borrow_mut();
        let is_current = links
            .get(&key)
            .is_some_and(|link| link.generation == hello.generation);
        if is_current {
            links.remove(&key);
        }
    }

    /// Closes the links that are open now, each once what is queued for it is written and
    /// its ingress has read that. `closed` completes after the last of them.
    pub(super) fn close_links(self: &Rc<Self>, closed: oneshot::Sender<()>) {
        self.link_closing.send_replace(true);
        let gate = Rc::clone(self);
        ntex::rt::spawn(async move {
            gate.link_closing.closed().await;
            // The node may have stopped waiting.
            let _ = closed.send(());
        });
    }

    /// Signal to close a new link, which counts as open until it is dropped; `None` if
    /// links are being closed already. Such a link resumes calls until the exit.
    fn closing_signal(&self) -> Option<watch::Receiver<bool>> {
        let is_closing = *self.link_closing.borrow();
        (!is_closing).then(|| self.link_closing.subscribe())
    }

    fn register_link_sender(&self, sender: &LinkSender) -> u64 {
        let link_number = self.next_link_number.get();
        self.next_link_number.set(link_number + 1);
        self.link_senders
            .borrow_mut()
            .insert(link_number, sender.clone());
        if self.is_draining.get() || self.statements.is_leaving() {
            sender.send(LinkMessage::Leaving(LinkPing::default()));
        }
        link_number
    }
}

/// Serves the in-process link of a worker thread until it closes.
pub(super) async fn serve_local_link(
    gate: Rc<Gate>,
    sender: LinkSender,
    mut receiver: LinkReceiver,
    hello: LinkHello,
) {
    gate.record_known_statement(&hello);
    let link_number = gate.register_link_sender(&sender);
    while let Some(message) = receiver.recv().await {
        gate.handle_message(hello.incarnation, message, &sender);
    }
    gate.link_senders.borrow_mut().remove(&link_number);
}

/// Serves a link over a connection until either end closes it.
pub(super) async fn serve_remote_link(
    gate: Rc<Gate>,
    stream: StdTcpStream,
    buffered: BytesMut,
) -> io::Result<()> {
    let stream = TcpStream::from_std(stream)?;
    let mut framed = frame_partly_read_stream(stream, buffered);
    let frame = tokio::time::timeout(HELLO_TIMEOUT, framed.next()).await?;
    let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
    let hello = LinkHello::decode(frame).map_err(io::Error::other)?;
    let close_signal = Rc::new(Notify::new());
    if !gate.register_link(&hello, &close_signal) {
        return Ok(());
    }
    let welcome = LinkWelcome {
        incarnation: gate.incarnation.get(),
    };
    framed.send(Bytes::from(welcome.encode_to_vec())).await?;
    let result = serve_frames(&gate, &hello, framed, &close_signal).await;
    gate.unregister_link(&hello);
    result
}

async fn serve_frames(
    gate: &Rc<Gate>,
    hello: &LinkHello,
    framed: FramedPeerStream,
    close_signal: &Notify,
) -> io::Result<()> {
    let (sink, mut stream) = framed.split();
    let (sender, outgoing) = message_channel(&gate.queue_budget);
    gate.record_known_statement(hello);
    let link_number = gate.register_link_sender(&sender);
    let _registration = gate.quarantine.register_link(&sender);
    let mut closing_signal = gate.closing_signal();
    let closing = wait_until_closing(closing_signal.as_mut());
    let reading = async {
        while let Some(message) = read_frame(&mut stream).await? {
            gate.handle_message(hello.incarnation, message, &sender);
            if sender.is_overfull() {
                log::warn!(
                    target: "gate", node = hello.node.as_str();
                    "closing a call link whose peer doesn't read the replies"
                );
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    };
    let exchange = async {
        tokio::pin!(reading);
        tokio::select! {
            biased;
            written = write_frames(sink, outgoing, closing) => {
                written?;
                // Until the ingress has read everything and closes its end.
                reading.await
            }
            result = &mut reading => result,
        }
    };
    let result = tokio::select! {
        biased;
        () = close_signal.notified() => Ok(()),
        result = exchange => result,
    };
    gate.link_senders.borrow_mut().remove(&link_number);
    result
}

async fn wait_until_closing(signal: Option<&mut watch::Receiver<bool>>) {
    match signal {
        // Fails only without a gate, and the link has one.
        Some(signal) => drop(signal.wait_for(|is_closing| *is_closing).await),
        None => std::future::pending().await,
    }
}
