//! Schedule of faults made from a seed: they come in series and overlap.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::script::Fault;

/// Shortest and longest time that a fault lasts, in milliseconds.
const FAULT_MS: (u64, u64) = (200, 3_000);
/// Longest time between the starts of two faults at one upstream.
const GAP_MS: u64 = 2_000;
/// Longest time between two faults of the store or two tickets.
const CONTROL_GAP_MS: u64 = 2_500;
/// Faults of an upstream that have to be taken out before others of the same
/// process are put in.
const UPSTREAM_FAULTS: [Fault; 11] = [
    Fault::KillNode,
    Fault::FreezeNode,
    Fault::KillBackend,
    Fault::FreezeBackend,
    Fault::CutLinks,
    Fault::SilenceLinks,
    Fault::HoldLinks,
    Fault::Slow,
    Fault::FailFast,
    Fault::CutAnswers,
    Fault::NeverAnswer,
];

/// What happens at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakEvent {
    /// A fault begins at an upstream.
    Begin(usize, Fault),
    /// It ends.
    End(usize, Fault),
    /// A planned stop of an upstream's node, which starts again.
    Restart(usize),
    /// The store refuses everything.
    StoreAway,
    /// The store is slow and loses the answers of two writes.
    StoreLossy,
    /// All leases lapse at once.
    LeasesLapse,
    /// The store is well again.
    StoreBack,
    /// A ticket is submitted.
    Submit,
}

/// Events of a soak in order of time.
pub fn make_plan(seed: u64, upstreams: usize, length: Duration) -> Vec<(Duration, SoakEvent)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = u64::try_from(length.as_millis()).unwrap();
    let mut plan = Vec::new();
    // One upstream stays whole, so that orders can be answered all the time.
    let whole = rng.random_range(0..upstreams);
    for index in (0..upstreams).filter(|index| *index != whole) {
        let mut at = rng.random_range(0..GAP_MS);
        while at < end_ms {
            let lasts = rng.random_range(FAULT_MS.0..FAULT_MS.1);
            if rng.random_bool(0.1) {
                plan.push((at, SoakEvent::Restart(index)));
                at += FAULT_MS.1;
            } else {
                let fault = *UPSTREAM_FAULTS.choose(&mut rng).unwrap();
                plan.push((at, SoakEvent::Begin(index, fault)));
                plan.push((at + lasts, SoakEvent::End(index, fault)));
                at += lasts;
            }
            at += rng.random_range(0..GAP_MS);
        }
    }
    let mut at = 0;
    while at < end_ms {
        at += rng.random_range(0..CONTROL_GAP_MS);
        let trouble = [
            SoakEvent::StoreAway,
            SoakEvent::StoreLossy,
            SoakEvent::LeasesLapse,
            SoakEvent::Submit,
            SoakEvent::Submit,
        ];
        let event = *trouble.choose(&mut rng).unwrap();
        plan.push((at, event));
        if event != SoakEvent::Submit {
            at += rng.random_range(FAULT_MS.0..FAULT_MS.1);
            plan.push((at, SoakEvent::StoreBack));
        }
    }
    plan.sort();
    let timed = plan.into_iter();
    timed
        .map(|(at, event)| (Duration::from_millis(at), event))
        .collect()
}
