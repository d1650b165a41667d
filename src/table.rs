//! Immutable routing table that control publishes to the worker threads.
//!
//! It combines the rules in force for each service, which come from change
//! tickets, with the upstreams that announced themselves through membership.
//! Traffic threads always read a complete table; every change publishes a new one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    BackendKey, NodeId, NodeIncarnation, RegionName, ServiceName, SlotCount, TeamName,
    TicketNumber, ZoneName,
};
use crate::routes::RouteConfig;

/// Time limit of a call if its service sets none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of attempts of a call if its service sets none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Probes per second and upstream if the service sets none.
const DEFAULT_PROBES_PER_SECOND: f64 = 1.0;
/// Largest request body if the service sets none, in bytes.
const DEFAULT_BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Rule for requests that match a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Time limit in milliseconds; `None` means that of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Complete rule of a service, as a change ticket sets it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// Team that owns the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Time limit of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of attempts of a call, including the first.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rules by method and path; the first match applies.
    #[serde(default)]
    pub requests: Vec<RequestRule>,
    /// Maximum share of an ingress's in-flight calls, in percent; `None` means no
    /// limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_percent: Option<u32>,
    /// Budget for load probes, per upstream and second.
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

    /// Whether a request may safely run twice.
    ///
    /// Without a matching rule, only POST and PATCH are non-idempotent.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.matching_rule(method, path) {
            Some(rule) => rule.idempotent,
            None => !matches!(method, "POST" | "PATCH"),
        }
    }

    /// Time limit of a request: that of the matching rule, or else of the service.
    pub fn timeout(&self, method: &str, path: &str) -> Duration {
        let rule_timeout_ms = self
            .matching_rule(method, path)
            .and_then(|rule| rule.timeout_ms);
        Duration::from_millis(rule_timeout_ms.unwrap_or(self.timeout_ms))
    }
}

/// Lifecycle state of an upstream, as its own node announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Announced but not yet ready for calls.
    Joining,
    /// Accepts calls.
    Ready,
    /// Finishes its calls and accepts no new ones.
    Draining,
    /// Left the fleet, or its announcement expired.
    Gone,
}

/// Upstream: a backend server together with its node.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Node of the backend server.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the node's link listener.
    pub peer_address: SocketAddr,
    /// Which start of which backend server it is.
    pub backend: BackendKey,
    /// Slots of the backend server.
    pub slots: SlotCount,
    /// State announced by the upstream.
    pub state: UpstreamState,
    /// Whether other nodes suspect that it has failed.
    pub is_suspect: bool,
}

/// Rule in force and upstreams of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Change ticket that set the rule.
    pub ticket: TicketNumber,
    /// Rule in force.
    pub rule: ServiceRule,
    /// Upstreams by node.
    pub upstreams: BTreeMap<NodeId, UpstreamEntry>,
}

impl ServiceEntry {
    /// Nodes of the upstreams in the availability zone of a node, itself included.
    pub fn nodes_in_zone_of(&self, node: &NodeId) -> impl Iterator<Item = &NodeId> {
        let zone = self.upstreams.get(node).map(|upstream| &upstream.zone);
        let upstreams = self.upstreams.values();
        upstreams
            .filter(move |upstream| Some(&upstream.zone) == zone)
            .map(|upstream| &upstream.node)
    }
}

/// All data that worker threads need to route a call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingTable {
    /// Version, which increases with each published table.
    pub version: u64,
    /// Services in force.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Routes in force, if services are selected by host and path.
    pub routes: Option<Arc<RouteConfig>>,
}
