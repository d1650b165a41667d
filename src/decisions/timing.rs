//! Measurement of the time that a routing decision takes in a fleet of the size
//! that the product is designed for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::ErrorKind;
use crate::ids::{NodeId, NodeIncarnation, ParseIdError, ServiceName, SlotCount};
use crate::routing::{
    AttemptResult, LoadReport, NodeLocality, RouteRequest, RouterState, RoutingOptions,
    SkippedUpstreams,
};
use crate::table::{RoutingTable, ServiceEntry, ServiceRule, UpstreamEntry, UpstreamState};

const SERVICE_COUNT: usize = 130;
const UPSTREAM_COUNT: usize = 2_700;
const ZONE_COUNT: usize = 9;
const REGION_COUNT: usize = 4;
/// Services that one node calls.
const CALLED_SERVICE_COUNT: usize = 15;
const DECISION_COUNT: u64 = 200_000;

/// Measures the times of routing decisions, in nanoseconds.
///
/// A decision selects an upstream and records the load report and the result of
/// the attempt. Every eighth attempt is refused.
///
/// # Errors
///
/// Fails if a generated name or number is not valid.
pub fn measure_decision_times() -> Result<Histogram<u64>, ParseIdError> {
    let table = build_fleet_table()?;
    let locality = NodeLocality {
        node: "node-0".parse()?,
        region: "region-0".parse()?,
        zone: "zone-0".parse()?,
    };
    let mut router = RouterState::new(locality, RoutingOptions::default());
    router.apply_table(Duration::ZERO, &table);
    let services: Vec<_> = table.services.keys().take(CALLED_SERVICE_COUNT).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut times = Histogram::new(3).expect("a precision of 3 digits is valid");
    for decision in 0..DECISION_COUNT {
        let now = Duration::from_millis(decision);
        let service = services[decision as usize % services.len()];
        let started_at = Instant::now();
        run_decision(&mut router, now, &mut rng, service, decision);
        let elapsed = u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times += elapsed.max(1);
    }
    Ok(times)
}

fn run_decision(
    router: &mut RouterState,
    now: Duration,
    rng: &mut StdRng,
    service: &ServiceName,
    decision: u64,
) {
    let tried = BTreeSet::new();
    let request = RouteRequest {
        service,
        is_idempotent: true,
        has_large_body: false,
        tried_nodes: &tried,
        skipped: SkippedUpstreams::None,
    };
    let Ok(choice) = router.select_upstream(now, rng, &request) else {
        return;
    };
    let report = LoadReport {
        in_flight: (decision % 7) as u32,
        queued: 0,
        limit: 6,
        is_slow: false,
        start_rate: None,
        next_start: Duration::ZERO,
    };
    let result = match decision % 8 {
        0 => AttemptResult::Refused(ErrorKind::Overloaded),
        _ => AttemptResult::Answered,
    };
    router.record_report(now, &choice.node, report);
    router.finish_attempt(now, service, &choice.node, choice.attempt, result);
}

fn build_fleet_table() -> Result<Arc<RoutingTable>, ParseIdError> {
    let mut table = RoutingTable::default();
    for index in 0..UPSTREAM_COUNT {
        let service: ServiceName = format!("service-{}", index % SERVICE_COUNT).parse()?;
        let entry = table.services.entry(service).or_insert(ServiceEntry {
            ticket: "1".parse()?,
            rule: ServiceRule::default(),
            upstreams: BTreeMap::new(),
        });
        let node: NodeId = format!("node-{index}").parse()?;
        let zone = index / SERVICE_COUNT % ZONE_COUNT;
        let upstream = UpstreamEntry {
            node: node.clone(),
            incarnation: NodeIncarnation::try_from(1)?,
            region: format!("region-{}", zone % REGION_COUNT).parse()?,
            zone: format!("zone-{zone}").parse()?,
            peer_address: ([127, 0, 0, 1], 1).into(),
            backend: 1.into(),
            slots: SlotCount::try_from(6)?,
            state: UpstreamState::Ready,
            is_suspect: false,
        };
        entry.upstreams.insert(node, upstream);
    }
    Ok(Arc::new(table))
}
