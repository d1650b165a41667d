//! Ring of member keys and the fingers that a node sends to.
//!
//! Keys are hashes, so neighbours on the ring are spread over racks and zones.
//! With fingers at the distances 1, 2, 4, 8, ... every node is the finger of
//! as many nodes as it has fingers itself, which bounds what it receives.

use super::record::MemberKey;

/// Sorted keys of the live members, one's own included.
#[derive(Debug, Default)]
pub struct FingerRing {
    keys: Vec<MemberKey>,
    cursor: u32,
}

impl FingerRing {
    /// Adds a member.
    pub fn insert(&mut self, key: MemberKey) {
        if let Err(place) = self.keys.binary_search(&key) {
            self.keys.insert(place, key);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, key: MemberKey) {
        if let Ok(place) = self.keys.binary_search(&key) {
            self.keys.remove(place);
        }
    }

    /// Number of fingers of each member.
    pub fn finger_count(&self) -> u32 {
        match self.keys.len() {
            0 | 1 => 0,
            len => (len - 1).ilog2() + 1,
        }
    }

    /// Next finger of `own` in turn.
    pub fn next_finger(&mut self, own: MemberKey) -> Option<MemberKey> {
        let finger_count = self.finger_count();
        if finger_count == 0 {
            return None;
        }
        let step = self.cursor % finger_count;
        self.cursor = step + 1;
        let place = match self.keys.binary_search(&own) {
            Ok(place) | Err(place) => place,
        };
        let finger = self.keys[(place + (1 << step)) % self.keys.len()];
        (finger != own).then_some(finger)
    }
}
