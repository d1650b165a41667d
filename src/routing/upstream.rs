//! What a router knows about one upstream, and the score made of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AttemptNumber, AttemptResult, LoadReport, PlaceTier, ProbeBucket, RoutingOptions};
use crate::error::ErrorKind;
use crate::ids::NodeIncarnation;

/// Time for which a refusal for want of capacity turns new calls elsewhere.
const REFUSAL_HOLD: Duration = Duration::from_millis(10);
/// First time for which a failure turns new calls elsewhere; doubles each time.
const FAILURE_HOLD: Duration = Duration::from_millis(100);
/// Longest such time.
const MAX_FAILURE_HOLD: Duration = Duration::from_secs(5);
/// Time after which a refusal for draining counts no more, if the table has
/// shown nothing new about the upstream by then.
const DRAIN_HOLD: Duration = Duration::from_secs(30);
/// Factor by which one fresh failure worsens a score.
const FAILURE_WEIGHT: f64 = 4.0;
/// Factor by which a burst that was just reported worsens a score.
const BURST_WEIGHT: f64 = 4.0;
/// Age at which a reported burst is over as likely as not; they last about
/// 150 ms on the users' hosts.
const BURST_HALF_LIFE: Duration = Duration::from_millis(75);
/// Share of its places that an upstream gets in the moment it joins.
const RAMP_START: f64 = 0.1;
/// Weight of an own outstanding attempt against one that a report tells of: it
/// is never stale, and other ingresses are likely to have done the same since.
const OWN_WEIGHT: f64 = 4.0;
/// Score of an upstream without any work.
pub(super) const IDLE_SCORE: f64 = 0.5;
/// Answers' worth of history in the latency mean.
const LATENCY_SAMPLES: f64 = 8.0;

/// Means of a service that stand in for what is not known about an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceMeans {
    /// Mean latency of answers, in microseconds.
    pub(super) latency_us: f64,
    /// Mean work of other ingresses per place.
    pub(super) others: f64,
}

/// Load, latency and failure history of one upstream.
#[derive(Debug, Clone)]
pub(super) struct UpstreamLoad {
    pub(super) incarnation: NodeIncarnation,
    pub(super) tier: PlaceTier,
    pub(super) slots: u32,
    pub(super) probe_bucket: ProbeBucket,
    pub(super) wants_probe: bool,
    joined_at: Option<Duration>,
    outstanding: BTreeMap<AttemptNumber, Duration>,
    report: Option<ReportRecord>,
    latency: Option<(Duration, f64)>,
    failures: (Duration, f64),
    held_until: Duration,
    failing_until: Duration,
    failure_run: u32,
    is_draining: bool,
}

#[derive(Debug, Clone, Copy)]
struct ReportRecord {
    at: Duration,
    report: LoadReport,
    others: f64,
}

/// Weight left of something of the given age.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
}

impl UpstreamLoad {
    pub(super) fn new(
        now: Duration,
        incarnation: NodeIncarnation,
        tier: PlaceTier,
        slots: u32,
        joined_at: Option<Duration>,
    ) -> Self {
        Self {
            incarnation,
            tier,
            slots,
            probe_bucket: ProbeBucket::new(now),
            wants_probe: false,
            joined_at,
            outstanding: BTreeMap::new(),
            report: None,
            latency: None,
            failures: (now, 0.0),
            held_until: Duration::ZERO,
            failing_until: Duration::ZERO,
            failure_run: 0,
            is_draining: false,
        }
    }

    /// Starts afresh after a restart; attempts outstanding stay counted.
    pub(super) fn restart(&mut self, now: Duration, incarnation: NodeIncarnation) {
        let fresh = Self::new(now, incarnation, self.tier, self.slots, Some(now));
        let outstanding = std::mem::take(&mut self.outstanding);
        let probe_bucket = self.probe_bucket.clone();
        *self = Self {
            outstanding,
            probe_bucket,
            ..fresh
        };
    }

    /// Work of other ingresses per slot in the last report.
    pub(super) fn others_per_slot(&self) -> f64 {
        let others = self.report.map_or(0.0, |record| record.others);
        others / f64::from(self.slots.max(1))
    }

    pub(super) fn outstanding_count(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn report_with_age(&self, now: Duration) -> Option<(LoadReport, Duration)> {
        self.report
            .map(|record| (record.report, now.saturating_sub(record.at)))
    }

    pub(super) fn failure_weight(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let (at, weight) = self.failures;
        weight * decay(now.saturating_sub(at), options.failure_half_life)
    }

    /// Whether a call may not even go here as a last resort: a draining
    /// upstream would refuse it, and one that fails might run it in vain.
    pub(super) fn is_closed(&self, now: Duration, is_idempotent: bool) -> bool {
        let is_failing = self.failure_run > 0 && !is_idempotent;
        now < self.held_until && (self.is_draining || is_failing)
    }

    /// Whether new calls go elsewhere while there is an elsewhere.
    ///
    /// After a failure only an idempotent call tries whether the upstream is
    /// well again: a failed run of any other can't be repeated. Where a service
    /// has no idempotent calls, one other call at a time tries.
    pub(super) fn is_held(&self, now: Duration, is_idempotent: bool, has_idempotent: bool) -> bool {
        let takes_trial = is_idempotent || (!has_idempotent && self.outstanding.is_empty());
        now < self.held_until || (self.failure_run > 0 && !takes_trial)
    }

    pub(super) fn start(&mut self, now: Duration, attempt: AttemptNumber) {
        self.outstanding.insert(attempt, now);
    }

    pub(super) fn on_report(&mut self, now: Duration, report: LoadReport) {
        let total = f64::from(report.in_flight) + f64::from(report.queued);
        let others = (total - f64::from(self.outstanding_count())).max(0.0);
        self.report = Some(ReportRecord {
            at: now,
            report,
            others,
        });
        self.wants_probe = false;
    }

    /// Ends an attempt; returns its latency if it was answered.
    pub(super) fn finish(
        &mut self,
        now: Duration,
        attempt: AttemptNumber,
        result: AttemptResult,
        options: &RoutingOptions,
    ) -> Option<Duration> {
        let started = self.outstanding.remove(&attempt)?;
        let latency = now.saturating_sub(started);
        match result {
            AttemptResult::Answered => {
                self.add_latency(now, latency, options);
                self.failure_run = 0;
                return Some(latency);
            }
            AttemptResult::AnsweredError => self.on_failure(now, options),
            AttemptResult::Refused(kind) | AttemptResult::Failed(kind) => {
                self.on_setback(now, kind, options);
            }
            AttemptResult::Cancelled => self.add_latency(now, latency, options),
        }
        None
    }

    fn add_latency(&mut self, now: Duration, latency: Duration, options: &RoutingOptions) {
        let sample_us = latency.as_secs_f64() * 1e6;
        let Some((at, mean_us)) = self.latency else {
            self.latency = Some((now, sample_us));
            return;
        };
        let old_weight = decay(now.saturating_sub(at), options.latency_half_life);
        let weight = (1.0 - old_weight).max(1.0 / LATENCY_SAMPLES);
        self.latency = Some((now, mean_us + weight * (sample_us - mean_us)));
    }

    /// Takes note that the gate said it takes no new work.
    pub(super) fn on_leaving(&mut self, now: Duration) {
        self.is_draining = true;
        self.held_until = now + DRAIN_HOLD;
    }

    fn on_setback(&mut self, now: Duration, kind: ErrorKind, options: &RoutingOptions) {
        match kind {
            ErrorKind::Draining => self.on_leaving(now),
            ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::ShareExceeded
            | ErrorKind::TimedOut => {
                self.held_until = self.held_until.max(now + REFUSAL_HOLD);
            }
            ErrorKind::BadRequest
            | ErrorKind::BadTimeout
            | ErrorKind::BodyTooLarge
            | ErrorKind::HeadTooLarge
            | ErrorKind::UnknownService
            | ErrorKind::KeyInUse
            | ErrorKind::Cancelled => {}
            // One lost link fails many calls; within a hold they are one failure.
            ErrorKind::LinkLost | ErrorKind::GateRestarted if now < self.failing_until => {}
            _ => self.on_failure(now, options),
        }
    }

    fn on_failure(&mut self, now: Duration, options: &RoutingOptions) {
        let weight = self.failure_weight(now, options) + 1.0;
        self.failures = (now, weight);
        let factor = 1_u32.checked_shl(self.failure_run).unwrap_or(u32::MAX);
        let hold = FAILURE_HOLD.saturating_mul(factor).min(MAX_FAILURE_HOLD);
        self.failing_until = now + hold;
        self.held_until = self.held_until.max(self.failing_until);
        self.failure_run = self.failure_run.saturating_add(1).min(16);
    }

    /// Work per place, this attempt included.
    pub(super) fn pressure(
        &self,
        now: Duration,
        means: ServiceMeans,
        options: &RoutingOptions,
    ) -> f64 {
        let places = self.places(now, options);
        let prior = means.others * f64::from(self.slots);
        let others = match self.report {
            Some(record) => {
                let trust = decay(now.saturating_sub(record.at), options.report_half_life);
                record.others * trust + prior * (1.0 - trust)
            }
            None => prior,
        };
        (OWN_WEIGHT * f64::from(self.outstanding_count()) + others + 1.0) / places
    }

    /// Calls it can work on at once, as far as known.
    fn places(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let limit = self.report.map_or(self.slots, |record| record.report.limit);
        let limit = f64::from(limit.clamp(1, self.slots.max(1)));
        limit * self.ramp_share(now, options)
    }

    fn ramp_share(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let Some(joined_at) = self.joined_at else {
            return 1.0;
        };
        let age = now.saturating_sub(joined_at).as_secs_f64();
        let share = age / options.ramp_time.as_secs_f64();
        (RAMP_START + (1.0 - RAMP_START) * share).min(1.0)
    }

    /// Expected latency in microseconds of a call that finds a free slot.
    fn latency_us(&self, now: Duration, means: ServiceMeans, options: &RoutingOptions) -> f64 {
        let answered = match self.latency {
            Some((at, mean_us)) => {
                let trust = decay(now.saturating_sub(at), options.latency_half_life);
                mean_us * trust + means.latency_us * (1.0 - trust)
            }
            None => means.latency_us,
        };
        answered.max(self.waiting_us(now)).max(1.0)
    }

    /// Mean age of the attempts outstanding, in microseconds: a slow-down
    /// shows here before the first slow answer arrives.
    fn waiting_us(&self, now: Duration) -> f64 {
        if self.outstanding.is_empty() {
            return 0.0;
        }
        let ages = self.outstanding.values();
        let total: f64 = ages
            .map(|started| now.saturating_sub(*started).as_secs_f64())
            .sum();
        total * 1e6 / self.outstanding.len() as f64
    }

    /// Expected wait, worsened by slow answers and failures; the lowest score
    /// wins, and an idle upstream of usual latency has about 0.5.
    ///
    /// The root damps the latency, which differs by request as well as by
    /// upstream.
    pub(super) fn score(
        &self,
        now: Duration,
        means: ServiceMeans,
        options: &RoutingOptions,
    ) -> f64 {
        let pressure = self.pressure(now, means, options);
        let wait = pressure + (pressure - 1.0).max(0.0);
        let slowness = self.latency_us(now, means, options) / means.latency_us.max(1.0);
        let failures = 1.0 + FAILURE_WEIGHT * self.failure_weight(now, options);
        let burst = 1.0 + BURST_WEIGHT * self.burst_trust(now);
        slowness.sqrt() * (IDLE_SCORE + wait) * failures * burst
    }

    /// How likely a burst is still on that the last report told of.
    fn burst_trust(&self, now: Duration) -> f64 {
        match self.report {
            Some(record) if record.report.is_slow => {
                decay(now.saturating_sub(record.at), BURST_HALF_LIFE)
            }
            _ => 0.0,
        }
    }
}
