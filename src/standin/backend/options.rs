//! Settings of `standin-backend`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{BackendId, ConnectionCount, ServiceName, SlotCount};
use crate::options::{
    BaseUrl, BoundedNumber, CommandSpec, FlagArity, FlagSpec, RawOptions, SecretToken, SettingError,
};

/// Longest service time, in milliseconds.
const MAX_SERVICE_TIME_MS: u64 = 3_600_000;

const STANDIN_FLAGS: &[FlagSpec] = &[
    FlagSpec::single("listen", "IP:PORT", "IP:PORT", "address for requests")
        .with_default("127.0.0.1:0"),
    FlagSpec::single(
        "admin",
        "URL",
        "http://HOST:PORT",
        "administration API of its node; without it nothing is announced",
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
        "calls worked on at once",
    )
    .with_default("6"),
    FlagSpec::single(
        "connections",
        "N",
        "a whole number from 1",
        "connections to announce",
    )
    .with_default("260"),
    FlagSpec::single(
        "work-ms",
        "N",
        "0 to 3600000",
        "service time in milliseconds",
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
        "print a line for each run, so that a killed process leaves its count behind",
    )
    .with_arity(FlagArity::Switch),
];

/// Command line of `standin-backend`.
pub const STANDIN_COMMAND: CommandSpec = CommandSpec {
    name: "standin-backend",
    summary: "Stands in for a backend server in tests and the demo. Prints its address as one line.",
    arguments: "",
    notes: "Request headers: standin-work-us (service time), standin-chunked: true (answer without\n\
            length), standin-echo-head: true (answer is the request's head as JSON),\n\
            standin-nest: N (calls N deep through --via).\n\
            GET /standin/runs counts runs by request-id; PUT /standin/faults sets\n\
            {\"slowdown\", \"fail_fast\", \"cut\", \"silent\", \"ignore_slots\",\n\
            \"draining\"}.",
    flags: STANDIN_FLAGS,
};

/// Checked settings of the stand-in.
#[derive(Debug, Clone)]
pub struct StandinOptions {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Administration API of its node.
    pub admin: Option<BaseUrl>,
    /// Bearer token of that API.
    pub token: Option<SecretToken>,
    /// Name to announce.
    pub id: BackendId,
    /// Service to announce.
    pub service: ServiceName,
    /// Calls worked on at once.
    pub slots: SlotCount,
    /// Connections to announce.
    pub connections: ConnectionCount,
    /// Service time without a header that says otherwise.
    pub default_service_time: Duration,
    /// Ingress for nested calls.
    pub nested_call_ingress: Option<BaseUrl>,
    /// Whether each run is printed.
    pub print_runs: bool,
}

impl TryFrom<RawOptions> for StandinOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let work: BoundedNumber<0, MAX_SERVICE_TIME_MS> = raw.required("work-ms")?;
        Ok(Self {
            listen: raw.required("listen")?,
            admin: raw.optional("admin")?,
            token: raw.optional("token")?,
            id: raw.required("id")?,
            service: raw.required("service")?,
            slots: raw.required("slots")?,
            connections: raw.required("connections")?,
            default_service_time: Duration::from_millis(work.get()),
            nested_call_ingress: raw.optional("via")?,
            print_runs: raw.switch("print-runs")?,
        })
    }
}
