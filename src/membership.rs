//! Membership: which nodes and upstreams there are, and in which state.
//!
//! Nodes probe each other over UDP, suspect those that don't answer, and
//! spread what they learn along a ring of fingers: a node sends to the members
//! 1, 2, 4, 8, ... places further on, so that news reaches everybody within
//! logarithmic time while no node receives more than its share. What a node
//! missed it fetches by comparing digests over TCP.
//!
//! Records only move forward. A record is the join of what its owner announced
//! and what others found out about its health, so order and repetition of
//! delivery don't matter, and a node that was paused can't bring back a state
//! that has been superseded.
//!
//! [`MembershipState`] has no socket, clock or thread: events and the present
//! time go in, [`MembershipAction`]s come out. [`driver`] connects it to them.

pub mod driver;

mod action;
mod bucket;
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
