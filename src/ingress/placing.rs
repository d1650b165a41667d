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
const MAX_JOINS: u32 = 2;

/// What a gate expected when it refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateOutlook {
    /// Time until a slot would be free.
    pub wait: Duration,
    /// Time until the answer.
    pub finish: Duration,
    /// Whether its slots suffice for all calls that it has and one more, which
    /// then waits for the end of a burst at most.
    pub has_room: bool,
}

/// Time that a call has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// Until its target latency.
    pub target_left: Duration,
    /// Until its time limit.
    pub time_left: Duration,
}

/// Next step of a placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// Ask another gate to start the call at once.
    Ask,
    /// Offer the call to any gate, which may queue it.
    Offer,
    /// Join the queue of this gate.
    Join(NodeId),
    /// Refuse the call; it could be served after this time at the earliest.
    Refuse {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// Search of one call for a gate.
#[derive(Debug)]
pub struct PlacementSearch {
    asks_left: u32,
    has_asked: bool,
    joins: u32,
    outlooks: BTreeMap<NodeId, GateOutlook>,
}

impl PlacementSearch {
    /// Search that asks so many gates; with none the first gate may queue.
    pub fn new(asks: u32) -> Self {
        Self {
            asks_left: asks,
            has_asked: asks > 0,
            joins: 0,
            outlooks: BTreeMap::new(),
        }
    }

    /// Takes note that there is no further gate to ask.
    pub fn on_exhausted(&mut self) {
        self.asks_left = 0;
    }

    /// Takes note of a gate's refusal; one without outlook is out of the search.
    pub fn on_refused(&mut self, node: &NodeId, outlook: Option<GateOutlook>) {
        match outlook {
            Some(outlook) => self.outlooks.insert(node.clone(), outlook),
            None => self.outlooks.remove(node),
        };
    }

    /// Starts over after an attempt that reached a backend server.
    pub fn restart(&mut self, asks: u32) {
        if self.has_asked {
            *self = Self::new(asks);
        }
    }

    /// Next step.
    pub fn next(&mut self, times: CallTimes) -> PlacementStep {
        if !self.has_asked {
            return PlacementStep::Offer;
        }
        if self.asks_left > 0 {
            self.asks_left -= 1;
            return PlacementStep::Ask;
        }
        let worth_joining = self
            .outlooks
            .iter()
            .filter(|(_, outlook)| is_in_time(**outlook, times));
        let best = worth_joining.min_by_key(|(_, outlook)| outlook.finish);
        if let Some((node, _)) = best
            && self.joins < MAX_JOINS
        {
            let node = node.clone();
            self.joins += 1;
            self.outlooks.remove(&node);
            return PlacementStep::Join(node);
        }
        let waits = self.outlooks.values().map(|outlook| outlook.wait);
        PlacementStep::Refuse {
            retry_after: waits.min().unwrap_or_default(),
        }
    }
}

/// Whether a gate's queue is worth joining: to meet the target, or to take a
/// slot that is free though it is not a fast one.
fn is_in_time(outlook: GateOutlook, times: CallTimes) -> bool {
    outlook.finish <= times.target_left || (outlook.has_room && outlook.finish <= times.time_left)
}

#[cfg(test)]
mod tests;
