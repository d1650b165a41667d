//! Identity of a call's request at the gate, while its body may still be passing.

use std::rc::Rc;

use crate::link::messages::CallOpen;
use crate::quarantine::{FingerprintHasher, HeadDigest, RequestFingerprint, RequestIdentity};

/// Identity of a call's request, as its body passes the gate.
#[derive(Debug)]
pub(super) struct CallIdentity {
    /// `None` if the ingress is of an older build.
    identity: Option<Rc<RequestIdentity>>,
    /// Set until the fingerprint is known.
    hasher: Option<FingerprintHasher>,
}

impl CallIdentity {
    /// Identity as the ingress stated it; nodes of older builds state none.
    pub(super) fn from_open(open: &CallOpen) -> Self {
        let Ok(head) = HeadDigest::try_from(&open.head_digest[..]) else {
            return Self {
                identity: None,
                hasher: None,
            };
        };
        let fingerprint = RequestFingerprint::try_from(&open.fingerprint[..]).ok();
        let hasher = fingerprint.is_none().then(|| FingerprintHasher::new(head));
        let mut call_identity = Self {
            identity: Some(Rc::new(RequestIdentity::new(head, fingerprint))),
            hasher,
        };
        call_identity.update(&open.body, open.is_body_complete);
        call_identity
    }

    /// Adds the next bytes of the request body.
    pub(super) fn update(&mut self, data: &[u8], is_body_complete: bool) {
        let (Some(hasher), Some(identity)) = (&mut self.hasher, &self.identity) else {
            return;
        };
        hasher.update(data);
        if let Some(fingerprint) = hasher.finish(is_body_complete) {
            identity.set_fingerprint(fingerprint);
            self.hasher = None;
        }
    }

    pub(super) fn fingerprint(&self) -> Option<RequestFingerprint> {
        self.identity.as_ref()?.fingerprint()
    }

    /// Identity that is shared with the watch for crashes.
    pub(super) fn shared(&self) -> Option<Rc<RequestIdentity>> {
        self.identity.clone()
    }
}
