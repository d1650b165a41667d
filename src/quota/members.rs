//! Members as quotas see them: the order of a tenant's owners, and the part of the fleet
//! that this node is in contact with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::wire::TenantKey;
use crate::ids::NodeId;

/// Time for which members that failed without leaving still count as part of the
/// fleet, if this node is in contact with most of it. Afterwards it grants the full rate.
const MAJORITY_MEMORY: Duration = Duration::from_secs(30);
/// The same if this node is in contact with half of the fleet or less: it is more likely
/// cut off than the others are dead.
const MINORITY_MEMORY: Duration = Duration::from_secs(600);
/// Time after its start in which a node doesn't own alone: it may not have met the
/// others yet.
const ALONE_AFTER_START: Duration = Duration::from_secs(3);

/// Changes of the members that are kept.
const MAX_LOGGED_CHANGES: usize = 128;

/// Member that may own tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberAddress {
    /// Hash of the node's name.
    pub node: u64,
    /// Address of its membership socket.
    pub address: SocketAddr,
}

impl MemberAddress {
    /// Member of this name and address.
    pub fn new(node: &NodeId, address: SocketAddr) -> Self {
        Self {
            node: xxh3_64(node.as_str().as_bytes()),
            address,
        }
    }

    /// Rank in the order of a tenant's owners; the highest is the owner.
    pub fn rank(&self, tenant: TenantKey) -> u64 {
        xxh3_64_with_seed(&self.node.to_le_bytes(), tenant.get())
    }
}

/// Other members by what they are counted for.
#[derive(Debug, Clone, Default)]
pub struct OtherMembers {
    /// Those that may own tenants: alive, not suspected and not leaving.
    pub candidates: Vec<MemberAddress>,
    /// Hashes of the nodes that answer: neither suspected nor declared dead. A node that is
    /// cut off suspects all others before it declares them dead, and must not grant the
    /// full rate meanwhile.
    pub live: BTreeSet<u64>,
    /// Hashes of the nodes that left in a planned stop.
    pub left: BTreeSet<u64>,
}

/// Members that this node knows.
#[derive(Debug)]
pub struct MemberView {
    own: MemberAddress,
    started_at: Duration,
    /// Other members that are alive, not suspected and not leaving.
    others: Vec<MemberAddress>,
    /// Last time at which each other member was live.
    live_at: BTreeMap<u64, Duration>,
    live_others: usize,
    version: u64,
    /// Latest changes of the members that may own, and the time before which changes may
    /// be missing.
    changes: VecDeque<(Duration, MemberAddress)>,
    complete_since: Duration,
}

impl MemberView {
    /// View of a node that knows only itself.
    pub fn new(now: Duration, own: MemberAddress) -> Self {
        Self {
            own,
            started_at: now,
            others: Vec::new(),
            live_at: BTreeMap::new(),
            live_others: 0,
            version: 0,
            changes: VecDeque::new(),
            complete_since: now,
        }
    }

    /// Replaces the other members. To be called regularly, also while none changes.
    pub fn update(&mut self, now: Duration, others: &OtherMembers) {
        for node in &others.live {
            self.live_at.insert(*node, now);
        }
        self.live_at.retain(|node, _| !others.left.contains(node));
        self.live_others = others.live.len();
        if self.others != others.candidates {
            self.version += 1;
            self.log_changes(now, &others.candidates);
            self.others.clone_from(&others.candidates);
        }
        self.forget(now);
    }

    fn log_changes(&mut self, now: Duration, candidates: &[MemberAddress]) {
        let before: BTreeSet<MemberAddress> = self.others.iter().copied().collect();
        let after: BTreeSet<MemberAddress> = candidates.iter().copied().collect();
        let changed = before.symmetric_difference(&after);
        self.changes.extend(changed.map(|member| (now, *member)));
        while self.changes.len() > MAX_LOGGED_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.complete_since = at;
            }
        }
    }

    /// Time since which no member has come or gone that ranks before this node.
    pub fn unchanged_since(&self, tenant: TenantKey) -> Duration {
        let own_rank = self.own.rank(tenant);
        let changes = self.changes.iter().rev();
        let mut before_own = changes.filter(|(_, member)| member.rank(tenant) > own_rank);
        before_own.next().map_or(self.complete_since, |(at, _)| *at)
    }

    fn forget(&mut self, now: Duration) {
        let is_majority = 2 * (self.live_others + 1) > self.live_at.len() + 1;
        let memory = if is_majority {
            MAJORITY_MEMORY
        } else {
            MINORITY_MEMORY
        };
        self.live_at
            .retain(|_, live_at| now.saturating_sub(*live_at) <= memory);
    }

    /// This node.
    pub fn own(&self) -> MemberAddress {
        self.own
    }

    /// Counts the changes of the members that may own.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Members that may be part of the fleet, this node included.
    pub fn known_count(&self) -> usize {
        self.live_at.len() + 1
    }

    /// Part of the fleet that this node is in contact with.
    pub fn contact_share(&self) -> f64 {
        (self.live_others + 1) as f64 / self.known_count() as f64
    }

    /// Whether this node may own without a successor.
    pub fn is_alone(&self, now: Duration) -> bool {
        self.others.is_empty() && now >= self.started_at + ALONE_AFTER_START
    }

    /// Owner of a tenant in this view.
    pub fn owner(&self, tenant: TenantKey) -> MemberAddress {
        let first = self.first_other(tenant, None);
        first
            .filter(|other| other.rank(tenant) > self.own.rank(tenant))
            .unwrap_or(self.own)
    }

    /// Other member with the highest rank, without the one of the rank `excluded`.
    pub fn first_other(&self, tenant: TenantKey, excluded: Option<u64>) -> Option<MemberAddress> {
        let ranked = self.others.iter().map(|other| (other.rank(tenant), *other));
        let allowed = ranked.filter(|(rank, _)| Some(*rank) != excluded);
        allowed.max().map(|(_, other)| other)
    }
}
