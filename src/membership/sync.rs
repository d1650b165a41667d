//! Requester side of digest comparison (anti-entropy) over TCP, used for joining
//! and when two nodes differ.
//!
//! The key space is divided into partitions with a fingerprint each. The responder
//! sends the records of the partitions that differ, page by page. A joining node
//! fetches its own availability zone first and then all members, each page from
//! another member. Pages are charged to the byte budget of both nodes, and a
//! responder whose budget is overdrawn refuses the page.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::action::MembershipAction;
use super::message::{SyncReply, SyncRequest, WireRecord};
use super::packing::unpack_names;
use super::receive::UpdateSource;
use super::record::MemberKey;
use super::state::MembershipState;

/// Partitions of the key space.
const PARTITION_COUNT: usize = 64;
/// Low bits of a key that don't select its partition.
const PARTITION_SHIFT: u32 = 64 - PARTITION_COUNT.trailing_zeros();
/// Encoded size of the records in a page while joining, before names are packed.
pub(super) const JOIN_PAGE_BYTES: u32 = 3_500;
/// Encoded size of the records in a page after joining, before names are packed.
const REPAIR_PAGE_BYTES: u32 = 1_024;
/// Time between two pages while joining; the byte budget limits their number.
const JOIN_PAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two pages after joining.
const REPAIR_PAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Limit of the exponential backoff after refused pages.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// TCP handshake and headers of one exchange in each direction.
const EXCHANGE_OVERHEAD_BYTES: usize = 250;
/// Time for which two nodes must differ, with no updates queued, before one compares.
const MISMATCH_DELAY: Duration = Duration::from_secs(5);
/// Time between two comparisons.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Time after joining in which a node compares more often: the peer it joined
/// through may not have known nodes that joined at the same time.
const SETTLING_PERIOD: Duration = Duration::from_secs(60);
/// Mismatch delay and time between two comparisons in the settling period.
const SETTLING_SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Time after joining in which a node compares with every peer that differs: if
/// all nodes started together, the peer it joined through knew hardly any others.
const BOOTSTRAP_PERIOD: Duration = Duration::from_secs(4);
/// Time between two comparisons in the bootstrap period.
const BOOTSTRAP_SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Seed addresses that are kept, the latest first.
const MAX_SEEDS: usize = 64;
/// Seeds that are pinged immediately on joining.
const JOIN_PING_COUNT: usize = 3;

/// Comparison in progress with a peer.
#[derive(Debug, Clone, Copy)]
struct SyncSession {
    peer: SocketAddr,
    first_key: u64,
    due_at: Duration,
    is_reply_pending: bool,
    is_zone_pass: bool,
}

/// State of the requester side of digest comparison.
#[derive(Debug, Default)]
pub struct SyncState {
    session: Option<SyncSession>,
    pub(super) has_joined: bool,
    mismatch_since: Option<Duration>,
    backoff: Duration,
    next_sync_at: Duration,
    settling_until: Duration,
    bootstrap_until: Duration,
    seed_index: usize,
    pub(super) next_overdrawn_page_at: Duration,
}

impl SyncState {
    fn page_bytes(&self, now: Duration) -> u32 {
        if self.has_joined && !self.is_bootstrapping(now) {
            REPAIR_PAGE_BYTES
        } else {
            JOIN_PAGE_BYTES
        }
    }

    fn is_bootstrapping(&self, now: Duration) -> bool {
        now < self.bootstrap_until
    }

    fn page_interval(&self, now: Duration) -> Duration {
        if self.has_joined && !self.is_bootstrapping(now) {
            REPAIR_PAGE_INTERVAL
        } else {
            JOIN_PAGE_INTERVAL
        }
    }

    /// The given interval, or the shorter one of the bootstrap or settling period.
    fn phase_interval(&self, now: Duration, settled_interval: Duration) -> Duration {
        if self.is_bootstrapping(now) {
            BOOTSTRAP_SYNC_INTERVAL
        } else if now < self.settling_until {
            SETTLING_SYNC_INTERVAL
        } else {
            settled_interval
        }
    }
}

impl MembershipState {
    /// Joins the fleet through the nodes at the given peer addresses.
    ///
    /// The addresses are kept as seeds: one at which no live member is known is
    /// pinged periodically, so that the two sides of a network partition find
    /// each other.
    pub fn join(&mut self, now: Duration, addresses: &[SocketAddr]) -> Vec<MembershipAction> {
        let own_address = self.own_record().peer_address;
        for address in addresses {
            if *address != own_address {
                // The latest addresses are the most likely to answer.
                self.seeds.retain(|seed| seed != address);
                self.seeds.insert(0, *address);
            }
        }
        self.seeds.truncate(MAX_SEEDS);
        let seeds_to_ping: Vec<SocketAddr> =
            self.seeds.iter().copied().take(JOIN_PING_COUNT).collect();
        for seed in seeds_to_ping {
            self.ping_seed(now, seed);
        }
        if self.sync.session.is_none()
            && let Some(peer) = self.next_page_source()
        {
            self.start_session(now, peer);
        }
        self.tick_sync(now);
        self.take_actions()
    }

    /// Whether all members have been fetched or imported since the start.
    pub fn has_joined(&self) -> bool {
        self.sync.has_joined
    }

    /// Peer to request the next page from: the next finger, or a seed if no other
    /// member is known.
    fn next_page_source(&mut self) -> Option<SocketAddr> {
        let finger = self.ring.next_finger();
        if let Some(address) = finger.and_then(|finger| self.address_of(finger)) {
            return Some(address);
        }
        self.sync.seed_index += 1;
        let index = self.sync.seed_index.checked_rem(self.seeds.len())?;
        self.seeds.get(index).copied()
    }

    fn start_session(&mut self, now: Duration, peer: SocketAddr) {
        self.sync.mismatch_since = None;
        self.sync.session = Some(SyncSession {
            peer,
            first_key: 0,
            due_at: now,
            is_reply_pending: false,
            is_zone_pass: !self.sync.has_joined,
        });
    }

    pub(super) fn tick_sync(&mut self, now: Duration) {
        let Some(session) = self.sync.session.as_mut() else {
            return;
        };
        if session.is_reply_pending || now < session.due_at {
            return;
        }
        if self.sync.has_joined && self.bucket.is_overdrawn(now) {
            return;
        }
        session.is_reply_pending = true;
        let session = *session;
        let request = Bytes::from(self.sync_request(now, session).encode_to_vec());
        self.count_sync_sent(now, request.len(), true);
        self.actions.push(MembershipAction::RequestSync {
            peer: session.peer,
            request,
        });
    }

    fn sync_request(&self, now: Duration, session: SyncSession) -> SyncRequest {
        let digests = if self.sync.has_joined {
            self.digests().to_vec()
        } else {
            Vec::new()
        };
        let zone = if session.is_zone_pass {
            self.own_zone.to_string()
        } else {
            String::new()
        };
        SyncRequest {
            digests,
            first_key: session.first_key,
            requester: Some(WireRecord::from(self.own_record())),
            page_bytes: self.sync.page_bytes(now),
            zone,
        }
    }

    pub(super) fn count_sync_sent(&mut self, now: Duration, size: usize, is_charged: bool) {
        let size = size + EXCHANGE_OVERHEAD_BYTES;
        self.counters.sync_bytes_sent += size as u64;
        if is_charged {
            self.bucket.charge(now, size);
        }
    }

    pub(super) fn count_sync_received(&mut self, now: Duration, size: usize, is_charged: bool) {
        let size = size + EXCHANGE_OVERHEAD_BYTES;
        self.counters.sync_bytes_received += size as u64;
        if is_charged {
            self.bucket.charge(now, size);
        }
    }

    pub(super) fn digests(&self) -> [u64; PARTITION_COUNT] {
        let mut digests = [0; PARTITION_COUNT];
        for record in self.members.values().filter(|record| record.is_live()) {
            digests[partition_of(record.key())] ^= record.fingerprint();
        }
        digests
    }

    /// Handles the reply to a [`MembershipAction::RequestSync`].
    pub fn on_sync_reply(&mut self, now: Duration, reply: &Bytes) -> Vec<MembershipAction> {
        self.count_sync_received(now, reply.len(), true);
        let Ok(reply) = SyncReply::decode(reply.clone()) else {
            self.counters.malformed += 1;
            return self.on_sync_failure(now);
        };
        let (next_key, is_refused) = (reply.next_key, reply.is_refused);
        for wire in unpack_names(reply) {
            self.apply_sync_record(now, wire, UpdateSource::Sync);
        }
        match next_key {
            Some(next_key) if is_refused => self.schedule_retry(now, next_key),
            Some(next_key) => self.schedule_page(now, next_key),
            None => self.finish_pass(now),
        }
        self.take_actions()
    }

    /// Continues with all members after the own zone, or ends the comparison.
    fn finish_pass(&mut self, now: Duration) {
        self.sync.backoff = Duration::ZERO;
        if let Some(session) = &mut self.sync.session
            && session.is_zone_pass
        {
            session.is_zone_pass = false;
            session.first_key = 0;
            session.due_at = now;
            session.is_reply_pending = false;
            return;
        }
        if !self.sync.has_joined {
            self.sync.settling_until = now + SETTLING_PERIOD;
            self.sync.bootstrap_until = now + BOOTSTRAP_PERIOD;
        }
        self.sync.has_joined = true;
        self.finish_session(now);
    }

    fn schedule_retry(&mut self, now: Duration, first_key: u64) {
        let backoff = self.sync.backoff.max(self.sync.page_interval(now));
        self.sync.backoff = (backoff * 2).min(MAX_BACKOFF);
        self.schedule_page_at(now + backoff, first_key);
    }

    fn schedule_page(&mut self, now: Duration, next_key: u64) {
        self.schedule_page_at(now + self.sync.page_interval(now), next_key);
    }

    fn schedule_page_at(&mut self, due_at: Duration, next_key: u64) {
        let next_peer = if self.sync.has_joined {
            None
        } else {
            self.next_page_source()
        };
        if let Some(session) = &mut self.sync.session {
            session.peer = next_peer.unwrap_or(session.peer);
            session.first_key = next_key;
            session.due_at = due_at;
            session.is_reply_pending = false;
        }
    }

    /// Handles a [`MembershipAction::RequestSync`] without a reply.
    ///
    /// While joining, the page is requested from another peer.
    pub fn on_sync_failure(&mut self, now: Duration) -> Vec<MembershipAction> {
        if self.sync.has_joined {
            self.finish_session(now);
        } else {
            let first_key = self.sync.session.map_or(0, |session| session.first_key);
            self.schedule_page(now, first_key);
        }
        self.take_actions()
    }

    fn finish_session(&mut self, now: Duration) {
        self.sync.session = None;
        self.sync.next_sync_at = now + self.sync.phase_interval(now, SYNC_INTERVAL);
        self.sync.mismatch_since = None;
    }

    /// Starts a comparison with a peer whose fingerprint has differed for long enough.
    pub(super) fn compare_fingerprint(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        fingerprint: u64,
    ) {
        // Queued updates explain a difference, except among nodes that have all just started.
        let is_difference_expected = !self.queue.is_empty() && !self.sync.is_bootstrapping(now);
        if is_difference_expected || fingerprint == self.fingerprint {
            self.sync.mismatch_since = None;
            return;
        }
        let differing_since = *self.sync.mismatch_since.get_or_insert(now);
        let delay = if self.sync.is_bootstrapping(now) {
            Duration::ZERO
        } else {
            self.sync.phase_interval(now, MISMATCH_DELAY)
        };
        let is_due = now >= differing_since + delay && now >= self.sync.next_sync_at;
        if is_due && self.sync.session.is_none() {
            self.start_session(now, peer);
        }
    }
}

pub(super) fn partition_of(key: MemberKey) -> usize {
    (key.0 >> PARTITION_SHIFT) as usize
}
