//! The node process: puts control, gate, ingress and administration together.
//!
//! Threads: the main thread is control; the gate has one thread; the ingress
//! has as many as `--threads` says; the administration API has one that only
//! translates between HTTP and control.

mod listener;

use std::cell::RefCell;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ntex::rt::{Arbiter, DefaultRuntime, System};
use ntex::server::Server;
use ntex::server::create_tcp_listener;
use rand::Rng;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{UnboundedSender, channel, unbounded_channel};
use tokio::sync::watch;

use crate::admin::{AdminAccess, AdminCall, start_admin_server};
use crate::control::admin::{counters, serve_admin};
use crate::control::peers::accept_peers;
use crate::control::state::{
    ControlState, NodeIdentity, follow_config, follow_membership, publish_tables,
};
use crate::exchange::PeerHello;
use crate::gate::{GateCommand, GateStatus, run_gate};
use crate::ids::NodeIncarnation;
use crate::ingress::IngressShared;
use crate::logs::start_logs;
use crate::membership::driver::spawn_membership;
use crate::membership::{MemberIdentity, MembershipState};
use crate::metrics::publish_metrics;
use crate::node::listener::start_ingress;
use crate::options::{NODE_COMMAND, NodeOptions, options_from_process};
use crate::routing::{HomePlace, RouterState, RoutingOptions};
use crate::shutdown::wait_for_stop;
use crate::store::absent::AbsentStore;
use crate::store::consul::ConsulStore;
use crate::table::RoutingTable;
use crate::tickets::{ConfigHandle, ConfigSettings};

/// Requests of the administration API that wait for control.
const ADMIN_QUEUE: usize = 64;
/// Membership events that wait for control.
const EVENT_QUEUE: usize = 1_024;
/// Random bits in an incarnation, below the milliseconds of its start.
const INCARNATION_RANDOM_BITS: u32 = 16;
/// Least time between a planned stop's announcement and the exit, so that a
/// call that was on its way is still refused rather than cut.
const STOP_LINGER: Duration = Duration::from_secs(1);
/// Callers' connections that may wait to be accepted. With too few, the kernel
/// resets connections in a burst whose callers believe them open.
const CALLER_BACKLOG: i32 = 4_096;
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
    let result = System::new("control", DefaultRuntime).block_on(run_node(options));
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "node", "{error}");
            ExitCode::FAILURE
        }
    };
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
}

impl NodeSockets {
    async fn bind(options: &NodeOptions) -> io::Result<Self> {
        let (peers, datagrams) = bind_peer_sockets(options.peer_listen).await?;
        Ok(Self {
            callers: create_tcp_listener(options.listen, CALLER_BACKLOG)?,
            admin: StdTcpListener::bind(options.admin_listen)?,
            peers,
            datagrams,
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
    let sockets = NodeSockets::bind(&options).await?;
    let addresses = sockets.addresses()?;
    let identity = NodeIdentity {
        node: options.node_id.clone(),
        incarnation: new_incarnation(),
        region: options.region.clone(),
        zone: options.zone.clone(),
        started: Instant::now(),
    };
    let (table_sender, table) = watch::channel(Arc::new(RoutingTable::default()));
    let (stop_sender, is_stopping) = watch::channel(false);
    let (gate_sender, gate_status) = start_gate(identity.incarnation);
    let shared = Arc::new(IngressShared::new(
        identity.incarnation,
        new_router(&identity),
        table,
        is_stopping,
        identity.started,
    ));

    let advertised = options.advertised_address(addresses.peer_listen);
    let (events_sender, events) = channel(EVENT_QUEUE);
    let state = new_membership(&identity, advertised);
    let started = identity.started;
    let clock = move || started.elapsed();
    let membership = spawn_membership(state, sockets.datagrams, clock, events_sender);
    let config = start_config(&options, &identity, advertised).await?;

    let control = Rc::new(ControlState::new(
        identity.clone(),
        membership,
        config,
        gate_sender.clone(),
        gate_status,
        Arc::clone(&shared),
        table_sender,
        stop_sender,
    ));
    ntex::rt::spawn(follow_membership(Rc::clone(&control), events));
    ntex::rt::spawn(follow_config(Rc::clone(&control)));
    ntex::rt::spawn(publish_tables(Rc::clone(&control)));
    ntex::rt::spawn(accept_peers(Rc::clone(&control), sockets.peers));
    ntex::rt::spawn(join_fleet(Rc::clone(&control), options.peers.clone()));
    if let Some(receiver) = options.statsd {
        ntex::rt::spawn(publish_metrics(Rc::clone(&control), receiver));
    }

    let (admin_sender, admin_calls) = channel::<AdminCall>(ADMIN_QUEUE);
    ntex::rt::spawn(serve_admin(Rc::clone(&control), admin_calls));
    let access = AdminAccess {
        control: admin_sender,
        token: options.admin_token.clone(),
    };
    let admin = start_admin_server(sockets.admin, access)?;
    let callers = start_ingress(&options, &identity, sockets.callers, &shared, &gate_sender)?;

    print_addresses(&addresses)?;
    log::info!(target: "node", incarnation:% = identity.incarnation; "node started");
    tokio::select! {
        stopped = wait_for_stop() => stopped?,
        () = control.stop.notified() => {}
    }
    stop_node(&control, options.drain_limit, callers, admin).await;
    log::info!(target: "node", "node stopped");
    Ok(())
}

fn print_addresses(addresses: &BoundAddresses) -> io::Result<()> {
    let line = serde_json::to_string(addresses)?;
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}

fn new_router(identity: &NodeIdentity) -> RouterState {
    let home = HomePlace {
        node: identity.node.clone(),
        region: identity.region.clone(),
        zone: identity.zone.clone(),
    };
    RouterState::new(home, RoutingOptions::default())
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
    let now = identity.started.elapsed();
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

/// Starts the gate on a thread of its own.
fn start_gate(
    incarnation: NodeIncarnation,
) -> (UnboundedSender<GateCommand>, watch::Receiver<GateStatus>) {
    let (sender, commands) = unbounded_channel();
    let (status, receiver) = watch::channel(GateStatus::default());
    let arbiter = Arbiter::with_name("gate".to_string());
    arbiter.handle().spawn(async move {
        ntex::rt::spawn(run_gate(incarnation, commands, status));
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
        if is_alone || control.is_first_of_zone() {
            join_through_store(&control).await;
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

async fn join_through_store(control: &ControlState) {
    let Ok(mut seeds) = control.config.read_seeds().await else {
        return;
    };
    let state = control.membership.state().borrow();
    seeds.retain(|seed| {
        let mut members = state.members().values();
        !members.any(|member| member.is_live() && member.peer_address == *seed)
    });
    drop(state);
    if !seeds.is_empty() {
        control.membership.join(&seeds);
    }
}

/// A planned stop: told to everyone first, then nothing new, then the end of
/// what is under way.
async fn stop_node(control: &ControlState, limit: Duration, callers: Server, admin: Server) {
    control.begin_stop();
    tokio::time::sleep(STOP_LINGER).await;
    let draining = async {
        callers.stop(true).await;
        while !control.is_idle() {
            tokio::time::sleep(STOP_POLL).await;
        }
    };
    if tokio::time::timeout(limit, draining).await.is_err() {
        log::error!(target: "node", counters:? = counters(control); "stop limit passed");
    }
    admin.stop(false).await;
}
