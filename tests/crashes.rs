//! Requests that crash the backend server that runs them, with real processes.
//!
//! A stand-in backend server ends when it runs a request with the marker in its body,
//! and is back at its address after a while. Other requests of the same path run beside
//! it.
//!
//! `CRASH_SEEDS` lists seeds of the soak, separated by commas, `CRASH_FRESH` sets a number
//! of random ones; with neither the seeds of CI run.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "the fleet is shared with other tests")]

#[path = "crashes/drill.rs"]
mod drill;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;

use std::env;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use drill::{CrashDrill, CrashingRequest, DrillReport, NodeFault};

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

#[ntex::test]
async fn operator_clears_a_held_request_at_all_nodes() {
    let mut drill = CrashDrill::start().await;
    let crashing = CrashingRequest::small(100);
    drill.run(Duration::from_secs(6), crashing).await;
    let crashes = drill.crash_count();
    assert_eq!(drill.clear_held().await, 1);
    drill.run(Duration::from_secs(6), crashing).await;
    // It gets as far as before, and no further.
    assert!(drill.crash_count() > crashes);
    assert_eq!(drill.clear_held().await, 1);
}

#[ntex::test]
async fn crashing_request_is_held_although_links_go_silent_for_good() {
    let mut drill = CrashDrill::start().await;
    let silence = |index, begin_ms| {
        let begin = Duration::from_millis(begin_ms);
        NodeFault {
            index,
            signal: drill::SILENCE_LINKS,
            begin,
            end: begin,
        }
    };
    // Before the first crash, and while the evidence spreads.
    let moments = [0, 60, 450, 900];
    let faults = (0..drill::UPSTREAM_COUNT)
        .flat_map(|index| moments.map(|moment| silence(index, moment)))
        .collect();
    let crashing = CrashingRequest::small(100);
    let report = drill.run_with_faults(DRILL_TIME, crashing, faults).await;
    assert_is_contained(&report);
}

const CI_SEEDS: [u64; 2] = [1, 2];
const SOAK_TIME: Duration = Duration::from_secs(12);

fn configured_seeds() -> Vec<u64> {
    if let Ok(text) = env::var("CRASH_SEEDS") {
        return text.split(',').map(|seed| seed.parse().unwrap()).collect();
    }
    match env::var("CRASH_FRESH") {
        Ok(count) => (0..count.parse().unwrap())
            .map(|_| rand::random::<u64>() % 1_000_000)
            .collect(),
        Err(_) => CI_SEEDS.to_vec(),
    }
}

/// Series of faults of the nodes, some of which overlap.
fn draw_faults(rng: &mut StdRng) -> Vec<NodeFault> {
    let mut faults = Vec::new();
    // The last upstream's node stays, so that somebody remembers.
    for index in 0..drill::UPSTREAM_COUNT - 1 {
        let mut at_ms = rng.random_range(0..4_000);
        while at_ms < SOAK_TIME.as_millis() as u64 {
            let signal = ["KILL", "STOP", "TERM", drill::SILENCE_LINKS]
                .choose(rng)
                .unwrap();
            let end_ms = at_ms + rng.random_range(200..2_000);
            faults.push(NodeFault {
                index,
                signal,
                begin: Duration::from_millis(at_ms),
                end: Duration::from_millis(end_ms),
            });
            at_ms = end_ms + rng.random_range(2_000..5_000);
        }
    }
    faults
}

#[ntex::test]
async fn crashing_request_stays_contained_under_seeded_faults_of_nodes() {
    for seed in configured_seeds() {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let pause_ms = *[25, 100, 400].choose(&mut rng).unwrap();
        let crashing = match rng.random_range(0..3) {
            0 => CrashingRequest::small(pause_ms),
            kind => CrashingRequest::upload(pause_ms, kind == 1),
        };
        let faults = draw_faults(&mut rng);
        let mut drill = CrashDrill::start().await;
        let report = drill.run_with_faults(SOAK_TIME, crashing, faults).await;
        assert!(
            report.late_arrivals <= MAX_LATE_ARRIVALS,
            "seed {seed}: {report:?}"
        );
        assert_eq!(report.quarantined_others, 0, "seed {seed}: {report:?}");
    }
}
