//! Messages between the administration API and the control thread.
//!
//! The serializable types also define the JSON format of the API:
//! `currantlift-ctl` parses responses with the types that a node writes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::ids::{
    BackendId, BackendKey, ConnectionCount, NodeId, NodeIncarnation, RegionName, ServiceName,
    SlotCount, TicketNumber, ZoneName,
};
use crate::quarantine::RequestFingerprint;
use crate::rate_limit::StartRate;
use crate::table::{ServiceRule, UpstreamState};
use crate::tickets::TicketView;

/// Request to the control thread with the channel for its reply.
#[derive(Debug)]
pub struct AdminCall {
    /// Request to carry out.
    pub request: AdminRequest,
    /// Channel for the reply; the client gets status 504 if it is dropped unused.
    pub reply: oneshot::Sender<AdminReply>,
}

/// Request of the administration API to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// Announcement or heartbeat of a backend server beside this node.
    AnnounceBackend {
        /// Identifier in the request path.
        backend: BackendId,
        /// Parsed body.
        announcement: BackendAnnouncement,
    },
    /// Withdrawal of a backend server.
    WithdrawBackend {
        /// Identifier in the request path.
        backend: BackendId,
        /// Parsed body.
        withdrawal: BackendWithdrawal,
    },
    /// Submits a change ticket.
    SubmitTicket {
        /// Number of the ticket.
        number: TicketNumber,
        /// JSON text of the ticket as it was sent.
        body: String,
    },
    /// Validates a change ticket without submitting it.
    CheckTicket {
        /// Number of the ticket.
        number: TicketNumber,
        /// JSON text of the ticket as it was sent.
        body: String,
    },
    /// Returns the content of a ticket.
    ShowTicket {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Lists the active services with their upstreams.
    ListServices,
    /// Lists the nodes that this node knows.
    ListMembers,
    /// Lists the requests that are suspected of crashing backend servers, or held.
    ListQuarantine,
    /// Clears a suspected or held request at all nodes.
    ClearQuarantine {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// Returns the state of this node.
    ShowStatus,
    /// Returns whether this node accepts work.
    CheckHealth,
}

/// Reply of the control thread to an [`AdminRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AdminReply {
    /// The request was carried out and has no result. Status 200.
    Done,
    /// Outcome of a submission or a check. Status 200 if accepted, 409 if
    /// refused, 503 if refused because the store is unreachable, 504 if unknown.
    Ticket(TicketOutcome),
    /// Content and state of a ticket. Status 200.
    TicketContent(TicketView),
    /// Active services. Status 200.
    Services(BTreeMap<ServiceName, ServiceView>),
    /// Nodes that this node knows. Status 200.
    Members(BTreeMap<NodeId, MemberView>),
    /// Suspected and held requests by fingerprint. Status 200.
    Quarantine(BTreeMap<String, SuspectView>),
    /// State of this node. Status 200.
    Status(Box<StatusView>),
    /// Whether this node accepts work. Status 200 or 503.
    Health(HealthView),
    /// Control rejected the input; nothing was changed. Status 400.
    InvalidInput(FieldError),
    /// No such backend server or ticket. Status 404.
    NotFound,
    /// Temporarily unavailable; nothing was changed. Status 503.
    Unavailable(String),
}

/// Invalid field of a request, with the reason.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `services.slotbook.timeout_ms`.
    pub field: String,
    /// Description of the error and of the allowed values.
    pub reason: String,
}

/// Properties that a backend server announces about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendAnnouncement {
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Maximum number of calls that run concurrently.
    pub slots: SlotCount,
    /// Maximum number of concurrent connections.
    pub connections: ConnectionCount,
    /// Current state; `gone` is announced by a withdrawal only.
    pub state: UpstreamState,
    /// Position among the announcements of this address; `None` if the sender
    /// states no order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<AnnouncementOrder>,
    /// Remaining warm-up time after a start, in milliseconds; 0 once warmed up.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warmup_left_ms: u64,
    /// Requests per second that it takes from all nodes together; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<StartRate>,
}

impl BackendAnnouncement {
    /// Key of the announced start of a backend server.
    pub fn backend_key(&self, id: &BackendId) -> BackendKey {
        match self.order {
            Some(order) => BackendKey::new(id, order.started_at_ms),
            None => BackendKey::at_address(id, self.address),
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Order of announcements: by start time of the backend server, then by
/// sequence number. It distinguishes a delayed announcement from a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementOrder {
    /// Start time of the backend server, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Number of announcements since that start.
    pub sequence: u64,
}

/// Greatest time by which the start of a backend server may lie ahead of the node's clock,
/// which may have been set back since.
const MAX_START_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;
/// Time that a backend server needs for an announcement, at the least.
const MIN_ANNOUNCEMENT_INTERVAL_MS: u64 = 10;

/// Whether a backend server can have started at this time, given the present time, both in
/// Unix milliseconds.
pub fn is_plausible_start(started_at_ms: u64, now_ms: u64) -> bool {
    started_at_ms <= now_ms.saturating_add(MAX_START_LEAD_MS)
}

impl AnnouncementOrder {
    /// Whether a backend server can have sent this announcement by the given Unix time in
    /// milliseconds. One that can't be true would outdate all true ones.
    pub fn is_plausible(self, now_ms: u64) -> bool {
        let latest_ms = now_ms.saturating_add(MAX_START_LEAD_MS);
        let age_ms = latest_ms.saturating_sub(self.started_at_ms);
        is_plausible_start(self.started_at_ms, now_ms)
            && self.sequence <= age_ms / MIN_ANNOUNCEMENT_INTERVAL_MS
    }
}

/// Body of a withdrawal; the identifier is in the request path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendWithdrawal {
    /// True if backend servers state an [`AnnouncementOrder`]. A withdrawal is
    /// then recorded even for a backend server that isn't known yet.
    pub announcements_are_ordered: bool,
    /// Start time of the withdrawn backend server in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

/// Reason for the definite refusal of a ticket.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A ticket with a higher number is in force for one of the services.
    #[display("out of date")]
    OutOfDate,
    /// A ticket with this number but different content was accepted before.
    #[display("number used with other content")]
    Conflict,
    /// The store is unreachable; nothing was written.
    #[display("store away, nothing was written")]
    StoreAway,
}

/// Outcome of a submitted or checked ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TicketOutcome {
    /// Accepted and in force on all nodes within seconds; for a check, it would be.
    Accepted {
        /// Number of the ticket.
        number: TicketNumber,
        /// True if the same ticket was accepted before.
        is_repeated: bool,
    },
    /// Refused; no part of the ticket is or will be in force.
    Refused {
        /// Number of the ticket.
        number: TicketNumber,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Services that caused the refusal; may be empty.
        services: BTreeSet<ServiceName>,
    },
    /// The ticket may or may not have been accepted.
    Unknown {
        /// Number of the ticket.
        number: TicketNumber,
        /// Recommended action for the operator.
        advice: String,
    },
}

/// Active service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Ticket that set the rule.
    pub ticket: TicketNumber,
    /// Routing rule in force.
    pub rule: ServiceRule,
    /// Upstreams by the node beside them.
    pub upstreams: BTreeMap<NodeId, UpstreamView>,
}

/// Upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Slots of the backend server.
    pub slots: SlotCount,
    /// State last announced by the upstream.
    pub state: UpstreamState,
    /// True if other nodes suspect the upstream of having failed.
    pub is_suspect: bool,
}

/// Node known through membership.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Identifies one start of the node; a later start has a higher number.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// `alive`, `suspect`, `left` or `failed`.
    pub state: String,
    /// Service of the backend server beside the node; `None` if none is announced.
    pub service: Option<ServiceName>,
}

/// Request that may have crashed backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectView {
    /// `suspect` or `held`.
    pub standing: String,
    /// Service at which it was last seen.
    pub service: ServiceName,
    /// Crashes that it may have caused.
    pub crashes: usize,
    /// Crashes among them while it ran in a trial.
    pub trial_crashes: usize,
    /// Milliseconds since the newest evidence.
    pub evidence_age_ms: u64,
    /// Milliseconds until it may run, for a held request in a half-open trial.
    pub retry_after_ms: u64,
}

/// Backend server beside this node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendView {
    /// Latest announcement.
    #[serde(flatten)]
    pub announcement: BackendAnnouncement,
    /// Milliseconds since the latest announcement.
    pub age_ms: u64,
    /// Requests per second that the gate sends it at most; `None` without a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit_in_force: Option<StartRate>,
    /// Whether it said in a response that it leaves.
    #[serde(default)]
    pub is_leaving: bool,
}

/// State of a node, as returned by `/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Identifier of the node, unique in the fleet.
    pub node_id: NodeId,
    /// Incarnation number of the running process.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Version of the node binary.
    pub version: String,
    /// Milliseconds since the node started.
    pub uptime_ms: u64,
    /// Version of the routing table in use.
    pub table_version: u64,
    /// True once a planned stop has begun.
    pub is_stopping: bool,
    /// Number of nodes known to be alive, including this one.
    pub members_alive: u64,
    /// Backend servers beside the node, by identifier.
    pub backends: BTreeMap<BackendId, BackendView>,
    /// Counters and gauges by name, such as calls in flight.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
}

/// Health of a node, as returned by `/v1/health`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "health", rename_all = "kebab-case")]
pub enum HealthView {
    /// The node accepts work. Status 200.
    Serving,
    /// A planned stop has begun. Status 503.
    Stopping,
}
