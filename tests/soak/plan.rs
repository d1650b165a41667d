//! Schedule of a soak test, which a seed determines.
//!
//! Each upstream but one gets a series of overlapping faults, restarts and
//! drains. Faults of the store and new tickets come in between. One further upstream
//! names limits while its node is killed, frozen or cut off, and [`STOPPED_UPSTREAMS`]
//! more stop in series that overlap, with callers on kept connections.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::script::Fault;

/// Shortest and longest duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (200, 3_000);
/// Users' bound from the acknowledgement of a drain to the last new order, and
/// the rest of the drain, in which no order may arrive.
const DRAIN_BOUND_AND_CHECK_MS: (u64, u64) = (2_000, 1_000);
/// Longest pause between two series of faults, restarts or drains of one
/// upstream.
const MAX_FAULT_GAP_MS: u64 = 2_000;
/// Upstreams whose nodes stop in series, after the one that names limits.
pub const STOPPED_UPSTREAMS: usize = 2;
/// Time from a planned stop until the node is started again, if it has exited by then,
/// and longest time until the next stop.
const STOP_MS: (u64, u64) = (5_500, 1_500);
/// Time for which callers use a node before it stops.
const CALLS_BEFORE_STOP_MS: u64 = 300;
/// Faults of the backend servers beside nodes that stop.
const STOP_FAULTS: [Fault; 3] = [
    Fault::TruncateHeads,
    Fault::AnswerEarly,
    Fault::RepeatFailures,
];
/// Longest pause between two faults of the store or submitted tickets.
const MAX_CONTROL_EVENT_GAP_MS: u64 = 2_500;
/// Longest delay until each of several overlapping faults begins. It is short so
/// that a second one often occurs within the 140 ms after which a silent link is
/// given up.
const MAX_OVERLAP_DELAY_MS: u64 = 200;
/// Faults of an upstream by what they affect: its node, its backend server, or
/// the links to its node. Faults of different groups may overlap.
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

/// Scheduled event. An index is that of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakEvent {
    BeginFault(usize, Fault),
    EndFault(usize, Fault),
    /// Have callers use a node, on connections that they keep.
    BeginCalls(usize),
    /// Stop the node gracefully, while its callers go on.
    BeginStop(usize),
    /// Wait until the node has exited and start it again.
    EndStop(usize),
    /// Have a backend server announce that it drains.
    BeginDrain(usize),
    /// The users' bound has passed: no new order may arrive from now on.
    DrainBoundReached(usize),
    /// Have the backend server announce that it is ready again.
    EndDrain(usize),
    /// Have a backend server name a limit in its responses.
    NameLimit(usize),
    /// Have it name none again.
    EndLimit(usize),
    /// Have the store refuse all requests.
    DisableStore,
    /// Slow the store down and lose its responses to two writes.
    DegradeStore,
    /// Expire all leases at once.
    ExpireLeases,
    /// Clear the faults of the store.
    RestoreStore,
    SubmitTicket,
}

/// Returns the events of a soak test in order, each with its time since the
/// start.
pub fn make_schedule(
    seed: u64,
    upstream_count: usize,
    duration: Duration,
) -> Vec<(Duration, SoakEvent)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end_ms = u64::try_from(duration.as_millis()).unwrap();
    let mut schedule = Vec::new();
    // One upstream stays healthy, so that orders can be answered at all times.
    let healthy = rng.random_range(0..upstream_count);
    for index in (0..upstream_count).filter(|index| *index != healthy) {
        let mut at_ms = rng.random_range(0..MAX_FAULT_GAP_MS);
        while at_ms < end_ms {
            if rng.random_bool(0.1) {
                schedule.push((at_ms, SoakEvent::BeginStop(index)));
                at_ms += FAULT_DURATION_MS.1;
                schedule.push((at_ms, SoakEvent::EndStop(index)));
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
    add_limits(seed, &mut schedule, upstream_count, end_ms);
    for number in 0..STOPPED_UPSTREAMS {
        add_stops(seed, &mut schedule, upstream_count + 1 + number, end_ms);
    }
    schedule.sort();
    let events = schedule.into_iter();
    events
        .map(|(at_ms, event)| (Duration::from_millis(at_ms), event))
        .collect()
}

/// Adds limits of one upstream, during each of which its node has a fault.
fn add_limits(seed: u64, schedule: &mut Vec<(u64, SoakEvent)>, index: usize, end_ms: u64) {
    // A generator of its own leaves the other events of a seed as they were.
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut at_ms = 0;
    while at_ms < end_ms {
        at_ms += rng.random_range(0..MAX_FAULT_GAP_MS);
        schedule.push((at_ms, SoakEvent::NameLimit(index)));
        let node_faults = [Fault::KillNode, Fault::FreezeNode, Fault::CutLinks];
        let fault = *node_faults.choose(&mut rng).unwrap();
        let begin_ms = at_ms + rng.random_range(0..FAULT_DURATION_MS.1);
        at_ms = begin_ms + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        schedule.push((begin_ms, SoakEvent::BeginFault(index, fault)));
        schedule.push((at_ms, SoakEvent::EndFault(index, fault)));
        at_ms += FAULT_DURATION_MS.1;
        schedule.push((at_ms, SoakEvent::EndLimit(index)));
    }
}

/// Adds planned stops of one upstream's node, and faults of its backend server.
fn add_stops(seed: u64, schedule: &mut Vec<(u64, SoakEvent)>, index: usize, end_ms: u64) {
    let mut rng = StdRng::seed_from_u64(!seed ^ index as u64);
    let mut at_ms = rng.random_range(0..STOP_MS.1);
    while at_ms < end_ms {
        schedule.push((at_ms, SoakEvent::BeginCalls(index)));
        let stop_ms = at_ms + CALLS_BEFORE_STOP_MS;
        schedule.push((stop_ms, SoakEvent::BeginStop(index)));
        let fault = *STOP_FAULTS.choose(&mut rng).unwrap();
        let begin_ms = at_ms + rng.random_range(0..FAULT_DURATION_MS.1);
        let end_fault_ms = begin_ms + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        schedule.push((begin_ms, SoakEvent::BeginFault(index, fault)));
        schedule.push((end_fault_ms, SoakEvent::EndFault(index, fault)));
        at_ms = stop_ms + STOP_MS.0;
        schedule.push((at_ms, SoakEvent::EndStop(index)));
        at_ms += rng.random_range(0..STOP_MS.1);
    }
}

/// Adds overlapping faults of one to three groups; returns when the last ends.
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
