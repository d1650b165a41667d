//! Records of members and the rule by which two of them merge.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{
    BackendId, ConnectionCount, NodeId, NodeIncarnation, RegionName, ServiceName, SlotCount,
    ZoneName,
};
use crate::table::UpstreamState;

/// Short name of one process of one node on the wire and on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberKey(pub(super) u64);

impl MemberKey {
    /// Key of the given process of a node.
    pub fn new(node: &NodeId, incarnation: NodeIncarnation) -> Self {
        Self(xxh3_64_with_seed(
            node.as_str().as_bytes(),
            incarnation.get(),
        ))
    }
}

/// Backend server as its own node announces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct BackendRecord {
    /// Identifier of the backend server.
    pub id: BackendId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Calls that it can work on at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: ConnectionCount,
    /// Where it stands in its life cycle.
    pub state: UpstreamState,
}

/// What probes say about a member; a later verdict overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthVerdict {
    /// Answers, or nobody has found otherwise.
    Alive,
    /// Left a probe unanswered and may still refute that.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// Verdict together with the owner's count of refutations, which goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberHealth {
    /// Raised by the member itself when it hears that it is suspect or dead.
    pub refutation_count: u32,
    /// Verdict at that count.
    pub verdict: HealthVerdict,
}

impl MemberHealth {
    /// Health of a process that has just started.
    pub const INITIAL: Self = Self {
        refutation_count: 0,
        verdict: HealthVerdict::Alive,
    };
}

/// State of a member as the other slices see it.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Left a probe unanswered.
    #[display("suspect")]
    Suspect,
    /// Said that it is stopping.
    #[display("leaving")]
    Leaving,
    /// Held to have stopped or failed.
    #[display("dead")]
    Dead,
}

/// Everything known about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Node.
    pub node: NodeId,
    /// Start of the process; a later start has a higher one.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the peer listener (TCP) and of membership (UDP).
    pub peer_address: SocketAddr,
    /// Raised by the owner with each change of `backend`.
    pub announcement_version: u32,
    /// Backend server beside the node, if it announced itself.
    pub backend: Option<BackendRecord>,
    /// Whether the process said that it is stopping.
    pub is_leaving: bool,
    /// What probes say.
    pub health: MemberHealth,
    /// Highest version of the configuration head that the member named itself.
    pub head_version: u64,
}

impl MemberRecord {
    /// Short name of this process.
    pub fn key(&self) -> MemberKey {
        MemberKey::new(&self.node, self.incarnation)
    }

    /// State as the other slices see it.
    pub fn state(&self) -> MemberState {
        match (self.health.verdict, self.is_leaving) {
            (HealthVerdict::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (HealthVerdict::Suspect, false) => MemberState::Suspect,
            (HealthVerdict::Alive, false) => MemberState::Alive,
        }
    }

    /// Whether the member is held to be running.
    pub fn is_live(&self) -> bool {
        self.health.verdict != HealthVerdict::Dead
    }

    /// Takes over what `other` knows more of the same node; says what changed.
    ///
    /// The result is the least upper bound of the two: merging is commutative,
    /// associative and idempotent. A higher incarnation replaces everything.
    /// Within one, the owner's announcement and the health move forward
    /// independently of each other, and leaving can't be taken back.
    pub fn merge(&mut self, other: &Self) -> RecordChange {
        if other.incarnation < self.incarnation {
            return RecordChange::default();
        }
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return RecordChange {
                is_announcement_changed: true,
                is_health_changed: true,
            };
        }
        let is_announcement_changed = other.announcement_order() > self.announcement_order();
        if is_announcement_changed {
            self.announcement_version = other.announcement_version;
            self.region = other.region.clone();
            self.zone = other.zone.clone();
            self.peer_address = other.peer_address;
            self.backend = other.backend.clone();
        }
        self.head_version = self.head_version.max(other.head_version);
        RecordChange {
            is_announcement_changed,
            is_health_changed: self.merge_status(other.health, other.is_leaving),
        }
    }

    /// Takes over a verdict about this very process; says whether it was news.
    pub fn merge_status(&mut self, health: MemberHealth, is_leaving: bool) -> bool {
        let before = (self.health, self.is_leaving);
        self.health = self.health.max(health);
        self.is_leaving |= is_leaving;
        before != (self.health, self.is_leaving)
    }

    fn announcement_order(&self) -> impl Ord + '_ {
        // The fields behind the counter only break ties between two processes
        // that were wrongly started with the same identity.
        (
            self.announcement_version,
            &self.region,
            &self.zone,
            self.peer_address,
            &self.backend,
        )
    }

    /// Fingerprint of what every node should agree on about a live member.
    pub(super) fn fingerprint(&self) -> u64 {
        let versions = u64::from(self.announcement_version) << 33
            | u64::from(self.health.refutation_count) << 1
            | u64::from(self.is_leaving);
        xxh3_64_with_seed(&versions.to_le_bytes(), self.key().0)
    }
}

/// What a merge changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// Owner's part, or the whole record.
    pub is_announcement_changed: bool,
    /// Health or leaving.
    pub is_health_changed: bool,
}

impl RecordChange {
    /// Whether anything changed.
    pub fn is_changed(self) -> bool {
        self.is_announcement_changed || self.is_health_changed
    }
}
