//! Which members of a subset are compared, and in which order of distance.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::router::{RouterState, ServiceState};
use super::upstream::{IDLE_SCORE, UpstreamStats};
use super::{CandidateScore, LocalityTier, RouteReason, RouteRequest};
use crate::error::ErrorKind;
use crate::ids::NodeId;

/// Members of one tier that may take an attempt.
#[derive(Debug)]
struct TierCandidates<'a> {
    tier: LocalityTier,
    preferred: Vec<&'a NodeId>,
    avoided: Vec<&'a NodeId>,
}

impl RouterState {
    /// Draws and scores the candidates of one attempt.
    pub(super) fn score_candidates(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
    ) -> Result<(Vec<CandidateScore>, RouteReason), ErrorKind> {
        let view = self.services.get(request.service);
        let view = view.ok_or(ErrorKind::UnknownService)?;
        let tiers = self.partition_tiers(now, view, request);
        let mut candidates = Vec::new();
        for open in &tiers {
            let is_far = open.tier == LocalityTier::OtherRegion;
            if is_far && !candidates.is_empty() {
                break;
            }
            self.sample_tier(now, rng, view, open.tier, &open.preferred, &mut candidates);
            let stays = request.has_large_body && open.tier == LocalityTier::OwnZone;
            if self.has_acceptable_candidate(&candidates) || (stays && !candidates.is_empty()) {
                return Ok((candidates, reason_for(open.tier)));
            }
        }
        if let Some(reason) = self.farthest_tier_reason(&candidates) {
            return Ok((candidates, reason));
        }
        for open in &tiers {
            self.sample_tier(now, rng, view, open.tier, &open.avoided, &mut candidates);
        }
        if candidates.is_empty() {
            return Err(ErrorKind::NoUpstream);
        }
        Ok((candidates, RouteReason::LastResort))
    }

    fn partition_tiers<'a>(
        &self,
        now: Duration,
        view: &'a ServiceState,
        request: &RouteRequest<'_>,
    ) -> Vec<TierCandidates<'a>> {
        let is_idempotent = request.is_idempotent;
        let has_idempotent = self.has_recent_idempotent_call(now, request.service);
        let is_held = |it: &UpstreamStats| it.is_avoided(now, is_idempotent, has_idempotent);
        let load_of = |node: &NodeId| self.upstream_stats.get(node);
        let mut tiers = Vec::new();
        for members in &view.tiers {
            let (held, free) = members
                .nodes
                .iter()
                .filter(|node| !request.tried_nodes.contains(*node))
                .filter(|node| !load_of(node).is_some_and(|it| it.is_excluded(now, is_idempotent)))
                .partition(|node| load_of(node).is_some_and(is_held));
            tiers.push(TierCandidates {
                tier: members.tier,
                preferred: free,
                avoided: held,
            });
        }
        tiers
    }

    fn sample_tier(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        view: &ServiceState,
        tier: LocalityTier,
        nodes: &[&NodeId],
        candidates: &mut Vec<CandidateScore>,
    ) {
        for node in nodes.choose_multiple(rng, self.options.candidates_per_tier) {
            let Some(load) = self.upstream_stats.get(*node) else {
                continue;
            };
            let preference = match tier {
                LocalityTier::OwnZone => 1.0,
                _ => self.options.cross_zone_penalty,
            };
            candidates.push(CandidateScore {
                node: (*node).clone(),
                score: load.score(now, view.means, &self.options) * preference,
                report_age: load.report_with_age(now).map(|(_, age)| age),
                outstanding: load.outstanding_count(),
            });
        }
    }

    /// Whether a candidate is good enough that no farther tier is looked at.
    fn has_acceptable_candidate(&self, candidates: &[CandidateScore]) -> bool {
        let limit = IDLE_SCORE + self.options.spillover_threshold;
        candidates.iter().any(|candidate| candidate.score <= limit)
    }

    fn farthest_tier_reason(&self, candidates: &[CandidateScore]) -> Option<RouteReason> {
        let last = candidates.last()?;
        self.upstream_stats
            .get(&last.node)
            .map(|load| reason_for(load.tier))
    }
}

fn reason_for(tier: LocalityTier) -> RouteReason {
    match tier {
        LocalityTier::OwnZone => RouteReason::OwnZone,
        LocalityTier::OwnRegion => RouteReason::SpillToRegion,
        LocalityTier::OtherRegion => RouteReason::SpillToOtherRegion,
    }
}
