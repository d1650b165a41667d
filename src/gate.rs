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
use crate::gate::links::{LinkOwner, serve_local, serve_remote};
use crate::gate::meter::SpeedMeter;
use crate::ids::{CallId, NodeIncarnation, ServiceName};
use crate::ledger::{CallLedger, KeptAnswer, LedgerLimits, RunPermit};
use crate::link::endpoint::{LinkReceiver, LinkSender};
use crate::link::messages::{CallOpen, LinkHello, LinkMessage, LinkPing, LoadSnapshot};
use crate::metrics::NodeMetrics;

/// Interval at which lapsed entries of the ledger are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a refusal names which has nothing to do with load: a failed
/// upstream is known to the ingresses by then.
const UNLOADED_RETRY: Duration = Duration::from_millis(100);

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
    StopWithin(Duration),
    /// Take no new work.
    Drain,
    /// Take work again.
    Reopen,
    /// A peer opened a call link; `buffered` is what was read beyond its hello.
    AcceptLink {
        /// Connection.
        stream: StdTcpStream,
        /// Bytes already read.
        buffered: BytesMut,
    },
    /// An ingress of this node opened its in-process link.
    AcceptLocal {
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
    pub readings_per_second: f64,
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
            retry_after: UNLOADED_RETRY,
            estimated_finish: None,
        }
    }
}

/// State of the gate, shared by its tasks on one thread.
pub struct Gate {
    incarnation: NodeIncarnation,
    dialect: &'static CallDialect,
    options: AdmissionOptions,
    metrics: Arc<NodeMetrics>,
    started: Instant,
    admission: RefCell<Option<AdmissionQueue>>,
    ledger: RefCell<CallLedger>,
    client: RefCell<Option<Rc<BackendClient>>>,
    calls: RefCell<BTreeMap<CallId, UnboundedSender<CallInput>>>,
    turns: RefCell<BTreeMap<CallId, oneshot::Sender<()>>>,
    links: RefCell<BTreeMap<(u64, u32), LinkOwner>>,
    senders: RefCell<BTreeMap<u64, LinkSender>>,
    next_link: Cell<u64>,
    is_draining: Cell<bool>,
    meter: SpeedMeter,
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
        options: settings.admission,
        metrics: settings.metrics,
        started: Instant::now(),
        admission: RefCell::new(None),
        ledger: RefCell::new(CallLedger::new(LedgerLimits::default())),
        client: RefCell::new(None),
        calls: RefCell::new(BTreeMap::new()),
        turns: RefCell::new(BTreeMap::new()),
        links: RefCell::new(BTreeMap::new()),
        senders: RefCell::new(BTreeMap::new()),
        next_link: Cell::new(0),
        is_draining: Cell::new(false),
        meter: SpeedMeter::new(settings.readings_per_second),
        status,
    });
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => gate.obey(command),
                None => return,
            },
            _ = sweep.tick() => gate.sweep(),
        }
    }
}

impl Gate {
    fn obey(self: &Rc<Self>, command: GateCommand) {
        match command {
            GateCommand::SetBackend {
                target,
                warmup_left,
            } => {
                self.set_backend(target);
                self.warm_up(warmup_left);
            }
            GateCommand::ClearBackend => *self.client.borrow_mut() = None,
            GateCommand::StopWithin(limit) => self.stop_within(limit),
            GateCommand::Drain => self.drain(),
            GateCommand::Reopen => self.is_draining.set(false),
            GateCommand::AcceptLink { stream, buffered } => {
                let gate = Rc::clone(self);
                ntex::rt::spawn(async move {
                    if let Err(error) = serve_remote(gate, stream, buffered).await {
                        log::debug!(target: "gate", "link ended: {error}");
                    }
                });
            }
            GateCommand::AcceptLocal {
                sender,
                receiver,
                hello,
            } => {
                ntex::rt::spawn(serve_local(Rc::clone(self), sender, receiver, hello));
            }
        }
    }

    fn set_backend(self: &Rc<Self>, target: BackendTarget) {
        let current = self.client.borrow().clone();
        if current.is_some_and(|client| *client.target() == target) {
            return;
        }
        let slots = target.slots;
        log::info!(
            target: "gate",
            backend:% = target.id, service:% = target.service, address:% = target.address;
            "backend server set"
        );
        let client = BackendClient::new(target, self.dialect);
        *self.client.borrow_mut() = Some(Rc::new(client));
        let mut started = Vec::new();
        let mut admission = self.admission.borrow_mut();
        match admission.as_mut() {
            Some(admission) => {
                admission.forget_speed();
                started = admission.set_slots(self.now(), slots);
            }
            None => *admission = Some(AdmissionQueue::new(slots, self.options)),
        }
        drop(admission);
        self.start_turns(started);
        self.publish_status();
    }

    fn warm_up(&self, left: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.warm_up(self.now() + left);
        }
    }

    fn stop_within(&self, limit: Duration) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.stop_at(self.now() + limit);
        }
    }

    fn drain(&self) {
        self.is_draining.set(true);
        for sender in self.senders.borrow().values() {
            sender.send(LinkMessage::Leaving(LinkPing { load: None }));
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn sweep(&self) {
        self.ledger.borrow_mut().sweep(self.now());
    }

    /// Load as it rides on answers.
    pub fn load(&self) -> LoadSnapshot {
        let admission = self.admission.borrow();
        let load = admission.as_ref().map(|it| it.load(self.now()));
        load.map_or_else(LoadSnapshot::default, |load| LoadSnapshot {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            is_slow: load.is_slow,
        })
    }

    /// Takes in the load that the backend server stated.
    pub fn note_load(self: &Rc<Self>, load: BackendLoad) {
        let now = self.now();
        let started = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.note_slowness(now, load.slowness),
            None => Vec::new(),
        };
        self.start_turns(started);
        self.drop_evicted();
        self.publish_status();
    }

    fn publish_status(&self) {
        let load = self.load();
        self.status.send_replace(GateStatus {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
        });
    }

    /// Client of the backend server, if one is announced.
    pub fn backend_client(&self) -> Option<Rc<BackendClient>> {
        self.client.borrow().clone()
    }

    /// Decides on a call: start now, wait for the returned turn, or refuse.
    ///
    /// # Errors
    ///
    /// Why the call is refused, and when to come back.
    pub fn offer(
        self: &Rc<Self>,
        id: CallId,
        open: &CallOpen,
        time_left: Duration,
    ) -> Result<Option<oneshot::Receiver<()>>, GateRefusal> {
        let decision = self.decide(id, open, time_left);
        self.drop_evicted();
        self.publish_status();
        self.take_reading();
        self.metrics.count_admission(decision.name());
        log_admission(id, open, &decision, self.load());
        match decision {
            Admission::Start => Ok(None),
            Admission::Queued { .. } => {
                let (sender, turn) = oneshot::channel();
                self.turns.borrow_mut().insert(id, sender);
                Ok(Some(turn))
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

    fn decide(&self, id: CallId, open: &CallOpen, time_left: Duration) -> Admission {
        let refuse = |kind| Admission::Refused {
            kind,
            retry_after: UNLOADED_RETRY,
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
            ask_share: (open.max_occupancy_percent > 0)
                .then(|| f64::from(open.max_occupancy_percent) / 100.0),
        };
        let mut admission = self.admission.borrow_mut();
        match admission.as_mut() {
            Some(admission) => admission.offer(self.now(), offer),
            None => refuse(ErrorKind::NoUpstream),
        }
    }

    /// Notes the end of a call's work and starts those that waited for it.
    pub fn finish(self: &Rc<Self>, id: CallId, result: WorkResult) {
        let now = self.now();
        let (mut expired, mut started) = (Vec::new(), Vec::new());
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            expired = admission.expire(now);
            started = admission.finish(now, id, result);
        }
        for call in expired {
            // Dropping the turn tells the waiting call that its time is up.
            self.turns.borrow_mut().remove(&call);
        }
        self.start_turns(started);
        self.drop_evicted();
        self.take_reading();
        self.publish_status();
    }

    /// Tells calls that had to leave the queue, by dropping their turns.
    fn drop_evicted(&self) {
        let evicted = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.take_evicted(),
            None => Vec::new(),
        };
        for call in evicted {
            self.turns.borrow_mut().remove(&call);
        }
    }

    /// Refusal of a call that has waited in vain.
    pub fn late_refusal(&self, open: &CallOpen) -> GateRefusal {
        let admission = self.admission.borrow();
        let outline = CallOutline {
            rank: open.rank,
            target_left: Duration::from_micros(open.target_left_us.unwrap_or(open.time_left_us)),
            class: &open.class,
        };
        let estimate = admission
            .as_ref()
            .map(|it| it.estimate(self.now(), &outline));
        let Some((wait, finish)) = estimate else {
            return ErrorKind::WaitTooLong.into();
        };
        GateRefusal {
            kind: ErrorKind::WaitTooLong,
            retry_after: wait,
            estimated_finish: Some(finish),
        }
    }

    fn start_turns(self: &Rc<Self>, started: Vec<CallId>) {
        for id in started {
            let turn = self.turns.borrow_mut().remove(&id);
            let is_gone = turn.is_none_or(|turn| turn.send(()).is_err());
            if is_gone {
                self.finish(id, WorkResult::Cancelled);
            }
        }
    }

    /// Takes a waiting call out of the queue; false if its turn has come.
    pub fn withdraw(&self, id: CallId) -> bool {
        self.turns.borrow_mut().remove(&id);
        let mut admission = self.admission.borrow_mut();
        let is_withdrawn = admission
            .as_mut()
            .is_some_and(|admission| admission.withdraw(self.now(), id));
        drop(admission);
        self.publish_status();
        is_withdrawn
    }

    /// Permit to hand the call to the backend server; `None` if it must not run.
    pub fn permit(&self, id: CallId) -> Option<RunPermit> {
        self.ledger.borrow_mut().start(id)
    }

    /// Ends a run with a whole answer, kept until the ingress has it.
    pub fn end_answered(&self, permit: RunPermit, answer: KeptAnswer) {
        self.ledger
            .borrow_mut()
            .keep_answer(self.now(), permit, answer);
    }

    /// Ends a run that has no whole answer to keep.
    pub fn end_unanswered(&self, permit: RunPermit) {
        self.ledger.borrow_mut().end_unanswered(self.now(), permit);
    }

    /// Takes a permit back of which the backend server has seen nothing.
    pub fn return_permit(&self, permit: RunPermit) {
        self.ledger.borrow_mut().return_permit(self.now(), permit);
    }

    /// Notes that the call was refused and must never start.
    pub fn note_refused(&self, id: CallId) {
        self.ledger.borrow_mut().refuse(self.now(), id);
    }

    /// Notes that the call was cancelled; one that had not started never will.
    pub fn note_cancelled(&self, id: CallId) {
        self.ledger.borrow_mut().cancel(self.now(), id);
    }

    /// Ends the routing of messages to a call.
    pub fn forget(&self, id: CallId) {
        self.calls.borrow_mut().remove(&id);
    }
}

fn log_admission(id: CallId, open: &CallOpen, decision: &Admission, load: LoadSnapshot) {
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
        ask_percent = open.max_occupancy_percent,
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
