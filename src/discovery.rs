//! Peer discovery through the store.
//!
//! The first node of each availability zone, and a node that knows no other
//! node, registers an entry with its peer address under a lease and lists the
//! entries periodically; all other nodes list them only at startup. Of nodes that
//! start together and find no entry, the first few register one, drawn by random
//! delays, and the others join through these. Entries are only hints for joining
//! the membership protocol, which determines the live nodes itself. A node whose
//! own entry is missing from the list registers it again, whether the lease has
//! expired or the store has lost the entry silently. The number of store calls
//! thus grows with the zones, not with the nodes, except for one or two listings of
//! each node at its start.
//!
//! [`DiscoveryState`] is a state machine that decides on the next store call; the
//! driver executes it.

mod driver;
mod role;
mod state;

pub use driver::{DiscoverySettings, run_discovery};
pub use role::{FleetContact, FleetRole, RoleAssignment};
pub use state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, NodeEntry};

#[cfg(test)]
mod tests;
