//! End of a model run, and the invariants that must hold after it.

use super::gate::WorkOutcome;
use super::ingress::SEQUENCE_NUMBERS_PER_CALL;
use super::model::{ClusterModel, FinalOutcome};
use super::steps::{GATE_COUNT, Step};
use crate::error::RunOutcome;
use crate::ids::CallId;

/// Enough rounds of delivery and work for no message or request to be left.
const SETTLING_ROUNDS: usize = 3;

impl ClusterModel {
    /// Ends every call, then delivers all delayed messages.
    pub(super) fn settle(&mut self) {
        for gate in 0..GATE_COUNT {
            self.apply(Step::Thaw { gate });
        }
        for _ in 0..self.calls.len() {
            self.apply(Step::Alarm { call: 0 });
            self.apply(Step::Alarm { call: 0 });
        }
        for _ in 0..SETTLING_ROUNDS {
            self.deliver_all_messages();
            self.complete_all_work();
        }
    }

    fn deliver_all_messages(&mut self) {
        while self.links.iter().any(|link| !link.to_gate.is_empty()) {
            self.apply(Step::ToGate { link: 0 });
        }
        let is_readable = |model: &Self| {
            let mut links = model.links.iter();
            links.any(|link| link.is_current && !link.to_ingress.is_empty())
        };
        while is_readable(self) {
            self.apply(Step::ToIngress { link: 0 });
        }
    }

    fn complete_all_work(&mut self) {
        let end = WorkOutcome::Whole;
        for gate in 0..GATE_COUNT {
            for _ in 0..=self.calls.len() {
                self.apply(Step::BeginOrphan { gate });
                self.apply(Step::BeginWork { gate, pick: 0 });
                self.apply(Step::EndWork { gate, pick: 0, end });
            }
        }
    }

    /// Number of runs of a call over all its attempts.
    fn count_runs(&self, base_id: CallId) -> u32 {
        let last_id = CallId {
            sequence: base_id.sequence + SEQUENCE_NUMBERS_PER_CALL - 1,
            ..base_id
        };
        let runs = self
            .gates
            .iter()
            .flat_map(|gate| gate.run_counts.range(base_id..=last_id));
        runs.map(|(_, count)| count).sum()
    }

    /// Checks that no non-idempotent call ran twice, that each call has one final
    /// outcome, and that no call that ran was reported as not run.
    pub(super) fn check_invariants(&self) {
        for entry in &self.calls {
            let call_id = entry.base_id;
            let runs = self.count_runs(call_id);
            assert!(
                entry.is_idempotent || runs <= 1,
                "call {call_id} ran {runs} times"
            );
            if entry.is_abandoned {
                assert!(
                    entry.final_outcomes.is_empty(),
                    "call {call_id} was ended by a restarted ingress"
                );
                continue;
            }
            assert_eq!(
                entry.final_outcomes.len(),
                1,
                "number of final outcomes of call {call_id}"
            );
            match entry.final_outcomes[0] {
                FinalOutcome::Complete => assert!(runs > 0, "call {call_id} completed with no run"),
                FinalOutcome::Failed(RunOutcome::NotRun) => {
                    assert_eq!(runs, 0, "call {call_id} ran but was reported as not run");
                }
                FinalOutcome::Failed(RunOutcome::Unknown) | FinalOutcome::Truncated => {}
            }
        }
    }
}
