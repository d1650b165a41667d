//! Requests that follow another one on a caller's connection, with real nodes, scripted
//! upstreams and scripted callers.
//!
//! The tests guard against requests that were run and lose their answer because the answer
//! before theirs breaks off.

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
use std::time::Duration;

use ntex::time::sleep;

use fleet::ScriptedFleet;
use raw::RawCaller;
use script::{
    AnswerFraming, AnswerKind, CallerEnd, ConnectionEnd, RequestKind, RequestPlan, UpstreamScript,
};
use upstream::{Answer, RunLog};

const NODE_COUNT: usize = 2;
/// Connections of each case, one after the other.
const ROUNDS: usize = 20;
/// Requests on each connection; the answer to the first one breaks off.
const REQUESTS: usize = 4;
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Wait after the first request, by which its answer has begun.
const LATE_START: Duration = Duration::from_millis(60);

/// How the first answer of a connection is sent, and when the other requests are.
#[derive(Debug, Clone, Copy)]
struct Case {
    framing: AnswerFraming,
    answer_bytes: usize,
    pause_at_cut: Duration,
    /// Wait between the first request and the others.
    start_delay: Duration,
}

fn new_plan(id: String, scripts: Vec<UpstreamScript>) -> Rc<RequestPlan> {
    Rc::new(RequestPlan {
        id,
        kind: RequestKind::Query,
        is_chunked: false,
        body_bytes: 0,
        chunk_bytes: Vec::new(),
        end: CallerEnd::Whole,
        time_limit: TIME_LIMIT,
        piece: (usize::MAX, Duration::ZERO),
        scripts,
    })
}

fn render(plan: &RequestPlan) -> String {
    format!(
        "{} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\r\n",
        plan.kind.method_and_path(),
        fleet::HOST,
        plan.id,
        plan.time_limit.as_millis()
    )
}

/// Sends the requests on one connection; returns how many answers arrived whole.
async fn send_in_a_row(address: SocketAddr, plans: &[Rc<RequestPlan>], case: Case) -> usize {
    let mut caller = RawCaller::connect(address).await;
    caller.send(&render(&plans[0])).await;
    sleep(case.start_delay).await;
    for plan in &plans[1..] {
        caller.send(&render(plan)).await;
    }
    for (answered, plan) in plans.iter().enumerate() {
        let Ok(response) = caller.read_response().await else {
            return answered;
        };
        if response.status == 200 {
            let signature = &response.headers["response-signature"];
            let is_own = signature.starts_with(&plan.id);
            assert!(is_own, "{}: answer to another request", plan.id);
            if answered > 0 {
                assert_eq!(
                    response.body,
                    Answer::body(signature, &UpstreamScript::SOUND)
                );
            }
        } else {
            assert_eq!((answered, response.status), (0, 502));
        }
    }
    plans.len()
}

/// Number of requests behind a cut answer that an upstream answered and that got nothing.
async fn count_lost(case: Case) -> usize {
    let log = Rc::new(RunLog::default());
    let fleet = ScriptedFleet::start(NODE_COUNT, &log).await;
    let cut = UpstreamScript {
        answer: AnswerKind::Success,
        framing: case.framing,
        answer_bytes: case.answer_bytes,
        cut: Some((0.6, ConnectionEnd::Fin)),
        pause_at_cut: case.pause_at_cut,
        ..UpstreamScript::SOUND
    };
    let mut lost = 0;
    for round in 0..ROUNDS {
        let id = |number: usize| format!("{round:08x}{number:08x}");
        let plans: Vec<_> = (0..REQUESTS)
            .map(|number| new_plan(id(number), vec![cut; usize::from(number == 0)]))
            .collect();
        for plan in &plans {
            log.add_request(plan);
        }
        let address = fleet.listen_addresses[round % NODE_COUNT];
        let answered = send_in_a_row(address, &plans, case).await;
        // A request that was passed on reaches its upstream within that time.
        sleep(LATE_START).await;
        let requests = log.requests.borrow();
        let behind = &plans[answered.clamp(1, REQUESTS)..];
        lost += behind
            .iter()
            .filter(|plan| !requests[&plan.id].arrivals.is_empty())
            .count();
    }
    let total = ROUNDS * (REQUESTS - 1);
    println!("MEASURE {case:?}: {lost} of {total} requests lost");
    lost + log.print_violations()
}

async fn assert_none_lost(cases: &[Case]) {
    let mut lost = 0;
    for case in cases {
        lost += count_lost(*case).await;
    }
    assert_eq!(lost, 0, "requests lost behind an answer that broke off");
}

const SHORT_PAUSE: Duration = Duration::from_millis(2);
/// Longer than a gate buffers the start of an answer.
const LONG_PAUSE: Duration = Duration::from_millis(120);
const LONG_ANSWER_TIME: Duration = Duration::from_millis(1_300);

/// Requests that arrive before the first answer begins.
#[ntex::test]
async fn requests_before_an_answer_that_breaks_off_are_answered() {
    let cases = [
        (AnswerFraming::Length, 5_000, LONG_PAUSE),
        (AnswerFraming::Length, 60_000, SHORT_PAUSE),
        (AnswerFraming::Length, 200_000, SHORT_PAUSE),
        (AnswerFraming::Chunked, 2_400, LONG_PAUSE),
        (AnswerFraming::Chunked, 60_000, SHORT_PAUSE),
    ];
    let cases = cases.map(|(framing, answer_bytes, pause_at_cut)| Case {
        framing,
        answer_bytes,
        pause_at_cut,
        start_delay: Duration::ZERO,
    });
    assert_none_lost(&cases).await;
}

/// An answer that is longer than what may be in transit, or that takes longer than a second.
#[ntex::test]
async fn requests_before_a_long_answer_that_breaks_off_are_answered() {
    let cases = [
        (AnswerFraming::Length, 400_000, SHORT_PAUSE),
        (AnswerFraming::Length, 1_000_000, SHORT_PAUSE),
        (AnswerFraming::Chunked, 400_000, SHORT_PAUSE),
        (AnswerFraming::Chunked, 1_000_000, SHORT_PAUSE),
        (AnswerFraming::Chunked, 2_400, LONG_ANSWER_TIME),
    ];
    let cases = cases.map(|(framing, answer_bytes, pause_at_cut)| Case {
        framing,
        answer_bytes,
        pause_at_cut,
        start_delay: Duration::ZERO,
    });
    assert_none_lost(&cases).await;
}

/// Requests that arrive while the first answer is being passed on. Its start can't be taken
/// back, so they must not run before its end is known.
#[ntex::test]
async fn requests_within_an_answer_that_breaks_off_are_not_run() {
    let cases = [
        (AnswerFraming::Length, 400_000, LONG_PAUSE),
        (AnswerFraming::Chunked, 2_400, LONG_PAUSE),
    ];
    let cases = cases.map(|(framing, answer_bytes, pause_at_cut)| Case {
        framing,
        answer_bytes,
        pause_at_cut,
        start_delay: LATE_START,
    });
    assert_none_lost(&cases).await;
}
