//! Tests of callers' retries of refused requests.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn caller_request(route: &str, arrived_ms: u64, left_ms: u64) -> CallerRequest<'_> {
    CallerRequest {
        route,
        arrived_at: ms(arrived_ms),
        time_left: ms(left_ms),
    }
}

#[test]
fn a_retry_keeps_the_target_of_its_first_request() {
    let mut tracker = CallerRetryTracker::default();
    tracker.record_refusal(caller_request("look", 1_000, 500), ms(1_200));
    // The retry follows 120 ms later over a new connection, which took 16 ms.
    let target_at = tracker.take_retry_target(caller_request("look", 1_136, 380));
    assert_eq!(target_at, Some(ms(1_200)));
    // The refusal is matched once; refused again, the request keeps its target.
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_136, 380)),
        None
    );
    tracker.record_refusal(caller_request("look", 1_136, 380), ms(1_200));
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_300, 216)),
        Some(ms(1_200))
    );
}

/// Guards against mistaking first requests for retries in a burst, when many
/// callers are refused while new ones with the same time limit arrive in the
/// same milliseconds.
#[test]
fn a_first_request_is_never_taken_for_a_retry() {
    let mut tracker = CallerRetryTracker::default();
    for at in 0..200 {
        tracker.record_refusal(caller_request("look", 1_000 + at, 500), ms(1_200 + at));
        for new_at in at..at + 40 {
            assert_eq!(
                tracker.take_retry_target(caller_request("look", 1_000 + new_at, 500)),
                None
            );
        }
    }
}

#[test]
fn other_routes_and_other_moments_do_not_match() {
    let mut tracker = CallerRetryTracker::default();
    tracker.record_refusal(caller_request("look", 1_000, 500), ms(1_200));
    assert_eq!(
        tracker.take_retry_target(caller_request("order", 1_100, 400)),
        None
    );
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_100, 300)),
        None
    );
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_100, 460)),
        None
    );
    // A retry is still possible until its caller stops waiting.
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_499, 1)),
        Some(ms(1_200))
    );
    tracker.record_refusal(caller_request("look", 1_000, 500), ms(1_200));
    assert_eq!(
        tracker.take_retry_target(caller_request("look", 1_501, 1)),
        None
    );
}

#[test]
fn the_tracker_is_bounded() {
    let mut tracker = CallerRetryTracker::default();
    for at in 0..3 * MAX_TRACKED_REFUSALS as u64 {
        tracker.record_refusal(caller_request("look", at, 10_000), ms(at + 200));
    }
    assert_eq!(tracker.refused_requests.len(), MAX_TRACKED_REFUSALS);
}

/// The margin for rounding is 2 ms; it used to be added twice.
#[test]
fn a_retry_seems_to_wait_shorter_by_the_rounding_margin_at_most() {
    let take_target = |arrived_ms, left_ms| {
        let mut tracker = CallerRetryTracker::default();
        tracker.record_refusal(caller_request("look", 1_000, 500), ms(1_200));
        tracker.take_retry_target(caller_request("look", arrived_ms, left_ms))
    };
    assert_eq!(take_target(1_100, 398), Some(ms(1_200)));
    assert_eq!(take_target(1_100, 397), None);
}
