//! What is known of one ticket, for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use super::body::ChangeTicket;
use super::head::TicketHead;
use super::state::TicketState;
use super::submit::{HEAD_KEY, body_key};
use crate::ids::{ServiceName, TicketNumber};
use crate::store::ConfigStore;

/// What is known of a ticket number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketStatus {
    /// In force for at least one service.
    InForce,
    /// Accepted, and superseded for every service.
    Superseded,
    /// Accepted, and about to come into force at this node.
    Accepted,
    /// Not accepted, or superseded so long ago that it isn't listed any more.
    NotListed,
    /// Not in force here, and the store can't be asked.
    Unknown,
}

/// Ticket as an operator sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketView {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// What is known of it.
    pub status: TicketStatus,
    /// Services for which it is in force; false where it removed the service.
    pub in_force: BTreeMap<ServiceName, bool>,
    /// Content, while the store keeps it and can be asked.
    pub ticket: Option<ChangeTicket>,
}

/// What this node knows by itself.
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

/// What this node and the store know together.
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
    // Content that was never accepted has no effect and is not shown.
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
