//! Tests of late announcements.

use super::*;

fn id(name: &str) -> BackendId {
    name.parse().unwrap()
}

fn order(started_at_ms: u64, sequence: u64) -> AnnouncementOrder {
    AnnouncementOrder {
        started_at_ms,
        sequence,
    }
}

#[test]
fn a_late_heartbeat_does_not_undo_a_later_one() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(100, 1)));
    assert!(presence.accept_announcement(&id("a"), order(100, 3)));
    assert!(!presence.accept_announcement(&id("a"), order(100, 2)));
    assert!(presence.accept_announcement(&id("b"), order(200, 1)));
    assert!(!presence.accept_announcement(&id("a"), order(100, 9)));
}

#[test]
fn a_heartbeat_after_the_withdrawal_does_not_bring_the_backend_back() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(100, 1)));
    assert!(presence.accept_withdrawal(&id("a"), Some(100), 500));
    assert!(!presence.accept_announcement(&id("a"), order(100, 2)));
    // The same identifier may start again.
    assert!(presence.accept_announcement(&id("a"), order(600, 1)));
}

#[test]
fn a_node_that_has_just_started_remembers_a_withdrawal_too() {
    for stated in [Some(100), None] {
        let mut presence = BackendPresence::default();
        assert!(presence.accept_withdrawal(&id("a"), stated, 500));
        assert!(!presence.accept_announcement(&id("a"), order(100, 19)));
        assert!(presence.accept_announcement(&id("b"), order(100, 19)));
    }
}

#[test]
fn a_late_withdrawal_does_not_end_a_later_start() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(200, 1)));
    assert!(!presence.accept_withdrawal(&id("a"), Some(100), 500));
    assert!(presence.accept_announcement(&id("a"), order(200, 2)));
}
