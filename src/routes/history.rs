//! Deltas between configuration versions.
//!
//! Operators change one route at a time, many times per second, in a
//! configuration of a thousand routes. A full copy for each node and version
//! would saturate the links of small VMs, so a node sends only the routes that
//! have changed since the receiver's version. It sends a full snapshot if it
//! never had that version itself: a node may skip versions, and a route may have
//! had a value in a skipped version that the node has never seen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::config::{CallerLimits, ConfigVersion, Route, RouteConfig, ServiceSettings};
use super::tenants::{Tenant, TenantDirectory};
use crate::ids::{ServiceName, TenantName};

/// Maximum number of version changes in the history: more than a burst of changes
/// creates while one of them propagates to every node.
const MAX_RECORDED_VERSIONS: usize = 64;
/// Maximum number of changed routes and tenants in the history, over all versions. A
/// delta with more is hardly smaller than a snapshot of a large configuration.
const MAX_RECORDED_ENTRIES: usize = 2_048;

/// Host and prefix, which identify a route within a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    host: String,
    prefix: String,
}

impl From<&Route> for RouteKey {
    fn from(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
        }
    }
}

/// Changes that lead from any of several earlier versions to a later one.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Versions that the delta can be applied to.
    #[serde(rename = "bases")]
    base_versions: BTreeSet<ConfigVersion>,
    /// Version that results from the delta.
    #[serde(rename = "version")]
    target_version: ConfigVersion,
    #[serde(rename = "changed")]
    changed_routes: Vec<Route>,
    #[serde(rename = "removed")]
    removed_routes: BTreeSet<RouteKey>,
    services: BTreeMap<ServiceName, ServiceSettings>,
    #[serde(rename = "limits")]
    caller_limits: CallerLimits,
    /// `None` if the target version has no tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tenants: Option<TenantDelta>,
}

/// Tenants that have changed since the base versions.
#[derive(Debug, Serialize, Deserialize)]
struct TenantDelta {
    changed: Vec<Tenant>,
    removed: BTreeSet<TenantName>,
}

impl TenantDelta {
    fn apply_to(&self, tenants: Option<&TenantDirectory>) -> TenantDirectory {
        let changed_names: BTreeSet<&TenantName> =
            self.changed.iter().map(|tenant| &tenant.name).collect();
        let old_tenants = tenants.into_iter().flat_map(TenantDirectory::iter);
        let unchanged = old_tenants.filter(|tenant| {
            !changed_names.contains(&tenant.name) && !self.removed.contains(&tenant.name)
        });
        let all: Vec<Tenant> = unchanged.chain(&self.changed).cloned().collect();
        all.into()
    }
}

impl RouteDelta {
    /// Applies the delta to `config`; `None` if it isn't one of the base versions.
    ///
    /// The base versions are those that the sender has had since the oldest change
    /// of the delta. The delta holds the final value of every route that has
    /// changed since, so it applies to each of them.
    pub fn apply_to(&self, config: &RouteConfig) -> Option<RouteConfig> {
        if !self.base_versions.contains(&config.version) {
            return None;
        }
        let changed_keys: BTreeSet<RouteKey> =
            self.changed_routes.iter().map(RouteKey::from).collect();
        let unchanged_routes = config.routes().filter(|route| {
            let key = RouteKey::from(*route);
            !changed_keys.contains(&key) && !self.removed_routes.contains(&key)
        });
        let routes = unchanged_routes
            .chain(&self.changed_routes)
            .cloned()
            .collect();
        let tenants = self.tenants.as_ref();
        let tenants = tenants.map(|delta| delta.apply_to(config.tenants.as_ref()));
        let config = RouteConfig::new(
            self.target_version,
            routes,
            self.services.clone(),
            self.caller_limits,
        );
        Some(config.with_tenants(tenants))
    }
}

/// Configuration update from one node to another.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// Full configuration.
    #[serde(rename = "whole")]
    Snapshot(RouteConfig),
    /// Changes since an earlier version.
    Delta(RouteDelta),
}

/// Bounded history of the changes that led to the active version.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    steps: VecDeque<ChangeStep>,
    recorded_entry_count: usize,
}

#[derive(Debug)]
struct ChangeStep {
    base_version: ConfigVersion,
    changed_keys: BTreeSet<RouteKey>,
    changed_tenants: BTreeSet<TenantName>,
}

impl ChangeStep {
    fn entry_count(&self) -> usize {
        self.changed_keys.len() + self.changed_tenants.len()
    }
}

impl ChangeHistory {
    /// Records the change from one version to the next, dropping the oldest
    /// changes beyond the limits.
    pub fn record_change(&mut self, old: &RouteConfig, new: &RouteConfig) {
        let step = ChangeStep {
            base_version: old.version,
            changed_keys: diff_route_keys(old, new),
            changed_tenants: diff_tenant_names(old, new),
        };
        self.recorded_entry_count += step.entry_count();
        self.steps.push_back(step);
        while self.steps.len() > MAX_RECORDED_VERSIONS
            || self.recorded_entry_count > MAX_RECORDED_ENTRIES
        {
            let Some(step) = self.steps.pop_front() else {
                return;
            };
            self.recorded_entry_count -= step.entry_count();
        }
    }

    /// Update from `base_version` to `config`, which must be the version recorded
    /// last: a delta if the history reaches back to `base_version`.
    pub fn update_since(&self, base_version: ConfigVersion, config: &RouteConfig) -> ConfigUpdate {
        let first_step = self
            .steps
            .iter()
            .position(|step| step.base_version == base_version);
        let Some(first_step) = first_step else {
            return ConfigUpdate::Snapshot(config.clone());
        };
        let steps = || self.steps.iter().skip(first_step);
        let changed_keys: BTreeSet<&RouteKey> =
            steps().flat_map(|step| &step.changed_keys).collect();
        let changed: Vec<Route> = config
            .routes()
            .filter(|route| changed_keys.contains(&RouteKey::from(*route)))
            .cloned()
            .collect();
        let remaining_keys: BTreeSet<RouteKey> = changed.iter().map(RouteKey::from).collect();
        let removed = changed_keys
            .into_iter()
            .filter(|key| !remaining_keys.contains(*key));
        ConfigUpdate::Delta(RouteDelta {
            base_versions: steps().map(|step| step.base_version).collect(),
            target_version: config.version,
            removed_routes: removed.cloned().collect(),
            changed_routes: changed,
            services: config.services.clone(),
            caller_limits: config.caller_limits,
            tenants: config.tenants.as_ref().map(|tenants| {
                let names: BTreeSet<&TenantName> =
                    steps().flat_map(|step| &step.changed_tenants).collect();
                build_tenant_delta(tenants, &names)
            }),
        })
    }
}

fn build_tenant_delta(tenants: &TenantDirectory, names: &BTreeSet<&TenantName>) -> TenantDelta {
    let (present, absent): (Vec<&TenantName>, Vec<&TenantName>) = names
        .iter()
        .copied()
        .partition(|name| tenants.get(name).is_some());
    let changed = present.into_iter().filter_map(|name| tenants.get(name));
    TenantDelta {
        changed: changed.cloned().collect(),
        removed: absent.into_iter().cloned().collect(),
    }
}

/// Names of the tenants that were added, removed or changed.
fn diff_tenant_names(old_config: &RouteConfig, new_config: &RouteConfig) -> BTreeSet<TenantName> {
    let tenants_of = |config: &RouteConfig| -> BTreeMap<TenantName, Tenant> {
        let tenants = config.tenants.iter().flat_map(TenantDirectory::iter);
        tenants
            .map(|tenant| (tenant.name.clone(), tenant.clone()))
            .collect()
    };
    let (mut old_tenants, new_tenants) = (tenants_of(old_config), tenants_of(new_config));
    let mut changed_names = BTreeSet::new();
    for (name, tenant) in new_tenants {
        if old_tenants.remove(&name) != Some(tenant) {
            changed_names.insert(name);
        }
    }
    changed_names.extend(old_tenants.into_keys());
    changed_names
}

/// Keys of the routes that were added, removed or changed.
fn diff_route_keys(old_config: &RouteConfig, new_config: &RouteConfig) -> BTreeSet<RouteKey> {
    let routes_by_key = |config: &RouteConfig| -> BTreeMap<RouteKey, Route> {
        let routes = config.routes();
        routes
            .map(|route| (RouteKey::from(route), route.clone()))
            .collect()
    };
    let (mut old_routes, new_routes) = (routes_by_key(old_config), routes_by_key(new_config));
    let mut changed_keys = BTreeSet::new();
    for (key, route) in new_routes {
        if old_routes.remove(&key) != Some(route) {
            changed_keys.insert(key);
        }
    }
    changed_keys.extend(old_routes.into_keys());
    changed_keys
}

#[cfg(test)]
mod tests;
