//! Load of non-idempotent orders from concurrent callers.
//!
//! Each caller records the outcome that it saw of each of its orders. A
//! [`FaultReport`] compares these with the runs that backend servers reported.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::{Client, ClientResponse};
use ntex::time::{Millis, sleep};

use crate::fleet::{Fleet, SERVICE};

const CALLER_COUNT: u64 = 24;
const PAUSE_BETWEEN_ORDERS: Millis = Millis(20);
/// Time limit of an order that can wait for the end of every fault.
pub const LONG_ORDER_TIMEOUT: Duration = Duration::from_secs(4);
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// An order without a response this long after its time limit counts as hung.
/// The margin is for delays on a busy machine.
const HUNG_ORDER_MARGIN: Duration = Duration::from_secs(2);
/// One in this many orders of a caller is large.
const LARGE_ORDER_EVERY: u64 = 20;
/// Size of a large order, more than a link has in flight for one call.
const LARGE_ORDER_BYTES: usize = 400_000;
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Bytes of a foreign response that are printed.
const LOGGED_BODY_BYTES: usize = 80;

/// Outcome of an order as its caller saw it. Reports print the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderOutcome {
    /// Complete response to this order.
    Whole,
    /// Error response of the backend server itself.
    BackendFailure,
    /// Error response that says that the order didn't run.
    NotRun,
    /// Error response that doesn't say whether the order ran.
    Unknown,
    /// Truncated response that the caller could tell from a complete one.
    Cut,
    /// Response that looked complete but was truncated or to another order.
    Foreign,
    /// No response.
    NoAnswer,
    /// A kept connection was closed as the order was sent, so that it must not have run.
    Unread,
}

#[derive(Debug)]
pub struct FinishedOrder {
    pub id: String,
    pub outcome: OrderOutcome,
    /// Whether the caller sent all of it.
    pub is_sent: bool,
    /// Whether its caller is one of those that the load starts with, whose orders tell
    /// whether there is service.
    pub is_steady: bool,
    pub time_limit: Duration,
    pub latency: Duration,
    /// Whether a planned stop ended it although it had to be served or refused.
    pub is_cut_by_stop: bool,
}

/// Where a caller records its orders, until the load stops.
pub struct OrderRecorder {
    finished_orders: Rc<RefCell<Vec<FinishedOrder>>>,
    is_stopping: Rc<Cell<bool>>,
}

impl OrderRecorder {
    pub fn record(&self, order: FinishedOrder) {
        self.finished_orders.borrow_mut().push(order);
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }
}

/// Running load, with the orders that have finished so far.
pub struct OrderLoad {
    finished_orders: Rc<RefCell<Vec<FinishedOrder>>>,
    is_stopping: Rc<Cell<bool>>,
    active_callers: Rc<Cell<u64>>,
}

impl OrderLoad {
    /// Starts the callers; the time limits are assigned to them round-robin.
    pub fn start(fleet: &Fleet, time_limits: &[Duration]) -> Self {
        let load = Self {
            finished_orders: Rc::default(),
            is_stopping: Rc::default(),
            active_callers: Rc::default(),
        };
        for (caller, &time_limit) in (0..CALLER_COUNT).zip(time_limits.iter().cycle()) {
            let client = fleet.client.clone();
            let url = format!("{}/orders", fleet.ingress_url);
            load.add_caller(async move |recorder| {
                let mut number = 0;
                while !recorder.is_stopping() {
                    let order = place_order(&client, &url, time_limit, (caller, number)).await;
                    recorder.record(order);
                    number += 1;
                    sleep(PAUSE_BETWEEN_ORDERS).await;
                }
            });
        }
        load
    }

    /// Starts a further caller, which the end of the load waits for.
    pub fn add_caller(&self, caller: impl AsyncFnOnce(OrderRecorder) + 'static) {
        let recorder = OrderRecorder {
            finished_orders: Rc::clone(&self.finished_orders),
            is_stopping: Rc::clone(&self.is_stopping),
        };
        let active_callers = Rc::clone(&self.active_callers);
        active_callers.set(active_callers.get() + 1);
        ntex::rt::spawn(async move {
            caller(recorder).await;
            active_callers.set(active_callers.get() - 1);
        });
    }

    /// Number of orders that have finished, whatever their outcome.
    pub fn finished_count(&self) -> usize {
        self.finished_orders.borrow().len()
    }

    /// Number of orders of the steady callers with a complete response.
    pub fn whole_count(&self) -> usize {
        let orders = self.finished_orders.borrow();
        let whole = orders
            .iter()
            .filter(|order| order.is_steady && order.outcome == OrderOutcome::Whole);
        whole.count()
    }

    /// Stops the callers and waits for the orders in flight.
    pub async fn stop(self) -> OrderResults {
        self.is_stopping.set(true);
        while self.active_callers.get() > 0 {
            sleep(PAUSE_BETWEEN_ORDERS).await;
        }
        OrderResults {
            orders: self.finished_orders.take(),
        }
    }
}

async fn place_order(
    client: &Client,
    url: &str,
    time_limit: Duration,
    (caller, number): (u64, u64),
) -> FinishedOrder {
    let id = format!("{caller}-{number}");
    let mut body = format!("order {id}").into_bytes();
    if number % LARGE_ORDER_EVERY == LARGE_ORDER_EVERY - 1 {
        body.resize(LARGE_ORDER_BYTES, b'.');
    }
    let request = client
        .post(url)
        .header("currantlift-service", SERVICE)
        .header("currantlift-timeout-ms", time_limit.as_millis().to_string())
        .header("request-id", id.as_str());
    let started_at = Instant::now();
    let exchange = async {
        match request.send_body(body.clone()).await {
            Ok(response) => read_outcome(response, &body).await,
            Err(_) => OrderOutcome::NoAnswer,
        }
    };
    // An exchange that takes this long is past the margin and counts as hung.
    let result = tokio::time::timeout(2 * (time_limit + HUNG_ORDER_MARGIN), exchange).await;
    let outcome = result.unwrap_or(OrderOutcome::NoAnswer);
    FinishedOrder {
        id,
        outcome,
        is_sent: true,
        is_steady: true,
        time_limit,
        latency: started_at.elapsed(),
        is_cut_by_stop: false,
    }
}

async fn read_outcome(response: ClientResponse, sent_body: &[u8]) -> OrderOutcome {
    let outcome_header = response.headers().get("currantlift-outcome");
    let outcome_header = outcome_header.and_then(|value| value.to_str().ok());
    match outcome_header {
        Some("not-run") => return OrderOutcome::NotRun,
        Some(_) => return OrderOutcome::Unknown,
        None => {}
    }
    let status = response.status().as_u16();
    match response.body().limit(2 * LARGE_ORDER_BYTES).await {
        Ok(_) if status >= MIN_SERVER_ERROR_STATUS => OrderOutcome::BackendFailure,
        Ok(body) if body[..] == *sent_body => OrderOutcome::Whole,
        Ok(body) => {
            let start = &body[..body.len().min(LOGGED_BODY_BYTES)];
            println!(
                "foreign response: status {status}, {} bytes for {}, {:?}, {:?}",
                body.len(),
                sent_body.len(),
                response.headers(),
                String::from_utf8_lossy(start)
            );
            OrderOutcome::Foreign
        }
        Err(_) => OrderOutcome::Cut,
    }
}

/// Outcomes of all orders of a load.
pub struct OrderResults {
    orders: Vec<FinishedOrder>,
}

impl OrderResults {
    /// Compares the outcomes that callers saw with the runs by request id.
    pub fn compare_with_runs(&self, runs: &BTreeMap<String, u32>) -> FaultReport {
        let mut report = FaultReport::default();
        for order in &self.orders {
            let run_count = runs.get(&order.id).copied().unwrap_or(0);
            report.hung += u32::from(order.latency > order.time_limit + HUNG_ORDER_MARGIN);
            if !order.is_sent {
                report.broken_uploads += 1;
                let is_served = order.outcome == OrderOutcome::Whole || run_count > 0;
                report.run_in_part += u32::from(is_served);
                continue;
            }
            if order.is_cut_by_stop {
                println!("cut by a planned stop, runs {run_count}: {order:?}");
                report.cut_by_stop += 1;
            }
            if order.outcome == OrderOutcome::NoAnswer {
                println!("no answer, runs {run_count}: {order:?}");
            }
            report.unanswered += u32::from(order.outcome == OrderOutcome::Unread && run_count > 0);
            *report.outcomes.entry(order.outcome).or_default() += 1;
            if order.is_steady {
                report.steady_orders += 1;
                report.steady_whole += u32::from(order.outcome == OrderOutcome::Whole);
            }
            report.lost += u32::from(order.outcome == OrderOutcome::Whole && run_count == 0);
            report.doubled += u32::from(run_count > 1);
            report.false_not_run +=
                u32::from(order.outcome == OrderOutcome::NotRun && run_count > 0);
            report.slowest = report.slowest.max(order.latency);
        }
        report
    }
}

/// Number of orders by outcome, and of those that break a guarantee.
#[derive(Debug, Default)]
pub struct FaultReport {
    pub outcomes: BTreeMap<OrderOutcome, u32>,
    /// Answered completely, but never run.
    pub lost: u32,
    /// Run more than once.
    pub doubled: u32,
    /// Reported as not run, but run.
    pub false_not_run: u32,
    /// Finished after the time limit and the margin.
    pub hung: u32,
    /// Run, and then not answered as a node stopped.
    pub unanswered: u32,
    /// Ended by a planned stop although they had to be served or refused.
    pub cut_by_stop: u32,
    /// Orders that their callers didn't send completely.
    pub broken_uploads: u32,
    /// Those of them that ran, or were answered as if they had.
    pub run_in_part: u32,
    /// Orders of the callers that the load starts with.
    pub steady_orders: u32,
    /// Those of them that got a complete response.
    pub steady_whole: u32,
    /// Longest latency of an order.
    pub slowest: Duration,
}

impl FaultReport {
    /// Number of orders with this outcome.
    pub fn count(&self, outcome: OrderOutcome) -> u32 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Panics if a guarantee was broken, or if half of the steady callers' orders or
    /// more got no complete response.
    pub fn assert_guarantees(&self) {
        let violations = [
            self.lost,
            self.doubled,
            self.false_not_run,
            self.hung,
            self.unanswered,
            self.cut_by_stop,
            self.run_in_part,
        ];
        assert_eq!(
            violations, [0; 7],
            "lost, doubled, false not-run, hung, unanswered, cut by a stop, run in part: {self}"
        );
        assert_eq!(self.count(OrderOutcome::Foreign), 0, "{self}");
        assert_eq!(self.count(OrderOutcome::NoAnswer), 0, "{self}");
        assert!(self.steady_whole * 2 > self.steady_orders, "{self}");
    }
}

impl fmt::Display for FaultReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u32 = self.outcomes.values().sum();
        write!(
            formatter,
            "orders {total} {:?} lost {} doubled {} false not-run {} hung {} unanswered {} \
             cut by a stop {} broken uploads {} run in part {} slowest {:?}",
            self.outcomes,
            self.lost,
            self.doubled,
            self.false_not_run,
            self.hung,
            self.unanswered,
            self.cut_by_stop,
            self.broken_uploads,
            self.run_in_part,
            self.slowest
        )
    }
}
