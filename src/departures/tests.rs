//! Tests of the records that a node holds for others.

use super::*;

fn record(backend: &str, started_at_ms: u64, sequence: u64) -> DepartureRecord {
    DepartureRecord {
        backend: backend.parse().unwrap(),
        valid_from: AnnouncementOrder {
            started_at_ms,
            sequence,
        },
    }
}

#[test]
fn held_records_are_returned_to_their_node_until_they_expire() {
    let (node, other): (NodeId, NodeId) = ("a".parse().unwrap(), "b".parse().unwrap());
    let mut held = HeldDepartures::default();
    held.hold(Duration::ZERO, &node, record("x", 100, 7));
    // The withdrawal after the drain outdates more; a late copy of the drain changes nothing.
    held.hold(Duration::from_secs(1), &node, record("x", 101, 0));
    held.hold(Duration::from_secs(2), &node, record("x", 100, 7));
    held.hold(Duration::from_secs(2), &other, record("y", 5, 1));
    let now = Duration::from_secs(3);
    assert_eq!(held.records_of(now, &node), [record("x", 101, 0)]);
    assert_eq!(held.records_of(now + RECORD_TTL, &node), []);
}

#[test]
fn number_of_held_records_is_bounded() {
    let node: NodeId = "a".parse().unwrap();
    let mut held = HeldDepartures::default();
    let count = MAX_HELD_RECORDS as u64 + 10;
    for number in 0..count {
        held.hold(
            Duration::from_millis(number),
            &node,
            record(&format!("x{number}"), number, 0),
        );
    }
    let records = held.records_of(Duration::from_secs(2), &node);
    assert_eq!(records.len(), MAX_HELD_RECORDS);
    assert!(records.contains(&record(&format!("x{}", count - 1), count - 1, 0)));
}
