//! Random events that drive the model: calls, deliveries, faults and timers.

use proptest::prelude::*;

use super::gate::WorkOutcome;

pub(super) const GATE_COUNT: usize = 2;

/// One event. `call`, `link` and `pick` are taken modulo the number of
/// candidates.
///
/// The names of variants and fields appear in recorded failing cases; keep them.
#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    NewCall {
        idempotent: bool,
    },
    Send {
        call: usize,
        gate: usize,
    },
    GiveUp {
        call: usize,
    },
    ToGate {
        link: usize,
    },
    ToIngress {
        link: usize,
    },
    RepeatToGate {
        link: usize,
    },
    RepeatToIngress {
        link: usize,
    },
    DropLink {
        link: usize,
    },
    CutLink {
        link: usize,
    },
    BeginWork {
        gate: usize,
        pick: usize,
    },
    BeginOrphan {
        gate: usize,
    },
    EndWork {
        gate: usize,
        pick: usize,
        end: WorkOutcome,
    },
    Freeze {
        gate: usize,
    },
    Thaw {
        gate: usize,
    },
    RestartGate {
        gate: usize,
    },
    RestartIngress,
    Drain {
        gate: usize,
    },
    Alarm {
        call: usize,
    },
    GateGone {
        call: usize,
    },
    Pass {
        seconds: u64,
    },
}

/// Weight of a kind of step, and its constructor from two random numbers.
type WeightedStep = (u32, fn(usize, usize) -> Step);

/// Kinds of steps; those that advance a call are the most frequent.
const WEIGHTED_STEPS: [WeightedStep; 20] = [
    (4, |pick, _| Step::NewCall {
        idempotent: pick % 2 == 0,
    }),
    (8, |call, gate| Step::Send {
        call,
        gate: gate % GATE_COUNT,
    }),
    (1, |call, _| Step::GiveUp { call }),
    (12, |link, _| Step::ToGate { link }),
    (12, |link, _| Step::ToIngress { link }),
    (1, |link, _| Step::RepeatToGate { link }),
    (1, |link, _| Step::RepeatToIngress { link }),
    (3, |link, _| Step::DropLink { link }),
    (6, |pick, gate| Step::BeginWork {
        gate: gate % GATE_COUNT,
        pick,
    }),
    (1, |_, gate| Step::BeginOrphan {
        gate: gate % GATE_COUNT,
    }),
    (4, |pick, gate| Step::EndWork {
        gate: gate % GATE_COUNT,
        pick,
        end: WorkOutcome::Whole,
    }),
    (1, |pick, gate| Step::EndWork {
        gate: gate % GATE_COUNT,
        pick,
        end: WorkOutcome::Failed,
    }),
    (1, |pick, gate| Step::EndWork {
        gate: gate % GATE_COUNT,
        pick,
        end: WorkOutcome::Unreachable,
    }),
    (1, |_, gate| Step::Freeze {
        gate: gate % GATE_COUNT,
    }),
    (1, |_, gate| Step::Thaw {
        gate: gate % GATE_COUNT,
    }),
    (1, |_, gate| Step::RestartGate {
        gate: gate % GATE_COUNT,
    }),
    (1, |pick, gate| match pick {
        0 => Step::RestartIngress,
        1 => Step::Drain {
            gate: gate % GATE_COUNT,
        },
        _ => Step::CutLink { link: gate },
    }),
    (3, |call, _| Step::GateGone { call }),
    (3, |call, _| Step::Alarm { call }),
    (2, |seconds, _| Step::Pass {
        seconds: 1 + seconds as u64,
    }),
];

/// Generates any step. Three plain numbers are faster to generate than a union
/// of strategies.
pub(super) fn any_step() -> impl Strategy<Value = Step> {
    let total_weight: u32 = WEIGHTED_STEPS.iter().map(|(weight, _)| weight).sum();
    (0..total_weight, 0..8_usize, 0..8_usize).prop_map(|(offset, first, second)| {
        let new_step = step_constructor_at(offset);
        new_step(first, second)
    })
}

fn step_constructor_at(mut offset: u32) -> fn(usize, usize) -> Step {
    for (weight, new_step) in WEIGHTED_STEPS {
        if offset < weight {
            return new_step;
        }
        offset -= weight;
    }
    unreachable!("offset is not below the total weight")
}
