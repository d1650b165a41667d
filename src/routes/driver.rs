//! Tasks that keep a node's configuration at the newest known version.
//!
//! A new version is read from the store or fetched from a peer that announces
//! it; [`schedule`](super::schedule) decides which nodes ask the store. A single
//! working watch updates the whole fleet: a node that the store refuses follows
//! its peers, and if a watch stalls, the watch of another zone still delivers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use tokio::sync::{mpsc, watch};

use super::announced::{AnnouncedVersions, FetchStep};
use super::config::{ConfigVersion, RouteConfig};
use super::freshness::{ConfigConfirmation, ConfirmationHub, ConfirmationOrigin};
use super::replica::{ConfigOrigin, ConfigReplica, version_of};
use super::schedule::{
    ASK_TIMEOUT, KnownConfirmation, MAX_WATCH_WAIT, NodeView, ReadSchedule, ReadStep, SLOW_ANSWER,
};
use super::spread::{PushGroup, divide, first_groups};
use crate::discovery::{FleetContact, FleetRole};
use crate::evacuation::EvacuationHub;
use crate::exchange::{ControlRequest, PeerHello, send_request};
use crate::ids::ZoneName;
use crate::store::{ConfigStore, PrefixUpdate, ReadFreshness, WatchPosition};

/// Delay after a watch has returned a new version. Versions that follow within it
/// are read in one call, as each response of the store counts as a call. A version
/// must be active within 2 s of its acceptance.
const NEW_VERSION_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after a failed call; the actual delay is random, from half of it
/// up. A node must notice within 2 s that the store is reachable again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Timeout of one fetch from a peer; other peers announce the version as well.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Capacity of the queue of announced versions that wait for a fetch.
const PEER_REPORT_CAPACITY: usize = 64;

/// Error when the stored bytes are not a valid configuration.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("configuration can't be read: {reason}")]
pub struct ConfigError {
    /// Description of the invalid part and its position.
    pub reason: String,
}

/// Location and decoder of the operator's keys in the store.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Prefix of all keys that the operator writes.
    pub prefix: &'static str,
    /// Key that holds the newest configuration.
    pub key: &'static str,
    /// Decodes the value of the key.
    pub decode: fn(&[u8]) -> Result<RouteConfig, ConfigError>,
    /// Zone that a key below the prefix declares evacuated; `None` for other keys.
    pub evacuated_zone: fn(&str) -> Option<ZoneName>,
}

/// Tells which other nodes this one perceives now.
pub type ContactSource = Rc<dyn Fn() -> FleetContact>;

/// Settings of the configuration tasks.
#[derive(Debug, Clone)]
pub struct RoutesSettings {
    /// First frame of each connection to a peer.
    pub hello: PeerHello,
    /// Location of the configuration in the store.
    pub source: ConfigSource,
}

/// Handle to the active configuration and to the tasks that update it.
#[derive(Debug, Clone)]
pub struct RoutesHandle {
    replica: Arc<ConfigReplica>,
    /// First frame of each connection to a peer.
    hello: PeerHello,
    config_receiver: watch::Receiver<Option<Arc<RouteConfig>>>,
    peer_reports: mpsc::Sender<(SocketAddr, ConfigVersion)>,
}

impl RoutesHandle {
    /// Handle of a node that runs without route configuration and gets its rules
    /// from change tickets alone. No task is started.
    pub fn disabled() -> Self {
        let (config_sender, config_receiver) = watch::channel(None);
        let (peer_reports, _) = mpsc::channel(1);
        Self {
            replica: Arc::new(ConfigReplica::new(config_sender)),
            hello: PeerHello::default(),
            config_receiver,
            peer_reports,
        }
    }

    /// Starts the tasks on the current thread's ntex runtime; they end when the
    /// last handle is dropped.
    pub fn start<S: ConfigStore + 'static>(
        settings: RoutesSettings,
        store: Rc<S>,
        role: watch::Receiver<FleetRole>,
        contact: ContactSource,
    ) -> Self {
        let (config_sender, config_receiver) = watch::channel(None);
        let (peer_reports, reports) = mpsc::channel(PEER_REPORT_CAPACITY);
        let replica = Arc::new(ConfigReplica::new(config_sender));
        let source = settings.source;
        let (fetch_replica, watch_replica) = (Arc::clone(&replica), Arc::clone(&replica));
        ntex::rt::spawn(fetch_announced_versions(
            fetch_replica,
            settings.hello.clone(),
            reports,
        ));
        ntex::rt::spawn(async move {
            let follower = StoreFollower {
                replica: &watch_replica,
                source,
                store: &*store,
                contact,
                started_at: Instant::now(),
                schedule: RefCell::new(ReadSchedule::new(draw_age_share())),
                is_store_changing: Cell::new(true),
            };
            tokio::select! {
                () = watch_replica.config_sender.closed() => {}
                () = follower.run(role) => {}
            }
        });
        Self {
            replica,
            hello: settings.hello,
            config_receiver,
            peer_reports,
        }
    }

    /// Receiver of the active configuration, updated with each new version;
    /// `None` before the first one.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteConfig>>> {
        self.config_receiver.clone()
    }

    /// Evacuated zones, which are read and spread with the configuration.
    pub fn evacuation(&self) -> &Arc<EvacuationHub> {
        &self.replica.evacuation
    }

    /// Confirmations that the configuration and the evacuated zones are the newest.
    pub fn confirmation(&self) -> &Arc<ConfirmationHub> {
        &self.replica.confirmation
    }

    /// Active version; 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        version_of(self.config_receiver.borrow().as_ref())
    }

    /// Records that a peer announced its active version; a newer one is fetched.
    pub fn on_peer_version(&self, peer: SocketAddr, version: ConfigVersion) {
        if version > self.version() {
            // A report that doesn't fit into the queue is lost; gossip repeats it.
            let _ = self.peer_reports.try_send((peer, version));
        }
    }

    /// Returns the reply to a fetch or push from a peer, and forwards the push to the
    /// peers that the request names. Payloads are in JSON.
    pub fn handle_peer_request(&self, request: &ControlRequest) -> Bytes {
        let reply = self.replica.handle_peer_request(request);
        let nodes = request.forward_to.iter().filter_map(|text| {
            let address = text.parse().ok();
            if address.is_none() {
                log::warn!(target: "routes", "push not forwarded to {text:?}, which is no address");
            }
            address
        });
        let nodes: Vec<SocketAddr> = nodes.collect();
        self.push_to_groups(divide(&nodes), request.payload.clone());
        reply
    }

    /// Pushes the changes since the last push to the availability zone, without waiting
    /// for it. `others` are the peer addresses of the zone's other live nodes in the
    /// order of their names, of which `own_rank` precede this node.
    pub fn push_to_zone(&self, others: &[SocketAddr], own_rank: usize) {
        let had_to_ask = matches!(
            self.replica.origin(),
            Some(ConfigOrigin::Fetch | ConfigOrigin::Asked)
        );
        let groups = first_groups(others, own_rank, had_to_ask);
        if groups.is_empty() {
            self.replica.skip_push();
        } else if let Some(payload) = self.replica.take_push() {
            self.push_to_groups(groups, payload);
        }
    }

    fn push_to_groups(&self, groups: Vec<PushGroup>, payload: Bytes) {
        if groups.is_empty() {
            return;
        }
        let (replica, hello) = (Arc::clone(&self.replica), self.hello.clone());
        ntex::rt::spawn(async move { push_to_groups(&replica, &hello, groups, &payload).await });
    }
}

/// Pushes to all groups in parallel, and in place of each receiver that can't be
/// reached to its fallback groups.
async fn push_to_groups(
    replica: &ConfigReplica,
    hello: &PeerHello,
    groups: Vec<PushGroup>,
    payload: &Bytes,
) {
    let push_to = |group: PushGroup| async move {
        let push = replica.push_to_peer(group.receiver, hello, payload, &group.forward_to);
        (push.await, group)
    };
    let mut pushes: FuturesUnordered<_> = groups.into_iter().map(push_to).collect();
    while let Some((result, group)) = pushes.next().await {
        if let Err(error) = result {
            let fallback_groups = group.fallback_groups();
            log::info!(
                target: "routes",
                peer:% = group.receiver, version = replica.version().0,
                fallbacks = fallback_groups.len();
                "configuration push to the peer failed: {error}"
            );
            pushes.extend(fallback_groups.into_iter().map(push_to));
        }
    }
}

/// Sleeps for a random time between half of `max_delay` and all of it, so that
/// the nodes don't call the store at the same moment.
async fn sleep_jittered(max_delay: Duration) {
    let delay = rand::rng().random_range(max_delay / 2..max_delay);
    tokio::time::sleep(delay).await;
}

/// Share of the ranges of ages that a node draws once. Few draw a low one, so that one
/// node asks the store well before the others.
fn draw_age_share() -> f64 {
    let draws: [f64; 3] = std::array::from_fn(|_| rand::rng().random());
    draws.into_iter().fold(0.0, f64::max)
}

/// State of the operator's keys up to which a node has read the store.
#[derive(Debug, Clone, Default)]
struct StoreCursor {
    position: WatchPosition,
    /// Evacuated zones at the position, to which the changes of a watch are applied.
    evacuated_zones: BTreeSet<ZoneName>,
}

impl StoreCursor {
    /// State after an update from this position.
    fn after(&self, source: ConfigSource, update: &PrefixUpdate) -> Self {
        let mut evacuated_zones = if update.is_listing {
            BTreeSet::new()
        } else {
            self.evacuated_zones.clone()
        };
        for change in &update.changes {
            let Some(zone) = (source.evacuated_zone)(&change.key) else {
                continue;
            };
            if change.value.is_some() {
                evacuated_zones.insert(zone);
            } else {
                evacuated_zones.remove(&zone);
            }
        }
        Self {
            position: update.position,
            evacuated_zones,
        }
    }
}

/// Reader of the operator's keys in the store for one node.
struct StoreFollower<'a, S> {
    replica: &'a ConfigReplica,
    source: ConfigSource,
    store: &'a S,
    contact: ContactSource,
    started_at: Instant,
    schedule: RefCell<ReadSchedule>,
    /// Whether anything in the store has changed between the last two calls that asked it.
    /// While it does, asking for the position first would cost a call more.
    is_store_changing: Cell<bool>,
}

impl<S: ConfigStore> StoreFollower<'_, S> {
    /// Applies the configurations found in the store; never returns.
    async fn run(&self, mut role: watch::Receiver<FleetRole>) {
        let mut cursor = StoreCursor::default();
        let mut is_store_unavailable = false;
        loop {
            let current_role = *role.borrow_and_update();
            let view = self.view(current_role);
            let step = self.schedule.borrow().next_step(self.elapsed(), &view);
            let step_started_at = self.elapsed();
            let result = match step {
                ReadStep::Watch => self.watch_once(current_role, &cursor).await,
                ReadStep::ReadStale => self.read_stale().await,
                ReadStep::Ask => self.ask(current_role, &cursor).await,
                ReadStep::Wait(delay) => {
                    let is_control_gone = tokio::select! {
                        () = tokio::time::sleep(delay) => false,
                        changed = role.changed() => changed.is_err(),
                    };
                    if is_control_gone {
                        // The role stays until this task ends.
                        tokio::time::sleep(delay).await;
                    }
                    continue;
                }
            };
            match result {
                Ok(next_cursor) => {
                    cursor = next_cursor;
                    if std::mem::replace(&mut is_store_unavailable, false) {
                        log::info!(target: "routes", dependency = "store"; "dependency regained");
                    }
                }
                Err(reason) => {
                    if !std::mem::replace(&mut is_store_unavailable, true) {
                        log::warn!(
                            target: "routes",
                            dependency = "store", reason = reason.as_str(), role:? = current_role,
                            position = cursor.position.revision, era = cursor.position.era.0,
                            elapsed_ms = (self.elapsed() - step_started_at).as_millis() as u64;
                            "dependency lost"
                        );
                    }
                    if step != ReadStep::Ask {
                        cursor = StoreCursor::default();
                        sleep_jittered(MAX_RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn view(&self, role: FleetRole) -> NodeView {
        let confirmation = self.replica.confirmation.latest().map(|latest| {
            let as_of = latest.as_of.saturating_duration_since(self.started_at);
            KnownConfirmation {
                as_of,
                is_own: latest.origin == ConfirmationOrigin::Store,
            }
        });
        NodeView {
            role,
            has_config: self.replica.version() > ConfigVersion::default(),
            confirmation,
            contact: (self.contact)(),
        }
    }

    async fn watch_once(
        &self,
        role: FleetRole,
        cursor: &StoreCursor,
    ) -> Result<StoreCursor, String> {
        let asked_at = Instant::now();
        let watched = tokio::select! {
            watched = self.store.watch_prefix(self.source.prefix, cursor.position, MAX_WATCH_WAIT) => watched,
            next_cursor = self.check_watch(role, cursor) => return Ok(next_cursor),
        };
        let update = watched.map_err(|error| error.to_string())?;
        let next_cursor = cursor.after(self.source, &update);
        self.apply_update(&next_cursor, &update, ConfigOrigin::Store)?;
        if update.is_listing && cursor.position.is_initial() {
            self.confirm(asked_at);
        }
        if !update.changes.is_empty() || update.position.is_initial() {
            // Without a position the next call returns at once as well.
            tokio::time::sleep(NEW_VERSION_DELAY).await;
        }
        Ok(next_cursor)
    }

    /// Checks a watch that waits from `cursor`. Returns when the watch has missed a
    /// change, with the state from which to watch next.
    async fn check_watch(&self, role: FleetRole, cursor: &StoreCursor) -> StoreCursor {
        if cursor.position.is_initial() {
            // The call returns at once and doesn't wait for a change.
            return std::future::pending().await;
        }
        tokio::select! {
            missed_from = self.find_missed_change(role, cursor) => missed_from,
            () = self.store.era_changed(cursor.position.era) => StoreCursor::default(),
        }
    }

    /// Returns when the store holds a newer configuration than the active one or other
    /// evacuated zones, with the state up to which it has been read.
    async fn find_missed_change(&self, role: FleetRole, cursor: &StoreCursor) -> StoreCursor {
        let mut checked = cursor.clone();
        loop {
            loop {
                let asks_at = self.schedule.borrow().asks_at(&self.view(role));
                match asks_at.saturating_sub(self.elapsed()) {
                    Duration::ZERO => break,
                    // A confirmation that arrives meanwhile puts the call off.
                    delay => tokio::time::sleep(delay).await,
                }
            }
            let (replica, position) = (self.replica, cursor.position);
            let (version, zones) = (replica.version(), replica.evacuation.current().zones);
            match self.ask(role, &checked).await {
                Ok(read_cursor)
                    if replica.version() > version
                        || replica.evacuation.current().zones != zones =>
                {
                    log::info!(
                        target: "routes",
                        version = replica.version().0, previous = version.0,
                        position = position.revision;
                        "watch missed a change, starting another"
                    );
                    return read_cursor;
                }
                Ok(read_cursor) => checked = read_cursor,
                Err(reason) => {
                    log::debug!(target: "routes", "watch not checked, trying again: {reason}");
                }
            }
        }
    }

    /// Asks the store whether anything has changed since `cursor`, and reads it if so.
    async fn ask(&self, role: FleetRole, cursor: &StoreCursor) -> Result<StoreCursor, String> {
        let asked_at = Instant::now();
        let latest = self.replica.confirmation.latest();
        let was_own = latest.is_some_and(|latest| latest.origin == ConfirmationOrigin::Store);
        if !was_own && !role.watches_config() {
            log::info!(
                target: "routes",
                version = self.replica.version().0, role:?,
                confirmed_ms_ago = self.replica.confirmed_ms_ago();
                "no peer has confirmed the configuration, asking the store"
            );
        }
        let result = self.confirm_or_read(asked_at, cursor).await;
        let is_prompt = result.is_ok() && asked_at.elapsed() < SLOW_ANSWER;
        let ask_share = rand::rng().random();
        let mut schedule = self.schedule.borrow_mut();
        schedule.record_ask(self.elapsed(), is_prompt, ask_share);
        result
    }

    async fn confirm_or_read(
        &self,
        asked_at: Instant,
        cursor: &StoreCursor,
    ) -> Result<StoreCursor, String> {
        if !self.is_store_changing.get() && !cursor.position.is_initial() {
            let latest_position = tokio::time::timeout(ASK_TIMEOUT, self.store.latest_position());
            let latest_position = latest_position.await.map_err(|error| error.to_string())?;
            let latest_position = latest_position.map_err(|error| error.to_string())?;
            if !cursor.position.is_behind(latest_position) {
                self.confirm(asked_at);
                return Ok(cursor.clone());
            }
        }
        let read_cursor = self
            .read(ReadFreshness::Current, ConfigOrigin::Asked)
            .await?;
        self.confirm(asked_at);
        self.is_store_changing
            .set(cursor.position.is_behind(read_cursor.position));
        Ok(read_cursor)
    }

    /// Reads the operator's keys, which may be some seconds old; returns their state.
    async fn read_stale(&self) -> Result<StoreCursor, String> {
        let cursor = self
            .read(ReadFreshness::Stale, ConfigOrigin::StaleStore)
            .await?;
        let interval_share = rand::rng().random_range(0.5..1.0);
        let mut schedule = self.schedule.borrow_mut();
        schedule.record_read(self.elapsed(), interval_share);
        Ok(cursor)
    }

    async fn read(
        &self,
        freshness: ReadFreshness,
        origin: ConfigOrigin,
    ) -> Result<StoreCursor, String> {
        let listing = self.store.list_state(self.source.prefix, freshness).await;
        let update = listing.map_err(|error| error.to_string())?;
        let cursor = StoreCursor::default().after(self.source, &update);
        self.apply_update(&cursor, &update, origin)?;
        Ok(cursor)
    }

    /// Applies what was read from the store. The evacuated zones come first: the node must
    /// not serve with a newer configuration without them.
    fn apply_update(
        &self,
        cursor: &StoreCursor,
        update: &PrefixUpdate,
        origin: ConfigOrigin,
    ) -> Result<(), String> {
        let as_of = cursor.position.into();
        (self.replica.evacuation).observe_store(as_of, &cursor.evacuated_zones);
        let mut changes = update.changes.iter().rev();
        let config_change = changes.find(|change| change.key == self.source.key);
        if let Some(stored) = config_change.and_then(|change| change.value.as_ref()) {
            let config = (self.source.decode)(&stored.bytes).map_err(|error| error.to_string())?;
            self.replica.apply_if_newer(config, origin);
        }
        Ok(())
    }

    fn confirm(&self, as_of: Instant) {
        self.replica.confirmation.record(ConfigConfirmation {
            as_of,
            origin: ConfirmationOrigin::Store,
        });
    }
}

/// Fetches announced versions that are newer and don't arrive by a push.
async fn fetch_announced_versions(
    replica: Arc<ConfigReplica>,
    hello: PeerHello,
    mut reports: mpsc::Receiver<(SocketAddr, ConfigVersion)>,
) {
    let started_at = Instant::now();
    let mut announced = AnnouncedVersions::default();
    let mut fetches = FuturesUnordered::new();
    loop {
        let wait = match announced.next_step(started_at.elapsed(), replica.version()) {
            FetchStep::Fetch(peer) => {
                fetches.push(fetch_from_peer(&replica, &hello, peer));
                continue;
            }
            FetchStep::WaitUntil(at) => Some(at.saturating_sub(started_at.elapsed())),
            FetchStep::Idle => None,
        };
        tokio::select! {
            report = reports.recv() => {
                let Some((peer, version)) = report else {
                    return;
                };
                let have = replica.version();
                let is_newer = version > have;
                if is_newer && announced.record(started_at.elapsed(), peer, version) {
                    log::info!(
                        target: "routes",
                        peer:%, version = version.0, have = have.0;
                        "newer configuration announced by a peer"
                    );
                }
            }
            Some(peer) = fetches.next() => announced.end_fetch(peer),
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {}
        }
    }
}

/// Fetches the changes since the active version from a peer; returns the peer.
async fn fetch_from_peer(
    replica: &ConfigReplica,
    hello: &PeerHello,
    peer: SocketAddr,
) -> SocketAddr {
    let request = replica.build_fetch_request();
    let fetch = send_request(peer, hello, &request);
    match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
        Ok(Ok(reply)) => {
            if let Err(error) = replica.apply_fetch_reply(reply) {
                log::warn!(
                    target: "routes", peer:%;
                    "configuration reply of the peer can't be decoded, ignoring it: {error}"
                );
            }
        }
        Ok(Err(error)) => log::info!(
            target: "routes", peer:%;
            "configuration fetch from the peer failed, asking the next: {error}"
        ),
        Err(_) => log::info!(
            target: "routes", peer:%;
            "configuration fetch from the peer timed out, asking the next"
        ),
    }
    peer
}
