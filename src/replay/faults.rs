//! Faults of a trace, as the stand-ins can play them.

use std::collections::BTreeMap;

use crate::ids::NodeId;
use crate::standin::backend::FaultSettings;
use crate::trace::EventKind;

/// Faults in force at each stand-in while a trace is planned.
#[derive(Debug, Default)]
pub struct FaultTracker {
    settings_by_node: BTreeMap<NodeId, FaultSettings>,
    /// Events that a stand-in can't play: they end or stop processes, which no
    /// process here does to another. The harness has to bring them about.
    pub external_fault_events: u64,
}

impl FaultTracker {
    /// Node and new settings after an event; nothing if it changes none.
    pub fn apply(&mut self, event: &EventKind) -> Option<(NodeId, FaultSettings)> {
        let (node, change): (&NodeId, &dyn Fn(&mut FaultSettings)) = match event {
            EventKind::Speed(line) => (&line.node, &|faults| faults.slowdown = line.factor),
            EventKind::FailFast(line) => (&line.node, &|faults| faults.fail_fast = true),
            EventKind::Drain(line) => (&line.node, &|faults| faults.draining = true),
            EventKind::Recover(line) => (&line.node, &|faults| *faults = FaultSettings::default()),
            EventKind::Freeze(_) | EventKind::Gone(_) => {
                self.external_fault_events += 1;
                return None;
            }
            _ => return None,
        };
        let faults = self.settings_by_node.entry(node.clone()).or_default();
        change(faults);
        Some((node.clone(), faults.clone()))
    }
}
