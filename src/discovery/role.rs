//! Role of a node in the fleet, which decides the calls that it makes to the
//! store.
//!
//! When a fleet starts at once, each node knows only some of the members for a
//! moment and ranks itself among those. If nodes acted on such a rank, most of
//! them would register an entry and watch the configuration. A role that makes
//! calls is therefore assigned only after the rank has been stable for a while;
//! a node gives such a role up immediately.

use std::time::Duration;

/// Rank in the availability zone from which nodes follow their peers and never
/// read the configuration by themselves.
const FIRST_FOLLOWER_RANK: u32 = 5;
/// Time for which a rank must be stable before its role is assigned.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start in which a node that knows no other waits to be joined.
/// Longer than nodes that start together take to meet through the store.
const START_WAIT: Duration = Duration::from_secs(3);

/// Other nodes as one node perceives them at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetContact {
    /// Nodes that count as live, this node included.
    pub live_nodes: usize,
    /// Whether one of them was heard from within the last second.
    pub hears_others: bool,
}

impl FleetContact {
    /// Contact of a node that knows no other.
    pub const NONE: Self = Self {
        live_nodes: 1,
        hears_others: false,
    };
}

/// Role of a node in the fleet, derived from the membership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FleetRole {
    /// The node has just started; it doesn't know its rank yet.
    #[default]
    Starting,
    /// No other live node is known.
    Alone,
    /// First by name among the live nodes of its availability zone.
    ZoneFirst,
    /// Second by name among the live nodes of its availability zone.
    ZoneSecond,
    /// One of the next nodes by name in its availability zone.
    Reserve,
    /// Any other node.
    Follower,
}

impl FleetRole {
    /// Role of a node that knows `live_count` live nodes, itself included, and is
    /// number `zone_rank`, from 0, by name among those of its availability zone.
    pub fn from_zone_rank(live_count: usize, zone_rank: u32) -> Self {
        match (live_count, zone_rank) {
            (0 | 1, _) => Self::Alone,
            (_, 0) => Self::ZoneFirst,
            (_, 1) => Self::ZoneSecond,
            (_, rank) if rank < FIRST_FOLLOWER_RANK => Self::Reserve,
            _ => Self::Follower,
        }
    }

    /// Whether the node watches the configuration in the store. Two nodes of each
    /// availability zone do, because a store that refuses or ignores single nodes
    /// may do so to the first node of every zone at the same time.
    pub fn watches_config(self) -> bool {
        matches!(self, Self::Alone | Self::ZoneFirst | Self::ZoneSecond)
    }

    /// Whether the node reads the configuration occasionally, in case that no watch
    /// works. The number of such nodes is bounded in each availability zone.
    pub fn reads_config(self) -> bool {
        self == Self::Reserve
    }

    /// Whether the node keeps an entry in the store, through which others find its
    /// availability zone.
    pub fn maintains_entry(self) -> bool {
        matches!(self, Self::Alone | Self::ZoneFirst)
    }

    /// Whether the node may take the role without waiting for a stable rank.
    fn is_immediate(self) -> bool {
        matches!(self, Self::Reserve | Self::Follower)
    }
}

/// Assigns the role of one node as its view of the fleet changes.
#[derive(Debug, Clone)]
pub struct RoleAssignment {
    assigned: FleetRole,
    candidate: FleetRole,
    candidate_since: Duration,
    settling_time: Duration,
}

impl RoleAssignment {
    /// Assignment of a node that starts at `now` and knows no other node.
    pub fn new(now: Duration) -> Self {
        Self {
            assigned: FleetRole::Starting,
            candidate: FleetRole::Alone,
            candidate_since: now,
            settling_time: START_WAIT,
        }
    }

    /// Records the role by the present rank; returns the role that is assigned now.
    pub fn observe(&mut self, now: Duration, role: FleetRole) -> FleetRole {
        if role != self.candidate {
            self.candidate = role;
            self.candidate_since = now;
            self.settling_time = SETTLING_TIME;
        }
        if role.is_immediate() || self.settles_at() <= now {
            self.assigned = role;
        }
        self.assigned
    }

    /// Time at which the candidate role is assigned if it stays the same; `None`
    /// if it is assigned already.
    pub fn next_change_at(&self) -> Option<Duration> {
        (self.assigned != self.candidate).then(|| self.settles_at())
    }

    fn settles_at(&self) -> Duration {
        self.candidate_since + self.settling_time
    }
}

#[cfg(test)]
mod tests;
