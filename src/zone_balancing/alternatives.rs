//! Other rules than the gradient, replayed for comparison.

use super::load::OTHER_ZONE_LIMIT;
use super::shares::ServiceShares;
use super::{LeaveOrder, NEAR_LIMIT, ZoneLoad};
use crate::ids::ZoneName;

/// Difference in relative load from which power of two prefers the other zone.
const LOAD_MARGIN: f64 = 0.1;
/// Load of the own zone that water-filling leaves there, relative to its usable slots.
const FILL_LEVEL: f64 = 0.9;

impl ServiceShares {
    /// Random other zone if it has less load than the own one, which is near its limit.
    pub(super) fn compare_random_zone(&self, draw: f64) -> Option<ZoneName> {
        let home_load = self.home?.relative_load();
        if home_load < NEAR_LIMIT || self.zones.is_empty() {
            return None;
        }
        let index = (draw * self.zones.len() as f64) as usize;
        let (zone, load) = self.zones.iter().nth(index)?;
        (load.as_ref()?.relative_load() + LOAD_MARGIN < home_load).then(|| zone.clone())
    }
}

/// Sets the shares such that the excess of the own zone fills the reported room of the
/// others in proportion; all class orders alike.
pub(super) fn fill_reported_room(shares: &mut ServiceShares) {
    let sent = shares.orders[LeaveOrder::Small as usize].total();
    let demand = shares
        .home
        .map_or(0.0, |home| home.relative_load() / (1.0 - sent));
    let excess = (1.0 - FILL_LEVEL / demand.max(FILL_LEVEL)).min(0.9);
    let room_of = |load: &Option<ZoneLoad>| {
        load.map_or(0.0, |load| {
            (OTHER_ZONE_LIMIT - load.relative_load()).max(0.0) * load.slots
        })
    };
    let total_room: f64 = shares.zones.values().map(room_of).sum();
    for order in &mut shares.orders {
        order.shares.clear();
        for (zone, load) in &shares.zones {
            let part = room_of(load) / total_room.max(f64::MIN_POSITIVE);
            order.shares.insert(zone.clone(), excess * part);
        }
    }
}
