//! Trace events: applies them to the simulated nodes and publishes the routing
//! tables that result.
//!
//! Membership messages are not simulated: every node gets a new routing table a
//! fixed time after an announcement or the loss of a node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Ingress, Replay, ReplayEvent};
use crate::decisions::PolicyKind;
use crate::decisions::RoutingPolicy;
use crate::decisions::baseline::BaselinePolicy;
use crate::decisions::upstream::{BackendCondition, SimulatedUpstream};
use crate::ids::{NodeId, TicketNumber};
use crate::retry::{RetryOptions, RetryPolicy};
use crate::routing::{NodeLocality, RouterState};
use crate::table::{RoutingTable, ServiceEntry, UpstreamState};
use crate::trace::{EventKind, UpstreamLine};

/// Time until every node hears of an announcement.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);
/// Time until every node hears that an upstream is lost.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(3);

impl<'a> Replay<'a> {
    pub(super) fn apply_trace_event(&mut self, kind: &'a EventKind) {
        match kind {
            EventKind::Service(line) => {
                self.rules.insert(&line.service, &line.rule);
                self.publish_table();
            }
            EventKind::Upstream(line) => self.add_upstream(line),
            EventKind::Request(line) => self.on_request(line),
            EventKind::Delay(line) => self.network_delays = *line,
            EventKind::Outcome(_) => {}
            EventKind::Speed(line) => {
                self.set_slowdown_factor(&line.node, line.factor);
            }
            EventKind::Drain(line) => {
                self.update_upstream(&line.node, Some(ANNOUNCEMENT_DELAY), |upstream| {
                    upstream.admission.drain();
                    upstream.announced_state = UpstreamState::Draining;
                });
            }
            EventKind::FailFast(line) => self.update_upstream(&line.node, None, |upstream| {
                upstream.condition = BackendCondition::FailingFast;
            }),
            EventKind::Freeze(line) | EventKind::Gone(line) => {
                self.update_upstream(&line.node, Some(FAILURE_DETECTION_DELAY), |upstream| {
                    upstream.condition = BackendCondition::Unresponsive;
                    upstream.announced_state = UpstreamState::Gone;
                });
                self.fail_calls_of_node(&line.node);
            }
            EventKind::Recover(line) => {
                self.update_upstream(
                    &line.node,
                    Some(ANNOUNCEMENT_DELAY),
                    SimulatedUpstream::restart,
                );
            }
        }
    }

    /// Changes an upstream. If it is announced, `table_delay` is the time until
    /// the nodes get the new table; `None` if they are not told.
    fn update_upstream(
        &mut self,
        node: &NodeId,
        table_delay: Option<Duration>,
        update: impl FnOnce(&mut SimulatedUpstream),
    ) {
        if let Some(upstream) = self.upstreams.get_mut(node) {
            update(upstream);
        }
        if let Some(delay) = table_delay {
            self.queue
                .schedule(self.now + delay, ReplayEvent::PublishTable);
        }
    }

    /// Adds a node with its upstream and its ingress.
    fn add_upstream(&mut self, line: &UpstreamLine) {
        let locality = NodeLocality {
            node: line.node.clone(),
            region: line.region.clone(),
            zone: line.zone.clone(),
        };
        let policy: Box<dyn RoutingPolicy> = match self.policy_kind {
            PolicyKind::Currantlift => {
                let router = RouterState::new(locality, self.settings.routing.clone());
                match self.settings.share_rule {
                    Some(rule) => Box::new(router.with_zone_balancing(rule)),
                    None => Box::new(router),
                }
            }
            kind => Box::new(BaselinePolicy::new(kind)),
        };
        let ingress = Ingress {
            policy,
            retry_policy: RetryPolicy::new(RetryOptions {
                are_gate_refusals_free: self.settings.max_immediate_offers > 0,
                ..RetryOptions::default()
            }),
        };
        self.ingresses.insert(line.node.clone(), ingress);
        let upstream = SimulatedUpstream::new(line.clone());
        self.upstreams.insert(line.node.clone(), upstream);
        self.publish_table();
    }

    pub(super) fn publish_table(&mut self) {
        self.table_version += 1;
        let Ok(ticket) = TicketNumber::try_from(self.table_version) else {
            return;
        };
        let mut table = RoutingTable {
            version: self.table_version,
            services: BTreeMap::new(),
            routes: None,
        };
        for (service, rule) in &self.rules {
            let upstreams = self.upstreams.values();
            let entries = upstreams
                .filter(|upstream| {
                    upstream.spec.service == **service
                        && upstream.announced_state != UpstreamState::Gone
                })
                .filter_map(SimulatedUpstream::table_entry);
            let entry = ServiceEntry {
                ticket,
                rule: (*rule).clone(),
                upstreams: entries
                    .map(|upstream| (upstream.node.clone(), upstream))
                    .collect(),
            };
            table.services.insert((*service).clone(), entry);
        }
        let table = Arc::new(table);
        for ingress in self.ingresses.values_mut() {
            ingress.policy.apply_table(self.now, &table);
        }
    }

    pub(super) fn one_way_delay(&self, from: &NodeId, to: &NodeId) -> Duration {
        let (from, to) = (&self.upstreams[from].spec, &self.upstreams[to].spec);
        let delay_us = if from.region != to.region {
            self.network_delays.between_regions_us
        } else if from.zone != to.zone {
            self.network_delays.between_zones_us
        } else if from.node != to.node {
            self.network_delays.within_zone_us
        } else {
            0
        };
        Duration::from_micros(delay_us)
    }
}
