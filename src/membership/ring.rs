//! Ring of member keys with fingers, the members that a node sends to.
//!
//! Keys are hashes, so neighbours on the ring are spread over racks and zones.
//! Fingers are at the distances 1, 2, 4, 8, ..., so every node is a finger of as
//! many nodes as it has fingers itself. This bounds the datagrams it receives.

use super::record::MemberKey;

/// Sorted keys of the live members, with a round robin over the own fingers.
#[derive(Debug)]
pub struct FingerRing {
    own_key: MemberKey,
    keys: Vec<MemberKey>,
    next_exponent: u32,
}

impl FingerRing {
    /// Empty ring. The own key decides at which finger the round robin starts.
    pub fn new(own_key: MemberKey) -> Self {
        Self {
            own_key,
            keys: Vec::new(),
            next_exponent: own_key.0 as u32,
        }
    }

    pub fn insert(&mut self, key: MemberKey) {
        if let Err(index) = self.keys.binary_search(&key) {
            self.keys.insert(index, key);
        }
    }

    pub fn remove(&mut self, key: MemberKey) {
        if let Ok(index) = self.keys.binary_search(&key) {
            self.keys.remove(index);
        }
    }

    /// Number of fingers of each member: the binary logarithm of the ring's size, rounded up.
    pub fn finger_count(&self) -> u32 {
        match self.keys.len() {
            0 | 1 => 0,
            len => (len - 1).ilog2() + 1,
        }
    }

    /// Next finger in round-robin order, `None` if there is no other member.
    pub fn next_finger(&mut self) -> Option<MemberKey> {
        let mut turn = self.next_exponent;
        let finger = self.next_finger_of(&mut turn);
        self.next_exponent = turn;
        finger
    }

    /// Like [`next_finger`](Self::next_finger), in a round of its own that `turn` counts.
    pub fn next_finger_of(&self, turn: &mut u32) -> Option<MemberKey> {
        let finger_count = self.finger_count();
        if finger_count == 0 {
            return None;
        }
        let exponent = *turn % finger_count;
        *turn = exponent + 1;
        let index = match self.keys.binary_search(&self.own_key) {
            Ok(index) | Err(index) => index,
        };
        let finger = self.keys[(index + (1 << exponent)) % self.keys.len()];
        (finger != self.own_key).then_some(finger)
    }
}
