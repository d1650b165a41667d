//! The gate that a call is offered to next.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::{CallDriver, PlacedCall};
use crate::error::ErrorKind;
use crate::ids::NodeId;
use crate::ingress::attempt::AttemptEnd;
use crate::ingress::lock;
use crate::ingress::placing::{CallTimes, PlacementStep};
use crate::link::pool::GateTarget;
use crate::routing::{ProbeTarget, RouteChoice, RouteReason, RouteRequest};

/// Placements whose number fits beside the call's own.
pub(super) const MAX_PLACEMENTS: u32 = 15;
/// Occupancy up to which a gate that is asked starts a call. Backend servers of
/// the users slow down above four fifths of their slots.
const EASY_PERCENT: u32 = 80;
/// Shortest `Retry-After` under load.
const SHORTEST_RETRY: Duration = Duration::from_millis(10);
/// Factor up to which the return of refused calls is spread.
const RETRY_SPREAD: f64 = 1.5;

impl CallDriver {
    /// Takes the next step of the search for a gate.
    pub(super) fn place(&mut self) -> Result<PlacedCall, AttemptEnd> {
        if self.placements + 1 >= MAX_PLACEMENTS {
            return Err(AttemptEnd::not_run(ErrorKind::Overloaded));
        }
        loop {
            let times = CallTimes {
                target_left: self.target_left(),
                time_left: self.time_left(),
            };
            let (choice, ask_percent) = match self.search.next(times) {
                PlacementStep::Ask => match self.choose() {
                    Ok(choice) => {
                        let percent = self.ask_percent(&choice);
                        (choice, percent)
                    }
                    Err(ErrorKind::NoUpstream) if !self.tried.is_empty() => {
                        self.search.on_exhausted();
                        continue;
                    }
                    Err(kind) => return Err(AttemptEnd::not_run(kind)),
                },
                PlacementStep::Offer => {
                    let choice = self.choose().map_err(AttemptEnd::not_run)?;
                    (choice, 0)
                }
                PlacementStep::Join(node) => match self.choose_node(&node) {
                    Ok(choice) => (choice, 0),
                    Err(kind) => return Err(AttemptEnd::not_run(kind)),
                },
                PlacementStep::Refuse { retry_after } => {
                    return Err(self.refusal(retry_after));
                }
            };
            self.placements += 1;
            self.tried.insert(choice.node.clone());
            return Ok(PlacedCall {
                choice,
                ask_percent,
            });
        }
    }

    /// Share of its slots up to which a gate that is asked starts the call; 0 if
    /// the gate may queue it, as a large body may wait in its own zone.
    fn ask_percent(&self, choice: &RouteChoice) -> u32 {
        let is_near = matches!(choice.reason, RouteReason::OwnNode | RouteReason::OwnZone);
        if self.facts.has_large_body && is_near {
            0
        } else {
            EASY_PERCENT
        }
    }

    /// Refusal of a call that no gate can serve in time. Calls that are
    /// refused together come back spread over a while.
    fn refusal(&self, retry_after: Duration) -> AttemptEnd {
        let retry_after = retry_after.max(SHORTEST_RETRY);
        let spread = self.worker.rng.borrow_mut().random_range(1.0..RETRY_SPREAD);
        AttemptEnd {
            retry_after: Some(retry_after.mul_f64(spread)),
            ..AttemptEnd::not_run(ErrorKind::WaitTooLong)
        }
    }

    fn choose_node(&self, node: &NodeId) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let mut router = lock(&self.worker.shared.router);
        let choice = router.select_node(now, &self.facts.service, node);
        drop(router);
        self.log_choice(&choice);
        choice
    }

    pub(super) fn choose(&self) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let mut rng = self.worker.rng.borrow_mut();
        let mut router = lock(&self.worker.shared.router);
        let request = RouteRequest {
            service: &self.facts.service,
            is_idempotent: self.facts.is_idempotent,
            has_large_body: self.facts.has_large_body,
            tried_nodes: &self.tried,
        };
        let choice = router.select_upstream(now, &mut *rng, &request);
        let probes = router.take_due_probes(now);
        drop(router);
        self.log_choice(&choice);
        for order in probes {
            self.send_probe(order);
        }
        choice
    }

    fn send_probe(&self, order: ProbeTarget) {
        log::info!(target: "routing", upstream:% = order.node; "load probe sent");
        let worker = Rc::clone(&self.worker);
        let target = GateTarget {
            node: order.node,
            address: order.peer_address,
        };
        ntex::rt::spawn(async move {
            // An upstream that can't be probed keeps its old report.
            let _ = worker.pool.probe(&target).await;
        });
    }
}
