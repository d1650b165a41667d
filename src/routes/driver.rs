//! Tasks that keep a node's configuration at the highest version it can learn.
//!
//! Two ways lead to a new version: the store, and a peer that names a higher
//! version. The first two nodes of each availability zone watch the store's key;
//! the others hear of new versions from peers and only look now and then, at
//! an answer that may be seconds old. Any one watch is enough for the whole
//! fleet, so a node that the store turns away still follows its peers, and a
//! watch that has fallen silent is made up for by another zone's.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use rand::Rng;
use tokio::sync::{mpsc, watch};

use super::config::{ConfigVersion, RouteConfig};
use super::replica::{ConfigReplica, version_of};
use crate::discovery::FleetRole;
use crate::exchange::{PeerHello, send_request};
use crate::store::{ConfigStore, WatchPosition};

/// Longest wait of one watch. A connection to the store that has fallen silent
/// ends with it; until then peers tell of new versions.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause after a watch that showed a new version. Those that follow it closely
/// are read together, as each answer counts as a call; the users' bound from
/// acceptance to force is 2 s.
const NEW_VERSION_DELAY: Duration = Duration::from_millis(150);
/// Pause after a failed call, drawn between half of it and all of it. A node
/// whose store is back is to know within two seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Time limit of one fetch from a peer; another peer names the version as well.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a version that a peer names usually arrives along the tree. One
/// that has not is fetched, often from another availability zone.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// Time between two looks of a node that does not watch. Versions come from
/// peers; a node that hears none is alone, and then it watches.
const MAX_STALE_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Reports of peers that wait for a fetch.
const PEER_REPORT_CAPACITY: usize = 64;

/// The bytes of a configuration can't be used.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("configuration can't be read: {reason}")]
pub struct ConfigError {
    /// What is wrong, and where.
    pub reason: String,
}

/// Where the configuration lies in the store, and how it is read.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Key.
    pub key: &'static str,
    /// Reads the value of the key.
    pub decode: fn(&[u8]) -> Result<RouteConfig, ConfigError>,
}

/// What the tasks need to know.
#[derive(Debug, Clone)]
pub struct RoutesSettings {
    /// First frame of exchanges with peers.
    pub hello: PeerHello,
    /// Where the configuration lies.
    pub source: ConfigSource,
}

/// Access to the configuration in force.
#[derive(Debug, Clone)]
pub struct RoutesHandle {
    replica: Arc<ConfigReplica>,
    config_receiver: watch::Receiver<Option<Arc<RouteConfig>>>,
    peer_reports: mpsc::Sender<(SocketAddr, ConfigVersion)>,
}

impl RoutesHandle {
    /// Handle of a node that gets its rules from change tickets alone.
    pub fn disabled() -> Self {
        let (config_sender, config_receiver) = watch::channel(None);
        let (peer_reports, _) = mpsc::channel(1);
        Self {
            replica: Arc::new(ConfigReplica::new(config_sender)),
            config_receiver,
            peer_reports,
        }
    }

    /// Starts the tasks on the present thread's ntex runtime; they end when
    /// no handle is left.
    pub fn start<S: ConfigStore + 'static>(
        settings: RoutesSettings,
        store: Rc<S>,
        role: watch::Receiver<FleetRole>,
    ) -> Self {
        let (config_sender, config_receiver) = watch::channel(None);
        let (peer_reports, reports) = mpsc::channel(PEER_REPORT_CAPACITY);
        let replica = Arc::new(ConfigReplica::new(config_sender));
        let source = settings.source;
        let (fetch_replica, watch_replica) = (Arc::clone(&replica), Arc::clone(&replica));
        ntex::rt::spawn(fetch_reported_versions(
            fetch_replica,
            settings.hello,
            reports,
        ));
        ntex::rt::spawn(async move {
            tokio::select! {
                () = watch_replica.config_sender.closed() => {}
                () = follow_store(&watch_replica, source, &*store, role) => {}
            }
        });
        Self {
            replica,
            config_receiver,
            peer_reports,
        }
    }

    /// Configuration in force, and every later one.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteConfig>>> {
        self.config_receiver.clone()
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        version_of(self.config_receiver.borrow().as_ref())
    }

    /// Tells that a peer has this version in force.
    pub fn on_peer_version(&self, peer: SocketAddr, version: ConfigVersion) {
        if version > self.version() {
            // A full queue loses the report; gossip repeats it.
            let _ = self.peer_reports.try_send((peer, version));
        }
    }

    /// Answers a peer, which asks for the configuration in force or sends one.
    pub fn handle_peer_request(&self, request: &[u8]) -> Bytes {
        self.replica.answer_peer(request)
    }

    /// Sends the configuration in force to peers, all at once: what has changed
    /// since the version that was sent before.
    pub fn push_to_peers(&self, peers: impl IntoIterator<Item = SocketAddr>, hello: &PeerHello) {
        let Some(request) = self.replica.take_push_request() else {
            return;
        };
        for peer in peers {
            let (request, hello) = (request.clone(), hello.clone());
            let replica = Arc::clone(&self.replica);
            ntex::rt::spawn(async move {
                // A peer that isn't reached hears of the version by gossip.
                if let Err(error) = replica.push_to_peer(peer, &hello, &request).await {
                    log::info!(target: "routes", peer:%; "configuration not pushed: {error}");
                }
            });
        }
    }
}

/// Applies what the store shows; never ends by itself.
async fn follow_store<S: ConfigStore>(
    replica: &ConfigReplica,
    source: ConfigSource,
    store: &S,
    mut role: watch::Receiver<FleetRole>,
) {
    let mut position = WatchPosition::default();
    let mut is_store_unavailable = false;
    loop {
        let is_watching = role.borrow_and_update().watches_config();
        let result = if is_watching {
            watch_once(replica, source, store, position).await
        } else {
            read_stale(replica, source, store).await
        };
        match result {
            Ok(next_position) => {
                position = next_position;
                if std::mem::replace(&mut is_store_unavailable, false) {
                    log::info!(target: "routes", dependency = "store"; "dependency regained");
                }
            }
            Err(reason) => {
                position = WatchPosition::default();
                if !std::mem::replace(&mut is_store_unavailable, true) {
                    log::warn!(target: "routes", dependency = "store", reason = reason.as_str(); "dependency lost");
                }
                sleep_jittered(MAX_RETRY_DELAY).await;
            }
        }
        if !is_watching {
            tokio::select! {
                () = sleep_jittered(MAX_STALE_READ_INTERVAL) => {}
                // A control thread that has ended changes no role.
                _ = role.changed() => {}
            }
        }
    }
}

/// Waits between half of the time and all of it, so that nodes don't ask
/// together.
async fn sleep_jittered(max_delay: Duration) {
    let delay = rand::rng().random_range(max_delay / 2..max_delay);
    tokio::time::sleep(delay).await;
}

async fn watch_once<S: ConfigStore>(
    replica: &ConfigReplica,
    source: ConfigSource,
    store: &S,
    position: WatchPosition,
) -> Result<WatchPosition, String> {
    let answer = store.watch(source.key, position, MAX_WATCH_WAIT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if let Some(stored) = &answer.value {
        let config = (source.decode)(&stored.bytes).map_err(|error| error.to_string())?;
        replica.apply_if_newer(config, "store");
        tokio::time::sleep(NEW_VERSION_DELAY).await;
    }
    Ok(answer.position)
}

/// Reads the key as it was some seconds ago; a later watch starts over.
async fn read_stale<S: ConfigStore>(
    replica: &ConfigReplica,
    source: ConfigSource,
    store: &S,
) -> Result<WatchPosition, String> {
    let stored_value = store.get_stale(source.key).await;
    if let Some(stored) = stored_value.map_err(|error| error.to_string())? {
        let config = (source.decode)(&stored.bytes).map_err(|error| error.to_string())?;
        replica.apply_if_newer(config, "store, stale");
    }
    Ok(WatchPosition::default())
}

/// Fetches from each peer that names a higher version.
async fn fetch_reported_versions(
    replica: Arc<ConfigReplica>,
    hello: PeerHello,
    mut reports: mpsc::Receiver<(SocketAddr, ConfigVersion)>,
) {
    while let Some((peer, version)) = reports.recv().await {
        if version <= replica.version() {
            continue;
        }
        tokio::time::sleep(FETCH_DELAY).await;
        if version <= replica.version() {
            continue;
        }
        let request = replica.build_fetch_request();
        let fetch = send_request(peer, &hello, &request);
        match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
            Ok(Ok(reply)) => {
                if let Err(error) = replica.apply_fetch_reply(&reply.payload) {
                    log::warn!(target: "routes", peer:%; "reply can't be read: {error}");
                }
            }
            // Gossip names the version again, at this peer and at others.
            Ok(Err(error)) => log::info!(target: "routes", peer:%; "peer not reached: {error}"),
            Err(_) => log::info!(target: "routes", peer:%; "peer too slow"),
        }
    }
}
