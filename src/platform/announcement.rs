//! Decoding of the heartbeats and withdrawals that backend servers send on the
//! platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::admin::{AnnouncementOrder, BackendAnnouncement, BackendWithdrawal, FieldError};
use crate::ids::{ConnectionCount, ServiceName, SlotCount};
use crate::table::UpstreamState;

/// Heartbeat in the platform's JSON format; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct RawHeartbeat {
    address: SocketAddr,
    info: RawInfo,
    status: RawStatus,
    /// Start of the backend server in Unix milliseconds; counts as 0 if absent.
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
    state: RawBackendState,
    /// Number of the heartbeat since the start, which tells late heartbeats from new
    /// ones.
    sequence: u64,
    /// Time for which the backend server will still be slow after its start, in
    /// seconds with fractions; values that aren't valid durations count as 0.
    #[serde(default)]
    warmup_left_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawBackendState {
    Ready,
    Draining,
}

#[derive(Debug, Default, Deserialize)]
struct RawWithdrawal {
    born: Option<u64>,
}

/// Decodes a heartbeat into an announcement.
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
        // A gate sends at most one call per slot, each on its own connection.
        connections: ConnectionCount::try_from(u64::from(raw.info.slots))
            .unwrap_or_else(|_| unreachable!("every slot count is a valid connection count")),
        state: match raw.status.state {
            RawBackendState::Ready => UpstreamState::Ready,
            RawBackendState::Draining => UpstreamState::Draining,
        },
        order: Some(AnnouncementOrder {
            started_at_ms: raw.born.unwrap_or(0),
            sequence: raw.status.sequence,
        }),
        warmup_left_ms: warmup_left
            .ok()
            .and_then(|left| u64::try_from(left.as_millis()).ok())
            .unwrap_or(0),
        rate_limit: None,
    })
}

/// Decodes a withdrawal. The start time is optional, and a body that is not valid
/// JSON counts as one without it.
pub(super) fn decode_withdrawal(text: &str) -> BackendWithdrawal {
    let raw: RawWithdrawal = serde_json::from_str(text).unwrap_or_default();
    BackendWithdrawal {
        announcements_are_ordered: true,
        started_at_ms: raw.born,
    }
}
