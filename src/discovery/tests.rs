//! Tests of the discovery state machine, and of the driver on an in-memory store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
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
    LeaseId(number.to_string())
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
fn a_missing_entry_is_registered_again_in_the_next_round() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered_state(role);
    assert_eq!(state.other_addresses().len(), 1);
    let listing = state.handle_event(DiscoveryEvent::WaitElapsed, role);
    assert_eq!(listing, DiscoveryAction::ListEntries);
    // The entry is missing: its lease has expired or the store has lost it silently.
    state.handle_event(DiscoveryEvent::EntriesListed(vec![entry("b", 2)]), role);
    let renewal = state.handle_event(DiscoveryEvent::WaitElapsed, role);
    assert_eq!(renewal, DiscoveryAction::RenewLease(lease(1)));
    let mut expired_state = state.clone();
    let registration = state.handle_event(DiscoveryEvent::RenewReply(true), role);
    assert_eq!(registration, DiscoveryAction::RegisterEntry(lease(1)));
    let replacement = expired_state.handle_event(DiscoveryEvent::RenewReply(false), role);
    assert_eq!(replacement, DiscoveryAction::GrantLease);
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
        let DiscoveryAction::Wait(pause) = action else {
            panic!("{action:?}");
        };
        assert!(pause < Duration::from_secs(2));
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
