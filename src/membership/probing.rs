//! Failure detection by direct and indirect probes, and reconnection to dead
//! members and missing seeds.
//!
//! In each period a node pings one finger, alternating between the ring of its
//! own availability zone and the ring of all members. An unanswered ping is
//! resent, other members are asked to ping the target as well, and only then
//! does the target become suspect. A suspect is pinged in every period so that
//! it can refute. Dead members and seeds are pinged occasionally, so that the two
//! sides of a healed network partition find each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::DatagramKind;
use super::record::{HealthVerdict, MemberKey, MemberRecord};
use super::state::MembershipState;

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time until an unanswered ping is resent; the first resend also starts indirect probes.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Resends of one ping.
const MAX_RESENDS: u32 = 2;
/// Members that are asked to ping a target that doesn't answer.
const INDIRECT_PROBE_COUNT: usize = 3;
/// Time until an unanswered probe makes its target suspect.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two attempts to reach a dead member and a missing seed.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two ticks from which this process itself is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Probe {
    target: MemberKey,
    deadline: Duration,
    next_resend_at: Duration,
    resend_count: u32,
}

#[derive(Debug)]
struct RelayedPing {
    requester: SocketAddr,
    requester_sequence: u32,
    target: MemberKey,
    deadline: Duration,
}

/// Probes in progress: own ones by sequence number, and pings relayed for other members.
#[derive(Debug)]
pub struct ProbeTable {
    pending: BTreeMap<u32, Probe>,
    relayed_pings: BTreeMap<u32, RelayedPing>,
    last_sequence: u32,
    round: u32,
    next_probe_at: Duration,
    next_reconnect_at: Duration,
    last_retried_key: MemberKey,
    seed_index: usize,
}

impl ProbeTable {
    /// Empty table; the first probe is due after a delay derived from the key.
    pub fn new(now: Duration, own_key: MemberKey) -> Self {
        // Keeps nodes that start together from probing at the same moments.
        let initial_delay = PROBE_PERIOD.mul_f64(f64::from(own_key.0 as u16) / f64::from(u16::MAX));
        Self {
            pending: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            last_sequence: 0,
            round: 0,
            next_probe_at: now + initial_delay,
            next_reconnect_at: now + initial_delay + RECONNECT_INTERVAL,
            last_retried_key: own_key,
            seed_index: 0,
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}

impl MembershipState {
    /// Drops probes and extends suspicions if this process was paused.
    ///
    /// Answers that are missing after a pause say nothing about other members.
    pub(super) fn discard_probes_after_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick_at);
        if pause < PAUSE_THRESHOLD {
            return;
        }
        self.probes.pending.clear();
        self.probes.relayed_pings.clear();
        self.suspicions.extend_deadlines(pause);
    }

    pub(super) fn tick_probes(&mut self, now: Duration) {
        self.probes
            .relayed_pings
            .retain(|_, ping| ping.deadline > now);
        self.advance_probes(now);
        if now >= self.probes.next_probe_at {
            self.probes.next_probe_at = now + PROBE_PERIOD;
            self.start_probe(now);
            self.ping_suspects(now);
        }
        if now >= self.probes.next_reconnect_at {
            self.probes.next_reconnect_at = now + RECONNECT_INTERVAL;
            self.ping_next_dead_member(now);
            self.ping_next_missing_seed(now);
        }
    }

    fn advance_probes(&mut self, now: Duration) {
        let mut timed_out = Vec::new();
        let mut to_resend = Vec::new();
        for (sequence, probe) in &mut self.probes.pending {
            if now >= probe.deadline {
                timed_out.push((*sequence, probe.target));
            } else if now >= probe.next_resend_at && probe.resend_count < MAX_RESENDS {
                probe.resend_count += 1;
                probe.next_resend_at = now + RESEND_INTERVAL;
                to_resend.push((*sequence, probe.target, probe.resend_count));
            }
        }
        for (sequence, target, resend_count) in to_resend {
            self.send_ping(now, sequence, target);
            if resend_count == 1 {
                self.send_ping_requests(now, sequence, target);
            }
        }
        for (sequence, target) in timed_out {
            self.probes.pending.remove(&sequence);
            self.suspect_member(now, target);
        }
    }

    fn start_probe(&mut self, now: Duration) {
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let sequence = self.probes.next_sequence();
        let probe = Probe {
            target,
            deadline: now + PROBE_TIMEOUT,
            next_resend_at: now + RESEND_INTERVAL,
            resend_count: 0,
        };
        self.probes.pending.insert(sequence, probe);
        self.send_ping(now, sequence, target);
    }

    fn next_probe_target(&mut self) -> Option<MemberKey> {
        self.probes.round = self.probes.round.wrapping_add(1);
        let is_zone_round = self.probes.round.is_multiple_of(2);
        let zone_finger = if is_zone_round {
            self.zone_ring.next_finger()
        } else {
            None
        };
        zone_finger.or_else(|| self.ring.next_finger())
    }

    fn send_ping(&mut self, now: Duration, sequence: u32, target: MemberKey) {
        let Some(node) = self.node_by_key.get(&target).cloned() else {
            return;
        };
        let Some(record) = self.members.get(&node) else {
            return;
        };
        let to = record.peer_address;
        let is_suspect_or_dead = record.health.verdict != HealthVerdict::Alive;
        let mut datagram = self.new_datagram(now, DatagramKind::Ping, sequence);
        datagram.target_key = target.0;
        if is_suspect_or_dead {
            self.add_status(&mut datagram, &node);
        }
        self.send_with_updates(now, to, datagram);
    }

    fn send_ping_requests(&mut self, now: Duration, sequence: u32, target: MemberKey) {
        for _ in 0..INDIRECT_PROBE_COUNT {
            let Some(intermediary) = self.ring.next_finger() else {
                return;
            };
            if intermediary == target {
                continue;
            }
            if let Some(to) = self.address_of(intermediary) {
                let mut datagram = self.new_datagram(now, DatagramKind::PingRequest, sequence);
                datagram.target_key = target.0;
                self.send_with_updates(now, to, datagram);
            }
        }
    }

    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Duration,
        requester: SocketAddr,
        sequence: u32,
        target: MemberKey,
    ) {
        let own_sequence = self.probes.next_sequence();
        let relayed_ping = RelayedPing {
            requester,
            requester_sequence: sequence,
            target,
            deadline: now + PROBE_TIMEOUT,
        };
        self.probes.relayed_pings.insert(own_sequence, relayed_ping);
        self.send_ping(now, own_sequence, target);
    }

    /// Handles an acknowledgement, which shows that the member `acked_key` is alive.
    ///
    /// If the ping was relayed, the acknowledgement is passed on to its requester.
    pub(super) fn complete_probe(&mut self, now: Duration, sequence: u32, acked_key: MemberKey) {
        let is_match = |probe: &Probe| probe.target == acked_key;
        if self.probes.pending.get(&sequence).is_some_and(is_match) {
            self.probes.pending.remove(&sequence);
        }
        let is_relayed = |ping: &RelayedPing| ping.target == acked_key;
        if !self
            .probes
            .relayed_pings
            .get(&sequence)
            .is_some_and(is_relayed)
        {
            return;
        }
        if let Some(relayed_ping) = self.probes.relayed_pings.remove(&sequence) {
            let sequence = relayed_ping.requester_sequence;
            let mut datagram = self.new_datagram(now, DatagramKind::Ack, sequence);
            datagram.target_key = acked_key.0;
            if let Some(node) = self.node_by_key.get(&acked_key).cloned() {
                self.add_status(&mut datagram, &node);
            }
            self.send_with_updates(now, relayed_ping.requester, datagram);
        }
    }

    fn ping_suspects(&mut self, now: Duration) {
        let suspects = self.suspicions.local_suspects();
        for node in suspects {
            if let Some(key) = self.members.get(&node).map(MemberRecord::key) {
                let sequence = self.probes.next_sequence();
                self.send_ping(now, sequence, key);
            }
        }
    }

    fn ping_next_dead_member(&mut self, now: Duration) {
        self.remove_expired_members(now);
        let Some(key) = self.next_failed_key(self.probes.last_retried_key) else {
            return;
        };
        self.probes.last_retried_key = key;
        let sequence = self.probes.next_sequence();
        self.send_ping(now, sequence, key);
    }

    /// Key of the next failed member on the ring after the given key.
    ///
    /// Each node starts at its own key, so that not all nodes ping the same
    /// member when a region recovers.
    fn next_failed_key(&self, after: MemberKey) -> Option<MemberKey> {
        let dead = self.suspicions.dead_nodes();
        let records = dead.filter_map(|node| self.members.get(node));
        let failed = records.filter(|record| !record.is_leaving);
        let keys = failed.map(MemberRecord::key);
        // Keys after the given one sort before those that wrap around.
        keys.min_by_key(|key| (*key <= after, *key))
    }

    fn ping_next_missing_seed(&mut self, now: Duration) {
        if self.seeds.is_empty() {
            return;
        }
        self.probes.seed_index = (self.probes.seed_index + 1) % self.seeds.len();
        let seed = self.seeds[self.probes.seed_index];
        let mut live = self.members.values().filter(|record| record.is_live());
        if !live.any(|record| record.peer_address == seed) {
            self.ping_seed(now, seed);
        }
    }

    /// Pings an address at which no member is known, with the own record.
    pub(super) fn ping_seed(&mut self, now: Duration, seed: SocketAddr) {
        let sequence = self.probes.next_sequence();
        let mut datagram = self.new_datagram(now, DatagramKind::Ping, sequence);
        self.add_record(&mut datagram, &self.own_node.clone());
        self.send_with_updates(now, seed, datagram);
    }
}
