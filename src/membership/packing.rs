//! Packing of the names that repeat in the records of a [`SyncReply`].

use std::collections::BTreeMap;

use super::message::{SyncReply, WireRecord};

/// Names in the order of their first use.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<String>,
    places: BTreeMap<String, u32>,
}

impl NameTable {
    /// Empties `name` and says its place in the table, from 1.
    fn pack(&mut self, name: &mut String) -> u32 {
        let name = std::mem::take(name);
        if let Some(place) = self.places.get(&name) {
            return *place;
        }
        self.names.push(name.clone());
        let place = self.names.len() as u32;
        self.places.insert(name, place);
        place
    }
}

/// Moves the names of regions, zones and services into the reply's table.
pub fn pack_names(reply: &mut SyncReply) {
    let mut table = NameTable::default();
    for record in &mut reply.records {
        record.region_place = table.pack(&mut record.region);
        record.zone_place = table.pack(&mut record.zone);
        if let Some(backend) = &mut record.backend {
            backend.service_place = table.pack(&mut backend.service);
        }
    }
    reply.names = table.names;
}

/// Reverse of [`pack_names`]; a place without a name leaves the name empty,
/// which no identifier is, so that the record is refused.
pub fn unpack_names(reply: SyncReply) -> Vec<WireRecord> {
    let SyncReply { records, names, .. } = reply;
    let name_at = |place: u32| {
        let index = (place as usize).checked_sub(1);
        index
            .and_then(|index| names.get(index))
            .cloned()
            .unwrap_or_default()
    };
    let unpack = |mut record: WireRecord| {
        record.region = name_at(record.region_place);
        record.zone = name_at(record.zone_place);
        if let Some(backend) = &mut record.backend {
            backend.service = name_at(backend.service_place);
        }
        record
    };
    records.into_iter().map(unpack).collect()
}
