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
use crate::ids::ServiceName;

/// Maximum number of version changes in the history: more than a burst of changes
/// creates while one of them propagates to every node.
const MAX_RECORDED_VERSIONS: usize = 64;
/// Maximum number of changed routes in the history, over all versions. A delta
/// with more is hardly smaller than a snapshot of a large configuration.
const MAX_RECORDED_ROUTES: usize = 2_048;

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
        Some(RouteConfig::new(
            self.target_version,
            routes,
            self.services.clone(),
            self.caller_limits,
        ))
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
    recorded_route_count: usize,
}

#[derive(Debug)]
struct ChangeStep {
    base_version: ConfigVersion,
    changed_keys: BTreeSet<RouteKey>,
}

impl ChangeHistory {
    /// Records the change from one version to the next, dropping the oldest
    /// changes beyond the limits.
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
        })
    }
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
