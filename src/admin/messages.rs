//! Messages between the administration API and the control thread.
//!
//! The types that leave the process also fix the JSON of the API, so that
//! `currantlift-ctl` reads with the same types that a node writes with.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::ids::{
    BackendId, ConnectionCount, NodeId, NodeIncarnation, RegionName, ServiceName, SlotCount,
    TicketNumber, ZoneName,
};
use crate::table::{ServiceRule, UpstreamState};
use crate::tickets::TicketView;

/// One request to control with the way back for its reply.
#[derive(Debug)]
pub struct AdminCall {
    /// What is asked.
    pub request: AdminRequest,
    /// Where the reply goes; dropping it answers the caller with 504.
    pub reply: oneshot::Sender<AdminReply>,
}

/// What the administration API asks of control.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// Announcement or heartbeat of a backend server beside this node.
    AnnounceBackend {
        /// Backend server.
        backend: BackendId,
        /// What it announces.
        announcement: BackendAnnouncement,
    },
    /// Withdrawal of a backend server.
    WithdrawBackend {
        /// Backend server.
        backend: BackendId,
        /// What it says.
        withdrawal: BackendWithdrawal,
    },
    /// Submission of a change ticket.
    SubmitTicket {
        /// Number of the ticket.
        number: TicketNumber,
        /// JSON text of the ticket as it was sent.
        body: String,
    },
    /// Check of a change ticket without submitting it.
    CheckTicket {
        /// Number of the ticket.
        number: TicketNumber,
        /// JSON text of the ticket as it was sent.
        body: String,
    },
    /// Content of a ticket.
    ShowTicket {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Services in force with their upstreams.
    ListServices,
    /// Known nodes.
    ListMembers,
    /// State of this node.
    ShowStatus,
    /// Whether this node takes work.
    CheckHealth,
}

/// Control's reply to an [`AdminRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AdminReply {
    /// Done; nothing to say. Status 200.
    Done,
    /// Answer to a submission or a check. Status 200; 409 if refused, 503 if
    /// refused for want of the store, 504 if unknown.
    Ticket(TicketOutcome),
    /// What is known of a ticket. Status 200.
    TicketContent(TicketView),
    /// Services in force. Status 200.
    Services(BTreeMap<ServiceName, ServiceView>),
    /// Known nodes. Status 200.
    Members(BTreeMap<NodeId, MemberView>),
    /// State of this node. Status 200.
    Status(Box<StatusView>),
    /// Whether this node takes work. Status 200 or 503.
    Health(HealthView),
    /// Input that control rejects; nothing was changed. Status 400.
    InvalidInput(FieldError),
    /// No backend server or ticket of that name. Status 404.
    NotFound,
    /// Can't be answered now, and nothing was changed. Status 503.
    Unavailable(String),
}

/// Field of a request that is not allowed, and why.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// Field, as a path such as `services.slotbook.timeout_ms`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

/// What a backend server announces about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendAnnouncement {
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Calls that it can work on at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: ConnectionCount,
    /// Its state; `gone` is announced by withdrawal only.
    pub state: UpstreamState,
    /// Place among the announcements of this address, where it is stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<AnnouncementOrder>,
    /// How much longer it stays slow after its start, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warmup_left_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Place of an announcement among others: a later start goes first, then the
/// count within it. It tells a late announcement from a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementOrder {
    /// Start of the backend server, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Count of announcements since that start.
    pub sequence: u64,
}

/// What a withdrawal says beside the identifier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendWithdrawal {
    /// Whether backend servers state the order of what they say, so that a
    /// withdrawal counts also of one that is not known yet.
    pub announcements_are_ordered: bool,
    /// Start of the backend server that leaves, if it is stated.
    pub started_at_ms: Option<u64>,
}

/// Why a ticket was refused for good.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A higher number is in force for a service that the ticket touches.
    #[display("out of date")]
    OutOfDate,
    /// The number was accepted with other content.
    #[display("number used with other content")]
    Conflict,
    /// The store can't be reached, and nothing was written.
    #[display("store away, nothing was written")]
    StoreAway,
}

/// Answer to a submitted or checked ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TicketOutcome {
    /// Accepted, and in force everywhere within seconds; for a check: would be.
    Accepted {
        /// Number of the ticket.
        number: TicketNumber,
        /// Whether the same ticket had been accepted before.
        is_repeated: bool,
    },
    /// Refused; nothing of it is or will be in force.
    Refused {
        /// Number of the ticket.
        number: TicketNumber,
        /// Why.
        reason: RefusalReason,
        /// Services that the refusal is about.
        services: BTreeSet<ServiceName>,
    },
    /// Not known: the ticket may or may not have been accepted.
    Unknown {
        /// Number of the ticket.
        number: TicketNumber,
        /// What to do.
        advice: String,
    },
}

/// One service in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Ticket that the rule came with.
    pub ticket: TicketNumber,
    /// Rule in force.
    pub rule: ServiceRule,
    /// Upstreams by node.
    pub upstreams: BTreeMap<NodeId, UpstreamView>,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Slots of the backend server.
    pub slots: SlotCount,
    /// State that the upstream announced.
    pub state: UpstreamState,
    /// Whether other nodes suspect it to have failed.
    pub is_suspect: bool,
}

/// One known node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Incarnation of the node.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// `alive`, `suspect`, `left` or `failed`.
    pub state: String,
    /// Service of its backend server, if one is announced.
    pub service: Option<ServiceName>,
}

/// One backend server beside this node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendView {
    /// What it announced last.
    #[serde(flatten)]
    pub announcement: BackendAnnouncement,
    /// Milliseconds since its last announcement.
    pub age_ms: u64,
}

/// State of this node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the node.
    pub node_id: NodeId,
    /// Incarnation of this start of the node.
    pub incarnation: NodeIncarnation,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Version of the program.
    pub version: String,
    /// Milliseconds since the start.
    pub uptime_ms: u64,
    /// Version of the routing table that traffic uses.
    pub table_version: u64,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Nodes known to be alive, this one included.
    pub members_alive: u64,
    /// Backend servers beside this node.
    pub backends: BTreeMap<BackendId, BackendView>,
    /// Counters by name, such as calls in flight.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
}

/// Whether this node takes work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "health", rename_all = "kebab-case")]
pub enum HealthView {
    /// Takes work. Status 200.
    Serving,
    /// A planned stop has begun. Status 503.
    Stopping,
}
