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

#[test]
fn the_call_is_hedged_while_a_usual_run_is_still_in_time() {
    let latencies = latencies("look", ms(80));
    assert_eq!(latencies.hedge_delay("look", ms(200)), Some(ms(120)));
}

#[test]
fn a_tight_target_does_not_hedge_every_call() {
    let latencies = latencies("look", ms(80));
    assert_eq!(latencies.hedge_delay("look", ms(90)), Some(ms(40)));
    assert_eq!(latencies.hedge_delay("look", ms(70)), None);
}

#[test]
fn a_class_without_known_latency_is_not_hedged() {
    assert_eq!(
        latencies("look", ms(80)).hedge_delay("other", ms(200)),
        None
    );
}
