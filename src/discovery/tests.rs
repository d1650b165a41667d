//! Tests of the entry's life and of the driver over a store in memory.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::*;
use crate::store::LeaseId;
use crate::store::memory::{CallFate, MemoryStore};

fn entry(name: &str, port: u16) -> FoundEntry {
    FoundEntry {
        key: format!("currantlift/nodes/{name}"),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn lease(number: u32) -> LeaseId {
    LeaseId(number.to_string())
}

#[test]
fn an_entry_that_is_missing_is_written_again_in_the_next_round() {
    let mut state = DiscoveryState::new(entry("a", 1));
    assert_eq!(state.start(), DiscoveryAction::Grant);
    assert_eq!(
        state.next(DiscoveryEvent::Granted(lease(1))),
        DiscoveryAction::Register(lease(1))
    );
    assert_eq!(
        state.next(DiscoveryEvent::Registered(true)),
        DiscoveryAction::List
    );
    state.next(DiscoveryEvent::Listed(vec![entry("a", 1), entry("b", 2)]));
    assert_eq!(state.others().len(), 1);
    assert_eq!(
        state.next(DiscoveryEvent::Waited),
        DiscoveryAction::Renew(lease(1))
    );
    state.next(DiscoveryEvent::Renewed(true));
    // The store dropped the entry without ending the lease.
    state.next(DiscoveryEvent::Listed(vec![entry("b", 2)]));
    assert_eq!(
        state.next(DiscoveryEvent::Waited),
        DiscoveryAction::Register(lease(1))
    );
}

#[test]
fn a_lapsed_lease_is_replaced_at_once() {
    let mut state = DiscoveryState::new(entry("a", 1));
    state.next(DiscoveryEvent::Granted(lease(1)));
    state.next(DiscoveryEvent::Registered(true));
    state.next(DiscoveryEvent::Listed(vec![entry("a", 1)]));
    state.next(DiscoveryEvent::Waited);
    assert_eq!(
        state.next(DiscoveryEvent::Renewed(false)),
        DiscoveryAction::Grant
    );
}

#[test]
fn an_outage_costs_no_more_than_two_seconds_after_its_end() {
    let mut state = DiscoveryState::new(entry("a", 1));
    state.next(DiscoveryEvent::Granted(lease(1)));
    for event in [DiscoveryEvent::Failed, DiscoveryEvent::Listed(Vec::new())] {
        for _ in 0..10 {
            let action = state.next(event.clone());
            let DiscoveryAction::Wait(pause) = action else {
                panic!("{action:?}");
            };
            assert!(pause < Duration::from_secs(2));
        }
    }
}

#[ntex::test]
async fn the_driver_registers_lists_and_comes_back_after_failures() {
    let fates = [CallFate::Failed, CallFate::Dropped, CallFate::AnswerLost];
    let store = MemoryStore::new(fates);
    store.plant("currantlift/nodes/b", Bytes::from("127.0.0.1:2"));
    store.plant("currantlift/nodes/c", Bytes::from("nonsense"));
    let (sender, mut found) = watch::channel(BTreeSet::new());
    let settings = DiscoverySettings {
        node: "a".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    ntex::rt::spawn(follow_entries(settings, Rc::new(store.clone()), sender));
    let others = found.wait_for(|others| !others.is_empty()).await.unwrap();
    assert_eq!(others.len(), 1);
    drop(others);
    let own = store.peek("currantlift/nodes/a");
    assert_eq!(own.as_deref(), Some(&b"127.0.0.1:1"[..]));
}
