//! Connection of zone balancing: loads of zones from the load reports of their
//! upstreams, and the choice of an upstream in the zone that a call is offered to first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::router::{RouterState, ServiceState};
use super::upstream::UpstreamStats;
use super::{LocalityTier, ProbeTarget, RegionLimit, RouteChoice, RouteReason, RouteRequest};
use crate::ids::{NodeId, ServiceName, ZoneName};
use crate::table::ServiceEntry;
use crate::zone_balancing::{
    CallClass, ServiceBalance, ServiceView, ShareRule, ZoneBalancer, ZoneLoad,
};

/// Age at which the weight of one upstream's report in the load of its zone has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Age from which a report of the own zone is not counted.
const MAX_HOME_REPORT_AGE: Duration = Duration::from_secs(2);

/// Load of a zone under construction.
#[derive(Debug, Default)]
struct LoadSum {
    weight: f64,
    slots: f64,
    calls: f64,
    weighted_age: f64,
    upstreams: u32,
}

impl LoadSum {
    fn add(&mut self, now: Duration, stats: &UpstreamStats, max_age: Duration) {
        let Some((report, age)) = stats
            .report_with_age(now)
            .filter(|(_, age)| *age <= max_age)
        else {
            return;
        };
        let weight = (-(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())).exp2();
        // A limited upstream has free slots, but no starts to give away.
        let slots = report
            .start_rate
            .map_or(f64::from(report.limit), |_| f64::from(report.in_flight));
        self.weight += weight;
        self.slots += weight * slots;
        self.calls += weight * (f64::from(report.in_flight) + f64::from(report.queued));
        self.weighted_age += weight * age.as_secs_f64();
        self.upstreams += 1;
    }

    fn load(&self) -> Option<ZoneLoad> {
        if self.weight <= 0.0 {
            return None;
        }
        let scale = f64::from(self.upstreams) / self.weight;
        Some(ZoneLoad {
            slots: self.slots * scale,
            calls: self.calls * scale,
            upstreams: self.upstreams,
            age: Duration::from_secs_f64(self.weighted_age / self.weight),
        })
    }
}

impl RouterState {
    /// Turns zone balancing on.
    #[must_use]
    pub fn with_zone_balancing(mut self, rule: ShareRule) -> Self {
        self.balancer = Some(ZoneBalancer::new(rule));
        self
    }

    /// Whether zone balancing is on.
    pub fn balances_zones(&self) -> bool {
        self.balancer.is_some()
    }

    /// Selects an upstream of another zone that the call is offered to first, and counts
    /// the attempt as outstanding there; `None` if the own zone is asked first.
    pub fn select_other_zone(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
        class: &CallClass,
        regions: RegionLimit<'_>,
    ) -> Option<RouteChoice> {
        let mut balancer = self.balancer.take()?;
        let choice = self.choose_by_shares(now, rng, request, class, regions, &mut balancer);
        self.balancer = Some(balancer);
        choice
    }

    fn choose_by_shares(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
        class: &CallClass,
        regions: RegionLimit<'_>,
        balancer: &mut ZoneBalancer,
    ) -> Option<RouteChoice> {
        let service = request.service;
        let table = Arc::clone(&self.table);
        let entry = table.services.get(service)?;
        let state = self.services.get(service)?;
        if balancer.is_update_due(now, service) {
            let view = self.service_view(now, entry, state);
            balancer.update(now, service, view);
            for zone in balancer.take_due_probes(now, service) {
                self.request_zone_probe(rng, service, entry, &zone);
            }
        }
        let zone = balancer.choose_zone(service, class, rng.random())?;
        let state = self.services.get(service)?;
        let tiers = self.partition_tiers(now, state, request, regions);
        let region = tiers
            .iter()
            .find(|group| group.tier == LocalityTier::OwnRegion)?;
        let in_zone = region.preferred.iter().filter(|node| {
            let upstream = entry.upstreams.get(**node);
            upstream.is_some_and(|upstream| upstream.zone == zone)
        });
        let nodes: Vec<&NodeId> = in_zone.copied().collect();
        let mut candidates = Vec::new();
        self.sample_tier(now, rng, state, region.tier, &nodes, &mut candidates);
        let best = candidates
            .iter()
            .min_by(|a, b| a.score.total_cmp(&b.score))?;
        let upstream = entry.upstreams.get(&best.node)?;
        if request.is_idempotent {
            self.last_idempotent_call.insert(service.clone(), now);
        }
        Some(RouteChoice {
            attempt: self.start_attempt(now, &upstream.node),
            node: upstream.node.clone(),
            incarnation: upstream.incarnation,
            peer_address: upstream.peer_address,
            candidates,
            reason: RouteReason::ZoneShare,
        })
    }

    fn service_view(
        &self,
        now: Duration,
        entry: &ServiceEntry,
        state: &ServiceState,
    ) -> ServiceView {
        let mut home = LoadSum::default();
        let mut zones: BTreeMap<ZoneName, LoadSum> = BTreeMap::new();
        for members in &state.tiers {
            for node in &members.nodes {
                let Some(stats) = self.upstream_stats.get(node) else {
                    continue;
                };
                match members.tier {
                    LocalityTier::OwnZone => home.add(now, stats, MAX_HOME_REPORT_AGE),
                    LocalityTier::OwnRegion if !stats.is_excluded(now, false) => {
                        if let Some(upstream) = entry.upstreams.get(node) {
                            let sum = zones.entry(upstream.zone.clone()).or_default();
                            sum.add(now, stats, Duration::MAX);
                        }
                    }
                    _ => {}
                }
            }
        }
        let zones = zones.into_iter();
        ServiceView {
            home: home.load(),
            zones: zones.map(|(zone, sum)| (zone, sum.load())).collect(),
            run_time: Duration::from_secs_f64(state.means.latency_us.max(1.0) / 1e6),
        }
    }

    /// Requests a load probe of one random upstream in the zone.
    fn request_zone_probe(
        &mut self,
        rng: &mut impl Rng,
        service: &ServiceName,
        entry: &ServiceEntry,
        zone: &ZoneName,
    ) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        let nodes = state.tiers.iter().flat_map(|tier| &tier.nodes);
        let in_zone = nodes.filter_map(|node| {
            let upstream = entry.upstreams.get(node);
            upstream.filter(|upstream| upstream.zone == *zone)
        });
        if let Some(upstream) = in_zone.choose(rng) {
            self.probes.sent += 1;
            self.due_zone_probes.push(ProbeTarget {
                node: upstream.node.clone(),
                peer_address: upstream.peer_address,
            });
        }
    }

    /// Records the time between a ping to a node and its reply.
    pub fn record_round_trip(&mut self, now: Duration, node: &NodeId, round_trip: Duration) {
        let Some(zone) = self.other_zone_of(node) else {
            return;
        };
        if let Some(balancer) = &mut self.balancer {
            balancer.record_round_trip(now, &zone, round_trip);
        }
    }

    /// Load of the own zone for the service whose upstream is on this node; `None` if
    /// there is none, or if zone balancing is off.
    pub fn own_zone_load(&self, now: Duration) -> Option<ZoneLoad> {
        self.balancer.as_ref()?;
        let node = &self.locality.node;
        let mut services = self.services.iter();
        let (service, state) = services.find(|(service, _)| {
            let entry = self.table.services.get(*service);
            entry.is_some_and(|entry| entry.upstreams.contains_key(node))
        })?;
        let entry = self.table.services.get(service)?;
        self.service_view(now, entry, state).home
    }

    /// Records the load of a zone as the node there reported it for its service.
    pub fn record_zone_report(&mut self, now: Duration, node: &NodeId, load: ZoneLoad) {
        let Some(zone) = self.other_zone_of(node) else {
            return;
        };
        let services = self.table.services.iter();
        let service = services
            .filter(|(_, entry)| entry.upstreams.contains_key(node))
            .map(|(service, _)| service)
            .next();
        if let (Some(service), Some(balancer)) = (service, &mut self.balancer) {
            balancer.record_zone_report(now, service, &zone, load);
        }
    }

    /// Records the result of an offer to a gate of another zone.
    pub(super) fn record_zone_offer(
        &mut self,
        service: &ServiceName,
        node: &NodeId,
        is_refused: bool,
    ) {
        if self.balancer.is_none() {
            return;
        }
        let zone = self.other_zone_of(node);
        if let (Some(zone), Some(balancer)) = (zone, &mut self.balancer) {
            balancer.record_offer(service, &zone, is_refused);
        }
    }

    /// Whether a node is known to be in another zone.
    pub fn is_in_other_zone(&self, node: &NodeId) -> bool {
        self.other_zone_of(node).is_some()
    }

    /// Zone of a node in another zone.
    fn other_zone_of(&self, node: &NodeId) -> Option<ZoneName> {
        let mut services = self.table.services.values();
        let upstream = services.find_map(|entry| entry.upstreams.get(node))?;
        let is_other = upstream.zone != self.locality.zone;
        is_other.then(|| upstream.zone.clone())
    }

    /// Shares of all services, for log lines and metrics; empty if zone balancing is off.
    pub fn zone_balances(&self) -> Vec<ServiceBalance> {
        self.balancer
            .as_ref()
            .map_or_else(Vec::new, ZoneBalancer::snapshot)
    }
}

#[cfg(test)]
mod tests;
