//! The node process: puts control, gate, ingress and administration together.
//!
//! Threads: the main thread is control; the gate has one thread; the ingress
//! has as many as `--threads` says; the administration API has one that only
//! translates between HTTP and control.

mod listener;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use ntex::rt::{Arbiter, DefaultRuntime, System};
use ntex::server::create_tcp_listener;
use rand::Rng;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedSender, channel, unbounded_channel};
use tokio::sync::watch;

use crate::admin::{
    AdminAccess, AdminCall, OWN_ANNOUNCEMENTS, start_admin_server, start_health_server,
};
use crate::control::admin::{collect_counters, serve_admin};
use crate::control::peers::accept_peers;
use crate::control::state::{
    ControlParts, ControlState, NodeIdentity, follow_membership, follow_routes, follow_tickets,
    publish_tables,
};
use crate::discovery::{DiscoverySettings, FleetRole, run_discovery};
use crate::exchange::PeerHello;
use crate::fields::OWN_DIALECT;
use crate::gate::{GateCommand, GateSettings, GateStatus, run_gate};
use crate::ids::NodeIncarnation;
use crate::ingress::{IngressSettings, IngressShared, StopPhase};
use crate::logs::start_logs;
use crate::membership::driver::spawn_membership;
use crate::membership::{MemberIdentity, MembershipState};
use crate::metrics::{NodeMetrics, publish_metrics, start_metrics_server};
use crate::node::listener::{TrafficSettings, start_ingress};
use crate::options::{NODE_COMMAND, NodeOptions, options_from_process};
use crate::platform::{PLATFORM, PlatformStore};
use crate::retry::RetryOptions;
use crate::routes::{RoutesHandle, RoutesSettings};
use crate::routing::{HomePlace, RouterState, RoutingOptions};
use crate::shutdown::StopSignals;
use crate::store::absent::AbsentStore;
use crate::store::consul::ConsulStore;
use crate::store::seeds::SeedLook;
use crate::table::RoutingTable;
use crate::tickets::{ConfigHandle, ConfigSettings};

/// Requests of the administration API that wait for control.
const ADMIN_QUEUE: usize = 64;
/// Membership events that wait for control.
const EVENT_QUEUE: usize = 1_024;
/// Random bits in an incarnation, below the milliseconds of its start.
const INCARNATION_RANDOM_BITS: u32 = 16;
/// Callers' connections that may wait to be accepted. With too few, the kernel
/// resets connections in a burst whose callers believe them open.
const CALLER_BACKLOG: i32 = 4_096;
/// Time that the administration API's last answers get; they are short.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Part of the leave time for which the gate stays open. What it lets in last has
/// the rest, and the time until the stop limit, to end.
const GATE_SHARE: f64 = 2.0 / 3.0;
/// Interval at which a planned stop looks whether all calls have ended.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Free ports that are tried for the peer listener.
const PORT_TRIES: u32 = 16;
/// Longest wait for the last log lines to be written.
const LOG_FLUSH_LIMIT: Duration = Duration::from_millis(500);
/// Interval between two looks into the store for nodes to join through.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);
/// Least interval between two such looks of a zone's first node later on.
const MEET_INTERVAL: Duration = Duration::from_secs(10);

/// Runs `currantlift-node`.
pub fn run_process() -> ExitCode {
    let options = match options_from_process::<NodeOptions>(&NODE_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let Ok(flusher) = start_logs(options.node_id.as_str(), options.log_level) else {
        return ExitCode::FAILURE;
    };
    let code = System::new("control", DefaultRuntime).block_on(async {
        let result = run_node(options).await;
        let code = match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!(target: "node", "{error}");
                ExitCode::FAILURE
            }
        };
        // The servers' library calls its own end an error.
        log::set_max_level(LevelFilter::Off);
        code
    });
    flusher.flush(LOG_FLUSH_LIMIT);
    code
}

#[derive(Serialize)]
struct BoundAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Sockets of the node, all bound before anything is served.
struct NodeSockets {
    callers: StdTcpListener,
    admin: StdTcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    ready: Option<StdTcpListener>,
    metrics: Option<StdTcpListener>,
}

impl NodeSockets {
    async fn bind(options: &NodeOptions) -> io::Result<Self> {
        let (peers, datagrams) = bind_peer_sockets(options.peer_listen).await?;
        Ok(Self {
            callers: create_tcp_listener(options.listen, CALLER_BACKLOG)?,
            admin: StdTcpListener::bind(options.admin_listen)?,
            peers,
            datagrams,
            ready: options.ready_listen.map(StdTcpListener::bind).transpose()?,
            metrics: options
                .metrics_listen
                .map(StdTcpListener::bind)
                .transpose()?,
        })
    }

    fn addresses(&self) -> io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            listen: self.callers.local_addr()?,
            peer_listen: self.peers.local_addr()?,
            admin_listen: self.admin.local_addr()?,
        })
    }
}

/// Binds TCP and UDP to the same port, since membership shares the address of
/// the peer listener. Any free TCP port may be taken for UDP, so with port 0
/// another one is tried.
async fn bind_peer_sockets(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    let mut failure = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..tries {
        let peers = TcpListener::bind(address).await?;
        match UdpSocket::bind(peers.local_addr()?).await {
            Ok(datagrams) => return Ok((peers, datagrams)),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Incarnation of a process that starts now.
fn new_incarnation() -> NodeIncarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    let random: u64 = rand::rng().random_range(1..1 << INCARNATION_RANDOM_BITS);
    let number = (millis << INCARNATION_RANDOM_BITS) | random;
    // The random part is never zero, so the number is in range.
    NodeIncarnation::try_from(number).unwrap_or_else(|_| unreachable!("incarnation of zero"))
}

async fn run_node(options: NodeOptions) -> io::Result<()> {
    let mut stop_signals = StopSignals::listen()?;
    let sockets = NodeSockets::bind(&options).await?;
    let addresses = sockets.addresses()?;
    // The first line of the output; log lines follow.
    print_addresses(&addresses)?;
    let identity = NodeIdentity {
        node: options.node_id.clone(),
        incarnation: new_incarnation(),
        region: options.region.clone(),
        zone: options.zone.clone(),
        started_at: Instant::now(),
    };
    let (table_sender, table) = watch::channel(Arc::new(RoutingTable::default()));
    let (stop_sender, stop_phase) = watch::channel(StopPhase::Serving);
    let threads = start_threads(&options);
    let adapter = options.platform.map(|_| &PLATFORM);
    let dialect = adapter.map_or(&OWN_DIALECT, |adapter| adapter.dialect);
    let metrics = Arc::new(NodeMetrics::default());
    let gate_settings = GateSettings {
        metrics: Arc::clone(&metrics),
        dialect,
        admission: options.admission,
        readings_per_second: options.readings_per_second,
    };
    let (gate_sender, gate_status) = start_gate(identity.incarnation, gate_settings, &threads[0]);
    let shared = Arc::new(IngressShared::new(
        identity.incarnation,
        new_router(&identity, &options),
        table,
        stop_phase,
        IngressSettings {
            dialect,
            has_routes: adapter.is_some(),
            home_service: options.service.clone(),
            asks: options.asks,
            metrics: Arc::clone(&metrics),
            retries: RetryOptions {
                has_free_refusals: options.asks > 0,
                ..options.retries
            },
            started: identity.started_at,
        },
    ));

    let advertised = options.advertised_address(addresses.peer_listen);
    let (events_sender, events) = channel(EVENT_QUEUE);
    let state = new_membership(&identity, advertised);
    let started = identity.started_at;
    let clock = move || started.elapsed();
    let membership = spawn_membership(state, sockets.datagrams, clock, events_sender);
    let config = start_config(&options, &identity, advertised).await?;
    let (role_sender, role) = watch::channel(FleetRole::Alone);
    let (routes, found) = start_platform(&options, &identity, advertised, role).await?;

    let control = Rc::new(ControlState::new(ControlParts {
        identity: identity.clone(),
        membership,
        tickets: config,
        routes,
        gate_commands: gate_sender.clone(),
        gate_status,
        ingress: Arc::clone(&shared),
        table_sender,
        stop_phase: stop_sender,
        role_sender,
        backend_ttl: options.backend_ttl,
    }));
    ntex::rt::spawn(follow_membership(Rc::clone(&control), events));
    ntex::rt::spawn(follow_tickets(Rc::clone(&control)));
    ntex::rt::spawn(publish_tables(Rc::clone(&control)));
    ntex::rt::spawn(accept_peers(Rc::clone(&control), sockets.peers));
    ntex::rt::spawn(follow_routes(Rc::clone(&control)));
    ntex::rt::spawn(join_fleet(Rc::clone(&control), options.peers.clone()));
    ntex::rt::spawn(join_found(Rc::clone(&control), found));
    ntex::rt::spawn(note_reloads());
    if let Some(receiver) = options.statsd {
        ntex::rt::spawn(publish_metrics(Rc::clone(&control), receiver));
    }

    let (admin_sender, admin_calls) = channel::<AdminCall>(ADMIN_QUEUE);
    ntex::rt::spawn(serve_admin(Rc::clone(&control), admin_calls));
    let access = AdminAccess {
        control: admin_sender,
        token: options.admin_token.clone(),
        announcements: adapter.map_or(OWN_ANNOUNCEMENTS, |adapter| adapter.announcements),
    };
    if let Some(listener) = sockets.ready {
        start_health_server(listener, access.clone())?;
    }
    if let Some(listener) = sockets.metrics {
        start_metrics_server(listener, metrics)?;
    }
    start_admin_server(sockets.admin, access)?;
    let traffic = TrafficSettings {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        listener: sockets.callers,
        shared: Arc::clone(&shared),
        gate: gate_sender.clone(),
    };
    start_ingress(&traffic, &threads)?;

    log::info!(
        target: "node",
        incarnation:% = identity.incarnation, version = env!("CARGO_PKG_VERSION");
        "node started"
    );
    tokio::select! {
        () = stop_signals.wait() => {}
        () = control.stop_requested.notified() => {}
    }
    stop_node(&control, &options).await;
    // Answers of the administration API that are still on their way get out.
    tokio::time::sleep(LAST_ANSWERS).await;
    log::info!(target: "node", "node stopped");
    Ok(())
}

fn print_addresses(addresses: &BoundAddresses) -> io::Result<()> {
    let line = serde_json::to_string(addresses)?;
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}

fn new_router(identity: &NodeIdentity, options: &NodeOptions) -> RouterState {
    let home = HomePlace {
        node: identity.node.clone(),
        region: identity.region.clone(),
        zone: identity.zone.clone(),
    };
    let routing = if options.asks > 0 {
        RoutingOptions::ASKING
    } else {
        RoutingOptions::default()
    };
    RouterState::new(home, routing)
}

fn new_membership(
    identity: &NodeIdentity,
    peer_address: SocketAddr,
) -> Rc<RefCell<MembershipState>> {
    let member = MemberIdentity {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        peer_address,
    };
    let now = identity.started_at.elapsed();
    Rc::new(RefCell::new(MembershipState::new(now, member)))
}

async fn start_config(
    options: &NodeOptions,
    identity: &NodeIdentity,
    peer_address: SocketAddr,
) -> io::Result<ConfigHandle> {
    let settings = ConfigSettings {
        hello: PeerHello {
            node: identity.node.to_string(),
            incarnation: identity.incarnation.get(),
            is_call_link: false,
        },
        zone: identity.zone.clone(),
        peer_address,
    };
    let Some(url) = &options.store else {
        return Ok(ConfigHandle::start(settings, AbsentStore));
    };
    let store = ConsulStore::connect(url.as_str())
        .await
        .map_err(io::Error::other)?;
    Ok(ConfigHandle::start(settings, store))
}

/// Starts what a node on the users' platform learns from its store: routes
/// and the addresses of other nodes.
async fn start_platform(
    options: &NodeOptions,
    identity: &NodeIdentity,
    peer_address: SocketAddr,
    role: watch::Receiver<FleetRole>,
) -> io::Result<(RoutesHandle, watch::Receiver<BTreeSet<SocketAddr>>)> {
    let (sender, found) = watch::channel(BTreeSet::new());
    let Some(address) = options.platform else {
        return Ok((RoutesHandle::disabled(), found));
    };
    let store = PlatformStore::connect(&format!("http://{address}")).await;
    let store = Rc::new(store.map_err(io::Error::other)?);
    let settings = RoutesSettings {
        hello: PeerHello {
            node: identity.node.to_string(),
            incarnation: identity.incarnation.get(),
            is_call_link: false,
        },
        source: PLATFORM.config,
    };
    let routes = RoutesHandle::start(settings, Rc::clone(&store), role.clone());
    let settings = DiscoverySettings {
        node: identity.node.clone(),
        address: peer_address,
    };
    ntex::rt::spawn(run_discovery(settings, store, role, sender));
    Ok((routes, found))
}

/// Joins through the nodes that were found, as long as they aren't known.
async fn join_found(control: Rc<ControlState>, mut found: watch::Receiver<BTreeSet<SocketAddr>>) {
    while found.changed().await.is_ok() {
        let addresses: Vec<SocketAddr> = found.borrow_and_update().iter().copied().collect();
        let missing = unknown_addresses(&control, addresses);
        if !missing.is_empty() {
            control.membership.join(&missing);
        }
    }
}

/// Says that a reload has nothing to do: settings are flags and variables.
async fn note_reloads() {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!(target: "node", "hang-up signal can't be listened to");
        return;
    };
    while hangups.recv().await.is_some() {
        log::info!(target: "node", "reload asked for; settings are those of the start");
    }
}

/// Starts the traffic threads, of which there is at least one.
fn start_threads(options: &NodeOptions) -> Vec<Arbiter> {
    let count = options.threads.get();
    (0..count)
        .map(|number| Arbiter::with_name(format!("traffic-{number}")))
        .collect()
}

/// Starts the gate on a traffic thread: it then shares the thread with the
/// callers of this node, whose calls to its own backend server cross none.
fn start_gate(
    incarnation: NodeIncarnation,
    settings: GateSettings,
    thread: &Arbiter,
) -> (UnboundedSender<GateCommand>, watch::Receiver<GateStatus>) {
    let (sender, commands) = unbounded_channel();
    let (status, receiver) = watch::channel(GateStatus::default());
    thread.handle().spawn(async move {
        ntex::rt::spawn(run_gate(incarnation, settings, commands, status));
    });
    (sender, receiver)
}

/// Joins through the peers given and, until others are known, through the
/// entries in the store.
///
/// Later the first node of each availability zone looks there now and then,
/// so that groups that started apart, or forgot each other, meet again.
async fn join_fleet(control: Rc<ControlState>, peers: Vec<SocketAddr>) {
    if !peers.is_empty() {
        control.membership.join(&peers);
    }
    loop {
        let is_alone = control.membership.state().borrow().members().len() == 1;
        if is_alone {
            join_through_store(&control, SeedLook::Join).await;
        } else if control.is_first_of_zone() {
            join_through_store(&control, SeedLook::Meet).await;
        }
        if is_alone && !peers.is_empty() {
            control.membership.join(&peers);
        }
        let interval = if is_alone {
            JOIN_INTERVAL
        } else {
            rand::rng().random_range(MEET_INTERVAL..MEET_INTERVAL * 2)
        };
        tokio::time::sleep(interval).await;
    }
}

async fn join_through_store(control: &ControlState, look: SeedLook) {
    let Ok(seeds) = control.tickets.read_seeds(look).await else {
        return;
    };
    let missing = unknown_addresses(control, seeds);
    if !missing.is_empty() {
        control.membership.join(&missing);
    }
}

/// Those of the addresses at which no live member is known.
fn unknown_addresses(control: &ControlState, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let state = control.membership.state().borrow();
    addresses.retain(|address| {
        let mut members = state.members().values();
        !members.any(|member| member.is_live() && member.peer_address == *address)
    });
    addresses
}

/// A planned stop: callers are told first; the gate stays open while they go
/// elsewhere, as its backend server runs on and other nodes may stop too; then
/// nothing new, then the end of what is under way.
async fn stop_node(control: &ControlState, options: &NodeOptions) {
    control.begin_stop(options.drain_limit);
    let gate_time = options.leave_time.mul_f64(GATE_SHARE);
    tokio::time::sleep(gate_time).await;
    control.close_gate();
    tokio::time::sleep(options.leave_time - gate_time).await;
    control.close_ingress();
    let draining = async {
        while !control.is_idle() {
            tokio::time::sleep(STOP_POLL).await;
        }
    };
    let limit = options.drain_limit.saturating_sub(options.leave_time);
    if tokio::time::timeout(limit, draining).await.is_err() {
        log::error!(target: "node", counters:? = collect_counters(control); "stop limit passed");
    }
}
