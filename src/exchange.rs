//! Request and reply between the control threads of two nodes.
//!
//! One length-delimited prost message each way on a short TCP connection to
//! the peer listener. The first frame of every peer connection names its
//! purpose, so that one listener serves both these exchanges and call links.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

/// Largest control message, in bytes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// First frame on every peer connection.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Node that opened the connection.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of that node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// True for a call link, false for one control exchange.
    #[prost(bool, tag = "3")]
    pub is_call_link: bool,
}

/// Request of one control thread to another.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRequest {
    /// What is asked, encoded by the slice that `topic` names.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
    /// Slice that answers.
    #[prost(enumeration = "ControlTopic", tag = "2")]
    pub topic: i32,
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ControlReply {
    /// Answer, encoded by the slice that was asked.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
}

/// Slice that a control request is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ControlTopic {
    /// Exchange of membership digests.
    Membership = 0,
    /// Fetch of change tickets.
    Tickets = 1,
    /// Fetch of the configuration of routes.
    Routes = 2,
}

/// Framing of a peer connection.
pub type FramedPeerStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a peer connection in its framing.
pub fn frame_stream(stream: TcpStream) -> FramedPeerStream {
    Framed::new(stream, frame_codec())
}

/// Wraps a peer connection of which `buffered` has been read already.
pub fn frame_partly_read_stream(stream: TcpStream, buffered: BytesMut) -> FramedPeerStream {
    let mut parts = FramedParts::new::<Bytes>(stream, frame_codec());
    // A framing made of parts decodes what is buffered before it reads more.
    parts.read_buf = buffered;
    Framed::from_parts(parts)
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Sends one request to a peer's control thread and waits for the reply.
///
/// # Errors
///
/// Fails if the peer can't be reached, closes early, sends a malformed
/// message, or takes longer than 2 s.
pub async fn send_request(
    peer: SocketAddr,
    hello: &PeerHello,
    request: &ControlRequest,
) -> io::Result<ControlReply> {
    let exchange = async {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let mut framed = frame_stream(stream);
        framed.feed(Bytes::from(hello.encode_to_vec())).await?;
        framed.send(Bytes::from(request.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        ControlReply::decode(frame).map_err(io::Error::other)
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
