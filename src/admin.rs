//! Administration API of a node: JSON over HTTP.
//!
//! The routes translate between HTTP and [`AdminRequest`] messages to the
//! control thread, which owns all state and answers each with an
//! [`AdminReply`]. A request that fails its checks never reaches control.

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
    TicketOutcome, UpstreamView,
};
pub use routes::{AdminApiState, configure, start_admin_server, start_health_server};

#[cfg(test)]
mod tests;
