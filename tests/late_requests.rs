//! Requests that reach a stopping node late, with real nodes and scripted upstreams whose work
//! takes about as long as the stop.
//!
//! A request sent after the callers' time to leave must be answered whole, or refused at once
//! and not run: it must not be cut at the end of the stop while its upstream works.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "helpers are shared with other tests")]

#[path = "byte_faults/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;
#[path = "http/raw.rs"]
mod raw;
#[path = "byte_faults/script.rs"]
mod script;
#[path = "byte_faults/upstream.rs"]
mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use ntex::time::sleep;

use fleet::ScriptedFleet;
use raw::RawCaller;
use script::{AnswerFraming, AnswerKind, CallerEnd, RequestKind, RequestPlan, UpstreamScript};
use upstream::{RunLog, ScriptedUpstream};

const NODE_COUNT: usize = 2;
/// Time from SIGTERM to SIGKILL.
const GRACE_FLAGS: &[&str] = &["--stop-grace-seconds", "6"];
/// Time limit of all requests; their route aims at 0.5 s.
const TIME_LIMIT: Duration = Duration::from_millis(2_900);
/// Work that keeps the stopping node's own upstream busy for long.
const LONG_WORK: Duration = Duration::from_millis(2_700);
/// Requests that keep both upstreams busy.
const BUSY_REQUESTS: usize = 4;
/// Shortly before a stopping node's gate refuses calls.
const BEFORE_GATE_CLOSE: Duration = Duration::from_millis(1_700);
/// Shortly after a stopping node's gate has begun to refuse calls.
const AFTER_GATE_CLOSE: Duration = Duration::from_millis(2_200);
/// Time for which a busy VM doesn't run a process.
const STALL: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit of a request that the rest of the stop leaves time for.
const FITTING_LIMIT: Duration = Duration::from_millis(2_500);
/// Delay with which a busy VM sees a signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(400);
/// Requests that are served before a stop.
const SERVED_REQUESTS: usize = 40;
/// Pause between requests to the stopping node, in milliseconds.
const STEP_MS: usize = 80;
/// Time within which a request that can't be served is refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);

fn new_plan(id: &str, kind: RequestKind, work: Duration) -> Rc<RequestPlan> {
    plan_with_limit(id, kind, work, TIME_LIMIT)
}

fn plan_with_limit(
    id: &str,
    kind: RequestKind,
    work: Duration,
    time_limit: Duration,
) -> Rc<RequestPlan> {
    Rc::new(RequestPlan {
        id: id.to_string(),
        kind,
        is_chunked: false,
        body_bytes: 0,
        chunk_bytes: Vec::new(),
        end: CallerEnd::Whole,
        time_limit,
        piece: (usize::MAX, Duration::ZERO),
        scripts: vec![
            UpstreamScript {
                begins_at_head: true,
                read_pause: work,
                ..UpstreamScript::SOUND
            };
            2
        ],
    })
}

/// Sends one request on a connection of its own; returns its status, 0 if it got no answer, and
/// the time until then.
async fn send(address: SocketAddr, plan: &RequestPlan) -> (u16, Duration) {
    let sent_at = Instant::now();
    let Ok(mut caller) = RawCaller::try_connect(address).await else {
        // Refused by the kernel: the node has read nothing.
        return (503, sent_at.elapsed());
    };
    let head = format!(
        "{} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        plan.kind.method_and_path(),
        fleet::HOST,
        plan.id,
        plan.time_limit.as_millis()
    );
    caller.send(&head).await;
    let status = caller.read_response().await.map_or(0, |it| it.status);
    (status, sent_at.elapsed())
}

/// Sends a request to the first node at each of the given times after its SIGTERM; returns the
/// number of those that were neither answered whole nor refused at once without a run.
async fn count_cut(
    fleet: &ScriptedFleet,
    log: &RunLog,
    signalled_at: Instant,
    send_times: impl Iterator<Item = Duration>,
    work: Duration,
) -> usize {
    let address = fleet.listen_addresses[0];
    let requests = send_times.enumerate().map(|(number, send_time)| {
        let kind = [RequestKind::Query, RequestKind::Order][number % 2];
        let plan = new_plan(&format!("late-{number:03}"), kind, work);
        log.add_request(&plan);
        async move {
            sleep(send_time.saturating_sub(signalled_at.elapsed())).await;
            let (status, taken) = send(address, &plan).await;
            let has_run = !log.requests.borrow()[&plan.id].arrivals.is_empty();
            let is_refused = status == 503 && !has_run && taken < REFUSAL_LIMIT;
            let is_cut = status != 200 && !is_refused;
            if is_cut {
                println!(
                    "sent {send_time:?} after SIGTERM: {status} after {taken:?}, run {has_run}"
                );
            }
            usize::from(is_cut)
        }
    });
    join_all(requests).await.into_iter().sum()
}

/// Keeps both upstreams busy from `start` after SIGTERM on, so that the ingress of the stopping
/// node stays open for calls of its own upstream.
async fn keep_upstreams_busy(
    fleet: &ScriptedFleet,
    log: &RunLog,
    signalled_at: Instant,
    start: Duration,
) {
    sleep(start.saturating_sub(signalled_at.elapsed())).await;
    let requests = (0..BUSY_REQUESTS).map(|number| {
        let plan = new_plan(&format!("busy-{number:03}"), RequestKind::Query, LONG_WORK);
        log.add_request(&plan);
        let address = fleet.listen_addresses[NODE_COUNT - 1];
        async move { send(address, &plan).await }
    });
    join_all(requests).await;
}

fn times(first_ms: u64, last_ms: u64) -> impl Iterator<Item = Duration> {
    (first_ms..=last_ms)
        .step_by(STEP_MS)
        .map(Duration::from_millis)
}

/// Guards against requests that are taken after the time to leave, as their target latency
/// fits, and cut at the end of the stop, as their work doesn't.
#[ntex::test]
async fn request_taken_after_the_time_to_leave_is_not_cut_by_the_stop() {
    let log = Rc::new(RunLog::default());
    let fleet = ScriptedFleet::start_with(NODE_COUNT, GRACE_FLAGS, &log).await;
    fleet.nodes[0].signal("TERM");
    let signalled_at = Instant::now();
    let late = count_cut(
        &fleet,
        &log,
        signalled_at,
        times(3_050, 4_000),
        Duration::from_millis(2_300),
    );
    let busy = keep_upstreams_busy(&fleet, &log, signalled_at, BEFORE_GATE_CLOSE);
    let (cut, ()) = futures_util::future::join(late, busy).await;
    assert_eq!(cut + log.print_violations(), 0);
}

/// Guards against a time to leave that begins when the process sees the signal, which a busy
/// VM delays.
#[ntex::test]
async fn request_is_not_cut_by_a_stop_whose_signal_was_seen_late() {
    let log = Rc::new(RunLog::default());
    let fleet = ScriptedFleet::start_with(NODE_COUNT, GRACE_FLAGS, &log).await;
    fleet.nodes[0].signal("STOP");
    fleet.nodes[0].signal("TERM");
    let signalled_at = Instant::now();
    sleep(SIGNAL_DELAY).await;
    fleet.nodes[0].signal("CONT");
    let cut = count_cut(&fleet, &log, signalled_at, times(3_010, 3_390), LONG_WORK);
    assert_eq!(cut.await + log.print_violations(), 0);
}

/// Fleet whose first node is being stopped and whose retry budget has grown.
async fn start_stopping_fleet(log: &Rc<RunLog>) -> ScriptedFleet {
    let fleet = ScriptedFleet::start_with(NODE_COUNT + 1, GRACE_FLAGS, log).await;
    for number in 0..SERVED_REQUESTS {
        let id = format!("served-{number:03}");
        let plan = new_plan(&id, RequestKind::Query, Duration::ZERO);
        log.add_request(&plan);
        assert_eq!(send(fleet.listen_addresses[0], &plan).await.0, 200);
    }
    fleet.nodes[0].signal("TERM");
    sleep(AFTER_GATE_CLOSE).await;
    fleet
}

/// Stalls the node whose upstream got the arrival of a request with this number.
async fn stall_gate(fleet: &ScriptedFleet, log: &RunLog, id: &str, arrival: usize) {
    let arrived = || log.requests.borrow()[id].arrivals.get(arrival).cloned();
    let mut found = arrived();
    while found.is_none() {
        sleep(POLL_INTERVAL).await;
        found = arrived();
    }
    let name = found.unwrap().upstream;
    sleep(STALL / 4).await;
    let is_at_work = |it: &Rc<ScriptedUpstream>| it.name == name;
    let number = fleet.upstreams.iter().position(is_at_work).unwrap();
    fleet.nodes[number].signal("STOP");
    sleep(STALL).await;
    fleet.nodes[number].signal("CONT");
}

/// Guards against giving up a request at work, whose gate is silent for a moment, although all
/// other gates have refused it.
#[ntex::test]
async fn request_at_a_stalled_gate_is_not_given_up_for_gates_that_refused_it() {
    let log = Rc::new(RunLog::default());
    let fleet = start_stopping_fleet(&log).await;
    let work = Duration::from_millis(1_200);
    let mut plan = plan_with_limit("stalled", RequestKind::Query, work, FITTING_LIMIT);
    Rc::get_mut(&mut plan).unwrap().scripts[0] = UpstreamScript {
        answer: AnswerKind::Refusal,
        ..UpstreamScript::SOUND
    };
    log.add_request(&plan);
    let request = send(fleet.listen_addresses[0], &plan);
    let stall = stall_gate(&fleet, &log, "stalled", 1);
    let (answer, ()) = futures_util::future::join(request, stall).await;
    assert_eq!((answer.0, log.print_violations()), (200, 0), "{answer:?}");
}

/// Guards against cutting a response whose gate is silent for a moment, as if another upstream
/// could go on with it.
#[ntex::test]
async fn response_of_a_stalled_gate_is_not_cut_for_another_upstream() {
    let log = Rc::new(RunLog::default());
    let fleet = start_stopping_fleet(&log).await;
    let mut plan = plan_with_limit(
        "half-sent",
        RequestKind::Query,
        Duration::ZERO,
        FITTING_LIMIT,
    );
    Rc::get_mut(&mut plan).unwrap().scripts[0] = UpstreamScript {
        framing: AnswerFraming::Chunked,
        answer_bytes: 60_000,
        pause_within: 2 * STALL,
        ..UpstreamScript::SOUND
    };
    log.add_request(&plan);
    let request = send(fleet.listen_addresses[0], &plan);
    let stall = stall_gate(&fleet, &log, "half-sent", 0);
    let (answer, ()) = futures_util::future::join(request, stall).await;
    assert_eq!((answer.0, log.print_violations()), (200, 0), "{answer:?}");
}

/// Guards against giving up a request at work, whose gate is silent for a moment, for a gate
/// that then refuses it.
#[ntex::test]
async fn request_at_a_stalled_gate_is_not_lost_to_a_gate_that_refuses_it() {
    let log = Rc::new(RunLog::default());
    let fleet = start_stopping_fleet(&log).await;
    let work = Duration::from_millis(1_200);
    let mut plan = plan_with_limit("elsewhere", RequestKind::Query, work, FITTING_LIMIT);
    let refusal = UpstreamScript {
        answer: AnswerKind::Refusal,
        ..UpstreamScript::SOUND
    };
    let scripts = &mut Rc::get_mut(&mut plan).unwrap().scripts;
    scripts.truncate(1);
    scripts.extend([refusal; 8]);
    log.add_request(&plan);
    let request = send(fleet.listen_addresses[0], &plan);
    let stall = stall_gate(&fleet, &log, "elsewhere", 0);
    let (answer, ()) = futures_util::future::join(request, stall).await;
    assert_eq!((answer.0, log.print_violations()), (200, 0), "{answer:?}");
}
