//! Requests that crash the backend server that runs them, with real processes.
//!
//! A stand-in backend server ends when it runs a request with the marker in its body,
//! and is back at its address after a while. Other requests of the same path run beside
//! it.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "the fleet is shared with other tests")]

#[path = "crashes/drill.rs"]
mod drill;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;

use std::time::Duration;

use drill::{CrashDrill, CrashingRequest, DrillReport};

/// Requests that reach backend servers after the third crash, at most: the users'
/// bound. It counts from when all nodes have to know of the third crash.
const MAX_LATE_ARRIVALS: u32 = 3;
/// Share of the other requests that is served, at least: below it the users' monitoring
/// raises an alert.
const MIN_SERVED_SHARE: f64 = 0.9;

const DRILL_TIME: Duration = Duration::from_secs(16);

fn assert_is_contained(report: &DrillReport) {
    assert!(report.late_arrivals <= MAX_LATE_ARRIVALS, "{report:?}");
    assert!(report.share_after() >= MIN_SERVED_SHARE, "{report:?}");
    assert_eq!(report.quarantined_others, 0, "{report:?}");
}

#[ntex::test]
async fn request_that_crashes_its_upstreams_is_held_after_the_third_crash() {
    let mut drill = CrashDrill::start().await;
    let report = drill.run(DRILL_TIME, CrashingRequest::small(400)).await;
    assert_is_contained(&report);
}

#[ntex::test]
async fn crashing_request_that_comes_forty_times_a_second_is_held() {
    let mut drill = CrashDrill::start().await;
    let report = drill.run(DRILL_TIME, CrashingRequest::small(25)).await;
    assert_is_contained(&report);
}

#[ntex::test]
async fn restarted_nodes_learn_of_a_held_request() {
    let mut drill = CrashDrill::start().await;
    let report = drill.run(DRILL_TIME, CrashingRequest::small(400)).await;
    assert_is_contained(&report);
    let crashes_before = drill.crash_count();
    for index in 0..drill::UPSTREAM_COUNT {
        drill.restart_node(index).await;
        let lap = Duration::from_secs(3);
        drill.run(lap, CrashingRequest::small(100)).await;
    }
    assert_eq!(drill.crash_count(), crashes_before);
}

#[ntex::test]
async fn large_upload_that_crashes_its_upstreams_is_held() {
    for is_chunked in [false, true] {
        let mut drill = CrashDrill::start().await;
        let report = drill
            .run(DRILL_TIME, CrashingRequest::upload(400, is_chunked))
            .await;
        assert_is_contained(&report);
    }
}

#[ntex::test]
async fn popular_request_that_runs_at_each_crash_is_not_refused() {
    let mut drill = CrashDrill::start().await;
    drill.set_popular_path("/stock/popular");
    let report = drill.run(DRILL_TIME, CrashingRequest::small(400)).await;
    assert_is_contained(&report);
}

#[ntex::test]
async fn crashes_with_nobody_to_blame_get_nobody_refused() {
    let mut drill = CrashDrill::start().await;
    drill.set_popular_path("/stock/popular");
    let report = drill.run_with_kills(DRILL_TIME, 8).await;
    assert_eq!(report.crashes, 8, "{report:?}");
    assert_eq!(report.quarantined_others, 0, "{report:?}");
    assert!(report.share() >= MIN_SERVED_SHARE, "{report:?}");
}
