use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{
    AdmissionDecision, AdmissionOptions, AdmissionQueue, CallOffer, CapacityShare, ShareOwner,
    WorkResult,
};
use crate::error::ErrorKind;
use crate::ids::{CallId, SlotCount};

fn call(sequence: u64) -> CallId {
    CallId {
        ingress: 1,
        sequence,
    }
}

fn offer(sequence: u64, time_left: Duration) -> CallOffer {
    CallOffer::with_defaults(call(sequence), time_left)
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
    assert_eq!(queue.offer(now, offer(1, second)), AdmissionDecision::Start);
    queue.finish(now, call(1), WorkResult::Completed { latency });
    assert_eq!(queue.offer(now, offer(2, second)), AdmissionDecision::Start);
    let hurried = queue.offer(now, offer(3, Duration::from_millis(150)));
    assert_eq!(
        hurried,
        AdmissionDecision::Refused {
            kind: ErrorKind::WaitTooLong,
            retry_after: latency,
            estimated_response_time: latency * 2,
        }
    );
    assert_matches!(
        queue.offer(now, offer(4, second)),
        AdmissionDecision::Queued { .. }
    );
    let started = queue.finish(now, call(2), WorkResult::Failed);
    assert_eq!(started, [call(4)]);
}

#[test]
fn queued_call_expires_while_an_answer_is_still_possible() {
    let mut queue = queue_of(1);
    let latency = Duration::from_millis(100);
    let now = Duration::from_secs(1);
    queue.offer(now, offer(1, latency));
    queue.finish(now, call(1), WorkResult::Completed { latency });
    queue.offer(now, offer(2, latency));
    let time_left = Duration::from_millis(300);
    assert_matches!(
        queue.offer(now, offer(3, time_left)),
        AdmissionDecision::Queued { .. }
    );
    let expiry = now + time_left - latency;
    assert_eq!(queue.next_expiry(), Some(expiry));
    let late = queue.finish(expiry, call(2), WorkResult::Failed);
    assert!(late.is_empty(), "a call past its time was started");
    assert_eq!(queue.expire(expiry), [call(3)]);
    assert_eq!(queue.load(expiry).queued, 0);
}

#[test]
fn stalled_calls_make_the_wait_estimate_grow() {
    let mut queue = queue_of(1);
    let second = Duration::from_secs(1);
    let latency = Duration::from_millis(1);
    queue.offer(second, offer(1, second));
    queue.finish(second, call(1), WorkResult::Completed { latency });
    queue.offer(second, offer(2, second));
    let stalled = second + Duration::from_millis(500);
    let hurried = queue.offer(stalled, offer(3, Duration::from_millis(400)));
    assert_matches!(
        hurried,
        AdmissionDecision::Refused {
            kind: ErrorKind::WaitTooLong,
            ..
        }
    );
}

#[test]
fn service_stays_within_its_share() {
    let mut queue = queue_of(4);
    let share = CapacityShare {
        owner: ShareOwner::Service("plans".parse().expect("name")),
        percent: 25,
    };
    let mut refused = Vec::new();
    for sequence in 0..6 {
        let mut offer = offer(sequence, Duration::from_secs(1));
        offer.shares.push(share.clone());
        if let AdmissionDecision::Refused { kind, .. } = queue.offer(Duration::ZERO, offer) {
            refused.push(kind);
        }
    }
    // A quarter of four slots and eight places in the queue.
    assert_eq!(refused, [ErrorKind::ShareExceeded; 3]);
    let other = queue.offer(Duration::ZERO, offer(9, Duration::from_secs(1)));
    assert_eq!(other, AdmissionDecision::Start);
}

/// Keeps a gate busy for 20 s with a server whose latency in milliseconds
/// depends on the calls at work; returns the mean limit of the second half.
fn mean_limit_under(
    queue: &mut AdmissionQueue,
    from: Duration,
    mut latency_ms: impl FnMut(u32) -> f64,
) -> f64 {
    let until = from + Duration::from_secs(20);
    let half = from + Duration::from_secs(10);
    let mut ends: BTreeMap<(Duration, u64), Duration> = BTreeMap::new();
    let mut sequence = u64::try_from(from.as_micros()).expect("time");
    let (mut now, mut limit_time, mut late_from) = (from, 0.0, half);
    while now < until {
        let time_left = Duration::from_secs(600);
        while queue.offer(now, offer(sequence, time_left)) == AdmissionDecision::Start {
            let calls = queue.load(now).in_flight;
            let latency = Duration::from_secs_f64(latency_ms(calls) / 1e3);
            ends.insert((now + latency, sequence), latency);
            sequence += 1;
        }
        queue.withdraw(now, call(sequence));
        sequence += 1;
        let ((end, ended), latency) = ends.pop_first().expect("work");
        now = end;
        if now > late_from {
            limit_time += f64::from(queue.load(now).limit) * (now - late_from).as_secs_f64();
            late_from = now;
        }
        queue.finish(now, call(ended), WorkResult::Completed { latency });
    }
    for (_, ended) in ends.into_keys() {
        queue.finish(now, call(ended), WorkResult::Failed);
    }
    limit_time / (late_from - half).as_secs_f64()
}

#[test]
fn limit_follows_the_capacity_that_neighbours_leave() {
    let mut queue = queue_of(6);
    let calm = mean_limit_under(&mut queue, Duration::ZERO, |_| 10.0);
    assert!(calm > 5.99, "mean limit {calm}");
    let second = Duration::from_secs(30);
    // Two cores are left for six slots.
    let crowded = mean_limit_under(&mut queue, second, |calls| 5.0 * f64::from(calls.max(2)));
    assert!((2.0..=4.0).contains(&crowded), "mean limit {crowded}");
    let third = Duration::from_secs(60);
    let again = mean_limit_under(&mut queue, third, |_| 10.0);
    assert!(again > 5.99, "mean limit {again}");
}

#[test]
fn limit_stays_where_a_lower_one_costs_throughput() {
    let mut queue = queue_of(6);
    mean_limit_under(&mut queue, Duration::ZERO, |_| 10.0);
    // Every call is slow by itself.
    let slow = mean_limit_under(&mut queue, Duration::from_secs(30), |_| 200.0);
    assert!(slow >= 5.7, "mean limit {slow}");
}

#[test]
fn limit_stays_when_latencies_vary_by_chance() {
    let mut generator = StdRng::seed_from_u64(11);
    let mut queue = queue_of(6);
    let limit = mean_limit_under(&mut queue, Duration::ZERO, |_| {
        // Exponential with a mean of 10 ms.
        -10.0 * (1.0 - generator.random::<f64>()).ln()
    });
    assert!(limit >= 5.7, "mean limit {limit}");
}

#[test]
fn refusal_is_decided_within_50_us() {
    const ROUNDS: u64 = 1_001;
    let mut queue = queue_of(64);
    let second = Duration::from_secs(1);
    for sequence in 0..256 {
        queue.offer(second, offer(sequence, second));
    }
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|round| {
            let offer = offer(1_000 + round, second);
            let begun = Instant::now();
            let decision = queue.offer(second, offer);
            assert_matches!(decision, AdmissionDecision::Refused { .. });
            begun.elapsed()
        })
        .collect();
    times.sort_unstable();
    let median = times[times.len() / 2];
    assert!(median < Duration::from_micros(50), "median {median:?}");
}

/// Gate of six slots, all busy with calls of 80 ms, and as many in the queue.
fn queue_full_of_long_calls(now: Duration) -> AdmissionQueue {
    let mut queue = queue_of(6);
    let sample = |class: &str, sequence, latency| {
        let mut sample = offer(sequence, Duration::from_secs(1));
        sample.class = class.to_string();
        (sample, WorkResult::Completed { latency })
    };
    for sequence in 0..40 {
        let (class, latency) = match sequence % 2 {
            0 => ("long", Duration::from_millis(80)),
            _ => ("short", Duration::from_millis(15)),
        };
        let (sample, result) = sample(class, sequence, latency);
        assert_eq!(queue.offer(now, sample), AdmissionDecision::Start);
        queue.finish(now, call(sequence), result);
    }
    for sequence in 100..112 {
        let mut long = offer(sequence, Duration::from_millis(600));
        long.class = "long".to_string();
        long.rank = 1;
        long.target_left = Duration::from_millis(250);
        assert!(!matches!(
            queue.offer(now, long),
            AdmissionDecision::Refused { .. }
        ));
    }
    queue
}

/// A call that a run makes while it holds a slot elsewhere: short, urgent, of
/// the rank of the long calls that fill the queue. The queue serves it next, so
/// it must not be refused for their sake; the run that made it would fail.
#[test]
fn a_short_urgent_call_waits_for_a_slot_only_and_not_for_the_queue() {
    let now = Duration::from_secs(1);
    let mut queue = queue_full_of_long_calls(now);
    let mut short = offer(200, Duration::from_millis(110));
    short.class = "short".to_string();
    short.rank = 1;
    short.target_left = Duration::from_millis(79);
    let decision = queue.offer(now, short);
    assert_matches!(
        decision,
        AdmissionDecision::Queued { estimated_wait } if estimated_wait <= Duration::from_millis(20)
    );
    let later = now + Duration::from_millis(13);
    let started = queue.finish(later, call(100), WorkResult::Failed);
    assert_eq!(started, [call(200)]);
}

/// A call behind others of its rank waits for their runs, whatever a run of its
/// own class takes.
#[test]
fn the_wait_is_estimated_from_the_runs_of_the_calls_before() {
    let now = Duration::from_secs(1);
    let mut queue = queue_full_of_long_calls(now);
    let mut patient = offer(200, Duration::from_millis(2_000));
    patient.class = "short".to_string();
    patient.rank = 2;
    patient.target_left = Duration::from_millis(1_000);
    let decision = queue.offer(now, patient);
    // Six runs of 80 ms before it on six slots, after a sixth of one at work.
    assert_matches!(
        decision,
        AdmissionDecision::Queued { estimated_wait }
            if (90..97).contains(&estimated_wait.as_millis())
    );
}

/// A caller that comes back with the rest of its time: a run of its class never
/// was so short, so it is refused though slots are free, and the slot stays free
/// for a call that can be served.
#[test]
fn a_call_that_no_run_can_serve_is_refused_though_slots_are_free() {
    let now = Duration::from_secs(1);
    let mut queue = queue_of(6);
    let class_offer = |sequence, left_ms| CallOffer {
        class: "long".to_string(),
        ..offer(sequence, Duration::from_millis(left_ms))
    };
    for (sequence, latency_ms) in [(1, 60), (2, 90)] {
        queue.offer(now, class_offer(sequence, 500));
        let latency = Duration::from_millis(latency_ms);
        queue.finish(now, call(sequence), WorkResult::Completed { latency });
    }
    assert_matches!(
        queue.offer(now, class_offer(3, 27)),
        AdmissionDecision::Refused {
            kind: ErrorKind::WaitTooLong,
            ..
        }
    );
    // It may be a short one of its class.
    assert_eq!(
        queue.offer(now, class_offer(4, 65)),
        AdmissionDecision::Start
    );
    assert_eq!(
        queue.offer(now, offer(5, Duration::from_millis(1))),
        AdmissionDecision::Start
    );
}

/// Nodes that restart in turn, some at the same time: the gate of one that stops
/// goes on serving short calls, and none that it would have to cut.
#[test]
fn a_gate_that_stops_soon_takes_only_what_ends_before() {
    let now = Duration::from_secs(1);
    let mut queue = queue_of(6);
    let class_offer = |sequence, class: &str| CallOffer {
        class: class.to_string(),
        ..offer(sequence, Duration::from_secs(6))
    };
    for (sequence, class, latency_ms) in [(1, "short", 60), (2, "long", 2_000)] {
        queue.offer(now, class_offer(sequence, class));
        let latency = Duration::from_millis(latency_ms);
        queue.finish(now, call(sequence), WorkResult::Completed { latency });
    }
    queue.set_stop_time(now + Duration::from_secs(5));
    assert_eq!(
        queue.offer(now, class_offer(3, "short")),
        AdmissionDecision::Start
    );
    assert_matches!(
        queue.offer(now, class_offer(4, "long")),
        AdmissionDecision::Refused {
            kind: ErrorKind::WaitTooLong,
            ..
        }
    );
    let late = now + Duration::from_millis(4_900);
    assert_matches!(
        queue.offer(late, class_offer(5, "short")),
        AdmissionDecision::Refused { .. }
    );
}
