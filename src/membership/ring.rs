//! Ring of member keys and the fingers that a node sends to.
//!
//! Keys are hashes, so neighbours on the ring are spread over racks and zones.
//! With fingers at the distances 1, 2, 4, 8, ... every node is the finger of
//! as many nodes as it has fingers itself, which bounds what it receives.

use super::record::MemberKey;

/// Sorted keys of the live members, and whose fingers are asked for.
#[derive(Debug)]
pub struct FingerRing {
    own_key: MemberKey,
    keys: Vec<MemberKey>,
    next_exponent: u32,
}

impl FingerRing {
    /// Empty ring of the given member, whose turn of fingers starts anywhere.
    pub fn new(own_key: MemberKey) -> Self {
        Self {
            own_key,
            keys: Vec::new(),
            next_exponent: own_key.0 as u32,
        }
    }

    /// Adds a member.
    pub fn insert(&mut self, key: MemberKey) {
        if let Err(index) = self.keys.binary_search(&key) {
            self.keys.insert(index, key);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, key: MemberKey) {
        if let Ok(index) = self.keys.binary_search(&key) {
            self.keys.remove(index);
        }
    }

    /// Number of fingers of each member.
    pub fn finger_count(&self) -> u32 {
        match self.keys.len() {
            0 | 1 => 0,
            len => (len - 1).ilog2() + 1,
        }
    }

    /// Next finger in turn.
    pub fn next_finger(&mut self) -> Option<MemberKey> {
        let finger_count = self.finger_count();
        if finger_count == 0 {
            return None;
        }
        let exponent = self.next_exponent % finger_count;
        self.next_exponent = exponent + 1;
        let index = match self.keys.binary_search(&self.own_key) {
            Ok(index) | Err(index) => index,
        };
        let finger = self.keys[(index + (1 << exponent)) % self.keys.len()];
        (finger != self.own_key).then_some(finger)
    }
}
