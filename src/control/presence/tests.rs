//! Tests of outdated announcements and withdrawals.

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
fn a_late_heartbeat_does_not_replace_a_newer_one() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(100, 1)));
    assert!(presence.accept_announcement(&id("a"), order(100, 3)));
    assert!(!presence.accept_announcement(&id("a"), order(100, 2)));
    assert!(presence.accept_announcement(&id("b"), order(200, 1)));
    assert!(!presence.accept_announcement(&id("a"), order(100, 9)));
}

#[test]
fn a_heartbeat_after_the_withdrawal_is_rejected() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(100, 1)));
    assert!(
        presence
            .accept_withdrawal(&id("a"), Some(100), 500)
            .is_some()
    );
    assert!(!presence.accept_announcement(&id("a"), order(100, 2)));
    // A restart under the same identifier is accepted.
    assert!(presence.accept_announcement(&id("a"), order(600, 1)));
}

/// The node may have started after the announcement, and a late heartbeat may
/// follow the withdrawal.
#[test]
fn a_withdrawal_without_a_known_announcement_is_recorded() {
    for started_at_ms in [Some(100), None] {
        let mut presence = BackendPresence::default();
        assert!(
            presence
                .accept_withdrawal(&id("a"), started_at_ms, 500)
                .is_some()
        );
        assert!(!presence.accept_announcement(&id("a"), order(100, 19)));
        assert!(presence.accept_announcement(&id("b"), order(100, 19)));
    }
}

#[test]
fn a_late_withdrawal_does_not_apply_to_a_newer_start() {
    let mut presence = BackendPresence::default();
    assert!(presence.accept_announcement(&id("a"), order(200, 1)));
    assert!(
        presence
            .accept_withdrawal(&id("a"), Some(100), 500)
            .is_none()
    );
    assert!(presence.accept_announcement(&id("a"), order(200, 2)));
}

/// Guards against a late heartbeat at a process that has just started, after an earlier one
/// acknowledged the departure.
#[test]
fn a_heartbeat_from_before_a_recovered_departure_is_rejected() {
    let mut presence = BackendPresence::default();
    let withdrawal = presence
        .accept_withdrawal(&id("a"), Some(100), 500)
        .unwrap();
    let draining = DepartureRecord {
        backend: id("b"),
        valid_from: order(100, 7),
    };
    let mut presence = BackendPresence::default();
    presence.restore(withdrawal);
    presence.restore(draining);
    assert!(!presence.accept_announcement(&id("a"), order(100, 6)));
    assert!(!presence.accept_announcement(&id("b"), order(100, 6)));
    assert!(presence.accept_announcement(&id("b"), order(100, 7)));
    assert!(presence.accept_announcement(&id("a"), order(600, 1)));
}

/// Guards against an announcement that outdates all true ones, and against one that is
/// rejected although its backend server has merely started before its clock was set back.
#[test]
fn only_possible_starts_and_sequence_numbers_are_plausible() {
    const NOW_MS: u64 = 1_796_470_000_000;
    const HOUR_MS: u64 = 3_600_000;
    for possible in [
        order(0, 4),
        order(NOW_MS - 20 * HOUR_MS, 48_000),
        order(NOW_MS + 2 * HOUR_MS, 40_000),
    ] {
        assert!(possible.is_plausible(NOW_MS), "{possible:?}");
    }
    for impossible in [
        order(u64::MAX, 1),
        order(99_999_999_999_999, 1),
        order(NOW_MS + 25 * HOUR_MS, 1),
        order(NOW_MS, u64::MAX),
        order(NOW_MS - HOUR_MS, 1 << 53),
    ] {
        assert!(!impossible.is_plausible(NOW_MS), "{impossible:?}");
    }
}
