//! Shares of a gate's work between ranks and tenants.
//!
//! Answers the load of a fleet in which one tenant offers ten times its usual load
//! beside 70 others, and bursts of a low rank compete with a higher one. Within a rank,
//! work (milliseconds of slots) is divided by start-time fair queueing: each tenant has
//! a tag that grows by the work of its calls, the call with the lowest tag starts next,
//! and the virtual time of the rank is the highest tag of a started call. A tenant that
//! was idle continues at the virtual time: it has precedence over those that used its
//! share meanwhile, but no claim on the past. A higher rank goes first, and each rank
//! that offers calls earns a small minimum of work that has precedence over all.
//!
//! Only tags above the virtual time are kept, so that the state is bounded by the calls
//! that started lately, and by [`MAX_TAGS`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::rate_limit::{ReturnSchedule, StartRate};

/// Tenants for which a level keeps a tag above its virtual time.
const MAX_TAGS: usize = 5_000;
/// Number of tags from which those at the virtual time are removed.
const MIN_PRUNE_TAGS: usize = 64;
/// Ranks beyond this one share its level.
const MAX_RANK: u32 = 31;
/// Share of the slots' work that a level with calls gets regardless of higher levels.
const MIN_LEVEL_SHARE: f64 = 0.05;
/// Share that the minima of all levels take together at most: with twenty ranks, they
/// would leave nothing to the order otherwise.
const MAX_MINIMA_SHARE: f64 = 0.25;
/// Calls of mean work for which a level can save up its minimum.
const MAX_SAVED_CALLS: f64 = 2.0;
/// Time constant of the mean slots that a level uses.
const STARTED_WORK_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time without a call after which a level earns no minimum.
const LEVEL_IDLE_AFTER: Duration = Duration::from_secs(1);
/// Time without a call of a tenant after which a gate returns to the order for
/// deployments without tenants.
const TENANT_RETENTION: Duration = Duration::from_secs(60);
/// Weight of a new call in the mean work of its level.
const WORK_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Time for which a [`RecentMaximum`] remembers a duration, if calls go on; at most twice
/// as long. When a burst ends, only repeated offers follow for a second or so, with little
/// time left, which say nothing of the next calls.
const MAXIMUM_PERIOD: Duration = Duration::from_secs(5);

/// Precedence among calls: nested calls first, then the others by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Level(u32);

impl Level {
    /// Level of calls without a tenant in a deployment with tenants: a run waits for
    /// them, whose work would be lost with them.
    pub(super) const NESTED: Self = Self(0);

    pub(super) fn of(rank: u32, tenant: &str) -> Self {
        if tenant.is_empty() {
            Self::NESTED
        } else {
            Self(1 + rank.min(MAX_RANK))
        }
    }

    /// Rank of the level's calls; `None` for nested calls.
    pub(super) fn rank(self) -> Option<u32> {
        self.0.checked_sub(1)
    }
}

/// Longest of the durations recorded lately.
#[derive(Debug, Default)]
pub(super) struct RecentMaximum {
    period_started_at: Duration,
    current: Duration,
    previous: Duration,
}

impl RecentMaximum {
    pub(super) fn record(&mut self, now: Duration, duration: Duration) {
        if now.saturating_sub(self.period_started_at) >= MAXIMUM_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.period_started_at = now;
        }
        self.current = self.current.max(duration);
    }

    pub(super) fn get(&self) -> Duration {
        self.current.max(self.previous)
    }
}

#[derive(Debug, Default)]
struct LevelShares {
    /// Highest tag of a started call, in milliseconds of slots.
    virtual_time: f64,
    /// Tags of the tenants' next calls; those absent are at the virtual time.
    tags: BTreeMap<String, f64>,
    /// Number of tags at which the next removal of old ones is due.
    prune_at: usize,
    /// Earned minimum that is not used yet, in milliseconds of slots.
    credit: f64,
    /// Mean work of the offered calls, in milliseconds of slots.
    mean_work: Option<f64>,
    last_offer_at: Duration,
    /// Work that started within the time constant, decayed to `started_at`, in
    /// milliseconds of slots.
    started_work: f64,
    started_at: Duration,
    /// Longest admissible response time.
    patience: RecentMaximum,
    returns: ReturnSchedule,
}

impl LevelShares {
    fn tag(&self, tenant: &str) -> f64 {
        let tag = self.tags.get(tenant).copied();
        tag.unwrap_or(self.virtual_time).max(self.virtual_time)
    }

    fn set_tag(&mut self, tenant: &str, tag: f64) {
        if tag <= self.virtual_time {
            self.tags.remove(tenant);
            return;
        }
        match self.tags.get_mut(tenant) {
            Some(stored) => *stored = tag,
            None => {
                self.tags.insert(tenant.to_string(), tag);
            }
        }
        if self.tags.len() >= self.prune_at.max(MIN_PRUNE_TAGS) {
            self.prune();
        }
    }

    /// Removes the tags at the virtual time and, of too many others, the lowest, which
    /// say least.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.tags.retain(|_, tag| *tag > virtual_time);
        if self.tags.len() >= MAX_TAGS {
            let mut values: Vec<f64> = self.tags.values().copied().collect();
            values.sort_by(f64::total_cmp);
            let median = values[values.len() / 2];
            self.tags.retain(|_, tag| *tag > median);
        }
        self.prune_at = (self.tags.len() * 2).min(MAX_TAGS);
    }

    fn max_credit(&self) -> f64 {
        self.mean_work.unwrap_or_default() * MAX_SAVED_CALLS
    }

    /// Slots that the calls started lately use on average.
    fn slots_used(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started_at).as_secs_f64();
        let constant = STARTED_WORK_TIME_CONSTANT.as_secs_f64();
        self.started_work * (-age / constant).exp() / (constant * 1e3)
    }

    fn is_offering(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_offer_at) < LEVEL_IDLE_AFTER
    }
}

/// Work shares of all ranks and tenants at one gate.
#[derive(Debug)]
pub(super) struct FairShares {
    is_enabled: bool,
    last_tenant_call_at: Option<Duration>,
    advanced_at: Duration,
    levels: BTreeMap<Level, LevelShares>,
}

impl FairShares {
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            last_tenant_call_at: None,
            advanced_at: Duration::ZERO,
            levels: BTreeMap::new(),
        }
    }

    /// Whether calls of tenants arrive here.
    pub(super) fn is_active(&self) -> bool {
        self.last_tenant_call_at.is_some()
    }

    /// Notes whether an offered call has a tenant; returns whether shares are in force.
    pub(super) fn observe(&mut self, now: Duration, tenant: &str) -> bool {
        if !self.is_enabled {
            return false;
        }
        if !tenant.is_empty() {
            if self.last_tenant_call_at.is_none() {
                self.advanced_at = now;
            }
            self.last_tenant_call_at = Some(now);
        }
        let is_expired = self
            .last_tenant_call_at
            .is_some_and(|at| now.saturating_sub(at) > TENANT_RETENTION);
        if is_expired {
            *self = Self::new(self.is_enabled);
        }
        self.is_active()
    }

    /// Records an offered call with its expected work and its longest admissible
    /// response time.
    pub(super) fn record_offer(
        &mut self,
        now: Duration,
        level: Level,
        work: f64,
        max_response_time: Duration,
    ) {
        let shares = self.levels.entry(level).or_default();
        shares.last_offer_at = now;
        let mean_work = shares.mean_work.unwrap_or(work);
        shares.mean_work = Some(mean_work + (work - mean_work) * WORK_SAMPLE_WEIGHT);
        shares.patience.record(now, max_response_time);
    }

    /// Adds the minimum that the levels earn with this number of slots.
    pub(super) fn advance(&mut self, now: Duration, slots: u32) {
        let elapsed = now.saturating_sub(self.advanced_at);
        self.advanced_at = now;
        let levels = self.levels.values();
        let offering = levels.filter(|shares| shares.is_offering(now)).count();
        let share = MIN_LEVEL_SHARE.min(MAX_MINIMA_SHARE / offering.max(1) as f64);
        let earned = elapsed.as_secs_f64() * 1e3 * f64::from(slots) * share;
        for shares in self.levels.values_mut() {
            if shares.is_offering(now) {
                shares.credit = (shares.credit + earned).min(shares.max_credit());
            } else {
                shares.credit = 0.0;
            }
        }
    }

    /// Tag of the tenant's next call.
    pub(super) fn tag(&self, level: Level, tenant: &str) -> f64 {
        self.levels
            .get(&level)
            .map_or(0.0, |shares| shares.tag(tenant))
    }

    /// Whether the level has earned the precedence of one call.
    pub(super) fn has_credit(&self, level: Level) -> bool {
        self.levels
            .get(&level)
            .and_then(|shares| Some(shares.credit > 0.0 && shares.credit >= shares.mean_work?))
            .unwrap_or_default()
    }

    /// Charges a started call with its expected work.
    pub(super) fn record_start(&mut self, now: Duration, level: Level, tenant: &str, work: f64) {
        let shares = self.levels.entry(level).or_default();
        let tag = shares.tag(tenant);
        shares.virtual_time = tag;
        let constant_ms = STARTED_WORK_TIME_CONSTANT.as_secs_f64() * 1e3;
        shares.started_work = shares.slots_used(now) * constant_ms + work;
        shares.started_at = now;
        shares.credit = (shares.credit - work).max(0.0);
        shares.set_tag(tenant, tag + work);
    }

    /// Corrects a charge by the difference to the actual work.
    pub(super) fn correct_charge(&mut self, level: Level, tenant: &str, difference: f64) {
        let Some(shares) = self.levels.get_mut(&level) else {
            return;
        };
        let tag = shares.tags.get(tenant).copied();
        let corrected = tag.unwrap_or(shares.virtual_time) + difference;
        shares.set_tag(tenant, corrected);
    }

    /// Slots that calls with precedence over a level use on average.
    pub(super) fn slots_used_above(&self, now: Duration, level: Level) -> f64 {
        self.levels
            .range(..level)
            .map(|(_, shares)| shares.slots_used(now))
            .sum()
    }

    /// Levels with calls lately, the lowest rank first, with the mean work of their
    /// calls and the longest response time that one of them admits.
    pub(super) fn offering_levels(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (Level, f64, Duration)> + '_ {
        self.levels
            .iter()
            .rev()
            .filter(move |(_, shares)| shares.is_offering(now))
            .map(|(level, shares)| {
                let work = shares.mean_work.unwrap_or_default();
                (*level, work, shares.patience.get())
            })
    }

    /// Time after which a refused caller should return: each of a level has a time of
    /// its own, spaced at the rate at which its calls can start.
    pub(super) fn return_time(
        &mut self,
        now: Duration,
        level: Level,
        wait: Duration,
        interval: Duration,
        time_left: Duration,
    ) -> Duration {
        let rate = StartRate::try_from(1.0 / interval.as_secs_f64().max(1e-6));
        match (self.levels.get_mut(&level), rate) {
            (Some(shares), Ok(rate)) => shares.returns.reserve(now, rate, wait, time_left),
            _ => wait,
        }
    }

    #[cfg(test)]
    pub(super) fn tag_count(&self) -> usize {
        self.levels.values().map(|shares| shares.tags.len()).sum()
    }
}
