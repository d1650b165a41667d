//! Distribution tree of a new configuration within an availability zone.
//!
//! The first node of a zone reads a configuration from the store and the others
//! receive it along a tree over the nodes sorted by name. If the first node sent
//! it to all, its VM's link would be the bottleneck: 100 nodes, 10 Mbit/s and a
//! configuration of 100 kB take 8 s.
//!
//! During restarts the parents of many nodes are gone. A node that can't reach one
//! of its children therefore sends to the children of that child as well. The second
//! node, which watches the store too, treats the first one as its child, so that the
//! whole zone is reached while the first one is frozen. What is missed even so, gossip
//! announces.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Children of each node in the tree. Three or four distribute fastest when the
/// link is the bottleneck.
const FANOUT: usize = 4;
/// Time limit of a push without content.
const BASE_PUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Lowest rate at which a push is expected to be transferred, in bytes per second:
/// half of the link of a small VM, shared by the pushes to all children.
const MIN_PUSH_RATE: f64 = 160_000.0;

/// Ranks of the children of the node at `rank`, in a tree over the `count` nodes of
/// an availability zone. Rank 0 is the root.
fn child_ranks(rank: usize, count: usize) -> Range<usize> {
    let first_child = rank.saturating_mul(FANOUT).saturating_add(1);
    first_child.min(count)..first_child.saturating_add(FANOUT).min(count)
}

/// Time after which a push of this size counts as failed.
pub fn push_timeout(request_bytes: usize) -> Duration {
    BASE_PUSH_TIMEOUT + Duration::from_secs_f64(request_bytes as f64 / MIN_PUSH_RATE)
}

/// Node to push to, by its rank in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PushTarget {
    rank: usize,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// Distribution tree of one availability zone, as one of its nodes sees it.
#[derive(Debug, Clone)]
pub struct DistributionTree {
    addresses: Vec<SocketAddr>,
    own_rank: usize,
}

impl DistributionTree {
    /// Tree over the peer addresses of the zone's live nodes in the order of their
    /// names, of which the one at `own_rank` is this node.
    pub fn new(addresses: Vec<SocketAddr>, own_rank: usize) -> Self {
        Self {
            addresses,
            own_rank,
        }
    }

    /// Nodes that this node pushes to.
    pub fn own_targets(&self) -> Vec<PushTarget> {
        let root = (self.own_rank == 1).then_some(0);
        self.targets(root.into_iter().chain(self.child_ranks(self.own_rank)))
    }

    /// Nodes to push to in place of one that can't be reached.
    pub fn fallback_targets(&self, failed: PushTarget) -> Vec<PushTarget> {
        let own_children = self.child_ranks(self.own_rank);
        let ranks = self.child_ranks(failed.rank);
        self.targets(ranks.filter(|rank| *rank != self.own_rank && !own_children.contains(rank)))
    }

    fn child_ranks(&self, rank: usize) -> Range<usize> {
        child_ranks(rank, self.addresses.len())
    }

    fn targets(&self, ranks: impl Iterator<Item = usize>) -> Vec<PushTarget> {
        let targets = ranks.filter_map(|rank| {
            let address = *self.addresses.get(rank)?;
            Some(PushTarget { rank, address })
        });
        targets.collect()
    }
}

#[cfg(test)]
mod tests;
