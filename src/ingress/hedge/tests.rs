//! Tests of the delay after which a call is hedged.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn latencies(class: &str, latency: Duration) -> ResponseLatencies {
    let mut latencies = ResponseLatencies::default();
    for _ in 0..100 {
        latencies.record(class, latency);
    }
    latencies
}

/// Time left of a call whose time limit is its target latency.
fn up_to_target(target_left: Duration) -> CallTimeBudget {
    CallTimeBudget {
        target_left,
        time_left: target_left,
    }
}

#[test]
fn the_call_is_hedged_while_a_usual_run_is_still_in_time() {
    let latencies = latencies("look", ms(80));
    let delay = latencies.hedge_delay("look", up_to_target(ms(200)));
    assert_eq!(delay, Some(ms(120)));
}

#[test]
fn a_tight_target_does_not_hedge_every_call() {
    let latencies = latencies("look", ms(80));
    let delay = |target_left| latencies.hedge_delay("look", up_to_target(target_left));
    assert_eq!(delay(ms(90)), Some(ms(40)));
    assert_eq!(delay(ms(70)), None);
}

/// A call that can't meet its target any more can still be answered.
#[test]
fn a_call_past_its_target_is_hedged_for_its_time_limit() {
    let latencies = latencies("look", ms(80));
    let time_budget = CallTimeBudget {
        target_left: ms(70),
        time_left: ms(500),
    };
    assert_eq!(latencies.hedge_delay("look", time_budget), Some(ms(420)));
}

/// The first calls of a node meet cold backend servers and no latency history. A
/// read that had 1.4 s ran into its time limit while other servers were idle.
#[test]
fn a_class_without_known_latency_is_hedged_halfway_to_its_target() {
    let time_budget = CallTimeBudget {
        target_left: ms(600),
        time_left: ms(1_400),
    };
    let delay = latencies("look", ms(80)).hedge_delay("other", time_budget);
    assert_eq!(delay, Some(ms(300)));
}
