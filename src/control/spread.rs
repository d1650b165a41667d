//! Distribution tree of a new configuration within an availability zone.
//!
//! The first node of a zone reads a configuration from the store and the others
//! receive it along a tree over the nodes sorted by name. If the first node sent
//! it to all, its VM's link would be the bottleneck: 100 nodes, 10 Mbit/s and a
//! configuration of 100 kB take 8 s. Gossip announces the version too, so a node
//! whose parent has failed fetches the configuration from another peer.

use std::ops::Range;

/// Children of each node in the tree. Three or four distribute fastest when the
/// link is the bottleneck.
const FANOUT: usize = 4;

/// Ranks of the children of the node at `rank`, in a tree over the `count` nodes of
/// an availability zone. Rank 0 is the root.
pub fn child_ranks(rank: usize, count: usize) -> Range<usize> {
    let first_child = rank.saturating_mul(FANOUT).saturating_add(1);
    first_child.min(count)..first_child.saturating_add(FANOUT).min(count)
}

#[cfg(test)]
mod tests;
