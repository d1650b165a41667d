//! Gossip: filling datagrams with queued updates and choosing their receivers,
//! within the byte budget.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::action::MembershipAction;
use super::message::{Datagram, DatagramKind, WireRecord, encode_status};
use super::queue::UpdatePriority;
use super::record::{HealthVerdict, MemberKey};
use super::state::MembershipState;
use crate::ids::NodeId;

/// IPv4 and UDP headers of a datagram, in bytes.
pub(super) const DATAGRAM_HEADER_BYTES: usize = 28;
/// Payload size up to which updates are added to a datagram.
const MAX_PAYLOAD_BYTES: usize = 300;
/// Encoded size reserved for one status and its key.
const STATUS_BYTES: usize = 11;
/// Encoded size reserved for the tags and lengths of repeated fields.
const LIST_OVERHEAD_BYTES: usize = 6;
/// Queued updates that are considered for one datagram.
const MAX_SCANNED_UPDATES: usize = 48;
/// Time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Receivers in each gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Copies of an update in addition to one for each finger.
const EXTRA_COPIES: u32 = 2;

impl MembershipState {
    /// Copies of an update, sent and received, after which this node drops it.
    pub(super) fn copy_limit(&self) -> u32 {
        self.ring.finger_count() + EXTRA_COPIES
    }

    /// Counts a received copy of an update that this node already knows.
    pub(super) fn add_received_copy(&mut self, node: &NodeId) {
        let limit = self.copy_limit();
        self.queue.add_received_copy(node, limit);
    }

    /// Datagram of the own node without updates.
    pub(super) fn new_datagram(
        &self,
        now: Duration,
        kind: DatagramKind,
        sequence: u32,
    ) -> Datagram {
        Datagram {
            sender_key: self.own_key.0,
            kind: kind.into(),
            sequence,
            target_key: 0,
            head_version: self.head_version,
            fingerprint: self.fingerprint,
            status_keys: Vec::new(),
            statuses: Vec::new(),
            records: Vec::new(),
            is_sender_unknown: false,
            evacuated_zones: self.wire_evacuated_zones.clone(),
            confirmation: self.wire_confirmation(now),
        }
    }

    /// Adds the status of one member, whether or not an update of it is queued.
    pub(super) fn add_status(&self, datagram: &mut Datagram, node: &NodeId) {
        if let Some(record) = self.members.get(node) {
            datagram.status_keys.push(record.key().0);
            datagram
                .statuses
                .push(encode_status(record.health, record.is_leaving));
        }
    }

    /// Adds the full record of one member.
    pub(super) fn add_record(&self, datagram: &mut Datagram, node: &NodeId) {
        if let Some(record) = self.members.get(node) {
            datagram.records.push(WireRecord::from(record));
        }
    }

    /// Sends a datagram regardless of the byte budget, with as many updates as the
    /// budget allows.
    pub(super) fn send_with_updates(
        &mut self,
        now: Duration,
        to: SocketAddr,
        mut datagram: Datagram,
    ) {
        let available_bytes = self
            .bucket
            .available_bytes(now)
            .saturating_sub(DATAGRAM_HEADER_BYTES);
        let limit = available_bytes.min(MAX_PAYLOAD_BYTES + self.evacuated_zones_bytes());
        let included_nodes = self.add_updates(&mut datagram, limit, UpdatePriority::Other);
        self.count_sent(&included_nodes);
        self.send(now, to, &datagram);
    }

    pub(super) fn send(&mut self, now: Duration, to: SocketAddr, datagram: &Datagram) {
        let payload = Bytes::from(datagram.encode_to_vec());
        let size = payload.len() + DATAGRAM_HEADER_BYTES;
        self.bucket.charge(now, size);
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += size as u64;
        self.actions
            .push(MembershipAction::SendDatagram { to, payload });
    }

    /// Adds updates of `lowest_priority` and above up to `limit` bytes, and returns
    /// their nodes.
    fn add_updates(
        &self,
        datagram: &mut Datagram,
        limit: usize,
        lowest_priority: UpdatePriority,
    ) -> Vec<NodeId> {
        let used_bytes = datagram.encoded_len() + LIST_OVERHEAD_BYTES;
        let mut remaining_bytes = limit.saturating_sub(used_bytes);
        let mut included_nodes = Vec::new();
        for update in self.queue.iter().take(MAX_SCANNED_UPDATES) {
            if remaining_bytes < STATUS_BYTES || update.priority > lowest_priority {
                break;
            }
            if update.is_full_record {
                let Some(record) = self.members.get(update.node) else {
                    continue;
                };
                let wire = WireRecord::from(record);
                let size = wire.encoded_len() + LIST_OVERHEAD_BYTES;
                if size > remaining_bytes {
                    continue;
                }
                remaining_bytes -= size;
                datagram.records.push(wire);
            } else {
                remaining_bytes -= STATUS_BYTES;
                self.add_status(datagram, update.node);
            }
            included_nodes.push(update.node.clone());
        }
        included_nodes
    }

    fn count_sent(&mut self, nodes: &[NodeId]) {
        let limit = self.copy_limit();
        for node in nodes {
            self.queue.add_sent_copies(node, 1, limit);
        }
    }

    /// Starts a gossip round without waiting for the next tick.
    pub(super) fn gossip_now(&mut self, now: Duration) -> Vec<MembershipAction> {
        self.next_gossip_at = now;
        self.tick_gossip(now);
        self.take_actions()
    }

    pub(super) fn tick_gossip(&mut self, now: Duration) {
        if now < self.next_gossip_at || self.is_superseded {
            return;
        }
        self.next_gossip_at = now + GOSSIP_INTERVAL;
        for _ in 0..GOSSIP_FANOUT {
            if self.queue.is_empty() && self.head_copies_left == 0 {
                return;
            }
            let Some(to) = self.next_gossip_address() else {
                return;
            };
            if !self.send_gossip(now, to) {
                self.counters.deferrals += 1;
                return;
            }
        }
    }

    /// Address of the next finger that is alive; suspects get updates with pings.
    fn next_gossip_address(&mut self) -> Option<SocketAddr> {
        for _ in 0..self.ring.finger_count() {
            let finger = self.ring.next_finger()?;
            let record = self
                .node_by_key
                .get(&finger)
                .and_then(|node| self.members.get(node));
            if let Some(record) =
                record.filter(|record| record.health.verdict == HealthVerdict::Alive)
            {
                return Some(record.peer_address);
            }
        }
        None
    }

    pub(super) fn address_of(&self, key: MemberKey) -> Option<SocketAddr> {
        let node = self.node_by_key.get(&key)?;
        self.members.get(node).map(|record| record.peer_address)
    }

    /// Sends one datagram of updates; returns false if the byte budget is too low.
    ///
    /// A datagram waits until the budget covers it with as many updates as fit:
    /// with many small datagrams, headers would use up the budget. Urgent updates
    /// and a new head version don't wait, but go out without the other updates.
    fn send_gossip(&mut self, now: Duration, to: SocketAddr) -> bool {
        let available_bytes = self.bucket.available_bytes(now);
        if self.send_gossip_up_to(now, to, UpdatePriority::Other, available_bytes) {
            return true;
        }
        let available_bytes = self.bucket.available_urgent_bytes(now);
        let is_urgent = self.queue.has_urgent() || self.head_copies_left > 0;
        is_urgent && self.send_gossip_up_to(now, to, UpdatePriority::Leaving, available_bytes)
    }

    fn send_gossip_up_to(
        &mut self,
        now: Duration,
        to: SocketAddr,
        lowest_priority: UpdatePriority,
        available_bytes: usize,
    ) -> bool {
        let mut datagram = self.new_datagram(now, DatagramKind::Gossip, 0);
        let limit = MAX_PAYLOAD_BYTES + self.evacuated_zones_bytes();
        let included_nodes = self.add_updates(&mut datagram, limit, lowest_priority);
        if datagram.encoded_len() + DATAGRAM_HEADER_BYTES > available_bytes {
            return false;
        }
        self.count_sent(&included_nodes);
        self.head_copies_left = self.head_copies_left.saturating_sub(1);
        self.send(now, to, &datagram);
        true
    }
}
