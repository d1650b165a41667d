//! Flags and settings of `currantlift-node`.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use super::error::SettingError;
use super::reader::RawOptions;
use super::spec::{CommandSpec, FlagArity, FlagSpec};
use super::values::{
    BaseUrl, BoundedNumber, DecimalNumber, DurationSeconds, ReachableAddress, SecretToken,
    SlotLimitMode, ThreadCount, Toggle,
};
use crate::admission::AdmissionOptions;
use crate::ids::{NodeId, RegionName, ServiceName, ZoneName};
use crate::resources::{ResourceLimits, process_descriptors};
use crate::retry::RetryOptions;

const NAME_FORMAT: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const ADDRESS_FORMAT: &str = "IP:PORT";
/// Time between the limit of a stop and the kill, for the last replies of the
/// administration API and the last log lines.
pub const EXIT_MARGIN: Duration = Duration::from_millis(700);
const REACHABLE_ADDRESS_FORMAT: &str = "IP:PORT of one host, with a port from 1";

const NODE_FLAGS: &[FlagSpec] = &[
    FlagSpec::single("node-id", "ID", NAME_FORMAT, "node id, unique in the fleet"),
    FlagSpec::single("region", "NAME", NAME_FORMAT, "region of this node"),
    FlagSpec::single(
        "zone",
        "NAME",
        NAME_FORMAT,
        "availability zone of this node",
    ),
    FlagSpec::single(
        "listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "listen address for callers' HTTP requests",
    ),
    FlagSpec::single(
        "peer-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "listen address for other nodes, over TCP and UDP",
    ),
    FlagSpec::single(
        "admin-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "listen address of the administration API",
    ),
    FlagSpec::single(
        "peer-advertise",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "address advertised to other nodes, if it differs from --peer-listen",
    ),
    FlagSpec::single(
        "store",
        "URL",
        "http://HOST:PORT",
        "base URL of the platform's key-value store; without it change tickets are refused",
    ),
    FlagSpec::single(
        "platform",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "store of the users' platform; enables its routes, heartbeats and header fields",
    ),
    FlagSpec::single(
        "service",
        "NAME",
        NAME_FORMAT,
        "service on this VM, stated to backend servers as the caller's service",
    ),
    FlagSpec::single(
        "ready-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "listen address for readiness checks; serves only GET /v1/health",
    ),
    FlagSpec::single(
        "metrics-listen",
        "IP:PORT",
        ADDRESS_FORMAT,
        "listen address of GET /metrics, in the OpenMetrics text format",
    ),
    FlagSpec::single(
        "peer",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "address of another node through which to join the fleet",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "threads",
        "N",
        "1 to 64",
        "number of threads that handle traffic",
    )
    .with_default("2"),
    FlagSpec::single(
        "memory-mb",
        "N",
        "64 to 1048576",
        "memory of the VM in megabytes, from which the limits on what is held for callers follow",
    )
    .with_default("256"),
    FlagSpec::single(
        "max-descriptors",
        "N",
        "128 to 1048576",
        "file descriptors that the process may open, from which the limits on connections \
         follow; by default its resource limit",
    ),
    FlagSpec::single(
        "admin-token",
        "TOKEN",
        "at least 8 printable ASCII characters without space",
        "bearer token required for write requests to the administration API",
    ),
    FlagSpec::single(
        "log-level",
        "LEVEL",
        "off, error, warn, info, debug or trace",
        "lowest severity of logged lines",
    )
    .with_default("info"),
    FlagSpec::single(
        "statsd",
        "IP:PORT",
        REACHABLE_ADDRESS_FORMAT,
        "address of a statsd server that receives metrics over UDP",
    ),
    FlagSpec::single(
        "drain-seconds",
        "N",
        "1 to 600",
        "maximum duration of a graceful shutdown, in seconds",
    )
    .with_default("30"),
    FlagSpec::single(
        "stop-grace-seconds",
        "N",
        "1 to 600",
        "time from SIGTERM to the kill, in seconds; a graceful shutdown ends shortly before, \
         whatever --drain-seconds says",
    ),
    FlagSpec::single(
        "leave-seconds",
        "N",
        "1 to 600",
        "time for which a stopping node still accepts requests, in seconds",
    )
    .with_default("1"),
    FlagSpec::single(
        "backend-ttl-seconds",
        "N",
        "1 to 600",
        "time since its last heartbeat after which a backend server is considered gone, in seconds",
    )
    .with_default("3"),
    FlagSpec::single(
        "asks",
        "N",
        "0 to 8",
        "gates that are asked for a free slot before a call is queued at the best one",
    )
    .with_default("0"),
    FlagSpec::single(
        "first-start",
        "MODE",
        "true or false",
        "whether the whole fleet starts for the first time; a restarted node waits for a second \
         heartbeat if no peer can tell which backend servers have left",
    )
    .with_default("false"),
    FlagSpec::single(
        "zone-balancing",
        "MODE",
        "on or off",
        "whether calls are offered to other availability zones before the own one is full; \
         needs --asks",
    )
    .with_default("off"),
    FlagSpec::single(
        "slot-limit",
        "MODE",
        "adaptive or fixed",
        "whether a gate lowers its concurrency limit when latencies rise",
    )
    .with_default("adaptive"),
    FlagSpec::single(
        "readings",
        "N",
        "0 to 60",
        "maximum load polls per second of a backend server that has a health path",
    )
    .with_default("0"),
    FlagSpec::single(
        "retry-burst",
        "N",
        "1 to 1000",
        "maximum retry tokens that a service accumulates at this node",
    )
    .with_default("10"),
    FlagSpec::single(
        "warm-up-overage",
        "FACTOR",
        "1 to 100",
        "factor by which requests to a cold upstream may exceed its warm-up rate",
    )
    .with_default("1"),
    FlagSpec::single(
        "warm-up-slack",
        "N",
        "0 to 1000000",
        "requests that a cold upstream tolerates beyond that within a second",
    )
    .with_default("0"),
    FlagSpec::single(
        "quota-window-seconds",
        "N",
        "1 to 600",
        "window in which the quota of a tenant is checked, in seconds",
    )
    .with_default("5"),
    FlagSpec::single(
        "quota-overage",
        "SHARE",
        "0 to 100",
        "share by which a tenant may exceed its quota in a window",
    )
    .with_default("0"),
    FlagSpec::single(
        "quota-slack",
        "N",
        "0 to 1000000",
        "requests by which a tenant may exceed its quota beyond that",
    )
    .with_default("0"),
];

/// Flags and help text of `currantlift-node`.
pub const NODE_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-node",
    summary: "Runs a load balancer node beside one backend server: accepts callers' requests,\n\
              forwards each to the node of a selected upstream, and controls admission to its\n\
              own backend server.",
    positional_usage: "",
    notes: "Port 0 selects a free port. The bound addresses are printed as one line of JSON.\n\
            Exit codes: 0 graceful shutdown, 1 error, 2 invalid or missing setting.",
    flags: NODE_FLAGS,
};

/// Validated settings of a node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Id of the node, unique in the fleet.
    pub node_id: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Listen address for callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address for other nodes, over TCP and UDP; port 0 selects a free
    /// port.
    pub peer_listen: SocketAddr,
    /// Listen address of the administration API; port 0 selects a free port.
    pub admin_listen: SocketAddr,
    /// Address advertised to other nodes; `None` for the bound address.
    pub peer_advertise: Option<SocketAddr>,
    /// Base URL of the platform's key-value store; with `None` change tickets
    /// are refused.
    pub store_url: Option<BaseUrl>,
    /// Addresses of nodes through which to join the fleet.
    pub peers: Vec<SocketAddr>,
    /// Number of threads that handle traffic.
    pub thread_count: ThreadCount,
    /// Limits on what is held for others, from the size of the VM.
    pub resource_limits: ResourceLimits,
    /// Bearer token required for write requests to the administration API.
    pub admin_token: Option<SecretToken>,
    /// Lowest severity of logged lines.
    pub log_level: LevelFilter,
    /// Statsd server that receives metrics; `None` to send none.
    pub statsd_address: Option<SocketAddr>,
    /// Maximum duration of a graceful shutdown; it ends before the process would be
    /// killed, if the time until then is set.
    pub drain_limit: Duration,
    /// Store of the users' platform; `None` disables its routes, heartbeats and
    /// header fields.
    pub platform_address: Option<SocketAddr>,
    /// Service on this VM, stated to backend servers; `None` if not configured.
    pub local_service: Option<ServiceName>,
    /// Listen address for readiness checks; `None` for no such listener.
    pub ready_listen: Option<SocketAddr>,
    /// Listen address of the metrics; `None` for no such listener.
    pub metrics_listen: Option<SocketAddr>,
    /// Time for which a stopping node still accepts requests.
    pub leave_time: Duration,
    /// Time since its last heartbeat after which a backend server is considered gone.
    pub backend_ttl: Duration,
    /// Gates that are asked for a free slot before a call is queued; with 0 the
    /// first gate may queue it.
    pub max_immediate_offers: u32,
    /// Whether calls are offered to other availability zones before the own one is full.
    pub is_zone_balancing: bool,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Settings of the gate's admission control.
    pub admission: AdmissionOptions,
    /// Maximum load polls of the backend server per second; 0 disables them.
    pub load_polls_per_second: f64,
    /// Settings of the retry budget.
    pub retry: RetryOptions,
    /// How far requests to a cold upstream may exceed its warm-up rate.
    pub warm_up_tolerance: WarmUpTolerance,
    /// How far a tenant may exceed its quota.
    pub quota_tolerance: QuotaTolerance,
}

/// How far requests to a cold upstream may exceed its warm-up rate, within any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpTolerance {
    /// Factor on the rate, 1 or more.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// How far a tenant may exceed its quota, within any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Share by which the quota may be exceeded.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl NodeOptions {
    /// Address to advertise to other nodes, if the peer listener is bound to
    /// `bound_address`.
    pub fn advertised_address(&self, bound_address: SocketAddr) -> SocketAddr {
        self.peer_advertise.unwrap_or(bound_address)
    }
}

impl TryFrom<RawOptions> for NodeOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let drain_seconds: DurationSeconds = raw.required("drain-seconds")?;
        let grace_seconds: Option<DecimalNumber<1, 600>> = raw.optional("stop-grace-seconds")?;
        let leave_seconds: DurationSeconds = raw.required("leave-seconds")?;
        let ttl_seconds: DurationSeconds = raw.required("backend-ttl-seconds")?;
        let immediate_offers: BoundedNumber<0, 8> = raw.required("asks")?;
        let slot_limit_mode: SlotLimitMode = raw.required("slot-limit")?;
        let zone_balancing: Toggle = raw.required("zone-balancing")?;
        let load_polls: BoundedNumber<0, 60> = raw.required("readings")?;
        let retry_burst: BoundedNumber<1, 1_000> = raw.required("retry-burst")?;
        let warm_up_overage: DecimalNumber<1, 100> = raw.required("warm-up-overage")?;
        let warm_up_slack: DecimalNumber<0, 1_000_000> = raw.required("warm-up-slack")?;
        let quota_window: DurationSeconds = raw.required("quota-window-seconds")?;
        let quota_overage: DecimalNumber<0, 100> = raw.required("quota-overage")?;
        let quota_slack: DecimalNumber<0, 1_000_000> = raw.required("quota-slack")?;
        let descriptors = raw.optional("max-descriptors")?;
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
            resource_limits: ResourceLimits::new(
                raw.required("memory-mb")?,
                descriptors.unwrap_or_else(process_descriptors),
            ),
            admin_token: raw.optional("admin-token")?,
            log_level: raw.required("log-level")?,
            statsd_address: raw.optional("statsd")?.map(ReachableAddress::get),
            drain_limit: grace_seconds.map_or(Duration::from_secs(drain_seconds.get()), |grace| {
                Duration::from_secs_f64(grace.get()).saturating_sub(EXIT_MARGIN)
            }),
            platform_address: raw.optional("platform")?.map(ReachableAddress::get),
            local_service: raw.optional("service")?,
            ready_listen: raw.optional("ready-listen")?,
            metrics_listen: raw.optional("metrics-listen")?,
            leave_time: Duration::from_secs(leave_seconds.get()),
            backend_ttl: Duration::from_secs(ttl_seconds.get()),
            max_immediate_offers: u32::try_from(immediate_offers.get()).unwrap_or_default(),
            is_zone_balancing: zone_balancing == Toggle::On,
            is_first_start: raw.required("first-start")?,
            admission: AdmissionOptions {
                is_adaptive: slot_limit_mode == SlotLimitMode::Adaptive,
                ..AdmissionOptions::default()
            },
            load_polls_per_second: load_polls.get() as f64,
            retry: RetryOptions {
                max_tokens: retry_burst.get() as f64,
                ..RetryOptions::default()
            },
            warm_up_tolerance: WarmUpTolerance {
                overage: warm_up_overage.get(),
                slack: warm_up_slack.get(),
            },
            quota_tolerance: QuotaTolerance {
                window: Duration::from_secs(quota_window.get()),
                overage: quota_overage.get(),
                slack: quota_slack.get(),
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
