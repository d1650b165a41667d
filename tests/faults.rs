//! At-most-once execution under faults, with real processes.
//!
//! All orders are non-idempotent. Backend servers report each run, and the runs
//! are compared with the outcomes that callers saw: no answered order is lost,
//! no order runs twice, and no order reported as not run has run or runs later.
//!
//! `FAULTS_ORDERS` sets the number of orders of each test (default 1,000),
//! `FAULTS_LOGS` a directory for the logs of the processes.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(
    dead_code,
    reason = "the fleet is shared with the tests of planned stops"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/load.rs"]
mod load;
#[path = "support/process.rs"]
mod process;
#[path = "faults/script.rs"]
mod script;

use std::env;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use ntex::time::sleep;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use fleet::Fleet;
use load::{ORDER_TIMEOUT, OrderLoad};
use script::{Fault, UpstreamFault, run_fault_round};

/// Orders of each test if `FAULTS_ORDERS` is not set.
const DEFAULT_ORDER_COUNT: usize = 1_000;
const MIN_FAULT_ROUNDS: usize = 6;
const UPSTREAM_COUNT: usize = 3;
/// Wait after the load in which a delayed request may still arrive and run.
const LATE_RUN_WAIT: Duration = Duration::from_millis(1500);
const MIXED_FAULTS_SEED: u64 = 41;

/// Lets one fleet run at a time, since they would slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

fn configured_order_count() -> usize {
    let text = env::var("FAULTS_ORDERS").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_ORDER_COUNT)
}

/// Runs rounds of faults under load until enough orders have finished, and
/// checks the report. Panics if it shows a broken guarantee.
async fn run_fault_rounds(
    name: &str,
    mut faults_of_round: impl FnMut(usize) -> Vec<UpstreamFault>,
) {
    let mut fleet = Fleet::start(UPSTREAM_COUNT).await;
    let load = OrderLoad::start(&fleet, &[ORDER_TIMEOUT]);
    let mut round = 0;
    while load.finished_count() < configured_order_count() || round < MIN_FAULT_ROUNDS {
        let faults = faults_of_round(round);
        // Faults of every other pair of rounds last longer than the orders' time
        // limit.
        run_fault_round(&mut fleet, &faults, round % 4 >= 2).await;
        round += 1;
    }
    let results = load.stop().await;
    sleep(LATE_RUN_WAIT).await;
    let runs = fleet.shut_down();
    let report = results.compare_with_runs(&runs.lock().unwrap());
    println!("{name}: rounds {round} {report}");
    report.assert_guarantees();
}

fn run_test(name: &str, faults_of_round: impl FnMut(usize) -> Vec<UpstreamFault> + 'static) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let system = ntex::rt::System::new("faults", ntex::rt::DefaultRuntime);
    let name = name.to_string();
    system.block_on(async move { run_fault_rounds(&name, faults_of_round).await });
}

/// Returns one fault per round, each at the next upstream, so that the previous
/// one has time to get its load back.
fn rotate_over_upstreams(faults: &'static [Fault]) -> impl FnMut(usize) -> Vec<UpstreamFault> {
    move |round| {
        // Without a shift each fault would always hit the same upstream.
        let needs_shift = faults.len().is_multiple_of(UPSTREAM_COUNT);
        let shift = if needs_shift { round / faults.len() } else { 0 };
        let index = (round + shift) % UPSTREAM_COUNT;
        vec![(index, faults[round % faults.len()])]
    }
}

#[test]
fn nodes_killed_and_frozen() {
    run_test(
        "nodes",
        rotate_over_upstreams(&[Fault::FreezeNode, Fault::KillNode]),
    );
}

#[test]
fn backend_servers_killed_and_frozen() {
    run_test(
        "backend servers",
        rotate_over_upstreams(&[Fault::FreezeBackend, Fault::KillBackend]),
    );
}

#[test]
fn links_cut_silent_and_late() {
    run_test(
        "links",
        rotate_over_upstreams(&[Fault::SilenceLinks, Fault::CutLinks, Fault::HoldLinks]),
    );
}

#[test]
fn upstreams_slow_and_failing() {
    run_test(
        "upstreams",
        rotate_over_upstreams(&[
            Fault::SlowBackend,
            Fault::FailBackend,
            Fault::TruncateResponses,
            Fault::WithholdResponses,
        ]),
    );
}

#[test]
fn mixed_faults_at_two_upstreams_at_once() {
    const MIXED_FAULTS: [Fault; 11] = [
        Fault::KillNode,
        Fault::FreezeNode,
        Fault::KillBackend,
        Fault::FreezeBackend,
        Fault::CutLinks,
        Fault::SilenceLinks,
        Fault::HoldLinks,
        Fault::SlowBackend,
        Fault::FailBackend,
        Fault::TruncateResponses,
        Fault::WithholdResponses,
    ];
    let mut rng = StdRng::seed_from_u64(MIXED_FAULTS_SEED);
    run_test("mixed", move |_| {
        // One upstream stays healthy. The other two may have the same fault, or
        // one a link fault and the other a process fault.
        let healthy = rng.random_range(0..UPSTREAM_COUNT);
        let faulty = (0..UPSTREAM_COUNT).filter(|&index| index != healthy);
        faulty
            .map(|index| (index, *MIXED_FAULTS.choose(&mut rng).unwrap()))
            .collect()
    });
}
