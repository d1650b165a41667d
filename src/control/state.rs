//! State of the control thread, and the tasks that update it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc::{Receiver, UnboundedSender};
use tokio::sync::{Notify, watch};

use crate::admin::{BackendAnnouncement, BackendWithdrawal, is_plausible_start};
use crate::backend::{BackendClient, BackendTarget};
use crate::control::evacuation::drain_evacuated_zones;
use crate::control::placement::{build_routing_table, log_upstream_changes};
use crate::control::presence::BackendPresence;
use crate::control::presence::freshness::{HeartbeatFreshness, HeartbeatVerdict, ProcessHistory};
use crate::departures::{DepartureHandle, DepartureRecord};
use crate::discovery::{FleetRole, RoleAssignment};
use crate::fields::HeaderDialect;
use crate::gate::{GateCommand, GateStatus};
use crate::ids::{
    BackendId, BackendKey, NodeId, NodeIncarnation, RegionName, ServiceName, ZoneName,
};
use crate::ingress::stop_times::StopTimes;
use crate::ingress::{IngressState, StopPhase, lock};
use crate::membership::driver::MembershipHandle;
use crate::membership::{BackendRecord, MembershipEvent};
use crate::routes::{
    ConfigConfirmation, ConfigVersion, ConfirmationOrigin, RoutesHandle, WarmUpSettings,
};
use crate::table::{RoutingTable, UpstreamState};
use crate::tickets::TicketsHandle;

/// Delay before a new routing table is published, so that one table covers many
/// changes.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);
/// Longest wait for the status check of a backend server on the same VM, which waits for its
/// acknowledgement meanwhile.
const STATUS_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Identity and location of this node.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    /// Incarnation number of this process.
    pub incarnation: NodeIncarnation,
    /// Region that the node runs in.
    pub region: RegionName,
    /// Availability zone that the node runs in.
    pub zone: ZoneName,
    /// Start time of this process.
    pub started_at: Instant,
}

/// Backend server that announced itself to this node.
#[derive(Debug, Clone)]
pub struct LocalBackend {
    /// Identifier from its announcements.
    pub id: BackendId,
    /// Its latest accepted announcement.
    pub announcement: BackendAnnouncement,
    /// Time of its latest accepted announcement.
    pub last_heartbeat: Instant,
}

/// Result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement was applied.
    Accepted,
    /// The announcement was ignored: a later one or a withdrawal is known.
    Outdated,
    /// The announcement was refused: this node serves another backend server,
    /// whose last heartbeat is recent, and their announcements have no common order.
    ConflictingBackend,
}

/// Result of a withdrawal.
#[derive(Debug)]
pub enum WithdrawalOutcome {
    /// The withdrawal was applied; the record of it is to be kept if there is one.
    Applied(Option<DepartureRecord>),
    /// No such backend server is known.
    UnknownBackend,
}

/// State of the control thread.
pub struct ControlState {
    /// Identity of this node.
    pub identity: NodeIdentity,
    /// Handle to the membership of the fleet.
    pub membership: MembershipHandle,
    /// Handle to the change tickets and the rules in force.
    pub tickets: TicketsHandle,
    /// Handle to the route configuration.
    pub routes: RoutesHandle,
    /// Records of acknowledged departures.
    pub departures: DepartureHandle,
    /// Commands to the gate thread.
    pub gate_commands: UnboundedSender<GateCommand>,
    /// Load and limit of the gate.
    pub gate_status: watch::Receiver<GateStatus>,
    /// State shared with the worker threads.
    pub ingress: Arc<IngressState>,
    /// Local backend server; `None` until it announces itself and after it has
    /// withdrawn.
    pub backend: RefCell<Option<LocalBackend>>,
    /// Phase of a graceful shutdown.
    pub stop_phase: watch::Sender<StopPhase>,
    /// Notified when this process must stop.
    pub stop_requested: Notify,
    role_sender: watch::Sender<FleetRole>,
    role_assignment: RefCell<RoleAssignment>,
    backend_ttl: Duration,
    presence: RefCell<BackendPresence>,
    /// Whether `presence` knows the departures that earlier processes acknowledged.
    is_presence_recovered: watch::Sender<bool>,
    /// Heartbeats that may be from before a departure of which no process knows.
    freshness: RefCell<HeartbeatFreshness>,
    dialect: &'static HeaderDialect,
    /// Start of the draining backend server whose departure has been recorded.
    recorded_draining: Cell<Option<BackendKey>>,
    table_sender: watch::Sender<Arc<RoutingTable>>,
    table_version: Cell<u64>,
    table_inputs_changed: Notify,
}

/// Components that a [`ControlState`] is built from.
pub struct ControlParts {
    /// Identity of this node.
    pub identity: NodeIdentity,
    /// Handle to the membership of the fleet.
    pub membership: MembershipHandle,
    /// Handle to the change tickets and the rules in force.
    pub tickets: TicketsHandle,
    /// Handle to the route configuration.
    pub routes: RoutesHandle,
    /// Records of acknowledged departures.
    pub departures: DepartureHandle,
    /// Names of the header fields of backend servers.
    pub dialect: &'static HeaderDialect,
    /// Commands to the gate thread.
    pub gate_commands: UnboundedSender<GateCommand>,
    /// Load and limit of the gate.
    pub gate_status: watch::Receiver<GateStatus>,
    /// State shared with the worker threads.
    pub ingress: Arc<IngressState>,
    /// Publishes new routing tables to the worker threads.
    pub table_sender: watch::Sender<Arc<RoutingTable>>,
    /// Phase of a graceful shutdown.
    pub stop_phase: watch::Sender<StopPhase>,
    /// Publishes this node's role in the fleet.
    pub role_sender: watch::Sender<FleetRole>,
    /// Time without a heartbeat after which a backend server counts as gone.
    pub backend_ttl: Duration,
}

impl ControlState {
    /// Creates the state of a node that has just started: no backend server, and
    /// table version 0.
    pub fn new(parts: ControlParts) -> Self {
        Self {
            identity: parts.identity,
            membership: parts.membership,
            tickets: parts.tickets,
            routes: parts.routes,
            departures: parts.departures,
            gate_commands: parts.gate_commands,
            gate_status: parts.gate_status,
            ingress: parts.ingress,
            backend: RefCell::new(None),
            stop_phase: parts.stop_phase,
            stop_requested: Notify::new(),
            role_sender: parts.role_sender,
            role_assignment: RefCell::new(RoleAssignment::new(Duration::ZERO)),
            backend_ttl: parts.backend_ttl,
            presence: RefCell::default(),
            is_presence_recovered: watch::Sender::new(false),
            freshness: RefCell::default(),
            dialect: parts.dialect,
            recorded_draining: Cell::new(None),
            table_sender: parts.table_sender,
            table_version: Cell::new(0),
            table_inputs_changed: Notify::new(),
        }
    }

    /// Routing table that was published last.
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.table_sender.borrow())
    }

    /// Applies an announcement or heartbeat of the local backend server.
    ///
    /// An outdated one has no effect.
    pub fn apply_announcement(
        &self,
        id: BackendId,
        announcement: BackendAnnouncement,
    ) -> AnnouncementOutcome {
        let order = announcement.order;
        if order.is_some_and(|order| !self.presence.borrow_mut().accept_announcement(&id, order)) {
            log::info!(
                target: "control",
                backend:% = id, order:serde = announcement.order;
                "outdated announcement ignored"
            );
            return AnnouncementOutcome::Outdated;
        }
        let mut backend = self.backend.borrow_mut();
        let is_conflicting = backend.as_ref().is_some_and(|known| {
            let is_ordered = known.announcement.order.is_some() && announcement.order.is_some();
            known.id != id && !is_ordered && known.last_heartbeat.elapsed() < self.backend_ttl
        });
        if is_conflicting {
            return AnnouncementOutcome::ConflictingBackend;
        }
        let is_state_change = backend
            .as_ref()
            .is_none_or(|known| known.id != id || known.announcement.state != announcement.state);
        if is_state_change {
            log::info!(
                target: "control",
                backend:% = id, service:% = announcement.service,
                state:serde = announcement.state, order:serde = announcement.order;
                "backend server announced"
            );
        }
        if matches!(
            announcement.state,
            UpstreamState::Joining | UpstreamState::Ready
        ) {
            // If it drains again, that is another departure.
            self.recorded_draining.set(None);
        }
        self.configure_gate(&id, &announcement);
        *backend = Some(LocalBackend {
            id,
            announcement,
            last_heartbeat: Instant::now(),
        });
        drop(backend);
        self.announce_backend();
        AnnouncementOutcome::Accepted
    }

    /// Announces the local backend server to the fleet. One that said in a response
    /// that it leaves is draining, whatever its heartbeats state.
    fn announce_backend(&self) {
        let backend = self.backend.borrow();
        let Some(LocalBackend {
            id, announcement, ..
        }) = backend.as_ref()
        else {
            return;
        };
        let key = announcement.backend_key(id);
        let has_said_it_leaves = self.gate_status.borrow().leaving_backend == Some(key);
        let record = BackendRecord {
            id: id.clone(),
            key,
            service: announcement.service.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: match announcement.state {
                UpstreamState::Joining | UpstreamState::Ready if has_said_it_leaves => {
                    UpstreamState::Draining
                }
                state => state,
            },
        };
        self.membership.announce(record, self.backend_ttl);
    }

    fn backend_target(&self, id: &BackendId, announcement: &BackendAnnouncement) -> BackendTarget {
        BackendTarget {
            id: id.clone(),
            key: announcement.backend_key(id),
            states_its_start: announcement.order.is_some(),
            service: announcement.service.clone(),
            address: announcement.address,
            slots: announcement.slots,
            max_connections: announcement.connections,
            health_path: self.health_path(&announcement.service),
        }
    }

    fn configure_gate(&self, id: &BackendId, announcement: &BackendAnnouncement) {
        self.send_to_gate(GateCommand::SetBackend {
            target: self.backend_target(id, announcement),
            warmup_left: Duration::from_millis(announcement.warmup_left_ms),
            rate_limit: announcement.rate_limit,
            warm_up: self.warm_up_settings(&announcement.service),
        });
        let is_stopping = self.is_stopping();
        match announcement.state {
            UpstreamState::Draining | UpstreamState::Gone => {
                self.send_to_gate(GateCommand::DrainBackend);
            }
            UpstreamState::Joining | UpstreamState::Ready if !is_stopping => {
                self.send_to_gate(GateCommand::EndDrain);
            }
            UpstreamState::Joining | UpstreamState::Ready => {}
        }
    }

    fn warm_up_settings(&self, service: &ServiceName) -> Option<WarmUpSettings> {
        let routes = self.routes.subscribe().borrow().clone();
        routes.as_ref()?.services.get(service)?.warm_up
    }

    fn health_path(&self, service: &ServiceName) -> Option<String> {
        let routes = self.routes.subscribe().borrow().clone();
        let settings = routes.as_ref()?.services.get(service)?;
        settings.health_path.clone()
    }

    /// Pushes the configuration to this node's availability zone, as most of its nodes
    /// don't watch the store.
    fn push_routes(&self) {
        let state = self.membership.state().borrow();
        let identity = &self.identity;
        let others = state.members().values().filter(|member| {
            member.is_live() && member.zone == identity.zone && member.node != identity.node
        });
        let others: Vec<SocketAddr> = others.map(|member| member.peer_address).collect();
        let own_rank = zone_rank(state.members(), identity) as usize;
        self.routes.push_to_zone(&others, own_rank);
    }

    /// Applies the settings of a new configuration to the gate.
    fn reconfigure_gate(&self) {
        if let Some(backend) = self.backend.borrow().as_ref() {
            self.configure_gate(&backend.id, &backend.announcement);
        }
    }

    pub(super) fn send_to_gate(&self, command: GateCommand) {
        if self.gate_commands.send(command).is_err() {
            log::error!(target: "control", "gate thread has ended, stopping the node");
            self.stop_requested.notify_one();
        }
    }

    /// Waits for the departures that earlier processes of this node acknowledged.
    pub async fn wait_until_recovered(&self) {
        let mut is_recovered = self.is_presence_recovered.subscribe();
        // The sender is a field of this state, so it isn't closed.
        let _ = is_recovered.wait_for(|is_recovered| *is_recovered).await;
    }

    /// Whether the backend server of an announcement has not left before this process began,
    /// as far as can be told.
    pub async fn is_serving(&self, id: &BackendId, announcement: &BackendAnnouncement) -> bool {
        let Some(order) = announcement.order else {
            return true;
        };
        if self.has_accepted(id, announcement) {
            return true;
        }
        let age = self.identity.started_at.elapsed();
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let history = ProcessHistory {
            knows_departures: self.departures.is_complete(),
            started_at_ms: unix_millis().saturating_sub(age_ms),
            age,
        };
        let verdict = self.freshness.borrow_mut().judge(id, order, &history);
        let is_serving = match verdict {
            HeartbeatVerdict::Fresh => return true,
            HeartbeatVerdict::AwaitNext => false,
            HeartbeatVerdict::AskServer => self.answers_status_check(id, announcement).await,
        };
        log::info!(
            target: "control",
            backend:% = id, order:serde = announcement.order, verdict:?, is_serving,
            process_age_ms = age_ms;
            "heartbeat that may be from before a departure"
        );
        is_serving
    }

    /// Whether an earlier heartbeat of this start has been accepted.
    fn has_accepted(&self, id: &BackendId, announcement: &BackendAnnouncement) -> bool {
        let key = announcement.backend_key(id);
        (self.backend.borrow().as_ref())
            .is_some_and(|known| known.announcement.backend_key(&known.id) == key)
    }

    /// Whether the backend server answers its status check; true if it has none, or may get
    /// no request.
    async fn answers_status_check(
        &self,
        id: &BackendId,
        announcement: &BackendAnnouncement,
    ) -> bool {
        let evacuated = self.routes.evacuation().current();
        let is_evacuated = evacuated.zones.contains(&self.identity.zone);
        let target = self.backend_target(id, announcement);
        if is_evacuated || target.health_path.is_none() {
            return true;
        }
        let client = BackendClient::new(target, self.dialect);
        let response = tokio::time::timeout(STATUS_CHECK_TIMEOUT, client.fetch_load()).await;
        response.is_ok_and(|response| response.is_some_and(|response| response.is_up))
    }

    /// Applies departures that earlier processes of this node acknowledged, also to a backend
    /// server that has announced itself in the meantime.
    fn restore_departures(&self, records: &[DepartureRecord]) {
        for record in records {
            log::info!(
                target: "control",
                backend:% = record.backend, valid_from:serde = record.valid_from;
                "departure acknowledged by an earlier process"
            );
            self.presence.borrow_mut().restore(record.clone());
        }
        self.is_presence_recovered.send_replace(true);
        let mut backend = self.backend.borrow_mut();
        let has_left = backend.as_ref().is_some_and(|known| {
            let order = known.announcement.order;
            order.is_some_and(|order| self.presence.borrow().has_left(&known.id, order))
        });
        if has_left {
            *backend = None;
            self.send_to_gate(GateCommand::ClearBackend);
            self.membership.withdraw();
        }
    }

    /// Records that the local backend server drains, once for each of its starts.
    pub async fn record_draining(&self, id: &BackendId, announcement: &BackendAnnouncement) {
        let key = announcement.backend_key(id);
        let Some(order) = announcement.order else {
            return;
        };
        if self.recorded_draining.replace(Some(key)) == Some(key) {
            return;
        }
        let record = DepartureRecord {
            backend: id.clone(),
            valid_from: order,
        };
        self.departures.record(record).await;
    }

    /// Applies the withdrawal of a backend server.
    ///
    /// Its requests in progress end normally. A backend server with ordered
    /// announcements may be unknown to a node that has just started; its withdrawal
    /// is recorded nevertheless and counts as applied.
    pub fn apply_withdrawal(
        &self,
        id: &BackendId,
        withdrawal: BackendWithdrawal,
    ) -> WithdrawalOutcome {
        let mut record = None;
        let mut backend = self.backend.borrow_mut();
        let known = backend.as_ref().filter(|known| known.id == *id);
        let is_ordered = withdrawal.announcements_are_ordered
            || known.is_some_and(|known| known.announcement.order.is_some());
        if is_ordered {
            let mut presence = self.presence.borrow_mut();
            let now_ms = unix_millis();
            let stated_start = withdrawal.started_at_ms;
            let started_at_ms = stated_start.filter(|start| is_plausible_start(*start, now_ms));
            record = presence.accept_withdrawal(id, started_at_ms, now_ms);
            if record.is_none() {
                log::info!(target: "control", backend:% = id; "outdated withdrawal ignored");
                return WithdrawalOutcome::Applied(None);
            }
        }
        if known.is_none() {
            log::info!(
                target: "control", backend:% = id, is_ordered;
                "unknown backend server withdrew"
            );
            return match is_ordered {
                true => WithdrawalOutcome::Applied(record),
                false => WithdrawalOutcome::UnknownBackend,
            };
        }
        log::info!(target: "control", backend:% = id; "backend server withdrew");
        *backend = None;
        drop(backend);
        self.send_to_gate(GateCommand::ClearBackend);
        self.membership.withdraw();
        WithdrawalOutcome::Applied(record)
    }

    /// Begins a graceful shutdown: callers are directed to other nodes, the gate
    /// only admits calls that end in time, and calls end after `call_limit` at the
    /// latest.
    pub fn begin_stop(&self, leave_time: Duration, call_limit: Duration) {
        log::info!(
            target: "placement", limit_ms = call_limit.as_millis() as u64;
            "planned stop begins"
        );
        self.stop_phase.send_replace(StopPhase::Draining);
        let signalled_at = tokio::time::Instant::now();
        let times = StopTimes::new(signalled_at, leave_time, call_limit);
        self.ingress.begin_stop(times);
        self.send_to_gate(GateCommand::PrepareStop(call_limit));
    }

    /// Stops admission at the gate and leaves the membership; running calls end
    /// normally.
    pub fn close_gate(&self) {
        self.membership.leave();
        self.send_to_gate(GateCommand::Drain);
    }

    /// Closes the gate's links to other nodes in order; completes when they are closed.
    pub async fn close_gate_links(&self) {
        let (closed_sender, closed) = tokio::sync::oneshot::channel();
        self.send_to_gate(GateCommand::CloseLinks(closed_sender));
        // Fails if the gate has ended, and its links with it.
        let _ = closed.await;
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop_phase.borrow() != StopPhase::Serving
    }

    /// Stops accepting callers' connections and requests.
    pub fn close_ingress(&self) {
        self.stop_phase.send_replace(StopPhase::Closed);
    }

    /// Whether calls run or wait at the gate.
    pub fn is_gate_busy(&self) -> bool {
        let status = *self.gate_status.borrow();
        status.in_flight > 0 || status.queued > 0
    }

    /// Whether no call is in progress at the gate or the ingress, and no caller's
    /// connection is left that may carry one.
    pub fn is_idle(&self) -> bool {
        let ingress = &self.ingress;
        !self.is_gate_busy() && ingress.in_flight_requests() == 0 && ingress.open_connections() == 0
    }

    /// Whether this node is first by name among the live nodes of its availability
    /// zone.
    pub fn is_first_of_zone(&self) -> bool {
        zone_rank(self.membership.state().borrow().members(), &self.identity) == 0
    }

    /// Waits until the role by the present rank has settled; forever if it has been
    /// assigned.
    async fn role_settled(&self) {
        let settles_at = self.role_assignment.borrow().next_change_at();
        match settles_at {
            Some(at) => {
                let elapsed = self.identity.started_at.elapsed();
                tokio::time::sleep(at.saturating_sub(elapsed)).await;
            }
            None => std::future::pending().await,
        }
    }

    fn set_role(&self, role: FleetRole) {
        self.role_sender.send_if_modified(|current| {
            let is_changed = *current != role;
            if is_changed {
                log::info!(target: "control", role:?; "part in the fleet changed");
                *current = role;
            }
            is_changed
        });
    }

    pub(super) fn publish_table(&self) {
        let version = self.table_version.get() + 1;
        let tickets = self.tickets.subscribe().borrow().clone();
        let membership = self.membership.state().borrow();
        let routes = self.routes.subscribe().borrow().clone();
        let mut table = build_routing_table(version, membership.members(), &tickets, routes);
        drain_evacuated_zones(&mut table, &self.routes.evacuation().current());
        let rank = zone_rank(membership.members(), &self.identity);
        let live_members = membership
            .members()
            .values()
            .filter(|member| member.is_live());
        let role = FleetRole::from_zone_rank(live_members.count(), rank);
        drop(membership);
        self.tickets.set_zone_rank(rank);
        let elapsed = self.identity.started_at.elapsed();
        self.set_role(self.role_assignment.borrow_mut().observe(elapsed, role));
        let old_table = self.table();
        if old_table.services == table.services && old_table.routes == table.routes {
            return;
        }
        log_upstream_changes(&old_table, &table);
        self.table_version.set(version);
        let table = Arc::new(table);
        let now = self.ingress.now();
        lock(&self.ingress.router).apply_table(now, &table);
        self.table_sender.send_replace(table);
    }
}

/// Current Unix time in milliseconds.
pub(super) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Number of live nodes in this node's availability zone that precede it by name.
fn zone_rank(
    members: &std::collections::BTreeMap<NodeId, crate::membership::MemberRecord>,
    identity: &NodeIdentity,
) -> u32 {
    let lower_count = members
        .range(..identity.node.clone())
        .filter(|(_, member)| member.zone == identity.zone && member.is_live())
        .count();
    u32::try_from(lower_count).unwrap_or(u32::MAX)
}

/// Publishes a new routing table after changes, batching those that come together,
/// and assigns the role in the fleet when it has settled.
pub async fn publish_tables(control: Rc<ControlState>) {
    loop {
        tokio::select! {
            () = control.table_inputs_changed.notified() => {
                tokio::time::sleep(PUBLISH_DELAY).await;
            }
            () = control.role_settled() => {}
        }
        control.publish_table();
    }
}

/// Announces that the backend server leaves when it has said so in a response, until
/// the gate ends.
pub async fn follow_leaving_backend(control: Rc<ControlState>) {
    let mut status = control.gate_status.clone();
    let mut known = None;
    loop {
        let is_new = |status: &GateStatus| status.leaving_backend != known;
        let Ok(leaving) = status
            .wait_for(is_new)
            .await
            .map(|status| status.leaving_backend)
        else {
            return;
        };
        known = leaving;
        if leaving.is_some() {
            control.announce_backend();
        }
    }
}

/// Applies the departures that earlier processes acknowledged, until all are told.
pub async fn follow_departures(control: Rc<ControlState>) {
    let mut recovered = control.departures.recovered();
    loop {
        if let Some(records) = &*recovered.borrow_and_update() {
            control.restore_departures(records);
        }
        if recovered.changed().await.is_err() {
            return;
        }
    }
}

/// Processes membership events until their channel closes.
pub async fn follow_membership(control: Rc<ControlState>, mut events: Receiver<MembershipEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            MembershipEvent::MembersChanged => control.table_inputs_changed.notify_one(),
            MembershipEvent::NewerPeerHead {
                node,
                peer_address,
                version,
            } => {
                control.tickets.on_peer_head(&node, peer_address, version);
                let version = ConfigVersion(version);
                control.routes.on_peer_version(peer_address, version);
            }
            MembershipEvent::EvacuatedZones(zones) => {
                control.routes.evacuation().merge(&zones, "gossip");
            }
            MembershipEvent::ConfigConfirmed { confirmed_at } => {
                let confirmation = ConfigConfirmation {
                    as_of: control.identity.started_at + confirmed_at,
                    origin: ConfirmationOrigin::Peer,
                };
                control.routes.confirmation().record(confirmation);
            }
            MembershipEvent::Superseded => {
                log::error!(
                    target: "control",
                    "a later start of this node runs, stopping"
                );
                control.stop_requested.notify_one();
            }
        }
    }
}

/// Passes the confirmations that this node gets from the store on to the others, until
/// their channel closes.
pub async fn follow_confirmations(control: Rc<ControlState>) {
    let mut confirmations = control.routes.confirmation().subscribe();
    while confirmations.changed().await.is_ok() {
        let latest = *confirmations.borrow_and_update();
        let Some(latest) = latest.filter(|it| it.origin == ConfirmationOrigin::Store) else {
            continue;
        };
        // A confirmation must not be sent with a version that it doesn't hold for.
        let zones = control.routes.evacuation().current();
        control.membership.set_evacuated_zones(zones);
        let version = control.routes.version();
        control.membership.set_head_version(version.0);
        let started_at = control.identity.started_at;
        let confirmed_at = latest.as_of.saturating_duration_since(started_at);
        control.membership.confirm_config(confirmed_at);
    }
}

/// Processes changes of the tickets in force until their channel closes.
pub async fn follow_tickets(control: Rc<ControlState>) {
    let mut tickets = control.tickets.subscribe();
    loop {
        let version = tickets.borrow_and_update().head_version();
        control.membership.set_head_version(version);
        control.table_inputs_changed.notify_one();
        if tickets.changed().await.is_err() {
            return;
        }
    }
}

/// Processes new route configurations until their channel closes.
pub async fn follow_routes(control: Rc<ControlState>) {
    let mut routes = control.routes.subscribe();
    while routes.changed().await.is_ok() {
        routes.mark_unchanged();
        let version = control.routes.version();
        control.membership.set_head_version(version.0);
        control.ingress.metrics.set_config_version(version.0);
        control.reconfigure_gate();
        control.push_routes();
        // A new configuration is published without the batching delay.
        control.publish_table();
    }
}
