use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Most steps of one generated sequence, which starts with a new budget.
const MAX_STEPS: usize = 400;

#[derive(Debug, Clone)]
enum RetryStep {
    FirstAttempt,
    Failure(RetryContext, AttemptFailure),
}

fn any_kind() -> impl Strategy<Value = ErrorKind> {
    proptest::sample::select(ErrorKind::ALL.to_vec())
}

fn any_failure() -> impl Strategy<Value = AttemptFailure> {
    (any_kind(), any::<bool>()).prop_map(|(kind, did_not_run)| match did_not_run {
        true => AttemptFailure::NotRun(kind),
        false => AttemptFailure::Unknown(kind),
    })
}

fn any_context() -> impl Strategy<Value = RetryContext> {
    let flags = any::<(bool, bool, bool)>();
    (flags, 1..5_u32, 0..50_u64).prop_map(
        |((is_idempotent, may_have_run, is_body_replayable), attempt, left_ms)| RetryContext {
            is_idempotent,
            may_have_run,
            is_body_replayable,
            attempts_made: attempt,
            max_attempts: 3,
            time_left: Duration::from_millis(left_ms),
        },
    )
}

fn any_step() -> impl Strategy<Value = RetryStep> {
    prop_oneof![
        Just(RetryStep::FirstAttempt),
        (any_context(), any_failure())
            .prop_map(|(context, failure)| RetryStep::Failure(context, failure)),
    ]
}

fn service() -> ServiceName {
    "tillpost".parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn retries_respect_budget_attempts_and_idempotency(
        steps in proptest::collection::vec(any_step(), 1..MAX_STEPS),
    ) {
        let mut policy = RetryPolicy::new(RetryOptions::default());
        let (mut first_attempts, mut retries) = (0_u32, 0_u32);
        for step in steps {
            let RetryStep::Failure(context, failure) = step else {
                policy.record_first_attempt(&service());
                first_attempts += 1;
                continue;
            };
            let may_have_run =
                context.may_have_run || matches!(failure, AttemptFailure::Unknown(_));
            let tokens_before = policy.tokens(&service());
            if policy.is_free_retry(&context, failure) {
                prop_assert!(matches!(
                    failure,
                    AttemptFailure::NotRun(ErrorKind::Draining | ErrorKind::ZoneEvacuated)
                ));
                prop_assert!(!context.time_left.is_zero());
                prop_assert!(context.is_body_replayable);
                prop_assert!(context.is_idempotent || !may_have_run);
                prop_assert_eq!(
                    policy.decide(&service(), &context, failure),
                    RetryDecision::Retry
                );
                prop_assert_eq!(policy.tokens(&service()), tokens_before);
                continue;
            }
            match policy.decide(&service(), &context, failure) {
                RetryDecision::Retry => {
                    retries += 1;
                    prop_assert!(context.is_body_replayable);
                    prop_assert!(context.is_idempotent || !may_have_run);
                    prop_assert!(context.attempts_made < context.max_attempts);
                    prop_assert!(!context.time_left.is_zero());
                    // The initial token and a tenth of one per first attempt.
                    prop_assert!(f64::from(retries) <= 1.0 + 0.1 * f64::from(first_attempts) + 1e-6);
                }
                RetryDecision::GiveUp { outcome, .. } => {
                    prop_assert_eq!(outcome == RunOutcome::NotRun, !may_have_run);
                }
            }
        }
    }
}

#[test]
fn refused_call_is_retried_until_the_budget_is_empty() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let context = RetryContext {
        is_idempotent: false,
        may_have_run: false,
        is_body_replayable: true,
        attempts_made: 1,
        max_attempts: 3,
        time_left: Duration::from_secs(1),
    };
    for _ in 0..30 {
        policy.record_first_attempt(&service());
    }
    let refusal = AttemptFailure::NotRun(ErrorKind::Overloaded);
    for _ in 0..4 {
        assert!(policy.has_retry_token(&service()));
        assert_eq!(
            policy.decide(&service(), &context, refusal),
            RetryDecision::Retry
        );
    }
    assert!(!policy.has_retry_token(&service()));
    assert_matches!(
        policy.decide(&service(), &context, refusal),
        RetryDecision::GiveUp {
            reason: GiveUpReason::BudgetSpent,
            outcome: RunOutcome::NotRun,
            ..
        }
    );
}

/// When an upstream begins to drain, more non-idempotent calls may be in transit
/// to it than the budget has tokens; each must still be retried elsewhere.
#[test]
fn refusals_by_a_draining_upstream_cost_no_tokens() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let context = RetryContext {
        is_idempotent: false,
        may_have_run: false,
        is_body_replayable: true,
        attempts_made: 1,
        max_attempts: 3,
        time_left: Duration::from_secs(1),
    };
    let drain_refusal = AttemptFailure::NotRun(ErrorKind::Draining);
    for _ in 0..24 {
        assert_eq!(
            policy.decide(&service(), &context, drain_refusal),
            RetryDecision::Retry
        );
    }
    assert_eq!(policy.tokens(&service()), INITIAL_TOKENS);
    let out_of_time = RetryContext {
        time_left: Duration::ZERO,
        ..context
    };
    assert_matches!(
        policy.decide(&service(), &out_of_time, drain_refusal),
        RetryDecision::GiveUp { .. }
    );
}

/// Refusals in an evacuated zone say nothing of the load: with the budget empty and no
/// attempt left a call must still find another zone.
#[test]
fn refusal_in_an_evacuated_zone_costs_no_token_and_no_attempt() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let context = RetryContext {
        is_idempotent: false,
        may_have_run: false,
        is_body_replayable: true,
        attempts_made: 3,
        max_attempts: 3,
        time_left: Duration::from_millis(50),
    };
    let refusal = AttemptFailure::NotRun(ErrorKind::ZoneEvacuated);
    let tokens = policy.tokens(&service());
    for _ in 0..20 {
        let decision = policy.decide(&service(), &context, refusal);
        assert_eq!(decision, RetryDecision::Retry);
    }
    assert!((policy.tokens(&service()) - tokens).abs() < f64::EPSILON);
}

fn refused_context() -> RetryContext {
    RetryContext {
        is_idempotent: false,
        may_have_run: false,
        is_body_replayable: true,
        attempts_made: 1,
        max_attempts: 3,
        time_left: Duration::from_secs(1),
    }
}

fn policy_with_free_refusals() -> RetryPolicy {
    RetryPolicy::new(RetryOptions {
        are_gate_refusals_free: true,
        ..RetryOptions::default()
    })
}

/// Guards against a free retry that sends a body without its start.
#[test]
fn refusal_after_the_start_of_the_body_is_gone_is_not_retried() {
    let context = RetryContext {
        is_body_replayable: false,
        ..refused_context()
    };
    for kind in ErrorKind::ALL {
        let refusal = AttemptFailure::NotRun(kind);
        let mut policy = policy_with_free_refusals();
        assert!(!policy.is_free_retry(&context, refusal), "{kind:?}");
        assert_matches!(
            policy.decide(&service(), &context, refusal),
            RetryDecision::GiveUp {
                outcome: RunOutcome::NotRun,
                ..
            }
        );
    }
}

/// Guards against a free retry of a non-idempotent call that an earlier attempt may have run.
#[test]
fn refusal_after_an_attempt_that_may_have_run_is_not_retried() {
    let context = RetryContext {
        may_have_run: true,
        ..refused_context()
    };
    for kind in [ErrorKind::Draining, ErrorKind::BackendUnreachable] {
        let refusal = AttemptFailure::NotRun(kind);
        let mut policy = policy_with_free_refusals();
        assert!(!policy.is_free_retry(&context, refusal), "{kind:?}");
        assert_matches!(
            policy.decide(&service(), &context, refusal),
            RetryDecision::GiveUp {
                outcome: RunOutcome::Unknown,
                reason: GiveUpReason::MayHaveRun,
                ..
            }
        );
    }
}
