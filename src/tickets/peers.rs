//! Fetches newer tickets from peers, and serves their requests.
//!
//! Gossip announces which peers have applied a newer head. The node fetches the
//! changes since its own version from the peer with the highest version, so most
//! nodes receive a ticket without a call to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;

use super::driver::DriverState;
use super::state::{DeltaRequest, TicketDelta, TicketState};
use crate::exchange::{ControlRequest, ControlTopic, send_request};

/// Maximum number of peers with a newer head that are recorded.
const MAX_NEWER_PEERS: usize = 4;

/// Peers reported to have a newer head, by head version.
#[derive(Debug, Default)]
pub struct NewerPeers {
    address_by_version: BTreeMap<u64, SocketAddr>,
    is_fetching: bool,
}

impl NewerPeers {
    /// Adds a peer; returns true if the caller has to start fetching.
    pub fn add(&mut self, version: u64, peer: SocketAddr) -> bool {
        self.address_by_version.insert(version, peer);
        if self.address_by_version.len() > MAX_NEWER_PEERS {
            self.address_by_version.pop_first();
        }
        !std::mem::replace(&mut self.is_fetching, true)
    }

    /// Removes and returns the peer with the highest version, if above `version`;
    /// otherwise removes all peers and marks fetching as ended.
    fn pop_newest(&mut self, version: u64) -> Option<SocketAddr> {
        match self.address_by_version.pop_last() {
            Some((newest, peer)) if newest > version => Some(peer),
            _ => {
                self.address_by_version.clear();
                self.is_fetching = false;
                None
            }
        }
    }
}

/// Fetches deltas until no recorded peer has a newer head.
pub async fn fetch_from_newer_peers(shared: &DriverState) {
    loop {
        let version = shared.head_version();
        let Some(peer) = shared.newer_peers.borrow_mut().pop_newest(version) else {
            return;
        };
        match fetch_delta(shared, peer, version).await {
            Ok(delta) => {
                let is_applied = shared.apply_delta(&delta);
                let level = match delta.version > delta.base_version {
                    true => log::Level::Info,
                    // Usually nothing has changed since the last fetch.
                    false => log::Level::Debug,
                };
                log::log!(
                    target: "tickets", level,
                    "received delta from peer {peer}, version {} to {}, applied: {is_applied}",
                    delta.base_version,
                    delta.version
                );
            }
            Err(error) => log::warn!(
                target: "tickets",
                "fetch from peer {peer} failed, trying the next peer with a newer head: {error}"
            ),
        }
    }
}

async fn fetch_delta(
    shared: &DriverState,
    peer: SocketAddr,
    version: u64,
) -> std::io::Result<TicketDelta> {
    let request = ControlRequest {
        forward_to: Vec::new(),
        evacuated_zones: None,
        payload: Bytes::from(DeltaRequest { version }.encode_to_vec()),
        topic: ControlTopic::Tickets.into(),
    };
    let reply = send_request(peer, &shared.settings.hello, &request).await?;
    TicketDelta::decode(reply.payload).map_err(std::io::Error::other)
}

/// Encodes the reply to a peer's [`DeltaRequest`]; empty if that is malformed.
pub fn encode_delta_reply(state: &TicketState, request: Bytes) -> Bytes {
    match DeltaRequest::decode(request) {
        Ok(request) => Bytes::from(state.delta_since(request.version).encode_to_vec()),
        Err(_) => Bytes::new(),
    }
}
