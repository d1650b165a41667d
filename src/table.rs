//! The immutable routing table that control publishes to traffic.
//!
//! It joins the two things that control knows: the rules in force for each
//! service, from change tickets, and the upstreams that announced themselves,
//! from membership. Traffic threads only ever read a whole table; a change
//! makes a new one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    NodeId, NodeIncarnation, RegionName, ServiceName, SlotCount, TeamName, TicketNumber, ZoneName,
};
use crate::routes::RouteConfig;

/// Time limit of a call whose service names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Attempts of a call whose service names none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Probes per second and upstream when a service names none.
const DEFAULT_PROBES_PER_SECOND: f64 = 1.0;
/// Largest request body when a service names none, in bytes.
const DEFAULT_BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Rule for the requests that match a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Time limit in milliseconds, where it differs from the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Whole state of one service, as a change ticket gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// Team that owns the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Time limit of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Most attempts of one call, the first included.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rules for methods and paths; the first that matches decides.
    #[serde(default)]
    pub requests: Vec<RequestRule>,
    /// Share of an ingress's in-flight work that the service may use, in percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_percent: Option<u32>,
    /// Agreed budget for load probes, per upstream and second.
    #[serde(default = "default_probes_per_second")]
    pub probes_per_second: f64,
    /// Largest request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u64,
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

fn default_probes_per_second() -> f64 {
    DEFAULT_PROBES_PER_SECOND
}

fn default_body_limit() -> u64 {
    DEFAULT_BODY_LIMIT_BYTES
}

impl Default for ServiceRule {
    fn default() -> Self {
        Self {
            team: None,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            attempts: DEFAULT_MAX_ATTEMPTS,
            requests: Vec::new(),
            share_percent: None,
            probes_per_second: DEFAULT_PROBES_PER_SECOND,
            body_limit: DEFAULT_BODY_LIMIT_BYTES,
        }
    }
}

impl ServiceRule {
    fn matching_rule(&self, method: &str, path: &str) -> Option<&RequestRule> {
        self.requests.iter().find(|rule| {
            let matches_method = rule.method == "*" || rule.method.eq_ignore_ascii_case(method);
            matches_method && path.starts_with(&rule.path)
        })
    }

    /// Whether a request may run twice without harm.
    ///
    /// Without a matching rule POST and PATCH are non-idempotent.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.matching_rule(method, path) {
            Some(rule) => rule.idempotent,
            None => !matches!(method, "POST" | "PATCH"),
        }
    }

    /// Time limit of a request.
    pub fn timeout(&self, method: &str, path: &str) -> Duration {
        let rule_timeout_ms = self
            .matching_rule(method, path)
            .and_then(|rule| rule.timeout_ms);
        Duration::from_millis(rule_timeout_ms.unwrap_or(self.timeout_ms))
    }
}

/// Life cycle of an upstream as its own node announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Announced, not yet ready for work.
    Joining,
    /// Takes work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Left, or its announcement lapsed.
    Gone,
}

/// One upstream: a backend server together with its node.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Node beside the backend server.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the node's link listener.
    pub peer_address: SocketAddr,
    /// Slots of the backend server.
    pub slots: SlotCount,
    /// State that the upstream announced.
    pub state: UpstreamState,
    /// Whether other nodes suspect it to have failed.
    pub is_suspect: bool,
}

/// One service: its rule in force and its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Ticket that the rule came with.
    pub ticket: TicketNumber,
    /// Rule in force.
    pub rule: ServiceRule,
    /// Upstreams by node.
    pub upstreams: BTreeMap<NodeId, UpstreamEntry>,
}

/// Everything that traffic needs to know to route a call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingTable {
    /// Grows with each published table.
    pub version: u64,
    /// Services in force.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Routes in force, where services are chosen by host and path.
    pub routes: Option<Arc<RouteConfig>>,
}
