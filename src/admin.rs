//! Administration API of a node: JSON over HTTP.
//!
//! The routes authenticate and parse HTTP requests and send them as
//! [`AdminRequest`] messages to the control thread, which owns all state and
//! replies with an [`AdminReply`]. Invalid requests are rejected without a
//! message to control. Backend servers announce themselves through this API;
//! operators submit change tickets and read the node's state through
//! [`AdminClient`].

mod announcement;
mod client;
mod messages;
mod replies;
mod routes;

pub use announcement::{AnnouncementDecoder, DEFAULT_ANNOUNCEMENT_DECODER};
pub use client::{
    AdminClient, AdminClientError, AdminResponse, http_client, http_client_with_max_connections,
};
pub use messages::{
    AdminCall, AdminReply, AdminRequest, AnnouncementOrder, BackendAnnouncement, BackendView,
    BackendWithdrawal, FieldError, HealthView, MemberView, RefusalReason, ServiceView, StatusView,
    SuspectView, TicketOutcome, UpstreamView, is_plausible_start,
};
pub use routes::{AdminApiState, configure, start_admin_server, start_health_server};

#[cfg(test)]
mod tests;
