//! Tests of the reads from the store, by role.

use std::time::Duration;

use super::*;

const DAY: Duration = Duration::from_secs(60);

/// Reads of a node within a minute, by the time of each.
fn stale_reads(role: FleetRole, configured_after: Duration) -> Vec<Duration> {
    let mut schedule = ReadSchedule::default();
    let mut now = Duration::ZERO;
    let mut reads = Vec::new();
    while now < DAY {
        match schedule.next_step(now, role, now >= configured_after) {
            ReadStep::ReadStale => {
                reads.push(now);
                schedule.record_read(now, 0.75);
            }
            ReadStep::Wait(delay) => now += delay,
            ReadStep::Watch | ReadStep::WaitForRole => return reads,
        }
    }
    reads
}

#[test]
fn a_follower_reads_once_if_the_store_holds_a_configuration() {
    let at_once = Duration::ZERO;
    assert_eq!(stale_reads(FleetRole::Follower, at_once), [at_once]);
    assert_eq!(stale_reads(FleetRole::Starting, at_once), [at_once]);
    assert!(stale_reads(FleetRole::Reserve, at_once).len() > 2);
}

#[test]
fn a_node_without_configuration_reads_until_it_has_one() {
    let reads = stale_reads(FleetRole::Follower, Duration::from_secs(5));
    assert!((3..=5).contains(&reads.len()), "{reads:?}");
}

#[test]
fn a_node_that_becomes_a_reserve_reads_after_its_interval() {
    let mut schedule = ReadSchedule::default();
    schedule.record_read(Duration::ZERO, 0.5);
    let now = Duration::from_secs(1);
    let step = schedule.next_step(now, FleetRole::Reserve, true);
    assert_eq!(step, ReadStep::Wait(Duration::from_secs(9)));
    for role in [
        FleetRole::Alone,
        FleetRole::ZoneFirst,
        FleetRole::ZoneSecond,
    ] {
        assert_eq!(schedule.next_step(now, role, true), ReadStep::Watch);
    }
}
