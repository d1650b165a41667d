use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;
use crate::rate_limit::KnownStatement;
use crate::table::{RoutingTable, ServiceEntry, ServiceRule, UpstreamEntry, UpstreamState};

const ZONES: [&str; 3] = ["ogbomoso-a", "oyo-town-b", "iseyin-c"];
const STATES: [UpstreamState; 3] = [
    UpstreamState::Ready,
    UpstreamState::Draining,
    UpstreamState::Joining,
];

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn service() -> ServiceName {
    "slotbook".parse().unwrap()
}

fn upstream(index: usize, state: UpstreamState, incarnation: u64) -> UpstreamEntry {
    UpstreamEntry {
        node: node(index),
        incarnation: NodeIncarnation::try_from(incarnation).unwrap(),
        region: "oyo-west".parse().unwrap(),
        zone: ZONES[index % 3].parse().unwrap(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        backend: 1.into(),
        slots: "6".parse().unwrap(),
        state,
        is_suspect: false,
    }
}

fn build_table(
    services: BTreeMap<ServiceName, Vec<UpstreamEntry>>,
    probes_per_second: f64,
) -> Arc<RoutingTable> {
    let entry_of = |upstreams: Vec<UpstreamEntry>| ServiceEntry {
        ticket: "1".parse().unwrap(),
        rule: ServiceRule {
            probes_per_second,
            ..ServiceRule::default()
        },
        upstreams: upstreams
            .into_iter()
            .map(|entry| (entry.node.clone(), entry))
            .collect(),
    };
    Arc::new(RoutingTable {
        version: 1,
        services: services
            .into_iter()
            .map(|(name, upstreams)| (name, entry_of(upstreams)))
            .collect(),
        routes: None,
    })
}

fn single_service_table(
    states: &[UpstreamState],
    incarnations: &[u64],
    probes_per_second: f64,
) -> Arc<RoutingTable> {
    let entries = states.iter().zip(incarnations).enumerate();
    let upstreams =
        entries.map(|(index, (state, incarnation))| upstream(index, *state, *incarnation));
    build_table(
        BTreeMap::from([(service(), upstreams.collect())]),
        probes_per_second,
    )
}

fn router(index: usize) -> RouterState {
    let home = NodeLocality {
        node: node(index),
        region: "oyo-west".parse().unwrap(),
        zone: ZONES[index % 3].parse().unwrap(),
    };
    RouterState::new(home, RoutingOptions::default())
}

const BUSY_REPORT: LoadReport = LoadReport {
    in_flight: 6,
    queued: 6,
    limit: 6,
    is_slow: false,
    start_rate: None,
    next_start: Duration::ZERO,
};

#[derive(Debug, Clone)]
enum RouterStep {
    Wait(u64),
    Choose(bool),
    Finish(usize, usize),
    Report(usize),
    SetState(usize, usize),
    Restart(usize),
}

fn router_steps() -> impl Strategy<Value = RouterStep> {
    prop_oneof![
        (0..300_u64).prop_map(RouterStep::Wait),
        any::<bool>().prop_map(RouterStep::Choose),
        any::<bool>().prop_map(RouterStep::Choose),
        (0..64_usize, 0..5_usize).prop_map(|(index, result)| RouterStep::Finish(index, result)),
        (0..4_usize).prop_map(RouterStep::Report),
        (0..4_usize, 0..3_usize).prop_map(|(index, state)| RouterStep::SetState(index, state)),
        (0..4_usize).prop_map(RouterStep::Restart),
    ]
}

const ATTEMPT_RESULTS: [AttemptResult; 5] = [
    AttemptResult::Answered,
    AttemptResult::Refused(ErrorKind::Overloaded),
    AttemptResult::Refused(ErrorKind::Draining),
    AttemptResult::Failed(ErrorKind::LinkLost),
    AttemptResult::Cancelled,
];

/// Expected state of an upstream.
#[derive(Debug, Default)]
struct ExpectedUpstream {
    outstanding: Vec<AttemptNumber>,
    has_refused_for_drain: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn draining_upstream_gets_no_new_calls_and_outstanding_count_is_exact(
        steps in proptest::collection::vec(router_steps(), 1..120),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut router = router(0);
        let mut states = [UpstreamState::Ready; 4];
        let mut incarnations = [1; 4];
        let mut expected: [ExpectedUpstream; 4] = Default::default();
        let mut now = Duration::ZERO;
        let mut probes = 0;
        router.apply_table(now, &single_service_table(&states, &incarnations, 1.0));
        for step in steps {
            match step {
                RouterStep::Wait(ms) => now += Duration::from_millis(ms),
                RouterStep::Choose(is_idempotent) => {
                    let tried = BTreeSet::new();
                    let request = RouteRequest {
                        service: &service(),
                        is_idempotent,
                        has_large_body: false,
                        tried_nodes: &tried,
                        skipped: SkippedUpstreams::None,
                    };
                    if let Ok(choice) = router.select_upstream(now, &mut rng, &request) {
                        let index = (0..4).find(|index| node(*index) == choice.node).unwrap();
                        prop_assert_eq!(states[index], UpstreamState::Ready);
                        prop_assert!(!expected[index].has_refused_for_drain);
                        expected[index].outstanding.push(choice.attempt);
                    }
                    probes += router.take_due_probes(now).len();
                }
                RouterStep::Finish(index, result) => {
                    let index = index % 4;
                    let Some(attempt) = expected[index].outstanding.pop() else { continue };
                    for _ in 0..2 {
                        router.finish_attempt(
                            now,
                            &service(),
                            &node(index),
                            attempt,
                            ATTEMPT_RESULTS[result],
                        );
                    }
                    let is_drain =
                        ATTEMPT_RESULTS[result] == AttemptResult::Refused(ErrorKind::Draining);
                    expected[index].has_refused_for_drain |= is_drain;
                }
                RouterStep::Report(index) => router.record_report(now, &node(index), BUSY_REPORT),
                RouterStep::SetState(index, state) => {
                    expected[index].has_refused_for_drain &= states[index] == STATES[state];
                    states[index] = STATES[state];
                    router.apply_table(now, &single_service_table(&states, &incarnations, 1.0));
                }
                RouterStep::Restart(index) => {
                    incarnations[index] += 1;
                    expected[index].has_refused_for_drain = false;
                    router.apply_table(now, &single_service_table(&states, &incarnations, 1.0));
                }
            }
            for snapshot in router.snapshot(now).upstreams {
                let index = (0..4).find(|index| node(*index) == snapshot.node).unwrap();
                prop_assert_eq!(snapshot.outstanding as usize, expected[index].outstanding.len());
            }
            // Four upstreams, whose rate is divided among four ingresses; each
            // bucket holds one token.
            let budget = 4.0 * (1.0 + now.as_secs_f64() / 4.0);
            prop_assert!(f64::from(u32::try_from(probes).unwrap()) <= budget);
        }
    }

    #[test]
    fn probe_bucket_never_exceeds_its_rate(
        gaps_us in proptest::collection::vec(0..400_000_u64, 1..300),
        rate in 0.0..20.0_f64,
    ) {
        let mut bucket = ProbeBucket::new(Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut grants = Vec::new();
        for gap_us in gaps_us {
            now += Duration::from_micros(gap_us);
            if bucket.try_take(now, rate) {
                grants.push(now);
            }
        }
        for (first, from) in grants.iter().enumerate() {
            for (last, to) in grants.iter().enumerate().skip(first) {
                let count = (last - first + 1) as f64;
                let span = to.saturating_sub(*from).as_secs_f64();
                prop_assert!(count <= 1.0 + rate * span + 1e-6);
            }
        }
    }
}

#[test]
fn upstream_that_fails_fast_does_not_look_idle() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    router.apply_table(
        Duration::ZERO,
        &single_service_table(&[UpstreamState::Ready; 2], &[1; 2], 0.0),
    );
    let (mut calls_to_failing, mut non_idempotent_to_failing) = (0, 0);
    for call in 0..1_000_u64 {
        let now = Duration::from_millis(30 * call);
        let is_idempotent = call % 10 == 0;
        let tried = BTreeSet::new();
        let request = RouteRequest {
            service: &service(),
            is_idempotent,
            has_large_body: false,
            tried_nodes: &tried,
            skipped: SkippedUpstreams::None,
        };
        let choice = router.select_upstream(now, &mut rng, &request).unwrap();
        let is_failing = choice.node == node(0);
        let result = match is_failing {
            true => AttemptResult::Failed(ErrorKind::BackendFailed),
            false => AttemptResult::Answered,
        };
        calls_to_failing += u32::from(is_failing);
        non_idempotent_to_failing += u32::from(is_failing && !is_idempotent);
        router.finish_attempt(now, &service(), &choice.node, choice.attempt, result);
    }
    assert!(
        calls_to_failing <= 6,
        "{calls_to_failing} calls to the failing upstream"
    );
    assert!(
        non_idempotent_to_failing <= 1,
        "{non_idempotent_to_failing} non-idempotent calls to the failing upstream"
    );
}

#[test]
fn joined_upstream_grows_to_its_share() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    let states = [UpstreamState::Ready; 4];
    router.apply_table(
        Duration::ZERO,
        &single_service_table(&states[..3], &[1; 3], 0.0),
    );
    let mut call_counts = Vec::new();
    for (step, second) in [0, 1, 20].into_iter().enumerate() {
        let mut now = Duration::from_secs(second);
        if step == 1 {
            router.apply_table(now, &single_service_table(&states, &[1; 4], 0.0));
        }
        let mut outstanding = Vec::new();
        let mut count = 0;
        for _ in 0..400 {
            now += Duration::from_millis(1);
            let choice = router
                .select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new())
                .unwrap();
            count += usize::from(choice.node == node(3));
            outstanding.push((choice.node, choice.attempt));
            if outstanding.len() > 12 {
                let (node, attempt) = outstanding.remove(0);
                router.finish_attempt(now, &service(), &node, attempt, AttemptResult::Answered);
            }
        }
        for (node, attempt) in outstanding {
            router.finish_attempt(now, &service(), &node, attempt, AttemptResult::Answered);
        }
        call_counts.push(count);
    }
    assert_eq!(call_counts[0], 0);
    assert!(call_counts[1] * 2 < call_counts[2], "{call_counts:?}");
}

/// One service with 300 upstreams, the largest service to design for.
#[test]
fn links_are_bounded_and_spread_evenly() {
    let upstreams: Vec<_> = (0..300)
        .map(|index| upstream(index, UpstreamState::Ready, 1))
        .collect();
    let table = build_table(BTreeMap::from([(service(), upstreams)]), 1.0);
    let mut rng = StdRng::seed_from_u64(1);
    let mut links: BTreeMap<NodeId, u32> = BTreeMap::new();
    for index in 0..300 {
        let mut router = router(index);
        router.apply_table(Duration::ZERO, &table);
        router
            .select_upstream_for_idempotent(Duration::ZERO, &mut rng, &service(), &BTreeSet::new())
            .unwrap();
        let snapshots = router.snapshot(Duration::ZERO).upstreams;
        assert!(snapshots.len() <= 15, "{} links", snapshots.len());
        assert!(
            snapshots
                .iter()
                .any(|snapshot| snapshot.node == node(index))
        );
        for snapshot in snapshots {
            *links.entry(snapshot.node).or_default() += 1;
        }
    }
    let max_links = links.values().max().unwrap();
    assert!(
        *max_links <= 3 * 12,
        "{max_links} links to one upstream, 12 on average"
    );
    assert_eq!(links.len(), 300);
}

/// Routes a non-idempotent call every 5 ms for 20 s, each answered after 20 ms,
/// but the first of two upstreams fails for 100 ms at the start. Returns how many
/// calls of the second half went to that upstream.
fn count_non_idempotent_calls_after_failure() -> u32 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    let table = single_service_table(&[UpstreamState::Ready; 2], &[1; 2], 0.0);
    router.apply_table(Duration::ZERO, &table);
    let tried = BTreeSet::new();
    let request = RouteRequest {
        service: &service(),
        is_idempotent: false,
        has_large_body: false,
        tried_nodes: &tried,
        skipped: SkippedUpstreams::None,
    };
    let mut in_flight = std::collections::VecDeque::new();
    let mut count = 0;
    for call in 0..4_000_u64 {
        let now = Duration::from_millis(5 * call);
        let choice = router.select_upstream(now, &mut rng, &request).unwrap();
        count += u32::from(choice.node == node(0) && call >= 2_000);
        in_flight.push_back(choice);
        if in_flight.len() < 4 {
            continue;
        }
        let choice = in_flight.pop_front().unwrap();
        let has_failed = choice.node == node(0) && call < 20;
        let result = match has_failed {
            true => AttemptResult::Refused(ErrorKind::LinkLost),
            false => AttemptResult::Answered,
        };
        router.finish_attempt(now, &service(), &choice.node, choice.attempt, result);
    }
    count
}

#[test]
fn recovered_upstream_gets_non_idempotent_calls_without_idempotent_ones() {
    let count = count_non_idempotent_calls_after_failure();
    assert!(count >= 500, "{count} of 2000 calls");
}

#[test]
fn simultaneous_link_failures_count_as_one_failure() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    let table = single_service_table(&[UpstreamState::Ready; 1], &[1; 1], 0.0);
    router.apply_table(Duration::ZERO, &table);
    let tried = BTreeSet::new();
    let request = RouteRequest {
        service: &service(),
        is_idempotent: false,
        has_large_body: false,
        tried_nodes: &tried,
        skipped: SkippedUpstreams::None,
    };
    let choices: Vec<_> = (0..10)
        .map(|_| {
            router
                .select_upstream(Duration::ZERO, &mut rng, &request)
                .unwrap()
        })
        .collect();
    for choice in choices {
        let result = AttemptResult::Refused(ErrorKind::LinkLost);
        router.finish_attempt(
            Duration::ZERO,
            &service(),
            &choice.node,
            choice.attempt,
            result,
        );
    }
    let soon = Duration::from_millis(200);
    assert!(router.select_upstream(soon, &mut rng, &request).is_ok());
}

/// Replays a service whose only upstream fails a few orders and then works. Orders
/// used to be refused for seconds without being tried; one at a time tests whether
/// it works again, and the others are still refused.
#[test]
fn a_sole_upstream_that_failed_is_tested_by_one_call_at_a_time() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    let table = single_service_table(&[UpstreamState::Ready; 1], &[1; 1], 0.0);
    router.apply_table(Duration::ZERO, &table);
    let tried = BTreeSet::new();
    let request = RouteRequest {
        service: &service(),
        is_idempotent: false,
        has_large_body: false,
        tried_nodes: &tried,
        skipped: SkippedUpstreams::None,
    };
    let mut now = Duration::ZERO;
    for _ in 0..6 {
        let failed = router.select_upstream(now, &mut rng, &request).unwrap();
        let result = AttemptResult::Failed(ErrorKind::BackendFailed);
        router.finish_attempt(now, &service(), &failed.node, failed.attempt, result);
        now += Duration::from_millis(20);
    }
    let test = router.select_upstream(now, &mut rng, &request).unwrap();
    assert_eq!(test.reason, RouteReason::LastResort);
    assert_eq!(
        router.select_upstream(now, &mut rng, &request),
        Err(ErrorKind::NoUpstream)
    );
    let answered = AttemptResult::Answered;
    router.finish_attempt(now, &service(), &test.node, test.attempt, answered);
    assert!(router.select_upstream(now, &mut rng, &request).is_ok());
}

/// A call that lost its link to the only upstream has no alternative.
#[test]
fn alternative_upstream_accepts_calls() {
    let now = Duration::from_secs(1);
    let ready = UpstreamState::Ready;
    for (states, expects_alternative) in [
        (vec![ready], false),
        (vec![ready, UpstreamState::Joining], false),
        (vec![ready, ready], true),
    ] {
        let mut router = router(2);
        router.apply_table(
            now,
            &single_service_table(&states, &vec![1; states.len()], 0.0),
        );
        let mut rng = StdRng::seed_from_u64(3);
        router
            .select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new())
            .unwrap();
        let tried = BTreeSet::from([node(0)]);
        let has_alternative =
            router.has_alternative(now, &service(), &tried, RegionLimit::default());
        assert_eq!(has_alternative, expects_alternative, "{states:?}");
    }
}

#[test]
fn draining_upstream_is_no_alternative() {
    let now = Duration::from_secs(1);
    let mut router = router(2);
    router.apply_table(
        now,
        &single_service_table(&[UpstreamState::Ready; 2], &[1, 1], 0.0),
    );
    let mut rng = StdRng::seed_from_u64(3);
    router
        .select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new())
        .unwrap();
    router.mark_draining(now, &node(1));
    let tried = BTreeSet::from([node(0)]);
    assert!(!router.has_alternative(now, &service(), &tried, RegionLimit::default()));
}

/// Giving up on a lost link is of no use if all other upstreams have refused the call.
#[test]
fn upstream_that_refused_the_call_is_no_alternative() {
    let now = Duration::from_secs(1);
    let mut router = router(2);
    router.apply_table(
        now,
        &single_service_table(&[UpstreamState::Ready; 2], &[1, 1], 0.0),
    );
    let mut rng = StdRng::seed_from_u64(3);
    router
        .select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new())
        .unwrap();
    let has_alternative = |tried: &[usize]| {
        let tried = tried.iter().map(|index| node(*index)).collect();
        router.has_alternative(now, &service(), &tried, RegionLimit::default())
    };
    assert!(has_alternative(&[0]));
    assert!(!has_alternative(&[0, 1]));
}

/// The upstream in the own zone has outstanding calls, the others are idle. A
/// large body, such as 60 KB, waits in its zone; a small call goes elsewhere.
#[test]
fn large_body_stays_in_its_zone_until_upstreams_there_are_tried() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(0);
    let table = single_service_table(&[UpstreamState::Ready; 3], &[1; 3], 0.0);
    router.apply_table(Duration::ZERO, &table);
    let mut choose = |has_large_body, tried: &BTreeSet<NodeId>| {
        let request = RouteRequest {
            service: &service(),
            is_idempotent: false,
            has_large_body,
            tried_nodes: tried,
            skipped: SkippedUpstreams::None,
        };
        let choice = router.select_upstream(Duration::ZERO, &mut rng, &request);
        choice.unwrap().node
    };
    let no_tried_nodes = BTreeSet::new();
    let nodes_of_small_calls: BTreeSet<NodeId> =
        (0..20).map(|_| choose(false, &no_tried_nodes)).collect();
    assert!(
        nodes_of_small_calls.len() > 1,
        "small calls all went to {nodes_of_small_calls:?}"
    );
    for _ in 0..20 {
        assert_eq!(choose(true, &no_tried_nodes), node(0));
    }
    // After a refusal by its gate, any other upstream is better than none.
    assert_ne!(choose(true, &BTreeSet::from([node(0)])), node(0));
}

/// A request that was accepted under an earlier configuration must not be told that its
/// route doesn't exist.
#[test]
fn service_that_left_the_table_has_no_upstream() {
    let mut router = router(0);
    let now = Duration::ZERO;
    router.apply_table(now, &single_service_table(&STATES[..1], &[1], 0.0));
    router.apply_table(now, &build_table(BTreeMap::new(), 0.0));
    let mut rng = StdRng::seed_from_u64(1);
    let choice = router.select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new());
    assert_eq!(choice.err(), Some(ErrorKind::NoUpstream));
}

/// A backend server that said that it leaves may be replaced between two tables.
#[test]
fn next_start_of_a_backend_server_is_used_at_once() {
    let mut router = router(1);
    let now = Duration::from_secs(1);
    let table = |version, backend: u64| {
        let entry = UpstreamEntry {
            backend: backend.into(),
            ..upstream(0, UpstreamState::Ready, 1)
        };
        let mut table = (*build_table(BTreeMap::from([(service(), vec![entry])]), 1.0)).clone();
        table.version = version;
        Arc::new(table)
    };
    let mut rng = StdRng::seed_from_u64(1);
    router.apply_table(now, &table(1, 1));
    let choose = |router: &mut RouterState, rng: &mut StdRng| {
        router
            .select_upstream_for_idempotent(now, rng, &service(), &BTreeSet::new())
            .map(|choice| choice.node)
    };
    assert_eq!(choose(&mut router, &mut rng), Ok(node(0)));
    router.mark_draining(now, &node(0));
    assert_eq!(choose(&mut router, &mut rng), Err(ErrorKind::NoUpstream));
    router.apply_table(now, &table(2, 2));
    assert_eq!(choose(&mut router, &mut rng), Ok(node(0)));
}

/// A gate that has restarted doesn't know that its backend server left.
#[test]
fn upstream_that_left_is_not_chosen_after_its_gate_restarts() {
    let mut router = router(1);
    let now = Duration::from_secs(1);
    let service = service();
    let table = single_service_table(&[UpstreamState::Ready], &[1], 1.0);
    router.apply_table(now, &table);
    let gate = |start: u64| NodeIncarnation::try_from(start).unwrap();
    let statement = KnownStatement {
        gate: gate(1),
        backend: 1.into(),
        rate: None,
        is_leaving: true,
    };
    router.record_statement(&node(0), gate(1), Some(statement));
    let restarted = single_service_table(&[UpstreamState::Ready], &[2], 1.0);
    router.apply_table(now, &restarted);
    router.record_statement(&node(0), gate(2), None);
    let mut rng = StdRng::seed_from_u64(1);
    let choice = router.select_upstream_for_idempotent(now, &mut rng, &service, &BTreeSet::new());
    assert_eq!(choice.map(|choice| choice.node), Err(ErrorKind::NoUpstream));
}

mod regions;
