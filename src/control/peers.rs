//! Listener for the connections of other nodes.
//!
//! The first frame states whether a connection is a call link, which goes to the
//! gate, or carries one request to the control thread. If too many connections wait to be
//! served, the oldest is closed, so that those that send nothing don't keep others out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use crate::control::state::ControlState;
use crate::exchange::{
    ControlReply, ControlRequest, ControlTopic, FramedPeerStream, PeerHello, frame_stream,
};
use crate::gate::GateCommand;

/// Timeout of a peer connection until the reply is sent or the link is passed on to the gate.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections that are being served, the oldest first, up to a limit.
#[derive(Debug)]
struct OpenExchanges {
    limit: usize,
    last_number: u64,
    /// Dropping a sender ends the exchange.
    by_number: BTreeMap<u64, oneshot::Sender<()>>,
}

impl OpenExchanges {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            last_number: 0,
            by_number: BTreeMap::new(),
        }
    }

    /// Adds an exchange, and ends the oldest beyond the limit. Returns its number and what
    /// completes once it is to end.
    fn add(&mut self) -> (u64, oneshot::Receiver<()>) {
        let (sender, ended) = oneshot::channel();
        self.last_number += 1;
        self.by_number.insert(self.last_number, sender);
        if self.by_number.len() > self.limit {
            self.by_number.pop_first();
        }
        (self.last_number, ended)
    }

    fn remove(&mut self, number: u64) {
        self.by_number.remove(&number);
    }
}

/// Accepts peer connections until the process ends; at most `limit` are served at once.
pub async fn accept_peers(control: Rc<ControlState>, listener: TcpListener, limit: usize) {
    let exchanges = Rc::new(RefCell::new(OpenExchanges::new(limit)));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let control = Rc::clone(&control);
                let exchanges = Rc::clone(&exchanges);
                let (number, ended) = exchanges.borrow_mut().add();
                ntex::rt::spawn(async move {
                    let serving = serve_peer(&control, stream);
                    let served = tokio::select! {
                        biased;
                        served = tokio::time::timeout(PEER_REQUEST_TIMEOUT, serving) => served,
                        _ = ended => Ok(Err(io::ErrorKind::QuotaExceeded.into())),
                    };
                    exchanges.borrow_mut().remove(number);
                    if let Ok(Err(error)) = served {
                        log::debug!(
                            target: "control",
                            "peer connection failed, closing it: {error}"
                        );
                    }
                });
            }
            Err(error) => {
                log::warn!(
                    target: "control",
                    "peer listener failed to accept a connection, retrying: {error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(control: &ControlState, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut framed = frame_stream(stream);
    let hello = PeerHello::decode(next_frame(&mut framed).await?).map_err(io::Error::other)?;
    if hello.is_call_link {
        return pass_link_to_gate(control, framed);
    }
    let frame = next_frame(&mut framed).await?;
    let request = ControlRequest::decode(frame).map_err(io::Error::other)?;
    let request_topic = request.topic();
    let payload = match request_topic {
        ControlTopic::Membership => control.membership.handle_sync(&request.payload),
        ControlTopic::Routes => control.routes.handle_peer_request(&request),
        ControlTopic::Tickets => control.tickets.handle_peer_request(request.payload),
        ControlTopic::Departures => control.departures.handle_peer_request(request.payload),
    };
    let evacuated_zones = match request_topic {
        ControlTopic::Routes => control.routes.evacuation().current().to_wire(),
        ControlTopic::Membership | ControlTopic::Tickets | ControlTopic::Departures => None,
    };
    let reply = ControlReply {
        payload,
        evacuated_zones,
    };
    framed.send(Bytes::from(reply.encode_to_vec())).await
}

async fn next_frame(framed: &mut FramedPeerStream) -> io::Result<bytes::BytesMut> {
    framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?
}

/// Passes a call link to the gate thread, with the bytes that were read beyond the
/// hello frame.
fn pass_link_to_gate(control: &ControlState, framed: FramedPeerStream) -> io::Result<()> {
    let parts = framed.into_parts();
    let command = GateCommand::AcceptRemoteLink {
        stream: parts.io.into_std()?,
        buffered: parts.read_buf,
    };
    control
        .gate_commands
        .send(command)
        .map_err(|_| io::ErrorKind::BrokenPipe.into())
}

#[cfg(test)]
mod tests;
