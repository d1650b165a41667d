//! State of the control thread and the tasks that keep it up to date.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Receiver, UnboundedSender};
use tokio::sync::{Notify, watch};

use crate::admin::BackendAnnouncement;
use crate::backend::BackendTarget;
use crate::control::placement::{build_table, log_changes};
use crate::gate::{GateCommand, GateStatus};
use crate::ids::{BackendId, NodeId, NodeIncarnation, RegionName, ZoneName};
use crate::ingress::{IngressShared, lock};
use crate::membership::driver::MembershipHandle;
use crate::membership::{BackendRecord, MembershipEvent};
use crate::table::{RoutingTable, UpstreamState};
use crate::tickets::ConfigHandle;

/// Time after its last heartbeat at which a backend server counts as gone.
pub const BACKEND_TTL: Duration = Duration::from_secs(3);
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

/// State of the control thread.
pub struct ControlState {
    /// This node.
    pub identity: NodeIdentity,
    /// Membership.
    pub membership: MembershipHandle,
    /// Change tickets.
    pub config: ConfigHandle,
    /// Orders to the gate.
    pub gate: UnboundedSender<GateCommand>,
    /// Counters of the gate.
    pub gate_status: watch::Receiver<GateStatus>,
    /// State shared with the traffic threads.
    pub ingress: Arc<IngressShared>,
    /// Backend server, if one announced itself.
    pub backend: RefCell<Option<LocalBackend>>,
    /// Whether a planned stop has begun.
    pub is_stopping: watch::Sender<bool>,
    /// Raised when this process must stop.
    pub stop: Notify,
    table: watch::Sender<Arc<RoutingTable>>,
    version: Cell<u64>,
    changed: Notify,
}

impl ControlState {
    /// State of a node that has just started.
    #[expect(clippy::too_many_arguments, reason = "assembled in one place only")]
    pub fn new(
        identity: NodeIdentity,
        membership: MembershipHandle,
        config: ConfigHandle,
        gate: UnboundedSender<GateCommand>,
        gate_status: watch::Receiver<GateStatus>,
        ingress: Arc<IngressShared>,
        table: watch::Sender<Arc<RoutingTable>>,
        is_stopping: watch::Sender<bool>,
    ) -> Self {
        Self {
            identity,
            membership,
            config,
            gate,
            gate_status,
            ingress,
            backend: RefCell::new(None),
            is_stopping,
            stop: Notify::new(),
            table,
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
    /// Returns false if another backend server is beside this node already.
    pub fn announce(&self, id: BackendId, announcement: BackendAnnouncement) -> bool {
        let mut backend = self.backend.borrow_mut();
        let is_other = backend
            .as_ref()
            .is_some_and(|known| known.id != id && known.heard.elapsed() < BACKEND_TTL);
        if is_other {
            return false;
        }
        self.command_gate(&announcement);
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
        self.membership.announce(record, BACKEND_TTL);
        true
    }

    fn command_gate(&self, announcement: &BackendAnnouncement) {
        self.order(GateCommand::SetBackend(BackendTarget {
            service: announcement.service.clone(),
            address: announcement.address,
            slots: announcement.slots,
            connections: announcement.connections,
        }));
        let is_stopping = *self.is_stopping.borrow();
        match announcement.state {
            UpstreamState::Draining | UpstreamState::Gone => self.order(GateCommand::Drain),
            UpstreamState::Joining | UpstreamState::Ready if !is_stopping => {
                self.order(GateCommand::Reopen);
            }
            UpstreamState::Joining | UpstreamState::Ready => {}
        }
    }

    fn order(&self, command: GateCommand) {
        if self.gate.send(command).is_err() {
            log::error!(target: "control", "gate has ended");
            self.stop.notify_one();
        }
    }

    /// Takes in the withdrawal of the backend server; false if it isn't here.
    pub fn withdraw(&self, id: &BackendId) -> bool {
        let mut backend = self.backend.borrow_mut();
        if backend.as_ref().is_none_or(|known| known.id != *id) {
            return false;
        }
        *backend = None;
        drop(backend);
        self.order(GateCommand::ClearBackend);
        self.membership.withdraw();
        true
    }

    /// Begins a planned stop: no new work, what runs ends normally.
    pub fn begin_stop(&self) {
        log::info!(target: "placement", "planned stop begins");
        self.is_stopping.send_replace(true);
        self.membership.leave();
        self.order(GateCommand::Drain);
    }

    /// Whether no call is under way at the gate or the ingress.
    pub fn is_idle(&self) -> bool {
        let status = *self.gate_status.borrow();
        status.in_flight == 0 && status.queued == 0 && self.ingress.in_flight() == 0
    }

    /// Whether no live node of the own availability zone has a lower name.
    pub fn is_first_of_zone(&self) -> bool {
        zone_rank(self.membership.state().borrow().members(), &self.identity) == 0
    }

    fn publish(&self) {
        let version = self.version.get() + 1;
        let tickets = self.config.subscribe().borrow().clone();
        let state = self.membership.state().borrow();
        let table = build_table(version, state.members(), &tickets);
        let rank = zone_rank(state.members(), &self.identity);
        drop(state);
        self.config.set_zone_rank(rank);
        let old = self.table();
        if old.services == table.services {
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
            } => control.config.on_peer_head(&node, peer_address, version),
            MembershipEvent::Superseded => {
                log::error!(target: "control", "a later start of this node runs, stopping");
                control.stop.notify_one();
            }
        }
    }
}

/// Follows the configuration in force until its channel closes.
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
