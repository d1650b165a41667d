//! Outcome of submitting a ticket.

use derive_more::{Display, Error};

use super::body::TicketError;
use crate::ids::{ServiceName, TicketNumber};

/// Reason why a ticket was not accepted.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The ticket failed validation.
    #[display("{_0}")]
    Malformed(#[error(not(source))] TicketError),
    /// A ticket with a higher number is in force for a service that it touches.
    #[display(
        "out of date: ticket {in_force} is in force for service {service}; if this one was \
         accepted before, it has been superseded"
    )]
    Stale {
        /// First such service, in alphabetical order.
        service: ServiceName,
        /// Number of the ticket in force for it.
        in_force: TicketNumber,
    },
    /// Another ticket, with other content, has the same number.
    #[display("conflict: the number is taken by a ticket with other content")]
    Conflict,
    /// The configuration as a whole would exceed its size limits.
    #[display("configuration is full: remove services or shorten their rules first")]
    Full,
    /// The store is unreachable; nothing was changed.
    #[display("store unavailable, nothing was changed: submit again later ({reason})")]
    StoreAway {
        /// Text of the last error.
        reason: String,
    },
    /// Every attempt lost to a concurrent submission; nothing was changed.
    #[display("too many tickets at once, nothing was changed: submit again")]
    Contended,
    /// The stored head can't be decoded, or is older than the one applied here.
    #[display("stored head is not usable: {reason}")]
    HeadUnreadable {
        /// Decoding error, or the two versions.
        reason: String,
    },
}

impl RefusalReason {
    /// Whether submitting the same ticket again may succeed.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::StoreAway { .. } | Self::Contended)
    }
}

/// Outcome of submitting a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Accepted; within seconds in force at every node.
    Accepted {
        /// Version of the head that accepted it.
        head_version: u64,
    },
    /// The same ticket had been accepted before; nothing was changed.
    Repeated,
    /// This submission did not get the ticket accepted.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// May have been accepted; submit again with the same number and content to find out.
    Unknown {
        /// Text of the last error.
        reason: String,
    },
}
