//! Change tickets at real nodes, against a stand-in store that fails.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "processes are shared with other tests")]

#[path = "tickets/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;
#[path = "tickets/store_calls.rs"]
mod store_calls;

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use currantlift::admin::{RefusalReason, TicketOutcome};
use serde_json::json;

use fleet::{Fleet, IN_FORCE_BOUND, LOOK_PAUSE, PATIENCE, is_accepted, tickets};

#[ntex::test]
async fn accepted_ticket_is_in_force_everywhere_and_a_lower_one_is_not() {
    let mut fleet = Fleet::start(6, 3).await;
    let all = fleet.all();
    fleet.accept(0, 10, &[("a", 1), ("b", 1)]).await;
    let expected = tickets(&[("a", 10), ("b", 10)]);
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;

    fleet.accept(5, 12, &[("b", 2), ("c", 2)]).await;
    let expected = tickets(&[("a", 10), ("b", 12), ("c", 12)]);
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;

    let stale = fleet.submit(3, 11, &[("a", 3), ("b", 3)]).await;
    assert_matches!(
        stale,
        TicketOutcome::Refused {
            reason: RefusalReason::OutOfDate,
            ..
        }
    );
    let repeated = fleet.submit(4, 10, &[("a", 1), ("b", 1)]).await;
    assert_matches!(
        repeated,
        TicketOutcome::Accepted {
            is_repeated: true,
            ..
        }
    );
    let conflict = fleet.submit(4, 10, &[("a", 9)]).await;
    assert_matches!(
        conflict,
        TicketOutcome::Refused {
            reason: RefusalReason::Conflict,
            ..
        }
    );
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;
    fleet.assert_rates_kept().await;
}

/// Services that the operator's ticket of this number touches.
fn raced_services(number: u64) -> Vec<(&'static str, u64)> {
    let services = ["a", "b", "c"].iter().enumerate();
    let touched = services.filter(|(place, _)| !(number as usize + place).is_multiple_of(3));
    touched.map(|(_, service)| (*service, number)).collect()
}

/// Submits until the answer is certain.
async fn settle(submitter: &fleet::Submitter, number: u64) -> TicketOutcome {
    loop {
        let answer = submitter.submit(number, &raced_services(number)).await;
        match answer {
            Some(TicketOutcome::Unknown { .. }) | None => {}
            Some(TicketOutcome::Refused {
                reason: RefusalReason::StoreAway,
                ..
            }) => {}
            Some(answer) => return answer,
        }
        ntex::time::sleep(LOOK_PAUSE).await;
    }
}

#[ntex::test]
async fn racing_operators_with_lost_and_delayed_writes() {
    let mut fleet = Fleet::start(6, 3).await;
    let faults = json!({ "lose_answers": 4, "delay_writes": 6, "delay_ms": 400 });
    fleet.set_faults(faults).await;
    let operators = (0..6_u64).map(|operator| {
        let submitter = fleet.submitter(operator as usize);
        ntex::rt::spawn(async move {
            let mut accepted = Vec::new();
            for round in 0..4 {
                let number = 100 + round * 6 + operator;
                if is_accepted(&settle(&submitter, number).await) {
                    accepted.push(number);
                }
            }
            accepted
        })
    });
    let mut accepted = Vec::new();
    for operator in operators.collect::<Vec<_>>() {
        accepted.extend(operator.await.unwrap());
    }
    // Nothing can make the highest number out of date.
    assert!(accepted.contains(&123), "{accepted:?}");
    let mut expected: BTreeMap<String, u64> = BTreeMap::new();
    for number in accepted {
        for (service, _) in raced_services(number) {
            let highest = expected.entry(service.to_string()).or_default();
            *highest = (*highest).max(number);
        }
    }
    let all = fleet.all();
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;
    // Delayed writes have landed by now and must have changed nothing.
    ntex::time::sleep(std::time::Duration::from_millis(500)).await;
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;
    fleet.assert_rates_kept().await;
}

#[ntex::test]
async fn store_slow_then_away_then_back() {
    let mut fleet = Fleet::start(6, 3).await;
    let all = fleet.all();
    fleet.accept(0, 1, &[("a", 1)]).await;
    fleet.set_faults(json!({ "slow_ms": 2_000 })).await;
    fleet.accept(1, 2, &[("a", 2), ("b", 2)]).await;
    let expected = tickets(&[("a", 2), ("b", 2)]);
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;

    fleet.set_faults(json!({ "away": true })).await;
    let refused = fleet.submit(2, 3, &[("a", 3)]).await;
    assert_matches!(
        refused,
        TicketOutcome::Refused {
            reason: RefusalReason::StoreAway,
            ..
        }
    );
    fleet.add_node("zone-0");
    let joined = fleet.nodes.len() - 1;
    fleet.wait_in_force(&[joined], &expected, PATIENCE).await;
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;

    fleet.set_faults(json!({})).await;
    fleet.accept(joined, 3, &[("a", 3)]).await;
    let expected = tickets(&[("a", 3), ("b", 2)]);
    let all = fleet.all();
    fleet.wait_in_force(&all, &expected, IN_FORCE_BOUND).await;
    fleet.assert_rates_kept().await;
}

#[ntex::test]
async fn watcher_paused_past_its_lease_then_killed() {
    let mut fleet = Fleet::start(6, 2).await;
    let all = fleet.all();
    fleet.accept(0, 1, &[("a", 1)]).await;
    let paused = fleet.wait_for_watcher("zone-0", |_| true).await;
    fleet.nodes[paused].process.signal("STOP");
    fleet.set_faults(json!({ "expire_leases": true })).await;
    let others: Vec<usize> = all.iter().copied().filter(|slot| *slot != paused).collect();
    fleet.accept(others[0], 2, &[("a", 2)]).await;
    let expected = tickets(&[("a", 2)]);
    fleet
        .wait_in_force(&others, &expected, IN_FORCE_BOUND)
        .await;
    let holder = fleet
        .wait_for_watcher("zone-0", |slot| slot != paused)
        .await;

    // It wakes believing in its lease, and does no harm.
    fleet.nodes[paused].process.signal("CONT");
    let stale = fleet.submit(paused, 1, &[("b", 1)]).await;
    assert_matches!(stale, TicketOutcome::Refused { .. });
    fleet.wait_in_force(&all, &expected, PATIENCE).await;

    fleet.nodes[holder].process.signal("KILL");
    let others: Vec<usize> = all.iter().copied().filter(|slot| *slot != holder).collect();
    fleet.accept(others[1], 3, &[("a", 3)]).await;
    let expected = tickets(&[("a", 3)]);
    fleet
        .wait_in_force(&others, &expected, IN_FORCE_BOUND)
        .await;
    fleet
        .wait_for_watcher("zone-0", |slot| slot != holder)
        .await;
    fleet.assert_rates_kept().await;
}

#[ntex::test]
async fn submitter_killed_between_its_writes() {
    let mut fleet = Fleet::start(4, 2).await;
    fleet.set_faults(json!({ "slow_ms": 1_000 })).await;
    let submitter = fleet.submitter(0);
    let lost = ntex::rt::spawn(async move { submitter.submit(7, &[("a", 7)]).await });
    let before = fleet.counts().await.writes;
    while fleet.counts().await.bytes_written == 0 {
        ntex::time::sleep(LOOK_PAUSE).await;
    }
    fleet.nodes[0].process.signal("KILL");
    assert_eq!(lost.await.unwrap(), None);
    fleet.set_faults(json!({})).await;
    // Only the body was written; it has no effect and doesn't bar the number.
    assert!(fleet.counts().await.writes <= before + 2);
    let others = [1, 2, 3];
    fleet
        .wait_in_force(&others, &tickets(&[]), IN_FORCE_BOUND)
        .await;
    fleet.accept(2, 7, &[("a", 7)]).await;
    fleet
        .wait_in_force(&others, &tickets(&[("a", 7)]), IN_FORCE_BOUND)
        .await;
}

#[ntex::test]
async fn nodes_without_peers_meet_through_the_store() {
    let mut fleet = Fleet::start(0, 1).await;
    for zone in ["zone-0", "zone-1", "zone-0", "zone-1", "zone-2"] {
        fleet.add_node_with(zone, &[]);
    }
    fleet.wait_for_members().await;
    fleet.accept(4, 1, &[("a", 1)]).await;
    let all = fleet.all();
    fleet
        .wait_in_force(&all, &tickets(&[("a", 1)]), IN_FORCE_BOUND)
        .await;
    fleet.assert_rates_kept().await;
}

#[ntex::test]
async fn groups_that_started_apart_meet_through_the_store() {
    let mut fleet = Fleet::start(2, 1).await;
    fleet.add_node_with("zone-1", &[]);
    let apart = fleet.nodes[2].peer;
    fleet.add_node_with("zone-1", &[apart]);
    fleet.wait_for_members().await;
    fleet.assert_rates_kept().await;
}
