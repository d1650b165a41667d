//! Ingress: takes callers' HTTP requests and has an upstream answer them.
//!
//! Each traffic thread serves its own connections over its own links. Routing
//! state, retry budgets and shares are one per node and guarded by locks that
//! are held for one decision at a time.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod call;
pub mod connection;
pub mod hedge;
pub mod placing;
pub mod request;
pub mod returns;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

use crate::admission::ShareTable;
use crate::error::{ErrorKind, RunOutcome};
use crate::fields::CallDialect;
use crate::http1::RequestHead;
use crate::ids::{NodeId, NodeIncarnation, ServiceName};
use crate::ingress::body::BodyPieces;
use crate::ingress::call::CallDriver;
use crate::ingress::connection::CallResult;
use crate::ingress::hedge::AnswerTimes;
use crate::ingress::request::{RequestCheck, RequestFacts};
use crate::ingress::returns::ReturnBook;
use crate::link::call_link::UpstreamEvent;
use crate::link::pool::LinkPool;
use crate::metrics::NodeMetrics;
use crate::retry::{RetryOptions, RetryPolicy};
use crate::routes::SplitTable;
use crate::routing::{LoadReport, RouterState};
use crate::table::RoutingTable;

/// Largest number of attempts whose number fits beside the call's own.
pub const ATTEMPTS_PER_CALL: u64 = 16;

/// Time after its start in which a node learns the configuration and the others,
/// also where a whole fleet starts at once.
const START_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks of a waiting call at what the node has learnt.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Callers are served on, and told to use another connection next.
    Leaving,
    /// New connections and further requests are no longer taken.
    Closed,
}

/// State that all traffic threads of a node share.
pub struct IngressShared {
    /// Incarnation of the node; part of every call id.
    pub incarnation: NodeIncarnation,
    /// Routing decisions.
    pub router: Mutex<RouterState>,
    /// Retry decisions.
    pub retries: Mutex<RetryPolicy>,
    /// Usual times of answers.
    pub times: Mutex<AnswerTimes>,
    /// Callers that may come back.
    pub returns: Mutex<ReturnBook>,
    /// In-flight work per service and team.
    pub shares: Mutex<ShareTable>,
    /// Table in use.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// How far a planned stop has come.
    pub stop_phase: watch::Receiver<StopPhase>,
    /// Names of the fields that callers and backend servers use.
    pub dialect: &'static CallDialect,
    /// Whether requests are served by routes, of which none may be known yet.
    pub has_routes: bool,
    /// Weighted splits of routes.
    pub splits: Mutex<SplitTable>,
    /// Service of this VM, told to backend servers, if it is set.
    pub home_service: Option<ServiceName>,
    /// Gates that a call asks for a free slot before it joins a queue.
    pub asks: u32,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
    started: Instant,
    next_call: AtomicU64,
    in_flight: AtomicU64,
    connections: AtomicU64,
}

/// What an ingress is started with.
#[derive(Debug, Clone)]
pub struct IngressSettings {
    /// Names of the fields that callers and backend servers use.
    pub dialect: &'static CallDialect,
    /// Whether requests are served by routes.
    pub has_routes: bool,
    /// Service of this VM.
    pub home_service: Option<ServiceName>,
    /// Gates that a call asks for a free slot before it joins a queue.
    pub asks: u32,
    /// Bounds on retries.
    pub retries: RetryOptions,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
    /// Time at which the node started.
    pub started: Instant,
}

impl IngressShared {
    /// New state for a node that has just started.
    pub fn new(
        incarnation: NodeIncarnation,
        router: RouterState,
        table: watch::Receiver<Arc<RoutingTable>>,
        stop_phase: watch::Receiver<StopPhase>,
        settings: IngressSettings,
    ) -> Self {
        Self {
            incarnation,
            router: Mutex::new(router),
            retries: Mutex::new(RetryPolicy::new(settings.retries)),
            times: Mutex::default(),
            returns: Mutex::default(),
            shares: Mutex::default(),
            table,
            stop_phase,
            dialect: settings.dialect,
            has_routes: settings.has_routes,
            splits: Mutex::default(),
            home_service: settings.home_service,
            asks: settings.asks,
            metrics: settings.metrics,
            started: settings.started,
            next_call: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        }
    }

    /// Time since the node started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time for which the node may still be learning what it needs, as it has
    /// just started; zero afterwards.
    pub fn start_left(&self) -> Duration {
        START_TIME.saturating_sub(self.now())
    }

    /// Waits for the first routes while the node may still be learning them.
    async fn wait_for_routes(&self) {
        if !self.has_routes || self.table.borrow().routes.is_some() {
            return;
        }
        let mut table = self.table.clone();
        let arriving = table.wait_for(|table| table.routes.is_some());
        // Without them the request is refused by what the table says.
        let _ = tokio::time::timeout(self.start_left(), arriving).await;
    }

    /// Waits for the next table, for at most `limit` and no longer than a look
    /// costs little.
    pub async fn wait_for_table(&self, limit: Duration) {
        let mut table = self.table.clone();
        table.mark_unchanged();
        // The caller looks again whether there is a new one or not.
        let _ = tokio::time::timeout(limit.min(LOOK_PAUSE), table.changed()).await;
    }

    /// First sequence number of a new call; its attempts count up from it.
    pub fn next_sequence(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed) * ATTEMPTS_PER_CALL
    }

    /// Callers' requests that have no whole answer yet.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Callers' connections that may still have a request to answer.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Counts a caller's connection while the guard lives.
    pub fn connect(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard {
            shared: Arc::clone(self),
        }
    }

    /// Waits until no further request is taken.
    pub async fn closed(&self) {
        let mut phase = self.stop_phase.clone();
        // A control thread that has ended takes no more requests either.
        let _ = phase.wait_for(|phase| *phase == StopPhase::Closed).await;
    }

    /// Counts a request as in flight while the guard lives.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            shared: Arc::clone(self),
        }
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard {
    shared: Arc<IngressShared>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one caller's connection until it is dropped.
pub struct ConnectionGuard {
    shared: Arc<IngressShared>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a decision's state. A panic in another thread leaves the state
/// usable, since each decision changes it in one step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ingress of one traffic thread.
pub struct IngressWorker {
    /// State shared with the other threads.
    pub shared: Arc<IngressShared>,
    /// Links of this thread.
    pub pool: Rc<LinkPool>,
    /// Generator of this thread.
    pub rng: RefCell<StdRng>,
}

/// Serves one request, up to its answer or the reason why it has none.
///
/// # Errors
///
/// The failure that the caller is told.
pub async fn serve_call(
    worker: Rc<IngressWorker>,
    head: RequestHead,
    body: Option<BodyPieces>,
) -> CallResult {
    let arrived = tokio::time::Instant::now();
    let target = head.target.clone();
    worker.shared.wait_for_routes().await;
    match check_request(&worker, head) {
        Ok(facts) => CallDriver::new(worker, facts, body, arrived).run().await,
        Err(kind) => {
            let outcome = RunOutcome::NotRun.to_string();
            let metrics = &worker.shared.metrics;
            metrics.count_call("", kind.code(), &outcome, Duration::ZERO);
            log::warn!(
                target: "ingress",
                path = target.as_str(),
                kind = kind.code(), outcome:% = RunOutcome::NotRun,
                status = kind.answer_row().status,
                table = worker.shared.table.borrow().version;
                "request rejected"
            );
            Err(kind.into())
        }
    }
}

fn check_request(worker: &IngressWorker, head: RequestHead) -> Result<RequestFacts, ErrorKind> {
    let shared = &worker.shared;
    let table = Arc::clone(&shared.table.borrow());
    if table.routes.is_none() && shared.has_routes {
        return Err(ErrorKind::NoConfig);
    }
    RequestCheck {
        table: &table,
        dialect: shared.dialect,
        splits: &mut lock(&shared.splits),
        rng: &mut *worker.rng.borrow_mut(),
    }
    .check(head)
}

/// Closes links to gates that no table has any more, until control ends.
pub async fn close_unused_links(shared: Arc<IngressShared>, pool: Rc<LinkPool>) {
    let mut table = shared.table.clone();
    while table.changed().await.is_ok() {
        let nodes = upstream_nodes(&table.borrow_and_update());
        pool.retain(|node| nodes.contains(node));
    }
}

fn upstream_nodes(table: &RoutingTable) -> BTreeSet<NodeId> {
    let services = table.services.values();
    services
        .flat_map(|entry| entry.upstreams.keys().cloned())
        .collect()
}

/// Feeds routing with what links tell about upstreams.
pub async fn follow_notices(
    shared: Arc<IngressShared>,
    mut notices: UnboundedReceiver<(NodeId, UpstreamEvent)>,
) {
    while let Some((node, notice)) = notices.recv().await {
        let now = shared.now();
        let mut router = lock(&shared.router);
        match notice {
            UpstreamEvent::Load(load) => {
                let report = LoadReport {
                    in_flight: load.in_flight,
                    queued: load.queued,
                    limit: load.limit,
                    is_slow: load.is_slow,
                };
                router.on_report(now, &node, report);
            }
            UpstreamEvent::Leaving => router.on_leaving(now, &node),
            UpstreamEvent::LinkLost => {}
        }
    }
}

#[cfg(test)]
mod tests;
