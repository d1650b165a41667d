//! Planned stops under load, with real processes: no request is truncated or
//! refused, and a stopped process ends with exit code 0. A paused node leaves no
//! order with an unknown outcome, and fails no idempotent query.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "the fleet is shared with the tests of faults")]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;
#[path = "support/process.rs"]
mod process;
#[path = "http/raw.rs"]
mod raw;

use std::net::SocketAddr;
use std::time::Duration;

use ntex::time::sleep;
use serde_json::json;

use fleet::{DEFAULT_WORK_MS, Fleet, FleetConfig, SERVICE};
use load::{OrderLoad, OrderOutcome, OrderResults};
use raw::RawCaller;

const UPSTREAM_COUNT: usize = 3;
/// Time limit of an order, which no order should reach. A trace of a busy
/// machine shows all processes of a fleet stalled for 0.5 s, twice in a row.
const STOP_ORDER_TIMEOUT: Duration = Duration::from_secs(4);
const LOAD_BETWEEN_STOPS: Duration = Duration::from_millis(700);
/// Users' bound after which a draining upstream receives no new work.
const NO_NEW_WORK_BOUND: Duration = Duration::from_secs(3);

fn assert_all_orders_whole(results: &OrderResults, fleet: Fleet) {
    let runs = fleet.shut_down();
    let report = results.compare_with_runs(&runs.lock().unwrap());
    report.assert_guarantees();
    let whole = report.count(OrderOutcome::Whole);
    let total: u32 = report.outcomes.values().sum();
    assert_eq!(
        whole, total,
        "some orders got no complete response: {report}"
    );
}

#[ntex::test]
async fn every_node_restarts_under_load_without_a_failed_order() {
    let mut fleet = Fleet::start(UPSTREAM_COUNT).await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    for index in 0..UPSTREAM_COUNT {
        sleep(LOAD_BETWEEN_STOPS).await;
        fleet.upstreams[index].signal_node("TERM");
        let mut node = fleet.upstreams[index].node.take().unwrap();
        assert_eq!(node.wait_for_exit().await, Some(0));
        fleet.upstreams[index].start_node();
        fleet.wait_until_ready().await;
    }
    sleep(LOAD_BETWEEN_STOPS).await;
    let results = load.stop().await;
    assert_all_orders_whole(&results, fleet);
}

#[ntex::test]
async fn every_backend_server_drains_under_load_without_a_failed_order() {
    let mut fleet = Fleet::start(UPSTREAM_COUNT).await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    for index in 0..UPSTREAM_COUNT {
        sleep(LOAD_BETWEEN_STOPS).await;
        fleet.upstreams[index].signal_backend("TERM");
        let mut backend = fleet.upstreams[index].backend.take().unwrap();
        assert_eq!(backend.wait_for_exit().await, Some(0));
        fleet.upstreams[index].start_backend();
        fleet.wait_until_ready().await;
    }
    sleep(LOAD_BETWEEN_STOPS).await;
    let results = load.stop().await;
    assert_all_orders_whole(&results, fleet);
}

#[ntex::test]
async fn backend_server_that_says_it_leaves_under_load_fails_no_order() {
    let mut fleet = Fleet::start_with(FleetConfig {
        upstream_count: UPSTREAM_COUNT,
        node_flags: &["--asks", "3", "--slot-limit", "fixed"],
        work_ms: DEFAULT_WORK_MS,
    })
    .await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    sleep(LOAD_BETWEEN_STOPS).await;
    let leaving = json!({ "response_fields": { "currantlift-leaving": "1" } });
    for index in 0..2 {
        let upstream = &fleet.upstreams[index];
        upstream.set_backend_faults(&fleet.client, &leaving).await;
        sleep(LOAD_BETWEEN_STOPS).await;
        let before = upstream.started_run_count(&fleet.client).await;
        sleep(LOAD_BETWEEN_STOPS).await;
        let after = upstream.started_run_count(&fleet.client).await;
        assert_eq!(before, after);
        // One backend server alone has fewer places than there are callers.
        fleet.upstreams[index].backend = None;
        fleet.upstreams[index].start_backend();
        fleet.wait_until_ready().await;
    }
    let results = load.stop().await;
    assert_all_orders_whole(&results, fleet);
}

#[ntex::test]
async fn draining_upstream_gets_no_new_work_after_the_bound() {
    let fleet = Fleet::start(UPSTREAM_COUNT).await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    sleep(LOAD_BETWEEN_STOPS).await;
    // The backend server announces that it drains, but keeps running.
    let drain = json!({ "draining": true });
    fleet.upstreams[0]
        .set_backend_faults(&fleet.client, &drain)
        .await;
    sleep(NO_NEW_WORK_BOUND).await;
    let before = fleet.upstreams[0].started_run_count(&fleet.client).await;
    sleep(LOAD_BETWEEN_STOPS).await;
    let after = fleet.upstreams[0].started_run_count(&fleet.client).await;
    assert_eq!(before, after);
    let results = load.stop().await;
    assert_all_orders_whole(&results, fleet);
}

/// Pause of a node: longer than a silent link is kept, far shorter than an
/// order's time limit.
const NODE_PAUSE: Duration = Duration::from_millis(300);

/// On a busy machine, a node may get no CPU for a while. Orders that may have
/// run there must wait for it, and are answered in time. Those that never
/// reached it are retried, as far as the retry budget allows.
#[ntex::test]
async fn paused_node_leaves_no_order_with_unknown_outcome() {
    let fleet = Fleet::start(UPSTREAM_COUNT).await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    for upstream in &fleet.upstreams {
        sleep(LOAD_BETWEEN_STOPS).await;
        upstream.signal_node("STOP");
        sleep(NODE_PAUSE).await;
        upstream.signal_node("CONT");
    }
    sleep(LOAD_BETWEEN_STOPS).await;
    let results = load.stop().await;
    let runs = fleet.shut_down();
    let report = results.compare_with_runs(&runs.lock().unwrap());
    report.assert_guarantees();
    assert_eq!(report.count(OrderOutcome::Unknown), 0, "{report}");
}

/// Queries in flight when a node is paused; the retry budget covers only some.
const QUERY_COUNT: usize = 24;

/// More idempotent queries are at the paused node than the retry budget covers.
/// Those that can't be retried must wait for the node instead of failing.
#[ntex::test]
async fn paused_node_fails_no_query_when_the_retry_budget_is_used_up() {
    let fleet = Fleet::start(UPSTREAM_COUNT).await;
    let queries = (0..QUERY_COUNT).map(|_| async {
        let query = fleet
            .client
            .get(format!("{}/orders", fleet.ingress_url))
            .header("currantlift-service", SERVICE)
            .header("standin-work-us", "300000")
            .header("currantlift-timeout-ms", "4000");
        query.send().await.unwrap().status().as_u16()
    });
    let pause = async {
        sleep(NODE_PAUSE / 3).await;
        fleet.upstreams[0].signal_node("STOP");
        sleep(NODE_PAUSE).await;
        fleet.upstreams[0].signal_node("CONT");
    };
    let (statuses, ()) = tokio::join!(futures_util::future::join_all(queries), pause);
    assert_eq!(statuses, [200; QUERY_COUNT]);
}

/// Longer than a node accepts new requests after SIGTERM.
const WAIT_PAST_LISTENER_CLOSE: Duration = Duration::from_millis(1_400);

#[ntex::test]
async fn request_half_sent_when_a_node_shuts_down_is_answered() {
    let mut fleet = Fleet::start(2).await;
    let mut caller = RawCaller::connect(fleet.upstreams[0].listen_address()).await;
    caller
        .send("POST /orders HTTP/1.1\r\nhost: tillpost\r\n")
        .await;
    sleep(Duration::from_millis(100)).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(WAIT_PAST_LISTENER_CLOSE).await;
    caller.send("content-length: 5\r\n\r\norder").await;
    let response = caller
        .read_response()
        .await
        .expect("the response should be complete");
    assert_eq!((response.status, &response.body[..]), (200, &b"order"[..]));
    let mut node = fleet.upstreams[0].node.take().unwrap();
    assert_eq!(node.wait_for_exit().await, Some(0));
}

/// Waits until a node serves its own callers; it learns of upstreams later than the
/// ingress.
async fn wait_until_served(address: SocketAddr) {
    loop {
        let mut caller = RawCaller::connect(address).await;
        caller
            .send("POST /orders HTTP/1.1\r\nhost: tillpost\r\ncontent-length: 0\r\n\r\n")
            .await;
        if caller.read_response().await.unwrap().status == 200 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// A connection that is taken but never accepted hangs until the process ends.
#[ntex::test]
async fn stopping_node_refuses_connections_that_it_does_not_accept() {
    let mut fleet = Fleet::start(2).await;
    let address = fleet.upstreams[0].listen_address();
    wait_until_served(address).await;
    let mut caller = RawCaller::connect(address).await;
    // Its missing body keeps the process from ending, and no gate works meanwhile.
    caller
        .send(
            "POST /orders HTTP/1.1\r\nhost: tillpost\r\ncontent-length: 5\r\n\
             currantlift-timeout-ms: 4000\r\n\r\n",
        )
        .await;
    sleep(Duration::from_millis(100)).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(WAIT_PAST_LISTENER_CLOSE).await;
    let connected = RawCaller::try_connect(address).await;
    assert!(!fleet.upstreams[0].node.as_mut().unwrap().has_exited());
    assert!(connected.is_err(), "a connection was taken");
    caller.send("order").await;
    assert_eq!(caller.read_response().await.unwrap().status, 200);
}

/// Fleet whose nodes take as long to leave as on the users' platform.
const SLOW_LEAVE_FLEET: FleetConfig = FleetConfig {
    upstream_count: UPSTREAM_COUNT,
    node_flags: &["--leave-seconds", "3", "--drain-seconds", "5"],
    work_ms: DEFAULT_WORK_MS,
};
/// Part of the time after SIGTERM in which the gates still admit calls.
const GATES_OPEN_TIME: Duration = Duration::from_millis(1_200);

/// If rolling restarts follow each other faster than a stop takes, all nodes of
/// a service are stopping for a while. Their backend servers still run, so
/// orders must be served.
#[ntex::test]
async fn nodes_stopping_at_once_serve_until_callers_have_left() {
    let mut fleet = Fleet::start_with(SLOW_LEAVE_FLEET).await;
    let load = OrderLoad::start(&fleet, &[STOP_ORDER_TIMEOUT]);
    sleep(LOAD_BETWEEN_STOPS).await;
    for upstream in &fleet.upstreams {
        upstream.signal_node("TERM");
    }
    sleep(GATES_OPEN_TIME / 2).await;
    let before = load.whole_count();
    sleep(GATES_OPEN_TIME / 2).await;
    let served = load.whole_count() - before;
    let results = load.stop().await;
    for upstream in &mut fleet.upstreams {
        let mut node = upstream.node.take().unwrap();
        assert_eq!(node.wait_for_exit().await, Some(0));
    }
    assert_all_orders_whole(&results, fleet);
    assert!(
        served > 0,
        "no order was served while all nodes were stopping"
    );
}
