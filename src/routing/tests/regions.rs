//! Tests of calls that may be processed in some regions only.

use rand::Rng;

use super::*;
use crate::ids::RegionName;

const REGIONS: [&str; 4] = ["oyo-west", "oyo-east", "kwara", "ogun"];

/// Upstreams by region in the order of [`REGIONS`]; their numbers are consecutive.
fn regional_table(counts: [usize; 4]) -> Arc<RoutingTable> {
    let regions = REGIONS
        .iter()
        .zip(counts)
        .flat_map(|(region, count)| std::iter::repeat_n(region, count));
    let upstreams = regions.enumerate().map(|(index, region)| UpstreamEntry {
        region: region.parse().unwrap(),
        ..upstream(index, UpstreamState::Ready, 1)
    });
    build_table(BTreeMap::from([(service(), upstreams.collect())]), 0.0)
}

fn region_set(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against a call that leaves its allowed regions when these are full, failing or
/// all tried, and against a subset that has no member of the allowed region because the
/// upstreams of others fill it.
#[test]
fn call_is_never_sent_outside_its_allowed_regions() {
    let table = regional_table([4, 40, 2, 3]);
    let allowed_sets: [&[&str]; 5] = [
        &["oyo-west"],
        &["kwara"],
        &["oyo-west", "ogun"],
        &["kwara", "ogun"],
        &["nowhere"],
    ];
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut router = router(0);
        router.apply_table(Duration::ZERO, &table);
        let mut now = Duration::from_secs(1);
        for round in 0..40 {
            let allowed = region_set(allowed_sets[rng.random_range(0..allowed_sets.len())]);
            let regions = RegionLimit::from(Some(&allowed));
            let mut tried_nodes = BTreeSet::new();
            loop {
                now += Duration::from_millis(rng.random_range(0..200));
                let request = RouteRequest {
                    service: &service(),
                    is_idempotent: rng.random_bool(0.5),
                    has_large_body: rng.random_bool(0.2),
                    tried_nodes: &tried_nodes,
                    skipped: SkippedUpstreams::None,
                };
                let choice = router.select_upstream_in(now, &mut rng, &request, regions);
                let Ok(choice) = choice else { break };
                let entry = &table.services[&service()].upstreams[&choice.node];
                assert!(
                    allowed.contains(&entry.region),
                    "seed {seed}, round {round}: {} for {allowed:?}",
                    entry.region
                );
                let results = [
                    AttemptResult::Refused(ErrorKind::Overloaded),
                    AttemptResult::Failed(ErrorKind::LinkLost),
                    AttemptResult::Answered,
                ];
                let result = results[rng.random_range(0..3)];
                router.finish_attempt(now, &service(), &choice.node, choice.attempt, result);
                tried_nodes.insert(choice.node);
            }
            let is_hopeless = allowed == region_set(&["nowhere"]);
            // A non-idempotent call may find all upstreams excluded for failures.
            assert!(!is_hopeless || tried_nodes.is_empty());
        }
    }
}

/// The subset of a service without regard to regions has three upstreams elsewhere.
#[test]
fn each_allowed_region_has_members_in_the_subset() {
    let table = regional_table([0, 60, 1, 1]);
    for region in ["kwara", "ogun", "oyo-east"] {
        let mut rng = StdRng::seed_from_u64(7);
        let mut router = router(0);
        router.apply_table(Duration::ZERO, &table);
        let allowed = region_set(&[region]);
        let no_tried_nodes = BTreeSet::new();
        let request = RouteRequest {
            service: &service(),
            is_idempotent: true,
            has_large_body: false,
            tried_nodes: &no_tried_nodes,
            skipped: SkippedUpstreams::None,
        };
        let mut choose = |router: &mut RouterState, now| {
            let regions = RegionLimit::from(Some(&allowed));
            router.select_upstream_in(now, &mut rng, &request, regions)
        };
        assert!(choose(&mut router, Duration::ZERO).is_ok(), "{region}");
        // The members remain when the table changes.
        router.apply_table(Duration::from_secs(1), &regional_table([0, 61, 1, 1]));
        assert!(
            choose(&mut router, Duration::from_secs(1)).is_ok(),
            "{region}"
        );
    }
}

/// Giving up on a lost link is of no use if the only alternatives are not allowed.
#[test]
fn upstream_in_another_region_is_no_alternative() {
    let now = Duration::from_secs(1);
    let mut router = router(0);
    router.apply_table(now, &regional_table([2, 2, 0, 0]));
    let mut rng = StdRng::seed_from_u64(3);
    router
        .select_upstream_for_idempotent(now, &mut rng, &service(), &BTreeSet::new())
        .unwrap();
    let has_alternative = |names: &[&str], index| {
        let allowed = region_set(names);
        let tried = BTreeSet::from([node(index)]);
        router.has_alternative(now, &service(), &tried, Some(&allowed).into())
    };
    assert!(has_alternative(&["oyo-west"], 0));
    assert!(!has_alternative(&["nowhere"], 0));
    assert!(has_alternative(&["oyo-east"], 0));
}
