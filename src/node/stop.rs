//! Graceful shutdown of a node, and the log lines that tell why it ended when it
//! did.

use std::time::{Duration, Instant};

use crate::control::admin::collect_counters;
use crate::control::state::ControlState;
use crate::options::NodeOptions;

/// Fraction of the leave time for which the gate admits calls. The last of them
/// have the rest of it, and the time until the drain limit, to end.
const GATE_OPEN_FRACTION: f64 = 2.0 / 3.0;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the limit of a stop at which calls end, so that their answers can
/// be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time to send the last replies of the administration API, which are short.
pub(super) const ADMIN_FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Longest wait for other nodes to read the last responses; a busy VM may stall for a second.
const MAX_LINK_CLOSE_TIME: Duration = Duration::from_secs(2);
/// Requests that are logged one by one at the limit of a stop.
const MAX_LISTED_REQUESTS: usize = 64;

/// Graceful shutdown. Callers are directed to other nodes; the gate stays open
/// while they move, since its backend server still runs and other nodes may be
/// stopping too. Then the gate accepts nothing new, and neither does the ingress
/// once the backend server, whose nested calls it takes, is done. Calls in progress
/// end, shortly before the drain limit at the latest.
pub(super) async fn stop_node(control: &ControlState, options: &NodeOptions) {
    let signalled_at = Instant::now();
    let call_limit = options.drain_limit.saturating_sub(ANSWER_MARGIN);
    let leave_time = options.leave_time.min(call_limit);
    control.begin_stop(leave_time, call_limit);
    let gate_open_time = leave_time.mul_f64(GATE_OPEN_FRACTION);
    tokio::time::sleep(gate_open_time).await;
    control.close_gate();
    log_step(control, signalled_at, "gate closed for the stop");
    tokio::time::sleep(leave_time - gate_open_time).await;
    // The upstream may call others through this node while it works.
    let calls_end = signalled_at + call_limit;
    while control.is_gate_busy() && Instant::now() < calls_end {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
    control.close_ingress();
    log_step(control, signalled_at, "ingress closed for the stop");
    let all_calls_ended = async {
        // The workers first accept the connections that wait at the closing.
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        while !control.is_idle() {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    };
    let time_left = options.drain_limit.saturating_sub(signalled_at.elapsed());
    let is_idle = tokio::time::timeout(time_left, all_calls_ended)
        .await
        .is_ok();
    if !is_idle {
        log::error!(target: "node", counters:? = collect_counters(control); "stop limit passed");
        log_requests_left(control);
    }
    let reason = if is_idle { "idle" } else { "limit" };
    let left = WorkLeft::of(control);
    let metrics = &control.ingress.metrics;
    metrics.record_stop_end(reason, &left.by_kind());
    log::info!(
        target: "node",
        reason, since_signal_ms = millis(signalled_at.elapsed()),
        requests = left.requests, connections = left.connections,
        running = left.running, queued = left.queued;
        "stop ended"
    );
    let time_left = options.drain_limit.saturating_sub(signalled_at.elapsed());
    close_connections(control, time_left.min(MAX_LINK_CLOSE_TIME)).await;
}

/// Gives other nodes and callers of the administration API time to read what was sent.
async fn close_connections(control: &ControlState, time_left: Duration) {
    let close_time = time_left.max(ADMIN_FLUSH_DELAY);
    let closing = tokio::time::timeout(close_time, control.close_gate_links());
    let (closed, ()) = tokio::join!(closing, tokio::time::sleep(ADMIN_FLUSH_DELAY));
    if closed.is_err() {
        log::warn!(
            target: "node", waited_ms = millis(close_time);
            "links of other nodes are still open at the exit"
        );
    }
}

/// Work that a stopping node has not finished.
struct WorkLeft {
    requests: u64,
    connections: u64,
    running: u64,
    queued: u64,
}

impl WorkLeft {
    fn of(control: &ControlState) -> Self {
        let gate = *control.gate_status.borrow();
        Self {
            requests: control.ingress.in_flight_requests(),
            connections: control.ingress.open_connections(),
            running: u64::from(gate.in_flight),
            queued: u64::from(gate.queued),
        }
    }

    fn by_kind(&self) -> [(&'static str, u64); 4] {
        [
            ("request", self.requests),
            ("connection", self.connections),
            ("running", self.running),
            ("queued", self.queued),
        ]
    }
}

fn log_step(control: &ControlState, signalled_at: Instant, step: &str) {
    let left = WorkLeft::of(control);
    log::info!(
        target: "node",
        since_signal_ms = millis(signalled_at.elapsed()),
        requests = left.requests, connections = left.connections,
        running = left.running, queued = left.queued;
        "{step}"
    );
}

/// Logs the oldest requests that the end of the process leaves without an answer.
fn log_requests_left(control: &ControlState) {
    for request in control.ingress.oldest_requests(MAX_LISTED_REQUESTS) {
        let call = request.call.map(|call| call.to_string());
        log::warn!(
            target: "node",
            call = call.unwrap_or_default(), request_id = request.request_id,
            state:% = request.state, age_ms = millis(request.accepted_at.elapsed()),
            time_limit_ms = request.time_limit.map_or(0, millis);
            "request left at the stop limit"
        );
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
