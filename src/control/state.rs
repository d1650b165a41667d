//! State of the control thread and the tasks that keep it up to date.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc::{Receiver, UnboundedSender};
use tokio::sync::{Notify, watch};

use crate::admin::{BackendAnnouncement, BackendWithdrawal};
use crate::backend::BackendTarget;
use crate::control::placement::{build_table, log_changes};
use crate::control::presence::BackendPresence;
use crate::control::spread::ranks_below;
use crate::discovery::FleetRole;
use crate::exchange::PeerHello;
use crate::gate::{GateCommand, GateStatus};
use crate::ids::{BackendId, NodeId, NodeIncarnation, RegionName, ServiceName, ZoneName};
use crate::ingress::{IngressShared, StopPhase, lock};
use crate::membership::driver::MembershipHandle;
use crate::membership::{BackendRecord, MembershipEvent};
use crate::routes::{ConfigVersion, RoutesHandle};
use crate::table::{RoutingTable, UpstreamState};
use crate::tickets::ConfigHandle;

/// Time for which changes are collected before a new table is published.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);

/// What a node knows about itself.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of this start.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Time of this start.
    pub started: Instant,
}

/// Backend server beside this node.
#[derive(Debug, Clone)]
pub struct LocalBackend {
    /// Identifier that it announced itself under.
    pub id: BackendId,
    /// What it announced last.
    pub announcement: BackendAnnouncement,
    /// Time of its last heartbeat.
    pub heard: Instant,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It is in force.
    Accepted,
    /// A later one is known.
    Outdated,
    /// Another backend server is beside this node.
    OtherIsHere,
}

/// State of the control thread.
pub struct ControlState {
    /// This node.
    pub identity: NodeIdentity,
    /// Membership.
    pub membership: MembershipHandle,
    /// Change tickets.
    pub config: ConfigHandle,
    /// Configuration of routes.
    pub routes: RoutesHandle,
    /// Orders to the gate.
    pub gate: UnboundedSender<GateCommand>,
    /// Counters of the gate.
    pub gate_status: watch::Receiver<GateStatus>,
    /// State shared with the traffic threads.
    pub ingress: Arc<IngressShared>,
    /// Backend server, if one announced itself.
    pub backend: RefCell<Option<LocalBackend>>,
    /// How far a planned stop has come.
    pub stop_phase: watch::Sender<StopPhase>,
    /// Raised when this process must stop.
    pub stop: Notify,
    role: watch::Sender<FleetRole>,
    backend_ttl: Duration,
    presence: RefCell<BackendPresence>,
    table: watch::Sender<Arc<RoutingTable>>,
    version: Cell<u64>,
    changed: Notify,
}

/// What a [`ControlState`] is put together from.
pub struct ControlParts {
    /// This node.
    pub identity: NodeIdentity,
    /// Membership.
    pub membership: MembershipHandle,
    /// Change tickets.
    pub config: ConfigHandle,
    /// Configuration of routes.
    pub routes: RoutesHandle,
    /// Orders to the gate.
    pub gate: UnboundedSender<GateCommand>,
    /// Counters of the gate.
    pub gate_status: watch::Receiver<GateStatus>,
    /// State shared with the traffic threads.
    pub ingress: Arc<IngressShared>,
    /// Where new tables go.
    pub table: watch::Sender<Arc<RoutingTable>>,
    /// How far a planned stop has come.
    pub stop_phase: watch::Sender<StopPhase>,
    /// Where this node's part in the fleet is told.
    pub role: watch::Sender<FleetRole>,
    /// Time after its last heartbeat at which a backend server counts as gone.
    pub backend_ttl: Duration,
}

impl ControlState {
    /// State of a node that has just started.
    pub fn new(parts: ControlParts) -> Self {
        Self {
            identity: parts.identity,
            membership: parts.membership,
            config: parts.config,
            routes: parts.routes,
            gate: parts.gate,
            gate_status: parts.gate_status,
            ingress: parts.ingress,
            backend: RefCell::new(None),
            stop_phase: parts.stop_phase,
            stop: Notify::new(),
            role: parts.role,
            backend_ttl: parts.backend_ttl,
            presence: RefCell::default(),
            table: parts.table,
            version: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Table in use.
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Takes in an announcement or heartbeat of the backend server.
    ///
    /// One that is older than what is known has no effect.
    pub fn announce(&self, id: BackendId, announcement: BackendAnnouncement) -> AnnounceOutcome {
        let order = announcement.order;
        if order.is_some_and(|order| !self.presence.borrow_mut().accept(&id, order)) {
            log::info!(
                target: "control",
                backend:% = id, order:serde = announcement.order;
                "outdated announcement ignored"
            );
            return AnnounceOutcome::Outdated;
        }
        let mut backend = self.backend.borrow_mut();
        let is_other = backend.as_ref().is_some_and(|known| {
            let is_ordered = known.announcement.order.is_some() && announcement.order.is_some();
            known.id != id && !is_ordered && known.heard.elapsed() < self.backend_ttl
        });
        if is_other {
            return AnnounceOutcome::OtherIsHere;
        }
        let is_news = backend
            .as_ref()
            .is_none_or(|known| known.id != id || known.announcement.state != announcement.state);
        if is_news {
            log::info!(
                target: "control",
                backend:% = id, service:% = announcement.service,
                state:serde = announcement.state, order:serde = announcement.order;
                "backend server announced"
            );
        }
        self.command_gate(&id, &announcement);
        let record = BackendRecord {
            id: id.clone(),
            service: announcement.service.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: announcement.state,
        };
        *backend = Some(LocalBackend {
            id,
            announcement,
            heard: Instant::now(),
        });
        drop(backend);
        self.membership.announce(record, self.backend_ttl);
        AnnounceOutcome::Accepted
    }

    fn command_gate(&self, id: &BackendId, announcement: &BackendAnnouncement) {
        self.order(GateCommand::SetBackend {
            target: BackendTarget {
                id: id.clone(),
                service: announcement.service.clone(),
                address: announcement.address,
                slots: announcement.slots,
                max_connections: announcement.connections,
                health_path: self.health_path(&announcement.service),
            },
            warmup_left: Duration::from_millis(announcement.warmup_left_ms),
        });
        let is_stopping = self.is_stopping();
        match announcement.state {
            UpstreamState::Draining | UpstreamState::Gone => self.order(GateCommand::Drain),
            UpstreamState::Joining | UpstreamState::Ready if !is_stopping => {
                self.order(GateCommand::EndDrain);
            }
            UpstreamState::Joining | UpstreamState::Ready => {}
        }
    }

    fn health_path(&self, service: &ServiceName) -> Option<String> {
        let routes = self.routes.subscribe().borrow().clone();
        let settings = routes.as_ref()?.services.get(service)?;
        settings.health_path.clone()
    }

    /// Hands the configuration on to nodes of the availability zone, which
    /// don't watch the store.
    fn push_routes(&self) {
        let state = self.membership.state().borrow();
        let own = &self.identity;
        let others = state.members().values().filter(|member| {
            member.is_live() && member.zone == own.zone && member.node != own.node
        });
        let others: Vec<SocketAddr> = others.map(|member| member.peer_address).collect();
        let rank = zone_rank(state.members(), own) as usize;
        let below = ranks_below(rank, others.len() + 1);
        // The own rank is lower and is missing among the others.
        let below = below.filter_map(|reached| others.get(reached - 1).copied());
        let hello = PeerHello {
            node: own.node.to_string(),
            incarnation: own.incarnation.get(),
            is_call_link: false,
        };
        self.routes.push_to(below, &hello);
    }

    /// Tells the gate what a new configuration says of its backend server.
    fn refresh_gate(&self) {
        if let Some(backend) = self.backend.borrow().as_ref() {
            self.command_gate(&backend.id, &backend.announcement);
        }
    }

    fn order(&self, command: GateCommand) {
        if self.gate.send(command).is_err() {
            log::error!(target: "control", "gate has ended");
            self.stop.notify_one();
        }
    }

    /// Takes in the withdrawal of a backend server; false if it isn't here.
    ///
    /// What it is working on ends normally. A backend server whose
    /// announcements are in order may be unknown to a node that has just
    /// started; its withdrawal is remembered all the same.
    pub fn withdraw(&self, id: &BackendId, withdrawal: BackendWithdrawal) -> bool {
        let mut backend = self.backend.borrow_mut();
        let known = backend.as_ref().filter(|known| known.id == *id);
        let is_ordered = withdrawal.announcements_are_ordered
            || known.is_some_and(|known| known.announcement.order.is_some());
        if is_ordered {
            let mut presence = self.presence.borrow_mut();
            let started = withdrawal.started_at_ms;
            if !presence.withdraw(id, started, unix_millis()) {
                log::info!(target: "control", backend:% = id; "outdated withdrawal ignored");
                return true;
            }
        }
        if known.is_none() {
            log::info!(target: "control", backend:% = id, is_ordered; "unknown backend server withdrew");
            return is_ordered;
        }
        log::info!(target: "control", backend:% = id; "backend server withdrew");
        *backend = None;
        drop(backend);
        self.order(GateCommand::ClearBackend);
        self.membership.withdraw();
        true
    }

    /// Begins a planned stop that ends within a time: callers are to go
    /// elsewhere, and the gate takes only what ends before.
    pub fn begin_stop(&self, limit: Duration) {
        log::info!(target: "placement", limit_ms = limit.as_millis() as u64; "planned stop begins");
        self.stop_phase.send_replace(StopPhase::Leaving);
        self.order(GateCommand::PrepareStop(limit));
    }

    /// Takes no new work at the gate; what runs ends normally.
    pub fn close_gate(&self) {
        self.membership.leave();
        self.order(GateCommand::Drain);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop_phase.borrow() != StopPhase::Serving
    }

    /// Takes no further connections and requests of callers.
    pub fn close_ingress(&self) {
        self.stop_phase.send_replace(StopPhase::Closed);
    }

    /// Whether no call is under way at the gate or the ingress, and no caller's
    /// connection is left that may have one.
    pub fn is_idle(&self) -> bool {
        let status = *self.gate_status.borrow();
        let is_gate_idle = status.in_flight == 0 && status.queued == 0;
        let ingress = &self.ingress;
        is_gate_idle && ingress.in_flight() == 0 && ingress.connections() == 0
    }

    /// Whether no live node of the own availability zone has a lower name.
    pub fn is_first_of_zone(&self) -> bool {
        zone_rank(self.membership.state().borrow().members(), &self.identity) == 0
    }

    fn set_role(&self, role: FleetRole) {
        self.role.send_if_modified(|present| {
            let is_changed = *present != role;
            if is_changed {
                log::info!(target: "control", role:?; "part in the fleet changed");
                *present = role;
            }
            is_changed
        });
    }

    fn publish(&self) {
        let version = self.version.get() + 1;
        let tickets = self.config.subscribe().borrow().clone();
        let state = self.membership.state().borrow();
        let routes = self.routes.subscribe().borrow().clone();
        let table = build_table(version, state.members(), &tickets, routes);
        let rank = zone_rank(state.members(), &self.identity);
        let alive = state.members().values().filter(|member| member.is_live());
        let role = FleetRole::of_rank(alive.count(), rank);
        drop(state);
        self.config.set_zone_rank(rank);
        self.set_role(role);
        let old = self.table();
        if old.services == table.services && old.routes == table.routes {
            return;
        }
        log_changes(&old, &table);
        self.version.set(version);
        let table = Arc::new(table);
        let now = self.ingress.now();
        lock(&self.ingress.router).apply_table(now, &table);
        self.table.send_replace(table);
    }
}

/// Present Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Live nodes of the own availability zone with a lower name.
fn zone_rank(
    members: &std::collections::BTreeMap<NodeId, crate::membership::MemberRecord>,
    identity: &NodeIdentity,
) -> u32 {
    let lower = members
        .range(..identity.node.clone())
        .filter(|(_, member)| member.zone == identity.zone && member.is_live())
        .count();
    u32::try_from(lower).unwrap_or(u32::MAX)
}

/// Publishes a new table after each change, many changes at a time.
pub async fn publish_tables(control: Rc<ControlState>) {
    loop {
        control.changed.notified().await;
        tokio::time::sleep(PUBLISH_DELAY).await;
        control.publish();
    }
}

/// Follows membership until its channel closes.
pub async fn follow_membership(control: Rc<ControlState>, mut events: Receiver<MembershipEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            MembershipEvent::MembersChanged => control.changed.notify_one(),
            MembershipEvent::PeerHead {
                node,
                peer_address,
                version,
            } => {
                control.config.on_peer_head(&node, peer_address, version);
                let version = ConfigVersion(version);
                control.routes.on_peer_version(peer_address, version);
            }
            MembershipEvent::Superseded => {
                log::error!(target: "control", "a later start of this node runs, stopping");
                control.stop.notify_one();
            }
        }
    }
}

/// Follows the tickets in force until their channel closes.
pub async fn follow_config(control: Rc<ControlState>) {
    let mut tickets = control.config.subscribe();
    loop {
        let version = tickets.borrow_and_update().head_version();
        control.membership.set_head_version(version);
        control.changed.notify_one();
        if tickets.changed().await.is_err() {
            return;
        }
    }
}

/// Follows the routes in force until their channel closes.
pub async fn follow_routes(control: Rc<ControlState>) {
    let mut routes = control.routes.subscribe();
    while routes.changed().await.is_ok() {
        routes.mark_unchanged();
        let version = control.routes.version();
        control.membership.set_head_version(version.0);
        control.refresh_gate();
        control.push_routes();
        // A new configuration is not kept back for others to join it.
        control.publish();
    }
}
