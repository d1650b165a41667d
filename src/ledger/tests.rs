use std::time::Duration;

use super::{CallLedger, CancelOutcome, LedgerLimits, OpenOutcome, ResumeOutcome};
use crate::ids::CallId;

fn call(sequence: u64) -> CallId {
    CallId {
        ingress: 7,
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
