//! Load, latency and failure statistics of one upstream, and its score.
//!
//! Values lose weight with age. The means of the service ([`ServiceMeans`])
//! replace what is unknown or too old.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AttemptNumber, AttemptResult, LoadReport, LocalityTier, ProbeBucket, RoutingOptions};
use crate::error::ErrorKind;
use crate::ids::NodeIncarnation;
use crate::rate_limit::StartRate;

/// Time for which new calls avoid an upstream after a refusal for lack of capacity.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(10);
/// Time for which new calls avoid an upstream after a first failure; doubles with each
/// consecutive failure.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest time for which new calls avoid an upstream after failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Time after which a refusal for draining expires if the routing table has not
/// shown a new state of the upstream by then.
pub(super) const DRAIN_BACKOFF: Duration = Duration::from_secs(30);
/// Time after which a refusal in an evacuated zone expires. The routing table shows the
/// evacuation within that time; if it doesn't, the evacuation has ended.
const EVACUATION_BACKOFF: Duration = Duration::from_secs(2);
/// Relative increase of the score for one failure that has just happened.
const FAILURE_PENALTY: f64 = 4.0;
/// Relative increase of the score for a slow VM that was just reported.
const SLOW_VM_PENALTY: f64 = 4.0;
/// Age at which a reported slow VM has recovered with probability 1/2. Bursts of
/// other VMs last about 150 ms on the users' hosts.
const SLOW_VM_HALF_LIFE: Duration = Duration::from_millis(75);
/// Share of its capacity that an upstream gets when it joins.
const SLOW_START_INITIAL_SHARE: f64 = 0.1;
/// Weight of an attempt of this node relative to a reported call. The own count
/// is never stale, and other ingresses have probably sent calls since as well.
const OWN_ATTEMPT_WEIGHT: f64 = 4.0;
/// Doublings of the pause after refusals at a named rate.
const MAX_RATE_BACKOFF_SHIFT: u32 = 4;
/// Longest pause after such refusals, beyond the time of the next start.
const MAX_ASK_BACKOFF: Duration = Duration::from_secs(1);
/// Score of an upstream without any calls.
pub(super) const IDLE_SCORE: f64 = 0.5;
/// Number of answers that the moving average of the latency covers.
const LATENCY_EWMA_SAMPLES: f64 = 8.0;

/// Mean values of a service, used for an upstream without recent values of its own.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceMeans {
    /// Mean latency of answers, in microseconds.
    pub(super) latency_us: f64,
    /// Mean number of calls of other ingresses per slot.
    pub(super) other_ingress_calls_per_slot: f64,
}

/// Load, latency and failure history of one upstream.
#[derive(Debug, Clone)]
pub(super) struct UpstreamStats {
    pub(super) incarnation: NodeIncarnation,
    pub(super) tier: LocalityTier,
    pub(super) slots: u32,
    pub(super) probe_bucket: ProbeBucket,
    pub(super) needs_probe: bool,
    joined_at: Option<Duration>,
    outstanding: BTreeMap<AttemptNumber, Duration>,
    report: Option<ReportRecord>,
    /// Time from which a named rate lets another call start.
    next_start_at: Duration,
    /// Time from which a call may ask for an immediate start again.
    ask_again_at: Duration,
    /// Refusals at the named rate since the last answer.
    rate_refusals: u32,
    /// Time of the last sample and mean in microseconds.
    mean_latency: Option<(Duration, f64)>,
    /// Time of the last failure and weight at that time.
    failure_weight: (Duration, f64),
    backoff_until: Duration,
    failure_backoff_until: Duration,
    consecutive_failures: u32,
    is_draining: bool,
}

#[derive(Debug, Clone, Copy)]
struct ReportRecord {
    received_at: Duration,
    report: LoadReport,
    other_ingress_calls: f64,
}

/// Remaining weight of a value of the given age.
fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
}

impl UpstreamStats {
    pub(super) fn new(
        now: Duration,
        incarnation: NodeIncarnation,
        tier: LocalityTier,
        slots: u32,
        joined_at: Option<Duration>,
    ) -> Self {
        Self {
            incarnation,
            tier,
            slots,
            probe_bucket: ProbeBucket::new(now),
            needs_probe: false,
            joined_at,
            outstanding: BTreeMap::new(),
            report: None,
            next_start_at: Duration::ZERO,
            ask_again_at: Duration::ZERO,
            rate_refusals: 0,
            mean_latency: None,
            failure_weight: (now, 0.0),
            backoff_until: Duration::ZERO,
            failure_backoff_until: Duration::ZERO,
            consecutive_failures: 0,
            is_draining: false,
        }
    }

    /// Clears the statistics after a restart of the node. Outstanding attempts
    /// stay counted, and the probe bucket is kept.
    pub(super) fn reset(&mut self, now: Duration, incarnation: NodeIncarnation) {
        let initial = Self::new(now, incarnation, self.tier, self.slots, Some(now));
        let outstanding = std::mem::take(&mut self.outstanding);
        let probe_bucket = self.probe_bucket.clone();
        *self = Self {
            outstanding,
            probe_bucket,
            ..initial
        };
    }

    /// Calls of other ingresses per slot according to the last report.
    pub(super) fn other_ingress_calls_per_slot(&self) -> f64 {
        let other_ingress_calls = self.report.map_or(0.0, |record| record.other_ingress_calls);
        other_ingress_calls / f64::from(self.slots.max(1))
    }

    pub(super) fn outstanding_count(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn report_with_age(&self, now: Duration) -> Option<(LoadReport, Duration)> {
        self.report
            .map(|record| (record.report, now.saturating_sub(record.received_at)))
    }

    pub(super) fn failure_weight(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let (at, weight) = self.failure_weight;
        weight * decay_factor(now.saturating_sub(at), options.failure_half_life)
    }

    /// Whether a call must not go here even as a last resort: a draining
    /// upstream would refuse it, and a failing one might run a non-idempotent
    /// call without answering it.
    pub(super) fn is_excluded(&self, now: Duration, is_idempotent: bool) -> bool {
        let is_failing = self.consecutive_failures > 0 && !is_idempotent;
        now < self.backoff_until && (self.is_draining || is_failing)
    }

    /// Whether a call may test an upstream that is excluded for its failures, since
    /// all others are excluded as well: one call of this node at a time.
    pub(super) fn may_test_excluded(&self) -> bool {
        !self.is_draining && self.outstanding.is_empty()
    }

    /// Whether a call prefers other upstreams while there are any.
    ///
    /// After a failure only an idempotent call tests whether the upstream has
    /// recovered, because a failed run of any other call can't be repeated. If
    /// the service has no idempotent calls, one other call at a time is the test.
    pub(super) fn is_avoided(
        &self,
        now: Duration,
        is_idempotent: bool,
        has_recent_idempotent: bool,
    ) -> bool {
        let may_test_recovery =
            is_idempotent || (!has_recent_idempotent && self.outstanding.is_empty());
        now < self.backoff_until
            || self.is_rate_used_up(now)
            || (self.consecutive_failures > 0 && !may_test_recovery)
    }

    pub(super) fn start_attempt(&mut self, now: Duration, attempt: AttemptNumber) {
        self.outstanding.insert(attempt, now);
        if let Some(rate) = self.start_rate() {
            self.next_start_at = self.next_start_at.max(now) + rate.interval();
            self.ask_again_at = self.ask_again_at.max(self.next_start_at);
        }
    }

    /// Rate that the backend server named, by the last report.
    fn start_rate(&self) -> Option<StartRate> {
        self.report.and_then(|record| record.report.start_rate)
    }

    /// Whether the backend server named a rate.
    pub(super) fn is_limited(&self) -> bool {
        self.start_rate().is_some()
    }

    /// Whether a call is likely to be refused because of that rate if it asks for an
    /// immediate start.
    pub(super) fn is_rate_used_up(&self, now: Duration) -> bool {
        self.is_limited() && now < self.ask_again_at
    }

    /// Time for which calls don't ask after the next start: each start is taken by one
    /// of many ingresses, and the others would ask in vain.
    fn ask_backoff(&self) -> Duration {
        let Some(rate) = self.start_rate() else {
            return Duration::ZERO;
        };
        let intervals = (1 << self.rate_refusals.min(MAX_RATE_BACKOFF_SHIFT)) - 1;
        (rate.interval() * intervals).min(MAX_ASK_BACKOFF)
    }

    /// Time until that rate lets another call start.
    pub(super) fn time_to_start(&self, now: Duration) -> Duration {
        self.next_start_at.saturating_sub(now)
    }

    pub(super) fn record_report(&mut self, now: Duration, report: LoadReport) {
        let total = f64::from(report.in_flight) + f64::from(report.queued);
        let other_ingress_calls = (total - f64::from(self.outstanding_count())).max(0.0);
        self.report = Some(ReportRecord {
            received_at: now,
            report,
            other_ingress_calls,
        });
        self.next_start_at = now + report.next_start;
        self.ask_again_at = self.next_start_at + self.ask_backoff();
        self.needs_probe = false;
    }

    /// Ends an attempt; returns its latency if it was answered.
    pub(super) fn finish_attempt(
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
                self.record_latency(now, latency, options);
                self.consecutive_failures = 0;
                self.rate_refusals = 0;
                return Some(latency);
            }
            AttemptResult::AnsweredServerError => self.record_failure(now, options),
            AttemptResult::Refused(kind) | AttemptResult::Failed(kind) => {
                self.record_error(now, kind, options);
            }
            AttemptResult::Cancelled => self.record_latency(now, latency, options),
        }
        None
    }

    fn record_latency(&mut self, now: Duration, latency: Duration, options: &RoutingOptions) {
        let sample_us = latency.as_secs_f64() * 1e6;
        let Some((at, mean_us)) = self.mean_latency else {
            self.mean_latency = Some((now, sample_us));
            return;
        };
        let old_weight = decay_factor(now.saturating_sub(at), options.latency_half_life);
        let weight = (1.0 - old_weight).max(1.0 / LATENCY_EWMA_SAMPLES);
        self.mean_latency = Some((now, mean_us + weight * (sample_us - mean_us)));
    }

    /// Records that the gate accepts no new calls.
    pub(super) fn mark_draining(&mut self, now: Duration, backoff: Duration) {
        self.is_draining = true;
        self.backoff_until = now + backoff;
    }

    fn record_error(&mut self, now: Duration, kind: ErrorKind, options: &RoutingOptions) {
        match kind {
            ErrorKind::Draining => self.mark_draining(now, DRAIN_BACKOFF),
            ErrorKind::ZoneEvacuated => self.mark_draining(now, EVACUATION_BACKOFF),
            ErrorKind::Overloaded
            | ErrorKind::WaitTooLong
            | ErrorKind::ShareExceeded
            | ErrorKind::TimedOut => {
                self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
                if self.is_limited() {
                    self.rate_refusals = self.rate_refusals.saturating_add(1);
                    self.ask_again_at = self.next_start_at + self.ask_backoff();
                }
            }
            ErrorKind::BadRequest
            | ErrorKind::BadTimeout
            | ErrorKind::BodyTooLarge
            | ErrorKind::HeadTooLarge
            | ErrorKind::UnknownService
            | ErrorKind::KeyInUse
            | ErrorKind::Cancelled => {}
            // One lost link fails many calls; during a backoff they count as one failure.
            ErrorKind::LinkLost | ErrorKind::GateRestarted if now < self.failure_backoff_until => {}
            _ => self.record_failure(now, options),
        }
    }

    fn record_failure(&mut self, now: Duration, options: &RoutingOptions) {
        let weight = self.failure_weight(now, options) + 1.0;
        self.failure_weight = (now, weight);
        let factor = 1_u32
            .checked_shl(self.consecutive_failures)
            .unwrap_or(u32::MAX);
        let backoff = INITIAL_FAILURE_BACKOFF
            .saturating_mul(factor)
            .min(MAX_FAILURE_BACKOFF);
        self.failure_backoff_until = now + backoff;
        self.backoff_until = self.backoff_until.max(self.failure_backoff_until);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1).min(16);
    }

    /// Weighted number of calls per unit of capacity, the next attempt included.
    pub(super) fn utilization(
        &self,
        now: Duration,
        means: ServiceMeans,
        options: &RoutingOptions,
    ) -> f64 {
        let capacity = self.capacity(now, options);
        let mean_calls = means.other_ingress_calls_per_slot * f64::from(self.slots);
        let other_ingress_calls = match self.report {
            Some(record) => {
                let report_weight = decay_factor(
                    now.saturating_sub(record.received_at),
                    options.report_half_life,
                );
                record.other_ingress_calls * report_weight + mean_calls * (1.0 - report_weight)
            }
            None => mean_calls,
        };
        (OWN_ATTEMPT_WEIGHT * f64::from(self.outstanding_count()) + other_ingress_calls + 1.0)
            / capacity
    }

    /// Number of calls that the upstream is assumed to run concurrently.
    ///
    /// A named rate doesn't lower it: whenever the rate lets a call start, the slots are
    /// there, and a limited upstream that got no calls would never state its end.
    fn capacity(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let limit = self.report.map_or(self.slots, |record| record.report.limit);
        let limit = f64::from(limit.clamp(1, self.slots.max(1)));
        limit * self.slow_start_share(now, options)
    }

    fn slow_start_share(&self, now: Duration, options: &RoutingOptions) -> f64 {
        let Some(joined_at) = self.joined_at else {
            return 1.0;
        };
        let age = now.saturating_sub(joined_at).as_secs_f64();
        let share = age / options.slow_start_window.as_secs_f64();
        (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * share).min(1.0)
    }

    /// Expected latency, in microseconds, of a call that gets a slot at once.
    fn expected_latency_us(
        &self,
        now: Duration,
        means: ServiceMeans,
        options: &RoutingOptions,
    ) -> f64 {
        let estimate_us = match self.mean_latency {
            Some((at, mean_us)) => {
                let mean_weight = decay_factor(now.saturating_sub(at), options.latency_half_life);
                mean_us * mean_weight + means.latency_us * (1.0 - mean_weight)
            }
            None => means.latency_us,
        };
        estimate_us.max(self.mean_outstanding_age_us(now)).max(1.0)
    }

    /// Mean age of the outstanding attempts, which shows a slowdown before the
    /// first slow answer arrives.
    fn mean_outstanding_age_us(&self, now: Duration) -> f64 {
        if self.outstanding.is_empty() {
            return 0.0;
        }
        let started_at = self.outstanding.values();
        let total: f64 = started_at
            .map(|started| now.saturating_sub(*started).as_secs_f64())
            .sum();
        total * 1e6 / self.outstanding.len() as f64
    }

    /// Expected wait, multiplied by penalties for slow answers, failures and a
    /// slow VM. The lowest score wins; that of an idle upstream with usual
    /// latency is about 0.5.
    ///
    /// The square root damps the latency, which varies by request as well as by
    /// upstream.
    pub(super) fn score(
        &self,
        now: Duration,
        means: ServiceMeans,
        options: &RoutingOptions,
    ) -> f64 {
        let utilization = self.utilization(now, means, options);
        let wait = utilization + (utilization - 1.0).max(0.0);
        let latency_ratio =
            self.expected_latency_us(now, means, options) / means.latency_us.max(1.0);
        let failure_factor = 1.0 + FAILURE_PENALTY * self.failure_weight(now, options);
        let slow_vm_factor = 1.0 + SLOW_VM_PENALTY * self.slow_vm_probability(now);
        latency_ratio.sqrt() * (IDLE_SCORE + wait) * failure_factor * slow_vm_factor
    }

    /// Probability that a VM reported as slow is still slow.
    fn slow_vm_probability(&self, now: Duration) -> f64 {
        match self.report {
            Some(record) if record.report.is_slow => {
                decay_factor(now.saturating_sub(record.received_at), SLOW_VM_HALF_LIFE)
            }
            _ => 0.0,
        }
    }
}
