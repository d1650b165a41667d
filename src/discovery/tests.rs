//! Tests of the entry's life and of the driver over a store in memory.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::driver::ENTRY_TTL;
use super::*;
use crate::store::LeaseId;
use crate::store::memory::{MemoryStore, ScriptedOutcome};

fn entry(name: &str, port: u16) -> FoundEntry {
    FoundEntry {
        key: format!("currantlift/nodes/{name}"),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn lease(number: u32) -> LeaseId {
    LeaseId(number.to_string())
}

/// State of a node that has registered, found others and waits.
fn registered(role: FleetRole) -> DiscoveryState {
    let mut state = DiscoveryState::new(entry("a", 1));
    state.next(DiscoveryEvent::Waited, role);
    state.next(DiscoveryEvent::Listed(Vec::new()), role);
    state.next(DiscoveryEvent::Granted(lease(1)), role);
    state.next(DiscoveryEvent::Registered(true), role);
    let entries = vec![entry("a", 1), entry("b", 2)];
    state.next(DiscoveryEvent::Listed(entries), role);
    state
}

#[test]
fn an_entry_that_is_missing_is_written_again_in_the_next_round() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered(role);
    assert_eq!(state.others().len(), 1);
    let listing = state.next(DiscoveryEvent::Waited, role);
    assert_eq!(listing, DiscoveryAction::List);
    // The store dropped the entry, with the lease or without a word.
    state.next(DiscoveryEvent::Listed(vec![entry("b", 2)]), role);
    let renewal = state.next(DiscoveryEvent::Waited, role);
    assert_eq!(renewal, DiscoveryAction::Renew(lease(1)));
    let mut lapsed = state.clone();
    let again = state.next(DiscoveryEvent::Renewed(true), role);
    assert_eq!(again, DiscoveryAction::Register(lease(1)));
    let anew = lapsed.next(DiscoveryEvent::Renewed(false), role);
    assert_eq!(anew, DiscoveryAction::Grant);
}

#[test]
fn a_lease_is_renewed_twice_before_it_can_lapse() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered(role);
    let mut since_renewal = Duration::ZERO;
    for _ in 0..20 {
        let mut action = state.next(DiscoveryEvent::Waited, role);
        if action == DiscoveryAction::Renew(lease(1)) {
            since_renewal = Duration::ZERO;
            action = state.next(DiscoveryEvent::Renewed(true), role);
        }
        assert_eq!(action, DiscoveryAction::List);
        let entries = vec![entry("a", 1), entry("b", 2)];
        let DiscoveryAction::Wait(pause) = state.next(DiscoveryEvent::Listed(entries), role) else {
            panic!("no wait after a listing");
        };
        since_renewal += pause;
        assert!(since_renewal <= ENTRY_TTL / 2);
    }
}

/// The first call that succeeds after an outage is the renewal, which tells
/// whether the lease has lapsed.
#[test]
fn a_lease_that_lapsed_in_an_outage_is_replaced_at_once() {
    let role = FleetRole::ZoneFirst;
    let mut state = registered(role);
    assert_eq!(
        state.next(DiscoveryEvent::Waited, role),
        DiscoveryAction::List
    );
    state.next(DiscoveryEvent::Failed, role);
    let renewal = state.next(DiscoveryEvent::Waited, role);
    assert_eq!(renewal, DiscoveryAction::Renew(lease(1)));
    let next = state.next(DiscoveryEvent::Renewed(false), role);
    assert_eq!(next, DiscoveryAction::Grant);
}

#[test]
fn an_outage_costs_no_more_than_two_seconds_after_its_end() {
    let mut state = registered(FleetRole::Alone);
    for event in [DiscoveryEvent::Failed, DiscoveryEvent::Listed(Vec::new())] {
        let action = state.next(event, FleetRole::Alone);
        let DiscoveryAction::Wait(pause) = action else {
            panic!("{action:?}");
        };
        assert!(pause < Duration::from_secs(2));
    }
}

#[test]
fn a_follower_looks_once_and_then_leaves_the_store_alone() {
    let mut state = DiscoveryState::new(entry("c", 3));
    let look = state.next(DiscoveryEvent::Waited, FleetRole::Alone);
    assert_eq!(look, DiscoveryAction::List);
    state.next(
        DiscoveryEvent::Listed(vec![entry("a", 1)]),
        FleetRole::Alone,
    );
    for _ in 0..10 {
        let next = state.next(DiscoveryEvent::Waited, FleetRole::Follower);
        assert!(matches!(next, DiscoveryAction::Wait(_)), "{next:?}");
    }
    // Its zone's first node is gone: it takes over.
    let next = state.next(DiscoveryEvent::Waited, FleetRole::ZoneFirst);
    assert_eq!(next, DiscoveryAction::Grant);
}

#[ntex::test]
async fn the_driver_registers_lists_and_comes_back_after_failures() {
    let fates = [
        ScriptedOutcome::KnownFailure,
        ScriptedOutcome::RequestLost,
        ScriptedOutcome::ResponseLost,
    ];
    let store = MemoryStore::new(fates);
    store.insert("currantlift/nodes/b", Bytes::from("127.0.0.1:2"));
    store.insert("currantlift/nodes/c", Bytes::from("nonsense"));
    let (sender, mut found) = watch::channel(BTreeSet::new());
    let settings = DiscoverySettings {
        node: "a".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    let (_role, role) = watch::channel(FleetRole::Alone);
    ntex::rt::spawn(follow_entries(
        settings,
        Rc::new(store.clone()),
        role,
        sender,
    ));
    let others = found.wait_for(|others| !others.is_empty()).await.unwrap();
    assert_eq!(others.len(), 1);
    drop(others);
    while store.current_value("currantlift/nodes/a").is_none() {
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
    let own = store.current_value("currantlift/nodes/a");
    assert_eq!(own.as_deref(), Some(&b"127.0.0.1:1"[..]));
}
