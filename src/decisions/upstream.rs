//! Simulated upstream: the admission queue of a real gate in front of a backend
//! server whose service times come from the trace.

use std::time::Duration;

use crate::admission::{AdmissionOptions, AdmissionQueue};
use crate::ids::NodeIncarnation;
use crate::routing::LoadReport;
use crate::table::{UpstreamEntry, UpstreamState};
use crate::trace::UpstreamLine;

/// Condition of a simulated backend server and its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BackendCondition {
    /// Accepts and answers requests.
    Serving,
    /// Fails each request at once.
    FailingFast,
    /// Doesn't answer, because the node is frozen or lost.
    Unresponsive,
}

#[derive(Debug)]
pub(super) struct SimulatedUpstream {
    pub(super) spec: UpstreamLine,
    pub(super) admission: AdmissionQueue,
    pub(super) condition: BackendCondition,
    /// Multiple of the undisturbed service time.
    pub(super) slowdown_factor: f64,
    incarnation: u64,
    /// State that the routing table shows.
    pub(super) announced_state: UpstreamState,
}

impl SimulatedUpstream {
    pub(super) fn new(spec: UpstreamLine) -> Self {
        Self {
            admission: AdmissionQueue::new(spec.slots, AdmissionOptions::default()),
            spec,
            condition: BackendCondition::Serving,
            slowdown_factor: 1.0,
            incarnation: 1,
            announced_state: UpstreamState::Ready,
        }
    }

    /// Replaces the node by a new process of the next incarnation, with an empty
    /// queue and undisturbed service times.
    pub(super) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.spec.clone());
        self.incarnation = incarnation;
    }

    pub(super) fn service_time(&self, work_us: u64) -> Duration {
        Duration::from_micros(work_us).mul_f64(self.slowdown_factor)
    }

    pub(super) fn load_report(&self, now: Duration) -> LoadReport {
        LoadReport::from(self.admission.load(now))
    }

    /// Row of the routing table; `None` if the incarnation is out of range. Nothing
    /// connects to the address, so that any valid one will do.
    pub(super) fn table_entry(&self) -> Option<UpstreamEntry> {
        let incarnation = NodeIncarnation::try_from(self.incarnation).ok()?;
        Some(UpstreamEntry {
            node: self.spec.node.clone(),
            incarnation,
            region: self.spec.region.clone(),
            zone: self.spec.zone.clone(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            backend: self.incarnation.into(),
            slots: self.spec.slots,
            state: self.announced_state,
            is_suspect: false,
        })
    }
}
