//! Links that ingresses open to a gate.
//!
//! A newer link of the same ingress thread closes the older one before it is
//! welcomed, so that nothing sent on the older can arrive after a resume.

use std::io;
use std::net::TcpStream as StdTcpStream;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::exchange::{PeerFramed, frame_buffered};
use crate::gate::Gate;
use crate::link::endpoint::{LinkReceiver, LinkSender, message_channel, read_frame, write_frames};
use crate::link::messages::{LinkHello, LinkMessage, LinkPing, LinkWelcome};

/// Link that an ingress thread has open.
pub(super) struct LinkOwner {
    generation: u64,
    closed: Rc<Notify>,
}

impl Gate {
    /// Registers a link. A newer one of the same ingress thread closes the
    /// older, so that nothing sent on the older can arrive after a resume.
    fn own_link(&self, hello: &LinkHello, closed: &Rc<Notify>) -> bool {
        let key = (hello.incarnation, hello.worker);
        let mut links = self.links.borrow_mut();
        if let Some(owner) = links.get(&key) {
            if owner.generation >= hello.generation {
                return false;
            }
            owner.closed.notify_one();
        }
        let owner = LinkOwner {
            generation: hello.generation,
            closed: Rc::clone(closed),
        };
        links.insert(key, owner);
        true
    }

    fn disown_link(&self, hello: &LinkHello) {
        let key = (hello.incarnation, hello.worker);
        let mut links = self.links.borrow_mut();
        let is_current = links
            .get(&key)
            .is_some_and(|owner| owner.generation == hello.generation);
        if is_current {
            links.remove(&key);
        }
    }

    fn register_sender(&self, sender: &LinkSender) -> u64 {
        let number = self.next_link.get();
        self.next_link.set(number + 1);
        self.senders.borrow_mut().insert(number, sender.clone());
        if self.is_draining.get() {
            sender.send(LinkMessage::Leaving(LinkPing { load: None }));
        }
        number
    }
}

/// Serves the in-process link of an ingress thread until it closes.
pub(super) async fn serve_local(
    gate: Rc<Gate>,
    sender: LinkSender,
    mut receiver: LinkReceiver,
    hello: LinkHello,
) {
    let number = gate.register_sender(&sender);
    while let Some(message) = receiver.recv().await {
        gate.handle_message(hello.incarnation, message, &sender);
    }
    gate.senders.borrow_mut().remove(&number);
}

/// Serves a link over a connection until either end closes it.
pub(super) async fn serve_remote(
    gate: Rc<Gate>,
    stream: StdTcpStream,
    buffered: BytesMut,
) -> io::Result<()> {
    let stream = TcpStream::from_std(stream)?;
    let mut framed = frame_buffered(stream, buffered);
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let hello = LinkHello::decode(frame).map_err(io::Error::other)?;
    let closed = Rc::new(Notify::new());
    if !gate.own_link(&hello, &closed) {
        return Ok(());
    }
    let welcome = LinkWelcome {
        incarnation: gate.incarnation.get(),
    };
    framed.send(Bytes::from(welcome.encode_to_vec())).await?;
    let result = serve_frames(&gate, &hello, framed, &closed).await;
    gate.disown_link(&hello);
    result
}

async fn serve_frames(
    gate: &Rc<Gate>,
    hello: &LinkHello,
    framed: PeerFramed,
    closed: &Notify,
) -> io::Result<()> {
    let (sink, mut stream) = framed.split();
    let (sender, outgoing) = message_channel();
    let number = gate.register_sender(&sender);
    let reading = async {
        while let Some(message) = read_frame(&mut stream).await? {
            gate.handle_message(hello.incarnation, message, &sender);
        }
        Ok(())
    };
    let result = tokio::select! {
        biased;
        () = closed.notified() => Ok(()),
        result = write_frames(sink, outgoing) => result,
        result = reading => result,
    };
    gate.senders.borrow_mut().remove(&number);
    result
}
