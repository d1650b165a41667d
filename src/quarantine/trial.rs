//! Choice of the gate at which a suspect runs.
//!
//! Two runs of a suspect at the same time may cost two backend servers, and nodes don't
//! agree on anything before they act. So each node takes the upstream that ranks highest
//! for the fingerprint (rendezvous hashing): with the same routing table they choose the
//! same gate, which runs one suspect at a time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestFingerprint;
use crate::ids::NodeId;

/// Node of the upstream at which a suspect runs.
pub fn trial_node<'a>(
    fingerprint: RequestFingerprint,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| {
        let seed = xxh3_64_with_seed(node.as_str().as_bytes(), 0);
        (xxh3_64_with_seed(fingerprint.as_bytes(), seed), *node)
    })
}
