//! Tests of the discovery state machine, and of the driver on an in-memory store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::driver::ENTRY_TTL;
use super::*;
use crate::store::LeaseId;
use crate::store::memory::{MemoryStore, ScriptedOutcome};

fn entry(name: &str, port: u16) -> NodeEntry {
    NodeEntry {
        key: format!("currantlift/nodes/{name}"),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn lease(number: u32) -> LeaseId {
    LeaseId::from(number.to_string())
}

/// State of a node that is registered, has found another node and waits.
fn registered_state(role: FleetRole) -> DiscoveryState {
    let mut state = DiscoveryState::new(entry("a", 1));
    state.handle_event(DiscoveryEvent::WaitElapsed, role);
    state.handle_event(DiscoveryEvent::EntriesListed(Vec::new()), role);
    state.handle_event(DiscoveryEvent::LeaseGranted(lease(1)), role);
    state.handle_event(DiscoveryEvent::RegisterReply(true), role);
    let entries = vec![entry("a", 1), entry("b", 2)];
    state.handle_event(DiscoveryEvent::EntriesListed(entries), role);
    state
}

#[test]
fn a_missing_entry_is_registered_again_without_waiting_for_the_next_round() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered_state(role);
    assert_eq!(state.other_addresses().len(), 1);
    let listing = state.handle_event(DiscoveryEvent::WaitElapsed, role);
    assert_eq!(listing, DiscoveryAction::ListEntries);
    // The entry is missing: its lease has expired or the store has lost it silently.
    let without_own = DiscoveryEvent::EntriesListed(vec![entry("b", 2)]);
    let renewal = state.handle_event(without_own.clone(), role);
    assert_eq!(renewal, DiscoveryAction::RenewLease(lease(1)));
    let mut expired_state = state.clone();
    let registration = state.handle_event(DiscoveryEvent::RenewReply(true), role);
    assert_eq!(registration, DiscoveryAction::RegisterEntry(lease(1)));
    let replacement = expired_state.handle_event(DiscoveryEvent::RenewReply(false), role);
    assert_eq!(replacement, DiscoveryAction::GrantLease);
    // If the entry can't be written, the next attempt waits for a round.
    let relisting = state.handle_event(DiscoveryEvent::RegisterReply(false), role);
    assert_eq!(relisting, DiscoveryAction::ListEntries);
    let next_action = state.handle_event(without_own, role);
    assert_matches!(next_action, DiscoveryAction::Wait(_));
    let renewal = state.handle_event(DiscoveryEvent::WaitElapsed, role);
    assert_eq!(renewal, DiscoveryAction::RenewLease(lease(1)));
}

#[test]
fn a_lease_is_renewed_within_half_its_ttl() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered_state(role);
    let mut since_renewal = Duration::ZERO;
    for _ in 0..20 {
        let mut action = state.handle_event(DiscoveryEvent::WaitElapsed, role);
        if action == DiscoveryAction::RenewLease(lease(1)) {
            since_renewal = Duration::ZERO;
            action = state.handle_event(DiscoveryEvent::RenewReply(true), role);
        }
        assert_eq!(action, DiscoveryAction::ListEntries);
        let entries = vec![entry("a", 1), entry("b", 2)];
        let DiscoveryAction::Wait(pause) =
            state.handle_event(DiscoveryEvent::EntriesListed(entries), role)
        else {
            panic!("expected a wait after a listing");
        };
        since_renewal += pause;
        assert!(since_renewal <= ENTRY_TTL / 2);
    }
}

/// Guards against a node that stays without an entry after an outage of the store:
/// the first call of the next round must be the renewal, which shows whether the
/// lease has expired.
#[test]
fn a_lease_that_expired_in_an_outage_is_replaced_immediately() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered_state(role);
    assert_eq!(
        state.handle_event(DiscoveryEvent::WaitElapsed, role),
        DiscoveryAction::ListEntries
    );
    state.handle_event(DiscoveryEvent::CallFailed, role);
    let renewal = state.handle_event(DiscoveryEvent::WaitElapsed, role);
    assert_eq!(renewal, DiscoveryAction::RenewLease(lease(1)));
    let next_action = state.handle_event(DiscoveryEvent::RenewReply(false), role);
    assert_eq!(next_action, DiscoveryAction::GrantLease);
}

#[test]
fn calls_resume_within_two_seconds_of_an_outage() {
    let mut state = registered_state(FleetRole::Alone);
    for event in [
        DiscoveryEvent::CallFailed,
        DiscoveryEvent::EntriesListed(Vec::new()),
    ] {
        let action = state.handle_event(event, FleetRole::Alone);
        match action {
            DiscoveryAction::Wait(pause) => assert!(pause < Duration::from_secs(2)),
            // The next call, without a pause.
            DiscoveryAction::RenewLease(_) => {}
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_follower_lists_the_entries_once_and_makes_no_further_calls() {
    let mut state = DiscoveryState::new(entry("c", 3));
    let first_action = state.handle_event(DiscoveryEvent::WaitElapsed, FleetRole::Alone);
    assert_eq!(first_action, DiscoveryAction::ListEntries);
    state.handle_event(
        DiscoveryEvent::EntriesListed(vec![entry("a", 1)]),
        FleetRole::Alone,
    );
    for _ in 0..10 {
        let next_action = state.handle_event(DiscoveryEvent::WaitElapsed, FleetRole::Follower);
        assert!(
            matches!(next_action, DiscoveryAction::Wait(_)),
            "{next_action:?}"
        );
    }
    // It becomes the first node of its zone and registers its entry.
    let next_action = state.handle_event(DiscoveryEvent::WaitElapsed, FleetRole::ZoneFirst);
    assert_eq!(next_action, DiscoveryAction::GrantLease);
}

/// A node of a fleet that starts at once, with the time of its next action.
struct StartingNode {
    state: DiscoveryState,
    action: DiscoveryAction,
    due_at: Duration,
}

/// Replays the start of a fleet whose store holds no entry yet: nodes start within
/// 300 ms, a listing shows the entries of 300 ms ago, and nodes of which one has found
/// the other know their roles after 300 ms. Returns the calls of all nodes, listings as
/// a tenth, and the time at which the last node found another.
fn start_fleet(node_count: u16, rng: &mut StdRng) -> (f64, Duration) {
    const STEP: Duration = Duration::from_millis(5);
    const LAG: Duration = Duration::from_millis(300);
    let mut nodes: Vec<StartingNode> = (0..node_count)
        .map(|number| StartingNode {
            state: DiscoveryState::new(entry(&format!("n{number:03}"), number + 1)),
            action: DiscoveryAction::Wait(Duration::ZERO),
            due_at: rng.random_range(Duration::ZERO..LAG),
        })
        .collect();
    for node in &mut nodes {
        node.action = node.state.first_action();
    }
    let mut written: Vec<(Duration, NodeEntry)> = Vec::new();
    let mut met_at = vec![None; nodes.len()];
    let (mut price, mut now) = (0.0, Duration::ZERO);
    while now < Duration::from_secs(10) {
        for (index, node) in nodes.iter_mut().enumerate() {
            if now < node.due_at {
                continue;
            }
            let event = match &node.action {
                DiscoveryAction::GrantLease => {
                    price += 1.0;
                    DiscoveryEvent::LeaseGranted(lease(u32::from(
                        node.state.own_entry().address.port(),
                    )))
                }
                DiscoveryAction::RegisterEntry(_) => {
                    price += 1.0;
                    let own_entry = node.state.own_entry().clone();
                    let is_new = written.iter().all(|(_, known)| known.key != own_entry.key);
                    written.extend(is_new.then_some((now, own_entry)));
                    DiscoveryEvent::RegisterReply(is_new)
                }
                DiscoveryAction::RenewLease(_) => {
                    price += 0.1;
                    DiscoveryEvent::RenewReply(true)
                }
                DiscoveryAction::ListEntries => {
                    price += 0.1;
                    let visible = written.iter().filter(|(at, _)| *at + LAG <= now);
                    DiscoveryEvent::EntriesListed(visible.map(|(_, entry)| entry.clone()).collect())
                }
                DiscoveryAction::Wait(_) | DiscoveryAction::WaitForElection(_) => {
                    DiscoveryEvent::WaitElapsed
                }
            };
            let has_met = met_at[index].is_some_and(|at: Duration| at + LAG <= now);
            let role = match (has_met, index) {
                (false, _) => FleetRole::Starting,
                (true, 0) => FleetRole::ZoneFirst,
                (true, _) => FleetRole::Follower,
            };
            node.action = node.state.handle_event(event, role);
            // A node that finds another one pings it, so both know each other.
            for address in node.state.other_addresses() {
                met_at[index].get_or_insert(now);
                met_at[usize::from(address.port()) - 1].get_or_insert(now);
            }
            node.due_at = now
                + match &node.action {
                    DiscoveryAction::Wait(delay) => rng.random_range(*delay / 2..=*delay),
                    DiscoveryAction::WaitForElection(delay) => {
                        let draw = rng.random_range(Duration::ZERO..*delay);
                        draw.max(rng.random_range(Duration::ZERO..*delay))
                    }
                    _ => STEP,
                };
        }
        now += STEP;
    }
    let last_met_at = met_at
        .into_iter()
        .map(|at| at.expect("node found no other"));
    (price, last_met_at.max().unwrap_or_default())
}

/// A node that registers at once if it finds no entry makes three calls.
#[test]
fn a_fleet_that_starts_at_once_makes_less_than_one_call_a_node() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        for node_count in [50, 200] {
            let (price, last_met_at) = start_fleet(node_count, &mut rng);
            assert!(
                price < f64::from(node_count),
                "{price} calls of {node_count} nodes"
            );
            assert!(last_met_at < Duration::from_secs(4), "{last_met_at:?}");
        }
    }
}

#[test]
fn a_pair_of_nodes_that_start_at_once_meets_within_four_seconds() {
    for seed in 0..50 {
        let (_, last_met_at) = start_fleet(2, &mut StdRng::seed_from_u64(seed));
        assert!(last_met_at < Duration::from_secs(4), "{last_met_at:?}");
    }
}

#[ntex::test]
async fn the_driver_registers_and_lists_despite_failed_calls() {
    let scripted_outcomes = [
        ScriptedOutcome::KnownFailure,
        ScriptedOutcome::RequestLost,
        ScriptedOutcome::ResponseLost,
    ];
    let store = MemoryStore::new(scripted_outcomes);
    store.insert("currantlift/nodes/b", Bytes::from("127.0.0.1:2"));
    store.insert("currantlift/nodes/c", Bytes::from("nonsense"));
    let (found_sender, mut found_addresses) = watch::channel(BTreeSet::new());
    let settings = DiscoverySettings {
        node: "a".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    let (_role, role) = watch::channel(FleetRole::Alone);
    ntex::rt::spawn(run_discovery(
        settings,
        Rc::new(store.clone()),
        role,
        found_sender,
    ));
    let found = found_addresses
        .wait_for(|addresses| !addresses.is_empty())
        .await
        .unwrap();
    assert_eq!(found.len(), 1);
    drop(found);
    while store.current_value("currantlift/nodes/a").is_none() {
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
    let own_entry = store.current_value("currantlift/nodes/a");
    assert_eq!(own_entry.as_deref(), Some(&b"127.0.0.1:1"[..]));
}
