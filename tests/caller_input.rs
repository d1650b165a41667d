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
use upstream::RunLog;

/// Limit of the configuration for the arrival of a head.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
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
