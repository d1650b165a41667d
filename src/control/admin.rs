//! Handlers of administration API requests on the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::Receiver;

use crate::admin::{
    AdminCall, AdminReply, AdminRequest, BackendAnnouncement, BackendView, BackendWithdrawal,
    FieldError, HealthView, MemberView, RefusalReason, ServiceView, StatusView, SuspectView,
    TicketOutcome, UpstreamView,
};
use crate::control::state::{AnnouncementOutcome, ControlState, WithdrawalOutcome, unix_millis};
use crate::ids::{BackendId, NodeId, ServiceName, TicketNumber};
use crate::ingress::lock;
use crate::membership::MemberRecord;
use crate::table::{ServiceEntry, UpstreamState};
use crate::tickets::{ChangeTicket, RefusalReason as TicketRefusal, SubmitOutcome, TicketStatus};

/// Longest wait of an announcement for the departures that earlier processes acknowledged. A
/// backend server waits a second for its acknowledgement.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(700);

/// Serves administration requests until their channel closes.
pub async fn serve_admin(control: Rc<ControlState>, mut calls: Receiver<AdminCall>) {
    while let Some(call) = calls.recv().await {
        let control = Rc::clone(&control);
        // A task of its own, since a submission may wait for the store and must not
        // delay other requests.
        ntex::rt::spawn(async move {
            let reply = handle_request(&control, call.request).await;
            // Fails if the client has disconnected; the reply is then dropped.
            let _ = call.reply.send(reply);
        });
    }
}

async fn handle_request(control: &ControlState, request: AdminRequest) -> AdminReply {
    match request {
        AdminRequest::AnnounceBackend {
            backend,
            announcement,
        } => announce_backend(control, backend, announcement).await,
        AdminRequest::WithdrawBackend {
            backend,
            withdrawal,
        } => withdraw_backend(control, &backend, withdrawal).await,
        AdminRequest::SubmitTicket { number, body } => submit_ticket(control, number, &body).await,
        AdminRequest::CheckTicket { number, body } => check_ticket(control, number, &body).await,
        AdminRequest::ShowTicket { number } => show_ticket(control, number).await,
        AdminRequest::ListServices => AdminReply::Services(service_views(control)),
        AdminRequest::ListQuarantine => AdminReply::Quarantine(suspect_views(control)),
        AdminRequest::ClearQuarantine { fingerprint } => {
            if control.ingress.quarantine.clear(fingerprint) {
                AdminReply::Done
            } else {
                AdminReply::NotFound
            }
        }
        AdminRequest::ListMembers => AdminReply::Members(member_views(control)),
        AdminRequest::ShowStatus => AdminReply::Status(Box::new(status_view(control))),
        AdminRequest::CheckHealth => AdminReply::Health(health_view(control)),
    }
}

fn bad_input_reply(field: &str, reason: &str) -> AdminReply {
    AdminReply::InvalidInput(FieldError {
        field: field.to_string(),
        reason: reason.to_string(),
    })
}

async fn announce_backend(
    control: &ControlState,
    backend: BackendId,
    announcement: BackendAnnouncement,
) -> AdminReply {
    if announcement.state == UpstreamState::Gone {
        return bad_input_reply("state", "must be joining, ready or draining");
    }
    if announcement.address.port() == 0 {
        return bad_input_reply("address", "must have a port");
    }
    if announcement
        .order
        .is_some_and(|order| !order.is_plausible(unix_millis()))
    {
        return bad_input_reply("order", "start or sequence number too large");
    }
    let is_draining = announcement.state == UpstreamState::Draining;
    let recovery = tokio::time::timeout(RECOVERY_TIMEOUT, control.wait_until_recovered()).await;
    if recovery.is_err() && !is_draining {
        return AdminReply::Unavailable("departures of earlier processes not read yet".to_string());
    }
    if !is_draining && !control.is_serving(&backend, &announcement).await {
        return AdminReply::Unavailable("heartbeat may be late, waiting for the next".to_string());
    }
    match control.apply_announcement(backend.clone(), announcement.clone()) {
        AnnouncementOutcome::Accepted => {
            if is_draining {
                control.record_draining(&backend, &announcement).await;
            }
            AdminReply::Done
        }
        AnnouncementOutcome::Outdated => AdminReply::Done,
        AnnouncementOutcome::ConflictingBackend => {
            bad_input_reply("id", "another backend server is beside this node")
        }
    }
}

async fn withdraw_backend(
    control: &ControlState,
    backend: &BackendId,
    withdrawal: BackendWithdrawal,
) -> AdminReply {
    match control.apply_withdrawal(backend, withdrawal) {
        WithdrawalOutcome::Applied(record) => {
            if let Some(record) = record {
                control.departures.record(record).await;
            }
            AdminReply::Done
        }
        WithdrawalOutcome::UnknownBackend => AdminReply::NotFound,
    }
}

fn parse_ticket(number: TicketNumber, body: &str) -> Result<ChangeTicket, AdminReply> {
    ChangeTicket::parse(number, body.as_bytes())
        .map_err(|error| bad_input_reply(&error.field, &error.reason))
}

async fn submit_ticket(control: &ControlState, number: TicketNumber, body: &str) -> AdminReply {
    let ticket = match parse_ticket(number, body) {
        Ok(ticket) => ticket,
        Err(reply) => return reply,
    };
    let services = ticket.services.keys().cloned().collect();
    let outcome = match control.tickets.submit(ticket).await {
        SubmitOutcome::Accepted { .. } => TicketOutcome::Accepted {
            number,
            is_repeated: false,
        },
        SubmitOutcome::Repeated => TicketOutcome::Accepted {
            number,
            is_repeated: true,
        },
        SubmitOutcome::Refused { reason } => return refusal_reply(number, services, &reason),
        SubmitOutcome::Unknown { reason } => TicketOutcome::Unknown {
            number,
            advice: format!("submit the same ticket with the same number again: {reason}"),
        },
    };
    AdminReply::Ticket(outcome)
}

fn refusal_reply(
    number: TicketNumber,
    services: BTreeSet<ServiceName>,
    reason: &TicketRefusal,
) -> AdminReply {
    let reason = match reason {
        TicketRefusal::Malformed(error) => return bad_input_reply(&error.field, &error.reason),
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

/// Predicts the outcome of a submission from the state of this node, without
/// submitting the ticket.
async fn check_ticket(control: &ControlState, number: TicketNumber, body: &str) -> AdminReply {
    let ticket = match parse_ticket(number, body) {
        Ok(ticket) => ticket,
        Err(reply) => return reply,
    };
    let accepted_ticket = control.tickets.lookup(number).await.ticket;
    if let Some(accepted_ticket) = accepted_ticket {
        return AdminReply::Ticket(outcome_of_known_number(number, &ticket, &accepted_ticket));
    }
    let tickets_in_force = control.tickets.subscribe().borrow().clone();
    let services: BTreeSet<ServiceName> = ticket
        .services
        .keys()
        .filter(|service| tickets_in_force.number_in_force(service) > Some(number))
        .cloned()
        .collect();
    let outcome = if services.is_empty() {
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
    AdminReply::Ticket(outcome)
}

/// Outcome of a ticket whose number has already been accepted: repeated if the
/// content is the same, otherwise a conflict.
fn outcome_of_known_number(
    number: TicketNumber,
    ticket: &ChangeTicket,
    accepted_ticket: &ChangeTicket,
) -> TicketOutcome {
    if ticket == accepted_ticket {
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

async fn show_ticket(control: &ControlState, number: TicketNumber) -> AdminReply {
    let view = control.tickets.lookup(number).await;
    match view.status {
        TicketStatus::NotListed => AdminReply::NotFound,
        _ => AdminReply::TicketContent(view),
    }
}

fn service_views(control: &ControlState) -> BTreeMap<ServiceName, ServiceView> {
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

fn suspect_views(control: &ControlState) -> BTreeMap<String, SuspectView> {
    let to_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let suspects = control.ingress.quarantine.suspects().into_iter();
    suspects
        .map(|(fingerprint, record, standing)| {
            let view = SuspectView {
                standing: standing.name().to_string(),
                service: record.service.clone(),
                crashes: record.crashes.len(),
                trial_crashes: record.trial_crashes(),
                evidence_age_ms: to_ms(standing.evidence_age()),
                retry_after_ms: to_ms(standing.retry_after()),
            };
            (fingerprint.to_string(), view)
        })
        .collect()
}

fn member_views(control: &ControlState) -> BTreeMap<NodeId, MemberView> {
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

fn status_view(control: &ControlState) -> StatusView {
    let identity = &control.identity;
    let backend = control.backend.borrow();
    let gate = *control.gate_status.borrow();
    let backends = backend.iter().map(|backend| {
        let key = backend.announcement.backend_key(&backend.id);
        let age_ms = backend.last_heartbeat.elapsed().as_millis();
        let view = BackendView {
            announcement: backend.announcement.clone(),
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            rate_limit_in_force: gate.rate_limit,
            is_leaving: gate.leaving_backend == Some(key),
        };
        (backend.id.clone(), view)
    });
    let uptime_ms = identity.started_at.elapsed().as_millis();
    StatusView {
        node_id: identity.node.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_string(),
        uptime_ms: u64::try_from(uptime_ms).unwrap_or(u64::MAX),
        table_version: control.table().version,
        is_stopping: control.is_stopping(),
        members_alive: count_live_members(control),
        backends: backends.collect(),
        counters: collect_counters(control),
    }
}

fn count_live_members(control: &ControlState) -> u64 {
    let state = control.membership.state().borrow();
    let live_members = state.members().values().filter(|member| member.is_live());
    live_members.count() as u64
}

/// Collects the counters and gauges of the status view and of statsd, by name.
pub fn collect_counters(control: &ControlState) -> BTreeMap<String, u64> {
    let gate = *control.gate_status.borrow();
    let state = control.membership.state().borrow();
    let membership = state.counters();
    let probes = lock(&control.ingress.router).probe_counts();
    let evacuated = control.routes.evacuation().current();
    [
        ("gate.in_flight", u64::from(gate.in_flight)),
        ("gate.queued", u64::from(gate.queued)),
        ("gate.limit", u64::from(gate.limit)),
        ("ingress.in_flight", control.ingress.in_flight_requests()),
        ("config.head_version", control.tickets.head_version()),
        ("evacuation.zones", evacuated.zones.len() as u64),
        ("evacuation.revision", evacuated.revision.number),
        (
            "evacuation.refusals",
            control.ingress.metrics.evacuation_refusal_count(),
        ),
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
    .chain(control.ingress.quotas.counters())
    .map(|(name, value)| (name.to_string(), value))
    .collect()
}

fn health_view(control: &ControlState) -> HealthView {
    if control.is_stopping() {
        HealthView::Stopping
    } else {
        HealthView::Serving
    }
}
