//! One version of the configuration, and the choice of a route in it.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::ids::{ConnectionCount, ServiceName};

/// Version of a configuration; a later one is higher.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct ConfigVersion(pub u64);

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A second run does no harm.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once, with a large body.
    Upload,
}

impl RequestKind {
    /// Whether a second run does no harm.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

/// One service of a weighted split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight against those of the other parts.
    pub weight: u32,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteTarget {
    /// To one service.
    Service(ServiceName),
    /// To several, by weight.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Services that the route may send to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single_service, split_services) = match self {
            Self::Service(service) => (Some(service), &[][..]),
            Self::Split(split_services) => (None, &split_services[..]),
        };
        single_service.into_iter().chain(
            split_services
                .iter()
                .map(|split_service| &split_service.service),
        )
    }
}

/// Rule for the requests below one path of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for log lines and the state of splits.
    pub name: String,
    /// Host.
    pub host: String,
    /// Start of the path, from slash to slash.
    pub prefix: String,
    /// What may be done more than once.
    pub kind: RequestKind,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    #[serde(rename = "target_ms")]
    pub target_latency_ms: u64,
    /// Rank among the requests of a service; 0 goes first.
    pub rank: u32,
    /// Most upstreams that one request may be handed to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Where the requests go.
    pub target: RouteTarget,
}

impl Route {
    /// Longest time that a request is kept waiting.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time within which an answer is worth most.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: u64,
    /// Largest body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Time for the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits in force before a configuration names others.
    ///
    /// A phone on a bad network needs seconds for a head, and in a burst the
    /// thread may come to one that has long arrived only after a second.
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 75_000,
        }
    }
}

/// What the operator says of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that an upstream accepts.
    #[serde(rename = "connections")]
    pub max_connections: ConnectionCount,
    /// Path that answers at once whether an upstream is well, with its load.
    pub health_path: Option<String>,
}

/// One whole version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Routes by host, those with a longer prefix first.
    #[serde(rename = "hosts")]
    pub routes_by_host: BTreeMap<String, Vec<Route>>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Limits on callers.
    #[serde(rename = "limits")]
    pub caller_limits: CallerLimits,
}

impl RouteConfig {
    /// Configuration with routes in any order.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServiceSettings>,
        caller_limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes_by_host,
            services,
            caller_limits,
        }
    }

    /// Route of a request: the one with the longest prefix of its host.
    pub fn find_route(&self, host: &str, request_target: &str) -> Option<&Route> {
        let path = request_target
            .split(['?', '#'])
            .next()
            .unwrap_or(request_target);
        let host_routes = self.routes_by_host.get(host).or_else(|| {
            // A port behind the name is not part of the host.
            let (name, _) = host.rsplit_once(':')?;
            self.routes_by_host.get(name)
        })?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten()
    }

    /// Count of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
