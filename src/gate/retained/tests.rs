use super::*;

fn call(sequence: u64) -> CallId {
    CallId {
        ingress_incarnation: 1,
        sequence,
    }
}

/// Replays responses that nobody reads.
#[test]
fn oldest_responses_are_discarded_beyond_the_limit() {
    let mut retained = RetainedResponses::new(1_000);
    assert_eq!(retained.add(call(1), 400), []);
    assert_eq!(retained.add(call(2), 400), []);
    assert_eq!(retained.add(call(3), 400), [call(1)]);
    assert_eq!(retained.held_bytes(), 800);
    assert_eq!(retained.add(call(4), 900), [call(2), call(3)]);
    assert_eq!(retained.add(call(5), 1_100), [call(4), call(5)]);
    assert_eq!(retained.held_bytes(), 0);
}

#[test]
fn acknowledged_responses_make_room() {
    let mut retained = RetainedResponses::new(1_000);
    assert_eq!(retained.add(call(1), 600), []);
    retained.remove(call(1));
    retained.remove(call(1));
    assert_eq!(retained.add(call(2), 600), []);
    assert_eq!(retained.held_bytes(), 600);
}
