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

pub use announcement::{AnnouncementDecoder, OWN_ANNOUNCEMENTS};
pub use client::{AdminAnswer, AdminClient, AdminClientError, http_client, http_client_with_limit};
pub use messages::{
    AdminCall, AdminReply, AdminRequest, AnnouncementOrder, BackendAnnouncement, BackendView,
    FieldError, HealthView, MemberView, RefusalReason, ServiceView, StatusView, TicketAnswer,
    UpstreamView, Withdrawal,
};
pub use routes::{AdminAccess, configure, start_admin_server, start_health_server};

#[cfg(test)]
mod tests;
