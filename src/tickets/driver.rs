//! The tasks that drive change tickets on the control thread.
//!
//! A [`ConfigHandle`] can be cloned and used from any thread. When the last
//! one is dropped, its channels close and the tasks end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::Rng;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};

use super::body::ChangeTicket;
use super::head::TicketHead;
use super::peers::{FetchSources, answer_fetch, fetch_newer};
use super::state::{TicketDelta, TicketState, is_accepted_body};
use super::submit::{HEAD_KEY, RefusalReason, SubmitAnswer, SubmitPacer, body_key, submit_ticket};
use super::watcher::watch_head;
use crate::exchange::PeerHello;
use crate::ids::{NodeId, ServiceName, TicketNumber, ZoneName};
use crate::store::seeds::read_seeds;
use crate::store::{ConfigStore, StoreError};

/// Commands that wait for the control thread at one time.
const COMMAND_QUEUE: usize = 256;
/// Time limit of a submission, below the one of the administration API.
const SUBMIT_LIMIT: Duration = Duration::from_millis(7_500);
/// Time after which no further attempt is begun.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(5);
/// Longest first pause between attempts; doubles with each attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause after the first vain look for nodes to join through.
const FIRST_SEED_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after many.
const MAX_SEED_PAUSE: Duration = Duration::from_secs(16);
/// Pause between attempts to apply a head whose bodies can't be read.
const APPLY_PAUSE: Duration = Duration::from_millis(300);
/// Attempts to apply such a head before it is left to peers and the watch.
const APPLY_ATTEMPTS: u32 = 20;

/// What the tasks need to know of their node.
#[derive(Debug, Clone)]
pub struct ConfigSettings {
    /// First frame of exchanges with peers.
    pub hello: PeerHello,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the node's peer listener.
    pub peer_address: SocketAddr,
}

/// What is known of a ticket number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketStatus {
    /// In force for at least one service.
    InForce,
    /// Accepted, and superseded for every service.
    Superseded,
    /// Accepted, and about to come into force at this node.
    Accepted,
    /// Not accepted, or superseded so long ago that it isn't listed any more.
    NotListed,
    /// Not in force here, and the store can't be asked.
    Unknown,
}

/// Ticket as an operator sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketView {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// What is known of it.
    pub status: TicketStatus,
    /// Services for which it is in force; false where it removed the service.
    pub in_force: BTreeMap<ServiceName, bool>,
    /// Content, while the store keeps it and can be asked.
    pub ticket: Option<ChangeTicket>,
}

enum ConfigCommand {
    Submit(ChangeTicket, oneshot::Sender<SubmitAnswer>),
    Show(TicketNumber, oneshot::Sender<TicketView>),
    ReadSeeds(oneshot::Sender<Result<Vec<SocketAddr>, StoreError>>),
    PeerHead(SocketAddr, u64),
}

/// Access to change tickets for the rest of the node.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    commands: mpsc::Sender<ConfigCommand>,
    state: watch::Receiver<Arc<TicketState>>,
    zone_rank: watch::Sender<u32>,
}

impl ConfigHandle {
    /// Starts the tasks on the present thread's ntex runtime.
    pub fn start<S: ConfigStore + 'static>(settings: ConfigSettings, store: S) -> Self {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
        let (publisher, state) = watch::channel(Arc::default());
        let (zone_rank, rank) = watch::channel(0);
        let shared = Rc::new(DriverShared {
            settings,
            publisher,
            sources: RefCell::default(),
            seed_pause: Cell::default(),
        });
        let store = Rc::new(store);
        ntex::rt::spawn(run_commands(shared.clone(), store.clone(), queue));
        ntex::rt::spawn(watch_head(shared, store, rank));
        Self {
            commands,
            state,
            zone_rank,
        }
    }

    /// Submits a ticket and waits for its answer, at most 7.5 s.
    pub async fn submit(&self, ticket: ChangeTicket) -> SubmitAnswer {
        let (reply, answer) = oneshot::channel();
        let command = ConfigCommand::Submit(ticket, reply);
        if self.commands.send(command).await.is_err() {
            let reason = "node is shutting down".to_string();
            return SubmitAnswer::Refused {
                reason: RefusalReason::StoreAway { reason },
            };
        }
        answer.await.unwrap_or_else(|_| SubmitAnswer::Unknown {
            reason: "node is shutting down".to_string(),
        })
    }

    /// Looks up what is known of a ticket.
    pub async fn show(&self, number: TicketNumber) -> TicketView {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(ConfigCommand::Show(number, reply)).await;
        let local = || local_view(&self.state.borrow(), number);
        answer.await.unwrap_or_else(|_| local())
    }

    /// Reads addresses of nodes to join through from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached.
    pub async fn read_seeds(&self) -> Result<Vec<SocketAddr>, StoreError> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(ConfigCommand::ReadSeeds(reply)).await;
        answer.await.unwrap_or_else(|_| {
            Err(StoreError::NotDone {
                reason: "node is shutting down".to_string(),
            })
        })
    }

    /// Tells that a peer has a head of the given version.
    ///
    /// Cheap when the version isn't newer; call it for every report of a peer.
    pub fn on_peer_head(&self, _node: &NodeId, peer_address: SocketAddr, version: u64) {
        if version > self.head_version() {
            // A full queue loses the report; the next round of gossip repeats it.
            let _ = self
                .commands
                .try_send(ConfigCommand::PeerHead(peer_address, version));
        }
    }

    /// Tells how many live nodes of the own zone have a lower id than this one.
    ///
    /// Only the lowest few compete for the zone's watch lease.
    pub fn set_zone_rank(&self, rank: u32) {
        self.zone_rank.send_if_modified(|present| {
            let is_changed = *present != rank;
            *present = rank;
            is_changed
        });
    }

    /// Answers a peer's request on [`ControlTopic::Tickets`](crate::exchange::ControlTopic).
    pub fn handle_fetch(&self, request: Bytes) -> Bytes {
        answer_fetch(&self.state.borrow(), request)
    }

    /// Version of the head in force here, to be spread to peers.
    pub fn head_version(&self) -> u64 {
        self.state.borrow().head_version()
    }

    /// Configuration in force, and every later one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<TicketState>> {
        self.state.clone()
    }
}

/// State that the tasks share on the control thread.
pub struct DriverShared {
    /// Settings of the node.
    pub settings: ConfigSettings,
    /// Peers to fetch from.
    pub sources: RefCell<FetchSources>,
    publisher: watch::Sender<Arc<TicketState>>,
    /// Longest pause before the next look for seeds.
    seed_pause: Cell<Duration>,
}

impl DriverShared {
    /// Version of the head in force.
    pub fn head_version(&self) -> u64 {
        self.publisher.borrow().head_version()
    }

    /// Waits until no handle is left.
    pub async fn closed(&self) {
        self.publisher.closed().await;
    }

    /// Applies a delta and publishes the result; false if it is of no use.
    pub fn apply_delta(&self, delta: &TicketDelta) -> bool {
        self.publisher
            .send_if_modified(|state| Arc::make_mut(state).apply(delta))
    }

    /// Applies a head with the bodies given; false if one is missing.
    fn apply_bodies(
        &self,
        head: &TicketHead,
        bodies: &BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        self.publisher
            .send_if_modified(|state| Arc::make_mut(state).apply_head(head, bodies));
        self.head_version() >= head.version
    }

    /// Reads the bodies that a head needs and applies it.
    ///
    /// Returns false if a body could not be read, or is gone because the
    /// store already has a newer head.
    pub async fn apply_head<S: ConfigStore>(
        &self,
        store: &S,
        head: &TicketHead,
        bodies: &mut BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        if self.head_version() >= head.version {
            return true;
        }
        let missing = self.publisher.borrow().missing_bodies(head);
        for number in missing {
            if bodies.contains_key(&number) {
                continue;
            }
            let Ok(Some(stored)) = store.get(&body_key(number)).await else {
                return false;
            };
            if !is_accepted_body(head, number, &stored.bytes) {
                return false;
            }
            let Ok(ticket) = ChangeTicket::decode(&stored.bytes) else {
                return false;
            };
            bodies.insert(number, ticket);
        }
        self.apply_bodies(head, bodies)
    }
}

/// Pauses of random length that double, up to a limit on the whole.
struct BackoffPacer {
    started: Instant,
    pause: Duration,
}

impl SubmitPacer for BackoffPacer {
    async fn next_attempt(&mut self) -> bool {
        let pause = rand::rng().random_range(Duration::ZERO..self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if self.started.elapsed() + pause > ATTEMPT_LIMIT {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }
}

async fn run_commands<S: ConfigStore + 'static>(
    shared: Rc<DriverShared>,
    store: Rc<S>,
    mut queue: mpsc::Receiver<ConfigCommand>,
) {
    // One submission at a time: tickets of one node need not race each other.
    let turn = Rc::new(tokio::sync::Mutex::new(()));
    while let Some(command) = queue.recv().await {
        match command {
            ConfigCommand::Submit(ticket, reply) => {
                let (shared, store, turn) = (shared.clone(), store.clone(), turn.clone());
                ntex::rt::spawn(async move {
                    let _ = reply.send(submit_in_turn(shared, store, &turn, ticket).await);
                });
            }
            ConfigCommand::Show(number, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let state = shared.publisher.borrow().clone();
                    let _ = reply.send(show_ticket(&state, &*store, number).await);
                });
            }
            ConfigCommand::ReadSeeds(reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let _ = reply.send(read_seeds_paced(&shared, &*store).await);
                });
            }
            ConfigCommand::PeerHead(peer, version) => {
                let is_newer = version > shared.head_version();
                if is_newer && shared.sources.borrow_mut().note(version, peer) {
                    let shared = shared.clone();
                    ntex::rt::spawn(async move { fetch_newer(&shared).await });
                }
            }
        }
    }
}

/// Submits a ticket when it has its turn, within the limit.
async fn submit_in_turn<S: ConfigStore + 'static>(
    shared: Rc<DriverShared>,
    store: Rc<S>,
    turn: &tokio::sync::Mutex<()>,
    ticket: ChangeTicket,
) -> SubmitAnswer {
    let end = tokio::time::Instant::now() + SUBMIT_LIMIT;
    let Ok(_guard) = tokio::time::timeout_at(end, turn.lock()).await else {
        return SubmitAnswer::Refused {
            reason: RefusalReason::Contended,
        };
    };
    let submission = run_submit(shared, store, ticket);
    let answer = tokio::time::timeout_at(end, submission).await;
    answer.unwrap_or_else(|_| SubmitAnswer::Unknown {
        reason: "store takes too long".to_string(),
    })
}

async fn run_submit<S: ConfigStore + 'static>(
    shared: Rc<DriverShared>,
    store: Rc<S>,
    ticket: ChangeTicket,
) -> SubmitAnswer {
    let number = ticket.number;
    let mut pacer = BackoffPacer {
        started: Instant::now(),
        pause: FIRST_PAUSE,
    };
    let report = submit_ticket(&*store, &ticket, &mut pacer).await;
    log::info!("tickets: ticket {number} submitted: {:?}", report.answer);
    let mut bodies = BTreeMap::from([(number, ticket)]);
    let is_applied = match &report.head {
        Some(head) => shared.apply_bodies(head, &bodies),
        None => true,
    };
    ntex::rt::spawn(async move {
        if let Some(head) = report.head.filter(|_| !is_applied) {
            apply_patiently(&shared, &*store, &head, &mut bodies).await;
        }
        for number in report.garbage {
            let _ = store.remove(&body_key(number)).await;
        }
    });
    report.answer
}

/// Applies a head whose bodies are still missing here.
async fn apply_patiently<S: ConfigStore>(
    shared: &DriverShared,
    store: &S,
    head: &TicketHead,
    bodies: &mut BTreeMap<TicketNumber, ChangeTicket>,
) {
    for _ in 0..APPLY_ATTEMPTS {
        if shared.apply_head(store, head, bodies).await {
            return;
        }
        tokio::time::sleep(APPLY_PAUSE).await;
    }
    log::warn!("tickets: head {} could not be applied", head.version);
}

fn local_view(state: &TicketState, number: TicketNumber) -> TicketView {
    let in_force = state.services_of(number);
    let status = if in_force.is_empty() {
        TicketStatus::Unknown
    } else {
        TicketStatus::InForce
    };
    TicketView {
        number,
        status,
        in_force,
        ticket: None,
    }
}

/// Reads seeds; after each vain look the next one waits up to twice as long.
///
/// A whole fleet that starts at once thus stays within the store's rate.
async fn read_seeds_paced<S: ConfigStore>(
    shared: &DriverShared,
    store: &S,
) -> Result<Vec<SocketAddr>, StoreError> {
    let longest = shared.seed_pause.get();
    if !longest.is_zero() {
        let pause = rand::rng().random_range(Duration::ZERO..longest);
        tokio::time::sleep(pause).await;
    }
    let seeds = read_seeds(store, &shared.settings.zone, &mut rand::rng()).await;
    let is_vain = seeds.as_ref().map_or(true, Vec::is_empty);
    let next = (longest * 2).clamp(FIRST_SEED_PAUSE, MAX_SEED_PAUSE);
    shared
        .seed_pause
        .set(if is_vain { next } else { Duration::ZERO });
    seeds
}

async fn show_ticket<S: ConfigStore>(
    state: &TicketState,
    store: &S,
    number: TicketNumber,
) -> TicketView {
    let mut view = local_view(state, number);
    if let Ok(Some(stored)) = store.get(&body_key(number)).await {
        view.ticket = ChangeTicket::decode(&stored.bytes).ok();
    }
    if view.status == TicketStatus::InForce {
        return view;
    }
    if let Ok(stored) = store.get(HEAD_KEY).await {
        let head = stored.map_or_else(
            || Ok(TicketHead::default()),
            |stored| TicketHead::decode(&stored.bytes),
        );
        if let Ok(head) = head {
            view.status = listed_status(&head, number);
        }
    }
    // Content that was never accepted has no effect and is not shown.
    if view.status != TicketStatus::Accepted {
        view.ticket = None;
    }
    view
}

fn listed_status(head: &TicketHead, number: TicketNumber) -> TicketStatus {
    if head.accepted_digest(number).is_none() {
        return TicketStatus::NotListed;
    }
    let is_in_force = head.services.values().any(|entry| entry.number == number);
    if is_in_force {
        TicketStatus::Accepted
    } else {
        TicketStatus::Superseded
    }
}
