//! Finding other nodes through the store.
//!
//! The first node of each availability zone, and a node that knows no other,
//! keeps an entry with its peer address under a lease and looks at the entries
//! now and then; the others look once at their start. The entries are hints by
//! which membership joins; who is alive is for membership to find out. A node
//! that finds its own entry missing writes it again, whether its lease has
//! lapsed or the store has dropped the entry without a word. The calls to the
//! store grow with the zones and not with the fleet.
//!
//! [`DiscoveryState`] decides what to ask of the store next; the driver asks.

mod driver;
mod state;

pub use driver::{DiscoverySettings, run_discovery};
pub use state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, FleetRole, NodeEntry};

#[cfg(test)]
mod tests;
