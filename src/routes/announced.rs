//! Decides from which peer a newer configuration is fetched.
//!
//! While many nodes restart or freeze, most peers that announced a version may not
//! answer. A peer that doesn't must not hold up the others: the delay before a fetch
//! counts from the first announcement of the version, a second fetch begins beside
//! one that takes long, and a fetch that fails is followed by the next immediately.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::config::ConfigVersion;

/// Time from the first announcement of a version until it is fetched. A version
/// usually arrives within it by pushes inside the availability zone; a fetch often
/// crosses zones.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// Time after the start of a fetch until another one begins beside it.
const PARALLEL_FETCH_DELAY: Duration = Duration::from_millis(200);
/// Fetches at the same time; each may transfer a full configuration.
const MAX_PARALLEL_FETCHES: usize = 2;
/// Versions that are kept, the highest ones.
const MAX_VERSIONS: usize = 16;
/// Peers that are kept for a version, the latest to announce it.
const MAX_PEERS: usize = 8;

/// Next step of fetching announced versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FetchStep {
    /// Fetch from this peer.
    Fetch(SocketAddr),
    /// Do nothing until this time or the next event.
    WaitUntil(Duration),
    /// Do nothing until the next event.
    Idle,
}

#[derive(Debug)]
struct Announcement {
    first_at: Duration,
    /// Peers that have not been asked since they announced it, the latest last.
    peers: Vec<SocketAddr>,
}

/// Versions that peers have announced, and the fetches in progress.
#[derive(Debug, Default)]
pub(super) struct AnnouncedVersions {
    by_version: BTreeMap<ConfigVersion, Announcement>,
    fetching_from: BTreeSet<SocketAddr>,
    last_fetch_at: Duration,
}

impl AnnouncedVersions {
    /// Records that a peer has a version; returns true if it is the first to
    /// announce it.
    pub(super) fn record(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        version: ConfigVersion,
    ) -> bool {
        let is_first = !self.by_version.contains_key(&version);
        let announcement = self.by_version.entry(version).or_insert(Announcement {
            first_at: now,
            peers: Vec::new(),
        });
        announcement.peers.retain(|known| *known != peer);
        announcement.peers.push(peer);
        if announcement.peers.len() > MAX_PEERS {
            announcement.peers.remove(0);
        }
        if self.by_version.len() > MAX_VERSIONS {
            self.by_version.pop_first();
        }
        is_first
    }

    /// Next step of a node with this active version. The peer of a
    /// [`FetchStep::Fetch`] counts as being asked until
    /// [`end_fetch`](Self::end_fetch).
    pub(super) fn next_step(&mut self, now: Duration, active: ConfigVersion) -> FetchStep {
        self.by_version.retain(|version, _| *version > active);
        let first_at = self.by_version.values().map(|known| known.first_at).min();
        let (Some(first_at), Some(peer)) = (first_at, self.next_peer()) else {
            return FetchStep::Idle;
        };
        if self.fetching_from.len() >= MAX_PARALLEL_FETCHES {
            return FetchStep::Idle;
        }
        let mut due_at = first_at + FETCH_DELAY;
        if !self.fetching_from.is_empty() {
            due_at = due_at.max(self.last_fetch_at + PARALLEL_FETCH_DELAY);
        }
        if now < due_at {
            return FetchStep::WaitUntil(due_at);
        }
        for announcement in self.by_version.values_mut() {
            announcement.peers.retain(|known| *known != peer);
        }
        self.fetching_from.insert(peer);
        self.last_fetch_at = now;
        FetchStep::Fetch(peer)
    }

    /// Records that a fetch has ended, with or without an update.
    pub(super) fn end_fetch(&mut self, peer: SocketAddr) {
        self.fetching_from.remove(&peer);
    }

    /// Latest peer to announce the highest version, unless it is being asked.
    fn next_peer(&self) -> Option<SocketAddr> {
        let highest_first = self.by_version.values().rev();
        let mut peers = highest_first.flat_map(|known| known.peers.iter().rev());
        peers
            .find(|peer| !self.fetching_from.contains(peer))
            .copied()
    }
}

#[cfg(test)]
mod tests;
