//! Requests around the end of a planned stop, with real processes: each one
//! that a stopping node has read gets a whole answer, or an honest one that says
//! what is known about its run.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "the fleet is shared with the tests of stops")]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;
#[path = "http/raw.rs"]
mod raw;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use fleet::{DEFAULT_WORK_MS, Fleet, FleetConfig, SERVICE};
use process::Process;
use raw::{RawCaller, RawResponse};

/// Flags of the deployed nodes.
const DEPLOYMENT: &str = include_str!("../deploy/system.toml");
/// Flags that set the times of a planned stop.
const STOP_TIME_FLAGS: [&str; 3] = ["--leave-seconds", "--drain-seconds", "--stop-grace-seconds"];
/// Time from SIGTERM to SIGKILL that the tests of the deployed times assume.
const GRACE_SECONDS: &str = "10";
const UPSTREAM_COUNT: usize = 2;
/// Before the deployed nodes stop accepting connections.
const SHORTLY_BEFORE_CLOSE: Duration = Duration::from_millis(2_700);
/// Stop that ends while the requests of its test still run.
const SHORT_STOP_FLAGS: &[&str] = &["--leave-seconds", "1", "--drain-seconds", "2"];
/// Longer than a short stop takes.
const LONG_WORK: Duration = Duration::from_secs(6);
/// Time limit that no request of these tests reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a request that a long stop leaves ample time for.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a request reaches its upstream.
const PLACING_TIME: Duration = Duration::from_millis(300);
/// Bytes of a body that fits in no socket buffer.
const HUGE_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of a body that fits in the buffers of both sockets.
const BUFFERED_BODY_BYTES: usize = 300 * 1024;
/// Receive buffer of a caller that reads slowly.
const SMALL_RECEIVE_BUFFER: u32 = 8 * 1024;

/// Flags of the deployed nodes that set the times of a stop, and their values.
fn deployed_stop_flags() -> &'static [&'static str] {
    let words: Vec<&'static str> = DEPLOYMENT.split_whitespace().collect();
    let mut flags = Vec::new();
    for pair in words.windows(2) {
        if STOP_TIME_FLAGS.contains(&pair[0]) {
            let value = pair[1].trim_end_matches('"');
            let is_grace = value == "{{bounds.graceS}}";
            flags.extend([pair[0], if is_grace { GRACE_SECONDS } else { value }]);
        }
    }
    assert!(!flags.is_empty());
    flags.leak()
}

async fn start_fleet(node_flags: &'static [&'static str]) -> Fleet {
    Fleet::start_with(FleetConfig {
        upstream_count: UPSTREAM_COUNT,
        node_flags,
        work_ms: DEFAULT_WORK_MS,
    })
    .await
}

/// Head of an order with a body of `framing`.
fn order_head(id: &str, work: Duration, timeout: Duration, framing: &str) -> String {
    format!(
        "POST /orders HTTP/1.1\r\nhost: {SERVICE}\r\nrequest-id: {id}\r\n\
         standin-work-us: {}\r\ncurrantlift-timeout-ms: {}\r\n{framing}\r\n\r\n",
        work.as_micros(),
        timeout.as_millis()
    )
}

fn small_order(id: &str, work: Duration, timeout: Duration) -> String {
    order_head(id, work, timeout, "content-length: 5") + "order"
}

/// Order whose response is as long as its body.
fn large_order(id: &str, work: Duration, length: usize) -> Vec<u8> {
    let framing = format!("content-length: {length}");
    let mut order = order_head(id, work, LONG_TIMEOUT, &framing).into_bytes();
    order.resize(order.len() + length, b'.');
    order
}

/// Panics unless the response is whole, or says that the outcome is unknown or
/// that the request didn't run.
fn assert_honest(response: &RawResponse) {
    let outcome = response.headers.get("currantlift-outcome");
    let outcome = outcome.map(String::as_str);
    let is_honest = match response.status {
        200 => response.body == b"order",
        503 => outcome == Some("not-run"),
        502 | 504 => outcome.is_some(),
        _ => false,
    };
    assert!(is_honest, "{response:?}");
}

/// Waits until the node serves requests; the fleet waits for its ingress only.
async fn wait_until_serving(address: SocketAddr) -> RawCaller {
    loop {
        let mut caller = RawCaller::connect(address).await;
        let order = small_order("warm", Duration::ZERO, LONG_TIMEOUT);
        caller.send(&order).await;
        if caller.read_response().await.unwrap().status == 200 {
            return caller;
        }
        sleep(PLACING_TIME).await;
    }
}

async fn stop_and_wait_for_exit(fleet: &mut Fleet) {
    let mut node = fleet.upstreams[0].node.take().unwrap();
    assert_eq!(node.wait_for_exit().await, Some(0));
}

/// Panics if a backend server ran one of the requests that were told they didn't run.
fn assert_none_ran(fleet: Fleet, not_run: &[String]) {
    let runs = fleet.shut_down();
    let runs = runs.lock().unwrap();
    for id in not_run {
        assert!(!runs.contains_key(id), "{id} ran");
    }
}

/// Guards against nodes that exit although the platform would still wait, with
/// requests that they accepted shortly before.
#[ntex::test]
async fn request_accepted_late_in_a_deployed_stop_is_answered_whole() {
    let mut fleet = start_fleet(deployed_stop_flags()).await;
    let address = fleet.upstreams[0].listen_address();
    let mut kept = wait_until_serving(address).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(SHORTLY_BEFORE_CLOSE).await;
    let (work, timeout) = (Duration::from_secs(3), Duration::from_secs(4));
    let mut new = RawCaller::connect(address).await;
    new.send(&small_order("new", work, timeout)).await;
    kept.send(&small_order("kept", work, timeout)).await;
    for caller in [&mut new, &mut kept] {
        let response = caller
            .read_response()
            .await
            .expect("the response should be complete");
        assert_eq!((response.status, &response.body[..]), (200, &b"order"[..]));
    }
    // Idle connections would otherwise count as open.
    drop((new, kept));
    stop_and_wait_for_exit(&mut fleet).await;
}

/// Guards against connections that are closed without an answer at the end of a
/// stop, while the upstream still works.
#[ntex::test]
async fn request_that_outlasts_the_stop_is_told_so() {
    let mut fleet = start_fleet(SHORT_STOP_FLAGS).await;
    let address = fleet.upstreams[0].listen_address();
    let mut kept = wait_until_serving(address).await;
    let mut new = RawCaller::connect(address).await;
    new.send(&small_order("new", LONG_WORK, LONG_TIMEOUT)).await;
    kept.send(&small_order("kept", LONG_WORK, LONG_TIMEOUT))
        .await;
    sleep(PLACING_TIME).await;
    fleet.upstreams[0].signal_node("TERM");
    let mut not_run = Vec::new();
    for (id, caller) in [("new", &mut new), ("kept", &mut kept)] {
        let response = caller
            .read_response()
            .await
            .expect("the response should be complete");
        assert_honest(&response);
        assert_ne!(response.status, 200);
        if response.status == 503 {
            not_run.push(id.to_string());
        }
    }
    drop((new, kept));
    stop_and_wait_for_exit(&mut fleet).await;
    assert_none_ran(fleet, &not_run);
}

/// Guards against uploads that are cut without an answer at the end of a stop.
#[ntex::test]
async fn upload_that_outlasts_the_stop_is_told_so() {
    let mut fleet = start_fleet(SHORT_STOP_FLAGS).await;
    let address = fleet.upstreams[0].listen_address();
    wait_until_serving(address).await;
    let mut callers = Vec::new();
    for framing in ["transfer-encoding: chunked", "content-length: 400"] {
        let mut caller = RawCaller::connect(address).await;
        let head = order_head("upload", Duration::ZERO, LONG_TIMEOUT, framing);
        caller.send(&head).await;
        // The rest of the body never comes.
        caller.send("5\r\norder\r\n").await;
        callers.push(caller);
    }
    sleep(PLACING_TIME).await;
    fleet.upstreams[0].signal_node("TERM");
    for caller in &mut callers {
        let response = caller
            .read_response()
            .await
            .expect("the response should be complete");
        assert_honest(&response);
        assert_ne!(response.status, 200);
    }
    drop(callers);
    stop_and_wait_for_exit(&mut fleet).await;
}

/// Caller that has not read anything of its response yet.
async fn connect_slow_reader(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    socket.connect(address).await.unwrap()
}

/// Whether a body of `length` dots is among the received bytes.
fn contains_body(received: &[u8], length: usize) -> bool {
    received.iter().filter(|byte| **byte == b'.').count() >= length
}

/// Guards against requests that run although the response before them closes
/// the connection.
#[ntex::test]
async fn request_sent_behind_the_last_response_is_answered_or_not_run() {
    let fleet = start_fleet(&["--leave-seconds", "4", "--drain-seconds", "12"]).await;
    let address = fleet.upstreams[0].listen_address();
    wait_until_serving(address).await;
    let mut caller = connect_slow_reader(address).await;
    let order = large_order("first", Duration::from_secs(1), HUGE_BODY_BYTES);
    caller.write_all(&order).await.unwrap();
    fleet.upstreams[0].signal_node("TERM");
    // The response is being written by then, as its reader doesn't read.
    sleep(Duration::from_millis(1_800)).await;
    let second = small_order("second", PLACING_TIME, LONG_TIMEOUT);
    caller.write_all(second.as_bytes()).await.unwrap();
    sleep(PLACING_TIME).await;
    let mut received = Vec::new();
    // A reset after the whole response is seen as an error here.
    let _ = caller.read_to_end(&mut received).await;
    assert!(contains_body(&received, HUGE_BODY_BYTES));
    let is_answered = received.ends_with(b"order");
    sleep(2 * PLACING_TIME).await;
    let runs = fleet.shut_down();
    let run_count = runs.lock().unwrap().get("second").copied();
    assert!(is_answered || run_count.is_none(), "run {run_count:?}");
}

/// Guards against responses that the exit of the process destroys, as input
/// that it has not read resets the connection.
#[ntex::test]
async fn last_response_is_not_reset_by_the_exit() {
    let mut fleet = start_fleet(&["--leave-seconds", "1", "--drain-seconds", "6"]).await;
    let address = fleet.upstreams[0].listen_address();
    wait_until_serving(address).await;
    let mut caller = connect_slow_reader(address).await;
    let order = large_order("last", Duration::from_millis(1_500), BUFFERED_BODY_BYTES);
    caller.write_all(&order).await.unwrap();
    let sent_at = Instant::now();
    fleet.upstreams[0].signal_node("TERM");
    // Input that comes after the response; the process would have exited 0.3 s
    // after it was written.
    while sent_at.elapsed() < Duration::from_millis(2_200) {
        sleep(Duration::from_millis(50)).await;
        if sent_at.elapsed() > Duration::from_millis(1_600) {
            let _ = caller.write_all(b"GET / HTTP/1.1\r\n").await;
        }
    }
    let mut received = Vec::new();
    // Anything after the response may end in a reset.
    let _ = caller.read_to_end(&mut received).await;
    assert!(
        contains_body(&received, BUFFERED_BODY_BYTES),
        "received {} bytes",
        received.len()
    );
    drop(caller);
    stop_and_wait_for_exit(&mut fleet).await;
}

/// Stop that waits longer than the requests of its test take.
const LONG_STOP_FLAGS: &[&str] = &["--leave-seconds", "1", "--drain-seconds", "6"];
/// After the node of a long stop has stopped accepting requests of consumers.
const AFTER_LEAVE: Duration = Duration::from_millis(1_500);
/// Longest time for a refused connection to be noticed.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Guards against nested calls of a running upstream that hang and are reset, as
/// its node has closed its ingress.
#[ntex::test]
async fn connection_made_while_the_own_upstream_works_is_answered() {
    let mut fleet = Fleet::start_with(FleetConfig {
        upstream_count: 1,
        node_flags: LONG_STOP_FLAGS,
        work_ms: DEFAULT_WORK_MS,
    })
    .await;
    let address = fleet.upstreams[0].listen_address();
    let mut parent = wait_until_serving(address).await;
    let work = Duration::from_secs(3);
    parent
        .send(&small_order("parent", work, LONG_TIMEOUT))
        .await;
    sleep(PLACING_TIME).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(AFTER_LEAVE).await;
    let mut nested = RawCaller::connect(address).await;
    nested
        .send(&small_order("nested", Duration::ZERO, SHORT_TIMEOUT))
        .await;
    let response = nested.read_response().await;
    assert_honest(&response.expect("the response should be complete"));
    let response = parent.read_response().await;
    let response = response.expect("the response should be complete");
    assert_eq!((response.status, &response.body[..]), (200, &b"order"[..]));
    drop((parent, nested));
    stop_and_wait_for_exit(&mut fleet).await;
}

/// Guards against requests that a stopping node runs although they may outlast it.
#[ntex::test]
async fn request_that_comes_too_late_in_a_stop_is_refused_before_it_runs() {
    let mut fleet = start_fleet(LONG_STOP_FLAGS).await;
    let address = fleet.upstreams[0].listen_address();
    let mut callers = vec![wait_until_serving(address).await];
    // More than the other upstream has places for, so that the own one works.
    for number in 0..SLOTS + QUEUED_COUNT {
        let mut caller = RawCaller::connect(address).await;
        let id = format!("order-{number}");
        let work = Duration::from_secs(3);
        caller.send(&small_order(&id, work, LONG_TIMEOUT)).await;
        callers.push(caller);
    }
    sleep(PLACING_TIME).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(AFTER_LEAVE).await;
    let sent_at = Instant::now();
    let late = &mut callers[0];
    late.send(&small_order("late", LONG_WORK, LONG_TIMEOUT))
        .await;
    let response = late.read_response().await;
    let response = response.expect("the response should be complete");
    assert!(sent_at.elapsed() < SHORT_TIMEOUT);
    assert_eq!(response.status, 503, "{response:?}");
    assert_honest(&response);
    for caller in &mut callers[1..] {
        let response = caller.read_response().await;
        assert_honest(&response.expect("the response should be complete"));
    }
    drop(callers);
    stop_and_wait_for_exit(&mut fleet).await;
    assert_none_ran(fleet, &["late".to_string()]);
}

/// Guards against connections that the kernel takes for a closed ingress, and
/// that hang until the process exits.
#[ntex::test]
async fn connection_after_the_ingress_has_closed_is_refused_at_once() {
    let mut fleet = start_fleet(LONG_STOP_FLAGS).await;
    let address = fleet.upstreams[0].listen_address();
    let mut upload = wait_until_serving(address).await;
    let head = order_head("upload", Duration::ZERO, LONG_TIMEOUT, "content-length: 5");
    upload.send(&head).await;
    fleet.upstreams[0].signal_node("TERM");
    sleep(AFTER_LEAVE).await;
    let connecting = tokio::time::timeout(NOTICE_TIME, TcpStream::connect(address));
    assert!(connecting.await.expect("no wait for the refusal").is_err());
    upload.send("order").await;
    let response = upload.read_response().await;
    assert_honest(&response.expect("the response should be complete"));
    drop(upload);
    stop_and_wait_for_exit(&mut fleet).await;
}

/// Places of a backend server of the fleet.
const SLOTS: usize = 6;
/// Requests that wait at the gate while the others run.
const QUEUED_COUNT: usize = 3;

/// Guards against requests of unknown outcome that never left the queue of a
/// gate, as its node stopped first.
#[ntex::test]
async fn request_queued_at_the_gate_until_its_node_stops_is_told_that_it_did_not_run() {
    let mut fleet = Fleet::start_with(FleetConfig {
        upstream_count: 1,
        node_flags: SHORT_STOP_FLAGS,
        work_ms: DEFAULT_WORK_MS,
    })
    .await;
    let address = fleet.ingress_url.strip_prefix("http://").unwrap();
    let address: SocketAddr = address.parse().unwrap();
    wait_until_serving(address).await;
    let mut callers = Vec::new();
    for number in 0..SLOTS + QUEUED_COUNT {
        let mut caller = RawCaller::connect(address).await;
        let id = format!("order-{number}");
        caller
            .send(&small_order(&id, LONG_WORK, LONG_TIMEOUT))
            .await;
        callers.push(caller);
    }
    sleep(PLACING_TIME).await;
    fleet.upstreams[0].signal_node("TERM");
    let mut not_run = Vec::new();
    for (number, caller) in callers.iter_mut().enumerate() {
        let response = caller.read_response().await;
        let response = response.expect("the response should be complete");
        assert_honest(&response);
        if response.status == 503 {
            not_run.push(format!("order-{number}"));
        }
    }
    assert_eq!(not_run.len(), QUEUED_COUNT);
    stop_and_wait_for_exit(&mut fleet).await;
    assert_none_ran(fleet, &not_run);
}

/// Bytes of a response that its ingress has room for, but its socket has not.
const WINDOW_BODY_BYTES: usize = 250 * 1024;
/// Longer than the node of a gate took to exit, however slow an ingress is.
const INGRESS_PAUSE: Duration = Duration::from_secs(2);

/// Fleet whose second node serves as ingress of the first one's backend server, over a
/// link without a relay.
async fn start_fleet_with_direct_link(node_flags: &'static [&'static str]) -> (Fleet, Process) {
    let mut fleet = Fleet::start_with(FleetConfig {
        upstream_count: 1,
        node_flags,
        work_ms: DEFAULT_WORK_MS,
    })
    .await;
    fleet.upstreams[0].backend = None;
    while fleet.ready_upstream_count().await > 0 {
        sleep(PLACING_TIME).await;
    }
    let backend = fleet.start_ingress_backend();
    fleet.wait_until_ready().await;
    (fleet, backend)
}

/// Guards against responses whose end is lost at the exit of the gate's node, as their
/// ingress was paused when it was sent.
#[ntex::test]
async fn response_to_a_paused_ingress_outlasts_the_exit_of_the_gate() {
    let (mut fleet, _backend) = start_fleet_with_direct_link(LONG_STOP_FLAGS).await;
    let mut caller = wait_until_serving(fleet.upstreams[0].listen_address()).await;
    let order = large_order("large", Duration::from_secs(1), WINDOW_BODY_BYTES);
    caller.send(&String::from_utf8(order).unwrap()).await;
    sleep(PLACING_TIME).await;
    fleet.signal_ingress("TERM");
    fleet.upstreams[0].signal_node("STOP");
    sleep(INGRESS_PAUSE).await;
    fleet.upstreams[0].signal_node("CONT");
    let response = caller.read_response().await;
    let response = response.map_err(|received| received.len());
    let response = response.expect("the response should be complete");
    assert_eq!(response.status, 200);
    assert!(contains_body(&response.body, WINDOW_BODY_BYTES));
    assert_eq!(fleet.wait_for_ingress_exit().await, Some(0));
}

/// Guards against requests at the gate of a stopping node that are told to be not run, or
/// whose callers wait for longer than that node lives.
#[ntex::test]
async fn request_that_outlasts_the_stop_of_its_gate_is_told_that_it_may_have_run() {
    let (mut fleet, _backend) = start_fleet_with_direct_link(SHORT_STOP_FLAGS).await;
    let mut caller = wait_until_serving(fleet.upstreams[0].listen_address()).await;
    caller
        .send(&small_order("long", LONG_WORK, LONG_TIMEOUT))
        .await;
    sleep(PLACING_TIME).await;
    fleet.signal_ingress("TERM");
    assert_eq!(fleet.wait_for_ingress_exit().await, Some(0));
    let exited_at = Instant::now();
    let response = caller.read_response().await;
    let response = response.expect("the response should be complete");
    assert!(exited_at.elapsed() < NOTICE_TIME);
    assert_eq!(response.status, 502, "{response:?}");
    assert_honest(&response);
    assert_eq!(response.headers["currantlift-outcome"], "unknown");
}

/// Flags of the deployed nodes where the time to the kill is 6 s.
const DEPLOYED_FLAGS: &[&str] = &[
    "--asks",
    "3",
    "--slot-limit",
    "fixed",
    "--leave-seconds",
    "3",
    "--stop-grace-seconds",
    "6",
];
/// Pauses between requests to the only upstream, until shortly before its gate closes.
const STEP: Duration = Duration::from_millis(100);
const STEP_COUNT: usize = 18;

/// Guards against a stopping node that turns requests away because of their long time limits,
/// although its upstream is the only one and works for a short time.
#[ntex::test]
async fn only_upstream_serves_long_time_limits_while_its_node_stops() {
    let fleet = Fleet::start_with(FleetConfig {
        upstream_count: 1,
        node_flags: DEPLOYED_FLAGS,
        work_ms: DEFAULT_WORK_MS,
    })
    .await;
    let address = fleet.ingress_url.strip_prefix("http://").unwrap();
    let address: SocketAddr = address.parse().unwrap();
    wait_until_serving(address).await;
    fleet.upstreams[0].signal_node("TERM");
    let mut callers = Vec::new();
    for number in 0..STEP_COUNT {
        let mut caller = RawCaller::connect(address).await;
        let id = format!("order-{number}");
        caller.send(&small_order(&id, STEP, LONG_TIMEOUT)).await;
        callers.push(caller);
        sleep(STEP).await;
    }
    for caller in &mut callers {
        let response = caller.read_response().await;
        assert_eq!(response.map(|it| it.status), Ok(200));
    }
}
