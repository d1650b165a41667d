//! Tests of the time at which a second copy goes out.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn times(class: &str, latency: Duration) -> ResponseLatencies {
    let mut times = ResponseLatencies::default();
    for _ in 0..100 {
        times.record(class, latency);
    }
    times
}

#[test]
fn the_second_copy_goes_out_while_a_usual_run_is_still_in_time() {
    let times = times("look", ms(80));
    assert_eq!(times.hedge_delay("look", ms(200)), Some(ms(120)));
}

#[test]
fn a_tight_target_does_not_double_every_call() {
    let times = times("look", ms(80));
    assert_eq!(times.hedge_delay("look", ms(90)), Some(ms(40)));
    assert_eq!(times.hedge_delay("look", ms(70)), None);
}

#[test]
fn nothing_is_sent_twice_before_a_class_is_known() {
    assert_eq!(times("look", ms(80)).hedge_delay("other", ms(200)), None);
}
