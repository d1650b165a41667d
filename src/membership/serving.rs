//! Responder side of digest comparison: pages of records, or a refusal if the byte
//! budget is exhausted.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::message::{SyncReply, SyncRequest, WireRecord};
use super::packing::pack_names;
use super::receive::UpdateSource;
use super::record::{MemberKey, MemberRecord};
use super::state::MembershipState;
use super::sync::{JOIN_PAGE_BYTES, partition_of};

/// Minimum time between pages served while the bucket is overdrawn. These pages
/// let nodes join while there is much gossip.
const OVERDRAWN_PAGE_INTERVAL: Duration = Duration::from_secs(3);
/// Members that a refusal names, as other peers to ask.
const REFUSAL_MEMBER_COUNT: usize = 4;
/// Odd factor for multiplicative hashing; it spreads the incarnations of nodes
/// that started together over the key space.
const INCARNATION_HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

impl MembershipState {
    /// Handles an encoded `SyncRequest` and returns the encoded reply, empty if the
    /// request is malformed.
    pub fn handle_sync(&mut self, now: Duration, request: &Bytes) -> Bytes {
        let size = request.len();
        let Ok(request) = SyncRequest::decode(request.clone()) else {
            self.counters.malformed += 1;
            return Bytes::new();
        };
        if let Some(requester) = &request.requester {
            self.apply_sync_record(now, requester.clone(), UpdateSource::Gossip);
        }
        // Not charged while the bucket is overdrawn: otherwise many nodes joining
        // at once would keep this node from serving any of them.
        let is_overdrawn = self.bucket.is_overdrawn(now);
        let is_refused = is_overdrawn && now < self.sync.next_overdrawn_page_at;
        if !is_refused {
            self.sync.next_overdrawn_page_at = now + OVERDRAWN_PAGE_INTERVAL;
        }
        self.count_sync_received(now, size, !is_overdrawn);
        let reply = if is_refused {
            self.sync_refusal(&request)
        } else {
            self.sync_reply(&request)
        };
        let reply = Bytes::from(reply.encode_to_vec());
        self.count_sync_sent(now, reply.len(), !is_overdrawn);
        reply
    }

    /// Refusal with a few live members that the requester can ask instead.
    ///
    /// The requester's incarnation selects them, so that requesters are spread over
    /// the members.
    fn sync_refusal(&self, request: &SyncRequest) -> SyncReply {
        let requester_incarnation = request
            .requester
            .as_ref()
            .map_or(0, |requester| requester.incarnation);
        let start_key = MemberKey(requester_incarnation.wrapping_mul(INCARNATION_HASH_FACTOR));
        let candidates = self
            .node_by_key
            .range(start_key..)
            .chain(self.node_by_key.range(..start_key));
        let live = candidates
            .filter_map(|(_, node)| self.members.get(node).filter(|record| record.is_live()));
        let mut reply = SyncReply {
            records: live
                .take(REFUSAL_MEMBER_COUNT)
                .map(WireRecord::from)
                .collect(),
            next_key: Some(request.first_key),
            is_refused: true,
            names: Vec::new(),
        };
        pack_names(&mut reply);
        reply
    }

    fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        let own_digests = self.digests();
        let is_wanted = |key: MemberKey, record: &MemberRecord| {
            let partition = partition_of(key);
            let is_partition_equal =
                request.digests.get(partition) == Some(&own_digests[partition]);
            let is_zone_wanted = request.zone.is_empty() || record.zone.as_str() == request.zone;
            !is_partition_equal && is_zone_wanted
        };
        let mut reply = SyncReply::default();
        let mut remaining_bytes = request.page_bytes.min(JOIN_PAGE_BYTES) as usize;
        for (key, node) in self.node_by_key.range(MemberKey(request.first_key)..) {
            let record = self.members.get(node);
            let Some(record) = record.filter(|record| is_wanted(*key, record)) else {
                continue;
            };
            let wire = WireRecord::from(record);
            let size = wire.encoded_len();
            if size > remaining_bytes {
                reply.next_key = Some(key.0);
                break;
            }
            remaining_bytes -= size;
            reply.records.push(wire);
        }
        pack_names(&mut reply);
        reply
    }
}
