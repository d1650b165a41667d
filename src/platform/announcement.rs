//! Heartbeats of backend servers on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::admin::{AnnouncementOrder, BackendAnnouncement, BackendWithdrawal, FieldError};
use crate::ids::{ConnectionCount, ServiceName, SlotCount};
use crate::table::UpstreamState;

/// Heartbeat as it is sent.
#[derive(Debug, Deserialize)]
struct RawHeartbeat {
    address: SocketAddr,
    info: RawInfo,
    status: RawStatus,
    /// Unix time of the backend server's start, in milliseconds.
    born: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct RawInfo {
    service: ServiceName,
    slots: SlotCount,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawStatus {
    state: RawState,
    /// Counts the heartbeats of one start, so that a late one is known.
    sequence: u64,
    /// How much longer the backend server stays slow after its start, in
    /// seconds with fractions.
    #[serde(default)]
    warmup_left_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawState {
    Ready,
    Draining,
}

#[derive(Debug, Default, Deserialize)]
struct RawWithdrawal {
    born: Option<u64>,
}

/// Reads a heartbeat.
pub(super) fn decode_announcement(text: &str) -> Result<BackendAnnouncement, FieldError> {
    let raw: RawHeartbeat = serde_json::from_str(text).map_err(|error| FieldError {
        field: "body".to_string(),
        reason: error.to_string(),
    })?;
    let warmup_left = Duration::try_from_secs_f64(raw.status.warmup_left_s);
    Ok(BackendAnnouncement {
        service: raw.info.service,
        address: raw.address,
        slots: raw.info.slots,
        // A gate hands over no more than the slots, on a connection each.
        connections: ConnectionCount::try_from(u64::from(raw.info.slots))
            .unwrap_or_else(|_| unreachable!("a slot count is a connection count")),
        state: match raw.status.state {
            RawState::Ready => UpstreamState::Ready,
            RawState::Draining => UpstreamState::Draining,
        },
        order: Some(AnnouncementOrder {
            started_at_ms: raw.born.unwrap_or(0),
            sequence: raw.status.sequence,
        }),
        warmup_left_ms: warmup_left
            .ok()
            .and_then(|left| u64::try_from(left.as_millis()).ok())
            .unwrap_or(0),
    })
}

/// Reads what a withdrawal says of the backend server's start, if anything.
pub(super) fn decode_withdrawal(text: &str) -> BackendWithdrawal {
    let raw: RawWithdrawal = serde_json::from_str(text).unwrap_or_default();
    BackendWithdrawal {
        announcements_are_ordered: true,
        started_at_ms: raw.born,
    }
}
