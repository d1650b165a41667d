//! Search for the gate that a call is offered to next, by the replies of the
//! gates so far.
//!
//! Load changes within milliseconds, so every stored load report is out of
//! date. A refusal by a gate costs a message each way and reaches no backend
//! server. A call is therefore first offered to a few gates for an immediate
//! start: each starts it at once, at the usual speed, or refuses it. If all
//! refuse, their refusals carry fresh estimates of the time to the response,
//! and the call joins the queue of the gate with the shortest, if that is in
//! time. Otherwise it is refused at once, with the time after which the first
//! of the gates expects a free slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;

/// Queues that a call tries to join, at most.
const MAX_QUEUE_JOINS: u32 = 2;
/// Stopping gates in whose place another is asked, at most.
const MAX_REPLACED_GATES: usize = 4;
/// Retry delay of a call that only stopping gates could have taken.
const STOP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Estimate that a gate sent with its refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateEstimate {
    /// Expected time until a slot is free.
    pub time_to_slot: Duration,
    /// Expected time until the response.
    pub time_to_response: Duration,
    /// Whether the gate queues the call although it would miss its target latency:
    /// the gate has a spare slot, or the call is short beside those that run there.
    pub admits_past_target: bool,
}

/// Time that a call has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeBudget {
    /// Time until its target latency.
    pub target_left: Duration,
    /// Time until its time limit.
    pub time_left: Duration,
}

/// Next step of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Offer the call to another gate, which starts it at once or refuses it.
    OfferImmediate,
    /// Offer the call to any gate, which may queue it.
    OfferQueueable,
    /// Join the queue of this gate.
    JoinQueue(NodeId),
    /// Refuse the call, as no gate can serve it in time.
    Refuse {
        /// Time after which a slot may be free.
        retry_after: Duration,
    },
}

/// Search of one call for a gate.
#[derive(Debug)]
pub struct GateSearch {
    immediate_offers_left: u32,
    uses_immediate_offers: bool,
    join_count: u32,
    estimates: BTreeMap<NodeId, GateEstimate>,
    /// Gates that refused because of their planned stop, and the time until it; `None` once
    /// they were asked to admit the call nevertheless.
    stopping: BTreeMap<NodeId, Option<Duration>>,
}

impl GateSearch {
    /// Search with this number of immediate offers; with 0 the first gate may
    /// queue the call.
    pub fn new(max_immediate_offers: u32) -> Self {
        Self {
            immediate_offers_left: max_immediate_offers,
            uses_immediate_offers: max_immediate_offers > 0,
            join_count: 0,
            estimates: BTreeMap::new(),
            stopping: BTreeMap::new(),
        }
    }

    /// Ends the immediate offers, as no further gate is left.
    pub fn on_no_more_gates(&mut self) {
        self.immediate_offers_left = 0;
    }

    /// Records a gate's refusal; a gate without an estimate leaves the search.
    pub fn on_refused(&mut self, node: &NodeId, estimate: Option<GateEstimate>) {
        match estimate {
            Some(estimate) => self.estimates.insert(node.clone(), estimate),
            None => self.estimates.remove(node),
        };
    }

    /// Records that a gate refused because its zone is evacuated, with all gates of that
    /// zone. They leave the search, and the offer is given back, as it says nothing of the
    /// load.
    pub fn on_zone_evacuated<'a>(&mut self, zone_nodes: impl IntoIterator<Item = &'a NodeId>) {
        for node in zone_nodes {
            self.estimates.remove(node);
        }
        if self.uses_immediate_offers {
            self.immediate_offers_left += 1;
        }
    }

    /// Records that a gate refused because its planned stop could cut the call. Another is
    /// asked in its place.
    pub fn on_stopping(&mut self, node: &NodeId, stops_in: Duration) {
        self.estimates.remove(node);
        if self.stopping.contains_key(node) {
            return;
        }
        self.stopping.insert(node.clone(), Some(stops_in));
        if self.uses_immediate_offers && self.stopping.len() <= MAX_REPLACED_GATES {
            self.immediate_offers_left += 1;
        }
    }

    /// Takes the stopping gate that stops last, for a call that no other gate takes.
    pub fn take_stopping_gate(&mut self) -> Option<NodeId> {
        let taken = self.stopping.values().filter(|stop| stop.is_none()).count();
        let candidates = self
            .stopping
            .iter_mut()
            .filter(|(_, stops_in)| stops_in.is_some() && taken < MAX_QUEUE_JOINS as usize);
        let (node, stops_in) = candidates.max_by_key(|(_, stops_in)| **stops_in)?;
        *stops_in = None;
        Some(node.clone())
    }

    /// Records the estimate for a gate that wasn't asked: its backend server's rate is
    /// known to be used up, so that it would refuse an immediate start.
    pub fn on_rate_used_up(&mut self, node: NodeId, estimate: GateEstimate) {
        self.estimates.entry(node).or_insert(estimate);
    }

    /// Starts over after an attempt that reached a backend server.
    pub fn restart(&mut self, max_immediate_offers: u32) {
        if self.uses_immediate_offers {
            *self = Self::new(max_immediate_offers);
        }
    }

    /// Returns the next step and counts it as taken.
    pub fn next_step(&mut self, time_budget: CallTimeBudget) -> SearchStep {
        if !self.uses_immediate_offers {
            return SearchStep::OfferQueueable;
        }
        if self.immediate_offers_left > 0 {
            self.immediate_offers_left -= 1;
            return SearchStep::OfferImmediate;
        }
        let worth_joining = self
            .estimates
            .iter()
            .filter(|(_, estimate)| is_worth_joining(**estimate, time_budget));
        let best = worth_joining.min_by_key(|(_, estimate)| estimate.time_to_response);
        if let Some((node, _)) = best
            && self.join_count < MAX_QUEUE_JOINS
        {
            let node = node.clone();
            self.join_count += 1;
            self.estimates.remove(&node);
            return SearchStep::JoinQueue(node);
        }
        let slot_times = self
            .estimates
            .values()
            .map(|estimate| estimate.time_to_slot);
        SearchStep::Refuse {
            retry_after: slot_times.min().unwrap_or(if self.stopping.is_empty() {
                Duration::ZERO
            } else {
                STOP_RETRY_AFTER
            }),
        }
    }
}

/// Whether a gate's queue is worth joining: to meet the target latency, or the time
/// limit at a gate that admits the call past its target.
fn is_worth_joining(estimate: GateEstimate, time_budget: CallTimeBudget) -> bool {
    estimate.time_to_response <= time_budget.target_left
        || (estimate.admits_past_target && estimate.time_to_response <= time_budget.time_left)
}

#[cfg(test)]
mod tests;
