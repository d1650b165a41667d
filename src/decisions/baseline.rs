//! Baseline routing policies: random, round robin and least outstanding.
//!
//! Baselines use the same routing table as the router, so they send no new
//! attempts to draining, suspected or lost upstreams either.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::{PolicyKind, RoutingPolicy};
use crate::error::ErrorKind;
use crate::ids::{NodeId, ServiceName};
use crate::routing::{
    AttemptNumber, AttemptResult, LoadReport, ProbeCounts, ProbeTarget, RouteRequest,
};
use crate::table::{RoutingTable, UpstreamState};

#[derive(Debug)]
pub(super) struct BaselinePolicy {
    policy_kind: PolicyKind,
    table: Arc<RoutingTable>,
    round_robin_positions: BTreeMap<ServiceName, usize>,
    outstanding_attempts: BTreeMap<NodeId, u32>,
    last_attempt: u64,
}

impl BaselinePolicy {
    pub(super) fn new(policy_kind: PolicyKind) -> Self {
        Self {
            policy_kind,
            table: Arc::default(),
            round_robin_positions: BTreeMap::new(),
            outstanding_attempts: BTreeMap::new(),
            last_attempt: 0,
        }
    }

    fn select_candidate(
        &mut self,
        rng: &mut StdRng,
        service: &ServiceName,
        candidates: &[NodeId],
    ) -> Option<NodeId> {
        match self.policy_kind {
            PolicyKind::RoundRobin => {
                let start = rng.random_range(0..candidates.len().max(1));
                let position = self
                    .round_robin_positions
                    .entry(service.clone())
                    .or_insert(start);
                *position = position.wrapping_add(1);
                candidates.get(*position % candidates.len().max(1)).cloned()
            }
            PolicyKind::LeastOutstanding => {
                let outstanding =
                    |node: &NodeId| self.outstanding_attempts.get(node).copied().unwrap_or(0);
                let fewest = candidates.iter().map(outstanding).min()?;
                let ties: Vec<_> = candidates
                    .iter()
                    .filter(|node| outstanding(node) == fewest)
                    .collect();
                ties.choose(rng).map(|node| (*node).clone())
            }
            _ => candidates.choose(rng).cloned(),
        }
    }
}

impl RoutingPolicy for BaselinePolicy {
    fn apply_table(&mut self, _now: Duration, table: &Arc<RoutingTable>) {
        self.table = Arc::clone(table);
    }

    fn select_node(
        &mut self,
        _now: Duration,
        rng: &mut StdRng,
        request: &RouteRequest<'_>,
    ) -> Result<(NodeId, AttemptNumber), ErrorKind> {
        let service = request.service;
        let table = Arc::clone(&self.table);
        let entry = table
            .services
            .get(service)
            .ok_or(ErrorKind::UnknownService)?;
        let eligible = entry.upstreams.values().filter(|upstream| {
            upstream.state == UpstreamState::Ready
                && !upstream.is_suspect
                && !request.tried_nodes.contains(&upstream.node)
        });
        let candidates: Vec<_> = eligible.map(|upstream| upstream.node.clone()).collect();
        let node = self
            .select_candidate(rng, service, &candidates)
            .ok_or(ErrorKind::NoUpstream)?;
        *self.outstanding_attempts.entry(node.clone()).or_default() += 1;
        self.last_attempt += 1;
        Ok((node, AttemptNumber::from(self.last_attempt)))
    }

    fn on_load_report(&mut self, _now: Duration, _node: &NodeId, _report: LoadReport) {}

    fn on_attempt_finished(
        &mut self,
        _now: Duration,
        _service: &ServiceName,
        node: &NodeId,
        _attempt: AttemptNumber,
        _result: AttemptResult,
    ) {
        if let Some(outstanding) = self.outstanding_attempts.get_mut(node) {
            *outstanding = outstanding.saturating_sub(1);
        }
    }

    fn take_probe_targets(&mut self, _now: Duration) -> Vec<ProbeTarget> {
        Vec::new()
    }

    fn probe_counts(&self) -> ProbeCounts {
        ProbeCounts::default()
    }
}
