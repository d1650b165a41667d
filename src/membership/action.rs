//! Input, output and counters of [`MembershipState`](super::MembershipState).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::evacuation::EvacuatedZones;
use crate::ids::{NodeId, NodeIncarnation, RegionName, ZoneName};

/// Identity and location of the own node, fixed at its start.
#[derive(Debug, Clone)]
pub struct MemberIdentity {
    /// Identifier of the node.
    pub node: NodeId,
    /// Distinguishes this process from earlier ones of the same node.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address that other nodes use, for the peer listener (TCP) and membership (UDP).
    pub peer_address: SocketAddr,
}

/// Side effect for the driver to perform, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a UDP datagram; it need not arrive.
    SendDatagram {
        /// Membership address of the receiver.
        to: SocketAddr,
        /// Encoded datagram.
        payload: Bytes,
    },
    /// Send `request` over TCP, then call `on_sync_reply` or `on_sync_failure`.
    RequestSync {
        /// Peer listener of the node to ask.
        peer: SocketAddr,
        /// Encoded request.
        request: Bytes,
    },
    /// Pass an event to the control thread.
    Notify(MembershipEvent),
}

/// Change that the control thread has to react to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The set of members or the state of one has changed.
    MembersChanged,
    /// A peer has a newer configuration head in force than this node.
    NewerPeerHead {
        /// The peer.
        node: NodeId,
        /// Its peer listener.
        peer_address: SocketAddr,
        /// Version of its head.
        version: u64,
    },
    /// A peer stated its evacuated zones, as of no lower revision than the own ones.
    EvacuatedZones(EvacuatedZones),
    /// Through a peer, the store is known to have held no newer configuration at this time.
    ConfigConfirmed {
        /// The time, on the clock of the state.
        confirmed_at: Duration,
    },
    /// A later process of the same node is running; this one must stop.
    Superseded,
}

/// Counters since the start; bytes include the headers of IP and UDP or TCP.
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
    /// Bytes of digest exchanges sent, as requester or responder.
    pub sync_bytes_sent: u64,
    /// Bytes of digest exchanges received, as requester or responder.
    pub sync_bytes_received: u64,
    /// Members that this node suspected after a failed probe of its own.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Times that this node refuted a suspicion or death of itself.
    pub refutations: u64,
    /// Messages, records and statuses that could not be decoded.
    pub malformed: u64,
    /// Gossip rounds cut short because the byte budget was used up.
    pub deferrals: u64,
}
