//! Tests of updates between versions.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use super::*;
use crate::routes::{RequestKind, RouteTarget};

fn route(number: u32, timeout_ms: u64) -> Route {
    Route {
        name: format!("r-{number}"),
        host: "shop".to_string(),
        prefix: format!("/{number}/"),
        kind: RequestKind::Idempotent,
        timeout_ms,
        target_latency_ms: 200,
        rank: 1,
        max_attempts: 2,
        target: RouteTarget::Service("slotbook".parse().unwrap()),
    }
}

fn config(version: u64, routes: &BTreeMap<u32, u64>) -> RouteConfig {
    let routes = routes
        .iter()
        .map(|(number, timeout)| route(*number, *timeout));
    let limits = CallerLimits {
        idle_timeout_ms: version,
        ..CallerLimits::default()
    };
    RouteConfig::new(
        ConfigVersion(version),
        routes.collect(),
        BTreeMap::new(),
        limits,
    )
}

/// A few routes are added, changed and removed in each version.
fn versions(count: u64, seed: u64) -> Vec<RouteConfig> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut routes: BTreeMap<u32, u64> = (0..20).map(|number| (number, 500)).collect();
    let mut versions = vec![config(1, &routes)];
    for version in 2..=count {
        for _ in 0..rng.random_range(0..4) {
            // Few values, so that routes go back to earlier ones.
            routes.insert(rng.random_range(0..25), rng.random_range(100..103));
        }
        if rng.random_bool(0.5)
            && let Some(number) = routes.keys().copied().choose(&mut rng)
        {
            routes.remove(&number);
        }
        versions.push(config(version * 3, &routes));
    }
    versions
}

fn history_of(versions: &[RouteConfig]) -> ChangeHistory {
    let mut history = ChangeHistory::default();
    for pair in versions.windows(2) {
        history.record_change(&pair[0], &pair[1]);
    }
    history
}

fn sorted(config: &RouteConfig) -> RouteConfig {
    let mut routes: Vec<Route> = config.routes().cloned().collect();
    routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    RouteConfig::new(
        config.version,
        routes,
        config.services.clone(),
        config.caller_limits,
    )
}

#[test]
fn every_remembered_version_is_led_to_the_last_one() {
    for seed in 0..20 {
        let versions = versions(30, seed);
        let history = history_of(&versions);
        let last = versions.last().unwrap();
        for have in &versions[..29] {
            let update = history.update_since(have.version, last);
            let ConfigUpdate::Delta(delta) = update else {
                panic!("seed {seed}: a whole copy for {}", have.version);
            };
            let led = delta.apply_to(have).unwrap();
            assert_eq!(
                sorted(&led),
                sorted(last),
                "seed {seed} from {}",
                have.version
            );
        }
    }
}

/// A storm of changes that two nodes read from the store at other moments: each
/// skips versions that the other has, and a route may have had another value
/// just then. An update never leads such a node to anything but the last version.
#[test]
fn an_update_leads_to_the_last_version_or_is_refused() {
    for seed in 0..50 {
        let versions = versions(30, seed);
        let last = versions.last().unwrap();
        let skipping: Vec<RouteConfig> = versions.iter().step_by(4).cloned().collect();
        let history = history_of(&[&skipping[..], std::slice::from_ref(last)].concat());
        for since in &versions[..29] {
            let update = history.update_since(since.version, last);
            let ConfigUpdate::Delta(delta) = update else {
                continue;
            };
            for have in &versions {
                if let Some(led) = delta.apply_to(have) {
                    assert_eq!(sorted(&led), sorted(last), "seed {seed} {}", have.version);
                }
            }
        }
    }
}

#[test]
fn an_update_never_leads_back_and_never_skips_what_it_does_not_hold() {
    let versions = versions(10, 3);
    let history = history_of(&versions);
    let last = versions.last().unwrap();
    let update = history.update_since(versions[5].version, last);
    let delta = assert_matches!(update, ConfigUpdate::Delta(delta) => delta);
    assert_eq!(delta.apply_to(last), None);
    assert_eq!(delta.apply_to(&config(1_000, &BTreeMap::new())), None);
    assert_eq!(delta.apply_to(&versions[4]), None);
}

#[test]
fn a_node_that_is_too_far_behind_gets_the_whole() {
    let versions = versions(MAX_RECORDED_VERSIONS as u64 + 10, 5);
    let history = history_of(&versions);
    let last = versions.last().unwrap();
    assert_matches!(
        history.update_since(ConfigVersion::default(), last),
        ConfigUpdate::Snapshot(whole) if whole == *last
    );
    assert_matches!(
        history.update_since(versions[1].version, last),
        ConfigUpdate::Snapshot(_)
    );
}

/// A storm of changes to one route of a large configuration: an update is a
/// hundredth of the whole.
#[test]
fn a_storm_costs_what_it_changes() {
    let mut routes: BTreeMap<u32, u64> = (0..900).map(|number| (number, 500)).collect();
    let mut versions = vec![config(1, &routes)];
    for version in 2..27 {
        routes.insert(450, 500 + version);
        versions.push(config(version, &routes));
    }
    let history = history_of(&versions);
    let last = versions.last().unwrap();
    let bytes = |update: &ConfigUpdate| serde_json::to_vec(update).unwrap().len();
    let whole = bytes(&history.update_since(ConfigVersion::default(), last));
    let delta = bytes(&history.update_since(ConfigVersion(1), last));
    assert!(delta * 100 < whole, "{delta} of {whole} bytes");
}
