//! Comparison of digests over TCP, on joining and when two nodes differ.
//!
//! The key space is cut into parts with a fingerprint each. The asked node
//! sends the records of the parts that differ, page by page. A node that joins
//! fetches its own availability zone first, then everything, each page from
//! another member. Pages are charged to the byte bucket at both ends, and a
//! node whose bucket is overdrawn answers with an empty one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::action::MembershipAction;
use super::message::{SyncReply, SyncRequest, WireRecord};
use super::packing::unpack_names;
use super::receive::NewsSource;
use super::record::MemberKey;
use super::state::MembershipState;

/// Parts of the key space.
const PART_COUNT: usize = 64;
/// Bits of a key behind those that name its part.
const PART_SHIFT: u32 = 64 - PART_COUNT.trailing_zeros();
/// Bytes of records in a page while joining, before names are packed.
pub(super) const JOIN_PAGE_BYTES: u32 = 3_500;
/// Bytes of records in a page of later comparisons, before names are packed.
const REPAIR_PAGE_BYTES: u32 = 1_024;
/// Time between two pages while joining; the byte bucket bounds their number.
const JOIN_PAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two pages of later comparisons.
const PAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time until a page is asked for again after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Headers and handshake of one exchange, each way, in bytes.
const EXCHANGE_BYTES: usize = 250;
/// Time that two nodes must differ, with no news under way, before one asks.
const MISMATCH_DELAY: Duration = Duration::from_secs(5);
/// Time between two comparisons.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Time after joining in which a node compares more often, as others that join
/// at the same time may not have been known to the node that it asked.
const SETTLING_TIME: Duration = Duration::from_secs(60);
/// Delay and time between comparisons while settling.
const SETTLING_INTERVAL: Duration = Duration::from_secs(2);
/// Time after joining in which a node compares with each peer that differs: where
/// all nodes have started together, the one that it asked knew hardly any.
const MEETING_TIME: Duration = Duration::from_secs(4);
/// Time between two comparisons meanwhile.
const MEETING_INTERVAL: Duration = Duration::from_millis(400);
/// Seeds that are remembered.
const MAX_SEEDS: usize = 64;
/// Seeds that are pinged at once on joining.
const JOIN_PINGS: usize = 3;

/// Comparison under way.
#[derive(Debug, Clone, Copy)]
struct SyncCursor {
    peer: SocketAddr,
    first_key: u64,
    due: Duration,
    is_waiting: bool,
    is_own_zone: bool,
}

/// Where this node stands with comparing digests.
#[derive(Debug, Default)]
pub struct SyncProgress {
    cursor: Option<SyncCursor>,
    pub(super) has_joined: bool,
    mismatch_since: Option<Duration>,
    backoff: Duration,
    idle_until: Duration,
    settled_at: Duration,
    met_at: Duration,
    seed_cursor: usize,
    pub(super) next_spare_page: Duration,
}

impl SyncProgress {
    fn page_bytes(&self, now: Duration) -> u32 {
        if self.has_joined && !self.is_meeting(now) {
            REPAIR_PAGE_BYTES
        } else {
            JOIN_PAGE_BYTES
        }
    }

    fn is_meeting(&self, now: Duration) -> bool {
        now < self.met_at
    }

    fn page_interval(&self, now: Duration) -> Duration {
        if self.has_joined && !self.is_meeting(now) {
            PAGE_INTERVAL
        } else {
            JOIN_PAGE_INTERVAL
        }
    }

    /// The given time, or a shorter one while settling.
    fn when_settled(&self, now: Duration, interval: Duration) -> Duration {
        if self.is_meeting(now) {
            MEETING_INTERVAL
        } else if now < self.settled_at {
            SETTLING_INTERVAL
        } else {
            interval
        }
    }
}

impl MembershipState {
    /// Starts to join by way of nodes at the given peer addresses.
    ///
    /// The addresses stay known: one that no live member has is tried again
    /// and again, so that two halves of a fleet find each other.
    pub fn join(&mut self, now: Duration, addresses: &[SocketAddr]) -> Vec<MembershipAction> {
        let own_address = self.own_record().peer_address;
        for address in addresses {
            if *address != own_address {
                // The latest ones are the likeliest to answer.
                self.seeds.retain(|seed| seed != address);
                self.seeds.insert(0, *address);
            }
        }
        self.seeds.truncate(MAX_SEEDS);
        let first: Vec<SocketAddr> = self.seeds.iter().copied().take(JOIN_PINGS).collect();
        for seed in first {
            self.ping_seed(now, seed);
        }
        if self.sync.cursor.is_none()
            && let Some(peer) = self.next_page_source()
        {
            self.start_sync(now, peer);
        }
        self.tick_sync(now);
        self.take_actions()
    }

    /// Whether the members were fetched from another node since the start.
    pub fn has_joined(&self) -> bool {
        self.sync.has_joined
    }

    /// Member or, while nobody is known, seed to ask for the next page.
    fn next_page_source(&mut self) -> Option<SocketAddr> {
        let finger = self.ring.next_finger();
        if let Some(address) = finger.and_then(|finger| self.address_of(finger)) {
            return Some(address);
        }
        self.sync.seed_cursor += 1;
        let place = self.sync.seed_cursor.checked_rem(self.seeds.len())?;
        self.seeds.get(place).copied()
    }

    fn start_sync(&mut self, now: Duration, peer: SocketAddr) {
        self.sync.mismatch_since = None;
        self.sync.cursor = Some(SyncCursor {
            peer,
            first_key: 0,
            due: now,
            is_waiting: false,
            is_own_zone: !self.sync.has_joined,
        });
    }

    pub(super) fn tick_sync(&mut self, now: Duration) {
        let Some(cursor) = self.sync.cursor.as_mut() else {
            return;
        };
        if cursor.is_waiting || now < cursor.due {
            return;
        }
        if self.sync.has_joined && self.bucket.is_overdrawn(now) {
            return;
        }
        cursor.is_waiting = true;
        let cursor = *cursor;
        let request = Bytes::from(self.sync_request(now, cursor).encode_to_vec());
        self.count_sync_sent(now, request.len(), true);
        self.actions.push(MembershipAction::RequestSync {
            peer: cursor.peer,
            request,
        });
    }

    fn sync_request(&self, now: Duration, cursor: SyncCursor) -> SyncRequest {
        let digests = if self.sync.has_joined {
            self.digests().to_vec()
        } else {
            Vec::new()
        };
        let zone = if cursor.is_own_zone {
            self.own_zone.to_string()
        } else {
            String::new()
        };
        SyncRequest {
            digests,
            first_key: cursor.first_key,
            own: Some(WireRecord::from(self.own_record())),
            page_bytes: self.sync.page_bytes(now),
            zone,
        }
    }

    pub(super) fn count_sync_sent(&mut self, now: Duration, size: usize, is_charged: bool) {
        let size = size + EXCHANGE_BYTES;
        self.counters.sync_bytes_sent += size as u64;
        if is_charged {
            self.bucket.charge(now, size);
        }
    }

    pub(super) fn count_sync_received(&mut self, now: Duration, size: usize, is_charged: bool) {
        let size = size + EXCHANGE_BYTES;
        self.counters.sync_bytes_received += size as u64;
        if is_charged {
            self.bucket.charge(now, size);
        }
    }

    pub(super) fn digests(&self) -> [u64; PART_COUNT] {
        let mut digests = [0; PART_COUNT];
        for record in self.members.values().filter(|record| record.is_live()) {
            digests[part_of(record.key())] ^= record.fingerprint();
        }
        digests
    }

    /// Takes the reply to a [`MembershipAction::RequestSync`].
    pub fn on_sync_reply(&mut self, now: Duration, reply: &Bytes) -> Vec<MembershipAction> {
        self.count_sync_received(now, reply.len(), true);
        let Ok(reply) = SyncReply::decode(reply.clone()) else {
            self.counters.malformed += 1;
            return self.on_sync_failure(now);
        };
        let (next_key, is_refused) = (reply.next_key, reply.is_refused);
        for wire in unpack_names(reply) {
            self.take_record(now, wire, NewsSource::Sync);
        }
        match next_key {
            Some(next_key) if is_refused => self.back_off(now, next_key),
            Some(next_key) => self.turn_page(now, next_key),
            None => self.end_pass(now),
        }
        self.take_actions()
    }

    /// Goes on from the own zone to everything, or ends the comparison.
    fn end_pass(&mut self, now: Duration) {
        self.sync.backoff = Duration::ZERO;
        if let Some(cursor) = &mut self.sync.cursor
            && cursor.is_own_zone
        {
            cursor.is_own_zone = false;
            cursor.first_key = 0;
            cursor.due = now;
            cursor.is_waiting = false;
            return;
        }
        if !self.sync.has_joined {
            self.sync.settled_at = now + SETTLING_TIME;
            self.sync.met_at = now + MEETING_TIME;
        }
        self.sync.has_joined = true;
        self.end_sync(now);
    }

    fn back_off(&mut self, now: Duration, first_key: u64) {
        let backoff = self.sync.backoff.max(self.sync.page_interval(now));
        self.sync.backoff = (backoff * 2).min(MAX_BACKOFF);
        self.turn_page_at(now + backoff, first_key);
    }

    fn turn_page(&mut self, now: Duration, next_key: u64) {
        self.turn_page_at(now + self.sync.page_interval(now), next_key);
    }

    fn turn_page_at(&mut self, due: Duration, next_key: u64) {
        let source = if self.sync.has_joined {
            None
        } else {
            self.next_page_source()
        };
        if let Some(cursor) = &mut self.sync.cursor {
            cursor.peer = source.unwrap_or(cursor.peer);
            cursor.first_key = next_key;
            cursor.due = due;
            cursor.is_waiting = false;
        }
    }

    /// Takes note that a [`MembershipAction::RequestSync`] got no reply.
    pub fn on_sync_failure(&mut self, now: Duration) -> Vec<MembershipAction> {
        if self.sync.has_joined {
            self.end_sync(now);
        } else {
            let first_key = self.sync.cursor.map_or(0, |cursor| cursor.first_key);
            self.turn_page(now, first_key);
        }
        self.take_actions()
    }

    fn end_sync(&mut self, now: Duration) {
        self.sync.cursor = None;
        self.sync.idle_until = now + self.sync.when_settled(now, SYNC_INTERVAL);
        self.sync.mismatch_since = None;
    }

    /// Compares a peer's fingerprint with the own one.
    pub(super) fn note_fingerprint(&mut self, now: Duration, peer: SocketAddr, fingerprint: u64) {
        // News under way explains a difference, but not among nodes that all are new.
        let is_explained = !self.queue.is_empty() && !self.sync.is_meeting(now);
        if is_explained || fingerprint == self.fingerprint {
            self.sync.mismatch_since = None;
            return;
        }
        let since = *self.sync.mismatch_since.get_or_insert(now);
        let delay = if self.sync.is_meeting(now) {
            Duration::ZERO
        } else {
            self.sync.when_settled(now, MISMATCH_DELAY)
        };
        let is_due = now >= since + delay && now >= self.sync.idle_until;
        if is_due && self.sync.cursor.is_none() {
            self.start_sync(now, peer);
        }
    }
}

pub(super) fn part_of(key: MemberKey) -> usize {
    (key.0 >> PART_SHIFT) as usize
}
