//! Datagrams of quotas.
//!
//! They share membership's socket. Their first byte would be the tag of a field with a
//! wire type that protobuf doesn't have, so membership rejects them as malformed and no
//! datagram of membership starts with it.

use std::net::{IpAddr, SocketAddr};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::TenantName;

/// First byte of each datagram of quotas.
pub const DATAGRAM_MARK: u8 = 0xff;

/// Hash of a tenant's name, shorter than the name on the wire.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct TenantKey(u64);

impl TenantKey {
    /// Key of the tenant of this name.
    pub fn new(tenant: &TenantName) -> Self {
        Self(xxh3_64(tenant.as_str().as_bytes()))
    }

    /// Returns the hash.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// Message about one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaMessage {
    pub tenant: TenantKey,
    /// Number of the request or claim; its reply repeats it.
    pub sequence: u32,
    pub content: MessageContent,
}

/// What a message says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MessageContent {
    /// A borrower asks for tokens.
    Request(TokenRequest),
    /// The owner's answer.
    Grant(TokenGrant),
    /// The receiver isn't the owner; this node may be.
    Moved(SocketAddr),
    /// The owner asks its successor for a lease. `rank` is its own in the order of the
    /// tenant's owners.
    Claim { rank: u64 },
    /// The successor doesn't give a lease: it isn't the next in order, or has given one to
    /// another node.
    ClaimRefused,
    /// The successor gives a lease.
    Lease(LeaseTerms),
}

/// Tokens that a borrower asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequest {
    /// For requests that wait.
    pub waiting: u16,
    /// For requests to come.
    pub stock: u16,
}

/// Owner's answer to a borrower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenGrant {
    pub tokens: u16,
    /// Time after which a refused caller may find a token.
    pub wait_ms: u32,
    /// Time for which the borrower should not ask again; 0 if it got what it asked for.
    pub pause_ms: u32,
    /// Borrowers that share the rate at present.
    pub sharers: u16,
}

/// What a new owner learns from its successor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTerms {
    /// Level of the bucket, if the successor held it until now.
    pub level: Option<f32>,
    /// Whether the successor gave the previous lease to the same node and hasn't held the
    /// bucket since.
    pub is_continuous: bool,
    /// Time for which the successor knows that no node has held the bucket.
    pub quiet_ms: u32,
}

/// A datagram that is not one of quotas.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("malformed quota datagram")]
pub struct MalformedDatagram;

const KIND_REQUEST: u8 = 1;
const KIND_GRANT: u8 = 2;
const KIND_MOVED: u8 = 3;
const KIND_CLAIM: u8 = 4;
const KIND_CLAIM_REFUSED: u8 = 5;
const KIND_LEASE: u8 = 6;

const IPV4_BYTES: usize = 4;
const IPV6_BYTES: usize = 16;
const LEASE_HAS_LEVEL: u8 = 1;
const LEASE_IS_CONTINUOUS: u8 = 2;

impl QuotaMessage {
    pub fn encode(&self) -> Bytes {
        let mut output = BytesMut::with_capacity(40);
        output.put_u8(DATAGRAM_MARK);
        output.put_u8(self.content.kind());
        output.put_u64(self.tenant.0);
        output.put_u32(self.sequence);
        match self.content {
            MessageContent::Request(request) => {
                output.put_u16(request.waiting);
                output.put_u16(request.stock);
            }
            MessageContent::Grant(grant) => {
                output.put_u16(grant.tokens);
                output.put_u32(grant.wait_ms);
                output.put_u32(grant.pause_ms);
                output.put_u16(grant.sharers);
            }
            MessageContent::Moved(address) => {
                output.put_u16(address.port());
                match address.ip() {
                    IpAddr::V4(ip) => output.put_slice(&ip.octets()),
                    IpAddr::V6(ip) => output.put_slice(&ip.octets()),
                }
            }
            MessageContent::Claim { rank } => output.put_u64(rank),
            MessageContent::ClaimRefused => {}
            MessageContent::Lease(terms) => {
                let has_level = u8::from(terms.level.is_some()) * LEASE_HAS_LEVEL;
                let is_continuous = u8::from(terms.is_continuous) * LEASE_IS_CONTINUOUS;
                output.put_u8(has_level | is_continuous);
                output.put_f32(terms.level.unwrap_or_default());
                output.put_u32(terms.quiet_ms);
            }
        }
        output.freeze()
    }

    /// # Errors
    ///
    /// Fails if the datagram is too short or of an unknown kind.
    pub fn decode(mut input: &[u8]) -> Result<Self, MalformedDatagram> {
        let read = |_| MalformedDatagram;
        if input.try_get_u8().map_err(read)? != DATAGRAM_MARK {
            return Err(MalformedDatagram);
        }
        let kind = input.try_get_u8().map_err(read)?;
        let tenant = TenantKey(input.try_get_u64().map_err(read)?);
        let sequence = input.try_get_u32().map_err(read)?;
        let content = match kind {
            KIND_REQUEST => MessageContent::Request(TokenRequest {
                waiting: input.try_get_u16().map_err(read)?,
                stock: input.try_get_u16().map_err(read)?,
            }),
            KIND_GRANT => MessageContent::Grant(TokenGrant {
                tokens: input.try_get_u16().map_err(read)?,
                wait_ms: input.try_get_u32().map_err(read)?,
                pause_ms: input.try_get_u32().map_err(read)?,
                sharers: input.try_get_u16().map_err(read)?,
            }),
            KIND_MOVED => {
                let port = input.try_get_u16().map_err(read)?;
                MessageContent::Moved(SocketAddr::new(decode_ip(input)?, port))
            }
            KIND_CLAIM => MessageContent::Claim {
                rank: input.try_get_u64().map_err(read)?,
            },
            KIND_CLAIM_REFUSED => MessageContent::ClaimRefused,
            KIND_LEASE => {
                let flags = input.try_get_u8().map_err(read)?;
                let level = input.try_get_f32().map_err(read)?;
                let has_level = flags & LEASE_HAS_LEVEL != 0 && level.is_finite();
                MessageContent::Lease(LeaseTerms {
                    level: has_level.then_some(level),
                    is_continuous: flags & LEASE_IS_CONTINUOUS != 0,
                    quiet_ms: input.try_get_u32().map_err(read)?,
                })
            }
            _ => return Err(MalformedDatagram),
        };
        Ok(Self {
            tenant,
            sequence,
            content,
        })
    }
}

fn decode_ip(input: &[u8]) -> Result<IpAddr, MalformedDatagram> {
    match input.len() {
        IPV4_BYTES => <[u8; IPV4_BYTES]>::try_from(input).map(IpAddr::from),
        _ => <[u8; IPV6_BYTES]>::try_from(input).map(IpAddr::from),
    }
    .map_err(|_| MalformedDatagram)
}

impl MessageContent {
    fn kind(&self) -> u8 {
        match self {
            Self::Request(_) => KIND_REQUEST,
            Self::Grant(_) => KIND_GRANT,
            Self::Moved(_) => KIND_MOVED,
            Self::Claim { .. } => KIND_CLAIM,
            Self::ClaimRefused => KIND_CLAIM_REFUSED,
            Self::Lease(_) => KIND_LEASE,
        }
    }
}
