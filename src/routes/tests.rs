//! Tests of route choice and splits.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

use super::*;
use crate::discovery::FleetRole;
use crate::store::memory::MemoryStore;
use crate::store::{ConfigStore, KeyRevision};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        kind: RequestKind::Idempotent,
        timeout_ms: 500,
        target_latency_ms: 200,
        rank: 1,
        max_attempts: 2,
        target: RouteTarget::Service("slotbook".parse().unwrap()),
    }
}

fn config(routes: Vec<Route>) -> RouteConfig {
    let limits = CallerLimits::default();
    RouteConfig::new(ConfigVersion(1), routes, BTreeMap::new(), limits)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let config = config(vec![
        route("all", "shop", "/"),
        route("slots", "shop", "/slots/"),
        route("other", "yard", "/slots/open/"),
    ]);
    let find = |host, target| {
        config
            .find_route(host, target)
            .map(|route| route.name.as_str())
    };
    assert_eq!(find("shop", "/slots/open/1"), Some("slots"));
    assert_eq!(find("shop:8300", "/slots/?a=/b/"), Some("slots"));
    // The slash that ends a prefix is part of it.
    assert_eq!(find("shop", "/slotsandmore"), Some("all"));
    assert_eq!(find("yard", "/slots/?next=/slots/open/"), None);
    assert_eq!(find("nobody", "/slots/"), None);
}

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight,
    }
}

/// Counts of the choices that many nodes make, each a few.
fn counts(parts: &[WeightedService], nodes: u64, requests: u32) -> Vec<u32> {
    let mut counts = vec![0; parts.len()];
    for node in 0..nodes {
        let mut rng = StdRng::seed_from_u64(node);
        let mut splits = SplitSelector::default();
        for _ in 0..requests {
            let service = splits.select_service("r", parts, &mut rng).unwrap();
            let index = parts.iter().position(|part| part.service == service);
            counts[index.unwrap()] += 1;
        }
    }
    counts
}

#[test]
fn a_split_is_never_more_than_one_request_off_at_one_node() {
    let parts = [part("a", 90), part("b", 10)];
    for requests in [1, 7, 30, 100] {
        let found = counts(&parts, 1, requests);
        let expected = f64::from(requests) * 0.1;
        assert!((f64::from(found[1]) - expected).abs() <= 1.0, "{found:?}");
    }
}

#[test]
fn many_nodes_with_few_requests_hold_the_split_together() {
    let found = counts(&[part("a", 75), part("b", 25)], 200, 3);
    let share = f64::from(found[1]) / 600.0;
    assert!((share - 0.25).abs() < 0.05, "{found:?}");
    let found = counts(&[part("a", 5), part("b", 0)], 20, 3);
    assert_eq!(found, [60, 0]);
}

#[ntex::test]
async fn a_configuration_only_moves_forward_whoever_sends_it() {
    let hello = crate::exchange::PeerHello::default();
    let source = ConfigSource {
        key: "routes",
        decode: |_| unreachable!("the store has none"),
    };
    let settings = RoutesSettings { hello, source };
    let (_role, role) = tokio::sync::watch::channel(FleetRole::Follower);
    let store = Rc::new(MemoryStore::new([]));
    let handle = RoutesHandle::start(settings, store, role);
    let version = |number| RouteConfig {
        version: ConfigVersion(number),
        ..config(vec![route("all", "shop", "/")])
    };
    let push = |number| json!({ "push": { "whole": version(number) } });
    let exchange = |request: serde_json::Value| -> serde_json::Value {
        let reply = handle.handle_peer_request(&serde_json::to_vec(&request).unwrap());
        serde_json::from_slice(&reply).unwrap()
    };
    for (sent, in_force) in [(4, 4), (3, 4), (4, 4), (7, 7)] {
        assert_eq!(exchange(push(sent)), json!({ "in-force": in_force }));
        assert_eq!(handle.version(), ConfigVersion(in_force));
    }
    assert_eq!(exchange(json!("nonsense")), json!({ "in-force": 7 }));
    let fetched = exchange(json!({ "fetch": 0 }));
    assert_eq!(fetched, json!({ "update": { "whole": version(7) } }));
    assert_eq!(exchange(json!({ "fetch": 7 })), json!({ "in-force": 7 }));
    // A node that has 4 gets what has changed since.
    let update = exchange(json!({ "fetch": 4 }));
    assert_eq!(update["update"]["delta"]["bases"], json!([4]));
    assert_eq!(update["update"]["delta"]["version"], 7);
    // Changes that don't fit are refused, and the peer hears what would.
    let mut gap = update["update"].clone();
    gap["delta"]["bases"] = json!([9]);
    gap["delta"]["version"] = json!(11);
    assert_eq!(exchange(json!({ "push": gap })), json!({ "in-force": 7 }));
}

/// The store turns the first node of each zone away while the configuration
/// changes: the second one watches as well.
#[ntex::test]
async fn the_second_node_of_a_zone_hears_of_a_change_at_once() {
    let source = ConfigSource {
        key: "routes",
        decode: |bytes| Ok(serde_json::from_slice(bytes).unwrap()),
    };
    let hello = crate::exchange::PeerHello::default();
    let (_role, role) = tokio::sync::watch::channel(FleetRole::from_zone_rank(11, 1));
    let store = Rc::new(MemoryStore::new([]));
    let handle = RoutesHandle::start(RoutesSettings { hello, source }, Rc::clone(&store), role);
    let mut in_force = handle.subscribe();
    // It has looked once and waits.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let changed = config(vec![route("all", "shop", "/")]);
    let bytes = serde_json::to_vec(&changed).unwrap().into();
    store
        .compare_and_swap("routes", KeyRevision::ABSENT, bytes)
        .await
        .unwrap();
    let hearing = in_force.wait_for(Option::is_some);
    let heard = tokio::time::timeout(Duration::from_millis(500), hearing).await;
    assert!(heard.is_ok(), "the change was not heard of");
}
