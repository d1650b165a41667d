//! The head: the single stored value that lists the accepted tickets.
//!
//! It maps each service to the ticket in force and lists the most recently
//! accepted tickets. A ticket is accepted at the moment when a head that names
//! it replaces the previous head; the ticket's body is written before that.
//! The bounded list of recent tickets makes submissions idempotent: it shows
//! that a ticket was accepted already, also when the response to that write was
//! lost. A resubmitted ticket that has left the list and is no longer in force
//! is refused as out of date. A ticket's body is kept while the ticket is in
//! force or listed.
//!
//! Every change transfers the head to each availability zone, so its entries
//! are encoded as short JSON arrays.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::body::{ChangeTicket, TicketDigest, TicketError};
use crate::ids::{ServiceName, TicketNumber};
use crate::store::MAX_VALUE_BYTES;

/// Maximum length of the list of recently accepted tickets.
pub const MAX_RECENT_TICKETS: usize = 256;
/// Maximum size of an encoded head, in bytes; leaves a margin below the limit of a stored value.
const MAX_HEAD_BYTES: usize = MAX_VALUE_BYTES * 9 / 10;
/// Maximum total size of all rules in force, in bytes, so that they fit into
/// one control message.
const MAX_RULES_BYTES: usize = 3 * 1024 * 1024;

/// Ticket in force for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EntryFields", into = "EntryFields")]
pub struct HeadEntry {
    /// Number of that ticket.
    pub number: TicketNumber,
    /// Digest of the ticket's content.
    pub digest: TicketDigest,
    /// Version of the head that brought it into force.
    pub version: u64,
    /// Size of the encoded rule, in bytes; 0 if the ticket removed the service.
    pub bytes: usize,
}

/// Fields of a [`HeadEntry`] in the order in which they are encoded.
type EntryFields = (TicketNumber, TicketDigest, u64, usize);

impl From<EntryFields> for HeadEntry {
    fn from((number, digest, version, bytes): EntryFields) -> Self {
        Self {
            number,
            digest,
            version,
            bytes,
        }
    }
}

impl From<HeadEntry> for EntryFields {
    fn from(entry: HeadEntry) -> Self {
        (entry.number, entry.digest, entry.version, entry.bytes)
    }
}

impl HeadEntry {
    /// Whether the ticket removed the service.
    pub fn is_removal(&self) -> bool {
        self.bytes == 0
    }
}

/// Entry in the list of recently accepted tickets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentTicket(pub TicketNumber, pub TicketDigest);

/// Index of the accepted tickets, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHead {
    /// Number of tickets accepted so far; each acceptance increments it.
    pub version: u64,
    /// Ticket in force for each service. Entries of removed services stay, so
    /// that a lower number does not restore them.
    pub services: BTreeMap<ServiceName, HeadEntry>,
    /// Most recently accepted tickets, oldest first.
    pub recent: Vec<RecentTicket>,
}

/// Result of checking a ticket against a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketCheck {
    /// The ticket can be accepted.
    Acceptable,
    /// A ticket with a higher number is in force for a service that it touches.
    Stale {
        /// First such service, in alphabetical order.
        service: ServiceName,
        /// Number of the ticket in force for it.
        in_force: TicketNumber,
    },
    /// A ticket with this number but other content was accepted.
    Conflict,
    /// The same ticket had been accepted before.
    Repeated,
}

impl TicketHead {
    /// Decodes a stored head.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid head.
    pub fn decode(bytes: &[u8]) -> Result<Self, TicketError> {
        serde_json::from_slice(bytes).map_err(|error| head_error(&error))
    }

    /// Encodes the head for the store.
    ///
    /// # Errors
    ///
    /// Fails if the head can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, TicketError> {
        serde_json::to_vec(self).map_err(|error| head_error(&error))
    }

    /// Digest of an accepted ticket; `None` if it is neither in force nor listed.
    pub fn accepted_digest(&self, number: TicketNumber) -> Option<&TicketDigest> {
        let mut in_force = self.services.values();
        let in_force = in_force.find(|entry| entry.number == number);
        let mut recent = self.recent.iter().rev();
        in_force.map(|entry| &entry.digest).or_else(|| {
            recent
                .find(|ticket| ticket.0 == number)
                .map(|ticket| &ticket.1)
        })
    }

    /// Checks whether a ticket with the given content digest can be accepted.
    ///
    /// `Stale` and `Conflict` are final: every later head gives the same result.
    pub fn check(&self, ticket: &ChangeTicket, digest: &TicketDigest) -> TicketCheck {
        if let Some(accepted) = self.accepted_digest(ticket.number) {
            return if accepted == digest {
                TicketCheck::Repeated
            } else {
                TicketCheck::Conflict
            };
        }
        for service in ticket.services.keys() {
            let entry = self.services.get(service);
            if let Some(entry) = entry.filter(|entry| entry.number > ticket.number) {
                return TicketCheck::Stale {
                    service: service.clone(),
                    in_force: entry.number,
                };
            }
        }
        TicketCheck::Acceptable
    }

    /// Returns the next head, with an acceptable ticket accepted.
    ///
    /// # Errors
    ///
    /// Fails if a rule can't be encoded.
    pub fn accept(
        &self,
        ticket: &ChangeTicket,
        digest: &TicketDigest,
    ) -> Result<Self, TicketError> {
        let mut next = self.clone();
        next.version += 1;
        for (service, rule) in &ticket.services {
            let bytes = match rule {
                Some(rule) => serde_json::to_vec(rule)
                    .map_err(|error| head_error(&error))?
                    .len(),
                None => 0,
            };
            let entry = HeadEntry {
                number: ticket.number,
                digest: digest.clone(),
                version: next.version,
                bytes,
            };
            next.services.insert(service.clone(), entry);
        }
        next.recent
            .push(RecentTicket(ticket.number, digest.clone()));
        let excess = next.recent.len().saturating_sub(MAX_RECENT_TICKETS);
        next.recent.drain(..excess);
        Ok(next)
    }

    /// Whether the encoded head and the rules in force are within their size limits.
    pub fn is_within_limits(&self, encoded: &[u8]) -> bool {
        let rules_bytes: usize = self.services.values().map(|entry| entry.bytes).sum();
        encoded.len() <= MAX_HEAD_BYTES && rules_bytes <= MAX_RULES_BYTES
    }

    /// Tickets whose bodies must be kept: those in force and those listed.
    pub fn referenced_numbers(&self) -> BTreeSet<TicketNumber> {
        let mut numbers = self.numbers_with_rules();
        numbers.extend(self.recent.iter().map(|ticket| ticket.0));
        numbers
    }

    /// Tickets that define the rule in force of at least one service.
    pub fn numbers_with_rules(&self) -> BTreeSet<TicketNumber> {
        let entries = self.services.values();
        let entries = entries.filter(|entry| !entry.is_removal());
        entries.map(|entry| entry.number).collect()
    }
}

fn head_error(error: &serde_json::Error) -> TicketError {
    TicketError {
        field: "head".to_string(),
        reason: error.to_string(),
    }
}
