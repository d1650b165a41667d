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
        "trace to replay; without it a constant rate is sent",
    ),
    FlagSpec::single(
        "ingress",
        "ZONE=URL",
        NAMED_URL_FORMAT,
        "node that takes a zone's requests; several of one zone take turns",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "standin",
        "NODE=URL",
        NAMED_URL_FORMAT,
        "stand-in beside a node, for its faults and its counts of runs",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "rate",
        "N",
        "1 to 100000",
        "calls a second to each of --target and --baseline",
    ),
    FlagSpec::single("seconds", "N", "1 to 3600", "length of a constant rate").with_default("10"),
    FlagSpec::single(
        "warm-up-seconds",
        "N",
        "0 to 600",
        "time at the start that is sent, and left out of the figures",
    )
    .with_default("1"),
    FlagSpec::single(
        "body-bytes",
        "N",
        "0 to 67108864",
        "size of each body of a constant rate",
    )
    .with_default("1024"),
    FlagSpec::single(
        "work-us",
        "N",
        "0 to 10000000",
        "service time asked of the stand-in, in microseconds",
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
        "ingress that a constant rate goes to",
    ),
    FlagSpec::single(
        "baseline",
        "URL",
        "http://HOST:PORT",
        "backend server that gets the same rate directly, in turns",
    ),
    FlagSpec::single("threads", "N", "1 to 64", "count of sending threads").with_default("1"),
    FlagSpec::single(
        "connections",
        "N",
        "1 to 1000000",
        "most connections of each thread",
    )
    .with_default("1000000"),
];

/// Command line of `currantlift-replay`.
pub const REPLAY_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-replay",
    summary: "Replays a trace, or sends a constant rate, against running nodes and checks each\n\
              answer. Prints an HDR histogram and, as last line, a JSON summary.",
    arguments: "",
    notes: "With --trace: --ingress for each zone and --standin for each node of the trace.\n\
            With --rate: --service, --target and, for the added latency, --baseline.\n\
            Exit codes: 0 if all outcomes were reached, 1 if one was missed, 2 for bad settings.",
    flags: REPLAY_FLAGS,
};

/// Text is not `NAME=URL`.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
#[display("not NAME=URL")]
pub struct ParseNamedUrlError;

/// Base URL under a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedUrl<N> {
    /// Name.
    pub name: N,
    /// Base URL.
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

/// Settings of a trace's replay.
#[derive(Debug, Clone)]
pub struct TraceMode {
    /// File with the trace.
    pub trace_file: String,
    /// Nodes that take requests, by zone.
    pub ingresses: Vec<NamedUrl<ZoneName>>,
    /// Stand-ins by node.
    pub standins: Vec<NamedUrl<NodeId>>,
}

/// Settings of a constant rate.
#[derive(Debug, Clone)]
pub struct RateMode {
    /// Calls a second to each address.
    pub requests_per_second: u64,
    /// Length in seconds.
    pub duration_seconds: u64,
    /// Seconds at the start that are left out.
    pub warm_up_seconds: u64,
    /// Size of each body.
    pub body_bytes: u64,
    /// Service time asked for, in microseconds.
    pub service_time_us: u64,
    /// HTTP method.
    pub method: String,
    /// Service.
    pub service: ServiceName,
    /// Ingress.
    pub target: BaseUrl,
    /// Backend server for the comparison.
    pub baseline: Option<BaseUrl>,
}

/// What is sent.
#[derive(Debug, Clone)]
pub enum ReplayMode {
    /// A recorded trace.
    Trace(TraceMode),
    /// A constant rate.
    Rate(RateMode),
}

/// Checked settings of `currantlift-replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// What is sent.
    pub mode: ReplayMode,
    /// Count of sending threads.
    pub threads: u64,
    /// Most connections of each thread.
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
            return Err(raw.rejection("method", "an HTTP method"));
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
