//! Decides which of several sets of evacuated zones is the latest.

use std::collections::BTreeSet;

use super::{EvacuatedZones, StoreRevision};
use crate::ids::ZoneName;

/// What a report has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewChange {
    /// The report is older than what is known; nothing.
    Outdated,
    /// Nothing: the report agrees with what is known.
    Confirmed,
    /// The revision alone, so that the set prevails over older ones at other nodes.
    Revision,
    /// The zones.
    Zones,
}

/// Latest known set of one node.
///
/// The revision of the set rises only when the zones change or another node has to be
/// corrected: the store's revision rises with every key, and the set must not be spread
/// each time.
#[derive(Debug, Clone, Default)]
pub struct EvacuationView {
    current: EvacuatedZones,
    /// Revision up to which the zones are known to have stayed as they are.
    valid_until: StoreRevision,
}

impl EvacuationView {
    /// Latest known set.
    pub fn current(&self) -> &EvacuatedZones {
        &self.current
    }

    /// Takes in the state of the store as of a revision. One without a revision is
    /// ignored.
    pub fn observe_store(
        &mut self,
        as_of: StoreRevision,
        zones: &BTreeSet<ZoneName>,
    ) -> ViewChange {
        if as_of.is_unknown() || as_of < self.valid_until {
            return ViewChange::Outdated;
        }
        self.valid_until = as_of;
        if self.current.zones == *zones {
            return ViewChange::Confirmed;
        }
        self.current = EvacuatedZones {
            revision: as_of,
            zones: zones.clone(),
        };
        ViewChange::Zones
    }

    /// Takes in the set of another node.
    ///
    /// If that set is older than what this node has read from the store, but has a higher
    /// revision than the set in force, the latter's revision is raised, so that it
    /// prevails at the other node.
    pub fn merge(&mut self, other: &EvacuatedZones) -> ViewChange {
        let has_same_zones = other.zones == self.current.zones;
        if other.revision > self.valid_until {
            self.valid_until = other.revision;
            self.current = other.clone();
            return if has_same_zones {
                ViewChange::Revision
            } else {
                ViewChange::Zones
            };
        }
        let corrected = if has_same_zones {
            other.revision
        } else {
            self.valid_until
        };
        if other.revision >= self.current.revision && corrected > self.current.revision {
            self.current.revision = corrected;
            return ViewChange::Revision;
        }
        if other.revision == self.current.revision && has_same_zones {
            ViewChange::Confirmed
        } else {
            ViewChange::Outdated
        }
    }
}
