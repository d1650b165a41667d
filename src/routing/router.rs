//! Router state: the subset of each service, the statistics of each upstream
//! and the events that update them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::refused_ranks::RefusedRankReports;
use super::subset::{TierMembers, select_subset, tier_of};
use super::upstream::{DRAIN_BACKOFF, ServiceMeans, UpstreamStats};
use super::{
    AttemptNumber, AttemptResult, CandidateScore, LoadReport, LocalityTier, NodeLocality,
    ProbeCounts, ProbeTarget, RegionLimit, RouteChoice, RouteReason, RouteRequest, RouterSnapshot,
    RoutingOptions, SkippedUpstreams, UpstreamSnapshot,
};
use crate::error::ErrorKind;
use crate::ids::{NodeId, NodeIncarnation, RegionName, ServiceName};
use crate::rate_limit::{KnownStatement, KnownStatements};
use crate::table::{RoutingTable, ServiceEntry, UpstreamState};
use crate::zone_balancing::ZoneBalancer;

/// Latency assumed before the first answer of a service, in microseconds.
const INITIAL_LATENCY_US: f64 = 10_000.0;
/// Time after an idempotent call within which its service is expected to have
/// another one.
const IDEMPOTENT_CALL_WINDOW: Duration = Duration::from_secs(10);
/// Weight of one answer or load report in the moving averages of its service.
const SERVICE_EWMA_WEIGHT: f64 = 0.02;

/// Routing state of one node, shared by its worker threads.
#[derive(Debug)]
pub struct RouterState {
    pub(super) locality: NodeLocality,
    pub(super) options: RoutingOptions,
    pub(super) table: Arc<RoutingTable>,
    ingress_count: usize,
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    pub(super) upstream_stats: BTreeMap<NodeId, UpstreamStats>,
    /// Number of the attempt that was started last.
    last_attempt: u64,
    pub(super) probes: ProbeCounts,
    /// What backend servers stated about themselves.
    known_statements: KnownStatements,
    /// Time of the last idempotent call of each service.
    pub(super) last_idempotent_call: BTreeMap<ServiceName, Duration>,
    pub(super) refused_ranks: RefusedRankReports,
    /// Shares of calls that are offered to other zones first; `None` if that is off.
    pub(super) balancer: Option<ZoneBalancer>,
    /// Probes that zone balancing has requested.
    pub(super) due_zone_probes: Vec<ProbeTarget>,
}

/// Subset and mean values of a service that this node calls.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) tiers: Vec<TierMembers>,
    /// Other regions that calls have been restricted to.
    required_regions: BTreeSet<RegionName>,
    pub(super) means: ServiceMeans,
}

impl RouterState {
    /// Creates a router with an empty routing table.
    pub fn new(locality: NodeLocality, options: RoutingOptions) -> Self {
        Self {
            locality,
            options,
            table: Arc::default(),
            ingress_count: 1,
            services: BTreeMap::new(),
            upstream_stats: BTreeMap::new(),
            last_attempt: 0,
            probes: ProbeCounts::default(),
            known_statements: KnownStatements::default(),
            last_idempotent_call: BTreeMap::new(),
            refused_ranks: RefusedRankReports::default(),
            balancer: None,
            due_zone_probes: Vec::new(),
        }
    }

    /// Replaces the routing table and updates the subsets of the called services.
    pub fn apply_table(&mut self, now: Duration, table: &Arc<RoutingTable>) {
        let old_table = std::mem::replace(&mut self.table, Arc::clone(table));
        self.ingress_count = count_nodes(table).max(1);
        let mut services = std::mem::take(&mut self.services);
        services.retain(|service, state| {
            let Some(entry) = table.services.get(service) else {
                return false;
            };
            let required = &state.required_regions;
            state.tiers = select_subset(&self.locality, &self.options, service, entry, required);
            self.update_stats(now, entry, &state.tiers, old_table.services.get(service));
            true
        });
        self.services = services;
        if let Some(balancer) = &mut self.balancer {
            balancer.retain_services(|service| table.services.contains_key(service));
        }
        self.drop_unused_stats();
    }

    /// Selects the upstream for an idempotent attempt with a small body; see
    /// [`Self::select_upstream`].
    ///
    /// # Errors
    ///
    /// Those of [`Self::select_upstream`].
    pub fn select_upstream_for_idempotent(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        service: &ServiceName,
        tried_nodes: &BTreeSet<NodeId>,
    ) -> Result<RouteChoice, ErrorKind> {
        let request = RouteRequest {
            service,
            is_idempotent: true,
            has_large_body: false,
            tried_nodes,
            skipped: SkippedUpstreams::None,
        };
        self.select_upstream(now, rng, &request)
    }

    /// Selects the upstream for an attempt and counts the attempt as outstanding
    /// there.
    ///
    /// # Errors
    ///
    /// `NoUpstream` if no upstream outside `tried_nodes` accepts calls, or if the
    /// service has left the table since the request was accepted.
    pub fn select_upstream(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
    ) -> Result<RouteChoice, ErrorKind> {
        self.select_upstream_in(now, rng, request, RegionLimit::default())
    }

    /// Selects the upstream for an attempt among those in allowed regions; see
    /// [`Self::select_upstream`].
    ///
    /// # Errors
    ///
    /// Those of [`Self::select_upstream`]; `NoUpstream` also if no upstream in an allowed
    /// region accepts calls.
    pub fn select_upstream_in(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
        regions: RegionLimit<'_>,
    ) -> Result<RouteChoice, ErrorKind> {
        let service = request.service;
        let table = Arc::clone(&self.table);
        let entry = table.services.get(service).ok_or(ErrorKind::NoUpstream)?;
        self.ensure_service_state(now, service, entry);
        self.require_regions(now, service, entry, regions);
        if request.is_idempotent {
            self.last_idempotent_call.insert(service.clone(), now);
        }
        let (candidates, reason) = self.score_candidates(now, rng, request, regions)?;
        let best = candidates
            .iter()
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .ok_or(ErrorKind::NoUpstream)?;
        let upstream = entry
            .upstreams
            .get(&best.node)
            .ok_or(ErrorKind::NoUpstream)?;
        let node = upstream.node.clone();
        let reason = self.refine_reason(reason, &node);
        let attempt = self.start_attempt(now, &node);
        self.request_probes(&candidates);
        Ok(RouteChoice {
            attempt,
            node,
            incarnation: upstream.incarnation,
            peer_address: upstream.peer_address,
            candidates,
            reason,
        })
    }

    /// Selects the upstream of a given node without scoring it, and counts the
    /// attempt as outstanding there.
    ///
    /// # Errors
    ///
    /// `NoUpstream` if the service no longer has an upstream on that node.
    pub fn select_node(
        &mut self,
        now: Duration,
        service: &ServiceName,
        node: &NodeId,
    ) -> Result<RouteChoice, ErrorKind> {
        let table = Arc::clone(&self.table);
        let entry = table.services.get(service);
        let upstream = entry.and_then(|entry| entry.upstreams.get(node));
        let upstream = upstream.ok_or(ErrorKind::NoUpstream)?;
        Ok(RouteChoice {
            attempt: self.start_attempt(now, node),
            node: node.clone(),
            incarnation: upstream.incarnation,
            peer_address: upstream.peer_address,
            candidates: Vec::new(),
            reason: RouteReason::ShortestQueue,
        })
    }

    /// Whether an idempotent call that has tried some nodes could go to another upstream in an
    /// allowed region.
    pub fn has_alternative(
        &self,
        now: Duration,
        service: &ServiceName,
        tried_nodes: &BTreeSet<NodeId>,
        regions: RegionLimit<'_>,
    ) -> bool {
        let accepts_calls = |other: &NodeId| {
            let stats = self.upstream_stats.get(other);
            !tried_nodes.contains(other)
                && !stats.is_some_and(|stats| stats.is_excluded(now, true))
                && self.is_allowed(service, other, regions)
        };
        self.services.get(service).is_some_and(|state| {
            let mut nodes = state.tiers.iter().flat_map(|tier| &tier.nodes);
            nodes.any(accepts_calls)
        })
    }

    /// Records the load report of an answer, a refusal or a probe reply.
    pub fn record_report(&mut self, now: Duration, node: &NodeId, report: LoadReport) {
        let Some(stats) = self.upstream_stats.get_mut(node) else {
            return;
        };
        stats.record_report(now, report);
        let calls_per_slot = stats.other_ingress_calls_per_slot();
        for state in self.services.values_mut() {
            if state.tiers.iter().any(|tier| tier.nodes.contains(node)) {
                state.means.other_ingress_calls_per_slot += SERVICE_EWMA_WEIGHT
                    * (calls_per_slot - state.means.other_ingress_calls_per_slot);
            }
        }
    }

    /// Records what a gate reports of its backend server's statements; `None` if there
    /// is nothing to remember of it.
    pub fn record_statement(
        &mut self,
        node: &NodeId,
        gate: NodeIncarnation,
        reported: Option<KnownStatement>,
    ) {
        match reported {
            Some(reported) => self.known_statements.record(node, reported),
            None => self.known_statements.record_none(node, gate),
        }
    }

    /// Last statement of the backend server of a node, for a gate that has restarted.
    pub fn known_statement(&self, node: &NodeId) -> Option<KnownStatement> {
        self.known_statements.get(node)
    }

    /// Whether the regions allow the service's upstream on this node.
    pub fn is_allowed(
        &self,
        service: &ServiceName,
        node: &NodeId,
        regions: RegionLimit<'_>,
    ) -> bool {
        let entry = self.table.services.get(service);
        let upstream = entry.and_then(|entry| entry.upstreams.get(node));
        upstream.is_some_and(|upstream| regions.allows(upstream))
    }

    /// Whether the backend server of the service's upstream said that it leaves.
    pub(super) fn is_leaving(&self, service: &ServiceName, node: &NodeId) -> bool {
        let Some(known) = self.known_statements.get(node) else {
            return false;
        };
        let entry = self.table.services.get(service);
        let upstream = entry.and_then(|entry| entry.upstreams.get(node));
        known.is_leaving && upstream.is_some_and(|upstream| upstream.backend == known.backend)
    }

    /// Upstreams whose named rate is used up, with the time until their next start.
    pub fn used_up_upstreams(
        &self,
        now: Duration,
        service: &ServiceName,
        tried_nodes: &BTreeSet<NodeId>,
    ) -> Vec<(NodeId, Duration)> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let nodes = state.tiers.iter().flat_map(|tier| &tier.nodes);
        nodes
            .filter(|node| !tried_nodes.contains(*node) && !self.is_leaving(service, node))
            .filter_map(|node| {
                let stats = self.upstream_stats.get(node)?;
                let is_usable = !stats.is_excluded(now, false) && stats.is_rate_used_up(now);
                is_usable.then(|| (node.clone(), stats.time_to_start(now)))
            })
            .collect()
    }

    /// Records that the gate of `node` accepts no new calls.
    pub fn mark_draining(&mut self, now: Duration, node: &NodeId) {
        if let Some(stats) = self.upstream_stats.get_mut(node) {
            stats.mark_draining(now, DRAIN_BACKOFF);
        }
    }

    /// Ends an attempt. Has no effect if the attempt has ended before.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        service: &ServiceName,
        node: &NodeId,
        attempt: AttemptNumber,
        result: AttemptResult,
    ) {
        let is_capacity_refusal = matches!(
            result,
            AttemptResult::Refused(ErrorKind::Overloaded | ErrorKind::WaitTooLong)
        );
        self.record_zone_offer(service, node, is_capacity_refusal);
        let Some(stats) = self.upstream_stats.get_mut(node) else {
            return;
        };
        let answer_latency = stats.finish_attempt(now, attempt, result, &self.options);
        let state = self.services.get_mut(service);
        if let (Some(latency), Some(state)) = (answer_latency, state) {
            let sample_us = latency.as_secs_f64() * 1e6;
            state.means.latency_us += SERVICE_EWMA_WEIGHT * (sample_us - state.means.latency_us);
        }
    }

    /// Returns the targets of the load probes to send now.
    ///
    /// A probe is due if a selection met a load report too old to score by and
    /// no call has brought a newer one since. The token bucket of the upstream
    /// limits its probes; the rate is divided evenly among the ingresses.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<ProbeTarget> {
        let mut targets = std::mem::take(&mut self.due_zone_probes);
        for (service, state) in &self.services {
            let Some(entry) = self.table.services.get(service) else {
                continue;
            };
            let rate = entry.rule.probes_per_second / self.ingress_count as f64;
            for node in state.tiers.iter().flat_map(|tier| &tier.nodes) {
                let stats = self
                    .upstream_stats
                    .get_mut(node)
                    .filter(|stats| stats.needs_probe);
                let (Some(stats), Some(upstream)) = (stats, entry.upstreams.get(node)) else {
                    continue;
                };
                stats.needs_probe = false;
                if !stats.probe_bucket.try_take(now, rate) {
                    self.probes.throttled += 1;
                    continue;
                }
                self.probes.sent += 1;
                targets.push(ProbeTarget {
                    node: node.clone(),
                    peer_address: upstream.peer_address,
                });
            }
        }
        targets
    }

    /// Load probes sent and throttled since the start.
    pub fn probe_counts(&self) -> ProbeCounts {
        self.probes
    }

    /// Returns the state for the status page and logs.
    pub fn snapshot(&self, now: Duration) -> RouterSnapshot {
        let upstreams = self
            .upstream_stats
            .iter()
            .map(|(node, stats)| self.snapshot_upstream(now, node, stats))
            .collect();
        RouterSnapshot {
            table_version: self.table.version,
            probes: self.probes,
            upstreams,
        }
    }

    fn snapshot_upstream(
        &self,
        now: Duration,
        node: &NodeId,
        stats: &UpstreamStats,
    ) -> UpstreamSnapshot {
        let services: Vec<_> = self
            .services
            .iter()
            .filter(|(_, state)| state.tiers.iter().any(|tier| tier.nodes.contains(node)))
            .collect();
        let means = services
            .first()
            .map_or(INITIAL_MEANS, |(_, state)| state.means);
        UpstreamSnapshot {
            node: node.clone(),
            services: services.iter().map(|(name, _)| (*name).clone()).collect(),
            tier: stats.tier,
            outstanding: stats.outstanding_count(),
            report: stats.report_with_age(now),
            score: stats.score(now, means, &self.options),
            failure_weight: stats.failure_weight(now, &self.options),
            is_avoided: stats.is_avoided(now, true, true),
        }
    }

    /// Whether a service had an idempotent call within [`IDEMPOTENT_CALL_WINDOW`].
    pub(super) fn has_recent_idempotent_call(&self, now: Duration, service: &ServiceName) -> bool {
        let last = self.last_idempotent_call.get(service);
        last.is_some_and(|&last| now.saturating_sub(last) < IDEMPOTENT_CALL_WINDOW)
    }

    /// Adds upstreams of the allowed regions to the subset of a service, if a call is
    /// restricted to them for the first time.
    fn require_regions(
        &mut self,
        now: Duration,
        service: &ServiceName,
        entry: &ServiceEntry,
        regions: RegionLimit<'_>,
    ) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let others = regions.other_regions(&self.locality.region);
        let unknown: Vec<RegionName> = others
            .filter(|region| !state.required_regions.contains(*region))
            .cloned()
            .collect();
        if unknown.is_empty() {
            return;
        }
        state.required_regions.extend(unknown);
        let required = &state.required_regions;
        let tiers = select_subset(&self.locality, &self.options, service, entry, required);
        state.tiers.clone_from(&tiers);
        self.update_stats(now, entry, &tiers, Some(entry));
    }

    fn ensure_service_state(&mut self, now: Duration, service: &ServiceName, entry: &ServiceEntry) {
        if self.services.contains_key(service) {
            return;
        }
        let required_regions = BTreeSet::new();
        let required = &required_regions;
        let tiers = select_subset(&self.locality, &self.options, service, entry, required);
        self.update_stats(now, entry, &tiers, Some(entry));
        let state = ServiceState {
            tiers,
            required_regions,
            means: INITIAL_MEANS,
        };
        self.services.insert(service.clone(), state);
    }

    /// Adds statistics for new members. A member that was not ready in `old_entry`, or
    /// whose backend server has started again, begins its slow start.
    fn update_stats(
        &mut self,
        now: Duration,
        entry: &ServiceEntry,
        tiers: &[TierMembers],
        old_entry: Option<&ServiceEntry>,
    ) {
        for node in tiers.iter().flat_map(|tier| &tier.nodes) {
            let Some(upstream) = entry.upstreams.get(node) else {
                continue;
            };
            let incarnation = upstream.incarnation;
            let tier = tier_of(&self.locality, upstream);
            let slots = upstream.slots.get();
            let was_ready = old_entry
                .and_then(|old| old.upstreams.get(node))
                .is_some_and(|old| {
                    old.state == UpstreamState::Ready && old.backend == upstream.backend
                });
            let joined_at = (!was_ready).then_some(now);
            let stats = self
                .upstream_stats
                .entry(node.clone())
                .or_insert_with(|| UpstreamStats::new(now, incarnation, tier, slots, joined_at));
            stats.slots = slots;
            if stats.incarnation != incarnation || !was_ready {
                stats.reset(now, incarnation);
            }
        }
    }

    fn drop_unused_stats(&mut self) {
        let services = &self.services;
        self.upstream_stats.retain(|node, stats| {
            let mut tiers = services.values().flat_map(|state| &state.tiers);
            stats.outstanding_count() > 0 || tiers.any(|tier| tier.nodes.contains(node))
        });
        self.drop_unused_rank_reports();
    }

    pub(super) fn start_attempt(&mut self, now: Duration, node: &NodeId) -> AttemptNumber {
        self.last_attempt += 1;
        let attempt = AttemptNumber(self.last_attempt);
        if let Some(stats) = self.upstream_stats.get_mut(node) {
            stats.start_attempt(now, attempt);
        }
        attempt
    }

    fn request_probes(&mut self, candidates: &[CandidateScore]) {
        let stale_report_age = self.options.stale_report_age;
        for candidate in candidates {
            let is_stale = candidate
                .report_age
                .is_none_or(|age| age >= stale_report_age);
            let stats = self.upstream_stats.get_mut(&candidate.node);
            if let Some(stats) = stats.filter(|stats| is_stale && stats.outstanding_count() == 0) {
                stats.needs_probe = true;
            }
        }
    }

    fn refine_reason(&self, reason: RouteReason, node: &NodeId) -> RouteReason {
        let keeps_reason = reason != RouteReason::OwnZone && reason != RouteReason::SpillToRegion;
        if keeps_reason {
            return reason;
        }
        let tier = self.upstream_stats.get(node).map(|stats| stats.tier);
        match tier {
            _ if *node == self.locality.node => RouteReason::OwnNode,
            Some(LocalityTier::OwnZone) => RouteReason::OwnZone,
            _ => reason,
        }
    }
}

/// Mean values of a service before its first answer.
const INITIAL_MEANS: ServiceMeans = ServiceMeans {
    latency_us: INITIAL_LATENCY_US,
    other_ingress_calls_per_slot: 0.0,
};

fn count_nodes(table: &RoutingTable) -> usize {
    let services = table.services.values();
    let nodes: BTreeSet<_> = services.flat_map(|entry| entry.upstreams.keys()).collect();
    nodes.len()
}
