//! Comparison of digests over TCP, on joining and when two nodes differ.
//!
//! The key space is cut into parts with a fingerprint each. The asked node
//! sends the records of the parts that differ, a few kilobytes at a time, so
//! that a fresh node takes in the whole fleet at a bounded rate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::action::MembershipAction;
use super::message::{SyncReply, SyncRequest, WireRecord};
use super::receive::NewsSource;
use super::record::{MemberKey, MemberRecord};
use super::state::MembershipState;

/// Parts of the key space.
const PART_COUNT: usize = 64;
/// Bits of a key behind those that name its part.
const PART_SHIFT: u32 = 64 - PART_COUNT.trailing_zeros();
/// Bytes of records after which a reply ends, at a part's end.
const REPLY_BYTES: usize = 6 * 1024;
/// Time between two requests of one comparison.
const PAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time that two nodes must differ, with no news under way, before one asks.
const MISMATCH_DELAY: Duration = Duration::from_secs(5);
/// Time between two comparisons.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Time until another node is asked while this one knows nobody.
const JOIN_RETRY: Duration = Duration::from_secs(1);
/// Seeds that are pinged at once on joining.
const JOIN_PINGS: usize = 3;

/// Comparison under way.
#[derive(Debug, Clone, Copy)]
struct SyncCursor {
    peer: SocketAddr,
    part: u32,
    due: Duration,
    is_waiting: bool,
}

/// Where this node stands with comparing digests.
#[derive(Debug, Default)]
pub struct SyncProgress {
    cursor: Option<SyncCursor>,
    mismatch_since: Option<Duration>,
    last_fingerprint: u64,
    idle_until: Duration,
    seed_cursor: usize,
}

impl MembershipState {
    /// Starts to join by way of nodes at the given peer addresses.
    ///
    /// The addresses stay known: one that no live member has is tried again
    /// and again, so that two halves of a fleet find each other.
    pub fn join(&mut self, now: Duration, addresses: &[SocketAddr]) -> Vec<MembershipAction> {
        let own_address = self.own_record().peer_address;
        for address in addresses {
            if *address != own_address && !self.seeds.contains(address) {
                self.seeds.push(*address);
            }
        }
        let first: Vec<SocketAddr> = self.seeds.iter().copied().take(JOIN_PINGS).collect();
        for seed in first {
            self.ping_seed(now, seed);
        }
        self.sync_with_seed(now);
        self.tick_sync(now);
        self.take_actions()
    }

    fn sync_with_seed(&mut self, now: Duration) {
        if self.seeds.is_empty() || self.sync.cursor.is_some() {
            return;
        }
        let seed = self.seeds[self.sync.seed_cursor % self.seeds.len()];
        self.sync.seed_cursor += 1;
        self.start_sync(now, seed);
    }

    fn start_sync(&mut self, now: Duration, peer: SocketAddr) {
        self.sync.mismatch_since = None;
        self.sync.cursor = Some(SyncCursor {
            peer,
            part: 0,
            due: now,
            is_waiting: false,
        });
    }

    pub(super) fn tick_sync(&mut self, now: Duration) {
        let is_alone = self.members.len() == 1;
        if is_alone && now >= self.sync.idle_until {
            self.sync_with_seed(now);
        }
        let Some(cursor) = &mut self.sync.cursor else {
            return;
        };
        if cursor.is_waiting || now < cursor.due {
            return;
        }
        cursor.is_waiting = true;
        let (peer, part) = (cursor.peer, cursor.part);
        let request = self.sync_request(part);
        self.counters.sync_bytes_sent += request.len() as u64;
        self.actions
            .push(MembershipAction::RequestSync { peer, request });
    }

    fn sync_request(&self, first_part: u32) -> Bytes {
        let request = SyncRequest {
            digests: self.digests().to_vec(),
            first_part,
            own: Some(WireRecord::from(self.own_record())),
        };
        Bytes::from(request.encode_to_vec())
    }

    fn digests(&self) -> [u64; PART_COUNT] {
        let mut digests = [0; PART_COUNT];
        for record in self.members.values().filter(|record| record.is_live()) {
            digests[part_of(record.key())] ^= record.fingerprint();
        }
        digests
    }

    /// Answers a request of another node to compare digests.
    pub fn handle_sync(&mut self, now: Duration, request: &Bytes) -> Bytes {
        self.counters.sync_bytes_received += request.len() as u64;
        let Ok(request) = SyncRequest::decode(request.clone()) else {
            self.counters.malformed += 1;
            return Bytes::new();
        };
        if let Some(own) = request.own {
            self.take_record(now, own, NewsSource::Gossip);
        }
        let reply = self.sync_reply(&request.digests, request.first_part as usize);
        let reply = Bytes::from(reply.encode_to_vec());
        self.counters.sync_bytes_sent += reply.len() as u64;
        reply
    }

    fn sync_reply(&self, theirs: &[u64], first_part: usize) -> SyncReply {
        let ours = self.digests();
        let mut parts: Vec<Vec<&MemberRecord>> = vec![Vec::new(); PART_COUNT];
        for record in self.members.values() {
            parts[part_of(record.key())].push(record);
        }
        let mut reply = SyncReply::default();
        let mut size = 0;
        for part in first_part..PART_COUNT {
            if theirs.get(part) == Some(&ours[part]) {
                continue;
            }
            if size >= REPLY_BYTES {
                reply.next_part = part as u32;
                break;
            }
            for record in &parts[part] {
                let wire = WireRecord::from(*record);
                size += wire.encoded_len();
                reply.records.push(wire);
            }
        }
        reply
    }

    /// Takes the reply to a [`MembershipAction::RequestSync`].
    pub fn on_sync_reply(&mut self, now: Duration, reply: &Bytes) -> Vec<MembershipAction> {
        self.counters.sync_bytes_received += reply.len() as u64;
        let Ok(reply) = SyncReply::decode(reply.clone()) else {
            self.counters.malformed += 1;
            return self.on_sync_failure(now);
        };
        for wire in reply.records {
            self.take_record(now, wire, NewsSource::Sync);
        }
        if reply.next_part == 0 {
            self.end_sync(now + SYNC_INTERVAL);
        } else if let Some(cursor) = &mut self.sync.cursor {
            cursor.part = reply.next_part;
            cursor.due = now + PAGE_INTERVAL;
            cursor.is_waiting = false;
        }
        self.take_actions()
    }

    /// Takes note that a [`MembershipAction::RequestSync`] got no reply.
    pub fn on_sync_failure(&mut self, now: Duration) -> Vec<MembershipAction> {
        self.end_sync(now + JOIN_RETRY);
        self.take_actions()
    }

    fn end_sync(&mut self, idle_until: Duration) {
        self.sync.cursor = None;
        self.sync.idle_until = idle_until;
        self.sync.mismatch_since = None;
    }

    /// Compares a peer's fingerprint with the own one.
    pub(super) fn note_fingerprint(&mut self, now: Duration, peer: SocketAddr, fingerprint: u64) {
        let is_settled = self.fingerprint == self.sync.last_fingerprint && self.queue.is_empty();
        self.sync.last_fingerprint = self.fingerprint;
        if !is_settled || fingerprint == self.fingerprint {
            self.sync.mismatch_since = None;
            return;
        }
        let since = *self.sync.mismatch_since.get_or_insert(now);
        let is_due = now >= since + MISMATCH_DELAY && now >= self.sync.idle_until;
        if is_due && self.sync.cursor.is_none() {
            self.start_sync(now, peer);
        }
    }
}

fn part_of(key: MemberKey) -> usize {
    (key.0 >> PART_SHIFT) as usize
}
