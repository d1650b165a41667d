//! Answers to the submission of a ticket.

use derive_more::{Display, Error};

use super::body::TicketError;
use crate::ids::{ServiceName, TicketNumber};

/// Reason why a ticket was not accepted.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The ticket is malformed.
    #[display("{_0}")]
    Malformed(#[error(not(source))] TicketError),
    /// A higher number is in force.
    #[display(
        "out of date: ticket {in_force} is in force for service {service}; if this one was \
         accepted before, it has been superseded"
    )]
    Stale {
        /// First service with a higher number.
        service: ServiceName,
        /// Number in force there.
        in_force: TicketNumber,
    },
    /// The number is taken by other content.
    #[display("conflict: the number is taken by a ticket with other content")]
    Conflict,
    /// Limits on the configuration as a whole are reached.
    #[display("configuration is full: remove services or shorten their rules first")]
    Full,
    /// The store can't be reached; nothing was changed.
    #[display("store unavailable, nothing was changed: submit again later ({reason})")]
    StoreAway {
        /// Last failure in words.
        reason: String,
    },
    /// Other tickets kept winning the race; nothing was changed.
    #[display("too many tickets at once, nothing was changed: submit again")]
    Contended,
    /// The store holds a head that can't be built on.
    #[display("stored head is not usable: {reason}")]
    HeadUnreadable {
        /// What was wrong.
        reason: String,
    },
}

impl RefusalReason {
    /// Whether the same ticket may be accepted when it is submitted again.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::StoreAway { .. } | Self::Contended)
    }
}

/// Answer to the submission of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Accepted; in force here, and everywhere within seconds.
    Accepted {
        /// Version of the head that accepted it.
        head_version: u64,
    },
    /// The same ticket was accepted before; nothing was changed.
    Repeated,
    /// Not accepted by this submission.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// It may have been accepted: ask again with the same number and content.
    Unknown {
        /// Last failure in words.
        reason: String,
    },
}
