//! Settings of `currantlift-replay`.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::ids::{NodeId, ServiceName, ZoneName};
use crate::options::{
    BaseUrl, BoundedNumber, CommandSpec, FlagArity, FlagSpec, RawOptions, SettingError, ThreadCount,
};

const NAMED_URL_FORMAT: &str = "NAME=http://HOST:PORT";

const REPLAY_FLAGS: &[FlagSpec] = &[
    FlagSpec::single(
        "trace",
        "FILE",
        "path of a trace",
        "trace to replay; without it, requests are sent at a constant rate",
    ),
    FlagSpec::single(
        "ingress",
        "ZONE=URL",
        NAMED_URL_FORMAT,
        "ingress for a zone's requests; several for one zone are used in rotation",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "standin",
        "NODE=URL",
        NAMED_URL_FORMAT,
        "stand-in of a node, for setting its faults and reading its run counts",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "rate",
        "N",
        "1 to 100000",
        "requests per second to each of --target and --baseline",
    ),
    FlagSpec::single("seconds", "N", "1 to 3600", "duration of a constant rate").with_default("10"),
    FlagSpec::single(
        "warm-up-seconds",
        "N",
        "0 to 600",
        "warm-up time, sent in addition to --seconds and left out of the figures",
    )
    .with_default("1"),
    FlagSpec::single(
        "body-bytes",
        "N",
        "0 to 67108864",
        "request body size of a constant rate",
    )
    .with_default("1024"),
    FlagSpec::single(
        "work-us",
        "N",
        "0 to 10000000",
        "service time requested from the stand-in, in microseconds",
    )
    .with_default("0"),
    FlagSpec::single(
        "method",
        "NAME",
        "an HTTP method",
        "method of a constant rate's requests",
    )
    .with_default("POST"),
    FlagSpec::single(
        "service",
        "NAME",
        "1 to 64 letters, digits, '-', '_' or '.'",
        "service of a constant rate's requests",
    ),
    FlagSpec::single(
        "target",
        "URL",
        "http://HOST:PORT",
        "ingress that receives a constant rate",
    ),
    FlagSpec::single(
        "baseline",
        "URL",
        "http://HOST:PORT",
        "backend server that receives the same rate directly, for comparison",
    ),
    FlagSpec::single("threads", "N", "1 to 64", "number of sender threads").with_default("1"),
    FlagSpec::single(
        "connections",
        "N",
        "1 to 1000000",
        "maximum number of connections per thread",
    )
    .with_default("1000000"),
];

/// Command line of `currantlift-replay`.
pub const REPLAY_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-replay",
    summary: "Replays a trace against running nodes, or sends requests at a constant rate, and\n\
              checks each response. Prints an HDR histogram and, as last line, a JSON summary.",
    positional_usage: "",
    notes: "With --trace: --ingress for each zone and --standin for each node of the trace.\n\
            With --rate: --service, --target and, for the added latency, --baseline.\n\
            Exit codes: 0 if all expected outcomes were met, 1 if one was missed or a response\n\
            was wrong, 2 for invalid settings or if the replay could not be run.",
    flags: REPLAY_FLAGS,
};

/// Text that is not `NAME=URL`.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("not NAME=URL")]
pub struct ParseNamedUrlError;

/// Base URL of the zone or node with this name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedUrl<N> {
    /// Zone or node.
    pub name: N,
    /// Its ingress or stand-in.
    pub url: BaseUrl,
}

impl<N: FromStr> FromStr for NamedUrl<N> {
    type Err = ParseNamedUrlError;

    fn from_str(text: &str) -> Result<Self, ParseNamedUrlError> {
        let (name, url) = text.split_once('=').ok_or(ParseNamedUrlError)?;
        Ok(Self {
            name: name.parse().map_err(|_| ParseNamedUrlError)?,
            url: url.parse().map_err(|_| ParseNamedUrlError)?,
        })
    }
}

/// Settings for the replay of a trace.
#[derive(Debug, Clone)]
pub struct TraceMode {
    /// Path of the trace.
    pub trace_file: String,
    /// Ingresses by zone; one zone may have several.
    pub ingresses: Vec<NamedUrl<ZoneName>>,
    /// Stand-ins of the backend servers, by node.
    pub standins: Vec<NamedUrl<NodeId>>,
}

/// Settings for a constant request rate.
#[derive(Debug, Clone)]
pub struct RateMode {
    /// Rate to each of `target` and `baseline`.
    pub requests_per_second: u64,
    /// Measured time, after the warm-up.
    pub duration_seconds: u64,
    /// Time at the start whose results are left out of the figures.
    pub warm_up_seconds: u64,
    /// Size of each request body.
    pub body_bytes: u64,
    /// Time for which the stand-in is to work on each request.
    pub service_time_us: u64,
    /// HTTP method.
    pub method: String,
    /// Service that the requests are routed to.
    pub service: ServiceName,
    /// Ingress that the requests are sent to.
    pub target: BaseUrl,
    /// Backend server that gets the same rate directly; `None` measures no
    /// added latency.
    pub baseline: Option<BaseUrl>,
}

/// Source of the load.
#[derive(Debug, Clone)]
pub enum ReplayMode {
    /// Recorded trace.
    Trace(TraceMode),
    /// Constant request rate.
    Rate(RateMode),
}

/// Checked settings of `currantlift-replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Source of the load.
    pub mode: ReplayMode,
    /// Number of sender threads.
    pub threads: u64,
    /// Maximum number of connections per thread.
    pub max_connections: usize,
}

impl TryFrom<RawOptions> for ReplayOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let threads: ThreadCount = raw.required("threads")?;
        let connections: BoundedNumber<1, 1_000_000> = raw.required("connections")?;
        let mode = match raw.optional("trace")? {
            Some(file) => ReplayMode::Trace(TraceMode {
                trace_file: file,
                ingresses: raw.required_list("ingress")?,
                standins: raw.required_list("standin")?,
            }),
            None => ReplayMode::Rate(RateMode::try_from(&raw)?),
        };
        Ok(Self {
            mode,
            threads: threads.get(),
            max_connections: usize::try_from(connections.get()).unwrap_or_default(),
        })
    }
}

impl TryFrom<&RawOptions> for RateMode {
    type Error = SettingError;

    fn try_from(raw: &RawOptions) -> Result<Self, SettingError> {
        let rate: BoundedNumber<1, 100_000> = raw.required("rate")?;
        let seconds: BoundedNumber<1, 3600> = raw.required("seconds")?;
        let warm_up: BoundedNumber<0, 600> = raw.required("warm-up-seconds")?;
        let body_bytes: BoundedNumber<0, 67_108_864> = raw.required("body-bytes")?;
        let work_us: BoundedNumber<0, 10_000_000> = raw.required("work-us")?;
        let method: String = raw.required("method")?;
        if ntex::http::Method::from_bytes(method.as_bytes()).is_err() {
            return Err(raw.bad_value_error("method", "an HTTP method"));
        }
        Ok(Self {
            requests_per_second: rate.get(),
            duration_seconds: seconds.get(),
            warm_up_seconds: warm_up.get(),
            body_bytes: body_bytes.get(),
            service_time_us: work_us.get(),
            method,
            service: raw.required("service")?,
            target: raw.required("target")?,
            baseline: raw.optional("baseline")?,
        })
    }
}
