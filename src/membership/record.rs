//! Member records and the rule by which two records of a node merge.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{
    BackendId, BackendKey, ConnectionCount, NodeId, NodeIncarnation, RegionName, ServiceName,
    SlotCount, ZoneName,
};
use crate::table::UpstreamState;

/// Hash of node and incarnation; identifies a process on the wire and on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberKey(pub(super) u64);

impl MemberKey {
    /// Different processes of a node have different keys.
    pub fn new(node: &NodeId, incarnation: NodeIncarnation) -> Self {
        Self(xxh3_64_with_seed(
            node.as_str().as_bytes(),
            incarnation.get(),
        ))
    }
}

/// Backend server as announced by the node on its VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct BackendRecord {
    /// Identifier that the backend server announced.
    pub id: BackendId,
    /// Which start of the backend server it is.
    pub key: BackendKey,
    /// Service that it serves.
    pub service: ServiceName,
    /// Calls that it can process concurrently.
    pub slots: SlotCount,
    /// Largest number of connections that it accepts.
    pub connections: ConnectionCount,
    /// Lifecycle state.
    pub state: UpstreamState,
}

/// Result of probing a member; at equal refutation counts the greater verdict wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthVerdict {
    /// Not suspected by any member.
    Alive,
    /// A probe went unanswered; the member can still refute the suspicion.
    Suspect,
    /// The member left, or did not refute the suspicion in time.
    Dead,
}

/// Verdict and the refutation count that it applies to; the count takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberHealth {
    /// Raised by the member itself when it receives a suspicion or death of its own.
    pub refutation_count: u32,
    /// Verdict at that refutation count.
    pub verdict: HealthVerdict,
}

impl MemberHealth {
    /// Health of a process that has just started.
    pub const INITIAL: Self = Self {
        refutation_count: 0,
        verdict: HealthVerdict::Alive,
    };
}

/// State of a member for other modules and the administration API.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Not suspected and not leaving.
    #[display("alive")]
    Alive,
    /// A probe went unanswered.
    #[display("suspect")]
    Suspect,
    /// Announced that it is stopping.
    #[display("leaving")]
    Leaving,
    /// Declared to have stopped or failed.
    #[display("dead")]
    Dead,
}

/// What is known about a member: its owner's announcement and its health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identifier of the node.
    pub node: NodeId,
    /// Identifies the process; a later process of the node has a higher one.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address that other nodes use, for the peer listener (TCP) and membership (UDP).
    pub peer_address: SocketAddr,
    /// Raised by the owner with every change of `backend`.
    pub announcement_version: u32,
    /// Backend server on the node's VM; `None` until it announces itself.
    pub backend: Option<BackendRecord>,
    /// Whether the process announced that it is stopping; permanent for the process.
    pub is_leaving: bool,
    /// Verdict of the failure detector.
    pub health: MemberHealth,
    /// Highest version of the configuration head received from the member itself.
    pub head_version: u64,
}

impl MemberRecord {
    /// Key of the process that the record is about.
    pub fn key(&self) -> MemberKey {
        MemberKey::new(&self.node, self.incarnation)
    }

    /// Combines verdict and leave flag; a dead member is not leaving.
    pub fn state(&self) -> MemberState {
        match (self.health.verdict, self.is_leaving) {
            (HealthVerdict::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (HealthVerdict::Suspect, false) => MemberState::Suspect,
            (HealthVerdict::Alive, false) => MemberState::Alive,
        }
    }

    /// Whether the member is not declared dead; suspect and leaving members are live.
    pub fn is_live(&self) -> bool {
        self.health.verdict != HealthVerdict::Dead
    }

    /// Merges another record of the same node into this one and returns what changed.
    ///
    /// The result is the least upper bound of the two: merging is commutative,
    /// associative and idempotent. A higher incarnation replaces the whole
    /// record. Within an incarnation, announcement and health advance
    /// independently of each other, and the leave flag is never reset.
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

    /// Merges a status of the same process and returns whether it changed the record.
    pub fn merge_status(&mut self, health: MemberHealth, is_leaving: bool) -> bool {
        let before = (self.health, self.is_leaving);
        self.health = self.health.max(health);
        self.is_leaving |= is_leaving;
        before != (self.health, self.is_leaving)
    }

    fn announcement_order(&self) -> impl Ord + '_ {
        // The fields after the version only break ties between two processes
        // started with the same identity by mistake.
        (
            self.announcement_version,
            &self.region,
            &self.zone,
            self.peer_address,
            &self.backend,
        )
    }

    /// Hash of the values of a live member on which all nodes should agree.
    pub(super) fn fingerprint(&self) -> u64 {
        let versions = u64::from(self.announcement_version) << 33
            | u64::from(self.health.refutation_count) << 1
            | u64::from(self.is_leaving);
        xxh3_64_with_seed(&versions.to_le_bytes(), self.key().0)
    }
}

/// Parts of a record that a merge or an update changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// The owner's announcement, or the whole record.
    pub is_announcement_changed: bool,
    /// Health or leave flag.
    pub is_health_changed: bool,
}

impl RecordChange {
    pub fn is_changed(self) -> bool {
        self.is_announcement_changed || self.is_health_changed
    }
}
