//! Request bodies that are unique to each request, so that a response with the
//! body of another request is detected.

use bytes::{Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Generates the body of the request with this id: the id, followed by
/// pseudorandom bytes seeded with it. A body shorter than the id has its last
/// bytes only, so that such bodies are not unique.
pub fn generate_body(id: u64, length: u64) -> Bytes {
    let length = usize::try_from(length).unwrap_or_default();
    let mut body = BytesMut::zeroed(length);
    StdRng::seed_from_u64(id).fill_bytes(&mut body);
    let id_bytes = id.to_be_bytes();
    let prefix_length = id_bytes.len().min(length);
    body[..prefix_length].copy_from_slice(&id_bytes[id_bytes.len() - prefix_length..]);
    body.freeze()
}
