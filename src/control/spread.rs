//! The way of a new configuration through an availability zone.
//!
//! The first node of a zone hears of it from the store, the others from one
//! another along a tree over their names in order. A VM's own link would be the
//! limit if the first one sent it to all: 100 nodes of 10 Mbit/s and a
//! configuration of 100 kB are 8 s. Gossip names the version as well, so a node
//! that is missed, as the one above it is gone, fetches it from another peer.

use std::ops::Range;

/// Nodes that each node hands a new configuration to. Three or four reach all
/// soonest where the link is the limit.
const FANOUT: usize = 4;

/// Ranks of the nodes that the node of this rank hands a configuration to, out
/// of `count` nodes of its availability zone.
pub fn child_ranks(rank: usize, count: usize) -> Range<usize> {
    let first_child = rank.saturating_mul(FANOUT).saturating_add(1);
    first_child.min(count)..first_child.saturating_add(FANOUT).min(count)
}

#[cfg(test)]
mod tests;
