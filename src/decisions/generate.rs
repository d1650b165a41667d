//! Generator of traces for the two current deployments and for a chain of nested
//! calls.
//!
//! Sizes, availability zones, slots, connections and network delays are those of
//! the users' deployments. Arrivals are a Poisson process. Half of the mean
//! service time is constant and half is exponentially distributed; each service
//! mixes short reads with longer writes.

mod profiles;
mod scenario;
mod zones;

use std::str::FromStr;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{ParseNameError, parse_name};
use crate::ids::{ConnectionCount, NodeId, ParseIdError, RegionName, SlotCount, ZoneName};
use crate::table::ServiceRule;
use crate::trace::{
    DelayLine, EventKind, OutcomeLine, RecordedTrace, RequestLine, ServiceLine, TraceEvent,
    UpstreamLine,
};

use profiles::{CHANTIER, DEEP, DeploymentProfile, HEARTHWOOD, ServiceProfile};

pub use scenario::Scenario;
pub use zones::{ZoneTraceSettings, generate_zone_trace};

/// One-way delay between nodes of one availability zone.
const WITHIN_ZONE_DELAY_US: u64 = 50;
/// One-way delay between regions.
const BETWEEN_REGIONS_DELAY_US: u64 = 10_000;
const REQUEST_TIMEOUT_MS: u64 = 500;
/// Budget for load probes, per upstream and second.
const PROBES_PER_SECOND: f64 = 1.0;

/// Deployment that a trace is generated for.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deployment {
    /// Three availability zones in region oyo-west.
    #[display("hearthwood")]
    Hearthwood,
    /// Four availability zones in region qc-est.
    #[display("chantier")]
    Chantier,
    /// Services that call each other, 11 levels deep, in three availability zones.
    #[display("deep")]
    Deep,
}

impl FromStr for Deployment {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        parse_name(&Self::ALL, text)
    }
}

impl Deployment {
    /// Every deployment, in the order of the printed tables.
    pub const ALL: [Self; 3] = [Self::Hearthwood, Self::Chantier, Self::Deep];

    fn profile(self) -> &'static DeploymentProfile {
        match self {
            Self::Hearthwood => &HEARTHWOOD,
            Self::Chantier => &CHANTIER,
            Self::Deep => &DEEP,
        }
    }
}

/// Trace under construction.
struct TraceBuilder {
    profile: &'static DeploymentProfile,
    rng: StdRng,
    events: Vec<TraceEvent>,
}

/// Generates the trace of a scenario; the same arguments give the same trace.
///
/// # Errors
///
/// Fails if a generated name or number is not valid.
pub fn generate_trace(
    deployment: Deployment,
    scenario: Scenario,
    seconds: f64,
    seed: u64,
) -> Result<RecordedTrace, ParseIdError> {
    let mut builder = TraceBuilder {
        profile: deployment.profile(),
        rng: StdRng::seed_from_u64(seed),
        events: Vec::new(),
    };
    let outcome = scenario.required_outcome();
    builder.add_topology(outcome)?;
    scenario.add_faults(&mut builder, seconds * 1e3)?;
    builder.add_requests(scenario, seconds)?;
    let mut events = builder.events;
    events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    assign_request_ids(&mut events);
    Ok(RecordedTrace { events, outcome })
}

fn assign_request_ids(events: &mut [TraceEvent]) {
    let mut id = 0;
    for event in events {
        if let EventKind::Request(line) = &mut event.kind {
            id += 1;
            line.id = id;
        }
    }
}

impl TraceBuilder {
    fn push_event(&mut self, at_ms: f64, kind: EventKind) {
        let at_ms = (at_ms * 1e3).round() / 1e3;
        self.events.push(TraceEvent { at_ms, kind });
    }

    /// Adds the required outcomes, network delays, services and upstreams, all at
    /// the start of the trace.
    fn add_topology(&mut self, outcome: OutcomeLine) -> Result<(), ParseIdError> {
        let profile = self.profile;
        self.push_event(0.0, EventKind::Outcome(outcome));
        self.push_event(
            0.0,
            EventKind::Delay(DelayLine {
                within_zone_us: WITHIN_ZONE_DELAY_US,
                between_zones_us: profile.between_zones_us,
                between_regions_us: BETWEEN_REGIONS_DELAY_US,
                client_us: profile.client_us,
            }),
        );
        for service in profile.services {
            let rule = ServiceRule {
                timeout_ms: REQUEST_TIMEOUT_MS,
                probes_per_second: PROBES_PER_SECOND,
                ..ServiceRule::default()
            };
            let line = ServiceLine {
                service: service.name.parse()?,
                rule,
            };
            self.push_event(0.0, EventKind::Service(line));
        }
        for (node, zone, service) in self.upstream_nodes()? {
            let line = UpstreamLine {
                node,
                region: profile.region.parse::<RegionName>()?,
                zone: zone.parse::<ZoneName>()?,
                service: service.name.parse()?,
                slots: SlotCount::try_from(service.slots)?,
                connections: ConnectionCount::try_from(profile.connections)?,
            };
            self.push_event(0.0, EventKind::Upstream(line));
        }
        Ok(())
    }

    /// Nodes with their availability zone and service; the nodes of a service take
    /// the zones in turn.
    fn upstream_nodes(
        &self,
    ) -> Result<Vec<(NodeId, &'static str, &'static ServiceProfile)>, ParseIdError> {
        let mut nodes = Vec::new();
        for service in self.profile.services {
            for index in 0..service.upstreams {
                let node = format!("{}-{}", service.name, index + 1).parse()?;
                let zone = self.profile.zones[index % self.profile.zones.len()];
                nodes.push((node, zone, service));
            }
        }
        Ok(nodes)
    }

    fn add_requests(&mut self, scenario: Scenario, seconds: f64) -> Result<(), ParseIdError> {
        let depth = scenario.nested_calls();
        let entry_service_count = if depth > 0 { 1 } else { usize::MAX };
        for service in self.profile.services.iter().take(entry_service_count) {
            let levels = f64::from(depth + 1);
            let total_slots = service.upstreams as f64 * service.slots as f64;
            let capacity_per_second = total_slots * 1e6 / (service.mean_work_us() * levels);
            let mut at_seconds = 0.0;
            loop {
                at_seconds += self.sample_exponential(
                    1.0 / (capacity_per_second * scenario.load_fraction_at(at_seconds / seconds)),
                );
                if at_seconds >= seconds {
                    break;
                }
                let line = self.sample_request(service, scenario)?;
                self.push_event(at_seconds * 1e3, EventKind::Request(line));
            }
        }
        Ok(())
    }

    fn sample_request(
        &mut self,
        service: &ServiceProfile,
        scenario: Scenario,
    ) -> Result<RequestLine, ParseIdError> {
        let is_write = self.rng.random_bool(service.write_share);
        let request_profile = if is_write {
            &service.write
        } else {
            &service.read
        };
        let zone_index = self.rng.random_range(0..self.profile.zones.len());
        let work_us = request_profile.mean_work_us / 2.0
            + self.sample_exponential(request_profile.mean_work_us / 2.0);
        Ok(RequestLine {
            id: 0,
            service: service.name.parse()?,
            region: self.profile.region.parse()?,
            zone: self.profile.zones[zone_index].parse()?,
            method: request_profile.method.to_string(),
            path: request_profile.path.to_string(),
            body_bytes: request_profile.body_bytes,
            work_us: work_us as u64,
            timeout_ms: None,
            depth: (scenario.nested_calls() > 0).then_some(scenario.nested_calls()),
        })
    }

    fn sample_exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -mean * (1.0 - uniform).ln()
    }
}
