//! Order, waits and refusals at a gate whose calls carry tenants.
//!
//! The order: calls that can still meet their target, then one call of each level that
//! has earned its minimum, then by level, by the tenant's tag
//! ([`fairness`](super::fairness)) and by deadline. A call starts only if it leaves the
//! [`reserve`](super::reserve) of more urgent ones. A queued call that others overtake
//! is refused as soon as it is expected to come too late.

use std::collections::BTreeMap;
use std::time::Duration;

use super::classes::ClassId;
use super::fairness::Level;
use super::reserve::{CallKind, SlotAllowance};
use super::{AdmissionDecision, AdmissionQueue, CallOffer, EstimateRequest, MIN_RETRY_AFTER};
use crate::ids::CallId;

/// Work that is assumed of calls before the first run, in milliseconds of slots.
const MIN_WORK_MS: f64 = 1.0;
/// Weight of a refused no-wait offer in the learned demand: its call is offered to up
/// to three further gates and counts as a whole call where it is placed.
const REFUSED_OFFER_WEIGHT: f64 = 0.25;
/// Least share of the slots that is assumed to be left by higher levels: the share that
/// each level gets regardless of them.
const MIN_SHARE_LEFT: f64 = 0.05;
/// Shortest time between two evaluations of the ranks that are admitted.
const RANK_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// Ranks that a gate refuses at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRanks {
    /// Highest rank (the lowest number) that is refused, as are all below it.
    pub first_refused_rank: u32,
    /// Time until capacity for that rank is expected.
    pub opens_in: Duration,
}

/// Result of the last evaluation of the refused ranks.
#[derive(Debug, Default)]
pub(super) struct RankReport {
    evaluated_at: Option<Duration>,
    refused: Option<RefusedRanks>,
}

/// Share by which a queued or running call is accounted for.
#[derive(Debug, Clone)]
pub(super) struct TenantShare {
    pub(super) level: Level,
    pub(super) tenant: String,
    /// Work that was charged at the start, in milliseconds of slots.
    pub(super) charged_work: f64,
}

impl TenantShare {
    pub(super) fn new(rank: u32, tenant: String) -> Self {
        Self {
            level: Level::of(rank, &tenant),
            tenant,
            charged_work: 0.0,
        }
    }
}

/// A queued call, or one that is compared with them.
#[derive(Debug, Clone, Copy)]
struct OrderedCall<'a> {
    /// Place in the queue; `None` for a call that is not queued.
    index: Option<usize>,
    level: Level,
    /// Rank among nested calls; 0 for others, whose level is their rank.
    nested_rank: u32,
    class: Option<ClassId>,
    tenant: &'a str,
    run_time: Duration,
    target_deadline: Duration,
    is_late: bool,
    tag: f64,
    has_credit: bool,
}

/// Work that precedes a call in the queue.
#[derive(Debug, Default)]
struct QueuedWork {
    count: u32,
    work: Duration,
    /// Calls that take the slots allowed to that call, and their work.
    counted: u32,
    counted_work: Duration,
}

impl QueuedWork {
    fn add(&mut self, call: &OrderedCall<'_>, allowance: &SlotAllowance) {
        self.count += 1;
        self.work += call.run_time;
        let is_exempt = call
            .class
            .is_some_and(|class| allowance.is_exempt(call.level, class));
        if !is_exempt {
            self.counted += 1;
            self.counted_work += call.run_time;
        }
    }
}

impl OrderedCall<'_> {
    fn kind(&self) -> CallKind {
        CallKind {
            level: self.level,
            run_time: self.run_time,
        }
    }
}

fn nested_rank(level: Level, rank: u32) -> u32 {
    if level == Level::NESTED { rank } else { 0 }
}

fn work_ms(run_time: Duration) -> f64 {
    (run_time.as_secs_f64() * 1e3).max(MIN_WORK_MS)
}

/// Slots that calls of one kind may use.
struct SlotUse {
    allowance: SlotAllowance,
    /// Running calls that take those slots.
    running: u32,
}

impl SlotUse {
    fn has_slot(&self) -> bool {
        self.running < self.allowance.allowed
    }
}

/// What the decision on an offer teaches.
pub(super) struct OfferFacts {
    level: Level,
    class: ClassId,
    slack: Duration,
    is_no_wait: bool,
}

impl AdmissionQueue {
    /// Whether ranks and tenants are in force: calls of tenants arrive here.
    pub fn is_fair(&self) -> bool {
        self.fair_shares.is_active()
    }

    /// Prepares the decision on an offer; `None` if no calls of tenants arrive here.
    pub(super) fn observe_offer(&mut self, now: Duration, offer: &CallOffer) -> Option<OfferFacts> {
        if !self.fair_shares.observe(now, &offer.tenant) {
            return None;
        }
        let level = Level::of(offer.rank, &offer.tenant);
        let class = self.run_times.intern(&offer.class);
        let run_time = self.expected_run_time(now, class);
        let max_response_time = if level == Level::NESTED || self.is_short_call(&offer.class) {
            offer.time_left
        } else {
            offer.target_left
        };
        self.fair_shares
            .record_offer(now, level, work_ms(run_time), max_response_time);
        self.fair_shares.advance(now, self.concurrency_limit.get());
        Some(OfferFacts {
            level,
            class,
            slack: offer.target_left.saturating_sub(run_time),
            is_no_wait: offer.no_wait_slot_share.is_some(),
        })
    }

    /// Learns the demand for slots from the decision on an offer.
    pub(super) fn record_decision(
        &mut self,
        now: Duration,
        facts: &OfferFacts,
        decision: &AdmissionDecision,
    ) {
        let count = match decision {
            AdmissionDecision::Refused { .. } if facts.is_no_wait => REFUSED_OFFER_WEIGHT,
            // It was offered without a wait before.
            AdmissionDecision::Refused { .. } => 0.0,
            AdmissionDecision::Start | AdmissionDecision::Queued { .. } => 1.0,
        };
        self.slot_reserve
            .record(now, facts.level, facts.class, facts.slack, count);
        self.evaluate_refused_ranks(now);
    }

    /// Whether an offered call may start before the queued ones: none of them may start
    /// now, and it is one of those that they leave slots to.
    pub(super) fn may_overtake_queue(&self, now: Duration, offer: &CallOffer) -> bool {
        if self.queue.is_empty() || !self.is_fair() {
            return self.queue.is_empty();
        }
        let kind = CallKind {
            level: Level::of(offer.rank, &offer.tenant),
            run_time: self.estimated_run_time(now, &offer.class, offer.target_left),
        };
        let overtakes_all = self.queue.iter().all(|queued_call| {
            queued_call.expires_at <= now
                || kind.is_protected_from(self.kind_of(
                    now,
                    queued_call.share.level,
                    queued_call.class,
                ))
        });
        overtakes_all && self.next_fair_start(now).is_none()
    }

    /// Whether a queued call may start as far as the reserve is concerned.
    pub(super) fn has_startable_call(&self, now: Duration) -> bool {
        !self.queue.is_empty() && (!self.is_fair() || self.next_fair_start(now).is_some())
    }

    /// Whether an offered call that starts now leaves the reserve of more urgent calls.
    pub(super) fn leaves_reserve(&self, now: Duration, offer: &CallOffer) -> bool {
        if !self.is_fair() {
            return true;
        }
        let kind = CallKind {
            level: Level::of(offer.rank, &offer.tenant),
            run_time: self.estimated_run_time(now, &offer.class, offer.target_left),
        };
        self.slot_use(now, kind).has_slot()
    }

    fn kind_of(&self, now: Duration, level: Level, class: ClassId) -> CallKind {
        CallKind {
            level,
            run_time: self.expected_run_time(now, class),
        }
    }

    /// Slots that calls of this kind may use, and their use. At a named rate it is not
    /// the slots that are scarce.
    fn slot_use(&self, now: Duration, kind: CallKind) -> SlotUse {
        let limit = self.concurrency_limit.get();
        if self.pacer.rate().is_some() {
            return SlotUse {
                allowance: SlotAllowance::unreserved(limit),
                running: self.in_flight(),
            };
        }
        let allowance = self
            .slot_reserve
            .allowance(now, kind, limit, |class| self.expected_run_time(now, class));
        let counted = self
            .running
            .values()
            .filter(|run| !allowance.is_exempt(run.share.level, run.class));
        SlotUse {
            running: u32::try_from(counted.count()).unwrap_or(u32::MAX),
            allowance,
        }
    }

    /// Queued calls that have not expired, with `candidate` if there is one, in the order
    /// in which they start.
    fn fair_order<'a>(
        &'a self,
        now: Duration,
        candidate: Option<OrderedCall<'a>>,
    ) -> Vec<OrderedCall<'a>> {
        let queued_calls = self.queue.iter().enumerate();
        let mut calls: Vec<OrderedCall<'a>> = queued_calls
            .filter(|(_, queued_call)| queued_call.expires_at > now)
            .map(|(index, queued_call)| OrderedCall {
                index: Some(index),
                level: queued_call.share.level,
                nested_rank: nested_rank(queued_call.share.level, queued_call.priority.rank),
                class: Some(queued_call.class),
                tenant: &queued_call.share.tenant,
                run_time: self.expected_run_time(now, queued_call.class),
                target_deadline: queued_call.priority.target_deadline,
                is_late: self.would_miss_target(now, queued_call),
                tag: 0.0,
                has_credit: false,
            })
            .chain(candidate)
            .collect();
        calls.sort_by_key(|call| {
            (
                call.is_late,
                call.level,
                call.nested_rank,
                call.target_deadline,
            )
        });
        let mut next_tags: BTreeMap<(Level, &str), f64> = BTreeMap::new();
        for call in &mut calls {
            let next_tag = next_tags
                .entry((call.level, call.tenant))
                .or_insert_with(|| self.fair_shares.tag(call.level, call.tenant));
            call.tag = *next_tag;
            *next_tag += work_ms(call.run_time);
        }
        calls.sort_by(|a, b| {
            (a.is_late, a.level, a.nested_rank)
                .cmp(&(b.is_late, b.level, b.nested_rank))
                .then(a.tag.total_cmp(&b.tag))
                .then(a.target_deadline.cmp(&b.target_deadline))
        });
        let mut last_level = None;
        for call in &mut calls {
            if !call.is_late && last_level != Some(call.level) {
                last_level = Some(call.level);
                call.has_credit = self.fair_shares.has_credit(call.level);
            }
        }
        calls.sort_by_key(|call| (call.is_late, !call.has_credit));
        calls
    }

    /// Queue index of the first call in order that leaves the reserve. A call that the
    /// reserve keeps waiting is overtaken only by those that slots are kept for.
    pub(super) fn next_fair_start(&self, now: Duration) -> Option<usize> {
        let mut waiting_kinds: Vec<CallKind> = Vec::new();
        for call in self.fair_order(now, None) {
            let kind = call.kind();
            let may_overtake = waiting_kinds
                .iter()
                .all(|waiting| kind.is_protected_from(*waiting));
            if !may_overtake {
                continue;
            }
            if self.slot_use(now, kind).has_slot() {
                return call.index;
            }
            waiting_kinds.push(kind);
        }
        None
    }

    /// Queue indices in the order in which the calls start.
    pub(super) fn fair_indices(&self, now: Duration) -> Vec<usize> {
        let order = self.fair_order(now, None);
        order.into_iter().filter_map(|call| call.index).collect()
    }

    fn candidate<'a>(
        &self,
        now: Duration,
        call: &EstimateRequest<'a>,
        run_time: Duration,
    ) -> OrderedCall<'a> {
        OrderedCall {
            index: None,
            level: Level::of(call.rank, call.tenant),
            nested_rank: nested_rank(Level::of(call.rank, call.tenant), call.rank),
            class: None,
            tenant: call.tenant,
            run_time,
            target_deadline: now + call.target_left,
            is_late: false,
            tag: 0.0,
            has_credit: false,
        }
    }

    /// Expected time until this call starts, if it is queued now.
    pub(super) fn fair_wait(&self, now: Duration, call: &EstimateRequest<'_>) -> Duration {
        let run_time = self.estimated_run_time(now, call.class, call.target_left);
        self.candidate_wait(now, self.candidate(now, call, run_time))
    }

    fn candidate_wait(&self, now: Duration, candidate: OrderedCall<'_>) -> Duration {
        let order = self.fair_order(now, Some(candidate));
        let ahead = order.iter().take_while(|call| call.index.is_some());
        let slot_use = self.slot_use(now, candidate.kind());
        let mut wait = QueuedWork::default();
        for call in ahead {
            wait.add(call, &slot_use.allowance);
        }
        self.wait_behind(now, &slot_use, &wait)
    }

    /// Like [`candidate_wait`](Self::candidate_wait), with the work of higher levels that
    /// is expected to arrive meanwhile.
    fn wait_with_overtaking(&self, now: Duration, candidate: OrderedCall<'_>) -> Duration {
        let wait = self.candidate_wait(now, candidate);
        if self.fair_shares.has_credit(candidate.level) {
            return wait;
        }
        let limit = f64::from(self.concurrency_limit.get().max(1));
        let used_above = self.fair_shares.slots_used_above(now, candidate.level);
        let share_left = (1.0 - used_above / limit).max(MIN_SHARE_LEFT);
        wait.div_f64(share_left)
    }

    /// Expected time until a call starts that this work precedes.
    fn wait_behind(&self, now: Duration, slot_use: &SlotUse, ahead: &QueuedWork) -> Duration {
        let limit = self.concurrency_limit.get();
        let allowed = slot_use.allowance.allowed;
        let mut wait = self.pacer.time_to_start(now, ahead.count);
        let running_latency = self.running_latency_estimate(now);
        if self.in_flight() + ahead.count >= limit {
            let slots_to_free = self.in_flight().saturating_sub(limit) + 1;
            let work = running_latency * slots_to_free + ahead.work;
            wait = wait.max(work / limit.max(1));
        }
        if slot_use.running + ahead.counted >= allowed {
            let slots_to_free = slot_use.running.saturating_sub(allowed) + 1;
            let work = running_latency * slots_to_free + ahead.counted_work;
            wait = wait.max(work / allowed.max(1));
        }
        wait.max(self.burst_remainder(now))
    }

    /// Evicts the last queued call if `call` precedes it; returns whether it did.
    pub(super) fn evict_for_fairness(&mut self, now: Duration, call: &EstimateRequest<'_>) -> bool {
        let run_time = self.estimated_run_time(now, call.class, call.target_left);
        let order = self.fair_order(now, Some(self.candidate(now, call, run_time)));
        let Some(index) = order.last().and_then(|last| last.index) else {
            return false;
        };
        self.evict(index);
        true
    }

    /// Evicts the calls that are expected to start too late since others have overtaken
    /// them.
    pub(super) fn evict_overtaken(&mut self, now: Duration) {
        if !self.is_fair() || self.in_flight() < self.concurrency_limit.get() {
            return;
        }
        let order = self.fair_order(now, None);
        let mut slot_uses: BTreeMap<(Level, Duration), (SlotUse, QueuedWork)> = BTreeMap::new();
        for call in &order {
            let kind = call.kind();
            slot_uses
                .entry((kind.level, kind.run_time))
                .or_insert_with(|| (self.slot_use(now, kind), QueuedWork::default()));
        }
        let mut late_indices = Vec::new();
        for call in &order {
            let Some(index) = call.index else {
                continue;
            };
            if let Some((slot_use, ahead)) = slot_uses.get(&(call.level, call.run_time)) {
                let start_at = now + self.wait_behind(now, slot_use, ahead);
                let queued_call = &self.queue[index];
                let is_late = queued_call.expires_at < start_at
                    || self.would_miss_target(start_at, queued_call);
                if is_late && ahead.count > 0 {
                    late_indices.push(index);
                    continue;
                }
            }
            for (slot_use, ahead) in slot_uses.values_mut() {
                ahead.add(call, &slot_use.allowance);
            }
        }
        late_indices.sort_unstable();
        for index in late_indices.into_iter().rev() {
            self.evict(index);
        }
    }

    /// Charges the tenant of a call that starts.
    pub(super) fn charge_start(&mut self, now: Duration, class: ClassId, share: &mut TenantShare) {
        if !self.is_fair() {
            return;
        }
        let work = work_ms(self.expected_run_time(now, class));
        share.charged_work = work;
        self.fair_shares.advance(now, self.concurrency_limit.get());
        self.fair_shares
            .record_start(now, share.level, &share.tenant, work);
    }

    /// Replaces the expected work of a run by the actual one.
    pub(super) fn settle_charge(&mut self, share: &TenantShare, actual_run_time: Duration) {
        if self.is_fair() && share.charged_work > 0.0 {
            let difference = actual_run_time.as_secs_f64() * 1e3 - share.charged_work;
            self.fair_shares
                .correct_charge(share.level, &share.tenant, difference);
        }
    }

    /// Time after which a refused caller should return.
    pub fn spread_return_time(
        &mut self,
        now: Duration,
        call: &EstimateRequest<'_>,
        wait: Duration,
        time_left: Duration,
    ) -> Duration {
        if !self.is_fair() || self.pacer.rate().is_some() {
            return self.return_time(now, wait, time_left);
        }
        let level = Level::of(call.rank, call.tenant);
        let interval = self.running_latency_estimate(now) / self.concurrency_limit.get().max(1);
        self.fair_shares
            .return_time(now, level, wait, interval, time_left)
    }

    /// Ranks refused at present, to be reported to the ingresses; `None` if there are
    /// none or no calls of tenants arrive here.
    pub fn refused_ranks(&self) -> Option<RefusedRanks> {
        self.rank_report.refused.filter(|_| self.is_fair())
    }

    /// Evaluates which ranks would be refused even to a tenant without any work here and
    /// to the most patient of the latest calls.
    pub(super) fn evaluate_refused_ranks(&mut self, now: Duration) {
        let is_recent = self
            .rank_report
            .evaluated_at
            .is_some_and(|at| now.saturating_sub(at) < RANK_REPORT_INTERVAL);
        if is_recent {
            return;
        }
        self.rank_report.evaluated_at = Some(now);
        let mut refused = None;
        for (level, work, patience) in self.fair_shares.offering_levels(now) {
            let Some(rank) = level.rank() else {
                break;
            };
            let run_time = Duration::from_secs_f64(work / 1e3);
            let candidate = OrderedCall {
                index: None,
                level,
                nested_rank: 0,
                class: None,
                // No tenant has an empty name, so that this one has no work here.
                tenant: "",
                run_time,
                target_deadline: now + patience,
                is_late: false,
                tag: 0.0,
                has_credit: false,
            };
            let wait = self.wait_with_overtaking(now, candidate);
            let response_time = wait + run_time;
            if response_time <= patience && wait <= self.options.max_queue_wait {
                break;
            }
            let excess = response_time.saturating_sub(patience);
            refused = Some(RefusedRanks {
                first_refused_rank: rank,
                opens_in: excess
                    .max(wait.saturating_sub(self.options.max_queue_wait))
                    .max(MIN_RETRY_AFTER),
            });
        }
        self.rank_report.refused = refused;
    }

    /// Like [`admits_past_target`](Self::admits_past_target), for a caller of this tenant.
    pub fn admits_offer_past_target(&self, now: Duration, class: &str, tenant: &str) -> bool {
        self.is_nested_call(tenant) || self.admits_past_target(now, class)
    }

    /// Running calls by which the use of the concurrency limit is judged. Slots that the
    /// reserve keeps free while calls wait for them count as used; the limit would not
    /// rise again otherwise.
    pub(super) fn in_flight_with_reserve(&self) -> u32 {
        if self.is_fair() && !self.queue.is_empty() {
            self.in_flight().max(self.concurrency_limit.get())
        } else {
            self.in_flight()
        }
    }

    /// Whether the call is nested in a run that waits for it.
    pub(super) fn is_nested_call(&self, tenant: &str) -> bool {
        self.is_fair() && tenant.is_empty()
    }

    /// Removes the offered call from those evicted; returns whether it was among them.
    pub(super) fn take_evicted_offer(&mut self, call: CallId) -> bool {
        let index = self.evicted.iter().position(|evicted| *evicted == call);
        if let Some(index) = index {
            self.evicted.remove(index);
        }
        index.is_some()
    }
}
