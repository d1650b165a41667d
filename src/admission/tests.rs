use std::time::Duration;

use assert_matches::assert_matches;

use super::{Admission, AdmissionOptions, AdmissionQueue, CallOffer, WorkResult};
use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};

fn call(sequence: u64) -> CallId {
    CallId {
        ingress: 1,
        sequence,
    }
}

fn offer(sequence: u64, time_left: Duration) -> CallOffer {
    CallOffer {
        call: call(sequence),
        shares: Vec::new(),
        time_left,
    }
}

fn queue_of(slots: u64) -> AdmissionQueue {
    let slots = SlotCount::try_from(slots).expect("slots");
    AdmissionQueue::new(slots, AdmissionOptions::default())
}

#[test]
fn call_is_refused_when_its_wait_is_longer_than_its_time() {
    let mut queue = queue_of(1);
    let now = Duration::from_secs(1);
    let latency = Duration::from_millis(100);
    let second = Duration::from_secs(1);
    assert_eq!(queue.offer(now, offer(1, second)), Admission::Start);
    queue.finish(now, call(1), WorkResult::Completed { latency });
    assert_eq!(queue.offer(now, offer(2, second)), Admission::Start);
    let hurried = queue.offer(now, offer(3, Duration::from_millis(150)));
    assert_eq!(
        hurried,
        Admission::Refused {
            kind: ErrorKind::WaitTooLong,
            retry_after: latency,
        }
    );
    assert_matches!(queue.offer(now, offer(4, second)), Admission::Queued { .. });
    let started = queue.finish(now, call(2), WorkResult::Failed);
    assert_eq!(started, [call(4)]);
}
