//! At most once with real processes under faults.
//!
//! Every order is non-idempotent. The backend servers report each run, and the
//! runs are compared with what the callers were told: no order that was
//! answered is lost, none ran twice, none that was called not run ran, also
//! later.
//!
//! `FAULTS_ORDERS` sets the orders of each test (default 1,000), `FAULTS_LOGS`
//! a directory for the processes' logs.

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
use script::{Fault, Placed, run_round};

/// Orders of each test, unless the variable says otherwise.
const DEFAULT_ORDERS: usize = 1_000;
/// Fewest rounds of faults of each test.
const MIN_ROUNDS: usize = 6;
/// Upstreams of the service.
const UPSTREAMS: usize = 3;
/// Time in which whatever is late arrives and runs.
const LATE_TIME: Duration = Duration::from_millis(1500);
/// Seed of the mixed faults.
const MIX_SEED: u64 = 41;

/// The machine is shared: one fleet at a time.
static FLEET_TURN: Mutex<()> = Mutex::new(());

fn wanted_orders() -> usize {
    let text = env::var("FAULTS_ORDERS").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_ORDERS)
}

/// Repeats the rounds of faults under load until enough orders are placed.
async fn prove(name: &str, mut next_round: impl FnMut(usize) -> Vec<Placed>) {
    let mut fleet = Fleet::start(UPSTREAMS).await;
    let load = OrderLoad::start(&fleet, &[ORDER_TIMEOUT]);
    let mut round = 0;
    while load.count() < wanted_orders() || round < MIN_ROUNDS {
        let faults = next_round(round);
        // Every other pair of rounds outlasts the orders' time limit.
        run_round(&mut fleet, &faults, round % 4 >= 2).await;
        round += 1;
    }
    let book = load.end().await;
    sleep(LATE_TIME).await;
    let tally = fleet.end();
    let report = book.compare(&tally.lock().unwrap());
    println!("{name}: rounds {round} {report}");
    report.check();
}

fn run_test(name: &str, next_round: impl FnMut(usize) -> Vec<Placed> + 'static) {
    let _turn = FLEET_TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let system = ntex::rt::System::new("faults", ntex::rt::DefaultRuntime);
    let name = name.to_string();
    system.block_on(async move { prove(&name, next_round).await });
}

/// One fault after the other, each time at the next upstream, so that the one
/// that was faulty last has time to get its load back.
fn in_turn(faults: &'static [Fault]) -> impl FnMut(usize) -> Vec<Placed> {
    move |round| {
        // Without a shift a fault would always meet the same upstream.
        let has_shift = faults.len().is_multiple_of(UPSTREAMS);
        let shift = if has_shift { round / faults.len() } else { 0 };
        let index = (round + shift) % UPSTREAMS;
        vec![(index, faults[round % faults.len()])]
    }
}

#[test]
fn nodes_killed_and_frozen() {
    run_test("nodes", in_turn(&[Fault::FreezeNode, Fault::KillNode]));
}

#[test]
fn backend_servers_killed_and_frozen() {
    run_test(
        "backend servers",
        in_turn(&[Fault::FreezeBackend, Fault::KillBackend]),
    );
}

#[test]
fn links_cut_silent_and_late() {
    run_test(
        "links",
        in_turn(&[Fault::SilenceLinks, Fault::CutLinks, Fault::HoldLinks]),
    );
}

#[test]
fn upstreams_slow_and_failing() {
    run_test(
        "upstreams",
        in_turn(&[
            Fault::Slow,
            Fault::FailFast,
            Fault::CutAnswers,
            Fault::NeverAnswer,
        ]),
    );
}

#[test]
fn several_faults_at_once_and_twice() {
    const MIX: [Fault; 11] = [
        Fault::KillNode,
        Fault::FreezeNode,
        Fault::KillBackend,
        Fault::FreezeBackend,
        Fault::CutLinks,
        Fault::SilenceLinks,
        Fault::HoldLinks,
        Fault::Slow,
        Fault::FailFast,
        Fault::CutAnswers,
        Fault::NeverAnswer,
    ];
    let mut generator = StdRng::seed_from_u64(MIX_SEED);
    run_test("mixed", move |_| {
        // One upstream stays whole; a link fault may meet a process fault.
        let whole = generator.random_range(0..UPSTREAMS);
        let faulty = (0..UPSTREAMS).filter(|&index| index != whole);
        faulty
            .map(|index| (index, *MIX.choose(&mut generator).unwrap()))
            .collect()
    });
}
