//! Settings of `standin-backend`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{BackendId, ConnectionCount, ServiceName, SlotCount};
use crate::options::{
    BaseUrl, BoundedNumber, CommandSpec, FlagArity, FlagSpec, RawOptions, SecretToken, SettingError,
};

/// Longest service time that can be set.
const MAX_SERVICE_TIME_MS: u64 = 3_600_000;

const STANDIN_FLAGS: &[FlagSpec] = &[
    FlagSpec::single("listen", "IP:PORT", "IP:PORT", "address to listen on")
        .with_default("127.0.0.1:0"),
    FlagSpec::single(
        "admin",
        "URL",
        "http://HOST:PORT",
        "administration API of its node; without it the stand-in isn't announced",
    ),
    FlagSpec::single(
        "token",
        "TOKEN",
        "at least 8 printable ASCII characters without space",
        "bearer token of the administration API",
    ),
    FlagSpec::single(
        "id",
        "ID",
        "1 to 64 letters, digits, '-', '_' or '.'",
        "name to announce",
    ),
    FlagSpec::single(
        "service",
        "NAME",
        "1 to 64 letters, digits, '-', '_' or '.'",
        "service to announce",
    ),
    FlagSpec::single(
        "slots",
        "N",
        "a whole number from 1",
        "number of requests run concurrently",
    )
    .with_default("6"),
    FlagSpec::single(
        "connections",
        "N",
        "a whole number from 1",
        "number of connections to announce",
    )
    .with_default("260"),
    FlagSpec::single(
        "work-ms",
        "N",
        "0 to 3600000",
        "service time in milliseconds, unless a request sets its own",
    )
    .with_default("1"),
    FlagSpec::single(
        "via",
        "URL",
        "http://HOST:PORT",
        "ingress of its node, for nested calls",
    ),
    FlagSpec::single(
        "print-runs",
        "",
        "true or false",
        "print a line for each run, so that runs of a killed process can be counted",
    )
    .with_arity(FlagArity::Switch),
];

/// Command line of `standin-backend`.
pub const STANDIN_COMMAND: CommandSpec = CommandSpec {
    name: "standin-backend",
    summary: "Stands in for a backend server in tests and the demo. Prints its address as one line.",
    positional_usage: "",
    notes: "Request headers: standin-work-us (service time), standin-chunked: true (response\n\
            without content-length), standin-echo-head: true (respond with the request's head\n\
            as JSON), standin-nest: N (N levels of nested calls through --via).\n\
            A request whose body contains standin-crash ends the process while it runs.\n\
            GET /standin/runs counts runs by request-id; PUT /standin/faults sets\n\
            {\"slowdown\", \"fail_fast\", \"cut\", \"cut_head\", \"answer_early\",\n\
            \"repeat_failure\", \"silent\", \"ignore_slots\", \"draining\"}.",
    flags: STANDIN_FLAGS,
};

/// Checked settings of the stand-in.
#[derive(Debug, Clone)]
pub struct StandinOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Administration API of its node; `None` announces nothing.
    pub admin: Option<BaseUrl>,
    /// Bearer token for that API.
    pub token: Option<SecretToken>,
    /// Name to announce.
    pub id: BackendId,
    /// Service to announce.
    pub service: ServiceName,
    /// Number of requests run concurrently, also announced.
    pub slots: SlotCount,
    /// Number of connections to announce.
    pub connections: ConnectionCount,
    /// Service time of requests without the `standin-work-us` header.
    pub default_service_time: Duration,
    /// Ingress for nested calls; without it none are made.
    pub nested_call_ingress: Option<BaseUrl>,
    /// Whether to print a line for each run.
    pub print_runs: bool,
}

impl TryFrom<RawOptions> for StandinOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let service_time_ms: BoundedNumber<0, MAX_SERVICE_TIME_MS> = raw.required("work-ms")?;
        Ok(Self {
            listen: raw.required("listen")?,
            admin: raw.optional("admin")?,
            token: raw.optional("token")?,
            id: raw.required("id")?,
            service: raw.required("service")?,
            slots: raw.required("slots")?,
            connections: raw.required("connections")?,
            default_service_time: Duration::from_millis(service_time_ms.get()),
            nested_call_ingress: raw.optional("via")?,
            print_runs: raw.is_switch_on("print-runs")?,
        })
    }
}
