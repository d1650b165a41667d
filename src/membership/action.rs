//! What goes into [`MembershipState`](super::MembershipState) and comes out.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;

use crate::ids::{NodeId, NodeIncarnation, RegionName, ZoneName};

/// What a node knows about itself when it starts.
#[derive(Debug, Clone)]
pub struct MemberIdentity {
    /// Node.
    pub node: NodeId,
    /// Start of the process.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the peer listener (TCP) and of membership (UDP).
    pub peer_address: SocketAddr,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        payload: Bytes,
    },
    /// Send `request` over TCP and hand the reply to `on_sync_reply`.
    RequestSync {
        /// Peer listener of the node to ask.
        peer: SocketAddr,
        /// Content.
        request: Bytes,
    },
    /// Tell the control thread.
    Notify(MembershipEvent),
}

/// News for the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Members have changed.
    MembersChanged,
    /// A peer has a newer configuration head in force.
    NewerPeerHead {
        /// Peer.
        node: NodeId,
        /// Its peer listener.
        peer_address: SocketAddr,
        /// Version of its head.
        version: u64,
    },
    /// A later start of this very node runs; this process must stop.
    Superseded,
}

/// Counters since the start; bytes include IP and UDP headers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes of datagrams sent.
    pub bytes_sent: u64,
    /// Bytes of datagrams received.
    pub bytes_received: u64,
    /// Bytes of digest exchanges sent, either side.
    pub sync_bytes_sent: u64,
    /// Bytes of digest exchanges received, either side.
    pub sync_bytes_received: u64,
    /// Members that this node suspected by its own probes.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Times that this node refuted a verdict about itself.
    pub refutations: u64,
    /// Messages that could not be read.
    pub malformed: u64,
    /// Times that spreading waited for the byte bucket.
    pub deferrals: u64,
}
