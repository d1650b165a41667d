//! Quotas of tenants, which hold over all nodes together.
//!
//! The load pattern behind this is one tenant that sends several times its usual load,
//! at any distribution over the nodes, while its callers move between them and nodes
//! fail. A limit for each node would refuse a tenant whose callers are at few nodes, and
//! counting at the gates would refuse only after a request has cost a hop.
//!
//! For each tenant one node, the owner, keeps a token bucket. It is the first of the live
//! members by rendezvous hashing, and holds the bucket only under a short lease from the
//! second, its successor ([`owner`]). A lease passes the level of the bucket on, so two
//! nodes never grant from a bucket at the same time, whatever they know of the members.
//! Ingresses borrow tokens that expire within a fraction of the window ([`borrower`]): a
//! request takes one before it is offered to a gate.
//!
//! [`QuotaState`] is the state machine of a node, owner and borrower in one. It does no
//! I/O and reads no clock: events and the current time go in, [`QuotaAction`]s come out.
//! [`QuotaHub`] shares it between the ingress threads and the control thread and connects
//! it to membership's UDP socket.

mod borrower;
mod bucket;
mod driver;
mod hub;
mod limits;
mod members;
mod owner;
mod state;
mod usage;
mod wire;

pub use driver::follow_quotas;
pub use hub::{QuotaHub, QuotaRefusal, QuotaToken};
pub use limits::QuotaLimits;
pub use members::{MemberAddress, MemberView, OtherMembers};
pub use state::{QuotaAction, QuotaState, TakeResult, WaitNumber};
pub use usage::{RefusalReason, UsageSummary};
pub use wire::{DATAGRAM_MARK, TenantKey};

#[cfg(test)]
mod tests;
