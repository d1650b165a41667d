use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// First attempts of the property test; tokens are counted from a fresh start.
const MAX_STEPS: usize = 400;

#[derive(Debug, Clone)]
enum RetryStep {
    First,
    Failure(RetryContext, AttemptFailure),
}

fn any_kind() -> impl Strategy<Value = ErrorKind> {
    proptest::sample::select(ErrorKind::ALL.to_vec())
}

fn any_failure() -> impl Strategy<Value = AttemptFailure> {
    (any_kind(), any::<bool>()).prop_map(|(kind, is_not_run)| match is_not_run {
        true => AttemptFailure::NotRun(kind),
        false => AttemptFailure::Unknown(kind),
    })
}

fn any_facts() -> impl Strategy<Value = RetryContext> {
    (any::<bool>(), any::<bool>(), 1..5_u32, 0..50_u64).prop_map(
        |(is_idempotent, may_have_run, attempt, left_ms)| RetryContext {
            is_idempotent,
            may_have_run,
            attempts_made: attempt,
            max_attempts: 3,
            time_left: Duration::from_millis(left_ms),
        },
    )
}

fn any_step() -> impl Strategy<Value = RetryStep> {
    prop_oneof![
        Just(RetryStep::First),
        (any_facts(), any_failure())
            .prop_map(|(facts, failure)| RetryStep::Failure(facts, failure)),
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
    fn retries_stay_within_budget_attempts_and_what_may_run_twice(
        steps in proptest::collection::vec(any_step(), 1..MAX_STEPS),
    ) {
        let mut policy = RetryPolicy::new(RetryOptions::default());
        let (mut firsts, mut retries) = (0_u32, 0_u32);
        for step in steps {
            let RetryStep::Failure(facts, failure) = step else {
                policy.record_first_attempt(&service());
                firsts += 1;
                continue;
            };
            let may_have_run =
                facts.may_have_run || matches!(failure, AttemptFailure::Unknown(_));
            let before = policy.tokens(&service());
            if policy.is_free_retry(&facts, failure) {
                prop_assert_eq!(failure, AttemptFailure::NotRun(ErrorKind::Draining));
                prop_assert!(!facts.time_left.is_zero());
                prop_assert_eq!(
                    policy.decide(&service(), &facts, failure),
                    RetryDecision::Retry
                );
                prop_assert_eq!(policy.tokens(&service()), before);
                continue;
            }
            match policy.decide(&service(), &facts, failure) {
                RetryDecision::Retry => {
                    retries += 1;
                    prop_assert!(facts.is_idempotent || !may_have_run);
                    prop_assert!(facts.attempts_made < facts.max_attempts);
                    prop_assert!(!facts.time_left.is_zero());
                    // A tenth of the first attempts and the one at the start.
                    prop_assert!(f64::from(retries) <= 1.0 + 0.1 * f64::from(firsts) + 1e-6);
                }
                RetryDecision::GiveUp { outcome, .. } => {
                    prop_assert_eq!(outcome == RunOutcome::NotRun, !may_have_run);
                }
            }
        }
    }
}

#[test]
fn refused_call_is_sent_again_until_the_budget_is_spent() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let facts = RetryContext {
        is_idempotent: false,
        may_have_run: false,
        attempts_made: 1,
        max_attempts: 3,
        time_left: Duration::from_secs(1),
    };
    for _ in 0..30 {
        policy.record_first_attempt(&service());
    }
    let refused = AttemptFailure::NotRun(ErrorKind::Overloaded);
    for _ in 0..4 {
        assert!(policy.has_retry_token(&service()));
        assert_eq!(
            policy.decide(&service(), &facts, refused),
            RetryDecision::Retry
        );
    }
    assert!(!policy.has_retry_token(&service()));
    assert_matches!(
        policy.decide(&service(), &facts, refused),
        RetryDecision::GiveUp {
            reason: GiveUpReason::BudgetSpent,
            outcome: RunOutcome::NotRun,
            ..
        }
    );
}

/// Orders on their way to an upstream when it begins to drain, more of them
/// than the budget has retries.
#[test]
fn drain_that_many_calls_meet_costs_no_retries() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let facts = RetryContext {
        is_idempotent: false,
        may_have_run: false,
        attempts_made: 1,
        max_attempts: 3,
        time_left: Duration::from_secs(1),
    };
    let drained = AttemptFailure::NotRun(ErrorKind::Draining);
    for _ in 0..24 {
        assert_eq!(
            policy.decide(&service(), &facts, drained),
            RetryDecision::Retry
        );
    }
    assert_eq!(policy.tokens(&service()), INITIAL_TOKENS);
    let late = RetryContext {
        time_left: Duration::ZERO,
        ..facts
    };
    assert_matches!(
        policy.decide(&service(), &late, drained),
        RetryDecision::GiveUp { .. }
    );
}
