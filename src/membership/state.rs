//! Membership state of one node, and the updates of its own record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;

use super::action::{MemberIdentity, MembershipAction, MembershipCounters, MembershipEvent};
use super::bucket::ByteBucket;
use super::confirmation::ConfirmationState;
use super::probing::ProbeTable;
use super::queue::{UpdatePriority, UpdateQueue};
use super::record::{
    BackendRecord, HealthVerdict, MemberHealth, MemberKey, MemberRecord, RecordChange,
};
use super::ring::FingerRing;
use super::suspicion::SuspicionTable;
use super::sync::SyncState;
use crate::evacuation::{EvacuatedZones, WireEvacuatedZones};
use crate::ids::{NodeId, ZoneName};
use crate::table::UpstreamState;

/// Time between two calls of [`MembershipState::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Rate of the byte budget, sent and received together, headers included.
const BUDGET_BYTES_PER_SECOND: u32 = 2_400;
/// Burst of the byte budget: bytes that may be sent at once.
const BUDGET_BURST_BYTES: u32 = 500;
/// Extra bytes that a process may spend at its start, to join quickly even if the
/// whole fleet starts at once. The average over its first minute stays below the
/// allowed 4 KB per second.
const STARTUP_CREDIT_BYTES: u32 = 60_000;

/// Largest encoded set of evacuated zones in a datagram: about nine names. With it a
/// datagram still fits into the burst of the byte budget.
const MAX_EVACUATED_ZONES_BYTES: usize = 160;
/// Tag and length of the set in a datagram.
const EVACUATED_ZONES_OVERHEAD_BYTES: usize = 3;

/// Membership of one node as a state machine without I/O.
///
/// Times are durations on the caller's monotonic clock.
#[derive(Debug)]
pub struct MembershipState {
    pub(super) own_node: NodeId,
    pub(super) own_key: MemberKey,
    pub(super) own_zone: ZoneName,
    pub(super) members: BTreeMap<NodeId, MemberRecord>,
    pub(super) node_by_key: BTreeMap<MemberKey, NodeId>,
    pub(super) ring: FingerRing,
    pub(super) zone_ring: FingerRing,
    pub(super) fingerprint: u64,
    pub(super) queue: UpdateQueue,
    pub(super) bucket: ByteBucket,
    pub(super) probes: ProbeTable,
    pub(super) suspicions: SuspicionTable,
    pub(super) sync: SyncState,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) head_version: u64,
    pub(super) head_copies_left: u32,
    pub(super) evacuated_zones: EvacuatedZones,
    /// Encoded [`Self::evacuated_zones`], which each datagram carries.
    pub(super) wire_evacuated_zones: Option<WireEvacuatedZones>,
    pub(super) confirmation: ConfirmationState,
    pub(super) next_gossip_at: Duration,
    pub(super) last_tick_at: Duration,
    pub(super) is_superseded: bool,
    pub(super) counters: MembershipCounters,
    pub(super) actions: Vec<MembershipAction>,
    backend_expires_at: Option<Duration>,
    change_count: u64,
    reported_change_count: u64,
}

impl MembershipState {
    /// State of a node that knows only itself.
    pub fn new(now: Duration, identity: MemberIdentity) -> Self {
        let record = MemberRecord {
            node: identity.node.clone(),
            incarnation: identity.incarnation,
            region: identity.region,
            zone: identity.zone.clone(),
            peer_address: identity.peer_address,
            announcement_version: 0,
            backend: None,
            is_leaving: false,
            health: MemberHealth::INITIAL,
            head_version: 0,
        };
        let mut state = Self {
            own_node: identity.node,
            own_key: record.key(),
            own_zone: identity.zone,
            members: BTreeMap::new(),
            node_by_key: BTreeMap::new(),
            ring: FingerRing::new(record.key()),
            zone_ring: FingerRing::new(record.key()),
            fingerprint: 0,
            queue: UpdateQueue::default(),
            bucket: ByteBucket::new(
                now,
                BUDGET_BYTES_PER_SECOND,
                BUDGET_BURST_BYTES,
                STARTUP_CREDIT_BYTES,
            ),
            probes: ProbeTable::new(now, record.key()),
            suspicions: SuspicionTable::default(),
            sync: SyncState::default(),
            seeds: Vec::new(),
            head_version: 0,
            head_copies_left: 0,
            evacuated_zones: EvacuatedZones::default(),
            wire_evacuated_zones: None,
            confirmation: ConfirmationState::new(record.key()),
            next_gossip_at: now,
            last_tick_at: now,
            is_superseded: false,
            counters: MembershipCounters::default(),
            actions: Vec::new(),
            backend_expires_at: None,
            change_count: 0,
            reported_change_count: 0,
        };
        state.add_to_indexes(&record);
        state.queue.push(&record.node, UpdatePriority::Join, true);
        state.members.insert(record.node.clone(), record);
        state
    }

    /// Merges records obtained by other means, without gossiping them on.
    ///
    /// If the own record is among them, it counts as known to the other members.
    pub fn import_records(
        &mut self,
        now: Duration,
        records: &[MemberRecord],
    ) -> Vec<MembershipAction> {
        for record in records {
            if record.key() == self.own_key {
                self.queue.add_sent_copies(&record.node, u32::MAX, 0);
            }
            self.apply_imported_record(now, record);
        }
        self.sync.has_joined = true;
        self.take_actions()
    }

    /// Members by node, including this node and dead members.
    pub fn members(&self) -> &BTreeMap<NodeId, MemberRecord> {
        &self.members
    }

    /// Record that this node gossips about itself.
    pub fn own_record(&self) -> &MemberRecord {
        // `new` inserts the own record, and it is never removed.
        &self.members[&self.own_node]
    }

    /// Number of changes of [`members`](Self::members) since the start.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Traffic and failure detection since the start.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    /// Number of updates queued for gossip.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// XOR of the fingerprints of the live members; equal at nodes that agree.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Announces the backend server of this node, or renews it as a heartbeat.
    ///
    /// It counts as gone unless renewed within `ttl`. Only a change is gossiped.
    pub fn announce(
        &mut self,
        now: Duration,
        backend: BackendRecord,
        ttl: Duration,
    ) -> Vec<MembershipAction> {
        self.backend_expires_at = Some(now + ttl);
        self.set_backend(backend);
        self.gossip_now(now)
    }

    /// Announces that the backend server of this node is gone.
    pub fn withdraw(&mut self, now: Duration) -> Vec<MembershipAction> {
        self.backend_expires_at = None;
        self.set_backend_state(UpstreamState::Gone);
        self.gossip_now(now)
    }

    /// Announces that this process is stopping, which is irrevocable.
    pub fn leave(&mut self, now: Duration) -> Vec<MembershipAction> {
        self.update_own_record(|record| {
            record.is_leaving = true;
            RecordChange {
                is_announcement_changed: false,
                is_health_changed: true,
            }
        });
        self.gossip_now(now)
    }

    /// Announces the version of the configuration head that this node has in force.
    pub fn set_head_version(&mut self, now: Duration, version: u64) -> Vec<MembershipAction> {
        if version <= self.head_version {
            return Vec::new();
        }
        self.head_version = version;
        self.head_copies_left = self.copy_limit();
        self.update_own_record(|record| {
            record.head_version = version;
            RecordChange::default()
        });
        self.gossip_now(now)
    }

    /// Spreads the evacuated zones that this node has in force.
    ///
    /// A set too large for a datagram is not spread by membership.
    pub fn set_evacuated_zones(
        &mut self,
        now: Duration,
        zones: EvacuatedZones,
    ) -> Vec<MembershipAction> {
        if zones.revision <= self.evacuated_zones.revision {
            return Vec::new();
        }
        let wire = zones.to_wire();
        let size = wire.as_ref().map_or(0, Message::encoded_len);
        if size > MAX_EVACUATED_ZONES_BYTES {
            log::warn!(
                target: "evacuation", size, limit = MAX_EVACUATED_ZONES_BYTES;
                "too many evacuated zones for a datagram; only the configuration's messages carry them"
            );
        }
        self.wire_evacuated_zones = wire.filter(|_| size <= MAX_EVACUATED_ZONES_BYTES);
        self.evacuated_zones = zones;
        self.head_copies_left = self.copy_limit();
        self.gossip_now(now)
    }

    /// Evacuated zones that this node spreads.
    pub fn evacuated_zones(&self) -> &EvacuatedZones {
        &self.evacuated_zones
    }

    /// Bytes by which the evacuated zones lengthen each datagram.
    pub(super) fn evacuated_zones_bytes(&self) -> usize {
        let wire = self.wire_evacuated_zones.as_ref();
        wire.map_or(0, |wire| {
            wire.encoded_len() + EVACUATED_ZONES_OVERHEAD_BYTES
        })
    }

    /// Runs everything that is due; to be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Duration) -> Vec<MembershipAction> {
        if self.is_superseded {
            return Vec::new();
        }
        self.discard_probes_after_pause(now);
        self.expire_backend(now);
        self.tick_probes(now);
        self.tick_suspicions(now);
        self.tick_sync(now);
        self.tick_gossip(now);
        self.tick_confirmation(now);
        self.last_tick_at = now;
        self.take_actions()
    }

    fn expire_backend(&mut self, now: Duration) {
        if self
            .backend_expires_at
            .is_some_and(|deadline| deadline <= now)
        {
            self.backend_expires_at = None;
            self.set_backend_state(UpstreamState::Gone);
        }
    }

    fn set_backend_state(&mut self, state: UpstreamState) {
        if let Some(mut backend) = self.own_record().backend.clone() {
            backend.state = state;
            self.set_backend(backend);
        }
    }

    fn set_backend(&mut self, backend: BackendRecord) {
        if self.own_record().backend.as_ref() == Some(&backend) {
            return;
        }
        self.update_own_record(|record| {
            record.announcement_version += 1;
            record.backend = Some(backend);
            RecordChange {
                is_announcement_changed: true,
                is_health_changed: false,
            }
        });
    }

    pub(super) fn update_own_record(
        &mut self,
        edit: impl FnOnce(&mut MemberRecord) -> RecordChange,
    ) {
        let mut record = self.own_record().clone();
        let change = edit(&mut record);
        self.store_record(record, change);
        if change.is_changed() {
            self.enqueue(&self.own_node.clone(), change);
        }
    }

    /// Replaces a record and updates the indexes derived from it.
    pub(super) fn store_record(&mut self, record: MemberRecord, change: RecordChange) {
        if let Some(previous) = self.members.remove(&record.node) {
            self.remove_from_indexes(&previous);
        }
        self.add_to_indexes(&record);
        self.members.insert(record.node.clone(), record);
        if change.is_changed() {
            self.change_count += 1;
        }
    }

    pub(super) fn remove_member(&mut self, node: &NodeId) {
        if let Some(record) = self.members.remove(node) {
            self.remove_from_indexes(&record);
            self.change_count += 1;
        }
    }

    fn add_to_indexes(&mut self, record: &MemberRecord) {
        let key = record.key();
        self.node_by_key.insert(key, record.node.clone());
        if !record.is_live() {
            return;
        }
        self.fingerprint ^= record.fingerprint();
        self.ring.insert(key);
        if record.zone == self.own_zone {
            self.zone_ring.insert(key);
        }
    }

    fn remove_from_indexes(&mut self, record: &MemberRecord) {
        let key = record.key();
        self.node_by_key.remove(&key);
        if record.is_live() {
            self.fingerprint ^= record.fingerprint();
            self.ring.remove(key);
            self.zone_ring.remove(key);
        }
    }

    pub(super) fn enqueue(&mut self, node: &NodeId, change: RecordChange) {
        let Some(record) = self.members.get(node) else {
            return;
        };
        let priority = priority_of(record, change);
        self.queue
            .push(node, priority, change.is_announcement_changed);
    }

    pub(super) fn notify(&mut self, event: MembershipEvent) {
        self.actions.push(MembershipAction::Notify(event));
    }

    pub(super) fn take_actions(&mut self) -> Vec<MembershipAction> {
        if self.change_count != self.reported_change_count {
            self.reported_change_count = self.change_count;
            self.notify(MembershipEvent::MembersChanged);
        }
        std::mem::take(&mut self.actions)
    }
}

fn priority_of(record: &MemberRecord, change: RecordChange) -> UpdatePriority {
    let backend_state = record.backend.as_ref().map(|backend| backend.state);
    let is_draining_or_gone = matches!(
        backend_state,
        Some(UpstreamState::Draining | UpstreamState::Gone)
    );
    let is_dead = record.health.verdict == HealthVerdict::Dead;
    if (record.is_leaving && !is_dead) || (is_draining_or_gone && change.is_announcement_changed) {
        UpdatePriority::Leaving
    } else if record.backend.is_none() {
        UpdatePriority::Other
    } else if change.is_announcement_changed {
        UpdatePriority::Join
    } else {
        UpdatePriority::Health
    }
}
