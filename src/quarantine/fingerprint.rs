//! Identity of a request, the same for each of its attempts at any node.
//!
//! Two requests are the same if they agree in method, host (or service, where the host
//! names a node), path, credentials and the first 64 KiB of the body, however that is
//! framed. What differs between attempts (their id, their time limit) or between VMs
//! (the caller service) is left out. The digest is SHA-256, so that no sender can craft
//! a request with the fingerprint of somebody else's.

use std::cell::Cell;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

use crate::link::messages::HeaderField;

/// Bytes of a body that are part of the identity; as many are buffered for a retry.
pub const PREFIX_BYTES: usize = 64 * 1024;
/// Header fields by which callers differ.
const CREDENTIAL_FIELDS: [&str; 2] = ["authorization", "cookie"];
/// Bytes that are kept of a SHA-256 digest.
const DIGEST_BYTES: usize = 16;

/// Reason why a text or byte string is not a digest.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
#[display("expected 32 hexadecimal digits or 16 bytes")]
pub struct ParseDigestError;

macro_rules! digest_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
        #[display("{:032x}", u128::from_be_bytes(*_0))]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// Returns the bytes of the digest.
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }
        }

        impl TryFrom<&[u8]> for $name {
            type Error = ParseDigestError;

            fn try_from(bytes: &[u8]) -> Result<Self, ParseDigestError> {
                bytes.try_into().map(Self).map_err(|_| ParseDigestError)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseDigestError;

            fn from_str(text: &str) -> Result<Self, ParseDigestError> {
                let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if text.len() != 2 * DIGEST_BYTES || !is_hex {
                    return Err(ParseDigestError);
                }
                let number = u128::from_str_radix(text, 16).map_err(|_| ParseDigestError)?;
                Ok(Self(number.to_be_bytes()))
            }
        }
    };
}

digest_newtype!(
    /// Digest of a request without its body.
    HeadDigest
);
digest_newtype!(
    /// Digest of a whole request.
    RequestFingerprint
);

fn truncated(hasher: Sha256) -> [u8; DIGEST_BYTES] {
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
    bytes
}

/// Adds a part with its length, so that no two lists of parts read alike.
fn update_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}

impl HeadDigest {
    /// Digest of a request to `host`, or to a service if the host names a node.
    pub fn new(host: &str, method: &str, path: &str, fields: &[HeaderField]) -> Self {
        let mut hasher = Sha256::new();
        for part in [host.to_ascii_lowercase().as_str(), method, path] {
            update_part(&mut hasher, part.as_bytes());
        }
        let credentials = fields
            .iter()
            .filter(|field| CREDENTIAL_FIELDS.contains(&field.name.as_str()));
        for field in credentials {
            update_part(&mut hasher, field.name.as_bytes());
            update_part(&mut hasher, &field.value);
        }
        Self(truncated(hasher))
    }
}

/// Digest of a request whose body is still passing.
#[derive(Debug, Clone)]
pub struct FingerprintHasher {
    hasher: Sha256,
    missing_bytes: usize,
}

impl FingerprintHasher {
    /// Starts with the request's head.
    pub fn new(head: HeadDigest) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(head.as_bytes());
        Self {
            hasher,
            missing_bytes: PREFIX_BYTES,
        }
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, data: &[u8]) {
        let prefix = &data[..data.len().min(self.missing_bytes)];
        self.hasher.update(prefix);
        self.missing_bytes -= prefix.len();
    }

    /// Fingerprint; `None` while bytes of the prefix may follow.
    pub fn finish(&self, is_body_complete: bool) -> Option<RequestFingerprint> {
        let is_known = is_body_complete || self.missing_bytes == 0;
        is_known.then(|| RequestFingerprint(truncated(self.hasher.clone())))
    }
}

/// Identity of a request, whose fingerprint may become known while its body passes.
#[derive(Debug)]
pub struct RequestIdentity {
    /// Digest of the request without its body.
    pub head: HeadDigest,
    fingerprint: Cell<Option<RequestFingerprint>>,
}

impl RequestIdentity {
    /// Identity with what is known so far.
    pub fn new(head: HeadDigest, fingerprint: Option<RequestFingerprint>) -> Self {
        Self {
            head,
            fingerprint: Cell::new(fingerprint),
        }
    }

    /// Fingerprint, once enough of the body is known.
    pub fn fingerprint(&self) -> Option<RequestFingerprint> {
        self.fingerprint.get()
    }

    /// Sets the fingerprint.
    pub fn set_fingerprint(&self, fingerprint: RequestFingerprint) {
        self.fingerprint.set(Some(fingerprint));
    }
}
