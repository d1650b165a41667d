//! Callers that break uploads off, and callers that keep connections to a node that
//! stops, until its process is gone.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::time::sleep;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::timeout;

use crate::fleet::SERVICE;
use crate::load::{FinishedOrder, OrderLoad, OrderOutcome};
use crate::raw::{RawCaller, RawResponse};

const BREAKING_CALLERS: u64 = 3;
/// Callers of each node that stops.
const STOP_CALLERS: u64 = 6;
const MAX_UPLOAD_BYTES: usize = 400_000;
const SMALL_ORDER_BYTES: usize = 200;
/// One in this many orders at a node that stops is an upload.
const LARGE_ORDER_EVERY: u64 = 4;
const UPLOAD_CHUNK_BYTES: usize = 10_000;
/// Longest service time of a short order at a node that stops, and of a long one: the time
/// from SIGTERM until the node would be killed.
const MAX_SHORT_WORK_MS: u64 = 1_000;
const MAX_LONG_WORK_MS: u64 = 6_000;
/// One in this many orders at a node that stops is long.
const LONG_ORDER_EVERY: u64 = 3;
const TIME_LIMIT: Duration = Duration::from_millis(1_500);
/// Time limits of long orders; work may take longer.
const LONG_TIME_LIMIT_MS: (u64, u64) = (500, 8_000);
/// Longest wait for an answer, which counts as hung.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(11);
/// Time after SIGTERM in which callers leave, and a node sees the signal.
const TIME_TO_LEAVE: Duration = Duration::from_millis(3_100);
/// Time after SIGTERM from which a node may end what was sent before.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// Time after which a node has read what was sent to it.
const READ_BOUND: Duration = Duration::from_secs(1);
const MAX_PAUSE_MS: u64 = 100;
/// Part of the answer to an order that a planned stop has ended.
const STOP_ERROR: &str = "\"draining\"";

/// When a node was told to stop, shared by its callers.
#[derive(Clone, Default)]
pub struct StopMoment(Rc<Cell<Option<Instant>>>);

impl StopMoment {
    pub fn set_now(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Whether a stop may end an order that was sent at `started_at` by now.
    fn may_cut(&self, started_at: Instant) -> bool {
        self.0.get().is_some_and(|stopped_at| {
            started_at < stopped_at + TIME_TO_LEAVE && stopped_at.elapsed() >= LAST_SIXTH
        })
    }
}

/// Order with its encoded head and body.
struct RawOrder {
    id: String,
    time_limit: Duration,
    body: Vec<u8>,
    head: Vec<u8>,
    encoded_body: Vec<u8>,
}

impl RawOrder {
    fn draw(
        rng: &mut StdRng,
        id: String,
        max_bytes: usize,
        (work_ms, time_limit): (u64, Duration),
    ) -> Self {
        let mut body = format!("order {id}").into_bytes();
        body.resize(rng.random_range(body.len()..=max_bytes), b'.');
        let is_chunked = rng.random_bool(0.5);
        let (framing, encoded_body) = if is_chunked {
            let mut encoded = Vec::new();
            for chunk in body.chunks(UPLOAD_CHUNK_BYTES) {
                encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                encoded.extend_from_slice(chunk);
                encoded.extend_from_slice(b"\r\n");
            }
            encoded.extend_from_slice(b"0\r\n\r\n");
            ("transfer-encoding: chunked".to_string(), encoded)
        } else {
            (format!("content-length: {}", body.len()), body.clone())
        };
        let head = format!(
            "POST /orders HTTP/1.1\r\nhost: {SERVICE}\r\nrequest-id: {id}\r\n\
             currantlift-timeout-ms: {}\r\nstandin-work-us: {}\r\n{framing}\r\n\r\n",
            time_limit.as_millis(),
            work_ms * 1_000
        );
        Self {
            id,
            time_limit,
            body,
            head: head.into_bytes(),
            encoded_body,
        }
    }

    fn outcome_of(&self, response: &RawResponse) -> OrderOutcome {
        match response.headers.get("currantlift-outcome") {
            Some(text) if text == "not-run" => OrderOutcome::NotRun,
            Some(_) => OrderOutcome::Unknown,
            None if response.status >= 500 => OrderOutcome::BackendFailure,
            None if response.body == self.body => OrderOutcome::Whole,
            None => OrderOutcome::Foreign,
        }
    }

    fn finish(&self, outcome: OrderOutcome, is_sent: bool, started_at: Instant) -> FinishedOrder {
        FinishedOrder {
            id: self.id.clone(),
            outcome,
            is_sent,
            is_steady: false,
            time_limit: self.time_limit,
            latency: started_at.elapsed(),
            is_cut_by_stop: false,
        }
    }
}

/// What a caller got, and when it had sent all.
struct Exchange {
    outcome: OrderOutcome,
    /// Whether the answer names a planned stop as the cause of an unknown outcome.
    is_ended_by_stop: bool,
    sent_at: Option<Instant>,
    is_connection_kept: bool,
}

/// Sends bytes and reads the answer to an order meanwhile.
async fn exchange(
    caller: &mut RawCaller,
    bytes: &[u8],
    ends_sending: bool,
    order: &RawOrder,
) -> Exchange {
    let RawCaller { sender, reader } = caller;
    let (mut sent_at, mut is_ended_by_stop) = (None, false);
    let sending = async {
        sender.send_bytes(bytes).await;
        sent_at = Some(Instant::now());
        if ends_sending {
            sender.end().await;
        }
        std::future::pending::<()>().await;
    };
    let reading = async {
        let head = match reader.read_head().await {
            Ok(head) => head,
            Err(part) if part.is_empty() => return (OrderOutcome::Unread, false),
            Err(_) => return (OrderOutcome::Cut, false),
        };
        match reader.read_body_of(head).await {
            Ok(response) => {
                let is_unknown = order.outcome_of(&response) == OrderOutcome::Unknown;
                let body = String::from_utf8_lossy(&response.body);
                is_ended_by_stop = is_unknown && body.contains(STOP_ERROR);
                let connection = response.headers.get("connection").map(String::as_str);
                (order.outcome_of(&response), connection != Some("close"))
            }
            Err(_) => (OrderOutcome::Cut, false),
        }
    };
    let (outcome, is_connection_kept) = tokio::select! {
        result = timeout(ANSWER_TIMEOUT, reading) => {
            result.unwrap_or((OrderOutcome::NoAnswer, false))
        }
        () = sending => unreachable!("sending never returns"),
    };
    Exchange {
        outcome,
        is_ended_by_stop,
        sent_at,
        is_connection_kept,
    }
}

/// Has callers of a node end uploads at random bytes until the load stops.
pub fn break_off_uploads(load: &OrderLoad, address: SocketAddr, seed: u64) {
    for caller in 0..BREAKING_CALLERS {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(BREAKING_CALLERS) + caller);
        load.add_caller(async move |recorder| {
            for number in 0.. {
                if recorder.is_stopping() {
                    return;
                }
                let id = format!("broken-{caller}-{number}");
                recorder.record(break_off_upload(&mut rng, address, id).await);
                sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
            }
        });
    }
}

async fn break_off_upload(rng: &mut StdRng, address: SocketAddr, id: String) -> FinishedOrder {
    let order = RawOrder::draw(rng, id, MAX_UPLOAD_BYTES, (0, TIME_LIMIT));
    let offset = rng.random_range(0..order.encoded_body.len());
    let bytes = [&order.head[..], &order.encoded_body[..offset]].concat();
    let started_at = Instant::now();
    let mut caller = RawCaller::connect(address).await;
    let end = rng.random_range(0..4);
    let outcome = match end {
        0 | 1 => {
            caller.send_bytes(&bytes).await;
            if end == 0 {
                caller.reset();
            }
            OrderOutcome::Unread
        }
        // The caller ends its sending direction, or stalls until the time limit.
        _ => {
            exchange(&mut caller, &bytes, end == 2, &order)
                .await
                .outcome
        }
    };
    order.finish(outcome, false, started_at)
}

/// Has callers use a node on kept connections until it accepts none any more.
pub fn use_node_until_it_is_gone(
    load: &OrderLoad,
    address: SocketAddr,
    seed: u64,
    stop_moment: &StopMoment,
) {
    for number in 0..STOP_CALLERS {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(STOP_CALLERS) + number);
        let name = format!("stop-{seed}-{number}");
        let stop_moment = stop_moment.clone();
        load.add_caller(async move |recorder| {
            let mut connection = None;
            for number in 0.. {
                if recorder.is_stopping() {
                    return;
                }
                let is_accepted = connection.is_some();
                let caller = match connection.take() {
                    Some(caller) => caller,
                    None => match RawCaller::try_connect(address).await {
                        Ok(caller) => caller,
                        // The node accepts no connections any more.
                        Err(_) => return,
                    },
                };
                let max_bytes = match number % LARGE_ORDER_EVERY {
                    0 => MAX_UPLOAD_BYTES,
                    _ => SMALL_ORDER_BYTES,
                };
                let times = if number % LONG_ORDER_EVERY == 0 {
                    let (min_ms, max_ms) = LONG_TIME_LIMIT_MS;
                    let limit_ms = rng.random_range(min_ms..=max_ms);
                    let work_ms = rng.random_range(0..=MAX_LONG_WORK_MS);
                    (work_ms, Duration::from_millis(limit_ms))
                } else {
                    (rng.random_range(0..MAX_SHORT_WORK_MS), TIME_LIMIT)
                };
                let id = format!("{name}-{number}");
                let order = RawOrder::draw(&mut rng, id, max_bytes, times);
                let placed = place_order(caller, is_accepted, &order, &stop_moment).await;
                recorder.record(placed.0);
                connection = placed.1;
            }
        });
    }
}

/// Places an order; returns it, and the connection if it is kept. A connection that the node has
/// not answered on may not have been accepted.
async fn place_order(
    mut caller: RawCaller,
    is_accepted: bool,
    order: &RawOrder,
    stop_moment: &StopMoment,
) -> (FinishedOrder, Option<RawCaller>) {
    let started_at = Instant::now();
    let bytes = [&order.head[..], &order.encoded_body].concat();
    let exchange = exchange(&mut caller, &bytes, false, order).await;
    let sent_at = exchange.sent_at;
    let is_read = is_accepted && sent_at.is_some_and(|sent_at| sent_at.elapsed() > READ_BOUND);
    let outcome = match exchange.outcome {
        OrderOutcome::Unread if is_read => OrderOutcome::NoAnswer,
        outcome => outcome,
    };
    let order = FinishedOrder {
        is_cut_by_stop: exchange.is_ended_by_stop && !stop_moment.may_cut(started_at),
        ..order.finish(outcome, true, started_at)
    };
    let is_kept = exchange.is_connection_kept && exchange.sent_at.is_some();
    (order, is_kept.then_some(caller))
}
