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
use model::ClusterModel;
use steps::any_step;

/// Fixed, so that every test run has the same result.
const RNG_SEED: u64 = 0x0c11_f7ed;
const CASE_COUNT: u32 = 10_000;
const MAX_STEPS_PER_CASE: usize = 160;

fn model_config() -> ProptestConfig {
    ProptestConfig {
        cases: CASE_COUNT,
        rng_seed: RngSeed::Fixed(RNG_SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(model_config())]

    #[test]
    fn guarantees_hold_in_any_interleaving(
        steps in proptest::collection::vec(any_step(), 1..MAX_STEPS_PER_CASE),
    ) {
        let mut model = ClusterModel::new();
        for step in steps {
            model.apply(step);
        }
        model.settle();
        model.check_invariants();
    }
}

fn call(sequence: u64) -> CallId {
    CallId {
        ingress_incarnation: 7,
        sequence,
    }
}

#[test]
fn delayed_open_is_refused_after_its_tombstone_expired() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    let outcome = ledger.resume(Duration::ZERO, call(3));
    assert_eq!(outcome, ResumeOutcome::NeverSeen);
    let later = limits.ended_record_ttl * 2;
    ledger.remove_expired(later);
    assert_eq!(ledger.size().ended_records, 0);
    assert_eq!(ledger.open(later, call(3), false), OpenOutcome::Barred);
    assert_eq!(ledger.start_run(call(3)).map(|permit| permit.call()), None);
}

#[test]
fn forgotten_run_is_never_reported_as_not_run() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    assert_eq!(
        ledger.open(Duration::ZERO, call(3), false),
        OpenOutcome::Fresh
    );
    let permit = ledger.start_run(call(3)).expect("first start");
    ledger.end_without_response(Duration::ZERO, permit);
    let later = limits.ended_record_ttl * 2;
    ledger.remove_expired(later);
    assert_eq!(ledger.cancel(later, call(3)), CancelOutcome::MayHaveRun);
    assert_eq!(ledger.resume(later, call(3)), ResumeOutcome::Forgotten);
    assert_eq!(ledger.open(later, call(3), false), OpenOutcome::Forgotten);
}

#[test]
fn cancelled_call_gets_no_run_permit() {
    let mut ledger = CallLedger::default();
    let now = Duration::ZERO;
    assert_eq!(ledger.open(now, call(3), false), OpenOutcome::Fresh);
    assert_eq!(ledger.cancel(now, call(3)), CancelOutcome::NotRun);
    assert!(ledger.start_run(call(3)).is_none());
    assert_eq!(ledger.open(now, call(3), false), OpenOutcome::Barred);
}

#[test]
fn delayed_open_is_refused_after_a_long_process_pause() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits);
    let outcome = ledger.resume(Duration::ZERO, call(3));
    assert_eq!(outcome, ResumeOutcome::NeverSeen);
    let resumed_at = limits.watermark_ttl * 2;
    ledger.remove_expired(resumed_at);
    assert_eq!(ledger.open(resumed_at, call(3), false), OpenOutcome::Barred);
}
