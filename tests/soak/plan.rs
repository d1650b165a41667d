//! Schedule of faults made from a seed: they come in series and overlap.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::script::Fault;

/// Shortest and longest time that a fault lasts, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 3_000);
/// Users' bound from the acknowledgement of a drain to the last new order, and
/// the time of the drain beyond it, in milliseconds.
const DRAIN_BOUND_AND_CHECK_MS: (u64, u64) = (2_000, 1_000);
/// Longest time between the starts of two faults at one upstream.
const MAX_FAULT_GAP_MS: u64 = 2_000;
/// Longest time between two faults of the store or two tickets.
const MAX_CONTROL_EVENT_GAP_MS: u64 = 2_500;
/// Longest time after which overlapping faults begin: a second one often strikes
/// within the 140 ms in which a silent link is given up.
const MAX_OVERLAP_DELAY_MS: u64 = 200;
/// Faults of one upstream by what they strike: its node, its backend server,
/// the links to it. Those of different groups overlap.
const FAULT_GROUPS: [&[Fault]; 3] = [
    &[Fault::KillNode, Fault::KillNodeRefusing, Fault::FreezeNode],
    &[
        Fault::KillBackend,
        Fault::FreezeBackend,
        Fault::SlowBackend,
        Fault::FailBackend,
        Fault::TruncateResponses,
        Fault::WithholdResponses,
    ],
    &[Fault::CutLinks, Fault::SilenceLinks, Fault::HoldLinks],
];

/// What happens at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakEvent {
    /// A fault begins at an upstream.
    BeginFault(usize, Fault),
    /// It ends.
    EndFault(usize, Fault),
    /// A planned stop of an upstream's node, which starts again.
    RestartNode(usize),
    /// An upstream's backend server announces that it drains.
    BeginDrain(usize),
    /// From now on no new order may reach it.
    DrainBoundReached(usize),
    /// It announces that it is ready again.
    EndDrain(usize),
    /// The store refuses everything.
    DisableStore,
    /// The store is slow and loses the answers of two writes.
    DegradeStore,
    /// All leases lapse at once.
    ExpireLeases,
    /// The store is well again.
    RestoreStore,
    /// A ticket is submitted.
    SubmitTicket,
}

/// Events of a soak in order of time.
pub fn make_schedule(seed: u64, upstreams: usize, length: Duration) -> Vec<(Duration, SoakEvent)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = u64::try_from(length.as_millis()).unwrap();
    let mut plan = Vec::new();
    // One upstream stays whole, so that orders can be answered all the time.
    let whole = rng.random_range(0..upstreams);
    for index in (0..upstreams).filter(|index| *index != whole) {
        let mut at = rng.random_range(0..MAX_FAULT_GAP_MS);
        while at < end_ms {
            if rng.random_bool(0.1) {
                plan.push((at, SoakEvent::RestartNode(index)));
                at += FAULT_DURATION_MS.1;
            } else if rng.random_bool(0.1) {
                plan.push((at, SoakEvent::BeginDrain(index)));
                plan.push((
                    at + DRAIN_BOUND_AND_CHECK_MS.0,
                    SoakEvent::DrainBoundReached(index),
                ));
                at += DRAIN_BOUND_AND_CHECK_MS.0 + DRAIN_BOUND_AND_CHECK_MS.1;
                plan.push((at, SoakEvent::EndDrain(index)));
            } else {
                at = add_overlapping_faults(&mut rng, &mut plan, index, at);
            }
            at += rng.random_range(0..MAX_FAULT_GAP_MS);
        }
    }
    let mut at = 0;
    while at < end_ms {
        at += rng.random_range(0..MAX_CONTROL_EVENT_GAP_MS);
        let trouble = [
            SoakEvent::DisableStore,
            SoakEvent::DegradeStore,
            SoakEvent::ExpireLeases,
            SoakEvent::SubmitTicket,
            SoakEvent::SubmitTicket,
        ];
        let event = *trouble.choose(&mut rng).unwrap();
        plan.push((at, event));
        if event != SoakEvent::SubmitTicket {
            at += rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
            plan.push((at, SoakEvent::RestoreStore));
        }
    }
    plan.sort();
    let timed = plan.into_iter();
    timed
        .map(|(at, event)| (Duration::from_millis(at), event))
        .collect()
}

/// Adds faults of one to three groups that overlap; returns when all are over.
fn add_overlapping_faults(
    rng: &mut StdRng,
    plan: &mut Vec<(u64, SoakEvent)>,
    index: usize,
    at: u64,
) -> u64 {
    let count = rng.random_range(1..=FAULT_GROUPS.len());
    let mut over = at;
    for group in FAULT_GROUPS.choose_multiple(rng, count) {
        let fault = *group.choose(rng).unwrap();
        let begin = at + rng.random_range(0..MAX_OVERLAP_DELAY_MS);
        let end = begin + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        plan.push((begin, SoakEvent::BeginFault(index, fault)));
        plan.push((end, SoakEvent::EndFault(index, fault)));
        over = over.max(end);
    }
    over
}
