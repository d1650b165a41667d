//! Chooses the gate that a call is offered to next.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::{CallDriver, GateOffer};
use crate::error::ErrorKind;
use crate::ids::NodeId;
use crate::ingress::attempt::AttemptError;
use crate::ingress::lock;
use crate::ingress::placing::{GateEstimate, SearchStep};
use crate::link::pool::GateTarget;
use crate::routing::{ProbeTarget, RouteChoice, RouteReason, RouteRequest, SkippedUpstreams};
use crate::zone_balancing::{CallClass, OTHER_ZONE_OCCUPANCY_PERCENT};

/// Offers whose sequence numbers fit beside the call's own.
pub const MAX_OFFERS: u32 = 15;
/// Occupancy up to which a gate starts a call that is offered for an immediate
/// start. Backend servers of the users slow down above four fifths of their
/// slots.
pub const IMMEDIATE_OFFER_OCCUPANCY_PERCENT: u32 = 80;
/// Shortest `Retry-After` under load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Upper bound of the random factor that spreads the retries of refused calls.
const MAX_RETRY_AFTER_FACTOR: f64 = 1.5;

impl CallDriver {
    /// Takes the next step of the search for a gate.
    pub(super) fn next_offer(&mut self) -> Result<GateOffer, AttemptError> {
        if self.offer_count + 1 >= MAX_OFFERS {
            return Err(AttemptError::not_run(ErrorKind::Overloaded));
        }
        if let Some(fingerprint) = self.suspect_fingerprint() {
            return self.trial_offer(fingerprint);
        }
        loop {
            let time_budget = self.time_budget();
            let mut is_last_resort = false;
            let (choice, max_occupancy_percent) = match self.search.next_step(time_budget) {
                SearchStep::OfferImmediate => {
                    if let Some(choice) = self.choose_other_zone() {
                        (choice, OTHER_ZONE_OCCUPANCY_PERCENT)
                    } else {
                        match self.choose_upstream(SkippedUpstreams::UsedUp) {
                            Ok(choice) => {
                                let max_percent = self.max_occupancy_percent(&choice);
                                (choice, max_percent)
                            }
                            Err(ErrorKind::NoUpstream)
                                if self.add_used_up_gates() || !self.tried_nodes.is_empty() =>
                            {
                                self.search.on_no_more_gates();
                                continue;
                            }
                            Err(kind) => return Err(AttemptError::not_run(kind)),
                        }
                    }
                }
                SearchStep::OfferQueueable => {
                    let choice = self
                        .choose_upstream(SkippedUpstreams::None)
                        .map_err(AttemptError::not_run)?;
                    (choice, 0)
                }
                SearchStep::JoinQueue(node) => match self.choose_node(&node) {
                    Ok(choice) => (choice, 0),
                    Err(kind) => return Err(AttemptError::not_run(kind)),
                },
                SearchStep::Refuse { retry_after } => {
                    let choice = self.choose_stopping_gate();
                    is_last_resort = true;
                    (choice.ok_or_else(|| self.overload_refusal(retry_after))?, 0)
                }
            };
            self.offer_count += 1;
            self.tried_nodes.insert(choice.node.clone());
            return Ok(GateOffer {
                choice,
                max_occupancy_percent,
                is_hedge: false,
                is_last_resort,
            });
        }
    }

    /// Chooses a gate that refused the call because of its planned stop. A node that stops
    /// itself has promised its caller more than the gate of another can hold.
    fn choose_stopping_gate(&mut self) -> Option<RouteChoice> {
        if self.worker.shared.stop_times().is_some() {
            return None;
        }
        let node = self.search.take_stopping_gate()?;
        self.choose_node(&node).ok()
    }

    /// Occupancy up to which the gate may start the call; 0 if the gate may
    /// queue it, as a large body may wait in its own zone.
    fn max_occupancy_percent(&self, choice: &RouteChoice) -> u32 {
        let is_near = matches!(choice.reason, RouteReason::OwnNode | RouteReason::OwnZone);
        if self.request.has_large_body && is_near {
            0
        } else {
            IMMEDIATE_OFFER_OCCUPANCY_PERCENT
        }
    }

    /// Refusal of a call that no gate can serve in time. `Retry-After` is
    /// randomized, so that calls refused together are not retried together.
    fn overload_refusal(&self, retry_after: Duration) -> AttemptError {
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let factor = self
            .worker
            .rng
            .borrow_mut()
            .random_range(1.0..MAX_RETRY_AFTER_FACTOR);
        AttemptError {
            retry_after: Some(retry_after.mul_f64(factor)),
            ..AttemptError::not_run(ErrorKind::WaitTooLong)
        }
    }

    pub(super) fn choose_node(&self, node: &NodeId) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let service = &self.request.service;
        let mut router = lock(&self.worker.shared.router);
        let choice = if router.is_allowed(service, node, self.request.region_limit()) {
            router.select_node(now, service, node)
        } else {
            Err(ErrorKind::NoUpstream)
        };
        drop(router);
        self.log_choice(&choice);
        choice
    }

    /// Adds the gates whose rate is known to be used up to the search; false if there
    /// are none.
    ///
    /// Only the gate knows who else waits there, so that the call may join its queue
    /// whenever its next start is early enough.
    fn add_used_up_gates(&mut self) -> bool {
        let shared = &self.worker.shared;
        let (service, regions) = (&self.request.service, self.request.region_limit());
        let router = lock(&shared.router);
        let mut gates = router.used_up_upstreams(shared.now(), service, &self.tried_nodes);
        gates.retain(|(node, _)| router.is_allowed(service, node, regions));
        drop(router);
        let class = self.request.class();
        let latency = lock(&shared.latencies).usual_latency(&class, self.target_left());
        for (node, time_to_slot) in &gates {
            let estimate = GateEstimate {
                time_to_slot: *time_to_slot,
                time_to_response: *time_to_slot + latency,
                admits_past_target: true,
            };
            self.search.on_rate_used_up(node.clone(), estimate);
        }
        !gates.is_empty()
    }

    pub(super) fn choose_upstream(
        &self,
        skipped: SkippedUpstreams,
    ) -> Result<RouteChoice, ErrorKind> {
        let now = self.worker.shared.now();
        let mut rng = self.worker.rng.borrow_mut();
        let mut router = lock(&self.worker.shared.router);
        let route_request = RouteRequest {
            service: &self.request.service,
            is_idempotent: self.request.is_idempotent,
            has_large_body: self.request.has_large_body,
            tried_nodes: &self.tried_nodes,
            skipped,
        };
        let regions = self.request.region_limit();
        let choice = router.select_upstream_in(now, &mut *rng, &route_request, regions);
        let probes = router.take_due_probes(now);
        drop(router);
        self.log_choice(&choice);
        for probe_order in probes {
            self.send_probe(probe_order);
        }
        choice
    }

    /// Chooses a gate of another zone if the call belongs to the share that is offered
    /// there first; only the first offer of a call does.
    fn choose_other_zone(&self) -> Option<RouteChoice> {
        let shared = &self.worker.shared;
        if self.offer_count > 0 || !lock(&shared.router).balances_zones() {
            return None;
        }
        let now = shared.now();
        let target_left = self.target_left();
        let class = CallClass {
            objective: self.request.target_latency,
            target_left,
            run_time: lock(&shared.latencies).usual_latency(&self.request.class(), target_left),
            has_large_body: self.request.has_large_body,
        };
        let route_request = RouteRequest {
            service: &self.request.service,
            is_idempotent: self.request.is_idempotent,
            has_large_body: self.request.has_large_body,
            tried_nodes: &self.tried_nodes,
            skipped: SkippedUpstreams::UsedUp,
        };
        let regions = self.request.region_limit();
        let mut rng = self.worker.rng.borrow_mut();
        let mut router = lock(&shared.router);
        let choice = router.select_other_zone(now, &mut *rng, &route_request, &class, regions);
        drop(router);
        let choice = Ok(choice?);
        self.log_choice(&choice);
        choice.ok()
    }

    fn send_probe(&self, probe_order: ProbeTarget) {
        log::info!(target: "routing", upstream:% = probe_order.node; "load probe sent");
        let worker = Rc::clone(&self.worker);
        let target = GateTarget {
            node: probe_order.node,
            address: probe_order.peer_address,
        };
        ntex::rt::spawn(async move {
            // An upstream that can't be probed keeps its last load report.
            let _ = worker.pool.probe(&target).await;
        });
    }
}
