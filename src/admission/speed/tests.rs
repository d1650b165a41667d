//! Tests of bursts and lasting slowness.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn history(readings: impl IntoIterator<Item = (u64, f64)>) -> SpeedHistory {
    let mut history = SpeedHistory::default();
    for (at, slowness) in readings {
        history.record(ms(at), slowness);
    }
    history
}

#[test]
fn a_burst_is_told_from_the_usual_speed() {
    let mut history = history((0..1_000).step_by(20).map(|at| (at, 1.0)));
    assert_eq!(history.current_speed(ms(990)), VmSpeed::Normal);
    history.record(ms(1_000), 5.0);
    assert_eq!(history.current_speed(ms(1_001)), VmSpeed::Burst);
    assert_eq!(history.next_reading_at(ms(1_001)), Some(ms(1_030)));
    history.record(ms(1_030), 1.0);
    assert_eq!(history.current_speed(ms(1_031)), VmSpeed::Normal);
}

#[test]
fn an_old_reading_tells_nothing() {
    let mut history = history([(0, 1.0)]);
    assert_eq!(history.current_speed(ms(30)), VmSpeed::Unknown);
    assert_eq!(history.next_reading_at(ms(30)), Some(ms(30)));
    // No reading can be had: the last one has to do.
    history.extend_last_reading(ms(30));
    assert_eq!(history.current_speed(ms(31)), VmSpeed::Normal);
}

#[test]
fn a_cold_vm_is_slow_for_good_and_still_has_bursts() {
    let cold = (0..1_000).step_by(20).map(|at| (at, 2.0));
    let mut history = history(cold);
    assert_eq!(history.current_speed(ms(990)), VmSpeed::SustainedSlow);
    history.record(ms(1_000), 10.0);
    assert_eq!(history.current_speed(ms(1_001)), VmSpeed::Burst);
}

/// A backend server that started while requests wait: its slots are used from
/// its first reading on.
#[test]
fn a_vm_that_warms_up_is_slow_for_good_from_its_first_reading() {
    let mut history = SpeedHistory::default();
    history.set_warm_up_end(ms(3_000));
    history.record(ms(10), 2.5);
    assert_eq!(history.current_speed(ms(11)), VmSpeed::SustainedSlow);
    history.record(ms(40), 10.0);
    assert_eq!(history.current_speed(ms(41)), VmSpeed::Burst);
    // Warm, it is judged as any other.
    let mut warm = SpeedHistory::default();
    warm.set_warm_up_end(ms(3_000));
    warm.record(ms(3_000), 2.5);
    assert_eq!(warm.current_speed(ms(3_001)), VmSpeed::Burst);
}

#[test]
fn without_readings_the_speed_is_the_usual_one() {
    let history = SpeedHistory::default();
    assert_eq!(history.current_speed(ms(1)), VmSpeed::Normal);
    assert_eq!(history.next_reading_at(ms(1)), None);
}
