//! Evacuated availability zones: which zones' upstreams receive no requests.
//!
//! The operator's statements are in the platform's store. Nodes that watch it learn a
//! change from there, all others from these. Messages arrive late, repeated and out of
//! order, a stale read of the store may be seconds old, and a node that has been away
//! repeats what it knew. So each set carries the store's revision as of which it holds,
//! and [`EvacuationView`] decides by revisions alone which set is the later one. It knows
//! no socket, clock or thread; [`EvacuationHub`] shares it within a node.

mod hub;
mod view;
mod wire;

use std::collections::BTreeSet;

use derive_more::Display;

use crate::ids::ZoneName;
use crate::store::WatchPosition;

pub use hub::EvacuationHub;
pub use view::{EvacuationView, ViewChange};
pub use wire::WireEvacuatedZones;

/// Revision of the store as a whole. Those of a later era are later, as a store that was
/// restored from an older copy assigns numbers again.
#[derive(Debug, Clone, Copy, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{era}.{number}")]
pub struct StoreRevision {
    /// Era of the store.
    pub era: u64,
    /// Number within the era; 0 if unknown.
    pub number: u64,
}

impl StoreRevision {
    /// Whether no revision is known.
    pub fn is_unknown(self) -> bool {
        self.number == 0
    }
}

impl From<WatchPosition> for StoreRevision {
    fn from(position: WatchPosition) -> Self {
        Self {
            era: position.era.0,
            number: position.revision,
        }
    }
}

/// Zones that are evacuated as of a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Revision as of which the set holds; unknown until a zone is evacuated for the
    /// first time.
    pub revision: StoreRevision,
    /// Evacuated zones.
    pub zones: BTreeSet<ZoneName>,
}

impl EvacuatedZones {
    /// Whether the zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Zones as text for log lines.
    pub fn zone_list(&self) -> String {
        let zones: Vec<&str> = self.zones.iter().map(ZoneName::as_str).collect();
        zones.join(" ")
    }
}

#[cfg(test)]
mod tests;
