//! String table for the names that repeat in the records of a [`SyncReply`].

use std::collections::BTreeMap;

use super::message::{SyncReply, WireRecord};

/// Distinct names in the order of their first use.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<String>,
    index_by_name: BTreeMap<String, u32>,
}

impl NameTable {
    /// Takes `name` out of its record and returns its 1-based index in the table.
    fn intern(&mut self, name: &mut String) -> u32 {
        let name = std::mem::take(name);
        if let Some(index) = self.index_by_name.get(&name) {
            return *index;
        }
        self.names.push(name.clone());
        let index = self.names.len() as u32;
        self.index_by_name.insert(name, index);
        index
    }
}

/// Replaces the names of regions, zones and services by indexes into the reply's table.
pub fn pack_names(reply: &mut SyncReply) {
    let mut table = NameTable::default();
    for record in &mut reply.records {
        record.region_index = table.intern(&mut record.region);
        record.zone_index = table.intern(&mut record.zone);
        if let Some(backend) = &mut record.backend {
            backend.service_index = table.intern(&mut backend.service);
        }
    }
    reply.names = table.names;
}

/// Reverse of [`pack_names`].
///
/// An index outside the table leaves the name empty. No identifier is, so the
/// record is rejected when it is decoded.
pub fn unpack_names(reply: SyncReply) -> Vec<WireRecord> {
    let SyncReply { records, names, .. } = reply;
    let name_at = |index: u32| {
        let offset = (index as usize).checked_sub(1);
        offset
            .and_then(|offset| names.get(offset))
            .cloned()
            .unwrap_or_default()
    };
    let unpack = |mut record: WireRecord| {
        record.region = name_at(record.region_index);
        record.zone = name_at(record.zone_index);
        if let Some(backend) = &mut record.backend {
            backend.service = name_at(backend.service_index);
        }
        record
    };
    records.into_iter().map(unpack).collect()
}
