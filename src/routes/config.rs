//! Data model of one configuration version, and the lookup of a route in it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::tenants::TenantDirectory;
use crate::ids::{ConnectionCount, RegionName, ServiceName};
use crate::rate_limit::StartRate;

/// Version number of a configuration. Later versions have higher numbers; 0
/// stands for no configuration.
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

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Must run at most once; the body is large.
    Upload,
}

impl RequestKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

/// Service in a weighted traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the split; 0 receives nothing.
    pub weight: u32,
}

/// Destination of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteTarget {
    /// One service receives all requests.
    Service(ServiceName),
    /// Several services share the requests by weight.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Services that may receive requests of the route.
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

/// Routing rule for all requests under one path prefix of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Identifies the route in log lines and in the state of traffic splits.
    pub name: String,
    /// Host of the requests; without a port it matches every port.
    pub host: String,
    /// Path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Whether the requests may run more than once.
    pub kind: RequestKind,
    /// Request timeout in milliseconds.
    pub timeout_ms: u64,
    /// Latency goal in milliseconds; a later response is worth less to the caller.
    #[serde(rename = "target_ms")]
    pub target_latency_ms: u64,
    /// Priority among the requests of a service; 0 is served first.
    pub rank: u32,
    /// Maximum number of upstreams that one request may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Service or traffic split that receives the requests.
    pub target: RouteTarget,
    /// Whether requests need no API key although the configuration has tenants.
    #[serde(rename = "public", default, skip_serializing_if = "is_false")]
    pub is_public: bool,
    /// Regions in which requests may be processed; `None` for all.
    #[serde(rename = "regions", default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl Route {
    /// Request timeout.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency goal; a later response is worth less to the caller.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: u64,
    /// Maximum size of a request body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration sets others.
    ///
    /// A phone on a poor network needs seconds to send a head, and during a burst
    /// the worker thread may read a head only a second after it has arrived.
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 75_000,
        }
    }
}

/// Operator settings for upstreams that have just started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUpSettings {
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold upstream takes from all nodes together.
    pub rate: StartRate,
}

/// Operator settings of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Maximum number of connections to one upstream.
    #[serde(rename = "connections")]
    pub max_connections: ConnectionCount,
    /// Path of the health check, to which an upstream responds at once with its
    /// health and load; `None` if the service has no health check.
    pub health_path: Option<String>,
    /// Limit while an upstream warms up; `None` if it needs none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUpSettings>,
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Version number of this configuration.
    pub version: ConfigVersion,
    /// Routes by host, ordered from the longest to the shortest prefix.
    #[serde(rename = "hosts")]
    pub routes_by_host: BTreeMap<String, Vec<Route>>,
    /// Settings by service. A route may name a service without settings.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Limits on callers' requests, for all routes.
    #[serde(rename = "limits")]
    pub caller_limits: CallerLimits,
    /// Tenants and their API keys; `None` if requests need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<TenantDirectory>,
}

impl RouteConfig {
    /// Builds a configuration without tenants from routes in any order.
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
            tenants: None,
        }
    }

    /// Replaces the tenants.
    pub fn with_tenants(self, tenants: Option<TenantDirectory>) -> Self {
        Self { tenants, ..self }
    }

    /// Finds the route of a request: the longest matching prefix of its host.
    pub fn find_route(&self, host: &str, request_target: &str) -> Option<&Route> {
        let path = request_target
            .split(['?', '#'])
            .next()
            .unwrap_or(request_target);
        let host_routes = self.routes_by_host.get(host).or_else(|| {
            // Falls back to the host without its port.
            let (name, _) = host.rsplit_once(':')?;
            self.routes_by_host.get(name)
        })?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, host by host.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten()
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}
