//! Slots that long calls leave to more urgent ones.
//!
//! Answers a burst of long calls of a low rank (640 ms) in front of short nested calls
//! (40 ms, 150 ms to their objective): once the long calls hold all slots, the nested
//! ones wait for the end of a long run, whatever their precedence. A call may therefore
//! start only if it leaves slots for the calls with precedence over it that can't wait
//! for the end of one run of its kind. Their demand is learned from arrivals and fades
//! within seconds, so that the slots are lent when nobody needs them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::SHORT_CALL_RATIO;
use super::classes::ClassId;
use super::fairness::{Level, RecentMaximum};

/// Time constant with which arrivals are forgotten.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Kinds of calls whose demand is tracked; beyond it the weakest are dropped.
const MAX_TRACKED_KINDS: usize = 128;
/// Demand, in slots, below which no slot is reserved: less than one call in ten would
/// meet another one waiting for it.
const MIN_DEMAND: f64 = 0.1;
/// Reserved slots beyond the mean demand, as a multiple of its square root: arrivals
/// come in random clusters.
const CLUSTER_MARGIN: f64 = 0.5;

/// A call's precedence and expected run time.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallKind {
    pub(super) level: Level,
    pub(super) run_time: Duration,
}

impl CallKind {
    /// Whether slots are kept for calls of this kind against those of `other`: it has
    /// precedence, or it is short beside a call of the same level.
    pub(super) fn is_protected_from(self, other: Self) -> bool {
        self.level < other.level
            || (self.level == other.level && self.run_time * SHORT_CALL_RATIO <= other.run_time)
    }
}

#[derive(Debug)]
struct Demand {
    /// Calls within the time constant, decayed to `updated_at`.
    calls: f64,
    updated_at: Duration,
    /// Longest time for which the calls can wait for a slot. Offers that were refused
    /// elsewhere have less left, which says nothing of their kind.
    slack: RecentMaximum,
}

impl Demand {
    fn calls_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.calls * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn rate_at(&self, now: Duration) -> f64 {
        self.calls_at(now) / DEMAND_TIME_CONSTANT.as_secs_f64()
    }
}

/// Demand for slots by the calls that arrive at one gate.
#[derive(Debug, Default)]
pub(super) struct SlotReserve {
    demand_by_kind: BTreeMap<(Level, ClassId), Demand>,
}

impl SlotReserve {
    /// Records an arrival that can wait for `slack`, counted as this number of calls.
    pub(super) fn record(
        &mut self,
        now: Duration,
        level: Level,
        class: ClassId,
        slack: Duration,
        count: f64,
    ) {
        let demand = self
            .demand_by_kind
            .entry((level, class))
            .or_insert_with(|| Demand {
                calls: 0.0,
                updated_at: now,
                slack: RecentMaximum::default(),
            });
        demand.calls = demand.calls_at(now) + count;
        demand.updated_at = now;
        demand.slack.record(now, slack);
        if self.demand_by_kind.len() > MAX_TRACKED_KINDS {
            self.drop_weakest(now);
        }
    }

    fn drop_weakest(&mut self, now: Duration) {
        let weakest = self
            .demand_by_kind
            .iter()
            .min_by(|(_, a), (_, b)| a.calls_at(now).total_cmp(&b.calls_at(now)))
            .map(|(kind, _)| *kind);
        if let Some(kind) = weakest {
            self.demand_by_kind.remove(&kind);
        }
    }

    /// Kinds that slots are kept for against calls of `kind`.
    fn urgent_kinds(
        &self,
        kind: CallKind,
        run_time_of: impl Fn(ClassId) -> Duration,
    ) -> impl Iterator<Item = (Level, ClassId, Duration, &Demand)> {
        self.demand_by_kind
            .iter()
            .filter_map(move |((level, class), demand)| {
                let run_time = run_time_of(*class);
                let urgent = CallKind {
                    level: *level,
                    run_time,
                };
                let is_urgent =
                    urgent.is_protected_from(kind) && demand.slack.get() < kind.run_time;
                is_urgent.then_some((*level, *class, run_time, demand))
            })
    }

    /// Slots, of `slots`, that a call of this kind must leave to others. One is always
    /// left to it.
    pub(super) fn allowance(
        &self,
        now: Duration,
        kind: CallKind,
        slots: u32,
        run_time_of: impl Fn(ClassId) -> Duration,
    ) -> SlotAllowance {
        let mut demand_in_slots = 0.0;
        let mut urgent = BTreeSet::new();
        for (level, class, run_time, demand) in self.urgent_kinds(kind, run_time_of) {
            demand_in_slots += demand.rate_at(now) * run_time.as_secs_f64();
            urgent.insert((level, class));
        }
        if demand_in_slots < MIN_DEMAND {
            return SlotAllowance::unreserved(slots);
        }
        let reserved = (demand_in_slots + CLUSTER_MARGIN * demand_in_slots.sqrt()).ceil();
        let reserved = (reserved as u32).min(slots.saturating_sub(1));
        SlotAllowance {
            allowed: slots - reserved,
            urgent,
        }
    }
}

/// Slots that a call may use beside others that are not urgent against it.
#[derive(Debug)]
pub(super) struct SlotAllowance {
    pub(super) allowed: u32,
    urgent: BTreeSet<(Level, ClassId)>,
}

impl SlotAllowance {
    /// Allowance of a call that leaves no slots to others.
    pub(super) fn unreserved(slots: u32) -> Self {
        Self {
            allowed: slots,
            urgent: BTreeSet::new(),
        }
    }

    /// Whether calls of this class take none of the allowed slots, as they use the
    /// reserved ones.
    pub(super) fn is_exempt(&self, level: Level, class: ClassId) -> bool {
        self.urgent.contains(&(level, class))
    }
}
