use super::*;
use crate::routing::RoutingOptions;

const TRACE_SECONDS: f64 = 2.0;
/// Seeds whose figures are merged before percentiles are taken.
const SEEDS: std::ops::Range<u64> = 1..4;

fn replay_all_seeds(deployment: Deployment, scenario: Scenario, kind: PolicyKind) -> ReplayFigures {
    let options = RoutingOptions::default();
    let mut total: Option<ReplayFigures> = None;
    for seed in SEEDS {
        let trace = generate_trace(deployment, scenario, TRACE_SECONDS, seed).unwrap();
        let figures = replay_trace(&trace, kind, &options, seed);
        match &mut total {
            Some(total) => total.merge(&figures),
            None => total = Some(figures),
        }
    }
    total.unwrap()
}

/// Outcomes that the router misses, in every deployment that the scenario applies
/// to. Ratios are to one baseline; `Currantlift` stands for none.
fn missed_outcomes(scenario: Scenario, baseline: PolicyKind) -> Vec<String> {
    let mut misses = Vec::new();
    for deployment in Deployment::ALL {
        if !scenario.applies_to(deployment) {
            continue;
        }
        let outcome = generate_trace(deployment, scenario, 0.1, 1)
            .unwrap()
            .outcome;
        let own = replay_all_seeds(deployment, scenario, PolicyKind::Currantlift);
        assert_eq!(own.requests, own.answered + own.refused + own.unknown);
        let baseline = match baseline {
            PolicyKind::Currantlift => own.clone(),
            kind => replay_all_seeds(deployment, scenario, kind),
        };
        let found = check_outcome(&outcome, &own, &baseline, &baseline);
        misses.extend(
            found
                .into_iter()
                .map(|miss| format!("{deployment}: {miss}")),
        );
    }
    misses
}

fn assert_no_worse_than_least_outstanding(scenario: Scenario) {
    let mut misses = missed_outcomes(scenario, PolicyKind::LeastOutstanding);
    misses.retain(|miss| miss.contains("_of_least_outstanding"));
    assert_eq!(misses, [""; 0]);
}

fn assert_half_of_round_robin(scenario: Scenario) {
    let mut misses = missed_outcomes(scenario, PolicyKind::RoundRobin);
    misses.retain(|miss| miss.contains("_of_round_robin"));
    assert_eq!(misses, [""; 0]);
}

#[test]
fn every_scenario_meets_its_absolute_outcomes() {
    for scenario in Scenario::ALL {
        let mut misses = missed_outcomes(scenario, PolicyKind::Currantlift);
        misses.retain(|miss| !miss.contains("max_p99_percent"));
        assert_eq!(misses, [""; 0], "{scenario}");
    }
}

#[test]
fn slow_down_p99_is_at_most_half_of_round_robins() {
    assert_half_of_round_robin(Scenario::SlowDown);
}

#[test]
fn noisy_neighbour_p99_is_at_most_half_of_round_robins() {
    assert_half_of_round_robin(Scenario::NoisyNeighbour);
}

#[test]
fn calm_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::Calm);
}

#[test]
fn noisy_neighbour_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::NoisyNeighbour);
}

#[test]
fn slow_down_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::SlowDown);
}

#[test]
fn drain_and_fail_fast_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::DrainAndFailFast);
}

#[test]
fn zone_gone_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::ZoneGone);
}

#[test]
fn flash_90_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::Flash90);
}

#[test]
fn flash_130_p99_is_no_worse_than_least_outstandings() {
    assert_no_worse_than_least_outstanding(Scenario::Flash130);
}

#[test]
fn same_trace_and_seed_give_the_same_figures() {
    let trace = generate_trace(Deployment::Hearthwood, Scenario::ZoneGone, 0.5, 7).unwrap();
    let options = RoutingOptions::default();
    let [a, b] = [0, 1].map(|_| replay_trace(&trace, PolicyKind::Currantlift, &options, 7));
    assert_eq!(a.latency, b.latency);
    assert_eq!((a.answered, a.attempts), (b.answered, b.attempts));
}
