//! Shares of one service: updates by the gradient of the expected latency.

use std::collections::BTreeMap;
use std::time::Duration;

use super::load::{OTHER_ZONE_LIMIT, marginal_wait};
use super::{
    FRESH_REPORT_AGE, LeaveOrder, MEAN_PROBE_INTERVAL, NEAR_LIMIT, PROBE_INTERVAL, ServiceBalance,
    ServiceView, ShareRule, ZoneBalance, ZoneLoad, alternatives, expected_wait,
};
use crate::ids::{ServiceName, ZoneName};

/// Largest growth of the share per second, over all zones, if these are idle; their room
/// scales it. Demand that swings by 55% within 13 s changes by at most 0.27 of its mean
/// per second, while other zones have a third to a half of their slots free. With 0.25
/// the share came too late for that.
const GROWTH_PER_SECOND: f64 = 1.0;
/// Decrease per second of a zone's share that isn't worth its round trip.
const RETURN_PER_SECOND: f64 = 0.4;
/// Longest time that one update counts for, so that a share doesn't jump after a pause.
const MAX_UPDATE_TIME: Duration = Duration::from_millis(250);
/// Age from which a report of another zone is not used; the share then returns.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Largest share of one class order. The rest keeps the reports of the own zone fresh.
const MAX_SHARE: f64 = 0.9;
/// Share from which the next class order may leave as well.
const SPENT_SHARE: f64 = 0.8;
/// Share below which the later class orders return.
const RETURNING_SHARE: f64 = 0.6;
/// Part of the service's work below which a class order doesn't hold back the later.
const MIN_ORDER_WEIGHT: f64 = 0.05;
/// Smallest part of the work by which the step of a class order is scaled.
const MIN_STEP_WEIGHT: f64 = 0.2;
/// Advantage over the own zone, relative to the round trip, from which a share grows.
const GROWTH_MARGIN: f64 = 0.25;
/// Part of refused offers from which a zone's share decreases. With 8 slots, a third of
/// the gates of a zone at half its load have no slot for calls of other zones.
const MAX_REFUSED_PART: f64 = 0.5;
/// Weight of one offer in that part.
const REFUSAL_WEIGHT: f64 = 0.05;
/// Age at which the weight of past work in the class mix has halved.
const WORK_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time by which reports of single gates must be newer than that for their whole zone
/// to replace it.
const GATE_REPORT_LEAD: Duration = Duration::from_millis(250);
/// Time constant by which the load of the own zone is smoothed, as its reports are
/// samples of few upstreams.
const HOME_SMOOTHING: Duration = Duration::from_millis(200);

/// Work and shares of one class order.
#[derive(Debug, Default)]
pub(super) struct OrderShares {
    /// Decayed run time of its calls, in seconds.
    work: f64,
    pub(super) shares: BTreeMap<ZoneName, f64>,
}

impl OrderShares {
    pub(super) fn total(&self) -> f64 {
        self.shares.values().sum()
    }
}

/// Shares of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceShares {
    updated_at: Option<Duration>,
    pub(super) orders: [OrderShares; LeaveOrder::ALL.len()],
    pub(super) home: Option<ZoneLoad>,
    pub(super) zones: BTreeMap<ZoneName, Option<ZoneLoad>>,
    run_time: Duration,
    /// Loads that nodes of other zones reported, with the time of their receipt.
    zone_reports: BTreeMap<ZoneName, (Duration, ZoneLoad)>,
    refused_parts: BTreeMap<ZoneName, f64>,
    probed_at: BTreeMap<ZoneName, Duration>,
}

impl ServiceShares {
    pub(super) fn is_due(&self, now: Duration, interval: Duration) -> bool {
        self.updated_at
            .is_none_or(|at| now.saturating_sub(at) >= interval)
    }

    pub(super) fn record_offer(&mut self, zone: &ZoneName, is_refused: bool) {
        let part = self.refused_parts.entry(zone.clone()).or_default();
        *part += REFUSAL_WEIGHT * (f64::from(u8::from(is_refused)) - *part);
    }

    pub(super) fn record_zone_report(&mut self, now: Duration, zone: &ZoneName, load: ZoneLoad) {
        self.zone_reports.insert(zone.clone(), (now, load));
    }

    /// Load of a zone: that of a report for the whole zone, unless the reports of
    /// single gates are much newer.
    fn latest_load(
        &self,
        now: Duration,
        zone: &ZoneName,
        of_gates: Option<ZoneLoad>,
    ) -> Option<ZoneLoad> {
        let report = self.zone_reports.get(zone).map(|(received_at, load)| {
            let age = load.age + now.saturating_sub(*received_at);
            ZoneLoad { age, ..*load }
        });
        match (report, of_gates) {
            (Some(report), Some(of_gates)) if report.age > of_gates.age + GATE_REPORT_LEAD => {
                Some(of_gates)
            }
            (Some(report), _) => Some(report),
            (None, of_gates) => of_gates,
        }
    }

    pub(super) fn record_work(&mut self, order: LeaveOrder, run_time: Duration) {
        self.orders[order as usize].work += run_time.as_secs_f64();
    }

    /// Updates the loads and moves each share by one step.
    pub(super) fn update(
        &mut self,
        now: Duration,
        rule: ShareRule,
        view: ServiceView,
        round_trip: impl Fn(&ZoneName) -> Option<Duration>,
    ) {
        let pause = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let elapsed = pause.min(MAX_UPDATE_TIME);
        self.updated_at = Some(now);
        if pause > MAX_REPORT_AGE {
            // No calls came, and what the shares followed is no longer known.
            self.orders = Default::default();
        }
        self.home = smooth(self.home, view.home, elapsed);
        let zones = view.zones.into_iter();
        self.zones = zones
            .map(|(zone, load)| {
                let load = self.latest_load(now, &zone, load);
                (zone, load)
            })
            .collect();
        self.run_time = view.run_time;
        let decay = (-(elapsed.as_secs_f64() / WORK_HALF_LIFE.as_secs_f64())).exp2();
        let zones = &self.zones;
        for order in &mut self.orders {
            order.work *= decay;
            // Nothing can be sent to a zone without an upstream that accepts calls.
            order.shares.retain(|zone, _| zones.contains_key(zone));
        }
        self.refused_parts
            .retain(|zone, _| zones.contains_key(zone));
        self.zone_reports.retain(|zone, _| zones.contains_key(zone));
        self.probed_at.retain(|zone, _| zones.contains_key(zone));
        match rule {
            ShareRule::Gradient => self.follow_gradient(elapsed, round_trip),
            ShareRule::WaterFilling => alternatives::fill_reported_room(self),
            ShareRule::PowerOfTwo => {}
        }
    }

    fn follow_gradient(
        &mut self,
        elapsed: Duration,
        round_trip: impl Fn(&ZoneName) -> Option<Duration>,
    ) {
        let home_wait = self.home.map(|home| marginal_wait(&home, self.run_time));
        let total_work: f64 = self.orders.iter().map(|order| order.work).sum();
        let mut may_grow = true;
        let mut must_return = false;
        for order in LeaveOrder::ALL {
            let weight = self.orders[order as usize].work / total_work.max(f64::MIN_POSITIVE);
            let step = elapsed.as_secs_f64() / weight.max(MIN_STEP_WEIGHT);
            let advantages = self.zone_advantages(order, home_wait, &round_trip);
            let growing_count = advantages
                .values()
                .filter(|advantage| **advantage > 0.0)
                .count();
            let state = &mut self.orders[order as usize];
            for (zone, advantage) in &advantages {
                let share = state.shares.entry(zone.clone()).or_default();
                let change = if *advantage > 0.0 && may_grow {
                    GROWTH_PER_SECOND * advantage / growing_count as f64
                } else if *advantage < 0.0 || must_return {
                    -RETURN_PER_SECOND
                } else {
                    0.0
                };
                *share = (*share + step * change).clamp(0.0, MAX_SHARE);
            }
            let total = state.total();
            if total > MAX_SHARE {
                for share in state.shares.values_mut() {
                    *share *= MAX_SHARE / total;
                }
            }
            if weight >= MIN_ORDER_WEIGHT {
                may_grow &= total >= SPENT_SHARE;
                must_return |= total < RETURNING_SHARE;
            }
        }
    }

    /// For each zone: positive, up to 1, if more calls are worth sending there, and
    /// negative if fewer are; 0 within the margin between both.
    fn zone_advantages(
        &self,
        order: LeaveOrder,
        home_wait: Option<Duration>,
        round_trip: &impl Fn(&ZoneName) -> Option<Duration>,
    ) -> BTreeMap<ZoneName, f64> {
        let advantage = |zone: &ZoneName, load: &Option<ZoneLoad>| {
            let (Some(home_wait), Some(load), Some(trip)) = (home_wait, load, round_trip(zone))
            else {
                return -1.0;
            };
            let refused_part = self.refused_parts.get(zone).copied().unwrap_or_default();
            if load.age >= MAX_REPORT_AGE
                || load.relative_load() >= OTHER_ZONE_LIMIT
                || refused_part > MAX_REFUSED_PART
            {
                return -1.0;
            }
            let cost = marginal_wait(load, self.run_time).as_secs_f64()
                + trip.as_secs_f64() * order.round_trip_factor();
            let gain = home_wait.as_secs_f64() - cost;
            if gain < 0.0 {
                return -1.0;
            }
            if gain < trip.as_secs_f64() * GROWTH_MARGIN {
                return 0.0;
            }
            let trust = 1.0 - load.age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
            trust * load.room_for_other_zones()
        };
        let zones = self.zones.iter();
        zones
            .map(|(zone, load)| (zone.clone(), advantage(zone, load)))
            .collect()
    }

    /// Zone by the shares of the class order.
    pub(super) fn draw_zone(&self, order: LeaveOrder, draw: f64) -> Option<ZoneName> {
        let mut upper_bound = 0.0;
        let mut shares = self.orders[order as usize].shares.iter();
        let chosen = shares.find(|(_, share)| {
            upper_bound += **share;
            draw < upper_bound
        });
        chosen.map(|(zone, _)| zone.clone())
    }

    /// Expected wait and run time in another zone.
    pub(super) fn expected_response(
        &self,
        zone: &ZoneName,
        run_time: Duration,
    ) -> Option<Duration> {
        let load = self.zones.get(zone).copied().flatten()?;
        Some(expected_wait(&load, self.run_time) + run_time)
    }

    /// Whether the own zone is near its limit, or calls still leave it.
    fn needs_reports(&self) -> bool {
        let is_near_limit = self
            .home
            .is_some_and(|home| home.relative_load() >= NEAR_LIMIT);
        is_near_limit || self.orders.iter().any(|order| order.total() > 0.0)
    }

    pub(super) fn take_due_probes(&mut self, now: Duration) -> Vec<ZoneName> {
        if !self.needs_reports() {
            return Vec::new();
        }
        let zone_count = u32::try_from(self.zones.len()).unwrap_or(u32::MAX);
        let interval = PROBE_INTERVAL.max(MEAN_PROBE_INTERVAL.saturating_mul(zone_count));
        let mut due = Vec::new();
        for (zone, load) in &self.zones {
            let is_fresh = load.is_some_and(|load| load.age < FRESH_REPORT_AGE);
            let last = self.probed_at.get(zone);
            let is_due = last.is_none_or(|at| now.saturating_sub(*at) >= interval);
            if is_due && !is_fresh {
                due.push(zone.clone());
            }
        }
        for zone in &due {
            self.probed_at.insert(zone.clone(), now);
        }
        due
    }

    fn work_share(&self, zone: &ZoneName) -> f64 {
        let total_work: f64 = self.orders.iter().map(|order| order.work).sum();
        let sent = self.orders.iter().map(|order| {
            let share = order.shares.get(zone).copied().unwrap_or_default();
            share * order.work
        });
        sent.sum::<f64>() / total_work.max(f64::MIN_POSITIVE)
    }

    pub(super) fn snapshot(
        &self,
        service: &ServiceName,
        round_trip: impl Fn(&ZoneName) -> Option<Duration>,
    ) -> ServiceBalance {
        let zones: Vec<_> = self
            .zones
            .iter()
            .map(|(zone, load)| ZoneBalance {
                zone: zone.clone(),
                share: self.work_share(zone),
                wait: load.map(|load| expected_wait(&load, self.run_time)),
                report_age: load.map(|load| load.age),
                round_trip: round_trip(zone),
            })
            .collect();
        ServiceBalance {
            service: service.clone(),
            share: zones.iter().map(|zone| zone.share).sum(),
            home_load: self.home.map_or(0.0, |home| home.relative_load()),
            home_wait: self
                .home
                .map_or(Duration::ZERO, |home| expected_wait(&home, self.run_time)),
            zones,
        }
    }
}

/// Moves the smoothed load towards a new reading.
fn smooth(
    smoothed: Option<ZoneLoad>,
    reading: Option<ZoneLoad>,
    elapsed: Duration,
) -> Option<ZoneLoad> {
    let (Some(old), Some(new)) = (smoothed, reading) else {
        return reading;
    };
    let weight = 1.0 - (-(elapsed.as_secs_f64() / HOME_SMOOTHING.as_secs_f64())).exp();
    let relative_calls = |load: &ZoneLoad| load.calls / load.slots.max(1.0);
    let relative = relative_calls(&old) + weight * (relative_calls(&new) - relative_calls(&old));
    Some(ZoneLoad {
        calls: relative * new.slots.max(1.0),
        ..new
    })
}
