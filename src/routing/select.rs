//! Candidates of a selection: random members of the subset, nearest tier first.
//!
//! A farther tier is considered only if no candidate so far scores well enough,
//! and other regions only if there is no candidate yet. Members that refused or
//! failed recently are considered only if there are no others. If every member is
//! excluded for its failures, one of them is tested nevertheless: a service whose
//! upstreams all look bad may work again, and it must not be refused unseen.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::router::{RouterState, ServiceState};
use super::upstream::{IDLE_SCORE, UpstreamStats};
use super::{
    CandidateScore, LocalityTier, RegionLimit, RouteReason, RouteRequest, SkippedUpstreams,
};
use crate::error::ErrorKind;
use crate::ids::NodeId;

/// Members of one tier that an attempt may go to.
#[derive(Debug)]
pub(super) struct TierCandidates<'a> {
    pub(super) tier: LocalityTier,
    pub(super) preferred: Vec<&'a NodeId>,
    avoided: Vec<&'a NodeId>,
    excluded: Vec<&'a NodeId>,
}

impl RouterState {
    /// Samples and scores the candidates for an attempt.
    pub(super) fn score_candidates(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
        regions: RegionLimit<'_>,
    ) -> Result<(Vec<CandidateScore>, RouteReason), ErrorKind> {
        let state = self.services.get(request.service);
        let state = state.ok_or(ErrorKind::NoUpstream)?;
        let tiers = self.partition_tiers(now, state, request, regions);
        let mut candidates = Vec::new();
        for group in &tiers {
            let is_far = group.tier == LocalityTier::OtherRegion;
            if is_far && !candidates.is_empty() {
                break;
            }
            self.sample_tier(
                now,
                rng,
                state,
                group.tier,
                &group.preferred,
                &mut candidates,
            );
            let stays_in_zone = request.has_large_body && group.tier == LocalityTier::OwnZone;
            if self.has_acceptable_candidate(&candidates)
                || (stays_in_zone && !candidates.is_empty())
            {
                return Ok((candidates, reason_for(group.tier)));
            }
        }
        if let Some(reason) = self.farthest_tier_reason(&candidates) {
            return Ok((candidates, reason));
        }
        for group in &tiers {
            self.sample_tier(now, rng, state, group.tier, &group.avoided, &mut candidates);
        }
        if candidates.is_empty() {
            for group in &tiers {
                self.sample_tier(
                    now,
                    rng,
                    state,
                    group.tier,
                    &group.excluded,
                    &mut candidates,
                );
            }
        }
        if candidates.is_empty() {
            return Err(ErrorKind::NoUpstream);
        }
        Ok((candidates, RouteReason::LastResort))
    }

    pub(super) fn partition_tiers<'a>(
        &self,
        now: Duration,
        state: &'a ServiceState,
        request: &RouteRequest<'_>,
        regions: RegionLimit<'_>,
    ) -> Vec<TierCandidates<'a>> {
        let is_idempotent = request.is_idempotent;
        let has_recent_idempotent = self.has_recent_idempotent_call(now, request.service);
        let is_avoided =
            |stats: &UpstreamStats| stats.is_avoided(now, is_idempotent, has_recent_idempotent);
        let mut tiers = Vec::new();
        for members in &state.tiers {
            let mut group = TierCandidates {
                tier: members.tier,
                preferred: Vec::new(),
                avoided: Vec::new(),
                excluded: Vec::new(),
            };
            let untried_nodes = members
                .nodes
                .iter()
                .filter(|node| !request.tried_nodes.contains(*node));
            let usable_nodes = untried_nodes.filter(|node| {
                !self.is_leaving(request.service, node)
                    && self.is_allowed(request.service, node, regions)
            });
            for node in usable_nodes {
                let is_skipped = |stats: &UpstreamStats| match request.skipped {
                    SkippedUpstreams::None => false,
                    SkippedUpstreams::UsedUp => stats.is_rate_used_up(now),
                    SkippedUpstreams::Limited => stats.is_limited(),
                };
                match self.upstream_stats.get(node) {
                    Some(stats) if is_skipped(stats) => {}
                    Some(stats) if stats.is_excluded(now, is_idempotent) => {
                        group
                            .excluded
                            .extend(stats.may_test_excluded().then_some(node));
                    }
                    Some(stats) if is_avoided(stats) => group.avoided.push(node),
                    _ => group.preferred.push(node),
                }
            }
            tiers.push(group);
        }
        tiers
    }

    pub(super) fn sample_tier(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        state: &ServiceState,
        tier: LocalityTier,
        nodes: &[&NodeId],
        candidates: &mut Vec<CandidateScore>,
    ) {
        for node in nodes.choose_multiple(rng, self.options.candidates_per_tier) {
            let Some(stats) = self.upstream_stats.get(*node) else {
                continue;
            };
            let penalty = match tier {
                LocalityTier::OwnZone => 1.0,
                _ => self.options.cross_zone_penalty,
            };
            candidates.push(CandidateScore {
                node: (*node).clone(),
                score: stats.score(now, state.means, &self.options) * penalty,
                report_age: stats.report_with_age(now).map(|(_, age)| age),
                outstanding: stats.outstanding_count(),
            });
        }
    }

    /// Whether a candidate scores well enough that farther tiers are not considered.
    fn has_acceptable_candidate(&self, candidates: &[CandidateScore]) -> bool {
        let max_score = IDLE_SCORE + self.options.spillover_threshold;
        candidates
            .iter()
            .any(|candidate| candidate.score <= max_score)
    }

    fn farthest_tier_reason(&self, candidates: &[CandidateScore]) -> Option<RouteReason> {
        let last = candidates.last()?;
        self.upstream_stats
            .get(&last.node)
            .map(|stats| reason_for(stats.tier))
    }
}

fn reason_for(tier: LocalityTier) -> RouteReason {
    match tier {
        LocalityTier::OwnZone => RouteReason::OwnZone,
        LocalityTier::OwnRegion => RouteReason::SpillToRegion,
        LocalityTier::OtherRegion => RouteReason::SpillToOtherRegion,
    }
}
