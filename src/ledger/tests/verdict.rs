//! End of a model run, and the promises that must have held.

use super::gate::WorkEnd;
use super::ingress::NUMBERS_PER_CALL;
use super::model::{FinalAnswer, World};
use super::steps::{GATE_COUNT, Step};
use crate::error::RunOutcome;
use crate::ids::CallId;

/// Rounds after which nothing is under way any more.
const CLOSING_ROUNDS: usize = 3;

impl World {
    /// Ends every call, then lets everything late arrive.
    pub(super) fn close(&mut self) {
        for gate in 0..GATE_COUNT {
            self.apply(Step::Thaw { gate });
        }
        for _ in 0..self.calls.len() {
            self.apply(Step::Alarm { call: 0 });
            self.apply(Step::Alarm { call: 0 });
        }
        for _ in 0..CLOSING_ROUNDS {
            self.deliver_all();
            self.work_all();
        }
    }

    fn deliver_all(&mut self) {
        while self.links.iter().any(|link| !link.to_gate.is_empty()) {
            self.apply(Step::ToGate { link: 0 });
        }
        let is_readable = |world: &Self| {
            let mut links = world.links.iter();
            links.any(|link| link.is_current && !link.to_ingress.is_empty())
        };
        while is_readable(self) {
            self.apply(Step::ToIngress { link: 0 });
        }
    }

    fn work_all(&mut self) {
        let end = WorkEnd::Whole;
        for gate in 0..GATE_COUNT {
            for _ in 0..=self.calls.len() {
                self.apply(Step::BeginOrphan { gate });
                self.apply(Step::BeginWork { gate, pick: 0 });
                self.apply(Step::EndWork { gate, pick: 0, end });
            }
        }
    }

    /// Runs of a call, whichever attempt they came from.
    fn runs_of(&self, base: CallId) -> u32 {
        let last = CallId {
            sequence: base.sequence + NUMBERS_PER_CALL - 1,
            ..base
        };
        let runs = self
            .gates
            .iter()
            .flat_map(|gate| gate.runs.range(base..=last));
        runs.map(|(_, count)| count).sum()
    }

    /// Checks what must hold however the run went.
    pub(super) fn check(&self) {
        for entry in &self.calls {
            let id = entry.base;
            let runs = self.runs_of(id);
            assert!(entry.idempotent || runs <= 1, "call {id} ran {runs} times");
            if entry.is_abandoned {
                assert!(
                    entry.finals.is_empty(),
                    "call {id} answered by a dead ingress"
                );
                continue;
            }
            assert_eq!(entry.finals.len(), 1, "final answers of call {id}");
            match entry.finals[0] {
                FinalAnswer::Whole => assert!(runs > 0, "call {id} answered without a run"),
                FinalAnswer::Failed(RunOutcome::NotRun) => {
                    assert_eq!(runs, 0, "call {id} was called not run");
                }
                FinalAnswer::Failed(RunOutcome::Unknown) | FinalAnswer::Cut => {}
            }
        }
    }
}
