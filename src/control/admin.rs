//! Answers the administration API's requests.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tokio::sync::mpsc::Receiver;

use crate::admin::{
    AdminCall, AdminReply, AdminRequest, BackendAnnouncement, BackendView, FieldError, HealthView,
    MemberView, RefusalReason, ServiceView, StatusView, TicketOutcome, UpstreamView,
};
use crate::control::state::{AnnounceOutcome, ControlState};
use crate::ids::{BackendId, NodeId, ServiceName, TicketNumber};
use crate::ingress::lock;
use crate::membership::MemberRecord;
use crate::table::{ServiceEntry, UpstreamState};
use crate::tickets::{ChangeTicket, RefusalReason as TicketRefusal, SubmitAnswer, TicketStatus};

/// Serves requests until the API's channel closes.
pub async fn serve_admin(control: Rc<ControlState>, mut calls: Receiver<AdminCall>) {
    while let Some(call) = calls.recv().await {
        let control = Rc::clone(&control);
        // A submission may wait for the store; it must not hold up the rest.
        ntex::rt::spawn(async move {
            let reply = answer_request(&control, call.request).await;
            // The caller may have left.
            let _ = call.reply.send(reply);
        });
    }
}

async fn answer_request(control: &ControlState, request: AdminRequest) -> AdminReply {
    match request {
        AdminRequest::AnnounceBackend {
            backend,
            announcement,
        } => announce(control, backend, announcement),
        AdminRequest::WithdrawBackend {
            backend,
            withdrawal,
        } => {
            if control.withdraw(&backend, withdrawal) {
                AdminReply::Done
            } else {
                AdminReply::NotFound
            }
        }
        AdminRequest::SubmitTicket { number, body } => submit(control, number, &body).await,
        AdminRequest::CheckTicket { number, body } => check(control, number, &body).await,
        AdminRequest::ShowTicket { number } => show(control, number).await,
        AdminRequest::ListServices => AdminReply::Services(list_services(control)),
        AdminRequest::ListMembers => AdminReply::Members(list_members(control)),
        AdminRequest::ShowStatus => AdminReply::Status(Box::new(show_status(control))),
        AdminRequest::CheckHealth => AdminReply::Health(check_health(control)),
    }
}

fn bad_input(field: &str, reason: &str) -> AdminReply {
    AdminReply::InvalidInput(FieldError {
        field: field.to_string(),
        reason: reason.to_string(),
    })
}

fn announce(
    control: &ControlState,
    backend: BackendId,
    announcement: BackendAnnouncement,
) -> AdminReply {
    if announcement.state == UpstreamState::Gone {
        return bad_input("state", "must be joining, ready or draining");
    }
    match control.announce(backend, announcement) {
        AnnounceOutcome::Accepted | AnnounceOutcome::Outdated => AdminReply::Done,
        AnnounceOutcome::OtherIsHere => {
            bad_input("id", "another backend server is beside this node")
        }
    }
}

fn parse_ticket(number: TicketNumber, body: &str) -> Result<ChangeTicket, AdminReply> {
    ChangeTicket::parse(number, body.as_bytes())
        .map_err(|error| bad_input(&error.field, &error.reason))
}

async fn submit(control: &ControlState, number: TicketNumber, body: &str) -> AdminReply {
    let ticket = match parse_ticket(number, body) {
        Ok(ticket) => ticket,
        Err(reply) => return reply,
    };
    let services = ticket.services.keys().cloned().collect();
    let answer = match control.config.submit(ticket).await {
        SubmitAnswer::Accepted { .. } => TicketOutcome::Accepted {
            number,
            is_repeated: false,
        },
        SubmitAnswer::Repeated => TicketOutcome::Accepted {
            number,
            is_repeated: true,
        },
        SubmitAnswer::Refused { reason } => return refused(number, services, &reason),
        SubmitAnswer::Unknown { reason } => TicketOutcome::Unknown {
            number,
            advice: format!("submit the same ticket with the same number again: {reason}"),
        },
    };
    AdminReply::Ticket(answer)
}

fn refused(
    number: TicketNumber,
    services: BTreeSet<ServiceName>,
    reason: &TicketRefusal,
) -> AdminReply {
    let reason = match reason {
        TicketRefusal::Malformed(error) => return bad_input(&error.field, &error.reason),
        TicketRefusal::Stale { .. } => RefusalReason::OutOfDate,
        TicketRefusal::Conflict => RefusalReason::Conflict,
        TicketRefusal::StoreAway { .. } => RefusalReason::StoreAway,
        TicketRefusal::Full | TicketRefusal::Contended | TicketRefusal::HeadUnreadable { .. } => {
            return AdminReply::Unavailable(reason.to_string());
        }
    };
    AdminReply::Ticket(TicketOutcome::Refused {
        number,
        reason,
        services,
    })
}

/// Says what a submission would be answered as far as this node can know.
async fn check(control: &ControlState, number: TicketNumber, body: &str) -> AdminReply {
    let ticket = match parse_ticket(number, body) {
        Ok(ticket) => ticket,
        Err(reply) => return reply,
    };
    let known = control.config.show(number).await.ticket;
    if let Some(known) = known {
        return AdminReply::Ticket(answer_known(number, &ticket, &known));
    }
    let state = control.config.subscribe().borrow().clone();
    let services: BTreeSet<ServiceName> = ticket
        .services
        .keys()
        .filter(|service| state.number_in_force(service) > Some(number))
        .cloned()
        .collect();
    let answer = if services.is_empty() {
        TicketOutcome::Accepted {
            number,
            is_repeated: false,
        }
    } else {
        TicketOutcome::Refused {
            number,
            reason: RefusalReason::OutOfDate,
            services,
        }
    };
    AdminReply::Ticket(answer)
}

/// Answer to a ticket whose number was accepted before.
fn answer_known(
    number: TicketNumber,
    ticket: &ChangeTicket,
    known: &ChangeTicket,
) -> TicketOutcome {
    if ticket == known {
        return TicketOutcome::Accepted {
            number,
            is_repeated: true,
        };
    }
    TicketOutcome::Refused {
        number,
        reason: RefusalReason::Conflict,
        services: ticket.services.keys().cloned().collect(),
    }
}

async fn show(control: &ControlState, number: TicketNumber) -> AdminReply {
    let view = control.config.show(number).await;
    match view.status {
        TicketStatus::NotListed => AdminReply::NotFound,
        _ => AdminReply::TicketContent(view),
    }
}

fn list_services(control: &ControlState) -> BTreeMap<ServiceName, ServiceView> {
    let table = control.table();
    table
        .services
        .iter()
        .map(|(name, entry)| (name.clone(), service_view(entry)))
        .collect()
}

fn service_view(entry: &ServiceEntry) -> ServiceView {
    let upstreams = entry.upstreams.iter().map(|(node, upstream)| {
        let view = UpstreamView {
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            state: upstream.state,
            is_suspect: upstream.is_suspect,
        };
        (node.clone(), view)
    });
    ServiceView {
        ticket: entry.ticket,
        rule: entry.rule.clone(),
        upstreams: upstreams.collect(),
    }
}

fn list_members(control: &ControlState) -> BTreeMap<NodeId, MemberView> {
    let state = control.membership.state().borrow();
    let members = state.members().iter();
    members
        .map(|(node, member)| (node.clone(), member_view(member)))
        .collect()
}

fn member_view(member: &MemberRecord) -> MemberView {
    MemberView {
        incarnation: member.incarnation,
        region: member.region.clone(),
        zone: member.zone.clone(),
        peer_address: member.peer_address,
        state: member.state().to_string(),
        service: member
            .backend
            .as_ref()
            .map(|backend| backend.service.clone()),
    }
}

fn show_status(control: &ControlState) -> StatusView {
    let identity = &control.identity;
    let backend = control.backend.borrow();
    let backends = backend.iter().map(|backend| {
        let age_ms = backend.heard.elapsed().as_millis();
        let view = BackendView {
            announcement: backend.announcement.clone(),
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        };
        (backend.id.clone(), view)
    });
    let uptime_ms = identity.started.elapsed().as_millis();
    StatusView {
        node_id: identity.node.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_string(),
        uptime_ms: u64::try_from(uptime_ms).unwrap_or(u64::MAX),
        table_version: control.table().version,
        is_stopping: control.is_stopping(),
        members_alive: count_alive(control),
        backends: backends.collect(),
        counters: counters(control),
    }
}

fn count_alive(control: &ControlState) -> u64 {
    let state = control.membership.state().borrow();
    let alive = state.members().values().filter(|member| member.is_live());
    alive.count() as u64
}

/// Counters for the status page and the metrics.
pub fn counters(control: &ControlState) -> BTreeMap<String, u64> {
    let gate = *control.gate_status.borrow();
    let state = control.membership.state().borrow();
    let membership = state.counters();
    let probes = lock(&control.ingress.router).probe_counts();
    [
        ("gate.in_flight", u64::from(gate.in_flight)),
        ("gate.queued", u64::from(gate.queued)),
        ("gate.limit", u64::from(gate.limit)),
        ("ingress.in_flight", control.ingress.in_flight()),
        ("config.head_version", control.config.head_version()),
        ("probes.spent", probes.sent),
        ("probes.refused", probes.throttled),
        ("membership.bytes_sent", membership.bytes_sent),
        ("membership.bytes_received", membership.bytes_received),
        ("membership.sync_bytes_sent", membership.sync_bytes_sent),
        (
            "membership.sync_bytes_received",
            membership.sync_bytes_received,
        ),
        ("membership.datagrams_sent", membership.datagrams_sent),
        (
            "membership.datagrams_received",
            membership.datagrams_received,
        ),
        ("membership.suspicions", membership.suspicions),
        ("membership.deaths", membership.deaths),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_string(), value))
    .collect()
}

fn check_health(control: &ControlState) -> HealthView {
    if control.is_stopping() {
        HealthView::Stopping
    } else {
        HealthView::Serving
    }
}
