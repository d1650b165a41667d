//! Where a call is placed next, by what the gates have said so far.
//!
//! Load that moves in milliseconds makes every remembered report history. A
//! refusal by a gate costs a message each way and reaches no backend server,
//! so a call first asks a few gates whether it can start at once at the usual
//! speed. If none lets it in, their refusals tell how soon each expects to
//! answer, all of them fresh, and the call joins the queue of the best one, if
//! that is in time. Otherwise it is refused there and then, with the time
//! after which the first of them expects to have room.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;

/// Queues that a call tries to join.
const MAX_QUEUE_JOINS: u32 = 2;

/// What a gate expected when it refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateEstimate {
    /// Time until a slot would be free.
    pub time_to_slot: Duration,
    /// Time until the answer.
    pub time_to_response: Duration,
    /// Whether its slots suffice for all calls that it has and one more, which
    /// then waits for the end of a burst at most.
    pub has_spare_slot: bool,
}

/// Time that a call has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeBudget {
    /// Until its target latency.
    pub target_left: Duration,
    /// Until its time limit.
    pub time_left: Duration,
}

/// Next step of a placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask another gate to start the call at once.
    OfferImmediate,
    /// Offer the call to any gate, which may queue it.
    OfferQueueable,
    /// Join the queue of this gate.
    JoinQueue(NodeId),
    /// Refuse the call; it could be served after this time at the earliest.
    Refuse {
        /// When there may be room.
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
}

impl GateSearch {
    /// Search that asks so many gates; with none the first gate may queue.
    pub fn new(max_immediate_offers: u32) -> Self {
        Self {
            immediate_offers_left: max_immediate_offers,
            uses_immediate_offers: max_immediate_offers > 0,
            join_count: 0,
            estimates: BTreeMap::new(),
        }
    }

    /// Takes note that there is no further gate to ask.
    pub fn on_no_more_gates(&mut self) {
        self.immediate_offers_left = 0;
    }

    /// Takes note of a gate's refusal; one without outlook is out of the search.
    pub fn on_refused(&mut self, node: &NodeId, estimate: Option<GateEstimate>) {
        match estimate {
            Some(estimate) => self.estimates.insert(node.clone(), estimate),
            None => self.estimates.remove(node),
        };
    }

    /// Starts over after an attempt that reached a backend server.
    pub fn restart(&mut self, max_immediate_offers: u32) {
        if self.uses_immediate_offers {
            *self = Self::new(max_immediate_offers);
        }
    }

    /// Next step.
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
            retry_after: slot_times.min().unwrap_or_default(),
        }
    }
}

/// Whether a gate's queue is worth joining: to meet the target, or to take a
/// slot that is free though it is not a fast one.
fn is_worth_joining(estimate: GateEstimate, time_budget: CallTimeBudget) -> bool {
    estimate.time_to_response <= time_budget.target_left
        || (estimate.has_spare_slot && estimate.time_to_response <= time_budget.time_left)
}

#[cfg(test)]
mod tests;
