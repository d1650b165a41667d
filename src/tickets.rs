//! Change tickets: numbered changes of configuration, and what is in force.
//!
//! A ticket carries the whole new state of every service that it touches. Per
//! service the highest accepted ticket number is in force. Acceptance happens
//! in one place, the compare-and-swap of the head in the platform's store;
//! everything that follows only moves forward, so that order and repetition
//! of delivery don't matter.
//!
//! * [`answer`]: what a submission is answered.
//! * [`body`]: from raw JSON to a checked ticket.
//! * [`head`]: the small value in the store that says what is accepted.
//! * [`state`]: what a node knows to be in force, and deltas between nodes.
//! * [`submit`]: the writes that get a ticket accepted, and settling of doubt.
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
pub use handle::{ConfigHandle, ConfigSettings};
pub use head::{TicketCheck, TicketHead};
pub use state::{TicketDelta, TicketState};

pub use view::{TicketStatus, TicketView};

#[cfg(test)]
mod tests;
