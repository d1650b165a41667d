//! The head: the one value in the store that says what is accepted.
//!
//! It maps each service to the ticket in force and lists the tickets that
//! were accepted last. A ticket is accepted exactly when a head that names it
//! replaces its predecessor; the body of the ticket is written before. The
//! list of recent tickets is bounded. It answers repeats and settles lost
//! answers; a repeat that is older than the list and no longer in force is
//! refused as out of date. The body of a ticket is kept while the ticket is in
//! force or listed.
//!
//! Every change moves the head to each availability zone, so its entries are
//! encoded as short JSON arrays.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::body::{ChangeTicket, TicketDigest, TicketError};
use crate::ids::{ServiceName, TicketNumber};
use crate::store::MAX_VALUE_BYTES;

/// Accepted tickets that the head remembers.
pub const MAX_RECENT_TICKETS: usize = 256;
/// Largest head, in bytes.
const MAX_HEAD_BYTES: usize = MAX_VALUE_BYTES * 9 / 10;
/// Largest total of all rules in force, in bytes, so that one exchange holds them.
const MAX_RULES_BYTES: usize = 3 * 1024 * 1024;

/// Ticket in force for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EntryFields", into = "EntryFields")]
pub struct HeadEntry {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// Digest of the ticket's content.
    pub digest: TicketDigest,
    /// Version of the head that put it in force.
    pub version: u64,
    /// Size of the rule in bytes; 0 if the ticket removed the service.
    pub bytes: usize,
}

/// Fields of a [`HeadEntry`] in the order of their encoding.
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

/// Accepted ticket in the list of recent ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentTicket(pub TicketNumber, pub TicketDigest);

/// What is accepted, as the store holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHead {
    /// Count of tickets accepted so far.
    pub version: u64,
    /// Ticket in force by service; removed services stay with their number.
    pub services: BTreeMap<ServiceName, HeadEntry>,
    /// Tickets accepted last, oldest first.
    pub recent: Vec<RecentTicket>,
}

/// Judgement of a ticket against a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketCheck {
    /// It can be accepted.
    Acceptable,
    /// A higher number is in force for a service that it touches.
    Stale {
        /// First such service.
        service: ServiceName,
        /// Number in force there.
        in_force: TicketNumber,
    },
    /// The number was accepted with other content.
    Conflict,
    /// The same ticket was accepted before.
    Repeated,
}

impl TicketHead {
    /// Reads a stored head.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a head.
    pub fn decode(bytes: &[u8]) -> Result<Self, TicketError> {
        serde_json::from_slice(bytes).map_err(|error| head_error(&error))
    }

    /// Encoding for the store.
    ///
    /// # Errors
    ///
    /// Fails if the head can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, TicketError> {
        serde_json::to_vec(self).map_err(|error| head_error(&error))
    }

    /// Digest of an accepted ticket, while the head remembers it.
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

    /// Judges a ticket whose content has the given digest.
    ///
    /// `Stale` and `Conflict` are final: no later head judges otherwise.
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

    /// Head that follows when an acceptable ticket is accepted.
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

    /// Whether the head and the rules that it names fit their limits.
    pub fn is_within_limits(&self, encoded: &[u8]) -> bool {
        let rules_bytes: usize = self.services.values().map(|entry| entry.bytes).sum();
        encoded.len() <= MAX_HEAD_BYTES && rules_bytes <= MAX_RULES_BYTES
    }

    /// Tickets whose bodies are kept: those in force and those listed.
    pub fn referenced_numbers(&self) -> BTreeSet<TicketNumber> {
        let mut kept = self.numbers_with_rules();
        kept.extend(self.recent.iter().map(|ticket| ticket.0));
        kept
    }

    /// Tickets that are in force and keep a service.
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
