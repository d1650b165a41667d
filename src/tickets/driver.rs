//! The tasks that drive change tickets on the control thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::{mpsc, watch};

use super::answer::{RefusalReason, SubmitAnswer};
use super::body::ChangeTicket;
use super::handle::{ConfigCommand, ConfigSettings};
use super::head::TicketHead;
use super::peers::{FetchSources, fetch_newer};
use super::state::{TicketDelta, TicketState, is_accepted_body};
use super::submit::{SubmitPacer, body_key, submit_ticket};
use super::view::show_ticket;
use super::watcher::watch_head;
use crate::ids::TicketNumber;
use crate::store::seeds::{SeedPurpose, read_seeds};
use crate::store::{ConfigStore, StoreError};

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

/// Starts the tasks on the present thread's ntex runtime.
pub fn start_tasks<S: ConfigStore + 'static>(
    settings: ConfigSettings,
    store: S,
    queue: mpsc::Receiver<ConfigCommand>,
    publisher: watch::Sender<Arc<TicketState>>,
    rank: watch::Receiver<u32>,
) {
    let shared = Rc::new(DriverShared {
        settings,
        publisher,
        sources: RefCell::default(),
        seed_pause: Cell::default(),
    });
    let store = Rc::new(store);
    ntex::rt::spawn(run_commands(shared.clone(), store.clone(), queue));
    ntex::rt::spawn(watch_head(shared, store, rank));
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
            ConfigCommand::ReadSeeds(look, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let _ = reply.send(read_seeds_paced(&shared, &*store, look).await);
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
    let least_version = shared.head_version();
    let report = submit_ticket(&*store, &ticket, least_version, &mut pacer).await;
    log::info!(target: "tickets", "ticket {number} submitted: {:?}", report.answer);
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
    log::warn!(target: "tickets", "head {} could not be applied", head.version);
}

/// Reads seeds; after each vain look the next one waits up to twice as long.
///
/// A whole fleet that starts at once thus stays within the store's rate.
async fn read_seeds_paced<S: ConfigStore>(
    shared: &DriverShared,
    store: &S,
    look: SeedPurpose,
) -> Result<Vec<SocketAddr>, StoreError> {
    let longest = shared.seed_pause.get();
    if !longest.is_zero() {
        let pause = rand::rng().random_range(Duration::ZERO..longest);
        tokio::time::sleep(pause).await;
    }
    let seeds = read_seeds(store, &shared.settings.zone, look, &mut rand::rng()).await;
    let is_vain = seeds.as_ref().map_or(true, Vec::is_empty);
    let next = (longest * 2).clamp(FIRST_SEED_PAUSE, MAX_SEED_PAUSE);
    shared
        .seed_pause
        .set(if is_vain { next } else { Duration::ZERO });
    seeds
}
