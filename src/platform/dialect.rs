//! Header fields of calls on the platform.

use crate::backend::BackendLoad;
use crate::fields::HeaderDialect;

/// Processing time, as reported in the load field, of a backend server at normal
/// speed.
const NORMAL_WORK_TIME_PERCENT: f64 = 100.0;

/// Names of the platform's header fields, in lower case.
pub(super) const PLATFORM_DIALECT: HeaderDialect = HeaderDialect {
    // A duration, not a time of day: how long the caller will still wait.
    timeout: "deadline-ms",
    service: None,
    attempts: None,
    outcome: None,
    call_id: None,
    // Identifies one attempt of the caller; each retry has a new identifier.
    request_id: Some("attempt-id"),
    signature: Some("response-signature"),
    not_executed: Some("not-executed"),
    // The identifier that the backend server uses in its heartbeats.
    expected_backend: Some("expect-instance"),
    caller_service: Some("caller-service"),
    tenant: Some("tenant"),
    load: Some("server-load"),
    rate_limit: Some("server-limit"),
    leaving: Some("server-leaving"),
    backend_id: Some("instance-id"),
    // Set on responses of the health path, and 0 or absent once the server is warm.
    warm_up_left_ms: Some("warmup-ms"),
    parse_load,
    has_fractional_retry_after: true,
};

/// Parses `running,waiting,slots` and an optional fourth value: the processing
/// time in percent of normal.
fn parse_load(text: &str) -> Option<BackendLoad> {
    let mut values = text.split(',').map(str::trim);
    let mut next_number = || values.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (next_number()?, next_number()?, next_number()?);
    let work_time_percent = next_number().map_or(NORMAL_WORK_TIME_PERCENT, f64::from);
    Some(BackendLoad {
        running,
        waiting,
        slots,
        slowness: work_time_percent / NORMAL_WORK_TIME_PERCENT,
    })
}
