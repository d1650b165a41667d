//! Load of a zone and the wait that a call can expect there.

use std::time::Duration;

use crate::link::messages::ZoneLoadReport;

/// Share of the slots up to which gates start immediate offers; runs take 1.7 times as
/// long above it.
pub(super) const USABLE_SLOT_SHARE: f64 = 0.8;
/// Occupancy up to which a gate starts a call that another zone offers first. It is
/// below the limit for calls of the own zone, so that these get the last slots of
/// upstreams with many; with 8 slots, 70% refused a third of the offers at half load.
pub const OTHER_ZONE_OCCUPANCY_PERCENT: u32 = 75;
/// The same limit relative to the usable slots.
pub(super) const OTHER_ZONE_LIMIT: f64 =
    OTHER_ZONE_OCCUPANCY_PERCENT as f64 / 100.0 / USABLE_SLOT_SHARE;
/// Gates that a call asks for a free slot.
const ASKED_GATES: f64 = 3.0;
/// Load from which the wait grows with the backlog rather than by the queueing formula,
/// which has a pole at 1.
const MAX_FORMULA_LOAD: f64 = 0.95;
/// Load assumed of a zone without slots.
const FULL_LOAD: f64 = 2.0;

/// Load of a service in one availability zone, from the reports of its gates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneLoad {
    /// Slots of the upstreams that reported.
    pub slots: f64,
    /// Running and queued calls there.
    pub calls: f64,
    /// Number of these upstreams.
    pub upstreams: u32,
    /// Age of the reports.
    pub age: Duration,
}

impl ZoneLoad {
    /// Running and queued calls relative to the usable slots.
    pub fn relative_load(&self) -> f64 {
        if self.slots <= 0.0 {
            return FULL_LOAD;
        }
        self.calls / (self.slots * USABLE_SLOT_SHARE)
    }

    /// Room for calls of other zones relative to the whole, from 0 to 1.
    pub(super) fn room_for_other_zones(&self) -> f64 {
        (1.0 - self.relative_load() / OTHER_ZONE_LIMIT).clamp(0.0, 1.0)
    }

    /// Exponent of the load in the queueing formula.
    fn wait_exponent(&self) -> f64 {
        (2.0 * (self.slots_per_call() + 1.0)).sqrt() - 1.0
    }

    /// Wait by the queueing formula, in run times.
    fn formula_wait(&self) -> f64 {
        let load = self.relative_load().min(MAX_FORMULA_LOAD);
        load.powf(self.wait_exponent()) / (self.slots_per_call() * (1.0 - load))
    }

    /// Usable slots that one call can find: those of the gates that it asks.
    fn slots_per_call(&self) -> f64 {
        let upstreams = f64::from(self.upstreams.max(1));
        (self.slots * USABLE_SLOT_SHARE / upstreams * upstreams.min(ASKED_GATES)).max(1.0)
    }
}

impl From<ZoneLoad> for ZoneLoadReport {
    fn from(load: ZoneLoad) -> Self {
        Self {
            slots: load.slots as f32,
            calls: load.calls as f32,
            upstreams: load.upstreams,
            age_ms: u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<ZoneLoadReport> for ZoneLoad {
    /// Numbers that no load can have become those of a full zone.
    fn from(report: ZoneLoadReport) -> Self {
        let is_valid = |number: f32| number.is_finite() && number >= 0.0;
        let slots = if is_valid(report.slots) && is_valid(report.calls) {
            report.slots
        } else {
            0.0
        };
        Self {
            slots: f64::from(slots),
            calls: f64::from(report.calls),
            upstreams: report.upstreams,
            age: Duration::from_millis(report.age_ms.into()),
        }
    }
}

/// Expected wait for a slot of a call in a zone with this load.
///
/// Sakasegawa's approximation of the mean wait before several servers; above
/// [`MAX_FORMULA_LOAD`] the backlog is worked off at the rate of the usable slots.
pub fn expected_wait(load: &ZoneLoad, run_time: Duration) -> Duration {
    let backlog = (load.relative_load() - MAX_FORMULA_LOAD).max(0.0);
    run_time.mul_f64(load.formula_wait() + backlog)
}

/// Time that a further call adds to the waits of all calls in the zone, its own
/// included: the gradient of the total wait by the load.
///
/// It rises well before the wait itself does, so that calls leave while the zone still
/// has usable slots.
pub(super) fn marginal_wait(load: &ZoneLoad, run_time: Duration) -> Duration {
    let formula_load = load.relative_load().min(MAX_FORMULA_LOAD);
    let growth = 1.0 + load.wait_exponent() + formula_load / (1.0 - formula_load);
    let backlog = (load.relative_load() - MAX_FORMULA_LOAD).max(0.0);
    run_time.mul_f64(load.formula_wait() * growth + 2.0 * backlog)
}
