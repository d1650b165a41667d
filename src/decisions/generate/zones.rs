//! Traces of a deployment whose zones have uneven demand and servers.
//!
//! The demand of each zone swings within a period, each zone at its own phase. Three of
//! four requests have a small body, one in ten a large one, and the others the short
//! objective of nested calls.

use std::f64::consts::TAU;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::ids::{ConnectionCount, NodeId, ParseIdError, SlotCount, ZoneName};
use crate::table::ServiceRule;
use crate::trace::{
    DelayLine, EventKind, NodeLine, OutcomeLine, RecordedTrace, RequestLine, ServiceLine,
    SpeedLine, TraceEvent, UpstreamLine,
};

const REGION: &str = "oyo-west";
const SERVICE: &str = "tillpost";
const SLOTS: u64 = 8;
const CONNECTIONS: u64 = 240;
/// Period of the swing.
const PERIOD: Duration = Duration::from_secs(13);
/// One-way delays of a deployment with distant zones, in microseconds.
const DELAYS: DelayLine = DelayLine {
    within_zone_us: 250,
    between_zones_us: 3_900,
    between_regions_us: 40_000,
    client_us: 0,
};
/// Upstreams with this remainder are slower by [`SLOW_FACTOR`].
const SLOW_EVERY: usize = 4;
const SLOW_FACTOR: f64 = 1.3;
/// Bursts of noisy neighbours, per upstream and second.
const BURSTS_PER_SECOND: f64 = 0.1;
const BURST: Duration = Duration::from_millis(150);
const BURST_FACTOR: f64 = 5.0;

/// Zones, demand and faults of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneTraceSettings {
    /// Number of availability zones.
    pub zones: usize,
    /// Upstreams of each zone.
    pub upstreams_per_zone: usize,
    /// Whether the first zone has a third fewer upstreams at the same demand.
    pub has_smaller_zone: bool,
    /// Mean work per capacity of all slots.
    pub mean_load: f64,
    /// Amplitude of the demand of each zone, relative to its mean.
    pub swing: f64,
    /// Time in which the last zone is lost; `None` if it is not.
    pub lost: Option<Range<Duration>>,
    /// Whether upstreams differ in speed and have bursts of noisy neighbours.
    pub has_uneven_upstreams: bool,
    /// Length of the trace.
    pub length: Duration,
}

impl ZoneTraceSettings {
    /// Swing of 55% at a mean load of 75%.
    pub fn swinging(zones: usize, upstreams_per_zone: usize, length: Duration) -> Self {
        Self {
            zones,
            upstreams_per_zone,
            has_smaller_zone: false,
            mean_load: 0.75,
            swing: 0.55,
            lost: None,
            has_uneven_upstreams: false,
            length,
        }
    }

    fn upstreams_in(&self, zone: usize) -> usize {
        if zone == 0 && self.has_smaller_zone {
            self.upstreams_per_zone * 2 / 3
        } else {
            self.upstreams_per_zone
        }
    }

    /// Demand of a zone relative to its mean.
    fn relative_demand(&self, zone: usize, at_seconds: f64) -> f64 {
        let phase = zone as f64 / self.zones as f64;
        1.0 + self.swing * (TAU * (at_seconds / PERIOD.as_secs_f64() + phase)).sin()
    }
}

/// Request class of the mix.
struct ClassProfile {
    path: &'static str,
    share: f64,
    body_bytes: u64,
    mean_work_us: f64,
    timeout_ms: u64,
}

const CLASSES: [ClassProfile; 3] = [
    ClassProfile {
        path: "/orders",
        share: 0.75,
        body_bytes: 2_000,
        mean_work_us: 80_000.0,
        timeout_ms: 600,
    },
    ClassProfile {
        path: "/photos",
        share: 0.1,
        body_bytes: 64_000,
        mean_work_us: 160_000.0,
        timeout_ms: 2_000,
    },
    ClassProfile {
        path: "/stock",
        share: 0.15,
        body_bytes: 500,
        mean_work_us: 30_000.0,
        timeout_ms: 150,
    },
];

fn zone_name(zone: usize) -> Result<ZoneName, ParseIdError> {
    format!("zone-{zone:02}").parse()
}

fn node_id(zone: usize, index: usize) -> Result<NodeId, ParseIdError> {
    format!("zone-{zone:02}-{index:02}").parse()
}

fn sample_exponential(rng: &mut StdRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

/// Generates a trace; the same arguments give the same trace.
///
/// # Errors
///
/// Fails if a generated name or number is not valid.
pub fn generate_zone_trace(
    settings: &ZoneTraceSettings,
    seed: u64,
) -> Result<RecordedTrace, ParseIdError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut push = |at_seconds: f64, kind| {
        let at_ms = (at_seconds * 1e6).round() / 1e3;
        events.push(TraceEvent { at_ms, kind });
    };
    push(0.0, EventKind::Delay(DELAYS));
    push(
        0.0,
        EventKind::Service(ServiceLine {
            service: SERVICE.parse()?,
            rule: ServiceRule::default(),
        }),
    );
    let length = settings.length.as_secs_f64();
    for zone in 0..settings.zones {
        for index in 0..settings.upstreams_in(zone) {
            let node = node_id(zone, index)?;
            let line = UpstreamLine {
                node: node.clone(),
                region: REGION.parse()?,
                zone: zone_name(zone)?,
                service: SERVICE.parse()?,
                slots: SlotCount::try_from(SLOTS)?,
                connections: ConnectionCount::try_from(CONNECTIONS)?,
            };
            push(0.0, EventKind::Upstream(line));
            if settings.has_uneven_upstreams {
                let usual_factor = if index % SLOW_EVERY == 0 {
                    SLOW_FACTOR
                } else {
                    1.0
                };
                let speed = |factor| {
                    EventKind::Speed(SpeedLine {
                        node: node.clone(),
                        factor,
                    })
                };
                push(0.0, speed(usual_factor));
                let mut at = sample_exponential(&mut rng, 1.0 / BURSTS_PER_SECOND);
                while at < length {
                    push(at, speed(usual_factor * BURST_FACTOR));
                    push(at + BURST.as_secs_f64(), speed(usual_factor));
                    at +=
                        BURST.as_secs_f64() + sample_exponential(&mut rng, 1.0 / BURSTS_PER_SECOND);
                }
            }
        }
    }
    if let Some(lost) = &settings.lost {
        let zone = settings.zones - 1;
        for index in 0..settings.upstreams_in(zone) {
            let line = NodeLine {
                node: node_id(zone, index)?,
            };
            push(lost.start.as_secs_f64(), EventKind::Gone(line.clone()));
            push(lost.end.as_secs_f64(), EventKind::Recover(line));
        }
    }
    let mean_work_us: f64 = CLASSES
        .iter()
        .map(|class| class.share * class.mean_work_us)
        .sum();
    let upstreams: usize = (0..settings.zones)
        .map(|zone| settings.upstreams_in(zone))
        .sum();
    let capacity_per_second = upstreams as f64 * SLOTS as f64 * 1e6 / mean_work_us;
    let zone_rate = capacity_per_second * settings.mean_load / settings.zones as f64;
    for zone in 0..settings.zones {
        let mut at = 0.0;
        loop {
            at += sample_exponential(
                &mut rng,
                1.0 / (zone_rate * settings.relative_demand(zone, at)),
            );
            if at >= length {
                break;
            }
            push(at, EventKind::Request(sample_request(&mut rng, zone)?));
        }
    }
    events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    super::assign_request_ids(&mut events);
    Ok(RecordedTrace {
        events,
        outcome: OutcomeLine::default(),
    })
}

fn sample_request(rng: &mut StdRng, zone: usize) -> Result<RequestLine, ParseIdError> {
    let mut draw: f64 = rng.random();
    let class = CLASSES.iter().find(|class| {
        draw -= class.share;
        draw < 0.0
    });
    let class = class.unwrap_or(&CLASSES[0]);
    let work_us = class.mean_work_us / 2.0 + sample_exponential(rng, class.mean_work_us / 2.0);
    Ok(RequestLine {
        id: 0,
        service: SERVICE.parse()?,
        region: REGION.parse()?,
        zone: zone_name(zone)?,
        method: "GET".to_string(),
        path: class.path.to_string(),
        body_bytes: class.body_bytes,
        work_us: work_us as u64,
        timeout_ms: Some(class.timeout_ms),
        depth: None,
    })
}
