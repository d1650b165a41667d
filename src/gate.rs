//! Gate: the only way to this node's own backend server.
//!
//! All calls for the backend server, from other nodes and from this one, come
//! through the gate, which runs on one thread. It knows the slots exactly,
//! refuses before anything runs, remembers which calls it has let in, and
//! drains without a race.

pub mod answer;
pub mod call;
mod dispatch;
mod feed;
mod links;
mod meter;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpStream as StdTcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use crate::admission::{
    Admission, AdmissionOptions, AdmissionQueue, CallOffer, CallOutline, WorkResult,
};
use crate::backend::{BackendClient, BackendLoad, BackendTarget};
use crate::error::ErrorKind;
use crate::fields::CallDialect;
use crate::gate::call::CallInput;
use crate::gate::links::{ActiveLink, serve_local_link, serve_remote_link};
use crate::gate::meter::LoadPoller;
use crate::ids::{CallId, NodeIncarnation, ServiceName};
use crate::ledger::{CallLedger, KeptAnswer, LedgerLimits, RunPermit};
use crate::link::endpoint::{LinkReceiver, LinkSender};
use crate::link::messages::{CallOpen, LinkHello, LinkMessage, LinkPing, LoadStamp};
use crate::metrics::NodeMetrics;

/// Interval at which lapsed entries of the ledger are removed.
const LEDGER_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a refusal names which has nothing to do with load: a failed
/// upstream is known to the ingresses by then.
const NON_LOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Order from control or from an ingress of this node to the gate.
pub enum GateCommand {
    /// The backend server announced itself or changed.
    SetBackend {
        /// Backend server.
        target: BackendTarget,
        /// How much longer it stays slow after its start.
        warmup_left: Duration,
    },
    /// The backend server is gone.
    ClearBackend,
    /// Take only work that ends within this time.
    PrepareStop(Duration),
    /// Take no new work.
    Drain,
    /// Take work again.
    EndDrain,
    /// A peer opened a call link; `buffered` is what was read beyond its hello.
    AcceptRemoteLink {
        /// Connection.
        stream: StdTcpStream,
        /// Bytes already read.
        buffered: BytesMut,
    },
    /// An ingress of this node opened its in-process link.
    AcceptLocalLink {
        /// Towards the ingress.
        sender: LinkSender,
        /// From the ingress.
        receiver: LinkReceiver,
        /// Its hello.
        hello: LinkHello,
    },
}

/// Counters of the gate, for the status page and for a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateStatus {
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Present limit on calls at the backend server.
    pub limit: u32,
}

/// What a gate is started with.
#[derive(Debug, Clone)]
pub struct GateSettings {
    /// Names of the fields of calls.
    pub dialect: &'static CallDialect,
    /// Settings of admission.
    pub admission: AdmissionOptions,
    /// Readings of the VM's speed that the gate may take beside those on
    /// answers, by second.
    pub load_polls_per_second: f64,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
}

/// Refusal of a call that was not run and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Reason.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry_after: Duration,
    /// Time in which the call would be expected to be answered here.
    pub estimated_finish: Option<Duration>,
}

impl From<ErrorKind> for GateRefusal {
    /// Refusal that says nothing of this gate's load.
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: NON_LOAD_RETRY_AFTER,
            estimated_finish: None,
        }
    }
}

/// State of the gate, shared by its tasks on one thread.
pub struct Gate {
    incarnation: NodeIncarnation,
    dialect: &'static CallDialect,
    admission_options: AdmissionOptions,
    metrics: Arc<NodeMetrics>,
    started_at: Instant,
    admission: RefCell<Option<AdmissionQueue>>,
    ledger: RefCell<CallLedger>,
    backend_client: RefCell<Option<Rc<BackendClient>>>,
    call_inputs: RefCell<BTreeMap<CallId, UnboundedSender<CallInput>>>,
    slot_grants: RefCell<BTreeMap<CallId, oneshot::Sender<()>>>,
    active_links: RefCell<BTreeMap<(u64, u32), ActiveLink>>,
    link_senders: RefCell<BTreeMap<u64, LinkSender>>,
    next_link_number: Cell<u64>,
    is_draining: Cell<bool>,
    load_poller: LoadPoller,
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
        active_links: RefCell::new(BTreeMap::new()),
        link_senders: RefCell::new(BTreeMap::new()),
        next_link_number: Cell::new(0),
        is_draining: Cell::new(false),
        load_poller: LoadPoller::new(settings.load_polls_per_second),
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
            } => {
                self.set_backend(target);
                self.set_warmup(warmup_left);
            }
            GateCommand::ClearBackend => *self.backend_client.borrow_mut() = None,
            GateCommand::PrepareStop(time_left) => self.prepare_stop(time_left),
            GateCommand::Drain => self.start_drain(),
            GateCommand::EndDrain => self.is_draining.set(false),
            GateCommand::AcceptRemoteLink { stream, buffered } => {
                let gate = Rc::clone(self);
                ntex::rt::spawn(async move {
                    if let Err(error) = serve_remote_link(gate, stream, buffered).await {
                        log::debug!(target: "gate", "link ended: {error}");
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

    fn set_backend(self: &Rc<Self>, target: BackendTarget) {
        let current_client = self.backend_client.borrow().clone();
        if current_client.is_some_and(|client| *client.target() == target) {
            return;
        }
        let slots = target.slots;
        log::info!(
            target: "gate",
            backend:% = target.id, service:% = target.service, address:% = target.address;
            "backend server set"
        );
        let client = BackendClient::new(target, self.dialect);
        *self.backend_client.borrow_mut() = Some(Rc::new(client));
        let mut started_calls = Vec::new();
        let mut admission = self.admission.borrow_mut();
        match admission.as_mut() {
            Some(admission) => {
                admission.forget_speed();
                started_calls = admission.set_slots(self.now(), slots);
            }
            None => *admission = Some(AdmissionQueue::new(slots, self.admission_options)),
        }
        drop(admission);
        self.start_queued_calls(started_calls);
        self.publish_status();
    }

    fn set_warmup(&self, warmup_left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.warm_up(self.now() + warmup_left);
        }
    }

    fn prepare_stop(&self, time_left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.stop_at(self.now() + time_left);
        }
    }

    fn start_drain(&self) {
        self.is_draining.set(true);
        for sender in self.link_senders.borrow().values() {
            sender.send(LinkMessage::Leaving(LinkPing { load: None }));
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn sweep_ledger(&self) {
        self.ledger.borrow_mut().sweep(self.now());
    }

    /// Load as it rides on answers.
    pub fn current_load(&self) -> LoadStamp {
        let admission = self.admission.borrow();
        let load = admission.as_ref().map(|queue| queue.load(self.now()));
        load.map_or_else(LoadStamp::default, |load| LoadStamp {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            is_slow: load.is_slow,
        })
    }

    /// Takes in the load that the backend server stated.
    pub fn record_backend_load(self: &Rc<Self>, load: BackendLoad) {
        let now = self.now();
        let started_calls = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.note_slowness(now, load.slowness),
            None => Vec::new(),
        };
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.publish_status();
    }

    fn publish_status(&self) {
        let load = self.current_load();
        self.status.send_replace(GateStatus {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
        });
    }

    /// Client of the backend server, if one is announced.
    pub fn backend_client(&self) -> Option<Rc<BackendClient>> {
        self.backend_client.borrow().clone()
    }

    /// Decides on a call: start now, wait for the returned turn, or refuse.
    ///
    /// # Errors
    ///
    /// Why the call is refused, and when to come back.
    pub fn admit(
        self: &Rc<Self>,
        id: CallId,
        open: &CallOpen,
        time_left: Duration,
    ) -> Result<Option<oneshot::Receiver<()>>, GateRefusal> {
        let decision = self.decide_admission(id, open, time_left);
        self.refuse_evicted_calls();
        self.publish_status();
        self.schedule_load_poll();
        self.metrics.count_admission(decision.name());
        log_admission(id, open, &decision, self.current_load());
        match decision {
            Admission::Start => Ok(None),
            Admission::Queued { .. } => {
                let (grant_sender, slot_grant) = oneshot::channel();
                self.slot_grants.borrow_mut().insert(id, grant_sender);
                Ok(Some(slot_grant))
            }
            Admission::Refused {
                kind,
                retry_after,
                estimated_finish,
            } => Err(GateRefusal {
                kind,
                retry_after,
                estimated_finish: Some(estimated_finish).filter(|finish| !finish.is_zero()),
            }),
        }
    }

    fn decide_admission(&self, id: CallId, open: &CallOpen, time_left: Duration) -> Admission {
        let refuse = |kind| Admission::Refused {
            kind,
            retry_after: NON_LOAD_RETRY_AFTER,
            estimated_finish: Duration::ZERO,
        };
        if self.is_draining.get() {
            return refuse(ErrorKind::Draining);
        }
        let Some(client) = self.backend_client() else {
            return refuse(ErrorKind::NoUpstream);
        };
        let service = open.service.parse::<ServiceName>();
        if service.as_ref() != Ok(&client.target().service) {
            return refuse(ErrorKind::UnknownService);
        }
        let offer = CallOffer {
            call: id,
            shares: Vec::new(),
            time_left,
            target_left: open
                .target_left_us
                .map_or(time_left, Duration::from_micros)
                .min(time_left),
            rank: open.rank,
            class: open.class.clone(),
            ask_share: (open.ask_percent > 0).then(|| f64::from(open.ask_percent) / 100.0),
        };
        let mut admission = self.admission.borrow_mut();
        match admission.as_mut() {
            Some(admission) => admission.offer(self.now(), offer),
            None => refuse(ErrorKind::NoUpstream),
        }
    }

    /// Notes the end of a call's work and starts those that waited for it.
    pub fn finish_call(self: &Rc<Self>, id: CallId, result: WorkResult) {
        let now = self.now();
        let (mut expired_calls, mut started_calls) = (Vec::new(), Vec::new());
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            expired_calls = admission.expire(now);
            started_calls = admission.finish(now, id, result);
        }
        for call in expired_calls {
            // Dropping the turn tells the waiting call that its time is up.
            self.slot_grants.borrow_mut().remove(&call);
        }
        self.start_queued_calls(started_calls);
        self.refuse_evicted_calls();
        self.schedule_load_poll();
        self.publish_status();
    }

    /// Tells calls that had to leave the queue, by dropping their turns.
    fn refuse_evicted_calls(&self) {
        let evicted_calls = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.take_evicted(),
            None => Vec::new(),
        };
        for call in evicted_calls {
            self.slot_grants.borrow_mut().remove(&call);
        }
    }

    /// Refusal of a call that has waited in vain.
    pub fn wait_too_long_refusal(&self, open: &CallOpen) -> GateRefusal {
        let admission = self.admission.borrow();
        let outline = CallOutline {
            rank: open.rank,
            target_left: Duration::from_micros(open.target_left_us.unwrap_or(open.time_left_us)),
            class: &open.class,
        };
        let estimate = admission
            .as_ref()
            .map(|queue| queue.estimate(self.now(), &outline));
        let Some((wait, finish)) = estimate else {
            return ErrorKind::WaitTooLong.into();
        };
        GateRefusal {
            kind: ErrorKind::WaitTooLong,
            retry_after: wait,
            estimated_finish: Some(finish),
        }
    }

    fn start_queued_calls(self: &Rc<Self>, started_calls: Vec<CallId>) {
        for id in started_calls {
            let slot_grant = self.slot_grants.borrow_mut().remove(&id);
            let is_call_gone = slot_grant.is_none_or(|slot_grant| slot_grant.send(()).is_err());
            if is_call_gone {
                self.finish_call(id, WorkResult::Cancelled);
            }
        }
    }

    /// Takes a waiting call out of the queue; false if its turn has come.
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

    /// Permit to hand the call to the backend server; `None` if it must not run.
    pub fn take_run_permit(&self, id: CallId) -> Option<RunPermit> {
        self.ledger.borrow_mut().start(id)
    }

    /// Ends a run with a whole answer, kept until the ingress has it.
    pub fn finish_run_with_response(&self, permit: RunPermit, response: KeptAnswer) {
        self.ledger
            .borrow_mut()
            .keep_answer(self.now(), permit, response);
    }

    /// Ends a run that has no whole answer to keep.
    pub fn finish_run_without_response(&self, permit: RunPermit) {
        self.ledger.borrow_mut().end_unanswered(self.now(), permit);
    }

    /// Takes a permit back of which the backend server has seen nothing.
    pub fn return_run_permit(&self, permit: RunPermit) {
        self.ledger.borrow_mut().return_permit(self.now(), permit);
    }

    /// Notes that the call was refused and must never start.
    pub fn record_refusal(&self, id: CallId) {
        self.ledger.borrow_mut().refuse(self.now(), id);
    }

    /// Notes that the call was cancelled; one that had not started never will.
    pub fn record_cancellation(&self, id: CallId) {
        self.ledger.borrow_mut().cancel(self.now(), id);
    }

    /// Ends the routing of messages to a call.
    pub fn unregister_call(&self, id: CallId) {
        self.call_inputs.borrow_mut().remove(&id);
    }
}

fn log_admission(id: CallId, open: &CallOpen, decision: &Admission, load: LoadStamp) {
    let (wait_ms, finish_ms) = match decision {
        Admission::Start => (0, None),
        Admission::Queued { estimated_wait } => (estimated_wait.as_millis() as u64, None),
        Admission::Refused {
            retry_after,
            estimated_finish,
            ..
        } => (
            retry_after.as_millis() as u64,
            Some(estimated_finish.as_millis() as u64),
        ),
    };
    log::info!(
        target: "admission",
        call:% = id,
        request_id = open.request_id.as_str(),
        service = open.service.as_str(),
        rank = open.rank,
        ask_percent = open.ask_percent,
        target_left_ms = open.target_left_us.map(|left| left / 1_000),
        time_left_ms = open.time_left_us / 1_000,
        decision = decision.name(), wait_ms, finish_ms,
        in_flight = load.in_flight,
        queued = load.queued,
        limit = load.limit,
        is_slow = load.is_slow;
        "call offered"
    );
}

#[cfg(test)]
mod tests;
