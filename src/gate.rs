//! Gate of a node, the only way to the node's own backend server.
//!
//! All calls for the backend server, from other nodes and from this one, pass
//! through the gate. The gate runs on one thread, so its count of used slots is
//! exact and a drain can't race with admission. [`admission`](crate::admission)
//! decides before any part of a call runs whether it starts, waits or is
//! refused; [`ledger`](crate::ledger) records the calls that arrived, so that
//! none runs twice.

pub mod answer;
pub mod call;
mod crashes;
mod dispatch;
mod evacuation;
mod feed;
mod identity;
mod links;
mod meter;
mod record;
mod retained;
mod statements;
mod stop;
mod succession;
mod trials;
mod turns;
mod warm_up;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream as StdTcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};

use crate::admission::{
    AdmissionDecision, AdmissionOptions, AdmissionQueue, CallOffer, EstimateRequest, WorkResult,
};
use crate::backend::{BackendClient, BackendLoad, BackendTarget};
use crate::error::ErrorKind;
use crate::fields::HeaderDialect;
use crate::gate::call::CallInput;
use crate::gate::crashes::CrashMonitor;
use crate::gate::links::{ActiveLink, serve_local_link, serve_remote_link};
use crate::gate::meter::LoadPoller;
use crate::gate::record::{log_admission, log_queued_refusal};
use crate::gate::retained::RetainedResponses;
use crate::gate::statements::BackendStatements;
use crate::gate::succession::{BackendSlot, CallAdmission, QueueEnd};
use crate::gate::trials::TrialQueue;
use crate::gate::turns::TurnTimer;
use crate::gate::warm_up::WarmUpControl;
use crate::ids::{BackendKey, CallId, NodeIncarnation, ServiceName, SlotCount};
use crate::ledger::{CachedResponse, CallLedger, LedgerLimits, RunPermit};
use crate::link::endpoint::{LinkReceiver, LinkSender, QueueBudget};
use crate::link::messages::{CallOpen, LinkHello, LinkMessage, LinkPing, LoadSnapshot};
use crate::metrics::NodeMetrics;
use crate::options::WarmUpTolerance;
use crate::quarantine::QuarantineHub;
use crate::rate_limit::StartRate;
use crate::resources::ResourceLimits;
use crate::retry::resend::{LostExchange, ResendDecision, ResendPolicy};
use crate::routes::WarmUpSettings;
use crate::zone_balancing::ZoneLoad;

/// Interval between removals of expired ledger entries.
const LEDGER_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay stated by refusals that are not caused by load. After this time
/// the ingresses know that the upstream has failed.
const NON_LOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Command to the gate, from the control thread or an ingress of this node.
pub enum GateCommand {
    /// Sets the backend server after an announcement or a configuration change.
    SetBackend {
        /// Backend server to send calls to.
        target: BackendTarget,
        /// Remaining warm-up time, during which it is expected to be slow.
        warmup_left: Duration,
        /// Limit on its requests that it announced.
        rate_limit: Option<StartRate>,
        /// Limit of its service while it is cold; `None` if the service has none.
        warm_up: Option<WarmUpSettings>,
    },
    /// The backend server withdrew; calls that have not started are refused.
    ClearBackend,
    /// A planned stop follows after this time: admit only calls that are
    /// expected to finish before it.
    PrepareStop(Duration),
    /// Refuse new calls; admitted calls continue.
    Drain,
    /// The backend server drains: refuse new and queued calls; runs in progress continue.
    DrainBackend,
    /// Admit calls again after [`GateCommand::Drain`] or [`GateCommand::DrainBackend`].
    EndDrain,
    /// Whether the node's availability zone is evacuated: refuse new and queued calls;
    /// runs in progress continue.
    SetEvacuated(bool),
    /// A peer opened a call link.
    AcceptRemoteLink {
        /// Connection to the peer.
        stream: StdTcpStream,
        /// Bytes already read beyond the peer's hello frame.
        buffered: BytesMut,
    },
    /// Close the links to other nodes once their ingresses have read everything, and
    /// reply then.
    CloseLinks(oneshot::Sender<()>),
    /// Sets the load of the own zone that replies to liveness checks carry.
    SetZoneLoad(Option<ZoneLoad>),
    /// An ingress of this node opened its in-process link.
    AcceptLocalLink {
        /// Sends to the ingress.
        sender: LinkSender,
        /// Receives from the ingress.
        receiver: LinkReceiver,
        /// First message of the ingress.
        hello: LinkHello,
    },
}

/// Load of the gate, for the status page and for a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GateStatus {
    /// Calls running at the backend server.
    pub in_flight: u32,
    /// Calls waiting for a slot.
    pub queued: u32,
    /// Current limit on calls running at the backend server.
    pub limit: u32,
    /// Limit that the backend server stated, in requests per second.
    pub rate_limit: Option<StartRate>,
    /// Backend server that said in a response that it leaves.
    pub leaving_backend: Option<BackendKey>,
}

/// Settings of a gate.
#[derive(Debug, Clone)]
pub struct GateSettings {
    /// Names of the header fields that calls carry.
    pub dialect: &'static HeaderDialect,
    /// Settings of admission control.
    pub admission: AdmissionOptions,
    /// Maximum number of load polls of the backend server per second, in
    /// addition to the load readings in its responses.
    pub load_polls_per_second: f64,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Evidence against requests that crash backend servers.
    pub quarantine: Arc<QuarantineHub>,
    /// Limits on what is held for others.
    pub resource_limits: ResourceLimits,
    /// Budget of the queues of all links.
    pub queue_budget: Arc<QueueBudget>,
    /// How far requests to a cold backend server may exceed its warm-up rate.
    pub warm_up_tolerance: WarmUpTolerance,
}

/// Refusal of a call that has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
    /// Estimated time until the response, had this gate admitted the call; `None`
    /// if unknown.
    pub estimated_response_time: Option<Duration>,
    /// Whether the gate would queue the call although it would miss its target
    /// latency.
    pub admits_past_target: bool,
    /// Time until a planned stop of the gate that could cut the call; `None` if there is
    /// none.
    pub stops_in: Option<Duration>,
}

impl From<ErrorKind> for GateRefusal {
    /// Refusal that is not caused by the load of this gate.
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: NON_LOAD_RETRY_AFTER,
            estimated_response_time: None,
            admits_past_target: false,
            stops_in: None,
        }
    }
}

/// State of the gate, shared by its tasks on one thread.
pub struct Gate {
    incarnation: NodeIncarnation,
    dialect: &'static HeaderDialect,
    admission_options: AdmissionOptions,
    metrics: Arc<NodeMetrics>,
    started_at: Instant,
    admission: RefCell<Option<AdmissionQueue>>,
    ledger: RefCell<CallLedger>,
    backend_client: RefCell<Option<Rc<BackendClient>>>,
    call_inputs: RefCell<BTreeMap<CallId, UnboundedSender<CallInput>>>,
    /// Signals to queued calls; dropping one makes its call give up.
    slot_grants: RefCell<BTreeMap<CallId, oneshot::Sender<Result<BackendSlot, QueueEnd>>>>,
    /// Service whose calls the admission queue has last been set up for.
    admitted_service: RefCell<Option<ServiceName>>,
    resends: RefCell<ResendPolicy>,
    /// Calls that still run at an earlier start of the backend server.
    earlier_runs: RefCell<BTreeSet<CallId>>,
    /// Remote links by the incarnation and the worker thread of the ingress.
    active_links: RefCell<BTreeMap<(u64, u32), ActiveLink>>,
    /// Senders of all links, remote and in-process, by link number.
    link_senders: RefCell<BTreeMap<u64, LinkSender>>,
    next_link_number: Cell<u64>,
    /// Whether links are being closed; each open link to another node has a receiver.
    link_closing: tokio::sync::watch::Sender<bool>,
    is_draining: Cell<bool>,
    drain_began: Notify,
    is_evacuated: Cell<bool>,
    evacuation_began: Notify,
    load_poller: LoadPoller,
    statements: BackendStatements,
    quarantine: Arc<QuarantineHub>,
    crashes: CrashMonitor,
    trials: TrialQueue,
    turn_timer: TurnTimer,
    warm_up: WarmUpControl,
    queue_budget: Arc<QueueBudget>,
    /// Complete responses whose calls wait for an acknowledgement.
    retained: RefCell<RetainedResponses>,
    /// Load of the own zone and the time at which it was set.
    zone_load: Cell<Option<(Duration, ZoneLoad)>>,
    status: tokio::sync::watch::Sender<GateStatus>,
}

/// Runs the gate until its command channel closes.
pub async fn run_gate(
    incarnation: NodeIncarnation,
    settings: GateSettings,
    mut commands: UnboundedReceiver<GateCommand>,
    status: tokio::sync::watch::Sender<GateStatus>,
) {
    let gate = Rc::new(Gate {
        incarnation,
        dialect: settings.dialect,
        admission_options: settings.admission,
        metrics: settings.metrics,
        started_at: Instant::now(),
        admission: RefCell::new(None),
        ledger: RefCell::new(CallLedger::new(LedgerLimits::default())),
        backend_client: RefCell::new(None),
        call_inputs: RefCell::new(BTreeMap::new()),
        slot_grants: RefCell::new(BTreeMap::new()),
        admitted_service: RefCell::default(),
        resends: RefCell::default(),
        earlier_runs: RefCell::default(),
        active_links: RefCell::new(BTreeMap::new()),
        link_senders: RefCell::new(BTreeMap::new()),
        next_link_number: Cell::new(0),
        link_closing: tokio::sync::watch::Sender::new(false),
        is_draining: Cell::new(false),
        drain_began: Notify::new(),
        is_evacuated: Cell::new(false),
        evacuation_began: Notify::new(),
        load_poller: LoadPoller::new(settings.load_polls_per_second),
        statements: BackendStatements::default(),
        quarantine: settings.quarantine,
        crashes: CrashMonitor::default(),
        trials: TrialQueue::default(),
        turn_timer: TurnTimer::default(),
        warm_up: WarmUpControl::new(settings.warm_up_tolerance),
        queue_budget: settings.queue_budget,
        retained: RefCell::new(RetainedResponses::new(
            settings.resource_limits.retained_bytes,
        )),
        zone_load: Cell::new(None),
        status,
    });
    let mut sweep_timer = tokio::time::interval(LEDGER_SWEEP_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => gate.handle_command(command),
                None => return,
            },
            _ = sweep_timer.tick() => gate.sweep_ledger(),
        }
    }
}

impl Gate {
    fn handle_command(self: &Rc<Self>, command: GateCommand) {
        match command {
            GateCommand::SetBackend {
                target,
                warmup_left,
                rate_limit,
                warm_up,
            } => {
                let key = target.key;
                self.set_backend(target);
                self.set_warmup(warmup_left);
                self.record_warm_up_heartbeat(warm_up, key, warmup_left);
                self.record_announced_rate(rate_limit);
                self.expire_leaving();
            }
            GateCommand::ClearBackend => {
                *self.backend_client.borrow_mut() = None;
                self.end_queue(QueueEnd::Refused(ErrorKind::Draining));
                self.forget_statements();
                self.forget_warm_state();
            }
            GateCommand::PrepareStop(time_left) => self.prepare_stop(time_left),
            GateCommand::Drain => self.start_drain(),
            GateCommand::DrainBackend => {
                self.start_drain();
                self.end_queue(QueueEnd::Refused(ErrorKind::Draining));
            }
            GateCommand::CloseLinks(closed) => self.close_links(closed),
            GateCommand::EndDrain => self.is_draining.set(false),
            GateCommand::SetEvacuated(is_evacuated) => self.set_evacuated(is_evacuated),
            GateCommand::SetZoneLoad(load) => {
                self.zone_load.set(load.map(|load| (self.now(), load)));
            }
            GateCommand::AcceptRemoteLink { stream, buffered } => {
                let gate = Rc::clone(self);
                ntex::rt::spawn(async move {
                    if let Err(error) = serve_remote_link(gate, stream, buffered).await {
                        log::debug!(target: "gate", "call link closed after a failure: {error}");
                    }
                });
            }
            GateCommand::AcceptLocalLink {
                sender,
                receiver,
                hello,
            } => {
                ntex::rt::spawn(serve_local_link(Rc::clone(self), sender, receiver, hello));
            }
        }
    }

    fn set_warmup(&self, warmup_left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_warm_up_end(self.now() + warmup_left);
        }
    }

    fn start_drain(&self) {
        self.is_draining.set(true);
        self.drain_began.notify_waiters();
        for sender in self.link_senders.borrow().values() {
            sender.send(LinkMessage::Leaving(LinkPing::default()));
        }
    }

    /// Waits until the gate refuses new calls.
    async fn drained(&self) {
        while !self.is_draining.get() {
            self.drain_began.notified().await;
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn sweep_ledger(&self) {
        self.ledger.borrow_mut().remove_expired(self.now());
    }

    /// Current load, as sent with responses and refusals.
    pub fn current_load(&self) -> LoadSnapshot {
        let admission = self.admission.borrow();
        let load = admission.as_ref().map(|queue| queue.load(self.now()));
        let refused_ranks = admission.as_ref().and_then(AdmissionQueue::refused_ranks);
        load.map_or_else(LoadSnapshot::default, |load| LoadSnapshot {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            is_slow: load.is_slow,
            start_rate: load.start_rate.map(StartRate::per_second),
            next_start_us: u64::try_from(load.next_start.as_micros()).unwrap_or(u64::MAX),
            is_leaving: self.statements.is_leaving(),
            backend: self.stated_backend().map_or(0, BackendKey::get),
            admitted_ranks: refused_ranks.map(|refused| refused.first_refused_rank),
            rank_opens_us: refused_ranks.map_or(0, |refused| {
                u64::try_from(refused.opens_in.as_micros()).unwrap_or(u64::MAX)
            }),
        })
    }

    /// Reply to a liveness check: the current load, with that of the own zone if it is
    /// known.
    fn pong(&self) -> LinkPing {
        let zone = self.zone_load.get().map(|(set_at, load)| {
            let age = load.age + self.now().saturating_sub(set_at);
            ZoneLoad { age, ..load }.into()
        });
        LinkPing {
            load: Some(self.current_load()),
            zone,
        }
    }

    /// Records a load reading of the backend server, and starts the queued
    /// calls that it allows. One of an earlier start has no effect.
    pub fn record_backend_load(self: &Rc<Self>, client: &BackendClient, load: BackendLoad) {
        if !self.is_present_start(client) {
            return;
        }
        let now = self.now();
        let mut started_calls = Vec::new();
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            let slots = usable_slots(client.target().slots, load.slots);
            started_calls = admission.set_slots(now, slots);
            started_calls.extend(admission.record_slowdown(now, load.slowness));
        }
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.publish_status();
    }

    fn publish_status(&self) {
        let load = self.current_load();
        let earlier_runs = u32::try_from(self.earlier_runs.borrow().len()).unwrap_or(u32::MAX);
        self.status.send_replace(GateStatus {
            in_flight: load.in_flight + earlier_runs,
            queued: load.queued,
            limit: load.limit,
            rate_limit: self.statements.rate_limit(),
            leaving_backend: self
                .stated_backend()
                .filter(|_| self.statements.is_leaving()),
        });
    }

    /// Client of the backend server; `None` if no backend server is announced.
    pub fn backend_client(&self) -> Option<Rc<BackendClient>> {
        self.backend_client.borrow().clone()
    }

    /// Decides whether a call starts now, waits or is refused.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the time after which to retry.
    pub fn admit(
        self: &Rc<Self>,
        id: CallId,
        open: &CallOpen,
        time_left: Duration,
    ) -> Result<CallAdmission, GateRefusal> {
        let decision = self.decide_admission(id, open, time_left);
        self.refuse_evicted_calls();
        self.publish_status();
        self.schedule_load_poll();
        self.schedule_turns();
        self.metrics.count_admission(decision.name());
        self.count_rank_admission(open, &decision);
        let load = self.current_load();
        if load.start_rate.is_some() && matches!(decision, AdmissionDecision::Refused { .. }) {
            self.metrics.count_limited_refusal();
        }
        self.count_cold_decision(&decision);
        log_admission(id, open, &decision, load);
        match decision {
            AdmissionDecision::Start => match self.backend_client() {
                Some(client) => Ok(CallAdmission::Started(BackendSlot::new(client))),
                None => Err(ErrorKind::BackendUnreachable.into()),
            },
            AdmissionDecision::Queued { .. } => {
                let (grant_sender, slot_grant) = oneshot::channel();
                self.slot_grants.borrow_mut().insert(id, grant_sender);
                Ok(CallAdmission::Queued(slot_grant))
            }
            AdmissionDecision::Refused {
                kind,
                retry_after,
                estimated_response_time,
            } => {
                let refusal = GateRefusal {
                    kind,
                    retry_after,
                    estimated_response_time: Some(estimated_response_time)
                        .filter(|time| !time.is_zero()),
                    admits_past_target: self.admits_past_target(open),
                    stops_in: None,
                };
                Err(self.name_stop(refusal, time_left))
            }
        }
    }

    fn decide_admission(
        &self,
        id: CallId,
        open: &CallOpen,
        time_left: Duration,
    ) -> AdmissionDecision {
        let refuse = |kind| AdmissionDecision::Refused {
            kind,
            retry_after: NON_LOAD_RETRY_AFTER,
            estimated_response_time: Duration::ZERO,
        };
        if self.is_draining.get() || self.statements.is_leaving() {
            return refuse(ErrorKind::Draining);
        }
        if self.is_evacuated.get() {
            return refuse(ErrorKind::ZoneEvacuated);
        }
        let Some(client) = self.backend_client() else {
            return refuse(ErrorKind::BackendUnreachable);
        };
        let service = open.service.parse::<ServiceName>();
        if service.as_ref() != Ok(&client.target().service) {
            return refuse(ErrorKind::UnknownService);
        }
        // A call whose queue ended with its backend server is offered once more.
        let waited = Duration::from_micros(open.time_left_us).saturating_sub(time_left);
        let target_left = open.target_left_us.map_or(time_left, |left| {
            Duration::from_micros(left).saturating_sub(waited)
        });
        let offer = CallOffer {
            call: id,
            shares: Vec::new(),
            time_left,
            target_left: target_left.min(time_left),
            rank: open.rank,
            class: open.class.clone(),
            tenant: open.tenant.clone(),
            no_wait_slot_share: (open.max_occupancy_percent > 0)
                .then(|| f64::from(open.max_occupancy_percent) / 100.0),
            is_hedge: open.is_hedge,
            avoids_stop: open.avoids_stop,
        };
        let mut admission = self.admission.borrow_mut();
        match admission.as_mut() {
            Some(admission) => admission.offer(self.now(), offer),
            None => refuse(ErrorKind::BackendUnreachable),
        }
    }

    /// Records the end of a run, removes expired calls from the queue, and starts
    /// the queued calls that can take the slot.
    pub fn finish_call(self: &Rc<Self>, id: CallId, result: WorkResult) {
        let now = self.now();
        self.earlier_runs.borrow_mut().remove(&id);
        let (mut expired_calls, mut started_calls) = (Vec::new(), Vec::new());
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            expired_calls = admission.expire(now);
            started_calls = admission.finish(now, id, result);
        }
        for call in expired_calls {
            // Dropping the sender tells the waiting call that its time is up.
            self.slot_grants.borrow_mut().remove(&call);
        }
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.schedule_load_poll();
        self.schedule_turns();
        self.publish_status();
    }

    /// Notifies the calls evicted from the queue by dropping their slot grants.
    fn refuse_evicted_calls(&self) {
        let evicted_calls = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.take_evicted(),
            None => Vec::new(),
        };
        for call in evicted_calls {
            self.slot_grants.borrow_mut().remove(&call);
        }
    }

    /// Refusal of a queued call that expired or was evicted.
    pub fn wait_too_long_refusal(&self, id: CallId, open: &CallOpen) -> GateRefusal {
        let mut admission = self.admission.borrow_mut();
        let request = EstimateRequest {
            rank: open.rank,
            target_left: Duration::from_micros(open.target_left_us.unwrap_or(open.time_left_us)),
            class: &open.class,
            tenant: &open.tenant,
        };
        let now = self.now();
        let time_left = Duration::from_micros(open.time_left_us);
        let estimate = admission.as_mut().map(|queue| {
            let (wait, response_time) = queue.estimate_wait_and_response(now, &request);
            let retry_after = queue.spread_return_time(now, &request, wait, time_left);
            (retry_after, response_time)
        });
        drop(admission);
        let Some((retry_after, response_time)) = estimate else {
            return ErrorKind::WaitTooLong.into();
        };
        self.count_rank_eviction(open);
        log_queued_refusal(id, open, retry_after, self.current_load());
        GateRefusal {
            kind: ErrorKind::WaitTooLong,
            retry_after,
            estimated_response_time: Some(response_time),
            admits_past_target: self.admits_past_target(open),
            stops_in: None,
        }
    }

    fn admits_past_target(&self, open: &CallOpen) -> bool {
        let admission = self.admission.borrow();
        admission.as_ref().is_some_and(|admission| {
            admission.admits_offer_past_target(self.now(), &open.class, &open.tenant)
        })
    }

    /// Removes a waiting call from the queue; `false` if it already has a slot.
    pub fn dequeue_call(&self, id: CallId) -> bool {
        self.slot_grants.borrow_mut().remove(&id);
        let mut admission = self.admission.borrow_mut();
        let is_dequeued = admission
            .as_mut()
            .is_some_and(|admission| admission.withdraw(self.now(), id));
        drop(admission);
        self.publish_status();
        is_dequeued
    }

    /// Whether a request whose connection ended without a response is sent a second time.
    pub fn may_resend(&self, id: CallId, client: &BackendClient, lost: &LostExchange) -> bool {
        let is_leaving = self.is_draining.get() || self.statements.is_leaving();
        let is_accepting = !is_leaving && !self.is_evacuated.get() && self.is_present_start(client);
        let decision = self.resends.borrow_mut().decide(lost, is_accepting);
        log::info!(
            target: "retry",
            call:% = id, decision:%, is_reused = lost.is_reused,
            elapsed_ms = lost.elapsed.as_millis() as u64,
            time_left_ms = lost.time_left.as_millis() as u64;
            "connection to the backend server ended without a response"
        );
        decision == ResendDecision::Resend
    }

    /// Permit to run the call at the backend server; `None` if it must not run.
    pub fn take_run_permit(&self, id: CallId) -> Option<RunPermit> {
        self.resends.borrow_mut().record_request();
        self.ledger.borrow_mut().start_run(id)
    }

    /// Ends a run with a complete response, which the ledger keeps until the
    /// ingress acknowledges it.
    pub fn finish_run_with_response(&self, permit: RunPermit, response: CachedResponse) {
        self.ledger
            .borrow_mut()
            .end_with_response(self.now(), permit, response);
    }

    /// Ends a run that has no complete response to keep.
    pub fn finish_run_without_response(&self, permit: RunPermit) {
        self.ledger
            .borrow_mut()
            .end_without_response(self.now(), permit);
    }

    /// Returns the permit of a call of which nothing reached the backend
    /// server.
    pub fn return_run_permit(&self, permit: RunPermit) {
        self.ledger.borrow_mut().return_permit(self.now(), permit);
    }

    /// Records that the call was refused and must never start.
    pub fn record_refusal(&self, id: CallId) {
        self.ledger.borrow_mut().refuse(self.now(), id);
    }

    /// Records that the call was cancelled; a call that has not started never
    /// will.
    pub fn record_cancellation(&self, id: CallId) {
        self.ledger.borrow_mut().cancel(self.now(), id);
    }

    /// Keeps the response of a call until it is acknowledged; the oldest responses are
    /// discarded if all of them together are too long.
    pub fn retain_response(&self, id: CallId, bytes: usize) {
        let mut retained = self.retained.borrow_mut();
        let discarded = retained.add(id, bytes);
        self.metrics.set_retained_bytes(retained.held_bytes());
        for call in discarded {
            if let Some(inputs) = self.call_inputs.borrow().get(&call) {
                // A call that has ended in the meantime keeps nothing.
                let _ = inputs.send(CallInput::DiscardResponse);
            }
        }
    }

    /// Ends the retention of a response.
    pub fn release_response(&self, id: CallId) {
        let mut retained = self.retained.borrow_mut();
        retained.remove(id);
        self.metrics.set_retained_bytes(retained.held_bytes());
    }

    /// Stops the delivery of link messages to a call.
    pub fn unregister_call(&self, id: CallId) {
        self.call_inputs.borrow_mut().remove(&id);
    }
}

/// Slots that the backend server can use now: those that it stated last, at most those
/// that it announced.
fn usable_slots(announced: SlotCount, stated: u32) -> SlotCount {
    let stated = SlotCount::try_from(u64::from(stated)).unwrap_or(announced);
    stated.min(announced)
}

#[cfg(test)]
mod tests;
