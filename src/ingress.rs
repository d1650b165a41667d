//! Ingress: accepts callers' HTTP requests and has an upstream serve each one.
//!
//! Each worker thread serves its own callers' connections over its own links
//! to gates. Routing state, retry budgets and in-flight shares are common to
//! all threads of a node; each is behind a lock that is held for one decision
//! at a time.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod call;
pub mod callers;
pub mod connection;
pub mod eviction;
pub mod hedge;
pub mod identity;
pub mod in_flight;
pub mod placing;
pub mod request;
pub mod returns;
pub mod stop_times;
pub mod zones;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Semaphore, watch};

use crate::admission::ShareUsage;
use crate::error::{ErrorKind, RunOutcome};
use crate::fields::HeaderDialect;
use crate::http1::RequestHead;
use crate::http1::head::field_text;
use crate::ids::{NodeId, NodeIncarnation, ServiceName};
use crate::ingress::body::BodyReceiver;
use crate::ingress::call::CallDriver;
use crate::ingress::callers::{CallerAccount, RequestUsage};
use crate::ingress::connection::{CallResult, RESPONSE_RESERVE_BYTES};
use crate::ingress::hedge::ResponseLatencies;
use crate::ingress::in_flight::{
    InFlightGuard, InFlightRequest, InFlightRequests, RequestProgress,
};
use crate::ingress::request::{RequestResolver, ResolvedRequest};
use crate::ingress::returns::CallerRetryTracker;
use crate::ingress::stop_times::StopTimes;
use crate::link::call_link::UpstreamEvent;
use crate::link::messages::KnownBackendStatement;
use crate::link::pool::LinkPool;
use crate::metrics::NodeMetrics;
use crate::quarantine::QuarantineHub;
use crate::quota::QuotaHub;
use crate::rate_limit::{KnownStatement, StartRate};
use crate::resources::ResourceLimits;
use crate::retry::{RetryOptions, RetryPolicy};
use crate::routes::SplitSelector;
use crate::routing::{LoadReport, RouterState};
use crate::table::RoutingTable;

/// Sequence numbers reserved for each call: its own, followed by those of its
/// offers to gates.
pub const SEQUENCE_NUMBERS_PER_CALL: u64 = 16;

/// Time after its start within which a node learns the configuration and the
/// other nodes, even when a whole fleet starts at once.
const STARTUP_WINDOW: Duration = Duration::from_secs(1);
/// Longest time that a call waiting for an upstream goes without checking the
/// routing table again.
const TABLE_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Requests are still served, but responses ask callers to use another
    /// connection next.
    Draining,
    /// New connections and further requests are no longer accepted.
    Closed,
}

/// State shared by all worker threads of a node.
pub struct IngressState {
    /// Incarnation of the node, part of every call id.
    pub incarnation: NodeIncarnation,
    /// Upstream selection and the load reports behind it.
    pub router: Mutex<RouterState>,
    /// Retry budgets and decisions.
    pub retry_policy: Mutex<RetryPolicy>,
    /// Usual response latencies by request class, from which the hedge delay
    /// follows.
    pub latencies: Mutex<ResponseLatencies>,
    /// Refused requests that their callers may retry.
    pub caller_retries: Mutex<CallerRetryTracker>,
    /// Requests in flight per service and team.
    pub in_flight_shares: Mutex<ShareUsage>,
    /// Routing table in use.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// Phase of a planned stop.
    pub stop_phase: watch::Receiver<StopPhase>,
    /// Header field names used by callers and backend servers.
    pub dialect: &'static HeaderDialect,
    /// Whether requests are matched against routes; none may be known yet.
    pub uses_routes: bool,
    /// State of the weighted traffic splits of routes.
    pub traffic_splits: Mutex<SplitSelector>,
    /// Service of this VM, stated to backend servers; `None` if not configured.
    pub local_service: Option<ServiceName>,
    /// Gates that are offered a call for an immediate start before it joins a
    /// queue; with 0 the first gate may queue it.
    pub max_immediate_offers: u32,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
    /// Evidence against requests that crash backend servers.
    pub quarantine: Arc<QuarantineHub>,
    /// Quotas of tenants.
    pub quotas: Arc<QuotaHub>,
    started_at: Instant,
    next_call_number: AtomicU64,
    in_flight: InFlightRequests,
    /// Bytes that responses may buffer beyond their own share.
    pub response_reserve: Arc<Semaphore>,
    /// Callers' connections and what is held for them.
    pub callers: Arc<CallerAccount>,
    /// Times of the planned stop; `None` if none has begun.
    stop_times: watch::Sender<Option<StopTimes>>,
    open_connections: AtomicU64,
}

/// Start settings of an ingress.
#[derive(Debug, Clone)]
pub struct IngressSettings {
    /// Header field names used by callers and backend servers.
    pub dialect: &'static HeaderDialect,
    /// Whether requests are matched against routes.
    pub uses_routes: bool,
    /// Service of this VM; `None` if not configured.
    pub local_service: Option<ServiceName>,
    /// Gates that are offered a call for an immediate start before it joins a
    /// queue; with 0 the first gate may queue it.
    pub max_immediate_offers: u32,
    /// Bounds on retries.
    pub retry_options: RetryOptions,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
    /// Evidence against requests that crash backend servers.
    pub quarantine: Arc<QuarantineHub>,
    /// Limits on what is held for others.
    pub resource_limits: ResourceLimits,
    /// Start of the node, from which its clock counts.
    pub started_at: Instant,
}

impl IngressState {
    /// State of a node that has just started.
    pub fn new(
        incarnation: NodeIncarnation,
        router: RouterState,
        table: watch::Receiver<Arc<RoutingTable>>,
        stop_phase: watch::Receiver<StopPhase>,
        settings: IngressSettings,
    ) -> Self {
        let callers = CallerAccount::new(
            &settings.resource_limits,
            settings.started_at,
            Arc::clone(&settings.metrics),
        );
        Self {
            callers: Arc::new(callers),
            incarnation,
            router: Mutex::new(router),
            retry_policy: Mutex::new(RetryPolicy::new(settings.retry_options)),
            latencies: Mutex::default(),
            caller_retries: Mutex::default(),
            in_flight_shares: Mutex::default(),
            table,
            stop_phase,
            dialect: settings.dialect,
            uses_routes: settings.uses_routes,
            traffic_splits: Mutex::default(),
            local_service: settings.local_service,
            max_immediate_offers: settings.max_immediate_offers,
            metrics: settings.metrics,
            quarantine: settings.quarantine,
            quotas: Arc::new(QuotaHub::without_peers(settings.started_at)),
            started_at: settings.started_at,
            next_call_number: AtomicU64::new(1),
            in_flight: InFlightRequests::default(),
            response_reserve: Arc::new(Semaphore::new(RESPONSE_RESERVE_BYTES)),
            stop_times: watch::Sender::new(None),
            open_connections: AtomicU64::new(0),
        }
    }

    /// Replaces the quotas, which are none by default.
    pub fn with_quotas(self, quotas: Arc<QuotaHub>) -> Self {
        Self { quotas, ..self }
    }

    /// Time since the node started, the clock of all decisions.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Time for which the node may still be learning the configuration and the
    /// other nodes; zero once the startup window has passed.
    pub fn startup_time_left(&self) -> Duration {
        STARTUP_WINDOW.saturating_sub(self.now())
    }

    /// Waits for the first routes, at most until the startup window has passed.
    async fn wait_for_routes(&self) {
        if !self.uses_routes || self.table.borrow().routes.is_some() {
            return;
        }
        let mut table = self.table.clone();
        let routes_known = table.wait_for(|table| table.routes.is_some());
        // Without routes the request is rejected when it is resolved.
        let _ = tokio::time::timeout(self.startup_time_left(), routes_known).await;
    }

    /// Waits for the next routing table, for at most `limit` and the recheck
    /// interval.
    pub async fn wait_for_table_update(&self, limit: Duration) {
        let mut table = self.table.clone();
        table.mark_unchanged();
        // The caller checks the table again in either case.
        let _ = tokio::time::timeout(limit.min(TABLE_RECHECK_INTERVAL), table.changed()).await;
    }

    /// Reserves the sequence numbers of a new call and returns the first; those
    /// of its offers count up from it.
    pub fn reserve_call_sequence(&self) -> u64 {
        self.next_call_number.fetch_add(1, Ordering::Relaxed) * SEQUENCE_NUMBERS_PER_CALL
    }

    /// Callers' requests whose response has not been fully written.
    pub fn in_flight_requests(&self) -> u64 {
        self.in_flight.count()
    }

    /// Requests in flight, the oldest first, at most `limit`.
    pub fn oldest_requests(&self, limit: usize) -> Vec<InFlightRequest> {
        self.in_flight.oldest(limit)
    }

    /// Callers' connections that are not closed yet.
    pub fn open_connections(&self) -> u64 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a caller's connection as open while the guard lives.
    pub fn track_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard {
            shared: Arc::clone(self),
        }
    }

    /// Waits until no further requests are accepted.
    pub async fn wait_until_closed(&self) {
        let mut phase = self.stop_phase.clone();
        // If the control thread has ended, no further requests are accepted
        // either.
        let _ = phase.wait_for(|phase| *phase == StopPhase::Closed).await;
    }

    /// Follows the times of a planned stop that begins.
    pub fn begin_stop(&self, times: StopTimes) {
        self.stop_times.send_replace(Some(times));
    }

    /// Times of the planned stop; `None` if none has begun.
    pub fn stop_times(&self) -> Option<StopTimes> {
        *self.stop_times.borrow()
    }

    /// Time from the signal of a planned stop until `moment`; zero if there was none before.
    pub fn time_since_signal(&self, moment: tokio::time::Instant) -> Duration {
        self.stop_times().map_or(Duration::ZERO, |times| {
            moment.saturating_duration_since(times.signalled_at)
        })
    }

    /// Deadline of a call, or the time at which a planned stop ends it if that
    /// is earlier.
    pub fn bound_by_stop(&self, deadline: tokio::time::Instant) -> tokio::time::Instant {
        self.stop_times()
            .map_or(deadline, |times| times.calls_end.min(deadline))
    }

    /// Whether a planned stop leaves enough time for a request with this time limit.
    fn accepts_request(&self, arrived_at: tokio::time::Instant, time_limit: Duration) -> bool {
        self.stop_times()
            .is_none_or(|times| times.accepts(arrived_at, time_limit))
    }

    /// Waits until `deadline`, or until a planned stop ends the calls; the stop
    /// may begin meanwhile.
    pub async fn wait_for_deadline(&self, deadline: tokio::time::Instant) {
        let mut stop_times = self.stop_times.subscribe();
        loop {
            let bounded = self.bound_by_stop(deadline);
            tokio::select! {
                () = tokio::time::sleep_until(bounded) => return,
                // The sender lives as long as `self`.
                _ = stop_times.changed() => {}
            }
        }
    }

    /// Counts a request as in flight while the guard lives.
    pub fn track_request(self: &Arc<Self>, usage: Arc<RequestUsage>) -> InFlightGuard {
        InFlightGuard::new(Arc::clone(self), usage)
    }
}

/// Counts one caller's connection as open until it is dropped.
pub struct ConnectionGuard {
    shared: Arc<IngressState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks the state of a decision, even if a panic has poisoned the lock: each
/// decision changes its state in one step, so the state is still usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ingress of one worker thread.
pub struct IngressWorker {
    /// State shared with the other threads.
    pub shared: Arc<IngressState>,
    /// Links of this thread to gates.
    pub pool: Rc<LinkPool>,
    /// Random generator of this thread.
    pub rng: RefCell<StdRng>,
}

/// Serves one request and returns its response.
///
/// # Errors
///
/// Fails with what the caller is told: the request was rejected, or its call
/// got no response.
pub async fn serve_call(
    worker: Rc<IngressWorker>,
    head: RequestHead,
    body: Option<BodyReceiver>,
    progress: RequestProgress,
) -> CallResult {
    let arrived_at = tokio::time::Instant::now();
    let target = head.target.clone();
    let id_name = worker.shared.dialect.request_id;
    let request_id = id_name.and_then(|name| field_text(&head.fields, name));
    let request_id = request_id.map(ToString::to_string);
    worker.shared.wait_for_routes().await;
    let resolved = resolve_request(&worker, head).and_then(|request| {
        if !worker.shared.accepts_request(arrived_at, request.timeout) {
            return Err(ErrorKind::Draining);
        }
        Ok(request)
    });
    match resolved {
        Ok(request) => {
            progress.update(|record| {
                record.request_id = request.request_id.clone().unwrap_or_default();
                record.time_limit = Some(request.timeout);
            });
            CallDriver::new(worker, request, body, arrived_at, progress)
                .run()
                .await
        }
        Err(kind) => {
            let outcome = RunOutcome::NotRun.to_string();
            let metrics = &worker.shared.metrics;
            metrics.record_call("", kind.code(), &outcome, Duration::ZERO);
            let since_signal = worker.shared.time_since_signal(arrived_at);
            let table = Arc::clone(&worker.shared.table.borrow());
            let config_age = metrics.config_age();
            log::warn!(
                target: "ingress",
                request_id = request_id.as_deref().unwrap_or_default(), path = target.as_str(),
                config_version = table.routes.as_ref().map(|config| config.version.0),
                config_age_ms = config_age.map(|age| age.as_millis() as u64),
                accepted_after_signal_ms = since_signal.as_millis() as u64,
                kind = kind.code(), outcome:% = RunOutcome::NotRun,
                status:% = kind.response().status,
                table = table.version;
                "request rejected"
            );
            Err(kind.into())
        }
    }
}

fn resolve_request(
    worker: &IngressWorker,
    head: RequestHead,
) -> Result<ResolvedRequest, ErrorKind> {
    let shared = &worker.shared;
    let table = Arc::clone(&shared.table.borrow());
    if table.routes.is_none() && shared.uses_routes {
        return Err(ErrorKind::NoConfig);
    }
    RequestResolver {
        table: &table,
        dialect: shared.dialect,
        traffic_splits: &mut lock(&shared.traffic_splits),
        rng: &mut *worker.rng.borrow_mut(),
    }
    .resolve(head)
}

/// Closes links to gates that the routing table no longer lists, until control
/// ends.
pub async fn close_unused_links(shared: Arc<IngressState>, pool: Rc<LinkPool>) {
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

/// Applies load reports and drain notices received over links to the routing
/// state.
pub async fn apply_upstream_notices(
    shared: Arc<IngressState>,
    mut notices: UnboundedReceiver<(NodeId, UpstreamEvent)>,
) {
    while let Some((node, notice)) = notices.recv().await {
        let now = shared.now();
        let mut router = lock(&shared.router);
        match notice {
            UpstreamEvent::Load(gate, load) => {
                let report = LoadReport {
                    in_flight: load.in_flight,
                    queued: load.queued,
                    limit: load.limit,
                    is_slow: load.is_slow,
                    start_rate: rate_from_report(load.start_rate),
                    next_start: Duration::from_micros(load.next_start_us),
                };
                router.record_report(now, &node, report);
                router.record_refused_ranks(now, &node, load.refused_ranks());
                let statement = (load.backend != 0).then(|| KnownStatement {
                    gate,
                    backend: load.backend.into(),
                    rate: report.start_rate,
                    is_leaving: load.is_leaving,
                });
                router.record_statement(&node, gate, statement);
            }
            UpstreamEvent::Leaving => router.mark_draining(now, &node),
            UpstreamEvent::ZoneLoad(load) => {
                router.record_zone_report(now, &node, load.into());
            }
            UpstreamEvent::RoundTrip(round_trip) => {
                router.record_round_trip(now, &node, round_trip);
            }
            UpstreamEvent::LinkLost => {}
        }
    }
}

fn rate_from_report(per_second: Option<f64>) -> Option<StartRate> {
    let rate = StartRate::try_from(per_second?);
    rate.inspect_err(|error| log::error!(target: "routing", "load report with a bad rate: {error}"))
        .ok()
}

/// What an ingress knows of a node's backend server, to be told to its gate.
pub fn known_backend_statement(
    shared: &IngressState,
    node: &NodeId,
) -> Option<KnownBackendStatement> {
    let known = lock(&shared.router).known_statement(node)?;
    Some(KnownBackendStatement {
        backend: known.backend.get(),
        start_rate: known.rate.map(StartRate::per_second),
        is_leaving: known.is_leaving,
    })
}

#[cfg(test)]
mod tests;
