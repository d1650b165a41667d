//! Zone balancing: the share of each class of calls that an ingress offers to other
//! availability zones first.
//!
//! Load pattern: the demand of each zone swings by 55% within 13 s while the others
//! are in another phase, zones have different numbers of upstreams, and a hop between
//! zones takes several milliseconds and is charged per byte. Offering calls to other
//! zones only after refusals leaves the zone's queues full beside idle zones.
//!
//! Each ingress decides alone, from load reports with their age. Per service, class
//! order and zone it keeps a share that follows the gradient of the expected latency:
//! it grows in small steps while the expected wait at home exceeds the round trip and
//! the expected wait there, and returns in small steps otherwise. Small bodies leave
//! first, large ones later, and calls with short latency objectives last.
//!
//! Events and the current time go in, shares and due probes come out; random numbers
//! are drawn by the caller.

mod alternatives;
mod load;
mod shares;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use crate::ids::{ServiceName, ZoneName};

pub use load::{OTHER_ZONE_OCCUPANCY_PERCENT, ZoneLoad, expected_wait};
use shares::ServiceShares;

/// Interval at which the shares of a service are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Load of the own zone, relative to its usable slots, from which the reports of other
/// zones are asked for.
const NEAR_LIMIT: f64 = 0.7;
/// Shortest time between load probes of one other zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between load probes of other zones on average. With six other zones, one every
/// 200 ms for each would come near the 4 KB/s that control may use.
const MEAN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which a report of another zone needs no probe, as calls bring newer ones.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(100);
/// Time in which the measured round trip rises to a higher one. Delays of busy threads
/// only ever lengthen a measurement, so that a lower one counts at once.
const ROUND_TRIP_RISE_TIME: Duration = Duration::from_secs(10);
/// Latency objective up to which calls leave last; the objective of nested calls, for
/// which a run waits.
const SHORT_OBJECTIVE: Duration = Duration::from_millis(150);

/// Rule by which shares are decided. The node uses [`Self::Gradient`]; the others are
/// replayed for comparison.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareRule {
    /// Small steps along the gradient of the expected latency.
    #[display("gradient")]
    Gradient,
    /// The excess of the own zone is spread at once over the reported room of others.
    #[display("water-filling")]
    WaterFilling,
    /// Each call compares the own zone with a random other one.
    #[display("power-of-two")]
    PowerOfTwo,
}

/// Order in which calls leave the own zone.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaveOrder {
    /// Small body and a longer latency objective.
    #[display("small")]
    Small,
    /// Large body, which is charged per byte.
    #[display("large")]
    Large,
    /// Short latency objective, of which the round trip takes the largest part.
    #[display("short")]
    Short,
}

impl LeaveOrder {
    /// Every member, first to leave first.
    pub const ALL: [Self; 3] = [Self::Small, Self::Large, Self::Short];

    /// Multiple of the round trip by which the marginal wait at home must exceed that
    /// elsewhere. With 1 for small bodies, zones at their usual load exchanged calls
    /// that no objective needed, which costs bytes.
    fn round_trip_factor(self) -> f64 {
        match self {
            Self::Small => 4.0,
            Self::Large => 12.0,
            Self::Short => 16.0,
        }
    }
}

/// What a decision depends on of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallClass {
    /// Latency objective of the class.
    pub objective: Duration,
    /// Time left until the latency objective.
    pub target_left: Duration,
    /// Usual run time.
    pub run_time: Duration,
    /// Whether the body is large.
    pub has_large_body: bool,
}

impl CallClass {
    /// Order in which the call leaves the own zone.
    pub fn leave_order(&self) -> LeaveOrder {
        if self.objective <= SHORT_OBJECTIVE {
            LeaveOrder::Short
        } else if self.has_large_body {
            LeaveOrder::Large
        } else {
            LeaveOrder::Small
        }
    }
}

/// Measured round trip to a zone.
#[derive(Debug, Clone, Copy)]
struct RoundTrip {
    measured_at: Duration,
    value: Duration,
}

/// Inputs of an update of a service's shares.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Load of the own zone; `None` if no report is known.
    pub home: Option<ZoneLoad>,
    /// Loads of the other zones that have an upstream which accepts calls, by the
    /// reports of its gates; `None` for those that have reported nothing yet.
    pub zones: BTreeMap<ZoneName, Option<ZoneLoad>>,
    /// Mean run time of the service.
    pub run_time: Duration,
}

/// State of a service's shares, for log lines and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceBalance {
    /// Service.
    pub service: ServiceName,
    /// Share of the service's work that is offered to other zones first.
    pub share: f64,
    /// Load of the own zone relative to its usable slots.
    pub home_load: f64,
    /// Expected wait in the own zone.
    pub home_wait: Duration,
    /// The other zones.
    pub zones: Vec<ZoneBalance>,
}

/// Share of one other zone and the inputs behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneBalance {
    /// Zone.
    pub zone: ZoneName,
    /// Share of the service's work that is offered there first.
    pub share: f64,
    /// Expected wait there; `None` without a report.
    pub wait: Option<Duration>,
    /// Age of the report; `None` without one.
    pub report_age: Option<Duration>,
    /// Measured round trip; `None` before the first measurement.
    pub round_trip: Option<Duration>,
}

/// Shares of all services that an ingress calls.
#[derive(Debug)]
pub struct ZoneBalancer {
    rule: ShareRule,
    round_trips: BTreeMap<ZoneName, RoundTrip>,
    services: BTreeMap<ServiceName, ServiceShares>,
}

impl ZoneBalancer {
    /// Creates a balancer without shares.
    pub fn new(rule: ShareRule) -> Self {
        Self {
            rule,
            round_trips: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Records the time between a ping to a node of another zone and its reply.
    pub fn record_round_trip(&mut self, now: Duration, zone: &ZoneName, sample: Duration) {
        let known = self.round_trips.entry(zone.clone()).or_insert(RoundTrip {
            measured_at: now,
            value: sample,
        });
        let elapsed = now.saturating_sub(known.measured_at);
        let rise = (elapsed.as_secs_f64() / ROUND_TRIP_RISE_TIME.as_secs_f64()).min(1.0);
        known.value = if sample <= known.value {
            sample
        } else {
            known.value + (sample - known.value).mul_f64(rise)
        };
        known.measured_at = now;
    }

    /// Measured round trip to a zone.
    pub fn round_trip(&self, zone: &ZoneName) -> Option<Duration> {
        self.round_trips.get(zone).map(|known| known.value)
    }

    /// Records the load of a service in another zone, as a node there reported it.
    pub fn record_zone_report(
        &mut self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        load: ZoneLoad,
    ) {
        if let Some(shares) = self.services.get_mut(service) {
            shares.record_zone_report(now, zone, load);
        }
    }

    /// Records whether a gate of another zone refused an offer for lack of capacity.
    pub fn record_offer(&mut self, service: &ServiceName, zone: &ZoneName, is_refused: bool) {
        if let Some(shares) = self.services.get_mut(service) {
            shares.record_offer(zone, is_refused);
        }
    }

    /// Whether the shares of a service are due for an update.
    pub fn is_update_due(&self, now: Duration, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_none_or(|shares| shares.is_due(now, UPDATE_INTERVAL))
    }

    /// Updates the shares of a service.
    pub fn update(&mut self, now: Duration, service: &ServiceName, view: ServiceView) {
        let shares = self.services.entry(service.clone()).or_default();
        let trips = &self.round_trips;
        shares.update(now, self.rule, view, |zone| {
            trips.get(zone).map(|known| known.value)
        });
    }

    /// Zone that a call is offered to first; `None` for the own one. `draw` is a random
    /// number from 0 to 1.
    pub fn choose_zone(
        &mut self,
        service: &ServiceName,
        class: &CallClass,
        draw: f64,
    ) -> Option<ZoneName> {
        let shares = self.services.get_mut(service)?;
        let order = class.leave_order();
        shares.record_work(order, class.run_time);
        let zone = match self.rule {
            ShareRule::PowerOfTwo => shares.compare_random_zone(draw),
            _ => shares.draw_zone(order, draw),
        }?;
        let expected = shares.expected_response(&zone, class.run_time)?
            + self.round_trips.get(&zone).map(|known| known.value)?;
        (expected <= class.target_left).then_some(zone)
    }

    /// Zones whose load is to be asked for now; one probe each is due.
    pub fn take_due_probes(&mut self, now: Duration, service: &ServiceName) -> Vec<ZoneName> {
        let shares = self.services.get_mut(service);
        shares.map_or_else(Vec::new, |shares| shares.take_due_probes(now))
    }

    /// Forgets the services for which `is_known` returns false.
    pub fn retain_services(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }

    /// State of all services, for log lines and metrics.
    pub fn snapshot(&self) -> Vec<ServiceBalance> {
        let services = self.services.iter();
        services
            .map(|(service, shares)| shares.snapshot(service, |zone| self.round_trip(zone)))
            .collect()
    }
}

#[cfg(test)]
mod tests;
