//! What changed between versions of the configuration.
//!
//! Operators change one route at a time, many times in a second, of a
//! configuration that has a thousand. A whole copy for each node and version
//! would fill the links of small VMs, so a node hands on the routes that have
//! changed since a version that the other has, and the whole configuration only
//! where it has not had that version itself: between two versions that a node has
//! had, a route may have had another value, of which it knows nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::config::{CallerLimits, ConfigVersion, Route, RouteConfig, ServiceSettings};
use crate::ids::ServiceName;

/// Versions that are remembered: more than a storm of changes makes while one
/// of them reaches every node.
const MAX_RECORDED_VERSIONS: usize = 64;
/// Changed routes that are remembered, over all versions. An update with more
/// is hardly shorter than the whole of a large configuration.
const MAX_RECORDED_ROUTES: usize = 2_048;

/// What names a route in its configuration.
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

/// Routes that differ from those of an earlier version.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Versions that the changes can be applied to.
    #[serde(rename = "bases")]
    base_versions: BTreeSet<ConfigVersion>,
    /// Version that they lead to.
    #[serde(rename = "version")]
    target_version: ConfigVersion,
    #[serde(rename = "changed")]
    changed_routes: Vec<Route>,
    #[serde(rename = "removed")]
    removed_routes: BTreeSet<RouteKey>,
    services: BTreeMap<ServiceName, ServiceSettings>,
    #[serde(rename = "limits")]
    caller_limits: CallerLimits,
}

impl RouteDelta {
    /// Configuration that the changes lead to, or `None` if they don't fit.
    ///
    /// They fit each version that their sender has had since the first of them:
    /// what has changed since then is among them, with its last value.
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
        Some(RouteConfig::new(
            self.target_version,
            routes,
            self.services.clone(),
            self.caller_limits,
        ))
    }
}

/// What one node hands to another.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// A whole configuration.
    #[serde(rename = "whole")]
    Snapshot(RouteConfig),
    /// What has changed since an earlier one.
    Delta(RouteDelta),
}

/// Changes that led to the version in force.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    steps: VecDeque<ChangeStep>,
    recorded_route_count: usize,
}

#[derive(Debug)]
struct ChangeStep {
    base_version: ConfigVersion,
    changed_keys: BTreeSet<RouteKey>,
}

impl ChangeHistory {
    /// Takes note of a new version.
    pub fn record_change(&mut self, old: &RouteConfig, new: &RouteConfig) {
        let changed_keys = diff_route_keys(old, new);
        self.recorded_route_count += changed_keys.len();
        self.steps.push_back(ChangeStep {
            base_version: old.version,
            changed_keys,
        });
        while self.steps.len() > MAX_RECORDED_VERSIONS
            || self.recorded_route_count > MAX_RECORDED_ROUTES
        {
            let Some(step) = self.steps.pop_front() else {
                return;
            };
            self.recorded_route_count -= step.changed_keys.len();
        }
    }

    /// What takes a node that has some version to `config`, the last one noted.
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
        })
    }
}

/// Routes that were added, removed or changed.
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
