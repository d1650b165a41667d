//! Configuration in force at a node, and the deltas that nodes exchange.
//!
//! A delta applies to any state of at least its base version and raises it to
//! the delta's own version in one step, so every ticket takes effect atomically
//! at each node. An outdated delta changes nothing, and a service never returns
//! to a lower ticket number.

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message;

use super::body::{ChangeTicket, TicketDigest};
use super::head::TicketHead;
use crate::ids::{ServiceName, TicketNumber};
use crate::table::ServiceRule;

/// Rules in force by service, each with the number of its ticket.
pub type RulesInForce = BTreeMap<ServiceName, (TicketNumber, ServiceRule)>;

/// Request for all changes after the version that the requesting node has.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaRequest {
    /// Head version that the requesting node has applied.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Changed service in a [`TicketDelta`].
#[derive(Clone, PartialEq, Message)]
pub struct DeltaEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of the ticket in force.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Head version that brought it into force.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Rule as JSON; empty if the ticket removed the service.
    #[prost(bytes = "bytes", tag = "4")]
    pub rule: Bytes,
}

/// All changes between two head versions.
#[derive(Clone, PartialEq, Message)]
pub struct TicketDelta {
    /// Lowest version of a state to which the delta can be applied.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// Version of the state after the delta is applied.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Services that changed between the two versions.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<DeltaEntry>,
}

#[derive(Debug, Clone, PartialEq)]
struct StateEntry {
    number: TicketNumber,
    version: u64,
    /// Rule as JSON, to be sent to peers; empty if the ticket removed the service.
    rule_json: Bytes,
}

/// Configuration in force at one node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TicketState {
    version: u64,
    entries: BTreeMap<ServiceName, StateEntry>,
    rules: RulesInForce,
}

impl TicketState {
    /// Version of the newest head that was applied.
    pub fn head_version(&self) -> u64 {
        self.version
    }

    /// Rules in force; removed services have none.
    pub fn rules_in_force(&self) -> &RulesInForce {
        &self.rules
    }

    /// Number of the ticket in force for a service, which may be one that removed it.
    pub fn number_in_force(&self, service: &ServiceName) -> Option<TicketNumber> {
        self.entries.get(service).map(|entry| entry.number)
    }

    /// Services for which the ticket is in force; false where it removed the service.
    pub fn services_in_force(&self, number: TicketNumber) -> BTreeMap<ServiceName, bool> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| entry.number == number);
        entries
            .map(|(service, _)| (service.clone(), self.rules.contains_key(service)))
            .collect()
    }

    /// Tickets whose bodies must be read from the store before the head can be applied.
    pub fn missing_bodies(&self, head: &TicketHead) -> Vec<TicketNumber> {
        let mut missing = head.numbers_with_rules();
        missing.retain(|number| {
            let mut entries = head.services.iter();
            entries.any(|(service, entry)| {
                entry.number == *number && self.number_in_force(service) < Some(*number)
            })
        });
        missing.into_iter().collect()
    }

    /// Applies a head, given the bodies of its [`missing_bodies`](Self::missing_bodies).
    ///
    /// Returns false and changes nothing if the head is not newer, or if a body
    /// is missing or defines no rule for its service.
    pub fn apply_head(
        &mut self,
        head: &TicketHead,
        bodies: &BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        let mut entries = Vec::new();
        for (service, entry) in &head.services {
            if self.number_in_force(service) >= Some(entry.number) {
                continue;
            }
            let Some(rule) = encode_rule(service, entry.is_removal(), bodies.get(&entry.number))
            else {
                return false;
            };
            entries.push(DeltaEntry {
                service: service.to_string(),
                number: entry.number.get(),
                version: entry.version,
                rule,
            });
        }
        self.apply_delta(&TicketDelta {
            base_version: self.version,
            version: head.version,
            entries,
        })
    }

    /// Applies a delta; returns false and changes nothing if it is outdated, starts
    /// after the current version or is malformed.
    pub fn apply_delta(&mut self, delta: &TicketDelta) -> bool {
        if delta.version <= self.version || delta.base_version > self.version {
            return false;
        }
        let Some(changes) = delta
            .entries
            .iter()
            .map(decode_service)
            .collect::<Option<Vec<_>>>()
        else {
            return false;
        };
        for (service, entry, rule) in changes {
            self.apply_service(service, entry, rule);
        }
        self.version = delta.version;
        true
    }

    fn apply_service(
        &mut self,
        service: ServiceName,
        entry: StateEntry,
        rule: Option<ServiceRule>,
    ) {
        if self.number_in_force(&service) >= Some(entry.number) {
            return;
        }
        match rule {
            Some(rule) => {
                self.rules.insert(service.clone(), (entry.number, rule));
            }
            None => {
                self.rules.remove(&service);
            }
        }
        self.entries.insert(service, entry);
    }

    /// Returns the changes since a version, for a node that has it.
    pub fn delta_since(&self, base_version: u64) -> TicketDelta {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| entry.version > base_version);
        let entries = entries.map(|(service, entry)| DeltaEntry {
            service: service.to_string(),
            number: entry.number.get(),
            version: entry.version,
            rule: entry.rule_json.clone(),
        });
        TicketDelta {
            base_version,
            version: self.version,
            entries: entries.collect(),
        }
    }
}

fn encode_rule(
    service: &ServiceName,
    is_removed: bool,
    body: Option<&ChangeTicket>,
) -> Option<Bytes> {
    if is_removed {
        return Some(Bytes::new());
    }
    let rule = body?.services.get(service)?.as_ref()?;
    serde_json::to_vec(rule).ok().map(Bytes::from)
}

fn decode_service(raw: &DeltaEntry) -> Option<(ServiceName, StateEntry, Option<ServiceRule>)> {
    let service = raw.service.parse().ok()?;
    let entry = StateEntry {
        number: TicketNumber::try_from(raw.number).ok()?,
        version: raw.version,
        rule_json: raw.rule.clone(),
    };
    if raw.rule.is_empty() {
        return Some((service, entry, None));
    }
    let rule = serde_json::from_slice(&raw.rule).ok()?;
    Some((service, entry, Some(rule)))
}

/// Whether a stored body has the digest with which the ticket was accepted.
pub fn is_accepted_body(head: &TicketHead, number: TicketNumber, bytes: &[u8]) -> bool {
    head.accepted_digest(number) == Some(&TicketDigest::of(bytes))
}
