//! Tests of requests that arrive at a node which has just started.

use std::collections::BTreeMap;

use super::*;
use crate::fields::DEFAULT_DIALECT;
use crate::routes::{CallerLimits, ConfigVersion, RouteConfig};
use crate::routing::{NodeLocality, RoutingOptions};

/// Time after which the routes are known.
const ROUTES_DELAY: Duration = Duration::from_millis(60);

fn shared(started: Instant) -> (Arc<IngressState>, watch::Sender<Arc<RoutingTable>>) {
    let home = NodeLocality {
        node: "node-1".parse().unwrap(),
        region: "oyo-west".parse().unwrap(),
        zone: "ogbomoso-a".parse().unwrap(),
    };
    let (tables, table) = watch::channel(Arc::default());
    let (_, stop_phase) = watch::channel(StopPhase::Serving);
    let settings = IngressSettings {
        quarantine: std::sync::Arc::default(),
        dialect: &DEFAULT_DIALECT,
        uses_routes: true,
        local_service: None,
        max_immediate_offers: 3,
        retry_options: RetryOptions::default(),
        metrics: Arc::default(),
        resource_limits: ResourceLimits::default(),
        started_at: started,
    };
    let incarnation = NodeIncarnation::try_from(1).unwrap();
    let router = RouterState::new(home, RoutingOptions::default());
    let shared = IngressState::new(incarnation, router, table, stop_phase, settings);
    (Arc::new(shared), tables)
}

fn table_with_routes() -> Arc<RoutingTable> {
    let limits = CallerLimits::default();
    let routes = RouteConfig::new(ConfigVersion(1), Vec::new(), BTreeMap::new(), limits);
    Arc::new(RoutingTable {
        routes: Some(Arc::new(routes)),
        ..RoutingTable::default()
    })
}

/// Guards against rejecting requests that arrive before the configuration, as
/// happens when all nodes restart at once.
#[ntex::test]
async fn a_request_waits_for_the_routes_of_a_node_that_has_just_started() {
    let (shared, tables) = shared(Instant::now());
    let wait_started_at = Instant::now();
    let publishing = async {
        tokio::time::sleep(ROUTES_DELAY).await;
        tables.send_replace(table_with_routes());
    };
    tokio::join!(shared.wait_for_routes(), publishing);
    assert!(shared.table.borrow().routes.is_some());
    assert!(
        wait_started_at.elapsed() < STARTUP_WINDOW / 2,
        "{:?}",
        wait_started_at.elapsed()
    );
}

/// Guards against delaying every request while the store is unreachable and no
/// peer knows the routes: they are rejected at once.
#[ntex::test]
async fn a_request_does_not_wait_at_a_node_that_had_time_to_learn() {
    let long_ago = Instant::now().checked_sub(STARTUP_WINDOW);
    let (shared, _tables) = shared(long_ago.expect("a clock past its first second"));
    let wait_started_at = Instant::now();
    shared.wait_for_routes().await;
    assert!(
        wait_started_at.elapsed() < ROUTES_DELAY,
        "{:?}",
        wait_started_at.elapsed()
    );
}
