//! Node-local replica of the configuration and its exchange with peers.
//!
//! The replica only moves to higher versions. Peers fetch updates from it and
//! push updates to it; an update is either a delta or a full snapshot.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::config::{ConfigVersion, RouteConfig};
use super::freshness::ConfirmationHub;
use super::history::{ChangeHistory, ConfigUpdate};
use super::spread::push_timeout;
use crate::evacuation::EvacuationHub;
use crate::exchange::{ControlReply, ControlRequest, ControlTopic, PeerHello, send_request};

/// Active configuration and the recent changes that led to it.
#[derive(Debug)]
pub(super) struct ConfigReplica {
    pub(super) config_sender: watch::Sender<Option<Arc<RouteConfig>>>,
    /// Evacuated zones, which are sent along with the configuration.
    pub(super) evacuation: Arc<EvacuationHub>,
    /// Confirmations that the configuration and the zones are the newest.
    pub(super) confirmation: Arc<ConfirmationHub>,
    change_history: Mutex<ChangeHistory>,
    /// Way by which the active configuration arrived; `None` before the first one.
    origin: Mutex<Option<ConfigOrigin>>,
    /// Version that was last pushed to peers.
    last_pushed_version: Mutex<ConfigVersion>,
}

/// Way by which a configuration arrives at a node.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub(super) enum ConfigOrigin {
    /// Read from the store.
    #[display("store")]
    Store,
    /// Read from the store by a call whose result may be old.
    #[display("store, stale")]
    StaleStore,
    /// Read from the store, as nobody had confirmed the active one.
    #[display("store, asked")]
    Asked,
    /// Fetched from a peer that announced it.
    #[display("peer")]
    Fetch,
    /// Pushed by a peer.
    #[display("pushed")]
    Push,
}

/// Request from one node to another.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ConfigRequest {
    /// Requests the changes since this version.
    Fetch(ConfigVersion),
    /// Delivers a newer version.
    Push(ConfigUpdate),
}

/// Reply to a [`ConfigRequest`], in JSON like the request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ConfigReply {
    /// Changes that were requested.
    Update(ConfigUpdate),
    /// Active version of the replying node, which has no update to send.
    InForce(ConfigVersion),
}

impl ConfigReplica {
    pub(super) fn new(config_sender: watch::Sender<Option<Arc<RouteConfig>>>) -> Self {
        Self {
            config_sender,
            evacuation: Arc::default(),
            confirmation: Arc::default(),
            change_history: Mutex::default(),
            origin: Mutex::default(),
            last_pushed_version: Mutex::default(),
        }
    }

    /// Way by which the active configuration arrived; `None` before the first one.
    pub(super) fn origin(&self) -> Option<ConfigOrigin> {
        *lock(&self.origin)
    }

    pub(super) fn version(&self) -> ConfigVersion {
        version_of(self.config_sender.borrow().as_ref())
    }

    /// Time since the active configuration was last confirmed, in milliseconds.
    pub(super) fn confirmed_ms_ago(&self) -> Option<u64> {
        let age = self.confirmation.age()?;
        u64::try_from(age.as_millis()).ok()
    }

    /// Activates a configuration if it is newer than the active one.
    pub(super) fn apply_if_newer(&self, config: RouteConfig, origin: ConfigOrigin) {
        let (version, routes) = (config.version, config.route_count());
        let mut previous = ConfigVersion::default();
        let is_newer = self.config_sender.send_if_modified(|current| {
            previous = version_of(current.as_ref());
            if version <= previous {
                return false;
            }
            if let Some(current) = current {
                lock(&self.change_history).record_change(current, &config);
            }
            *current = Some(Arc::new(config));
            *lock(&self.origin) = Some(origin);
            true
        });
        if is_newer {
            log::info!(
                target: "routes",
                version = version.0, previous = previous.0, routes, origin:%,
                confirmed_ms_ago = self.confirmed_ms_ago();
                "configuration in force"
            );
        }
    }

    /// Applies a peer's update; ignores a delta that doesn't fit the active version.
    fn apply_update(&self, update: &ConfigUpdate, origin: ConfigOrigin) {
        let config = match update {
            ConfigUpdate::Snapshot(config) => Some(config.clone()),
            ConfigUpdate::Delta(delta) => {
                let current = self.config_sender.borrow().clone();
                current.and_then(|current| delta.apply_to(&current))
            }
        };
        match config {
            Some(config) => self.apply_if_newer(config, origin),
            None => log::info!(
                target: "routes",
                have = self.version().0, origin:%;
                "update ignored: it doesn't apply to the active version"
            ),
        }
    }

    /// Returns the reply to a fetch or push from a peer.
    ///
    /// The evacuated zones are applied first, so that the node never serves with a
    /// configuration but without the zones that its peer knew.
    pub(super) fn handle_peer_request(&self, request: &ControlRequest) -> Bytes {
        let zones = request.evacuated_zones.clone();
        self.evacuation.merge_wire(zones, "peer's request");
        let reply = match serde_json::from_slice(&request.payload) {
            Ok(ConfigRequest::Push(update)) => {
                self.apply_update(&update, ConfigOrigin::Push);
                ConfigReply::InForce(self.version())
            }
            Ok(ConfigRequest::Fetch(peer_version)) => match self.update_since(peer_version) {
                Some(update) => ConfigReply::Update(update),
                None => ConfigReply::InForce(self.version()),
            },
            Err(error) => {
                log::warn!(
                    target: "routes",
                    "peer's request can't be decoded, replying with the active version: {error}"
                );
                ConfigReply::InForce(self.version())
            }
        };
        encode_json(&reply)
    }

    /// Builds a request for the changes since the active version.
    pub(super) fn build_fetch_request(&self) -> ControlRequest {
        self.control_request(encode_json(&ConfigRequest::Fetch(self.version())))
    }

    /// Applies a peer's reply to a request of
    /// [`build_fetch_request`](Self::build_fetch_request).
    pub(super) fn apply_fetch_reply(&self, reply: ControlReply) -> io::Result<()> {
        self.evacuation
            .merge_wire(reply.evacuated_zones, "peer's reply");
        if let ConfigReply::Update(update) = decode_reply(&reply.payload)? {
            self.apply_update(&update, ConfigOrigin::Fetch);
        }
        Ok(())
    }

    /// Records the active version as pushed, as other nodes push it.
    pub(super) fn skip_push(&self) {
        *lock(&self.last_pushed_version) = self.version();
    }

    /// Payload of a push of the changes since the last push; records the active
    /// version as pushed. `None` if nothing has changed.
    pub(super) fn take_push(&self) -> Option<Bytes> {
        let previous_version =
            std::mem::replace(&mut *lock(&self.last_pushed_version), self.version());
        let update = self.update_since(previous_version)?;
        Some(encode_json(&ConfigRequest::Push(update)))
    }

    /// Update from `base_version` to the active version; `None` if no
    /// configuration is active or the active version is not newer.
    fn update_since(&self, base_version: ConfigVersion) -> Option<ConfigUpdate> {
        let config = self.config_sender.borrow().clone()?;
        let is_later = config.version > base_version;
        is_later.then(|| lock(&self.change_history).update_since(base_version, &config))
    }

    /// Pushes an update to a peer, which forwards it to others. A peer that is still
    /// behind afterwards gets a second update, from the version that its reply reports.
    pub(super) async fn push_to_peer(
        &self,
        peer: SocketAddr,
        hello: &PeerHello,
        payload: &Bytes,
        forward_to: &[SocketAddr],
    ) -> io::Result<()> {
        let request = ControlRequest {
            forward_to: forward_to.iter().map(ToString::to_string).collect(),
            ..self.control_request(payload.clone())
        };
        let reply = send_push(peer, hello, &request).await?;
        self.evacuation
            .merge_wire(reply.evacuated_zones, "peer's reply");
        let ConfigReply::InForce(peer_version) = decode_reply(&reply.payload)? else {
            return Ok(());
        };
        if let Some(update) = self.update_since(peer_version) {
            let payload = encode_json(&ConfigRequest::Push(update));
            send_push(peer, hello, &self.control_request(payload)).await?;
        }
        Ok(())
    }

    fn control_request(&self, payload: Bytes) -> ControlRequest {
        ControlRequest {
            payload,
            topic: ControlTopic::Routes.into(),
            forward_to: Vec::new(),
            evacuated_zones: self.evacuation.current().to_wire(),
        }
    }
}

/// Sends a push within the time limit of its size.
async fn send_push(
    peer: SocketAddr,
    hello: &PeerHello,
    request: &ControlRequest,
) -> io::Result<ControlReply> {
    let time_limit = push_timeout(request.payload.len());
    tokio::time::timeout(time_limit, send_request(peer, hello, request))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

pub(super) fn version_of(config: Option<&Arc<RouteConfig>>) -> ConfigVersion {
    config.map(|config| config.version).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn encode_json(message: &impl Serialize) -> Bytes {
    match serde_json::to_vec(message) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log::error!(
                target: "routes",
                "message to a peer can't be encoded, sending an empty one: {error}"
            );
            Bytes::new()
        }
    }
}

fn decode_reply(payload: &[u8]) -> io::Result<ConfigReply> {
    serde_json::from_slice(payload).map_err(io::Error::other)
}
