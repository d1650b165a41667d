//! Tests for telling bursts from sustained slowdown.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn history(readings: impl IntoIterator<Item = (u64, f64)>) -> SpeedHistory {
    let mut history = SpeedHistory::default();
    for (at, slowdown) in readings {
        history.record(ms(at), slowdown);
    }
    history
}

#[test]
fn burst_is_distinguished_from_normal_speed() {
    let mut history = history((0..1_000).step_by(20).map(|at| (at, 1.0)));
    assert_eq!(history.current_speed(ms(990)), VmSpeed::Normal);
    history.record(ms(1_000), 5.0);
    assert_eq!(history.current_speed(ms(1_001)), VmSpeed::Burst);
    assert_eq!(history.next_reading_at(ms(1_001)), Some(ms(1_030)));
    history.record(ms(1_030), 1.0);
    assert_eq!(history.current_speed(ms(1_031)), VmSpeed::Normal);
}

#[test]
fn stale_reading_gives_unknown_speed() {
    let mut history = history([(0, 1.0)]);
    assert_eq!(history.current_speed(ms(30)), VmSpeed::Unknown);
    assert_eq!(history.next_reading_at(ms(30)), Some(ms(30)));
    // No fresh reading is available, so the last one is reused.
    history.extend_last_reading(ms(30));
    assert_eq!(history.current_speed(ms(31)), VmSpeed::Normal);
}

#[test]
fn bursts_are_detected_during_sustained_slowdown() {
    let cold = (0..1_000).step_by(20).map(|at| (at, 2.0));
    let mut history = history(cold);
    assert_eq!(history.current_speed(ms(990)), VmSpeed::SustainedSlow);
    history.record(ms(1_000), 10.0);
    assert_eq!(history.current_speed(ms(1_001)), VmSpeed::Burst);
}

/// If a backend server starts while requests wait, its slots must be used from
/// its first reading on and not stay empty until the readings span 500 ms.
#[test]
fn warm_up_counts_as_sustained_slowdown_from_the_first_reading() {
    let mut history = SpeedHistory::default();
    history.set_warm_up_end(ms(3_000));
    history.record(ms(10), 2.5);
    assert_eq!(history.current_speed(ms(11)), VmSpeed::SustainedSlow);
    history.record(ms(40), 10.0);
    assert_eq!(history.current_speed(ms(41)), VmSpeed::Burst);
    // After the warm-up the same slowdown counts as a burst.
    let mut warm = SpeedHistory::default();
    warm.set_warm_up_end(ms(3_000));
    warm.record(ms(3_000), 2.5);
    assert_eq!(warm.current_speed(ms(3_001)), VmSpeed::Burst);
}

/// An idle gate takes a reading only when a call arrives. Two readings half a
/// second apart can both fall into bursts; they must not count as sustained
/// slowdown, which calls don't wait out.
#[test]
fn few_readings_in_bursts_are_no_sustained_slowdown() {
    let history = history([(100, 8.0), (640, 8.0)]);
    assert_eq!(history.current_speed(ms(641)), VmSpeed::Burst);
    assert_eq!(history.next_reading_at(ms(641)), Some(ms(670)));
}

/// Without calls there are no readings. Old readings must not bar the calls that
/// would bring the next one.
#[test]
fn sustained_slowdown_is_forgotten_after_the_window() {
    let history = history((0..1_000).step_by(20).map(|at| (at, 8.0)));
    assert_eq!(history.current_speed(ms(985)), VmSpeed::SustainedSlow);
    assert!((history.baseline_slowdown(ms(985)) - 8.0).abs() < f64::EPSILON);
    assert!((history.baseline_slowdown(ms(2_000)) - 1.0).abs() < f64::EPSILON);
    assert_eq!(history.next_reading_at(ms(2_000)), Some(ms(2_000)));
}

#[test]
fn speed_is_normal_without_readings() {
    let history = SpeedHistory::default();
    assert_eq!(history.current_speed(ms(1)), VmSpeed::Normal);
    assert_eq!(history.next_reading_at(ms(1)), None);
}
