//! Distribution of a new configuration within an availability zone.
//!
//! The first node of a zone reads a configuration from the store and the others
//! receive it from each other. If the first node sent it to all, its VM's link would
//! be the bottleneck: 100 nodes, 10 Mbit/s and a configuration of 100 kB take 8 s.
//!
//! While many nodes restart, each has another view of the zone's members. The sender
//! of a push therefore decides by its own view which nodes the push covers, and names
//! them: the receiver forwards the push to those, whatever it knows itself. If a
//! receiver can't be reached, the sender covers its part. The second node, which
//! watches the store too, pushes to the first one and covers the zone in its place
//! if that fails. Nodes that the sender doesn't know hear of the version by gossip. A
//! node that had to ask a peer or the store for it takes this for a sign that the first
//! nodes are gone, and pushes to the few nodes after it.

use std::net::SocketAddr;
use std::time::Duration;

/// Groups that a sender divides the nodes to cover into. Three or four distribute
/// fastest when the link is the bottleneck.
const FANOUT: usize = 4;
/// Time limit of a push without content.
const BASE_PUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Lowest rate at which a push is expected to be transferred, in bytes per second:
/// half of the link of a small VM, shared by the pushes to all groups.
const MIN_PUSH_RATE: f64 = 160_000.0;

/// Time after which a push of this size counts as failed.
pub fn push_timeout(request_bytes: usize) -> Duration {
    BASE_PUSH_TIMEOUT + Duration::from_secs_f64(request_bytes as f64 / MIN_PUSH_RATE)
}

/// Nodes that one push covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PushGroup {
    /// Node that receives the push.
    pub receiver: SocketAddr,
    /// Nodes that the receiver forwards the push to.
    pub forward_to: Vec<SocketAddr>,
    /// Nodes that the sender covers if the receiver can't be reached.
    fallback: Vec<SocketAddr>,
}

impl PushGroup {
    /// Groups to push to in place of this one, whose receiver can't be reached.
    pub fn fallback_groups(&self) -> Vec<Self> {
        divide(&self.fallback)
    }
}

/// Groups that the node at `own_rank` pushes a new configuration to, given the peer
/// addresses of the zone's other live nodes in the order of their names, and whether it
/// had to ask a peer or the store for the configuration.
pub fn first_groups(others: &[SocketAddr], own_rank: usize, had_to_ask: bool) -> Vec<PushGroup> {
    match (own_rank, others) {
        (0, _) => divide(others),
        (1, [first, rest @ ..]) => vec![PushGroup {
            receiver: *first,
            forward_to: Vec::new(),
            fallback: rest.to_vec(),
        }],
        _ if had_to_ask => {
            let (before, after) = others.split_at(own_rank.min(others.len()));
            let successors = after.iter().chain(before).take(FANOUT);
            divide(&successors.copied().collect::<Vec<_>>())
        }
        _ => Vec::new(),
    }
}

/// Divides nodes into at most [`FANOUT`] groups of about the same size.
pub fn divide(nodes: &[SocketAddr]) -> Vec<PushGroup> {
    let group_count = FANOUT.min(nodes.len());
    let boundary = |group: usize| nodes.len() * group / group_count;
    let groups = (0..group_count).filter_map(|group| {
        let (receiver, rest) = nodes[boundary(group)..boundary(group + 1)].split_first()?;
        Some(PushGroup {
            receiver: *receiver,
            forward_to: rest.to_vec(),
            fallback: rest.to_vec(),
        })
    });
    groups.collect()
}

#[cfg(test)]
mod tests;
