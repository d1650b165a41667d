mod gate;
mod ingress;
mod model;
mod steps;
mod verdict;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{CallLedger, CancelOutcome, LedgerLimits, OpenOutcome, ResumeOutcome};
use crate::ids::CallId;
use model::World;
use steps::any_step;

/// Seed of the generated runs, so that every test run gives the same verdict.
const RUN_SEED: u64 = 0x0c11_f7ed;
/// Generated runs.
const RUN_COUNT: u32 = 10_000;
/// Steps of a generated run, at most.
const MAX_STEPS: usize = 160;

fn model_config() -> ProptestConfig {
    ProptestConfig {
        cases: RUN_COUNT,
        rng_seed: RngSeed::Fixed(RUN_SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(model_config())]

    #[test]
    fn promises_hold_in_any_interleaving(
        steps in proptest::collection::vec(any_step(), 1..MAX_STEPS),
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        world.close();
        world.check();
    }
}

fn call(sequence: u64) -> CallId {
    CallId {
        ingress_incarnation: 7,
        sequence,
    }
}

#[test]
fn late_original_stays_barred_after_its_tombstone_is_forgotten() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    let outcome = ledger.resume(Duration::ZERO, call(3));
    assert_eq!(outcome, ResumeOutcome::NeverSeen);
    let later = limits.record_age * 2;
    ledger.sweep(later);
    assert_eq!(ledger.size().ended, 0);
    assert_eq!(ledger.open(later, call(3), false), OpenOutcome::Barred);
    assert_eq!(ledger.start(call(3)).map(|permit| permit.call()), None);
}

#[test]
fn forgotten_run_is_never_called_not_run() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    assert_eq!(
        ledger.open(Duration::ZERO, call(3), false),
        OpenOutcome::Fresh
    );
    let permit = ledger.start(call(3)).expect("first start");
    ledger.end_unanswered(Duration::ZERO, permit);
    let later = limits.record_age * 2;
    ledger.sweep(later);
    assert_eq!(ledger.cancel(later, call(3)), CancelOutcome::MayHaveRun);
    assert_eq!(ledger.resume(later, call(3)), ResumeOutcome::Forgotten);
    assert_eq!(ledger.open(later, call(3), false), OpenOutcome::Forgotten);
}

#[test]
fn cancelled_call_gets_no_permit() {
    let mut ledger = CallLedger::default();
    let now = Duration::ZERO;
    assert_eq!(ledger.open(now, call(3), false), OpenOutcome::Fresh);
    assert_eq!(ledger.cancel(now, call(3)), CancelOutcome::NotRun);
    assert!(ledger.start(call(3)).is_none());
    assert_eq!(ledger.open(now, call(3), false), OpenOutcome::Barred);
}

#[test]
fn late_original_stays_barred_after_the_gate_was_stopped_for_long() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    let outcome = ledger.resume(Duration::ZERO, call(3));
    assert_eq!(outcome, ResumeOutcome::NeverSeen);
    let woken = limits.mark_age * 2;
    ledger.sweep(woken);
    assert_eq!(ledger.open(woken, call(3), false), OpenOutcome::Barred);
}
