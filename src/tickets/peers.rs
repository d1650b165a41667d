//! Fetches what a peer has in force and this node has not.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;

use super::driver::DriverShared;
use super::state::{FetchRequest, TicketDelta, TicketState};
use crate::exchange::{ControlRequest, ControlTopic, send_request};

/// Peers with a newer head that are remembered at one time.
const MAX_SOURCES: usize = 4;

/// Peers known to have a newer head, by their version.
#[derive(Debug, Default)]
pub struct FetchSources {
    by_version: BTreeMap<u64, SocketAddr>,
    is_fetching: bool,
}

impl FetchSources {
    /// Notes a peer; true if a fetch has to be started.
    pub fn note(&mut self, version: u64, peer: SocketAddr) -> bool {
        self.by_version.insert(version, peer);
        if self.by_version.len() > MAX_SOURCES {
            self.by_version.pop_first();
        }
        !std::mem::replace(&mut self.is_fetching, true)
    }

    /// Takes the peer with the highest version above `version`.
    fn take_newest(&mut self, version: u64) -> Option<SocketAddr> {
        match self.by_version.pop_last() {
            Some((newest, peer)) if newest > version => Some(peer),
            _ => {
                self.by_version.clear();
                self.is_fetching = false;
                None
            }
        }
    }
}

/// Fetches until no remembered peer has a newer head.
pub async fn fetch_newer(shared: &DriverShared) {
    loop {
        let version = shared.head_version();
        let Some(peer) = shared.sources.borrow_mut().take_newest(version) else {
            return;
        };
        match fetch_delta(shared, peer, version).await {
            Ok(delta) => {
                let is_applied = shared.apply_delta(&delta);
                let level = match delta.version > delta.base {
                    true => log::Level::Info,
                    // Nothing new since the last fetch, as most of the time.
                    false => log::Level::Debug,
                };
                log::log!(
                    target: "tickets", level,
                    "delta from peer {peer}, version {} to {}, applied {is_applied}",
                    delta.base,
                    delta.version
                );
            }
            Err(error) => log::warn!(target: "tickets", "fetch from peer {peer} failed: {error}"),
        }
    }
}

async fn fetch_delta(
    shared: &DriverShared,
    peer: SocketAddr,
    version: u64,
) -> std::io::Result<TicketDelta> {
    let request = ControlRequest {
        payload: Bytes::from(FetchRequest { version }.encode_to_vec()),
        topic: ControlTopic::Tickets.into(),
    };
    let reply = send_request(peer, &shared.settings.hello, &request).await?;
    TicketDelta::decode(reply.payload).map_err(std::io::Error::other)
}

/// Answers a peer's fetch from the state in force.
pub fn answer_fetch(state: &TicketState, request: Bytes) -> Bytes {
    match FetchRequest::decode(request) {
        Ok(request) => Bytes::from(state.delta_since(request.version).encode_to_vec()),
        Err(_) => Bytes::new(),
    }
}
