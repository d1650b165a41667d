//! Settings of `currantlift-node`.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use super::error::SettingError;
use super::reader::RawOptions;
use super::spec::{CommandSpec, FlagArity, FlagSpec};
use super::values::{
    BaseUrl, BoundedNumber, DurationSeconds, ReachableAddress, SecretToken, SlotLimitMode,
    ThreadCount,
};
use crate::admission::AdmissionOptions;
use crate::ids::{NodeId, RegionName, ServiceName, ZoneName};
use crate::retry::RetryOptions;

const NAME_FORMAT: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const ADDRESS_FORMAT: &str = "IP:PORT";
const REACHABLE_ADDRESS_FORMAT: &str = "IP:PORT of one host, with a port from 1";

const NODE_FLAGS: &[FlagSpec] = &[
    FlagSpec::single(
        "node-id",
        "ID",
        NAME_FORMAT,
        "name of this node, unique in the fleet",
    ),
    FlagSpec::single("region", "NAME", NAME_FORMAT, "region of this node"),
    FlagSpec::single("zone", "NAME", NAME_FORMAT, "availability zone of this node"),
    FlagSpec::single(
        "listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "address for callers' HTTP requests",
    ),
    FlagSpec::single(
        "peer-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "TCP and UDP address for other nodes",
    ),
    FlagSpec::single(
        "admin-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "address of the administration API",
    ),
    FlagSpec::single(
        "peer-advertise",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "address given to other nodes, if not the one bound by --peer-listen",
    ),
    FlagSpec::single(
        "store",
        "URL",
        "http://HOST:PORT",
        "platform's key-value service; without it change tickets are refused",
    ),
    FlagSpec::single(
        "platform",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "store of the users' platform, whose routes, heartbeats and header fields then hold",
    ),
    FlagSpec::single(
        "service",
        "NAME",
        NAME_FORMAT,
        "service on this VM, told to backend servers as the caller's",
    ),
    FlagSpec::single(
        "ready-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "address that only answers GET /v1/health",
    ),
    FlagSpec::single(
        "metrics-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "address that serves GET /metrics as text",
    ),
    FlagSpec::single(
        "peer",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "peer address of another node to join through",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single("threads", "N", "1 to 64", "count of traffic threads").with_default("2"),
    FlagSpec::single(
        "admin-token",
        "TOKEN",
        "at least 8 printable ASCII characters without space",
        "bearer token that changing calls of the administration API need",
    ),
    FlagSpec::single(
        "log-level",
        "LEVEL",
        "off, error, warn, info, debug or trace",
        "lowest level of log lines",
    )
    .with_default("info"),
    FlagSpec::single(
        "statsd",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "address that metrics are sent to over UDP",
    ),
    FlagSpec::single(
        "drain-seconds",
        "N",
        "1 to 600",
        "upper bound of a planned stop, in seconds",
    )
    .with_default("30"),
    FlagSpec::single(
        "leave-seconds",
        "N",
        "1 to 600",
        "time for which a stopping node still takes requests, in seconds",
    )
    .with_default("1"),
    FlagSpec::single(
        "backend-ttl-seconds",
        "N",
        "1 to 600",
        "time after its last heartbeat at which a backend server counts as gone",
    )
    .with_default("3"),
    FlagSpec::single(
        "asks",
        "N",
        "0 to 8",
        "gates that a call asks for a free slot before it joins the best queue",
    )
    .with_default("0"),
    FlagSpec::single(
        "slot-limit",
        "MODE",
        "adaptive or fixed",
        "whether a gate uses fewer slots when latencies rise",
    )
    .with_default("adaptive"),
    FlagSpec::single(
        "readings",
        "N",
        "0 to 60",
        "readings of the backend server's speed that its gate takes by second, where it has a health path",
    )
    .with_default("0"),
    FlagSpec::single(
        "retry-burst",
        "N",
        "1 to 1000",
        "retries that a service saves up at this node",
    )
    .with_default("10"),
];

/// Command line of `currantlift-node`.
pub const NODE_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-node",
    summary: "Runs the node beside one backend server: takes callers' requests, passes each to\n\
              the node beside a chosen upstream, and is the way to its own backend server.",
    positional_usage: "",
    notes: "A port may be 0; the bound addresses are printed as one JSON line.\n\
            Exit codes: 0 after a planned stop, 1 after a fault, 2 for a bad or missing setting.",
    flags: NODE_FLAGS,
};

/// Checked settings of a node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Name of the node.
    pub node_id: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address for callers; port 0 for any.
    pub listen: SocketAddr,
    /// Address for other nodes; port 0 for any.
    pub peer_listen: SocketAddr,
    /// Address of the administration API; port 0 for any.
    pub admin_listen: SocketAddr,
    /// Address given to other nodes, if not the bound one.
    pub peer_advertise: Option<SocketAddr>,
    /// Platform's key-value service.
    pub store_url: Option<BaseUrl>,
    /// Nodes to join through.
    pub peers: Vec<SocketAddr>,
    /// Count of traffic threads.
    pub thread_count: ThreadCount,
    /// Bearer token for changing calls of the administration API.
    pub admin_token: Option<SecretToken>,
    /// Lowest level of log lines.
    pub log_level: LevelFilter,
    /// Receiver of metrics.
    pub statsd_address: Option<SocketAddr>,
    /// Upper bound of a planned stop.
    pub drain_limit: Duration,
    /// Store of the users' platform.
    pub platform_address: Option<SocketAddr>,
    /// Service on this VM.
    pub local_service: Option<ServiceName>,
    /// Address that only says whether this node takes work.
    pub ready_listen: Option<SocketAddr>,
    /// Address of the metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Time for which a stopping node still takes requests.
    pub leave_time: Duration,
    /// Time after its last heartbeat at which a backend server counts as gone.
    pub backend_ttl: Duration,
    /// Gates that a call asks for a free slot before it joins a queue.
    pub max_immediate_offers: u32,
    /// Settings of the gate's admission.
    pub admission: AdmissionOptions,
    /// Readings of the backend server's speed that its gate takes by second.
    pub load_polls_per_second: f64,
    /// Bounds on retries.
    pub retry: RetryOptions,
}

impl NodeOptions {
    /// Address to give to other nodes when the peer listener bound `bound_address`.
    pub fn advertised_address(&self, bound_address: SocketAddr) -> SocketAddr {
        self.peer_advertise.unwrap_or(bound_address)
    }
}

impl TryFrom<RawOptions> for NodeOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let drain_seconds: DurationSeconds = raw.required("drain-seconds")?;
        let leave_seconds: DurationSeconds = raw.required("leave-seconds")?;
        let ttl_seconds: DurationSeconds = raw.required("backend-ttl-seconds")?;
        let immediate_offers: BoundedNumber<0, 8> = raw.required("asks")?;
        let slot_limit_mode: SlotLimitMode = raw.required("slot-limit")?;
        let load_polls: BoundedNumber<0, 60> = raw.required("readings")?;
        let retry_burst: BoundedNumber<1, 1_000> = raw.required("retry-burst")?;
        let peers = raw.list("peer")?;
        let options = Self {
            node_id: raw.required("node-id")?,
            region: raw.required("region")?,
            zone: raw.required("zone")?,
            listen: raw.required("listen")?,
            peer_listen: raw.required("peer-listen")?,
            admin_listen: raw.required("admin-listen")?,
            peer_advertise: raw.optional("peer-advertise")?.map(ReachableAddress::get),
            store_url: raw.optional("store")?,
            peers: peers.into_iter().map(ReachableAddress::get).collect(),
            thread_count: raw.required("threads")?,
            admin_token: raw.optional("admin-token")?,
            log_level: raw.required("log-level")?,
            statsd_address: raw.optional("statsd")?.map(ReachableAddress::get),
            drain_limit: Duration::from_secs(drain_seconds.get()),
            platform_address: raw.optional("platform")?.map(ReachableAddress::get),
            local_service: raw.optional("service")?,
            ready_listen: raw.optional("ready-listen")?,
            metrics_listen: raw.optional("metrics-listen")?,
            leave_time: Duration::from_secs(leave_seconds.get()),
            backend_ttl: Duration::from_secs(ttl_seconds.get()),
            max_immediate_offers: u32::try_from(immediate_offers.get()).unwrap_or_default(),
            admission: AdmissionOptions {
                is_adaptive: slot_limit_mode == SlotLimitMode::Adaptive,
                ..AdmissionOptions::default()
            },
            load_polls_per_second: load_polls.get() as f64,
            retry: RetryOptions {
                max_tokens: retry_burst.get() as f64,
                ..RetryOptions::default()
            },
        };
        check_peer_address(&raw, &options)?;
        Ok(options)
    }
}

fn check_peer_address(raw: &RawOptions, options: &NodeOptions) -> Result<(), SettingError> {
    let is_unspecified_ip = options.peer_listen.ip().is_unspecified();
    if is_unspecified_ip && options.peer_advertise.is_none() {
        let allowed = "the IP of one host, or --peer-advertise beside it";
        return Err(raw.bad_value_error("peer-listen", allowed));
    }
    Ok(())
}
