//! HTTP end to end, with real processes: callers send to node A, and the backend
//! server runs beside node B.

#![allow(clippy::unwrap_used)] // A failed fixture should end the test.
#![allow(dead_code, reason = "processes are shared with other tests")]

#[path = "http/path.rs"]
mod path;
#[path = "support/process.rs"]
mod process;
#[path = "http/raw.rs"]
mod raw;

use std::time::Duration;

use ntex::http::Method;
use ntex::time::sleep;
use ntex::util::Bytes;
use serde_json::{Value, json};

use path::TwoNodeFleet;
use raw::RawCaller;

const PHOTO_BYTES: usize = 20_000_000;
/// Small orders that are sent during the transfer of a photo.
const ORDERS_BESIDE_PHOTO: usize = 100;

fn order_body(number: usize) -> Bytes {
    let text = format!("order {number} ");
    Bytes::from(text.repeat(1 + number % 90).into_bytes())
}

/// Concurrent calls if `CURRANTLIFT_TEST_CALLS` is not set.
const DEFAULT_CONCURRENT_CALLS: usize = 2_000;
/// One in this many callers disconnects before its response.
const DISCONNECT_EVERY: usize = 10;
/// Header with a service time that ends while the node is paused.
const WORK_ENDING_IN_PAUSE: (&str, &str) = ("standin-work-us", "300000");
/// Time after which an order's body has reached the backend server.
const DELAY_BEFORE_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a node, in which two links in a row are given up as silent.
const GATE_PAUSE: Duration = Duration::from_millis(500);
/// Delay of a caller before it retries a call that was not run.
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[ntex::test]
async fn heads_and_bodies_pass_both_ways() {
    let fleet = TwoNodeFleet::start(&["--slots", "8"]).await;
    for headers in [&[][..], &[("standin-chunked", "1")][..]] {
        let response = fleet
            .send(Method::POST, "/orders?day=2", headers, order_body(3))
            .await;
        let response = response.unwrap();
        assert_eq!((response.status, response.body), (200, order_body(3)));
        assert_eq!(response.headers["standin-id"], "b1");
    }
    let head_response = fleet
        .send(Method::HEAD, "/stock", &[], Bytes::new())
        .await
        .unwrap();
    assert_eq!((head_response.status, head_response.body.len()), (200, 0));
    let echo = [("standin-echo-head", "1")];
    let received = fleet
        .send(Method::PUT, "/a/b%20c?d=%2F", &echo, order_body(1))
        .await
        .unwrap();
    let received: Value = serde_json::from_slice(&received.body).unwrap();
    assert_eq!(received["method"], "PUT");
    assert_eq!(received["target"], "/a/b%20c?d=%2F");
}

#[ntex::test]
async fn hop_by_hop_headers_end_at_each_hop() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send(
            "GET / HTTP/1.1\r\nhost: slotbook\r\nstandin-echo-head: 1\r\nx-kept: 1\r\n\
               connection: x-named, keep-alive\r\nx-named: 1\r\nkeep-alive: timeout=5\r\n\
               te: trailers\r\nproxy-authorization: secret\r\n\r\n",
        )
        .await;
    let response = caller.read_response().await.unwrap();
    assert_eq!(response.status, 200);
    let received: Value = serde_json::from_slice(&response.body).unwrap();
    let names: Vec<&String> = received["headers"].as_object().unwrap().keys().collect();
    assert!(names.iter().any(|name| *name == "x-kept"), "{names:?}");
    for hop_by_hop in ["x-named", "keep-alive", "te", "proxy-authorization"] {
        assert!(!names.iter().any(|name| *name == hop_by_hop), "{names:?}");
    }
}

#[ntex::test]
async fn a_caller_that_expects_100_continue_gets_it() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send("POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\r\n")
        .await;
    assert_eq!(caller.read_head().await.unwrap().status, 100);
    caller.send("order").await;
    let response = caller.read_response().await.unwrap();
    assert_eq!((response.status, &response.body[..]), (200, &b"order"[..]));
}

/// Sends a request that must be rejected while another call runs on the same
/// link. Returns the status and the error body.
async fn send_rejected_request(fleet: &TwoNodeFleet, request: &str) -> (u16, Value) {
    let work = [("standin-work-us", "300000")];
    let concurrent = fleet.send(Method::POST, "/", &work, order_body(5));
    let rejected = async {
        let mut caller = RawCaller::connect(fleet.ingress_address).await;
        caller.send(request).await;
        let response = caller.read_response().await.unwrap();
        (
            response.status,
            serde_json::from_slice(&response.body).unwrap_or_default(),
        )
    };
    let (concurrent, rejected) = futures_util::future::join(concurrent, rejected).await;
    let concurrent = concurrent.unwrap();
    assert_eq!(
        (concurrent.status, concurrent.body),
        (200, order_body(5)),
        "{request:.60}"
    );
    rejected
}

#[ntex::test]
async fn invalid_requests_get_4xx_and_leave_other_calls_unaffected() {
    let fleet = TwoNodeFleet::start(&["--slots", "8"]).await;
    let long_header = "x-long: ".to_string() + &"y".repeat(40_000);
    let chunked = "POST / HTTP/1.1\r\nhost: slotbook\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("GET / HTTP/1.1\r\nhost: nothing\r\n\r\n".to_string(), 404, "unknown-service"),
        (
            "GET / HTTP/1.1\r\nhost: slotbook\r\ncurrantlift-timeout-ms: soon\r\n\r\n".to_string(),
            400,
            "bad-timeout",
        ),
        (
            "GET / HTTP/1.1\r\nhost: slotbook\r\ncurrantlift-timeout-ms: 0\r\n\r\n".to_string(),
            400,
            "bad-timeout",
        ),
        (format!("GET / HTTP/1.1\r\nhost: slotbook\r\n{long_header}\r\n\r\n"), 431, "head-too-large"),
        (format!("{chunked}zz\r\norder\r\n0\r\n\r\n"), 400, "bad-request"),
        (
            "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\norder!"
                .to_string(),
            400,
            "bad-request",
        ),
        (
            "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: 5\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n"
                .to_string(),
            400,
            "bad-request",
        ),
        (
            "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: 99000000\r\n\r\n".to_string(),
            413,
            "body-too-large",
        ),
        ("nonsense\r\n\r\n".to_string(), 400, "bad-request"),
    ];
    let mut mismatches = Vec::new();
    for (request, expected_status, expected_error) in cases {
        let (status, body) = send_rejected_request(&fleet, &request).await;
        if (status, body["error"].as_str()) != (expected_status, Some(expected_error)) {
            mismatches.push(format!("{request:.70}: {status} {body}"));
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
    assert_eq!(fleet.run_counts().await.active, 0);
}

#[ntex::test]
async fn truncated_response_never_looks_complete_to_the_caller() {
    let long_body = Bytes::from(vec![b'x'; 300_000]);
    for body in [order_body(3), long_body] {
        for extra_header in ["", "standin-chunked: 1\r\n"] {
            // A fleet for each case: after a failure, orders are refused for a
            // while rather than sent to the only upstream.
            let fleet = TwoNodeFleet::start(&[]).await;
            fleet.set_backend_faults(&json!({ "cut": true })).await;
            let mut caller = RawCaller::connect(fleet.ingress_address).await;
            let head = format!(
                "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: {}\r\n{extra_header}\r\n",
                body.len()
            );
            caller.send(&head).await;
            caller.send_bytes(&body).await;
            match caller.read_response().await {
                Ok(response) => {
                    assert_eq!(response.status, 502, "{extra_header}{} bytes", body.len());
                    assert_eq!(response.headers["currantlift-outcome"], "unknown");
                }
                // What was received must be the start of the expected body.
                Err(part) => assert!(body.starts_with(&part), "{extra_header}: {part:?}"),
            }
        }
    }
}

#[ntex::test]
async fn caller_disconnect_cancels_the_run() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send(
            "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: 5\r\n\
               standin-work-us: 20000000\r\ncurrantlift-timeout-ms: 30000\r\n\r\norder",
        )
        .await;
    fleet
        .wait_for_run_counts(|counts| counts.started == 1)
        .await;
    drop(caller);
    fleet
        .wait_for_run_counts(|counts| counts.cancelled == 1)
        .await;
}

/// Guards against a disconnect that isn't seen while no further request is read.
#[ntex::test]
async fn caller_disconnect_with_a_full_pipeline_cancels_the_runs() {
    const PIPELINED: u64 = 32;
    let fleet = TwoNodeFleet::start(&["--slots", "40"]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    let request = "GET / HTTP/1.1\r\nhost: slotbook\r\n\
                   standin-work-us: 4000000\r\n\r\n";
    caller.send(&request.repeat(PIPELINED as usize)).await;
    fleet
        .wait_for_run_counts(|counts| counts.started == PIPELINED)
        .await;
    drop(caller);
    sleep(Duration::from_millis(500)).await;
    let counts = fleet.run_counts().await;
    assert_eq!((counts.cancelled, counts.active), (PIPELINED, 0));
}

#[ntex::test]
async fn expired_deadline_cancels_the_run() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let headers = [
        ("standin-work-us", "20000000"),
        ("currantlift-timeout-ms", "200"),
    ];
    let response = fleet
        .send(Method::POST, "/", &headers, order_body(1))
        .await
        .unwrap();
    assert_eq!(response.status, 504);
    assert_eq!(response.headers["currantlift-outcome"], "unknown");
    fleet
        .wait_for_run_counts(|counts| counts.cancelled == 1)
        .await;
}

#[ntex::test]
async fn large_transfers_do_not_block_small_orders() {
    let fleet = TwoNodeFleet::start(&["--slots", "8"]).await;
    let photo = vec![7; PHOTO_BYTES];
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    let head = format!(
        "POST /photos HTTP/1.1\r\nhost: slotbook\r\ncontent-length: {PHOTO_BYTES}\r\n\
         currantlift-timeout-ms: 60000\r\n\r\n"
    );
    caller.send(&head).await;
    caller.send_bytes(&photo[..PHOTO_BYTES / 2]).await;
    fleet.send_and_check_orders(ORDERS_BESIDE_PHOTO).await;
    caller.send_bytes(&photo[PHOTO_BYTES / 2..]).await;
    // The response is as large and is not read while the orders are sent.
    assert_eq!(caller.read_head().await.unwrap().status, 200);
    fleet.send_and_check_orders(ORDERS_BESIDE_PHOTO).await;
    let body = caller.read_body(PHOTO_BYTES).await.unwrap();
    assert!(body == photo);
}

/// Time limit of a call whose response takes longer to transfer.
const OUTLASTED_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Reads in which a slow caller gets the response body.
const SLOW_READ_COUNT: usize = 20;

#[ntex::test]
async fn started_response_may_outlast_the_time_limit() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let photo = vec![7; PHOTO_BYTES];
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    let time_limit_ms = OUTLASTED_TIME_LIMIT.as_millis();
    let head = format!(
        "POST /photos HTTP/1.1\r\nhost: slotbook\r\ncontent-length: {PHOTO_BYTES}\r\n\
         currantlift-timeout-ms: {time_limit_ms}\r\n\r\n"
    );
    caller.send(&head).await;
    caller.send_bytes(&photo).await;
    assert_eq!(caller.read_head().await.unwrap().status, 200);
    let mut body = Vec::new();
    for _ in 0..SLOW_READ_COUNT {
        sleep(OUTLASTED_TIME_LIMIT / 10).await;
        let chunk = caller.read_body(PHOTO_BYTES / SLOW_READ_COUNT).await;
        body.extend(
            chunk
                .map_err(|received| received.len())
                .expect("the connection should stay open until the body is complete"),
        );
    }
    assert!(body == photo);
}

/// Sends a call again until it is answered, as a caller may do after responses
/// with outcome `not-run`; returns the number of those responses. One in
/// [`DISCONNECT_EVERY`] calls is sent once, and its caller disconnects.
async fn call_until_completed(fleet: &TwoNodeFleet, number: usize) -> usize {
    let id = number.to_string();
    // Later calls have shorter service times, so responses come out of order.
    let work = ((200 - number % 200) * 100).to_string();
    let mut headers = vec![
        ("request-id", id.as_str()),
        ("standin-work-us", work.as_str()),
        ("currantlift-timeout-ms", "60000"),
    ];
    if number.is_multiple_of(3) {
        headers.push(("standin-chunked", "1"));
    }
    if number.is_multiple_of(DISCONNECT_EVERY) {
        fleet
            .send_and_disconnect(&headers, order_body(number))
            .await;
        return 0;
    }
    for refusals in 0.. {
        let response = fleet
            .send(Method::POST, "/", &headers, order_body(number))
            .await;
        let response = response.unwrap();
        if response.status == 200 {
            assert_eq!(response.headers["request-id"], id);
            assert!(response.body == order_body(number), "call {number}");
            return refusals;
        }
        let outcome = &response.headers["currantlift-outcome"];
        assert_eq!(outcome, "not-run", "call {number}: {:?}", response.body);
        sleep(RETRY_DELAY).await;
    }
    unreachable!("the loop ends only by returning")
}

/// On a busy machine, a node may get no CPU for longer than a silent link is
/// kept. Its backend server continues meanwhile, so the responses are available
/// when the node resumes, and must not be lost.
#[ntex::test]
async fn responses_produced_while_the_only_gate_is_paused_are_delivered() {
    let fleet = TwoNodeFleet::start(&["--slots", "8"]).await;
    fleet.send_and_check_orders(1).await;
    let [order, query] = ["order", "query"].map(|id| [("request-id", id), WORK_ENDING_IN_PAUSE]);
    let order = fleet.send(Method::POST, "/", &order, order_body(1));
    let query = fleet.send(Method::GET, "/", &query, Bytes::new());
    let pause = async {
        sleep(DELAY_BEFORE_PAUSE).await;
        fleet.pause_gate(GATE_PAUSE).await;
    };
    let (order, query, ()) = tokio::join!(order, query, pause);
    let order = order.unwrap();
    assert_eq!((order.status, order.body), (200, order_body(1)));
    assert_eq!(query.unwrap().status, 200);
    assert_eq!(fleet.run_counts().await.runs["order"], 1);
}

#[ntex::test]
async fn concurrent_calls_get_their_own_responses() {
    let fleet = TwoNodeFleet::start(&["--slots", "256", "--connections", "256"]).await;
    fleet.send_and_check_orders(1).await;
    let count = std::env::var("CURRANTLIFT_TEST_CALLS");
    let count = count.map_or(DEFAULT_CONCURRENT_CALLS, |text| text.parse().unwrap());
    let calls = (0..count).map(|number| call_until_completed(&fleet, number));
    let refusals = futures_util::future::join_all(calls).await;
    println!("{count} calls, {} refusals", refusals.iter().sum::<usize>());
    let runs = fleet.run_counts().await.runs;
    assert!(runs.values().all(|run_count| *run_count == 1));
    assert!(runs.len() >= count - count / DISCONNECT_EVERY);
}

#[ntex::test]
async fn calls_nest_eleven_deep_through_the_nodes() {
    let fleet = TwoNodeFleet::start(&["--slots", "32"]).await;
    let headers = [("standin-nest", "10"), ("request-id", "top")];
    let response = fleet
        .send(Method::POST, "/", &headers, order_body(1))
        .await
        .unwrap();
    assert_eq!((response.status, response.body), (200, order_body(1)));
    let counts = fleet.run_counts().await;
    assert_eq!((counts.started, counts.finished), (11, 11));
}

#[ntex::test]
async fn time_left_decreases_along_nested_calls() {
    let fleet = TwoNodeFleet::start(&["--slots", "32"]).await;
    let headers = [
        ("standin-nest", "10"),
        ("standin-work-us", "60000"),
        ("currantlift-timeout-ms", "300"),
    ];
    let response = fleet
        .send(Method::POST, "/", &headers, order_body(1))
        .await
        .unwrap();
    assert_eq!(response.headers["currantlift-outcome"], "unknown");
    // Each level takes 60 ms. With 300 ms for all of them the sixth level doesn't
    // start, and no run continues after the deadline.
    fleet.wait_for_run_counts(|counts| counts.active == 0).await;
    assert!(fleet.run_counts().await.started <= 5);
}

#[ntex::test]
async fn backend_server_is_told_the_time_and_attempts_left() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let headers = [
        ("standin-echo-head", "1"),
        ("currantlift-timeout-ms", "5000"),
        ("currantlift-attempts", "2"),
    ];
    let response = fleet
        .send(Method::PUT, "/", &headers, Bytes::new())
        .await
        .unwrap();
    let received: Value = serde_json::from_slice(&response.body).unwrap();
    // The first of two attempts has started, so one is left.
    assert_eq!(received["headers"]["currantlift-attempts"], json!(["1"]));
    let time_left_ms = received["headers"]["currantlift-timeout-ms"][0].as_str();
    assert!(time_left_ms.unwrap().parse::<u64>().unwrap() <= 5000);
}

#[ntex::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let fleet = TwoNodeFleet::start(&["--slots", "8"]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    let started_at = std::time::Instant::now();
    // The first takes longest, so its response is ready last.
    for (number, work_us) in [(1, 300_000), (2, 200_000), (3, 100_000)] {
        let body = format!("order {number}");
        let length = body.len();
        caller
            .send(&format!(
                "POST / HTTP/1.1\r\nhost: slotbook\r\ncontent-length: {length}\r\n\
                 standin-work-us: {work_us}\r\n\r\n{body}"
            ))
            .await;
    }
    for number in 1..=3 {
        let response = caller.read_response().await.unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.body, format!("order {number}").into_bytes());
    }
    // In sequence they would take 600 ms.
    assert!(
        started_at.elapsed() < Duration::from_millis(550),
        "{:?}",
        started_at.elapsed()
    );
}

#[ntex::test]
async fn chunks_with_extensions_and_trailers_are_passed_on_as_one_body() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send(
            "POST / HTTP/1.1\r\nhost: slotbook\r\ntransfer-encoding: chunked\r\n\r\n\
             4;note=\"a\"\r\nwood\r\n3\r\nlot\r\n0\r\nChecked: yes\r\n\r\n",
        )
        .await;
    let response = caller.read_response().await.unwrap();
    assert_eq!(
        (response.status, &response.body[..]),
        (200, &b"woodlot"[..])
    );
    // The connection stays usable after the trailers.
    caller
        .send("GET / HTTP/1.1\r\nhost: slotbook\r\n\r\n")
        .await;
    assert_eq!(caller.read_response().await.unwrap().status, 200);
}

#[ntex::test]
async fn connection_stays_usable_after_a_rejected_request() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send(
            "POST / HTTP/1.1\r\nhost: nothing\r\ncontent-length: 5\r\n\r\norder\
             GET / HTTP/1.1\r\nhost: slotbook\r\n\r\n",
        )
        .await;
    assert_eq!(caller.read_response().await.unwrap().status, 404);
    assert_eq!(caller.read_response().await.unwrap().status, 200);
}

#[ntex::test]
async fn response_repeats_the_connection_close_of_its_request() {
    let fleet = TwoNodeFleet::start(&[]).await;
    let mut caller = RawCaller::connect(fleet.ingress_address).await;
    caller
        .send(
            "POST / HTTP/1.1\r\nhost: slotbook\r\nconnection: close\r\ncontent-length: 5\r\n\
             standin-work-us: 100000\r\n\r\norder",
        )
        .await;
    let response = caller.read_response().await.unwrap();
    assert_eq!((response.status, &response.body[..]), (200, &b"order"[..]));
    assert_eq!(response.headers["connection"], "close");
}
