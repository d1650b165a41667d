//! Simpler routing policies to compare with.
//!
//! They see the same table as the router, so that upstreams which announced
//! that they drain, or were found lost, get nothing new from them either.

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
    pub(super) fn new(kind: PolicyKind) -> Self {
        Self {
            policy_kind: kind,
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
        open: &[NodeId],
    ) -> Option<NodeId> {
        match self.policy_kind {
            PolicyKind::RoundRobin => {
                let first = rng.random_range(0..open.len().max(1));
                let turn = self
                    .round_robin_positions
                    .entry(service.clone())
                    .or_insert(first);
                *turn = turn.wrapping_add(1);
                open.get(*turn % open.len().max(1)).cloned()
            }
            PolicyKind::LeastOutstanding => {
                let count =
                    |node: &NodeId| self.outstanding_attempts.get(node).copied().unwrap_or(0);
                let least = open.iter().map(count).min()?;
                let ties: Vec<_> = open.iter().filter(|node| count(node) == least).collect();
                ties.choose(rng).map(|node| (*node).clone())
            }
            _ => open.choose(rng).cloned(),
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
        let ready = entry.upstreams.values().filter(|upstream| {
            upstream.state == UpstreamState::Ready
                && !upstream.is_suspect
                && !request.tried_nodes.contains(&upstream.node)
        });
        let open: Vec<_> = ready.map(|upstream| upstream.node.clone()).collect();
        let node = self
            .select_candidate(rng, service, &open)
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
        if let Some(count) = self.outstanding_attempts.get_mut(node) {
            *count = count.saturating_sub(1);
        }
    }

    fn take_probe_targets(&mut self, _now: Duration) -> Vec<ProbeTarget> {
        Vec::new()
    }

    fn probe_counts(&self) -> ProbeCounts {
        ProbeCounts::default()
    }
}
