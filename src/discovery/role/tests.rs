//! Tests of the assignment of roles.

use std::time::Duration;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_nodes_that_call_the_store_are_bounded_in_each_zone() {
    let roles: Vec<_> = (0..100)
        .map(|rank| FleetRole::from_zone_rank(500, rank))
        .collect();
    let count =
        |is_counted: fn(FleetRole) -> bool| roles.iter().filter(|role| is_counted(**role)).count();
    assert_eq!(count(FleetRole::maintains_entry), 1);
    assert_eq!(count(FleetRole::watches_config), 2);
    assert_eq!(count(FleetRole::reads_config), 3);
}

/// Replays the view of a node while a fleet starts: it meets the members one by
/// one and ranks first for a moment.
#[test]
fn a_node_that_ranks_first_for_a_moment_makes_no_calls() {
    let mut assignment = RoleAssignment::new(ms(0));
    let mut roles = Vec::new();
    for (at, live_count, rank) in [(300, 3, 0), (500, 9, 0), (700, 30, 1), (900, 80, 6)] {
        let role = FleetRole::from_zone_rank(live_count, rank);
        roles.push(assignment.observe(ms(at), role));
    }
    assert_eq!(roles[..3], [FleetRole::Starting; 3]);
    assert_eq!(roles[3], FleetRole::Follower);
    assert_eq!(assignment.next_change_at(), None);
}

#[test]
fn a_stable_rank_is_assigned_after_the_settling_time() {
    let mut assignment = RoleAssignment::new(ms(0));
    assignment.observe(ms(200), FleetRole::ZoneFirst);
    let settles_at = assignment.next_change_at().unwrap();
    assert!(settles_at <= ms(2_000), "{settles_at:?}");
    // The first node of the zone is replaced by this one as soon as it is lost for
    // good, and gives the role back immediately when it returns.
    assert_eq!(
        assignment.observe(settles_at, FleetRole::ZoneFirst),
        FleetRole::ZoneFirst
    );
    assert_eq!(
        assignment.observe(settles_at, FleetRole::Reserve),
        FleetRole::Reserve
    );
}

#[test]
fn a_node_that_nobody_joins_acts_alone() {
    let mut assignment = RoleAssignment::new(ms(0));
    assert_eq!(
        assignment.observe(ms(2_900), FleetRole::Alone),
        FleetRole::Starting
    );
    let settles_at = assignment.next_change_at().unwrap();
    assert_eq!(
        assignment.observe(settles_at, FleetRole::Alone),
        FleetRole::Alone
    );
}
