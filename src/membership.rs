//! Cluster membership and failure detection: which nodes and upstreams exist,
//! and the state of each.
//!
//! Nodes probe each other over UDP, suspect those that don't answer, and gossip
//! updates along the fingers of a ring: a node sends to the members at the
//! distances 1, 2, 4, 8, ... from itself. An update reaches all members in
//! logarithmic time, and the datagrams that a node receives stay bounded. A node
//! repairs what it missed by comparing digests with a peer over TCP
//! (anti-entropy).
//!
//! Member records merge as a join-semilattice of what the owner announced and
//! what other members observed about its health. Delivery order and duplicates
//! therefore don't matter, and a node that was paused can't reintroduce a
//! superseded state.
//!
//! [`MembershipState`] does no I/O and reads no clock: events and the current
//! time go in, [`MembershipAction`]s come out. [`driver`] connects it to the UDP
//! socket, the timer and the peers.

pub mod driver;

mod action;
mod bucket;
mod confirmation;
mod message;
mod packing;
mod probing;
mod queue;
mod receive;
mod record;
mod ring;
mod serving;
mod spread;
mod state;
mod suspicion;
mod sync;

pub use action::{MemberIdentity, MembershipAction, MembershipCounters, MembershipEvent};
pub use bucket::ByteBucket;
pub use record::{
    BackendRecord, HealthVerdict, MemberHealth, MemberKey, MemberRecord, MemberState,
};
pub use state::{MembershipState, TICK_INTERVAL};

#[cfg(test)]
mod tests;
