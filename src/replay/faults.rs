//! Translates the fault events of a trace into fault settings of the stand-ins.

use std::collections::BTreeMap;

use crate::ids::NodeId;
use crate::standin::backend::FaultSettings;
use crate::trace::EventKind;

/// Faults in force at each stand-in, at the current position in the trace.
#[derive(Debug, Default)]
pub struct FaultTracker {
    settings_by_node: BTreeMap<NodeId, FaultSettings>,
    /// Count of events that a stand-in can't simulate, as they kill or suspend
    /// a process. The replay doesn't do that to other processes; the test
    /// harness must.
    pub external_fault_events: u64,
}

impl FaultTracker {
    /// Applies an event and returns its node with the new settings; `None` if
    /// it changes no stand-in's faults.
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
