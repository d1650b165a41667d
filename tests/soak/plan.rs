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
pub fn make_schedule(
    seed: u64,
    upstream_count: usize,
    duration: Duration,
) -> Vec<(Duration, SoakEvent)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = u64::try_from(duration.as_millis()).unwrap();
    let mut schedule = Vec::new();
    // One upstream stays whole, so that orders can be answered all the time.
    let healthy = rng.random_range(0..upstream_count);
    for index in (0..upstream_count).filter(|index| *index != healthy) {
        let mut at_ms = rng.random_range(0..MAX_FAULT_GAP_MS);
        while at_ms < end_ms {
            if rng.random_bool(0.1) {
                schedule.push((at_ms, SoakEvent::RestartNode(index)));
                at_ms += FAULT_DURATION_MS.1;
            } else if rng.random_bool(0.1) {
                schedule.push((at_ms, SoakEvent::BeginDrain(index)));
                schedule.push((
                    at_ms + DRAIN_BOUND_AND_CHECK_MS.0,
                    SoakEvent::DrainBoundReached(index),
                ));
                at_ms += DRAIN_BOUND_AND_CHECK_MS.0 + DRAIN_BOUND_AND_CHECK_MS.1;
                schedule.push((at_ms, SoakEvent::EndDrain(index)));
            } else {
                at_ms = add_overlapping_faults(&mut rng, &mut schedule, index, at_ms);
            }
            at_ms += rng.random_range(0..MAX_FAULT_GAP_MS);
        }
    }
    let mut at_ms = 0;
    while at_ms < end_ms {
        at_ms += rng.random_range(0..MAX_CONTROL_EVENT_GAP_MS);
        let choices = [
            SoakEvent::DisableStore,
            SoakEvent::DegradeStore,
            SoakEvent::ExpireLeases,
            SoakEvent::SubmitTicket,
            SoakEvent::SubmitTicket,
        ];
        let event = *choices.choose(&mut rng).unwrap();
        schedule.push((at_ms, event));
        if event != SoakEvent::SubmitTicket {
            at_ms += rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
            schedule.push((at_ms, SoakEvent::RestoreStore));
        }
    }
    schedule.sort();
    let events = schedule.into_iter();
    events
        .map(|(at_ms, event)| (Duration::from_millis(at_ms), event))
        .collect()
}

/// Adds faults of one to three groups that overlap; returns when all are over.
fn add_overlapping_faults(
    rng: &mut StdRng,
    schedule: &mut Vec<(u64, SoakEvent)>,
    index: usize,
    at_ms: u64,
) -> u64 {
    let group_count = rng.random_range(1..=FAULT_GROUPS.len());
    let mut last_end_ms = at_ms;
    for group in FAULT_GROUPS.choose_multiple(rng, group_count) {
        let fault = *group.choose(rng).unwrap();
        let begin_ms = at_ms + rng.random_range(0..MAX_OVERLAP_DELAY_MS);
        let end_ms = begin_ms + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        schedule.push((begin_ms, SoakEvent::BeginFault(index, fault)));
        schedule.push((end_ms, SoakEvent::EndFault(index, fault)));
        last_end_ms = last_end_ms.max(end_ms);
    }
    last_end_ms
}
