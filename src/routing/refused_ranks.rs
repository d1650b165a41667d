//! Ranks that the gates of a subset refuse at present.
//!
//! Answers the load of a fleet over capacity: work of a low rank that every gate refuses
//! costs a message each way per gate. An ingress refuses it at once, as long as each
//! gate that it may offer a call to has reported lately that it refuses the rank. Without
//! calls there are no reports, and the next call of the rank asks the gates again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::RefusedRanks;
use crate::ids::{NodeId, ServiceName};

use super::router::RouterState;

/// Age up to which a report counts: a gate with nine slots and runs of 100 ms has started
/// as many calls again by then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct RankReport {
    received_at: Duration,
    refused: RefusedRanks,
}

impl RankReport {
    /// Time until capacity for the rank is expected; `None` if the gate may admit it.
    fn time_to_capacity(&self, now: Duration, rank: u32) -> Option<Duration> {
        let opens_at = self.received_at + self.refused.opens_in;
        let is_fresh = now.saturating_sub(self.received_at) < MAX_REPORT_AGE;
        let is_refused = is_fresh && rank >= self.refused.first_refused_rank && now < opens_at;
        is_refused.then(|| opens_at - now)
    }
}

/// Refusal of a rank by all gates of a subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankRefusal {
    /// Time until the first of the gates expects capacity for the rank.
    pub time_to_capacity: Duration,
    /// Age of the oldest report that says so.
    pub report_age: Duration,
}

/// Last reports of the gates that refuse ranks.
#[derive(Debug, Default)]
pub(super) struct RefusedRankReports {
    by_node: BTreeMap<NodeId, RankReport>,
}

impl RouterState {
    /// Records which ranks a gate refuses, by its last load report; `None` if it refuses
    /// none.
    pub fn record_refused_ranks(
        &mut self,
        now: Duration,
        node: &NodeId,
        refused: Option<RefusedRanks>,
    ) {
        let reports = &mut self.refused_ranks.by_node;
        match refused {
            Some(refused) => {
                let report = RankReport {
                    received_at: now,
                    refused,
                };
                reports.insert(node.clone(), report);
            }
            None => {
                reports.remove(node);
            }
        }
    }

    /// Refusal of the rank by all gates of the service's subset; `None` if any of them may
    /// admit it now.
    pub fn rank_refusal(
        &self,
        now: Duration,
        service: &ServiceName,
        rank: u32,
    ) -> Option<RankRefusal> {
        let state = self.services.get(service)?;
        let nodes = state.tiers.iter().flat_map(|tier| &tier.nodes);
        let mut refusal: Option<RankRefusal> = None;
        for node in nodes {
            let is_excluded = self
                .upstream_stats
                .get(node)
                .is_none_or(|stats| stats.is_excluded(now, false));
            if is_excluded || self.is_leaving(service, node) {
                continue;
            }
            let report = self.refused_ranks.by_node.get(node)?;
            let time_to_capacity = report.time_to_capacity(now, rank)?;
            let report_age = now.saturating_sub(report.received_at);
            refusal = Some(refusal.map_or(
                RankRefusal {
                    time_to_capacity,
                    report_age,
                },
                |known| RankRefusal {
                    time_to_capacity: known.time_to_capacity.min(time_to_capacity),
                    report_age: known.report_age.max(report_age),
                },
            ));
        }
        refusal
    }

    /// Removes the reports of nodes that the router no longer knows.
    pub(super) fn drop_unused_rank_reports(&mut self) {
        let stats = &self.upstream_stats;
        self.refused_ranks
            .by_node
            .retain(|node, _| stats.contains_key(node));
    }
}

#[cfg(test)]
mod tests;
