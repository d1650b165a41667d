//! Bodies that tell one request from another.

use bytes::{Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Body of the request with the given number: the number, then a sequence that
/// only that number gives.
pub fn generate_body(id: u64, length: u64) -> Bytes {
    let length = usize::try_from(length).unwrap_or_default();
    let mut body = BytesMut::zeroed(length);
    StdRng::seed_from_u64(id).fill_bytes(&mut body);
    let number = id.to_be_bytes();
    let shown = number.len().min(length);
    body[..shown].copy_from_slice(&number[number.len() - shown..]);
    body.freeze()
}
