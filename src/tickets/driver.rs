//! The tasks that drive change tickets on the control thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::{mpsc, watch};

use super::answer::{RefusalReason, SubmitOutcome};
use super::body::ChangeTicket;
use super::handle::{ConfigCommand, ConfigSettings};
use super::head::TicketHead;
use super::peers::{NewerPeers, fetch_from_newer_peers};
use super::state::{TicketDelta, TicketState, is_accepted_body};
use super::submit::{SubmitBackoff, body_key, submit_ticket};
use super::view::lookup_ticket;
use super::watcher::watch_head;
use crate::ids::TicketNumber;
use crate::store::seeds::{SeedLook, read_seeds};
use crate::store::{ConfigStore, StoreError};

/// Time limit of a submission, below the one of the administration API.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Time after which no further attempt is begun.
const RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Longest first pause between attempts; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest pause between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest pause after the first vain look for nodes to join through.
const INITIAL_SEED_BACKOFF: Duration = Duration::from_secs(1);
/// Longest pause after many.
const MAX_SEED_BACKOFF: Duration = Duration::from_secs(16);
/// Pause between attempts to apply a head whose bodies can't be read.
const APPLY_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts to apply such a head before it is left to peers and the watch.
const MAX_APPLY_ATTEMPTS: u32 = 20;

/// State that the tasks share on the control thread.
pub struct DriverState {
    /// Settings of the node.
    pub settings: ConfigSettings,
    /// Peers to fetch from.
    pub newer_peers: RefCell<NewerPeers>,
    state_sender: watch::Sender<Arc<TicketState>>,
    /// Longest pause before the next look for seeds.
    seed_backoff: Cell<Duration>,
}

impl DriverState {
    /// Version of the head in force.
    pub fn head_version(&self) -> u64 {
        self.state_sender.borrow().head_version()
    }

    /// Waits until no handle is left.
    pub async fn wait_for_handles_dropped(&self) {
        self.state_sender.closed().await;
    }

    /// Applies a delta and publishes the result; false if it is of no use.
    pub fn apply_delta(&self, delta: &TicketDelta) -> bool {
        self.state_sender
            .send_if_modified(|state| Arc::make_mut(state).apply_delta(delta))
    }

    /// Applies a head with the bodies given; false if one is missing.
    fn apply_head_with(
        &self,
        head: &TicketHead,
        bodies: &BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        self.state_sender
            .send_if_modified(|state| Arc::make_mut(state).apply_head(head, bodies));
        self.head_version() >= head.version
    }

    /// Reads the bodies that a head needs and applies it.
    ///
    /// Returns false if a body could not be read, or is gone because the
    /// store already has a newer head.
    pub async fn fetch_bodies_and_apply<S: ConfigStore>(
        &self,
        store: &S,
        head: &TicketHead,
        bodies: &mut BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        if self.head_version() >= head.version {
            return true;
        }
        let missing = self.state_sender.borrow().missing_bodies(head);
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
        self.apply_head_with(head, bodies)
    }
}

/// Pauses of random length that double, up to a limit on the whole.
struct JitteredBackoff {
    started: Instant,
    pause_limit: Duration,
}

impl SubmitBackoff for JitteredBackoff {
    async fn wait_before_retry(&mut self) -> bool {
        let pause = rand::rng().random_range(Duration::ZERO..self.pause_limit);
        self.pause_limit = (self.pause_limit * 2).min(MAX_BACKOFF);
        if self.started.elapsed() + pause > RETRY_PERIOD {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }
}

/// Starts the tasks on the present thread's ntex runtime.
pub fn start_tasks<S: ConfigStore + 'static>(
    settings: ConfigSettings,
    store: S,
    queue: mpsc::Receiver<ConfigCommand>,
    publisher: watch::Sender<Arc<TicketState>>,
    rank: watch::Receiver<u32>,
) {
    let shared = Rc::new(DriverState {
        settings,
        state_sender: publisher,
        newer_peers: RefCell::default(),
        seed_backoff: Cell::default(),
    });
    let store = Rc::new(store);
    ntex::rt::spawn(run_commands(shared.clone(), store.clone(), queue));
    ntex::rt::spawn(watch_head(shared, store, rank));
}

async fn run_commands<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
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
                    let _ = reply.send(submit_serialized(shared, store, &turn, ticket).await);
                });
            }
            ConfigCommand::Lookup(number, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let state = shared.state_sender.borrow().clone();
                    let _ = reply.send(lookup_ticket(&state, &*store, number).await);
                });
            }
            ConfigCommand::ReadSeeds(look, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let _ = reply.send(read_seeds_with_backoff(&shared, &*store, look).await);
                });
            }
            ConfigCommand::NewerPeerHead(peer, version) => {
                let is_newer = version > shared.head_version();
                if is_newer && shared.newer_peers.borrow_mut().add(version, peer) {
                    let shared = shared.clone();
                    ntex::rt::spawn(async move { fetch_from_newer_peers(&shared).await });
                }
            }
        }
    }
}

/// Submits a ticket when it has its turn, within the limit.
async fn submit_serialized<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    turn: &tokio::sync::Mutex<()>,
    ticket: ChangeTicket,
) -> SubmitOutcome {
    let end = tokio::time::Instant::now() + SUBMIT_TIMEOUT;
    let Ok(_guard) = tokio::time::timeout_at(end, turn.lock()).await else {
        return SubmitOutcome::Refused {
            reason: RefusalReason::Contended,
        };
    };
    let submission = submit_and_apply(shared, store, ticket);
    let answer = tokio::time::timeout_at(end, submission).await;
    answer.unwrap_or_else(|_| SubmitOutcome::Unknown {
        reason: "store takes too long".to_string(),
    })
}

async fn submit_and_apply<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    ticket: ChangeTicket,
) -> SubmitOutcome {
    let number = ticket.number;
    let mut pacer = JitteredBackoff {
        started: Instant::now(),
        pause_limit: INITIAL_BACKOFF,
    };
    let least_version = shared.head_version();
    let report = submit_ticket(&*store, &ticket, least_version, &mut pacer).await;
    log::info!(target: "tickets", "ticket {number} submitted: {:?}", report.outcome);
    let mut bodies = BTreeMap::from([(number, ticket)]);
    let is_applied = match &report.newest_head {
        Some(head) => shared.apply_head_with(head, &bodies),
        None => true,
    };
    ntex::rt::spawn(async move {
        if let Some(head) = report.newest_head.filter(|_| !is_applied) {
            apply_with_retries(&shared, &*store, &head, &mut bodies).await;
        }
        for number in report.unreferenced_bodies {
            let _ = store.remove(&body_key(number)).await;
        }
    });
    report.outcome
}

/// Applies a head whose bodies are still missing here.
async fn apply_with_retries<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    head: &TicketHead,
    bodies: &mut BTreeMap<TicketNumber, ChangeTicket>,
) {
    for _ in 0..MAX_APPLY_ATTEMPTS {
        if shared.fetch_bodies_and_apply(store, head, bodies).await {
            return;
        }
        tokio::time::sleep(APPLY_RETRY_INTERVAL).await;
    }
    log::warn!(target: "tickets", "head {} could not be applied", head.version);
}

/// Reads seeds; after each vain look the next one waits up to twice as long.
///
/// A whole fleet that starts at once thus stays within the store's rate.
async fn read_seeds_with_backoff<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    look: SeedLook,
) -> Result<Vec<SocketAddr>, StoreError> {
    let longest = shared.seed_backoff.get();
    if !longest.is_zero() {
        let pause = rand::rng().random_range(Duration::ZERO..longest);
        tokio::time::sleep(pause).await;
    }
    let seeds = read_seeds(store, &shared.settings.zone, look, &mut rand::rng()).await;
    let is_vain = seeds.as_ref().map_or(true, Vec::is_empty);
    let next = (longest * 2).clamp(INITIAL_SEED_BACKOFF, MAX_SEED_BACKOFF);
    shared
        .seed_backoff
        .set(if is_vain { next } else { Duration::ZERO });
    seeds
}
