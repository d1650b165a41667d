//! Request-reply protocol between the control threads of two nodes.
//!
//! Each exchange takes a TCP connection of its own to the peer listener and
//! sends one length-delimited prost message in each direction. The first frame
//! of every peer connection states whether it is such an exchange or a call link,
//! since both arrive at the same listener.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::evacuation::WireEvacuatedZones;

/// Also limits the frames of call links.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Covers connecting, the request and the reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// First frame on every peer connection.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Name of the node that opened the connection.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of that node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// True for a call link, false for one control request.
    #[prost(bool, tag = "3")]
    pub is_call_link: bool,
}

/// Request from one control thread to another.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRequest {
    /// Request body, in the encoding of the subsystem that `topic` names.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
    /// Subsystem that handles the request.
    #[prost(enumeration = "ControlTopic", tag = "2")]
    pub topic: i32,
    /// Peer addresses that the receiver forwards the payload to; only with
    /// [`ControlTopic::Routes`].
    #[prost(string, repeated, tag = "3")]
    pub forward_to: Vec<String>,
    /// Evacuated zones that the sender knows; only with [`ControlTopic::Routes`].
    #[prost(message, optional, tag = "4")]
    pub evacuated_zones: Option<WireEvacuatedZones>,
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ControlReply {
    /// Reply body, in the encoding of the subsystem that handled the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
    /// Evacuated zones that the replying node knows; only with [`ControlTopic::Routes`].
    #[prost(message, optional, tag = "2")]
    pub evacuated_zones: Option<WireEvacuatedZones>,
}

/// Subsystem that handles a control request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ControlTopic {
    /// Exchange of membership digests.
    Membership = 0,
    /// Fetch of change tickets.
    Tickets = 1,
    /// Fetch or push of the route configuration.
    Routes = 2,
    /// Departures of backend servers that the sender acknowledged.
    Departures = 3,
}

/// Peer connection with its length-delimited framing.
pub type FramedPeerStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Adds the framing to a new peer connection.
pub fn frame_stream(stream: TcpStream) -> FramedPeerStream {
    Framed::new(stream, frame_codec())
}

/// Adds the framing to a peer connection from which `read_bytes` have been
/// read but not decoded.
pub fn frame_partly_read_stream(stream: TcpStream, read_bytes: BytesMut) -> FramedPeerStream {
    let mut parts = FramedParts::new::<Bytes>(stream, frame_codec());
    // `Framed::from_parts` decodes the read buffer before it reads more.
    parts.read_buf = read_bytes;
    Framed::from_parts(parts)
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Sends one request to the control thread of a peer and waits for the reply.
///
/// # Errors
///
/// Fails if the peer can't be reached, closes early, sends a malformed
/// message, or takes longer than 2 s.
pub async fn send_request(
    peer_address: SocketAddr,
    hello: &PeerHello,
    request: &ControlRequest,
) -> io::Result<ControlReply> {
    let exchange = async {
        let stream = TcpStream::connect(peer_address).await?;
        stream.set_nodelay(true)?;
        let mut framed = frame_stream(stream);
        framed.feed(Bytes::from(hello.encode_to_vec())).await?;
        framed.send(Bytes::from(request.encode_to_vec())).await?;
        let reply_frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        ControlReply::decode(reply_frame).map_err(io::Error::other)
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
