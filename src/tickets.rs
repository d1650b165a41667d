//! Change tickets: numbered configuration changes, and the configuration in force.
//!
//! A ticket carries the complete new state of every service that it touches.
//! For each service the accepted ticket with the highest number is in force. A
//! ticket is accepted at a single point, the compare-and-swap of the head in
//! the platform's key-value store. After that, versions and numbers only
//! increase, so nodes may receive changes in any order and more than once.
//!
//! * [`answer`]: outcome of a submission.
//! * [`body`]: parsing and validation of a ticket's JSON.
//! * [`head`]: index of the accepted tickets, a single small value in the store.
//! * [`state`]: configuration in force at a node, and deltas between nodes.
//! * [`submit`]: writes that get a ticket accepted, and recovery from lost responses.
//! * [`handle`]: access for the rest of the node to the tasks on the control thread.

pub mod answer;
pub mod body;
pub mod handle;
pub mod head;
pub mod state;
pub mod submit;

mod driver;
mod peers;
mod view;
mod watcher;

pub use answer::{RefusalReason, SubmitOutcome};
pub use body::{ChangeTicket, TicketDigest, TicketError};
pub use handle::{TicketsHandle, TicketsSettings};
pub use head::{TicketCheck, TicketHead};
pub use state::{TicketDelta, TicketState};

pub use view::{TicketStatus, TicketView};

#[cfg(test)]
mod tests;
