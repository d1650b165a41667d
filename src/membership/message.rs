//! Wire messages of membership and their conversion to and from records.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use derive_more::{Display, Error};
use prost::Message;

use super::record::{BackendRecord, HealthVerdict, MemberHealth, MemberRecord};
use crate::evacuation::WireEvacuatedZones;
use crate::ids::{ConnectionCount, NodeIncarnation, ParseIdError, SlotCount};
use crate::table::UpstreamState;

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// Direct probe; the receiver acknowledges it.
    Ping = 0,
    /// Acknowledgement of a ping, by its target or passed on by another member.
    Ack = 1,
    /// Indirect probe: the receiver pings the target and passes on the acknowledgement.
    PingRequest = 2,
    /// Carries updates only and is not acknowledged.
    Gossip = 3,
}

/// UDP message; every kind carries updates.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Key of the sending process.
    #[prost(fixed64, tag = "1")]
    pub sender_key: u64,
    /// A [`DatagramKind`].
    #[prost(enumeration = "DatagramKind", tag = "2")]
    pub kind: i32,
    /// Number of the ping, chosen by the sender of the ping; 0 in gossip.
    #[prost(uint32, tag = "3")]
    pub sequence: u32,
    /// Key of the probed member, 0 if unknown.
    #[prost(fixed64, tag = "4")]
    pub target_key: u64,
    /// Version of the configuration head that the sender has in force.
    #[prost(uint64, tag = "5")]
    pub head_version: u64,
    /// XOR of the fingerprints of all members that are live at the sender.
    #[prost(fixed64, tag = "6")]
    pub fingerprint: u64,
    /// Keys of the members that `statuses` are about, in the same order.
    #[prost(fixed64, repeated, tag = "7")]
    pub status_keys: Vec<u64>,
    /// Health and leave flag of the members in `status_keys`, as in [`encode_status`].
    #[prost(uint32, repeated, tag = "8")]
    pub statuses: Vec<u32>,
    /// Full member records.
    #[prost(message, repeated, tag = "9")]
    pub records: Vec<WireRecord>,
    /// Set in an acknowledgement if its sender doesn't know the member that pinged.
    #[prost(bool, tag = "10")]
    pub is_sender_unknown: bool,
    /// Evacuated zones that the sender knows; absent before the first evacuation.
    #[prost(message, optional, tag = "11")]
    pub evacuated_zones: Option<WireEvacuatedZones>,
    /// How recently the sender's configuration was confirmed; absent if it wasn't.
    #[prost(message, optional, tag = "12")]
    pub confirmation: Option<WireConfirmation>,
}

impl Datagram {
    /// Whether the datagram was sent for its confirmation alone: to pass it on, or to
    /// request a younger one.
    pub fn is_bare_confirmation(&self) -> bool {
        self.kind == i32::from(DatagramKind::Gossip)
            && self.confirmation.is_some()
            && self.records.is_empty()
            && self.statuses.is_empty()
    }
}

/// Time since the store held nothing newer than what a node has in force.
#[derive(Clone, PartialEq, Message)]
pub struct WireConfirmation {
    /// The time in milliseconds.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// Era of the revision.
    #[prost(uint64, tag = "2")]
    pub evacuation_era: u64,
    /// Revision of the evacuated zones in force.
    #[prost(uint64, tag = "3")]
    pub evacuation_revision: u64,
    /// Low half of the key of the process that asked the store.
    #[prost(fixed32, tag = "4")]
    pub asker_key: u32,
    /// Number of the confirmation, rising at that process.
    #[prost(uint32, tag = "5")]
    pub number: u32,
}

/// Encoded [`MemberRecord`].
#[derive(Clone, PartialEq, Message)]
pub struct WireRecord {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub region: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    /// 4 bytes for IPv4 or 16 for IPv6.
    #[prost(bytes = "bytes", tag = "5")]
    pub ip: Bytes,
    #[prost(uint32, tag = "6")]
    pub port: u32,
    #[prost(uint32, tag = "7")]
    pub announcement_version: u32,
    /// Health and leave flag, as in [`encode_status`].
    #[prost(uint32, tag = "8")]
    pub status: u32,
    #[prost(message, optional, tag = "9")]
    pub backend: Option<WireBackend>,
    /// 1-based index of `region` in [`SyncReply::names`]; 0 if not packed.
    #[prost(uint32, tag = "10")]
    pub region_index: u32,
    /// 1-based index of `zone` in [`SyncReply::names`]; 0 if not packed.
    #[prost(uint32, tag = "11")]
    pub zone_index: u32,
}

/// Encoded [`BackendRecord`].
#[derive(Clone, PartialEq, Message)]
pub struct WireBackend {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    #[prost(uint32, tag = "4")]
    pub connections: u32,
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// 1-based index of `service` in [`SyncReply::names`]; 0 if not packed.
    #[prost(uint32, tag = "6")]
    pub service_index: u32,
    /// [`BackendKey`](crate::ids::BackendKey) of its present start.
    #[prost(fixed64, tag = "7")]
    pub key: u64,
}

/// Requests the records in which two nodes differ.
#[derive(Clone, PartialEq, Message)]
pub struct SyncRequest {
    /// XOR of the fingerprints of the requester's live members in each partition
    /// of the key space; empty while it joins.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// Lowest key to return.
    #[prost(fixed64, tag = "2")]
    pub first_key: u64,
    /// Record of the requester.
    #[prost(message, optional, tag = "3")]
    pub requester: Option<WireRecord>,
    /// Limit of the records in the reply, in encoded bytes.
    #[prost(uint32, tag = "4")]
    pub page_bytes: u32,
    /// Restricts the reply to one availability zone, unless empty.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// One page of the records in partitions that differ, in key order.
#[derive(Clone, PartialEq, Message)]
pub struct SyncReply {
    /// Records, dead members included, with packed names.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<WireRecord>,
    /// First key that this reply doesn't cover, if any.
    #[prost(fixed64, optional, tag = "2")]
    pub next_key: Option<u64>,
    /// String table that the records refer to by index.
    #[prost(string, repeated, tag = "3")]
    pub names: Vec<String>,
    /// Set if the responder has no bytes left for a page at present.
    #[prost(bool, tag = "4")]
    pub is_refused: bool,
}

/// Reason why a received record is rejected.
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// An identifier or a number is not allowed.
    #[display("{_0}")]
    InvalidId(ParseIdError),
    /// The IP address has neither 4 nor 16 bytes, or the port exceeds 16 bits.
    #[display("malformed IP address or port")]
    InvalidAddress,
    /// The number stands for no upstream state or health verdict.
    #[display("unknown upstream state or health verdict")]
    UnknownState,
}

impl From<ParseIdError> for RecordError {
    fn from(error: ParseIdError) -> Self {
        Self::InvalidId(error)
    }
}

/// Packs the refutation count, the leave flag (bit 2) and the verdict (bits 0 and 1).
pub fn encode_status(health: MemberHealth, is_leaving: bool) -> u32 {
    let verdict = match health.verdict {
        HealthVerdict::Alive => 0,
        HealthVerdict::Suspect => 1,
        HealthVerdict::Dead => 2,
    };
    health.refutation_count << 3 | u32::from(is_leaving) << 2 | verdict
}

/// Reverse of [`encode_status`].
///
/// # Errors
///
/// Fails if the verdict is unknown.
pub fn decode_status(status: u32) -> Result<(MemberHealth, bool), RecordError> {
    let verdict = match status & 3 {
        0 => HealthVerdict::Alive,
        1 => HealthVerdict::Suspect,
        2 => HealthVerdict::Dead,
        _ => return Err(RecordError::UnknownState),
    };
    let health = MemberHealth {
        refutation_count: status >> 3,
        verdict,
    };
    Ok((health, status & 4 != 0))
}

fn encode_upstream_state(state: UpstreamState) -> u32 {
    match state {
        UpstreamState::Joining => 0,
        UpstreamState::Ready => 1,
        UpstreamState::Draining => 2,
        UpstreamState::Gone => 3,
    }
}

fn decode_upstream_state(state: u32) -> Result<UpstreamState, RecordError> {
    match state {
        0 => Ok(UpstreamState::Joining),
        1 => Ok(UpstreamState::Ready),
        2 => Ok(UpstreamState::Draining),
        3 => Ok(UpstreamState::Gone),
        _ => Err(RecordError::UnknownState),
    }
}

impl From<&BackendRecord> for WireBackend {
    fn from(backend: &BackendRecord) -> Self {
        Self {
            id: backend.id.to_string(),
            service: backend.service.to_string(),
            slots: backend.slots.get(),
            connections: backend.connections.get(),
            state: encode_upstream_state(backend.state),
            service_index: 0,
            key: backend.key.get(),
        }
    }
}

impl TryFrom<WireBackend> for BackendRecord {
    type Error = RecordError;

    fn try_from(wire: WireBackend) -> Result<Self, RecordError> {
        Ok(Self {
            id: wire.id.try_into()?,
            key: wire.key.into(),
            service: wire.service.try_into()?,
            slots: SlotCount::try_from(u64::from(wire.slots))?,
            connections: ConnectionCount::try_from(u64::from(wire.connections))?,
            state: decode_upstream_state(wire.state)?,
        })
    }
}

fn encode_ip(ip: IpAddr) -> Bytes {
    match ip {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    }
}

fn decode_address(ip: &[u8], port: u32) -> Result<SocketAddr, RecordError> {
    let port = u16::try_from(port).map_err(|_| RecordError::InvalidAddress)?;
    let v4 = <[u8; 4]>::try_from(ip).map(IpAddr::from);
    let v6 = <[u8; 16]>::try_from(ip).map(IpAddr::from);
    let ip = v4.or(v6).map_err(|_| RecordError::InvalidAddress)?;
    Ok(SocketAddr::new(ip, port))
}

impl From<&MemberRecord> for WireRecord {
    fn from(record: &MemberRecord) -> Self {
        Self {
            node: record.node.to_string(),
            incarnation: record.incarnation.get(),
            region: record.region.to_string(),
            zone: record.zone.to_string(),
            ip: encode_ip(record.peer_address.ip()),
            port: u32::from(record.peer_address.port()),
            announcement_version: record.announcement_version,
            status: encode_status(record.health, record.is_leaving),
            backend: record.backend.as_ref().map(WireBackend::from),
            region_index: 0,
            zone_index: 0,
        }
    }
}

impl TryFrom<WireRecord> for MemberRecord {
    type Error = RecordError;

    fn try_from(wire: WireRecord) -> Result<Self, RecordError> {
        let (health, is_leaving) = decode_status(wire.status)?;
        Ok(Self {
            node: wire.node.try_into()?,
            incarnation: NodeIncarnation::try_from(wire.incarnation)?,
            region: wire.region.try_into()?,
            zone: wire.zone.try_into()?,
            peer_address: decode_address(&wire.ip, wire.port)?,
            announcement_version: wire.announcement_version,
            backend: wire.backend.map(BackendRecord::try_from).transpose()?,
            is_leaving,
            health,
            head_version: 0,
        })
    }
}
