//! Departures of backend servers that have been acknowledged, kept beyond the process that
//! acknowledged them.
//!
//! Load pattern: heartbeats arrive seconds late, nodes are killed and started again in
//! between, one at a time or all together, and the store may be away at any of these
//! moments. A process that has just started must not take such a heartbeat for news of a
//! backend server whose departure an earlier process has acknowledged. Before a node
//! acknowledges a departure, it writes a record to the store and to some peers; before it
//! applies its first announcement, it reads the records of its earlier processes. A record
//! that the store has not confirmed by the acknowledgement is written until it has. A node
//! knows all departures once a peer that would hold them, and has held records for longer
//! than a heartbeat can be late, has told what it holds; the store alone may lack some.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use serde::{Deserialize, Serialize};

use crate::admin::AnnouncementOrder;
use crate::ids::{BackendId, NodeId};

pub mod driver;

pub use driver::{DepartureHandle, DepartureSettings};

/// Time for which a record is kept; no heartbeat is that late.
pub const RECORD_TTL: Duration = Duration::from_secs(60);
/// Longest time from the moment at which a heartbeat is sent until it arrives.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of records that a node holds for other nodes.
const MAX_HELD_RECORDS: usize = 1_024;
/// Peers that a record is sent to.
const HOLDER_COUNT: usize = 4;

/// Acknowledged departure of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// Backend server that leaves or has withdrawn.
    pub backend: BackendId,
    /// Announcements of this backend server below this position are outdated.
    pub valid_from: AnnouncementOrder,
}

/// Records of one node, sent to a peer that shall hold them and in its reply.
///
/// The tags are none that a membership exchange uses, which older builds take it for.
#[derive(Clone, PartialEq, Message)]
pub struct WireDepartures {
    /// Node that acknowledged the departures.
    #[prost(string, tag = "21")]
    pub node: String,
    /// The records; none to ask for those that the peer holds.
    #[prost(message, repeated, tag = "22")]
    pub records: Vec<WireDeparture>,
    /// Set in replies; older builds leave it out.
    #[prost(bool, tag = "23")]
    pub is_reply: bool,
    /// In replies, the time for which the peer has held records, in milliseconds; older
    /// builds leave it out.
    #[prost(uint64, tag = "24")]
    pub held_for_ms: u64,
}

/// Encoded [`DepartureRecord`].
#[derive(Clone, PartialEq, Message)]
pub struct WireDeparture {
    /// Identifier of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Start time of the lowest valid announcement, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Sequence number of the lowest valid announcement.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

impl From<&DepartureRecord> for WireDeparture {
    fn from(record: &DepartureRecord) -> Self {
        Self {
            backend: record.backend.to_string(),
            started_at_ms: record.valid_from.started_at_ms,
            sequence: record.valid_from.sequence,
        }
    }
}

impl TryFrom<WireDeparture> for DepartureRecord {
    type Error = <BackendId as std::str::FromStr>::Err;

    fn try_from(wire: WireDeparture) -> Result<Self, Self::Error> {
        Ok(Self {
            backend: wire.backend.parse()?,
            valid_from: AnnouncementOrder {
                started_at_ms: wire.started_at_ms,
                sequence: wire.sequence,
            },
        })
    }
}

/// Whether the reply of a peer shows that no other departure was acknowledged, of which a
/// heartbeat may still arrive.
///
/// `holder_rank` is the place of the peer among those that records are sent to.
pub fn is_history_complete(holder_rank: usize, held_for: Duration) -> bool {
    holder_rank < HOLDER_COUNT && held_for >= MAX_HEARTBEAT_DELAY
}

/// Records that a node holds for other nodes.
///
/// Times are durations on the caller's monotonic clock.
#[derive(Debug, Default)]
pub struct HeldDepartures {
    /// The records with the times at which they expire.
    records: BTreeMap<(NodeId, BackendId), (AnnouncementOrder, Duration)>,
}

impl HeldDepartures {
    /// Holds a record; of two for the same backend server, the one that outdates more.
    pub fn hold(&mut self, now: Duration, node: &NodeId, record: DepartureRecord) {
        self.remove_expired(now);
        let expires_at = now + RECORD_TTL;
        let held = self
            .records
            .entry((node.clone(), record.backend))
            .or_insert((record.valid_from, expires_at));
        *held = (held.0.max(record.valid_from), expires_at);
        if self.records.len() > MAX_HELD_RECORDS {
            self.remove_first_to_expire();
        }
    }

    /// Records held for a node.
    pub fn records_of(&mut self, now: Duration, node: &NodeId) -> Vec<DepartureRecord> {
        self.remove_expired(now);
        let records = self.records.iter();
        records
            .filter(|((owner, _), _)| owner == node)
            .map(|((_, backend), (valid_from, _))| DepartureRecord {
                backend: backend.clone(),
                valid_from: *valid_from,
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, (_, expires_at)| *expires_at > now);
    }

    fn remove_first_to_expire(&mut self) {
        let records = self.records.iter();
        let first = records.min_by_key(|(_, (_, expires_at))| *expires_at);
        if let Some(key) = first.map(|(key, _)| key.clone()) {
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
