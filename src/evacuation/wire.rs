//! Encoding of the set in datagrams of membership and in exchanges of the configuration.

use prost::Message;

use super::{EvacuatedZones, StoreRevision};
use crate::ids::{ParseIdError, ZoneName};

/// Encoded [`EvacuatedZones`].
#[derive(Clone, PartialEq, Message)]
pub struct WireEvacuatedZones {
    /// Era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Number of the revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Evacuated zones in their order.
    #[prost(string, repeated, tag = "3")]
    pub zones: Vec<String>,
}

impl EvacuatedZones {
    /// Message for other nodes; `None` while the revision is unknown.
    pub fn to_wire(&self) -> Option<WireEvacuatedZones> {
        if self.revision.is_unknown() {
            return None;
        }
        Some(WireEvacuatedZones {
            era: self.revision.era,
            revision: self.revision.number,
            zones: self.zones.iter().map(ToString::to_string).collect(),
        })
    }
}

impl TryFrom<WireEvacuatedZones> for EvacuatedZones {
    type Error = ParseIdError;

    fn try_from(wire: WireEvacuatedZones) -> Result<Self, ParseIdError> {
        let zones = wire.zones.into_iter().map(ZoneName::try_from);
        Ok(Self {
            revision: StoreRevision {
                era: wire.era,
                number: wire.revision,
            },
            zones: zones.collect::<Result<_, _>>()?,
        })
    }
}
