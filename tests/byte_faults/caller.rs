//! Callers that send requests as planned and classify what they get.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::time::sleep;

use crate::raw::{RawCaller, RawResponse, RawSender};
use crate::script::{CallerEnd, ConnectionEnd, RequestPlan};
use crate::upstream::RunLog;

/// Time beyond a request's time limit after which it counts as hung. The margin is for
/// delays on a busy machine.
const HUNG_MARGIN: Duration = Duration::from_secs(3);
const MALFORMED_CHUNK: &[u8] = b"no chunk\r\n";

/// What a caller got.
#[derive(Debug)]
pub enum CallOutcome {
    /// The caller left before any answer.
    Left,
    Answered(RawResponse),
    /// The connection ended within the answer.
    BrokenOff,
    /// The connection ended without a byte of an answer.
    NoAnswer,
    Hung,
}

/// Caller with the connection that it keeps.
pub struct ByteCaller {
    address: SocketAddr,
    connection: Option<RawCaller>,
}

impl ByteCaller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    async fn take_connection(&mut self, log: &RunLog) -> RawCaller {
        if let Some(mut connection) = self.connection.take() {
            let excess = connection.reader.take_excess();
            if !excess.is_empty() {
                let excess = String::from_utf8_lossy(&excess).into_owned();
                log.report(format!("bytes after an answer: {excess:?}"));
            }
            if !connection.reader.is_closed() {
                return connection;
            }
        }
        RawCaller::connect(self.address).await
    }

    /// Sends a request and waits for what comes of it.
    pub async fn send(&mut self, plan: &RequestPlan, log: &RunLog) -> CallOutcome {
        let mut connection = self.take_connection(log).await;
        let request = render_request(plan);
        if let CallerEnd::Leaves(_, end) = plan.end {
            connection.sender.send_in_pieces(&request, plan).await;
            if end == ConnectionEnd::Reset {
                connection.reset();
            }
            return CallOutcome::Left;
        }
        let time_limit = plan.time_limit + HUNG_MARGIN;
        let answered = tokio::time::timeout(time_limit, exchange(&mut connection, &request, plan));
        let Ok((outcome, is_sent)) = answered.await else {
            return CallOutcome::Hung;
        };
        if let CallOutcome::Answered(response) = &outcome {
            let closes = response.headers.get("connection").map(String::as_str) == Some("close");
            if is_sent && plan.end == CallerEnd::Whole && !closes {
                self.connection = Some(connection);
            }
        }
        outcome
    }
}

fn render_request(plan: &RequestPlan) -> Vec<u8> {
    let (body, _) = plan.encoded_body();
    let framing = if plan.is_chunked {
        "Transfer-Encoding: chunked\r\n".to_string()
    } else if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!(
        "{} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{framing}\r\n",
        plan.kind.method_and_path(),
        crate::fleet::HOST,
        plan.id,
        plan.time_limit.as_millis()
    );
    let sent_body = match plan.end {
        CallerEnd::Whole => body,
        CallerEnd::MalformedChunk(offset) => [&body[..offset], MALFORMED_CHUNK].concat(),
        CallerEnd::Leaves(offset, _) | CallerEnd::HalfClose(offset) | CallerEnd::Stall(offset) => {
            body[..offset].to_vec()
        }
    };
    [head.as_bytes(), &sent_body].concat()
}

/// Sends and reads at the same time, until the response has been read; returns whether
/// all had been sent by then.
async fn exchange(
    connection: &mut RawCaller,
    request: &[u8],
    plan: &RequestPlan,
) -> (CallOutcome, bool) {
    let RawCaller { sender, reader } = connection;
    let mut is_sent = false;
    let sending = async {
        sender.send_in_pieces(request, plan).await;
        is_sent = true;
        if matches!(plan.end, CallerEnd::HalfClose(_)) {
            sender.end().await;
        }
        std::future::pending::<()>().await;
    };
    let reading = async {
        let head = match reader.read_head().await {
            Ok(head) => head,
            Err(part) if part.is_empty() => return CallOutcome::NoAnswer,
            Err(_) => return CallOutcome::BrokenOff,
        };
        match reader.read_body_of(head).await {
            Ok(response) => CallOutcome::Answered(response),
            Err(_) => CallOutcome::BrokenOff,
        }
    };
    let outcome = tokio::select! {
        outcome = reading => outcome,
        () = sending => unreachable!("sending never returns"),
    };
    (outcome, is_sent)
}

impl RawSender {
    async fn send_in_pieces(&mut self, bytes: &[u8], plan: &RequestPlan) {
        let (piece_bytes, pause) = plan.piece;
        for piece in bytes.chunks(piece_bytes) {
            self.send_bytes(piece).await;
            sleep(pause).await;
        }
    }
}
