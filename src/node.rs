//! The node process: starts and connects control, gate, ingress and the
//! administration API, and stops them in order.
//!
//! The main thread runs control. The ingress has `--threads` threads, and the
//! gate shares the first of them. One more thread serves the administration
//! API and only translates between HTTP and control.

mod listener;
mod stop;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket};
use std::os::fd::AsFd;
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
    AdminApiState, AdminCall, DEFAULT_ANNOUNCEMENT_DECODER, start_admin_server, start_health_server,
};
use crate::control::admin::serve_admin;
use crate::control::evacuation::follow_evacuation;
use crate::control::peers::accept_peers;
use crate::control::state::{
    ControlParts, ControlState, NodeIdentity, follow_confirmations, follow_departures,
    follow_leaving_backend, follow_membership, follow_routes, follow_tickets, publish_tables,
};
use crate::departures::{DepartureHandle, DepartureSettings};
use crate::discovery::{DiscoverySettings, FleetRole, run_discovery};
use crate::exchange::PeerHello;
use crate::fields::DEFAULT_DIALECT;
use crate::gate::{GateCommand, GateSettings, GateStatus, run_gate};
use crate::ids::NodeIncarnation;
use crate::ingress::zones::publish_zone_loads;
use crate::ingress::{IngressSettings, IngressState, StopPhase, lock};
use crate::link::endpoint::QueueBudget;
use crate::logs::start_logging;
use crate::membership::driver::{MembershipHandle, spawn_membership};
use crate::membership::{MemberIdentity, MembershipState};
use crate::metrics::{NodeMetrics, publish_statsd_gauges, start_metrics_server};
use crate::node::listener::{WorkerSettings, start_ingress};
use crate::node::stop::{ADMIN_FLUSH_DELAY, stop_node};
use crate::options::{EXIT_MARGIN, NODE_COMMAND, NodeOptions, options_from_process};
use crate::platform::{PLATFORM, PlatformStore};
use crate::quarantine::QuarantineHub;
use crate::quota::{MemberAddress, QuotaHub, follow_quotas};
use crate::retry::RetryOptions;
use crate::routes::{RoutesHandle, RoutesSettings};
use crate::routing::{NodeLocality, RouterState, RoutingOptions};
use crate::shutdown::StopSignals;
use crate::store::absent::AbsentStore;
use crate::store::consul::ConsulStore;
use crate::store::seeds::SeedPurpose;
use crate::table::RoutingTable;
use crate::tickets::{TicketsHandle, TicketsSettings};
use crate::zone_balancing::ShareRule;

/// Administration requests that may wait for control.
const ADMIN_QUEUE_CAPACITY: usize = 64;
/// Membership events that may wait for control.
const MEMBERSHIP_EVENT_CAPACITY: usize = 1_024;
/// Low bits of an incarnation; the high bits are its start in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;
/// Connections that may wait to be accepted. If a burst exceeds it, the kernel
/// resets connections that callers take for established.
const CALLER_LISTEN_BACKLOG: i32 = 4_096;
// The process must be gone before it is killed.
const _: () = assert!(
    ADMIN_FLUSH_DELAY.as_millis() + LOG_FLUSH_TIMEOUT.as_millis() <= EXIT_MARGIN.as_millis()
);
const MAX_PORT_ATTEMPTS: u32 = 16;
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between store reads of a node that knows no other.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest pause between store reads by which the first node of a zone finds
/// separated groups of nodes; the longest is twice as long.
const MIN_MERGE_INTERVAL: Duration = Duration::from_secs(10);

/// Runs `currantlift-node`.
pub fn run_process() -> ExitCode {
    let options = match options_from_process::<NodeOptions>(&NODE_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let Ok(flusher) = start_logging(options.node_id.as_str(), options.log_level) else {
        return ExitCode::FAILURE;
    };
    let exit_code = System::new("control", DefaultRuntime).block_on(async {
        let result = run_node(options).await;
        let exit_code = match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!(target: "node", "node failed, exiting: {error}");
                ExitCode::FAILURE
            }
        };
        // ntex logs the regular end of its servers as an error.
        log::set_max_level(LevelFilter::Off);
        exit_code
    });
    flusher.flush(LOG_FLUSH_TIMEOUT);
    exit_code
}

#[derive(Serialize)]
struct BoundAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Sockets of the node, all bound before it serves any of them.
struct NodeSockets {
    caller_listener: StdTcpListener,
    admin_listener: StdTcpListener,
    peer_listener: TcpListener,
    membership_socket: UdpSocket,
    ready_listener: Option<StdTcpListener>,
    metrics_listener: Option<StdTcpListener>,
}

impl NodeSockets {
    async fn bind(options: &NodeOptions) -> io::Result<Self> {
        let (peer_listener, membership_socket) = bind_peer_sockets(options.peer_listen).await?;
        Ok(Self {
            caller_listener: create_tcp_listener(options.listen, CALLER_LISTEN_BACKLOG)?,
            admin_listener: StdTcpListener::bind(options.admin_listen)?,
            peer_listener,
            membership_socket,
            ready_listener: options.ready_listen.map(StdTcpListener::bind).transpose()?,
            metrics_listener: options
                .metrics_listen
                .map(StdTcpListener::bind)
                .transpose()?,
        })
    }

    fn local_addresses(&self) -> io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            listen: self.caller_listener.local_addr()?,
            peer_listen: self.peer_listener.local_addr()?,
            admin_listen: self.admin_listener.local_addr()?,
        })
    }
}

/// Binds TCP and UDP to the same port, since membership uses the address of the
/// peer listener. With port 0, the free TCP port may be in use for UDP, so
/// others are tried.
async fn bind_peer_sockets(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let max_attempts = if address.port() == 0 {
        MAX_PORT_ATTEMPTS
    } else {
        1
    };
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..max_attempts {
        let tcp_listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp_listener.local_addr()?).await {
            Ok(udp_socket) => return Ok((tcp_listener, udp_socket)),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Second handle to the socket, for sending from any thread.
fn duplicate_socket(socket: &UdpSocket) -> io::Result<StdUdpSocket> {
    Ok(socket.as_fd().try_clone_to_owned()?.into())
}

/// Incarnation of this process: its start time, then random bits.
fn new_incarnation() -> NodeIncarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    let random: u64 = rand::rng().random_range(1..1 << INCARNATION_RANDOM_BITS);
    let incarnation = (millis << INCARNATION_RANDOM_BITS) | random;
    // The random part is never zero, so the number is in range.
    NodeIncarnation::try_from(incarnation).unwrap_or_else(|_| unreachable!("incarnation is zero"))
}

async fn run_node(options: NodeOptions) -> io::Result<()> {
    let mut stop_signals = StopSignals::install()?;
    let sockets = NodeSockets::bind(&options).await?;
    let addresses = sockets.local_addresses()?;
    // Must be the first line on standard output; log lines follow.
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
    let worker_threads = start_worker_threads(&options);
    let platform_adapter = options.platform_address.map(|_| &PLATFORM);
    let dialect = platform_adapter.map_or(&DEFAULT_DIALECT, |platform_adapter| {
        platform_adapter.dialect
    });
    let metrics = Arc::new(NodeMetrics::default());
    let quarantine = Arc::new(QuarantineHub::new(Arc::clone(&metrics)));
    let resource_limits = options.resource_limits;
    let queue_budget = Arc::new(QueueBudget::new(&resource_limits, Arc::clone(&metrics)));
    let gate_settings = GateSettings {
        metrics: Arc::clone(&metrics),
        quarantine: Arc::clone(&quarantine),
        resource_limits,
        queue_budget: Arc::clone(&queue_budget),
        dialect,
        admission: options.admission,
        load_polls_per_second: options.load_polls_per_second,
        warm_up_tolerance: options.warm_up_tolerance,
    };
    let (gate_sender, gate_status) =
        start_gate(identity.incarnation, gate_settings, &worker_threads[0]);
    let own_peer_address = options.advertised_address(addresses.peer_listen);
    let quotas = Arc::new(QuotaHub::new(
        identity.started_at,
        MemberAddress::new(&identity.node, own_peer_address),
        identity.incarnation.get() as u32,
        options.quota_tolerance,
        Some(duplicate_socket(&sockets.membership_socket)?),
    ));
    let shared = IngressState::new(
        identity.incarnation,
        new_router(&identity, &options),
        table,
        stop_phase,
        IngressSettings {
            dialect,
            uses_routes: platform_adapter.is_some(),
            local_service: options.local_service.clone(),
            max_immediate_offers: options.max_immediate_offers,
            metrics: Arc::clone(&metrics),
            quarantine,
            retry_options: RetryOptions {
                are_gate_refusals_free: options.max_immediate_offers > 0,
                ..options.retry
            },
            resource_limits,
            started_at: identity.started_at,
        },
    );
    let shared = Arc::new(shared.with_quotas(Arc::clone(&quotas)));

    let (event_sender, membership_events) = channel(MEMBERSHIP_EVENT_CAPACITY);
    let membership_state = new_membership(&identity, own_peer_address);
    let started = identity.started_at;
    let clock = move || started.elapsed();
    let membership = spawn_membership(
        membership_state,
        sockets.membership_socket,
        clock,
        event_sender,
    );
    let tickets = start_tickets(&options, &identity, own_peer_address).await?;
    let (role_sender, role) = watch::channel(FleetRole::Starting);
    let PlatformSync {
        routes,
        discovered,
        departures,
    } = start_platform_sync(&options, &identity, &membership, own_peer_address, role).await?;

    ntex::rt::spawn(follow_quotas(
        quotas,
        membership.clone(),
        routes.subscribe(),
        Arc::clone(&metrics),
    ));

    let control = Rc::new(ControlState::new(ControlParts {
        identity: identity.clone(),
        membership,
        tickets,
        routes,
        departures,
        dialect,
        gate_commands: gate_sender.clone(),
        gate_status,
        ingress: Arc::clone(&shared),
        table_sender,
        stop_phase: stop_sender,
        role_sender,
        backend_ttl: options.backend_ttl,
    }));
    ntex::rt::spawn(follow_departures(Rc::clone(&control)));
    ntex::rt::spawn(follow_membership(Rc::clone(&control), membership_events));
    ntex::rt::spawn(follow_tickets(Rc::clone(&control)));
    ntex::rt::spawn(publish_tables(Rc::clone(&control)));
    ntex::rt::spawn(accept_peers(
        Rc::clone(&control),
        sockets.peer_listener,
        resource_limits.peer_exchanges,
    ));
    ntex::rt::spawn(follow_routes(Rc::clone(&control)));
    ntex::rt::spawn(follow_evacuation(Rc::clone(&control)));
    ntex::rt::spawn(follow_confirmations(Rc::clone(&control)));
    metrics.show_evacuation(Arc::clone(control.routes.evacuation()));
    metrics.show_confirmation(Arc::clone(control.routes.confirmation()));
    ntex::rt::spawn(follow_leaving_backend(Rc::clone(&control)));
    ntex::rt::spawn(join_fleet(Rc::clone(&control), options.peers.clone()));
    ntex::rt::spawn(join_discovered_nodes(Rc::clone(&control), discovered));
    ntex::rt::spawn(log_ignored_reloads());
    if lock(&shared.router).balances_zones() {
        ntex::rt::spawn(publish_zone_loads(Arc::clone(&shared), gate_sender.clone()));
    }
    if let Some(statsd_address) = options.statsd_address {
        ntex::rt::spawn(publish_statsd_gauges(Rc::clone(&control), statsd_address));
    }

    let (admin_sender, admin_requests) = channel::<AdminCall>(ADMIN_QUEUE_CAPACITY);
    ntex::rt::spawn(serve_admin(Rc::clone(&control), admin_requests));
    let admin_state = AdminApiState {
        control: admin_sender,
        token: options.admin_token.clone(),
        announcement_decoder: platform_adapter
            .map_or(DEFAULT_ANNOUNCEMENT_DECODER, |platform_adapter| {
                platform_adapter.announcements
            }),
    };
    let admin_connections = resource_limits.admin_connections;
    if let Some(listener) = sockets.ready_listener {
        start_health_server(listener, admin_state.clone(), admin_connections)?;
    }
    if let Some(listener) = sockets.metrics_listener {
        start_metrics_server(listener, metrics, admin_connections)?;
    }
    start_admin_server(sockets.admin_listener, admin_state, admin_connections)?;
    let worker_settings = WorkerSettings {
        node_id: identity.node.clone(),
        incarnation: identity.incarnation,
        caller_listener: sockets.caller_listener,
        shared: Arc::clone(&shared),
        gate_commands: gate_sender.clone(),
        queue_budget,
    };
    start_ingress(worker_settings, &worker_threads)?;

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
    let home = NodeLocality {
        node: identity.node.clone(),
        region: identity.region.clone(),
        zone: identity.zone.clone(),
    };
    let routing_options = if options.max_immediate_offers > 0 {
        RoutingOptions::WITH_SLOT_REQUESTS
    } else {
        RoutingOptions::default()
    };
    let router = RouterState::new(home, routing_options);
    if options.is_zone_balancing && options.max_immediate_offers > 0 {
        router.with_zone_balancing(ShareRule::Gradient)
    } else {
        router
    }
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

async fn start_tickets(
    options: &NodeOptions,
    identity: &NodeIdentity,
    peer_address: SocketAddr,
) -> io::Result<TicketsHandle> {
    let settings = TicketsSettings {
        hello: PeerHello {
            node: identity.node.to_string(),
            incarnation: identity.incarnation.get(),
            is_call_link: false,
        },
        zone: identity.zone.clone(),
        peer_address,
    };
    let Some(url) = &options.store_url else {
        return Ok(TicketsHandle::start(settings, AbsentStore));
    };
    let store = ConsulStore::connect(url.as_str())
        .await
        .map_err(io::Error::other)?;
    Ok(TicketsHandle::start(settings, store))
}

/// What the node reads from the store of the users' platform.
struct PlatformSync {
    routes: RoutesHandle,
    discovered: watch::Receiver<BTreeSet<SocketAddr>>,
    departures: DepartureHandle,
}

/// Starts reading routes, the addresses of other nodes and the records of departures from
/// the store of the users' platform, if the node runs on one.
async fn start_platform_sync(
    options: &NodeOptions,
    identity: &NodeIdentity,
    membership: &MembershipHandle,
    peer_address: SocketAddr,
    role: watch::Receiver<FleetRole>,
) -> io::Result<PlatformSync> {
    let (discovered_sender, discovered) = watch::channel(BTreeSet::new());
    let Some(address) = options.platform_address else {
        return Ok(PlatformSync {
            routes: RoutesHandle::disabled(),
            discovered,
            departures: DepartureHandle::disabled(identity.started_at),
        });
    };
    let store = PlatformStore::connect(&format!("http://{address}")).await;
    let store = Rc::new(store.map_err(io::Error::other)?);
    let hello = PeerHello {
        node: identity.node.to_string(),
        incarnation: identity.incarnation.get(),
        is_call_link: false,
    };
    let departure_settings = DepartureSettings {
        node: identity.node.clone(),
        hello: hello.clone(),
        started_at: identity.started_at,
        is_first_start: options.is_first_start,
    };
    let departures =
        DepartureHandle::start(departure_settings, Rc::clone(&store), membership.clone());
    let routes_settings = RoutesSettings {
        hello,
        source: PLATFORM.config,
    };
    let contact = {
        let membership = membership.clone();
        Rc::new(move || membership.contact())
    };
    let routes = RoutesHandle::start(routes_settings, Rc::clone(&store), role.clone(), contact);
    let discovery_settings = DiscoverySettings {
        node: identity.node.clone(),
        address: peer_address,
    };
    ntex::rt::spawn(run_discovery(
        discovery_settings,
        store,
        role,
        discovered_sender,
    ));
    Ok(PlatformSync {
        routes,
        discovered,
        departures,
    })
}

/// Joins through each discovered address that belongs to no live member.
async fn join_discovered_nodes(
    control: Rc<ControlState>,
    mut discovered: watch::Receiver<BTreeSet<SocketAddr>>,
) {
    while discovered.changed().await.is_ok() {
        let addresses: Vec<SocketAddr> = discovered.borrow_and_update().iter().copied().collect();
        let unknown = unknown_addresses(&control, addresses);
        if !unknown.is_empty() {
            control.membership.join(&unknown);
        }
    }
}

/// Logs each SIGHUP and does nothing else, since all settings are flags and
/// environment variables.
async fn log_ignored_reloads() {
    let Ok(mut reload_signals) = signal(SignalKind::hangup()) else {
        log::error!(target: "node", "failed to install the SIGHUP handler; a SIGHUP will end this process");
        return;
    };
    while reload_signals.recv().await.is_some() {
        log::info!(target: "node", "reload asked for; settings are those of the start");
    }
}

/// Starts the worker threads; there is at least one.
fn start_worker_threads(options: &NodeOptions) -> Vec<Arbiter> {
    let count = options.thread_count.get();
    (0..count)
        .map(|number| Arbiter::with_name(format!("traffic-{number}")))
        .collect()
}

/// Starts the gate on a worker thread, so that calls accepted there for this
/// node's own backend server need no switch of threads.
fn start_gate(
    incarnation: NodeIncarnation,
    settings: GateSettings,
    thread: &Arbiter,
) -> (UnboundedSender<GateCommand>, watch::Receiver<GateStatus>) {
    let (command_sender, commands) = unbounded_channel();
    let (status_sender, status) = watch::channel(GateStatus::default());
    thread.handle().spawn(async move {
        ntex::rt::spawn(run_gate(incarnation, settings, commands, status_sender));
    });
    (command_sender, status)
}

/// Joins the fleet through the configured peers and, while no other node is
/// known, through the seed addresses in the store.
///
/// Later the first node of each availability zone reads the seeds at intervals,
/// so that groups of nodes that started separately or lost each other merge.
async fn join_fleet(control: Rc<ControlState>, peers: Vec<SocketAddr>) {
    if !peers.is_empty() {
        control.membership.join(&peers);
    }
    loop {
        let is_alone = control.membership.state().borrow().members().len() == 1;
        if is_alone {
            join_through_store(&control, SeedPurpose::Join).await;
        } else if control.is_first_of_zone() {
            join_through_store(&control, SeedPurpose::Merge).await;
        }
        if is_alone && !peers.is_empty() {
            control.membership.join(&peers);
        }
        let pause = if is_alone {
            JOIN_RETRY_INTERVAL
        } else {
            rand::rng().random_range(MIN_MERGE_INTERVAL..MIN_MERGE_INTERVAL * 2)
        };
        tokio::time::sleep(pause).await;
    }
}

async fn join_through_store(control: &ControlState, purpose: SeedPurpose) {
    let Ok(seeds) = control.tickets.read_seeds(purpose).await else {
        return;
    };
    let unknown = unknown_addresses(control, seeds);
    if !unknown.is_empty() {
        control.membership.join(&unknown);
    }
}

/// Removes the addresses of live members.
fn unknown_addresses(control: &ControlState, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let state = control.membership.state().borrow();
    addresses.retain(|address| {
        let mut members = state.members().values();
        !members.any(|member| member.is_live() && member.peer_address == *address)
    });
    addresses
}
