use std::time::Duration;

use tokio::time::Instant;

use super::{SIGNAL_DELAY, StopTimes};

const LEAVE_TIME: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_millis(5_100);

/// Replays requests that come all through a stop, with time limits from far below to far above
/// its length: each that is accepted after the time to leave can run to its limit.
#[test]
fn request_accepted_after_the_time_to_leave_ends_before_the_calls_do() {
    let signalled_at = Instant::now();
    let times = StopTimes::new(signalled_at, LEAVE_TIME, CALL_LIMIT);
    for sent_ms in (0..6_000).step_by(50) {
        for limit_ms in (50..8_000).step_by(50) {
            let (sent, limit) = (
                Duration::from_millis(sent_ms),
                Duration::from_millis(limit_ms),
            );
            let is_accepted = times.accepts(signalled_at + sent, limit);
            let fits = sent + limit <= CALL_LIMIT;
            let may_leave = sent < LEAVE_TIME - SIGNAL_DELAY;
            assert_eq!(is_accepted, fits || may_leave, "{sent:?} {limit:?}");
        }
    }
}

#[test]
fn request_is_accepted_by_its_limit_alone_if_callers_have_no_time_to_leave() {
    let signalled_at = Instant::now();
    let times = StopTimes::new(signalled_at, Duration::ZERO, CALL_LIMIT);
    assert!(times.accepts(signalled_at, CALL_LIMIT));
    assert!(!times.accepts(signalled_at, CALL_LIMIT + Duration::from_millis(1)));
}
