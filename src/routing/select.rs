//! Which members of a subset are compared, and in which order of distance.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::router::{RouterState, ServiceView};
use super::upstream::{IDLE_SCORE, UpstreamLoad};
use super::{CandidateScore, PlaceTier, RouteReason, RouteRequest};
use crate::error::ErrorKind;
use crate::ids::NodeId;

/// Members of one tier that may take an attempt.
#[derive(Debug)]
struct OpenTier<'a> {
    tier: PlaceTier,
    free: Vec<&'a NodeId>,
    held: Vec<&'a NodeId>,
}

impl RouterState {
    /// Draws and scores the candidates of one attempt.
    pub(super) fn compare(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        request: &RouteRequest<'_>,
    ) -> Result<(Vec<CandidateScore>, RouteReason), ErrorKind> {
        let view = self.views.get(request.service);
        let view = view.ok_or(ErrorKind::UnknownService)?;
        let tiers = self.open_tiers(now, view, request);
        let mut candidates = Vec::new();
        for open in &tiers {
            let is_far = open.tier == PlaceTier::OtherRegion;
            if is_far && !candidates.is_empty() {
                break;
            }
            self.draw(now, rng, view, open.tier, &open.free, &mut candidates);
            let stays = request.has_large_body && open.tier == PlaceTier::OwnZone;
            if self.is_relaxed(&candidates) || (stays && !candidates.is_empty()) {
                return Ok((candidates, reason_of(open.tier)));
            }
        }
        if let Some(reason) = self.farthest_reason(&candidates) {
            return Ok((candidates, reason));
        }
        for open in &tiers {
            self.draw(now, rng, view, open.tier, &open.held, &mut candidates);
        }
        if candidates.is_empty() {
            return Err(ErrorKind::NoUpstream);
        }
        Ok((candidates, RouteReason::LastResort))
    }

    fn open_tiers<'a>(
        &self,
        now: Duration,
        view: &'a ServiceView,
        request: &RouteRequest<'_>,
    ) -> Vec<OpenTier<'a>> {
        let is_idempotent = request.is_idempotent;
        let has_idempotent = self.has_idempotent(now, request.service);
        let is_held = |it: &UpstreamLoad| it.is_held(now, is_idempotent, has_idempotent);
        let load_of = |node: &NodeId| self.loads.get(node);
        let mut tiers = Vec::new();
        for members in &view.tiers {
            let (held, free) = members
                .nodes
                .iter()
                .filter(|node| !request.tried.contains(*node))
                .filter(|node| !load_of(node).is_some_and(|it| it.is_closed(now, is_idempotent)))
                .partition(|node| load_of(node).is_some_and(is_held));
            tiers.push(OpenTier {
                tier: members.tier,
                free,
                held,
            });
        }
        tiers
    }

    fn draw(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        view: &ServiceView,
        tier: PlaceTier,
        nodes: &[&NodeId],
        candidates: &mut Vec<CandidateScore>,
    ) {
        for node in nodes.choose_multiple(rng, self.options.draws) {
            let Some(load) = self.loads.get(*node) else {
                continue;
            };
            let preference = match tier {
                PlaceTier::OwnZone => 1.0,
                _ => self.options.zone_preference,
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
    fn is_relaxed(&self, candidates: &[CandidateScore]) -> bool {
        let limit = IDLE_SCORE + self.options.spill_pressure;
        candidates.iter().any(|candidate| candidate.score <= limit)
    }

    fn farthest_reason(&self, candidates: &[CandidateScore]) -> Option<RouteReason> {
        let last = candidates.last()?;
        self.loads.get(&last.node).map(|load| reason_of(load.tier))
    }
}

fn reason_of(tier: PlaceTier) -> RouteReason {
    match tier {
        PlaceTier::OwnZone => RouteReason::OwnZone,
        PlaceTier::OwnRegion => RouteReason::SpillToRegion,
        PlaceTier::OtherRegion => RouteReason::SpillToOtherRegion,
    }
}
