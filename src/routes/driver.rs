//! Tasks that keep a node's configuration at the highest version it can learn.
//!
//! Two ways lead to a new version: the store, and a peer that names a higher
//! version. The first node of each availability zone watches the store's key;
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
use crate::discovery::FleetRole;
use crate::exchange::{ControlRequest, ControlTopic, PeerHello, send_request};
use crate::store::{ConfigStore, WatchPosition};

/// Longest wait of one watch. A connection to the store that has fallen silent
/// ends with it; until then peers tell of new versions.
const WATCH_LIMIT: Duration = Duration::from_secs(6);
/// Pause after a failed call, drawn between half of it and all of it. A node
/// whose store is back is to know within two seconds.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);
/// Time limit of one fetch from a peer; another peer names the version as well.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks of a node that does not watch. Versions come from
/// peers; a node that hears none is alone, and then it watches.
const LOOK_INTERVAL: Duration = Duration::from_secs(20);
/// Reports of peers that wait for a fetch.
const PEER_QUEUE: usize = 64;

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
    sender: Arc<ConfigSender>,
    config: watch::Receiver<Option<Arc<RouteConfig>>>,
    peers: mpsc::Sender<(SocketAddr, ConfigVersion)>,
}

type ConfigSender = watch::Sender<Option<Arc<RouteConfig>>>;

impl RoutesHandle {
    /// Handle of a node that gets its rules from change tickets alone.
    pub fn absent() -> Self {
        let (sender, config) = watch::channel(None);
        let (peers, _) = mpsc::channel(1);
        Self {
            sender: Arc::new(sender),
            config,
            peers,
        }
    }

    /// Starts the tasks on the present thread's ntex runtime; they end when
    /// no handle is left.
    pub fn start<S: ConfigStore + 'static>(
        settings: RoutesSettings,
        store: Rc<S>,
        role: watch::Receiver<FleetRole>,
    ) -> Self {
        let (sender, config) = watch::channel(None);
        let (peers, reports) = mpsc::channel(PEER_QUEUE);
        let sender = Arc::new(sender);
        let source = settings.source;
        let (follower, watcher) = (Arc::clone(&sender), Arc::clone(&sender));
        ntex::rt::spawn(follow_peers(follower, settings.hello, reports));
        ntex::rt::spawn(async move {
            tokio::select! {
                () = watcher.closed() => {}
                () = follow_store(&watcher, source, &*store, role) => {}
            }
        });
        Self {
            sender,
            config,
            peers,
        }
    }

    /// Configuration in force, and every later one.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteConfig>>> {
        self.config.clone()
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        version_of(self.config.borrow().as_ref())
    }

    /// Tells that a peer has this version in force.
    pub fn on_peer_version(&self, peer: SocketAddr, version: ConfigVersion) {
        if version > self.version() {
            // A full queue loses the report; gossip repeats it.
            let _ = self.peers.try_send((peer, version));
        }
    }

    /// Answers a peer, which may have sent a configuration along: with the one
    /// in force, or nothing if there is none.
    pub fn handle_exchange(&self, request: &[u8]) -> Bytes {
        if !request.is_empty() {
            take_bytes(&self.sender, request, "pushed");
            return Bytes::new();
        }
        self.encoded()
    }

    /// Sends the configuration in force to peers, all at once.
    pub fn push_to(&self, peers: impl IntoIterator<Item = SocketAddr>, hello: &PeerHello) {
        let request = ControlRequest {
            payload: self.encoded(),
            topic: ControlTopic::Routes.into(),
        };
        for peer in peers {
            let (request, hello) = (request.clone(), hello.clone());
            ntex::rt::spawn(async move {
                // A peer that isn't reached hears of the version by gossip.
                if let Err(error) = send_request(peer, &hello, &request).await {
                    log::info!(target: "routes", peer:%; "configuration not pushed: {error}");
                }
            });
        }
    }

    fn encoded(&self) -> Bytes {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else {
            return Bytes::new();
        };
        match serde_json::to_vec(&**config) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                log::error!(target: "routes", "configuration not encoded for a peer: {error}");
                Bytes::new()
            }
        }
    }
}

fn version_of(config: Option<&Arc<RouteConfig>>) -> ConfigVersion {
    config.map(|config| config.version).unwrap_or_default()
}

/// Puts a configuration in force if it is newer than the present one.
fn apply(sender: &ConfigSender, config: RouteConfig, origin: &str) {
    let (version, routes) = (config.version, config.route_count());
    let mut previous = ConfigVersion::default();
    let is_newer = sender.send_if_modified(|present| {
        previous = version_of(present.as_ref());
        let is_newer = version > previous;
        if is_newer {
            *present = Some(Arc::new(config));
        }
        is_newer
    });
    if is_newer {
        log::info!(
            target: "routes",
            version = version.0, previous = previous.0, routes, origin;
            "configuration in force"
        );
    }
}

/// Applies a configuration as a peer encoded it.
fn take_bytes(sender: &ConfigSender, bytes: &[u8], origin: &str) {
    match serde_json::from_slice(bytes) {
        Ok(config) => apply(sender, config, origin),
        Err(error) => {
            log::warn!(target: "routes", "peer's configuration can't be read: {error}");
        }
    }
}

/// Applies what the store shows; never ends by itself.
async fn follow_store<S: ConfigStore>(
    sender: &ConfigSender,
    source: ConfigSource,
    store: &S,
    mut role: watch::Receiver<FleetRole>,
) {
    let mut position = WatchPosition::default();
    let mut is_away = false;
    loop {
        let is_leading = role.borrow_and_update().is_leading();
        let result = if is_leading {
            watch_once(sender, source, store, position).await
        } else {
            look_once(sender, source, store).await
        };
        match result {
            Ok(next) => {
                position = next;
                if std::mem::replace(&mut is_away, false) {
                    log::info!(target: "routes", dependency = "store"; "dependency regained");
                }
            }
            Err(reason) => {
                position = WatchPosition::default();
                if !std::mem::replace(&mut is_away, true) {
                    log::warn!(target: "routes", dependency = "store", reason = reason.as_str(); "dependency lost");
                }
                pause(FAILURE_PAUSE).await;
            }
        }
        if !is_leading {
            tokio::select! {
                () = pause(LOOK_INTERVAL) => {}
                // A control thread that has ended changes no role.
                _ = role.changed() => {}
            }
        }
    }
}

/// Waits between half of the time and all of it, so that nodes don't ask
/// together.
async fn pause(time: Duration) {
    let pause = rand::rng().random_range(time / 2..time);
    tokio::time::sleep(pause).await;
}

async fn watch_once<S: ConfigStore>(
    sender: &ConfigSender,
    source: ConfigSource,
    store: &S,
    position: WatchPosition,
) -> Result<WatchPosition, String> {
    let answer = store.watch(source.key, position, WATCH_LIMIT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if let Some(stored) = &answer.value {
        let config = (source.decode)(&stored.bytes).map_err(|error| error.to_string())?;
        apply(sender, config, "store");
    }
    Ok(answer.position)
}

/// Reads the key as it was some seconds ago; a later watch starts over.
async fn look_once<S: ConfigStore>(
    sender: &ConfigSender,
    source: ConfigSource,
    store: &S,
) -> Result<WatchPosition, String> {
    let found = store.get_stale(source.key).await;
    if let Some(stored) = found.map_err(|error| error.to_string())? {
        let config = (source.decode)(&stored.bytes).map_err(|error| error.to_string())?;
        apply(sender, config, "store, stale");
    }
    Ok(WatchPosition::default())
}

/// Fetches from each peer that names a higher version.
async fn follow_peers(
    sender: Arc<ConfigSender>,
    hello: PeerHello,
    mut reports: mpsc::Receiver<(SocketAddr, ConfigVersion)>,
) {
    while let Some((peer, version)) = reports.recv().await {
        if version <= version_of(sender.borrow().as_ref()) {
            continue;
        }
        let request = ControlRequest {
            payload: Bytes::new(),
            topic: ControlTopic::Routes.into(),
        };
        let fetch = send_request(peer, &hello, &request);
        match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
            Ok(Ok(reply)) if reply.payload.is_empty() => {}
            Ok(Ok(reply)) => take_bytes(&sender, &reply.payload, "peer"),
            // Gossip names the version again, at this peer and at others.
            Ok(Err(error)) => log::info!(target: "routes", peer:%; "peer not reached: {error}"),
            Err(_) => log::info!(target: "routes", peer:%; "peer too slow"),
        }
    }
}
