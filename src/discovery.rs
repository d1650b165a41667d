//! Finding other nodes through the store.
//!
//! Each node keeps an entry with its peer address under a lease, and looks at
//! the entries of the others now and then. The entries are hints by which
//! membership joins; who is alive is for membership to find out. A node that
//! finds its own entry missing writes it again, whether its lease has lapsed
//! or the store has dropped the entry without a word.
//!
//! [`DiscoveryState`] decides what to ask of the store next; the driver asks.

mod driver;
mod state;

pub use driver::{DiscoverySettings, follow_entries};
pub use state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, FoundEntry};

#[cfg(test)]
mod tests;
