//! Handling of received datagrams: merging their updates into the member records,
//! refuting suspicions of the own node and answering pings.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;

use super::action::{MembershipAction, MembershipEvent};
use super::message::{Datagram, DatagramKind, WireRecord, decode_status};
use super::record::{HealthVerdict, MemberHealth, MemberKey, MemberRecord, RecordChange};
use super::spread::DATAGRAM_HEADER_BYTES;
use super::state::MembershipState;
use crate::evacuation::{EvacuatedZones, WireEvacuatedZones};
use crate::ids::NodeId;

/// Channel by which an update arrived, which decides whether it is gossiped on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateSource {
    /// From a datagram, or a requester's own record; gossiped on.
    Gossip,
    /// Fetched by digest comparison; not gossiped on, as other nodes compare digests too.
    Sync,
}

/// Outdated information of a sender that the reply corrects.
#[derive(Debug, Default)]
struct PendingCorrections {
    /// The sender considers this node suspect or dead.
    is_self_suspected: bool,
    /// Nodes for which the sender sent a record of a superseded process.
    outdated_nodes: Vec<NodeId>,
}

impl MembershipState {
    /// Handles a datagram received from the address `from`.
    pub fn on_datagram(
        &mut self,
        now: Duration,
        from: SocketAddr,
        payload: &[u8],
    ) -> Vec<MembershipAction> {
        let size = payload.len() + DATAGRAM_HEADER_BYTES;
        self.bucket.charge(now, size);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += size as u64;
        if self.is_superseded {
            return Vec::new();
        }
        match Datagram::decode(payload) {
            Ok(datagram) => self.handle_datagram(now, from, datagram),
            Err(_) => self.counters.malformed += 1,
        }
        self.take_actions()
    }

    fn handle_datagram(&mut self, now: Duration, from: SocketAddr, mut datagram: Datagram) {
        let mut corrections = PendingCorrections::default();
        for wire in std::mem::take(&mut datagram.records) {
            self.apply_wire_record(now, wire, UpdateSource::Gossip, &mut corrections);
        }
        for (key, status) in datagram.status_keys.iter().zip(&datagram.statuses) {
            self.apply_status(now, MemberKey(*key), *status, &mut corrections);
        }
        self.observe_head_version(now, from, &datagram);
        self.observe_evacuated_zones(datagram.evacuated_zones.take());
        self.compare_fingerprint(now, from, datagram.fingerprint);
        match DatagramKind::try_from(datagram.kind) {
            Ok(DatagramKind::Ping) => self.send_ack(now, from, &datagram, &corrections),
            Ok(DatagramKind::Ack) => {
                self.handle_ack(now, from, &datagram);
            }
            Ok(DatagramKind::PingRequest) => {
                let target = MemberKey(datagram.target_key);
                self.relay_ping(now, from, datagram.sequence, target);
            }
            Ok(DatagramKind::Gossip) => self.send_corrections(now, from, &corrections),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Sends the current records of nodes for which the sender has a superseded process.
    fn send_corrections(
        &mut self,
        now: Duration,
        from: SocketAddr,
        corrections: &PendingCorrections,
    ) {
        if corrections.outdated_nodes.is_empty() {
            return;
        }
        let mut datagram = self.new_datagram(now, DatagramKind::Gossip, 0);
        for node in &corrections.outdated_nodes {
            self.add_record(&mut datagram, node);
        }
        self.send_with_updates(now, from, datagram);
    }

    fn send_ack(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        corrections: &PendingCorrections,
    ) {
        let mut reply = self.new_datagram(now, DatagramKind::Ack, datagram.sequence);
        let sender = self
            .node_by_key
            .get(&MemberKey(datagram.sender_key))
            .cloned();
        reply.is_sender_unknown = sender.is_none();
        if let Some(node) = &sender {
            let verdict = self.members.get(node).map(|record| record.health.verdict);
            if verdict.is_some_and(|verdict| verdict != HealthVerdict::Alive) {
                self.add_status(&mut reply, node);
            }
        }
        if corrections.is_self_suspected {
            self.add_status(&mut reply, &self.own_node.clone());
        }
        if datagram.target_key != self.own_key.0 {
            // The sender probes an earlier process at this address, or a seed
            // without knowing the node there.
            self.add_record(&mut reply, &self.own_node.clone());
        }
        for node in &corrections.outdated_nodes {
            self.add_record(&mut reply, node);
        }
        self.send_with_updates(now, from, reply);
    }

    fn handle_ack(&mut self, now: Duration, from: SocketAddr, datagram: &Datagram) {
        let acked_key = match datagram.target_key {
            0 => datagram.sender_key,
            target => target,
        };
        self.complete_probe(now, datagram.sequence, MemberKey(acked_key));
        if datagram.is_sender_unknown {
            let mut introduction = self.new_datagram(now, DatagramKind::Gossip, 0);
            self.add_record(&mut introduction, &self.own_node.clone());
            self.send_with_updates(now, from, introduction);
        }
    }

    /// Reports a set that is not older than the own one; control decides which is right.
    fn observe_evacuated_zones(&mut self, wire: Option<WireEvacuatedZones>) {
        let Some(wire) = wire else {
            return;
        };
        match EvacuatedZones::try_from(wire) {
            Ok(zones) if zones.revision >= self.evacuated_zones.revision => {
                self.notify(MembershipEvent::EvacuatedZones(zones));
            }
            Ok(_) => {}
            Err(_) => self.counters.malformed += 1,
        }
    }

    fn observe_head_version(&mut self, now: Duration, from: SocketAddr, datagram: &Datagram) {
        let Some(node) = self.node_by_key.get(&MemberKey(datagram.sender_key)) else {
            return;
        };
        let Some(record) = self.members.get_mut(node) else {
            return;
        };
        record.head_version = record.head_version.max(datagram.head_version);
        if datagram.head_version > self.head_version {
            let event = MembershipEvent::NewerPeerHead {
                node: record.node.clone(),
                peer_address: record.peer_address,
                version: datagram.head_version,
            };
            self.notify(event);
        }
        self.observe_confirmation(now, from, datagram);
    }

    fn apply_wire_record(
        &mut self,
        now: Duration,
        wire: WireRecord,
        source: UpdateSource,
        corrections: &mut PendingCorrections,
    ) {
        match MemberRecord::try_from(wire) {
            Ok(record) => self.apply_record(now, &record, source, corrections),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Merges a record from a sync reply, or a requester's own record from a sync request.
    pub(super) fn apply_sync_record(
        &mut self,
        now: Duration,
        wire: WireRecord,
        source: UpdateSource,
    ) {
        self.apply_wire_record(now, wire, source, &mut PendingCorrections::default());
    }

    pub(super) fn apply_imported_record(&mut self, now: Duration, record: &MemberRecord) {
        self.apply_record(
            now,
            record,
            UpdateSource::Sync,
            &mut PendingCorrections::default(),
        );
    }

    fn apply_record(
        &mut self,
        now: Duration,
        incoming: &MemberRecord,
        source: UpdateSource,
        corrections: &mut PendingCorrections,
    ) {
        if incoming.node == self.own_node {
            self.apply_own_record(now, incoming, corrections);
            return;
        }
        let Some(known) = self.members.get(&incoming.node) else {
            let change = RecordChange {
                is_announcement_changed: true,
                is_health_changed: true,
            };
            self.store_update(now, incoming.clone(), change, source);
            return;
        };
        if incoming.incarnation < known.incarnation {
            corrections.outdated_nodes.push(incoming.node.clone());
            return;
        }
        let mut merged = known.clone();
        let change = merged.merge(incoming);
        if change.is_changed() {
            self.store_update(now, merged, change, source);
        } else {
            self.add_received_copy(&incoming.node);
        }
    }

    fn apply_own_record(
        &mut self,
        now: Duration,
        incoming: &MemberRecord,
        corrections: &mut PendingCorrections,
    ) {
        let own = self.own_record();
        if incoming.incarnation > own.incarnation {
            self.is_superseded = true;
            self.notify(MembershipEvent::Superseded);
        } else if incoming.incarnation < own.incarnation {
            corrections.outdated_nodes.push(incoming.node.clone());
        } else {
            self.refute(now, incoming.health, corrections);
        }
    }

    fn apply_status(
        &mut self,
        now: Duration,
        key: MemberKey,
        status: u32,
        corrections: &mut PendingCorrections,
    ) {
        let Ok((health, is_leaving)) = decode_status(status) else {
            self.counters.malformed += 1;
            return;
        };
        if key == self.own_key {
            self.refute(now, health, corrections);
            return;
        }
        let Some(known) = self
            .node_by_key
            .get(&key)
            .and_then(|node| self.members.get(node))
        else {
            return;
        };
        let node = known.node.clone();
        let mut merged = known.clone();
        if merged.merge_status(health, is_leaving) {
            let change = RecordChange {
                is_announcement_changed: false,
                is_health_changed: true,
            };
            self.store_update(now, merged, change, UpdateSource::Gossip);
        } else {
            self.add_received_copy(&node);
        }
    }

    fn store_update(
        &mut self,
        now: Duration,
        record: MemberRecord,
        change: RecordChange,
        source: UpdateSource,
    ) {
        let node = record.node.clone();
        let verdict = record.health.verdict;
        self.store_record(record, change);
        self.suspicions.update_verdict(now, &node, verdict);
        if source == UpdateSource::Gossip {
            self.enqueue(&node, change);
        }
    }

    /// Refutes a suspicion or death of this process with a higher refutation count.
    fn refute(
        &mut self,
        now: Duration,
        health: MemberHealth,
        corrections: &mut PendingCorrections,
    ) {
        if health.verdict != HealthVerdict::Alive {
            corrections.is_self_suspected = true;
        }
        let own = self.own_record().health;
        if health <= own {
            return;
        }
        self.counters.refutations += 1;
        self.update_own_record(|record| {
            record.health = MemberHealth {
                refutation_count: health.refutation_count + 1,
                verdict: HealthVerdict::Alive,
            };
            RecordChange {
                is_announcement_changed: false,
                is_health_changed: true,
            }
        });
        self.next_gossip_at = now;
    }
}
