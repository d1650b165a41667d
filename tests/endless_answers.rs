//! Faulty upstreams whose responses never end, with real processes: the memory of the nodes
//! stays bounded and the requests of other callers are served.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(
    dead_code,
    reason = "processes and callers are shared with other tests"
)]

#[path = "uploads/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;
#[path = "endless_answers/upstream.rs"]
mod upstream;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantlift::exchange::PeerHello;
use currantlift::link::messages::{LinkFrame, LinkHello, LinkMessage, LinkPing};
use fleet::{Fleet, SERVICE};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use upstream::{EndlessResponse, FAULTY_PATH, FaultyUpstream};

const SLOTS: u32 = 18;
/// Callers of faulty responses at a time, more than there are slots.
const FAULTY_CALLERS: usize = 24;
/// Service of the sound upstream.
const SOUND_SERVICE: &str = "slotbook";
/// Time for which callers wait for the rest of a faulty response.
const FAULT_TIME: Duration = Duration::from_millis(1_500);
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
const SOUND_TIMEOUT: Duration = Duration::from_secs(3);
/// More than the time for which a node waits for the hello frame of a link.
const HELLO_WAIT: Duration = Duration::from_secs(4);
const PINGS_PER_WRITE: usize = 2_000;
/// Time in which many more pings are sent than a node keeps replies to.
const UNREAD_WAIT: Duration = Duration::from_secs(5);
/// Receive buffer of callers that read nothing.
const SMALL_RECEIVE_BYTES: u32 = 4 * 1024;
/// A node of the size of the test takes 13 MB; each of 18 calls may hold a window of
/// 256 KiB at its gate, and at its ingress another and as much for the caller's connection,
/// in buffers of up to twice that size.
const MAX_MEMORY_BYTES: u64 = 48 * 1024 * 1024;

const fn at_full_speed(
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
) -> EndlessResponse {
    EndlessResponse {
        name,
        start,
        repeated,
        burst_bytes: 0,
        pause: None,
        end: None,
    }
}

const fn slowly(
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
    burst_bytes: usize,
) -> EndlessResponse {
    EndlessResponse {
        name,
        start,
        repeated,
        burst_bytes,
        pause: Some(Duration::from_millis(1)),
        end: None,
    }
}

/// Response that ends after [`BURST_BYTES`] of its body.
const fn finite(name: &'static str, end: &'static str) -> EndlessResponse {
    EndlessResponse {
        name,
        start: CHUNKED_HEAD,
        repeated: "8\r\nhardwood\r\n",
        burst_bytes: BURST_BYTES / 8 * 13,
        pause: None,
        end: Some(end),
    }
}

const HTTP_1_0: &str = "HTTP/1.0";
const HTTP_1_1: &str = "HTTP/1.1";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LONG_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4611686018427387904\r\n\r\n";
const UNTIL_CLOSE_HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const EXTENSION_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
const TRAILER_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
/// More than the buffers of the sockets on the way of a response hold.
const BURST_BYTES: usize = 4 * 1024 * 1024;

static HEADS: [EndlessResponse; 5] = [
    at_full_speed("no response", "", "no response "),
    at_full_speed("field", "HTTP/1.1 200 OK\r\nx: ", "a"),
    at_full_speed("fields", "HTTP/1.1 200 OK\r\n", "x: a\r\n"),
    at_full_speed("interim responses", "", INTERIM),
    slowly("slow field", "HTTP/1.1 200 OK\r\nx: ", "a", 0),
];

static BODIES: [EndlessResponse; 3] = [
    at_full_speed("body until close", UNTIL_CLOSE_HEAD, "wood"),
    at_full_speed("long body", LONG_HEAD, "wood"),
    slowly("slow body", UNTIL_CLOSE_HEAD, "a", BURST_BYTES),
];

static CHUNKED_BODIES: [EndlessResponse; 7] = [
    at_full_speed("small chunks", CHUNKED_HEAD, "1\r\nx\r\n"),
    at_full_speed("chunk extension", CHUNKED_HEAD, "1;a=b"),
    at_full_speed("chunk extensions", CHUNKED_HEAD, "1;a=bcdefghij\r\nx\r\n"),
    at_full_speed("trailers", TRAILER_HEAD, "x: y\r\n"),
    slowly("slow small chunks", CHUNKED_HEAD, "1\r\nx\r\n", BURST_BYTES),
    slowly("slow chunk extension", EXTENSION_HEAD, "a", 0),
    slowly("slow trailer", TRAILER_HEAD, "a", 0),
];

static FINITE_BODIES: [EndlessResponse; 2] = [
    finite("whole body", "0\r\n\r\n"),
    finite("body that breaks off", ""),
];

/// Opens a connection whose receive buffer is small and sends a request.
async fn send_request(ingress: SocketAddr, service: &str, path: &str, version: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BYTES).unwrap();
    let mut stream = socket.connect(ingress).await.unwrap();
    let request = format!("GET {path} {version}\r\nhost: {service}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Latency of one request; fails with what its caller got if it isn't served.
async fn measure_sound_request(ingress: SocketAddr) -> Result<Duration, String> {
    let sent_at = Instant::now();
    let mut stream = send_request(ingress, SOUND_SERVICE, "/sound", HTTP_1_1).await;
    let mut response = Vec::new();
    let reading = async {
        while !response.ends_with(b"ok") && matches!(stream.read_buf(&mut response).await, Ok(1..))
        {
        }
    };
    let read = tokio::time::timeout(SOUND_TIMEOUT, reading).await;
    if read.is_ok() && response.starts_with(b"HTTP/1.1 200 ") && response.ends_with(b"ok") {
        return Ok(sent_at.elapsed());
    }
    let response = String::from_utf8_lossy(&response);
    Err(format!("after {:?}: {response:?}", sent_at.elapsed()))
}

/// Sends requests to each node in turn for [`FAULT_TIME`]; returns the slowest latency.
async fn measure_sound_requests(nodes: &[SocketAddr]) -> Result<Duration, String> {
    let started_at = Instant::now();
    let mut slowest = Duration::ZERO;
    while started_at.elapsed() < FAULT_TIME {
        for node in nodes {
            slowest = slowest.max(measure_sound_request(*node).await?);
        }
        ntex::time::sleep(SOUND_INTERVAL).await;
    }
    Ok(slowest)
}

/// Sends requests for each of the responses in a fleet of its own.
async fn check_responses(responses: &'static [EndlessResponse], version: &str) {
    let mut failures = Vec::new();
    for (index, response) in responses.iter().enumerate() {
        let faulty = FaultyUpstream::start(responses);
        let sound = FaultyUpstream::start(&[]);
        let backends = [(SERVICE, faulty.address), (SOUND_SERVICE, sound.address)];
        let mut fleet = Fleet::start_with(&backends, SLOTS).await;
        let path = format!("{FAULTY_PATH}{index}");
        let mut callers = Vec::new();
        for _ in 0..FAULTY_CALLERS {
            callers.push(send_request(fleet.ingress_address, SERVICE, &path, version).await);
        }
        let slowest = measure_sound_requests(&fleet.listen_addresses).await;
        let memory = fleet.peak_memory_bytes();
        drop(callers);
        fleet.assert_all_run();
        let closed = faulty.closed.lock().unwrap().clone();
        println!(
            "{}: {memory:?} bytes, slowest sound request {slowest:?}, {} closed, of {:?} bytes in {:?}",
            response.name,
            closed.len(),
            closed.iter().map(|it| it.sent_bytes).max(),
            closed.iter().map(|it| it.duration).max(),
        );
        if slowest.is_err() || memory.iter().any(|bytes| *bytes > MAX_MEMORY_BYTES) {
            failures.push((response.name, memory, slowest));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

#[ntex::test]
async fn endless_heads_take_bounded_memory_and_no_request_of_others() {
    check_responses(&HEADS, HTTP_1_1).await;
}

#[ntex::test]
async fn endless_bodies_take_bounded_memory_and_no_request_of_others() {
    check_responses(&BODIES, HTTP_1_1).await;
}

/// Guards against memory that grows with the number of small chunks of a response that its
/// caller doesn't read.
#[ntex::test]
async fn endless_chunks_take_bounded_memory_and_no_request_of_others() {
    check_responses(&CHUNKED_BODIES, HTTP_1_1).await;
}

/// Guards against a response that is kept completely for an HTTP/1.0 caller.
#[ntex::test]
async fn endless_bodies_for_http_1_0_callers_take_bounded_memory_and_no_request_of_others() {
    check_responses(&BODIES, HTTP_1_0).await;
    check_responses(&CHUNKED_BODIES[..1], HTTP_1_0).await;
}

/// Guards against an HTTP/1.0 caller that takes part of a long response for the whole.
#[ntex::test]
async fn long_response_to_an_http_1_0_caller_is_whole_or_its_connection_is_reset() {
    let upstream = FaultyUpstream::start(&FINITE_BODIES);
    let fleet = Fleet::start(&[upstream.address]).await;
    let read = async |index: usize| {
        let path = format!("{FAULTY_PATH}{index}");
        let mut stream = send_request(fleet.ingress_address, SERVICE, &path, HTTP_1_0).await;
        let mut response = Vec::new();
        let end = stream.read_to_end(&mut response).await;
        (end.map_err(|error| error.kind()), response)
    };
    let (end, response) = read(0).await;
    let body_start = response
        .windows(4)
        .position(|it| it == b"\r\n\r\n")
        .unwrap()
        + 4;
    assert!(end.is_ok() && !response.starts_with(b"HTTP/1.1 502"));
    assert_eq!(response.len() - body_start, BURST_BYTES);
    let (end, response) = read(1).await;
    let is_failure = response.starts_with(b"HTTP/1.1 502");
    assert!(
        is_failure || end == Err(ErrorKind::ConnectionReset),
        "{end:?}"
    );
}

/// Frame of a connection between nodes.
fn encode_frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_be_bytes()[..], &body].concat()
}

/// Opens a connection to the peer listener that announces a call link.
async fn open_call_link(peer: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(peer).await.unwrap();
    let hello = PeerHello {
        node: "other-1".to_string(),
        incarnation: 7,
        is_call_link: true,
    };
    stream.write_all(&encode_frame(&hello)).await.unwrap();
    stream
}

/// Guards against connections that take descriptors and memory for ever.
#[ntex::test]
async fn call_link_without_a_hello_is_closed() {
    let upstream = FaultyUpstream::start(&[]);
    let fleet = Fleet::start(&[upstream.address]).await;
    let mut stream = open_call_link(fleet.ingress_peer_address).await;
    // A frame as long as is allowed that never ends.
    let length = 4_u32 * 1024 * 1024;
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    let closed = tokio::time::timeout(HELLO_WAIT, stream.read(&mut [0; 1])).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "{closed:?}");
}

/// Guards against replies that are kept without a limit for a node that doesn't read them.
#[ntex::test]
async fn call_link_whose_peer_reads_no_replies_is_closed() {
    let upstream = FaultyUpstream::start(&[]);
    let mut fleet = Fleet::start(&[upstream.address]).await;
    let mut stream = open_call_link(fleet.ingress_peer_address).await;
    let hello = LinkHello {
        node: "other-1".to_string(),
        incarnation: 7,
        generation: 1,
        ..LinkHello::default()
    };
    stream.write_all(&encode_frame(&hello)).await.unwrap();
    let ping = LinkFrame {
        message: Some(LinkMessage::Ping(LinkPing::default())),
    };
    let pings = encode_frame(&ping).repeat(PINGS_PER_WRITE);
    let sending = async { while stream.write_all(&pings).await.is_ok() {} };
    let closed = tokio::time::timeout(UNREAD_WAIT, sending).await;
    let memory = fleet.peak_memory_bytes();
    fleet.assert_all_run();
    assert!(closed.is_ok(), "not closed, {memory:?} bytes");
    assert!(memory[0] <= MAX_MEMORY_BYTES, "{memory:?}");
}
