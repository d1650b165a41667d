//! Lookup of one ticket for operators.
//!
//! The status is that of the node's own state if the ticket is in force there,
//! and otherwise that of the head in the store. The content is read from the
//! store.

use std::collections::BTreeMap;

use serde::Serialize;

use super::body::ChangeTicket;
use super::head::TicketHead;
use super::state::TicketState;
use super::submit::{HEAD_KEY, body_key};
use crate::ids::{ServiceName, TicketNumber};
use crate::store::ConfigStore;

/// Status of a ticket number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketStatus {
    /// In force for at least one service.
    InForce,
    /// Accepted, and superseded by a higher number for every service.
    Superseded,
    /// Accepted, but not yet in force at this node.
    Accepted,
    /// Not accepted, or superseded so long ago that the head no longer lists it.
    NotListed,
    /// Not in force at this node, and the store is unreachable.
    Unknown,
}

/// Ticket as shown to an operator.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketView {
    /// Number that was looked up.
    pub number: TicketNumber,
    /// Status of the ticket.
    pub status: TicketStatus,
    /// Services for which the ticket is in force; false where it removed the service.
    pub in_force: BTreeMap<ServiceName, bool>,
    /// Content, if the ticket is in force or accepted and the store has returned it.
    pub ticket: Option<ChangeTicket>,
}

/// Looks up a ticket in the state of this node alone.
pub fn local_view(state: &TicketState, number: TicketNumber) -> TicketView {
    let in_force = state.services_in_force(number);
    let status = if in_force.is_empty() {
        TicketStatus::Unknown
    } else {
        TicketStatus::InForce
    };
    TicketView {
        number,
        status,
        in_force,
        ticket: None,
    }
}

/// Looks up a ticket in the state of this node and in the store.
pub async fn lookup_ticket<S: ConfigStore>(
    state: &TicketState,
    store: &S,
    number: TicketNumber,
) -> TicketView {
    let mut view = local_view(state, number);
    if let Ok(Some(stored)) = store.get(&body_key(number)).await {
        view.ticket = ChangeTicket::decode(&stored.bytes).ok();
    }
    if view.status == TicketStatus::InForce {
        return view;
    }
    if let Ok(stored) = store.get(HEAD_KEY).await {
        let head = stored.map_or_else(
            || Ok(TicketHead::default()),
            |stored| TicketHead::decode(&stored.bytes),
        );
        if let Ok(head) = head {
            view.status = status_in_head(&head, number);
        }
    }
    // A body whose ticket was never accepted has no effect and is not shown.
    if view.status != TicketStatus::Accepted {
        view.ticket = None;
    }
    view
}

fn status_in_head(head: &TicketHead, number: TicketNumber) -> TicketStatus {
    if head.accepted_digest(number).is_none() {
        return TicketStatus::NotListed;
    }
    let is_in_force = head.services.values().any(|entry| entry.number == number);
    if is_in_force {
        TicketStatus::Accepted
    } else {
        TicketStatus::Superseded
    }
}
