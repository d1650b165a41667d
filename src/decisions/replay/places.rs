//! What a trace says of upstreams and services, and how the nodes hear of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Ingress, Replay, ReplayEvent};
use crate::decisions::PolicyKind;
use crate::decisions::RoutePolicy;
use crate::decisions::baseline::BaselinePolicy;
use crate::decisions::upstream::{BackendCondition, FakeUpstream};
use crate::ids::{NodeId, TicketNumber};
use crate::retry::{RetryOptions, RetryPolicy};
use crate::routing::{NodeLocality, RouterState};
use crate::table::{RoutingTable, ServiceEntry, UpstreamState};
use crate::trace::{EventKind, UpstreamLine};

/// Time in which every node hears of an announcement.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(500);
/// Time in which every node hears that an upstream is lost.
const LOSS_DELAY: Duration = Duration::from_secs(3);
impl<'a> Replay<'a> {
    pub(super) fn on_trace(&mut self, kind: &'a EventKind) {
        match kind {
            EventKind::Service(line) => {
                self.rules.insert(&line.service, &line.rule);
                self.publish_table();
            }
            EventKind::Upstream(line) => self.add_upstream(line),
            EventKind::Request(line) => self.on_request(line),
            EventKind::Delay(line) => self.delays = *line,
            EventKind::Outcome(_) => {}
            EventKind::Speed(line) => {
                self.change_speed(&line.node, line.factor);
            }
            EventKind::Drain(line) => {
                self.change(&line.node, Some(ANNOUNCE_DELAY), |upstream| {
                    upstream.admission.drain();
                    upstream.announced = UpstreamState::Draining;
                });
            }
            EventKind::FailFast(line) => self.change(&line.node, None, |upstream| {
                upstream.condition = BackendCondition::FailingFast;
            }),
            EventKind::Freeze(line) | EventKind::Gone(line) => {
                self.change(&line.node, Some(LOSS_DELAY), |upstream| {
                    upstream.condition = BackendCondition::Silent;
                    upstream.announced = UpstreamState::Gone;
                });
                self.lose_node(&line.node);
            }
            EventKind::Recover(line) => {
                self.change(&line.node, Some(ANNOUNCE_DELAY), FakeUpstream::recover);
            }
        }
    }

    fn change(
        &mut self,
        node: &NodeId,
        heard_after: Option<Duration>,
        change: impl FnOnce(&mut FakeUpstream),
    ) {
        if let Some(upstream) = self.upstreams.get_mut(node) {
            change(upstream);
        }
        if let Some(delay) = heard_after {
            self.queue.schedule(self.now + delay, ReplayEvent::Table);
        }
    }

    fn add_upstream(&mut self, line: &UpstreamLine) {
        let home = NodeLocality {
            node: line.node.clone(),
            region: line.region.clone(),
            zone: line.zone.clone(),
        };
        let policy: Box<dyn RoutePolicy> = match self.kind {
            PolicyKind::Currantlift => Box::new(RouterState::new(home, self.options.clone())),
            kind => Box::new(BaselinePolicy::new(kind)),
        };
        let ingress = Ingress {
            policy,
            retries: RetryPolicy::new(RetryOptions::default()),
        };
        self.ingresses.insert(line.node.clone(), ingress);
        let upstream = FakeUpstream::new(line.clone());
        self.upstreams.insert(line.node.clone(), upstream);
        self.publish_table();
    }

    pub(super) fn publish_table(&mut self) {
        self.version += 1;
        let Ok(ticket) = TicketNumber::try_from(self.version) else {
            return;
        };
        let mut table = RoutingTable {
            version: self.version,
            services: BTreeMap::new(),
            routes: None,
        };
        for (service, rule) in &self.rules {
            let members = self.upstreams.values();
            let rows = members
                .filter(|it| it.line.service == **service && it.announced != UpstreamState::Gone)
                .filter_map(FakeUpstream::table_entry);
            let entry = ServiceEntry {
                ticket,
                rule: (*rule).clone(),
                upstreams: rows.map(|row| (row.node.clone(), row)).collect(),
            };
            table.services.insert((*service).clone(), entry);
        }
        let table = Arc::new(table);
        for ingress in self.ingresses.values_mut() {
            ingress.policy.apply_table(self.now, &table);
        }
    }

    pub(super) fn delay(&self, a: &NodeId, b: &NodeId) -> Duration {
        let (a, b) = (&self.upstreams[a].line, &self.upstreams[b].line);
        let delay_us = if a.region != b.region {
            self.delays.between_regions_us
        } else if a.zone != b.zone {
            self.delays.between_zones_us
        } else if a.node != b.node {
            self.delays.within_zone_us
        } else {
            0
        };
        Duration::from_micros(delay_us)
    }
}
