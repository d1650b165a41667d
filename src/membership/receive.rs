//! Datagrams that come in, and what their updates change.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;

use super::action::{MembershipAction, MembershipEvent};
use super::message::{Datagram, DatagramKind, WireRecord, decode_mark};
use super::record::{HealthVerdict, MemberHealth, MemberKey, MemberRecord, RecordChange};
use super::spread::HEADER_BYTES;
use super::state::MembershipState;
use crate::ids::NodeId;

/// How news reached this node, which decides whether it is spread further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NewsSource {
    /// Spread from node to node.
    Gossip,
    /// Fetched; the others compare digests for themselves.
    Sync,
}

/// What must go into the reply to a datagram.
#[derive(Debug, Default)]
struct ReplyNotes {
    /// The sender holds this node to be suspect or dead.
    is_accused: bool,
    /// Nodes of which the sender has a superseded process.
    outdated: Vec<NodeId>,
}

impl MembershipState {
    /// Takes a datagram that came in from `from`.
    pub fn on_datagram(
        &mut self,
        now: Duration,
        from: SocketAddr,
        payload: &[u8],
    ) -> Vec<MembershipAction> {
        let size = payload.len() + HEADER_BYTES;
        self.bucket.charge(now, size);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += size as u64;
        if self.is_superseded {
            return Vec::new();
        }
        match Datagram::decode(payload) {
            Ok(datagram) => self.on_message(now, from, datagram),
            Err(_) => self.counters.malformed += 1,
        }
        self.take_actions()
    }

    fn on_message(&mut self, now: Duration, from: SocketAddr, mut datagram: Datagram) {
        let mut notes = ReplyNotes::default();
        for wire in std::mem::take(&mut datagram.records) {
            self.on_wire_record(now, wire, NewsSource::Gossip, &mut notes);
        }
        for (key, mark) in datagram.mark_keys.iter().zip(&datagram.marks) {
            self.on_mark(now, MemberKey(*key), *mark, &mut notes);
        }
        self.note_head(&datagram);
        self.note_fingerprint(now, from, datagram.fingerprint);
        match DatagramKind::try_from(datagram.kind) {
            Ok(DatagramKind::Ping) => self.answer_ping(now, from, &datagram, &notes),
            Ok(DatagramKind::Ack) => {
                self.take_ack(now, from, &datagram);
            }
            Ok(DatagramKind::PingRequest) => {
                let target = MemberKey(datagram.target);
                self.relay_ping(now, from, datagram.sequence, target);
            }
            Ok(DatagramKind::Gossip) => self.correct(now, from, &notes),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Tells a sender about the processes that it has missed the start of.
    fn correct(&mut self, now: Duration, from: SocketAddr, notes: &ReplyNotes) {
        if notes.outdated.is_empty() {
            return;
        }
        let mut correction = self.blank_datagram(DatagramKind::Gossip, 0);
        for node in &notes.outdated {
            self.add_record(&mut correction, node);
        }
        self.send_filled(now, from, correction);
    }

    fn answer_ping(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        notes: &ReplyNotes,
    ) {
        let mut reply = self.blank_datagram(DatagramKind::Ack, datagram.sequence);
        let sender = self.by_key.get(&MemberKey(datagram.from)).cloned();
        reply.is_sender_unknown = sender.is_none();
        if let Some(node) = &sender {
            let verdict = self.members.get(node).map(|record| record.health.verdict);
            if verdict.is_some_and(|verdict| verdict != HealthVerdict::Alive) {
                self.add_mark(&mut reply, node);
            }
        }
        if notes.is_accused {
            self.add_mark(&mut reply, &self.own.clone());
        }
        if datagram.target != self.own_key.0 {
            // The sender looks for an earlier process at this address, or for
            // anybody at all.
            self.add_record(&mut reply, &self.own.clone());
        }
        for node in &notes.outdated {
            self.add_record(&mut reply, node);
        }
        self.send_filled(now, from, reply);
    }

    fn take_ack(&mut self, now: Duration, from: SocketAddr, datagram: &Datagram) {
        let answered = match datagram.target {
            0 => datagram.from,
            target => target,
        };
        self.on_ack(now, datagram.sequence, MemberKey(answered));
        if datagram.is_sender_unknown {
            let mut introduction = self.blank_datagram(DatagramKind::Gossip, 0);
            self.add_record(&mut introduction, &self.own.clone());
            self.send_filled(now, from, introduction);
        }
    }

    fn note_head(&mut self, datagram: &Datagram) {
        let Some(node) = self.by_key.get(&MemberKey(datagram.from)) else {
            return;
        };
        let Some(record) = self.members.get_mut(node) else {
            return;
        };
        record.head_version = record.head_version.max(datagram.head_version);
        if datagram.head_version > self.head_version {
            let event = MembershipEvent::PeerHead {
                node: record.node.clone(),
                peer_address: record.peer_address,
                version: datagram.head_version,
            };
            self.notify(event);
        }
    }

    fn on_wire_record(
        &mut self,
        now: Duration,
        wire: WireRecord,
        source: NewsSource,
        notes: &mut ReplyNotes,
    ) {
        match MemberRecord::try_from(wire) {
            Ok(record) => self.on_record(now, &record, source, notes),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Takes a record that was fetched or that a fetching node sent along.
    pub(super) fn take_record(&mut self, now: Duration, wire: WireRecord, source: NewsSource) {
        self.on_wire_record(now, wire, source, &mut ReplyNotes::default());
    }

    pub(super) fn take_known_record(&mut self, now: Duration, record: &MemberRecord) {
        self.on_record(now, record, NewsSource::Sync, &mut ReplyNotes::default());
    }

    fn on_record(
        &mut self,
        now: Duration,
        incoming: &MemberRecord,
        source: NewsSource,
        notes: &mut ReplyNotes,
    ) {
        if incoming.node == self.own {
            self.on_own_record(now, incoming, notes);
            return;
        }
        let Some(known) = self.members.get(&incoming.node) else {
            let change = RecordChange {
                is_announcement: true,
                is_health: true,
            };
            self.accept(now, incoming.clone(), change, source);
            return;
        };
        if incoming.incarnation < known.incarnation {
            notes.outdated.push(incoming.node.clone());
            return;
        }
        let mut merged = known.clone();
        let change = merged.merge(incoming);
        if change.is_any() {
            self.accept(now, merged, change, source);
        } else {
            self.mark_heard(&incoming.node);
        }
    }

    fn on_own_record(&mut self, now: Duration, incoming: &MemberRecord, notes: &mut ReplyNotes) {
        let own = self.own_record();
        if incoming.incarnation > own.incarnation {
            self.is_superseded = true;
            self.notify(MembershipEvent::Superseded);
        } else if incoming.incarnation < own.incarnation {
            notes.outdated.push(incoming.node.clone());
        } else {
            self.refute(now, incoming.health, notes);
        }
    }

    fn on_mark(&mut self, now: Duration, key: MemberKey, mark: u32, notes: &mut ReplyNotes) {
        let Ok((health, is_leaving)) = decode_mark(mark) else {
            self.counters.malformed += 1;
            return;
        };
        if key == self.own_key {
            self.refute(now, health, notes);
            return;
        }
        let Some(known) = self
            .by_key
            .get(&key)
            .and_then(|node| self.members.get(node))
        else {
            return;
        };
        let node = known.node.clone();
        let mut merged = known.clone();
        if merged.merge_mark(health, is_leaving) {
            let change = RecordChange {
                is_announcement: false,
                is_health: true,
            };
            self.accept(now, merged, change, NewsSource::Gossip);
        } else {
            self.mark_heard(&node);
        }
    }

    fn accept(
        &mut self,
        now: Duration,
        record: MemberRecord,
        change: RecordChange,
        source: NewsSource,
    ) {
        let node = record.node.clone();
        let verdict = record.health.verdict;
        self.store_record(record, change);
        self.suspicions.follow(now, &node, verdict);
        if source == NewsSource::Gossip {
            self.enqueue(&node, change);
        }
    }

    /// Answers a verdict about this process by a higher count of refutations.
    fn refute(&mut self, now: Duration, health: MemberHealth, notes: &mut ReplyNotes) {
        if health.verdict != HealthVerdict::Alive {
            notes.is_accused = true;
        }
        let own = self.own_record().health;
        if health <= own {
            return;
        }
        self.counters.refutations += 1;
        self.update_own(|record| {
            record.health = MemberHealth {
                refutation: health.refutation + 1,
                verdict: HealthVerdict::Alive,
            };
            RecordChange {
                is_announcement: false,
                is_health: true,
            }
        });
        self.next_gossip = now;
    }
}
