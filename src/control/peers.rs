//! Listener for the connections of other nodes.
//!
//! The first frame states whether a connection is a call link, which goes to the
//! gate, or carries one request to the control thread.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use crate::control::state::ControlState;
use crate::exchange::{
    ControlReply, ControlRequest, ControlTopic, FramedPeerStream, PeerHello, frame_stream,
};
use crate::gate::GateCommand;

/// Timeout of a peer connection until the reply is sent or the link is passed on to the gate.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts peer connections until the process ends.
pub async fn accept_peers(control: Rc<ControlState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let control = Rc::clone(&control);
                ntex::rt::spawn(async move {
                    let serving = serve_peer(&control, stream);
                    let served = tokio::time::timeout(PEER_REQUEST_TIMEOUT, serving).await;
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
