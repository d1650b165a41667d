//! Quarantine of requests that crash the backend servers that run them.
//!
//! The load pattern behind this is one request that ends each backend server that begins
//! to run it and that comes again, from its caller or as our own retry, at any ingress.
//! Each end takes all calls that run there with it, most of them innocent, and a few such
//! requests a second keep a whole service down. Server ends that no request caused look
//! the same at first, and must not get anybody refused.
//!
//! [`RequestFingerprint`] tells the same request in all its attempts. [`CrashWatch`], at
//! the gate, relates the end of a backend server to the calls that ran there: they become
//! suspects. A suspect runs at one gate of the fleet at a time ([`trial_node`]), and a
//! gate runs one suspect at a time, so that the next end there has one to blame. A
//! complete response clears a suspect. [`QuarantineState`] keeps the evidence, merges
//! that of other nodes, and holds a request for which it is enough: the ingresses and
//! gates refuse it until a half-open trial is due.
//!
//! Evidence is a set of crash ids for each fingerprint, so that it merges in any order and
//! counts once. [`QuarantineHub`] sends changes over all open call links, and the whole
//! set over a new one.

mod fingerprint;
mod hub;
mod record;
mod state;
mod trial;
mod watch;
mod wire;

pub use fingerprint::{
    FingerprintHasher, HeadDigest, PREFIX_BYTES, RequestFingerprint, RequestIdentity,
};
pub use hub::{LinkRegistration, QuarantineHub};
pub use record::{CrashBlame, CrashId, CrashRecord};
pub use state::{QuarantineState, RequestStanding};
pub use trial::trial_node;
pub use watch::{CrashFinding, CrashWatch, RunEnd, WatchedRun};

#[cfg(test)]
mod tests;
