//! Callers that send input without end, with real nodes: each connection must end within its
//! limits, and other callers must be served meanwhile.

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

use ntex::time::sleep;
use tokio::time::timeout;

use fleet::ScriptedFleet;
use raw::RawCaller;
use script::{AnswerFraming, CallerEnd, RequestKind, RequestPlan, UpstreamScript};
use upstream::RunLog;

/// Limit of the configuration for the arrival of a head.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
/// Limit of the configuration for idle connections.
const IDLE_LIMIT: Duration = Duration::from_millis(15_500);
/// Longest time that a connection may be open beyond its limit, with its lingering close.
const END_TIME: Duration = Duration::from_secs(3);
/// Longest response to another caller.
const SERVICE_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A request that is answered without an upstream.
const REQUEST: &str = "GET /nowhere HTTP/1.1\r\nHost: unknown.example\r\n\r\n";

/// What a caller sends over and over, with the pause after each time, and the last status
/// that it gets.
#[derive(Debug, Clone, Copy)]
struct EndlessInput {
    start: &'static str,
    piece: &'static str,
    pieces_at_once: usize,
    pause: Duration,
    status: u16,
}

const AT_ONCE: Duration = Duration::ZERO;
const TRICKLE: Duration = Duration::from_millis(500);
const FULL_SPEED_PIECES: usize = 4_096;

/// Sends without end on a connection of its own; returns how long it was open.
async fn send_endless(address: SocketAddr, input: EndlessInput) -> Option<Duration> {
    let RawCaller {
        mut sender,
        mut reader,
    } = RawCaller::connect(address).await;
    let started_at = Instant::now();
    let sending = async {
        sender.send_bytes(input.start.as_bytes()).await;
        let pieces = input.piece.repeat(input.pieces_at_once);
        loop {
            sender.send_bytes(pieces.as_bytes()).await;
            sleep(input.pause).await;
        }
    };
    let reading = async {
        let mut statuses = Vec::new();
        while let Ok(answer) = reader.read_response().await {
            statuses.push(answer.status);
        }
        // A reset may overtake the answer while the caller still sends.
        if input.pause > AT_ONCE || !statuses.is_empty() {
            assert!(
                statuses.ends_with(&[input.status]),
                "{input:?}: {statuses:?}"
            );
        }
    };
    let ended = timeout(HEAD_LIMIT + END_TIME, async {
        tokio::select! {
            () = sending => unreachable!("sends without end"),
            () = reading => {}
        }
    });
    ended.await.ok().map(|()| started_at.elapsed())
}

/// Longest time for which another caller waits for a response while input is sent.
async fn longest_wait(address: SocketAddr) -> Duration {
    let mut longest = Duration::ZERO;
    let mut caller = RawCaller::connect(address).await;
    let ends_at = Instant::now() + HEAD_LIMIT;
    while Instant::now() < ends_at {
        let sent_at = Instant::now();
        caller.send(REQUEST).await;
        assert_eq!(caller.read_response().await.unwrap().status, 404);
        longest = longest.max(sent_at.elapsed());
        sleep(POLL_INTERVAL).await;
    }
    longest
}

async fn assert_ended(inputs: &[EndlessInput]) {
    let fleet = ScriptedFleet::start(1, &Rc::new(RunLog::default())).await;
    let address = fleet.listen_addresses[0];
    for input in inputs {
        let sending = send_endless(address, *input);
        let (open_time, wait) = futures_util::future::join(sending, longest_wait(address)).await;
        println!("MEASURE {input:?}: open for {open_time:?}, longest wait of another {wait:?}");
        assert!(open_time.is_some(), "{input:?}: not ended");
        assert!(
            wait < SERVICE_TIME,
            "{input:?}: another caller waited {wait:?}"
        );
    }
}

const BLANK_LINES: EndlessInput = EndlessInput {
    start: "",
    piece: "\r\n",
    pieces_at_once: FULL_SPEED_PIECES,
    pause: AT_ONCE,
    status: 431,
};

#[ntex::test]
async fn blank_lines_at_full_speed_end_the_connection() {
    let behind_a_request = EndlessInput {
        start: REQUEST,
        ..BLANK_LINES
    };
    assert_ended(&[BLANK_LINES, behind_a_request]).await;
}

#[ntex::test]
async fn trickled_blank_lines_end_the_connection() {
    let trickled = EndlessInput {
        pieces_at_once: 1,
        pause: TRICKLE,
        status: 408,
        ..BLANK_LINES
    };
    let behind_a_request = EndlessInput {
        start: REQUEST,
        ..trickled
    };
    assert_ended(&[trickled, behind_a_request]).await;
}

/// Upstreams that may get one read.
const ATTEMPTS: usize = 3;
/// Reads that one caller sends in a row.
const ROW: usize = 32;
/// Nodes whose upstreams have slots for all reads of a row.
const NODES_FOR_ROW: usize = 4;
/// Answer of which a node holds all, and whose row the sockets of a connection can't hold.
const ROW_ANSWER_BYTES: usize = 250_000;

/// Starts a node and sends it reads in a row, whose answers have no stated length.
async fn send_reads(
    version: &str,
    count: usize,
    answer_bytes: usize,
) -> (ScriptedFleet, RawCaller) {
    let log = Rc::new(RunLog::default());
    let fleet = ScriptedFleet::start(NODES_FOR_ROW, &log).await;
    let mut caller = RawCaller::connect(fleet.listen_addresses[0]).await;
    for number in 0..count {
        let plan = RequestPlan {
            id: format!("{number:016x}"),
            kind: RequestKind::Query,
            is_chunked: false,
            body_bytes: 0,
            chunk_bytes: Vec::new(),
            end: CallerEnd::Whole,
            time_limit: HEAD_LIMIT,
            piece: (usize::MAX, Duration::ZERO),
            scripts: vec![
                UpstreamScript {
                    framing: AnswerFraming::Chunked,
                    answer_bytes,
                    ..UpstreamScript::SOUND
                };
                ATTEMPTS
            ],
        };
        let (host, id) = (fleet::HOST, plan.id.clone());
        log.add_request(&Rc::new(plan));
        let fields = format!("Host: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000");
        caller
            .send(&format!("GET /stock/x {version}\r\n{fields}\r\n\r\n"))
            .await;
    }
    (fleet, caller)
}

/// Reads responses until the connection ends; returns how many arrived whole.
async fn count_responses(caller: &mut RawCaller, most: usize) -> usize {
    for count in 0..most {
        match caller.read_response().await {
            // A slot may not be free yet.
            Ok(response) if response.status == 503 => {}
            Ok(response) => assert_eq!(response.body.len(), ROW_ANSWER_BYTES),
            Err(_) => return count,
        }
    }
    most
}

/// Guards against callers that read no responses and keep what is buffered for them.
#[ntex::test]
async fn caller_that_reads_no_responses_is_disconnected() {
    let (_fleet, mut caller) = send_reads("HTTP/1.1", ROW, ROW_ANSWER_BYTES).await;
    sleep(IDLE_LIMIT + END_TIME).await;
    let count = count_responses(&mut caller, ROW).await;
    println!("MEASURE {count} of {ROW} responses arrived");
    assert!(count < ROW);
}

/// Guards against a limit on the whole time that a slow caller takes.
#[ntex::test]
async fn caller_that_reads_its_responses_slowly_gets_all_of_them() {
    let (_fleet, mut caller) = send_reads("HTTP/1.1", ROW, ROW_ANSWER_BYTES).await;
    for _ in 0..2 {
        sleep(IDLE_LIMIT * 2 / 3).await;
        assert_eq!(count_responses(&mut caller, ROW / 2).await, ROW / 2);
    }
}

const UNKNOWN_ROUTE: &str =
    "POST /nowhere HTTP/1.1\r\nHost: unknown.example\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNKNOWN_ROUTE_EXTENSION: &str = "POST /nowhere HTTP/1.1\r\nHost: unknown.example\r\n\
    Transfer-Encoding: chunked\r\n\r\n5;note=";
const UNKNOWN_ROUTE_TRAILERS: &str = "POST /nowhere HTTP/1.1\r\nHost: unknown.example\r\n\
    Transfer-Encoding: chunked\r\n\r\n0\r\n";

/// The rest of a body is discarded once its request has failed.
#[ntex::test]
async fn discarded_bodies_without_end_end_the_connection() {
    let chunk = "100\r\n".to_string() + &"x".repeat(256) + "\r\n";
    let chunk: &'static str = chunk.leak();
    let body = |piece: &'static str| EndlessInput {
        start: UNKNOWN_ROUTE,
        piece,
        status: 404,
        ..BLANK_LINES
    };
    let trickled = EndlessInput {
        pieces_at_once: 1,
        pause: TRICKLE / 10,
        ..body(chunk)
    };
    let extension = EndlessInput {
        start: UNKNOWN_ROUTE_EXTENSION,
        ..body("x")
    };
    let trailers = EndlessInput {
        start: UNKNOWN_ROUTE_TRAILERS,
        ..body("a: b\r\n")
    };
    assert_ended(&[body(chunk), trickled, extension, trailers]).await;
}

const SLOW_UPLOAD: &str = "POST /uploads/x HTTP/1.1\r\nHost: shop.example\r\n\
    Attempt-Id: 1111111111111111\r\nContent-Length: 1000\r\n\r\n";

/// Bodies for an upstream that waits for their end.
#[ntex::test]
async fn forwarded_bodies_without_end_end_the_connection() {
    let extension = EndlessInput {
        start: "POST /uploads/x HTTP/1.1\r\nHost: shop.example\r\n\
            Attempt-Id: 1111111111111111\r\nTransfer-Encoding: chunked\r\n\r\n5;note=",
        piece: "x",
        status: 400,
        ..BLANK_LINES
    };
    let trailers = EndlessInput {
        start: "POST /uploads/x HTTP/1.1\r\nHost: shop.example\r\n\
            Attempt-Id: 1111111111111111\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        piece: "a: b\r\n",
        ..extension
    };
    let trickled = EndlessInput {
        start: SLOW_UPLOAD,
        piece: "x",
        pieces_at_once: 1,
        pause: TRICKLE,
        status: 504,
    };
    assert_ended(&[extension, trailers, trickled]).await;
}

/// Some callers send an empty line after a body; their connection is idle then.
#[ntex::test]
async fn blank_line_behind_a_request_leaves_the_connection_idle() {
    let fleet = ScriptedFleet::start(1, &Rc::new(RunLog::default())).await;
    let mut caller = RawCaller::connect(fleet.listen_addresses[0]).await;
    caller.send(REQUEST).await;
    caller.send("\r\n").await;
    assert_eq!(caller.read_response().await.unwrap().status, 404);
    sleep(HEAD_LIMIT + END_TIME).await;
    caller.send(REQUEST).await;
    assert_eq!(caller.read_response().await.unwrap().status, 404);
}
