//! Ingress: takes callers' HTTP requests and has an upstream answer them.
//!
//! Each traffic thread serves its own connections over its own links. Routing
//! state, retry budgets and shares are one per node and guarded by locks that
//! are held for one decision at a time.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod call;
pub mod request;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

use crate::admission::ShareTable;
use crate::ids::{NodeId, NodeIncarnation};
use crate::ingress::answer::{CallFailure, failure_response, success_response};
use crate::ingress::body::discard_body;
use crate::ingress::call::CallDriver;
use crate::ingress::request::RequestFacts;
use crate::link::call_link::UpstreamNotice;
use crate::link::pool::LinkPool;
use crate::retry::RetryPolicy;
use crate::routing::{LoadReport, RouterState};
use crate::table::RoutingTable;

/// Largest number of attempts whose number fits beside the call's own.
pub const ATTEMPTS_PER_CALL: u64 = 16;

/// State that all traffic threads of a node share.
pub struct IngressShared {
    /// Incarnation of the node; part of every call id.
    pub incarnation: NodeIncarnation,
    /// Routing decisions.
    pub router: Mutex<RouterState>,
    /// Retry decisions.
    pub retries: Mutex<RetryPolicy>,
    /// In-flight work per service and team.
    pub shares: Mutex<ShareTable>,
    /// Table in use.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// Whether a planned stop has begun.
    pub is_stopping: watch::Receiver<bool>,
    started: Instant,
    next_call: AtomicU64,
    in_flight: AtomicU64,
}

impl IngressShared {
    /// New state for a node that has just started.
    pub fn new(
        incarnation: NodeIncarnation,
        router: RouterState,
        table: watch::Receiver<Arc<RoutingTable>>,
        is_stopping: watch::Receiver<bool>,
        started: Instant,
    ) -> Self {
        Self {
            incarnation,
            router: Mutex::new(router),
            retries: Mutex::new(RetryPolicy::new()),
            shares: Mutex::default(),
            table,
            is_stopping,
            started,
            next_call: AtomicU64::new(1),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Time since the node started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// First sequence number of a new call; its attempts count up from it.
    pub fn next_sequence(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed) * ATTEMPTS_PER_CALL
    }

    /// Callers' requests that have no whole answer yet.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn enter(self: &Arc<Self>) -> InFlightGuard {
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

/// Serves one request.
pub async fn serve_request(
    worker: State<Rc<IngressWorker>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let worker = Rc::clone(&worker);
    let guard = worker.shared.enter();
    let table = Arc::clone(&worker.shared.table.borrow());
    let is_stopping = *worker.shared.is_stopping.borrow();
    let mut response = match RequestFacts::check(&request, &table) {
        Ok(facts) => {
            let call = CallDriver::new(worker, facts, payload);
            match call.run().await {
                Ok(answer) => success_response(&request, answer, guard),
                Err(failure) => refuse(&failure),
            }
        }
        Err(kind) => {
            discard_body(payload).await;
            refuse(&kind.into())
        }
    };
    if is_stopping {
        // The caller should use another node for its next request.
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

/// Answers a request that got no answer of a backend server.
fn refuse(failure: &CallFailure) -> HttpResponse {
    let call = failure.call.map(|call| call.to_string());
    log::info!(
        target: "routing",
        call = call.as_deref().unwrap_or("none"),
        kind = failure.kind.code(),
        outcome:% = failure.outcome;
        "request refused or failed"
    );
    failure_response(failure)
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
    mut notices: UnboundedReceiver<(NodeId, UpstreamNotice)>,
) {
    while let Some((node, notice)) = notices.recv().await {
        let now = shared.now();
        let mut router = lock(&shared.router);
        match notice {
            UpstreamNotice::Load(load) => {
                let report = LoadReport {
                    in_flight: load.in_flight,
                    queued: load.queued,
                    limit: load.limit,
                };
                router.on_report(now, &node, report);
            }
            UpstreamNotice::Leaving => router.on_leaving(now, &node),
            UpstreamNotice::LinkLost => {}
        }
    }
}
