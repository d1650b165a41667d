//! Tasks that submit, look up and apply change tickets on the control thread.
//!
//! Commands of the handles run in tasks of their own, so that a slow store
//! delays only the command that waits for it. Submissions of one node run one
//! after the other.

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
use super::handle::{TicketsCommand, TicketsSettings};
use super::head::TicketHead;
use super::peers::{NewerPeers, fetch_from_newer_peers};
use super::state::{TicketDelta, TicketState, is_accepted_body};
use super::submit::{SubmitBackoff, body_key, submit_ticket};
use super::view::lookup_ticket;
use super::watcher::watch_head;
use crate::ids::TicketNumber;
use crate::store::seeds::{SeedPurpose, read_seeds};
use crate::store::{ConfigStore, StoreError};

/// Timeout of a submission; shorter than the administration API's.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Time from the start of a submission after which no attempt is started.
const RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Upper bound of the first random delay between attempts; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of every random delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Upper bound of the random delay after the first read that found no seeds.
const INITIAL_SEED_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum of that bound, which doubles with each such read.
const MAX_SEED_BACKOFF: Duration = Duration::from_secs(16);
/// Delay between attempts to apply a head whose bodies can't be read.
const APPLY_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts to apply such a head; after these the node relies on its peers and
/// on the watch of the head.
const MAX_APPLY_ATTEMPTS: u32 = 20;

/// State shared by the tasks on the control thread.
pub struct DriverState {
    /// Settings of the node.
    pub settings: TicketsSettings,
    /// Peers from which to fetch newer heads.
    pub newer_peers: RefCell<NewerPeers>,
    state_sender: watch::Sender<Arc<TicketState>>,
    /// Upper bound of the random delay before the next read of seeds.
    seed_backoff: Cell<Duration>,
}

impl DriverState {
    /// Version of the newest head that was applied.
    pub fn head_version(&self) -> u64 {
        self.state_sender.borrow().head_version()
    }

    /// Waits until all handles are dropped.
    pub async fn wait_for_handles_dropped(&self) {
        self.state_sender.closed().await;
    }

    /// Applies a delta and publishes the new state; returns false if the delta
    /// changes nothing.
    pub fn apply_delta(&self, delta: &TicketDelta) -> bool {
        self.state_sender
            .send_if_modified(|state| Arc::make_mut(state).apply_delta(delta))
    }

    /// Applies a head with the given bodies; returns false if one is missing.
    fn apply_head_with(
        &self,
        head: &TicketHead,
        bodies: &BTreeMap<TicketNumber, ChangeTicket>,
    ) -> bool {
        self.state_sender
            .send_if_modified(|state| Arc::make_mut(state).apply_head(head, bodies));
        self.head_version() >= head.version
    }

    /// Reads the missing bodies of a head from the store and applies the head.
    ///
    /// Returns false if a body could not be read, or was removed because the
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

/// Exponential backoff with full jitter, limited in total time.
struct JitteredBackoff {
    started: Instant,
    delay_limit: Duration,
}

impl SubmitBackoff for JitteredBackoff {
    async fn wait_before_retry(&mut self) -> bool {
        let delay = rand::rng().random_range(Duration::ZERO..self.delay_limit);
        self.delay_limit = (self.delay_limit * 2).min(MAX_BACKOFF);
        if self.started.elapsed() + delay > RETRY_PERIOD {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }
}

/// Starts the tasks on the current thread's ntex runtime.
pub fn start_tasks<S: ConfigStore + 'static>(
    settings: TicketsSettings,
    store: S,
    commands: mpsc::Receiver<TicketsCommand>,
    state_sender: watch::Sender<Arc<TicketState>>,
    zone_rank: watch::Receiver<u32>,
) {
    let shared = Rc::new(DriverState {
        settings,
        state_sender,
        newer_peers: RefCell::default(),
        seed_backoff: Cell::default(),
    });
    let store = Rc::new(store);
    ntex::rt::spawn(run_commands(shared.clone(), store.clone(), commands));
    ntex::rt::spawn(watch_head(shared, store, zone_rank));
}

async fn run_commands<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    mut commands: mpsc::Receiver<TicketsCommand>,
) {
    // Serializes submissions, so that a node's tickets don't contend for the head.
    let submit_lock = Rc::new(tokio::sync::Mutex::new(()));
    while let Some(command) = commands.recv().await {
        match command {
            TicketsCommand::Submit(ticket, reply) => {
                let (shared, store, submit_lock) =
                    (shared.clone(), store.clone(), submit_lock.clone());
                ntex::rt::spawn(async move {
                    let _ =
                        reply.send(submit_serialized(shared, store, &submit_lock, ticket).await);
                });
            }
            TicketsCommand::Lookup(number, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let state = shared.state_sender.borrow().clone();
                    let _ = reply.send(lookup_ticket(&state, &*store, number).await);
                });
            }
            TicketsCommand::ReadSeeds(purpose, reply) => {
                let (shared, store) = (shared.clone(), store.clone());
                ntex::rt::spawn(async move {
                    let _ = reply.send(read_seeds_with_backoff(&shared, &*store, purpose).await);
                });
            }
            TicketsCommand::NewerPeerHead(peer, version) => {
                let is_newer = version > shared.head_version();
                if is_newer && shared.newer_peers.borrow_mut().add(version, peer) {
                    let shared = shared.clone();
                    ntex::rt::spawn(async move { fetch_from_newer_peers(&shared).await });
                }
            }
        }
    }
}

/// Submits a ticket after the node's earlier ones; waiting counts towards the timeout.
async fn submit_serialized<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    submit_lock: &tokio::sync::Mutex<()>,
    ticket: ChangeTicket,
) -> SubmitOutcome {
    let deadline = tokio::time::Instant::now() + SUBMIT_TIMEOUT;
    let Ok(_guard) = tokio::time::timeout_at(deadline, submit_lock.lock()).await else {
        return SubmitOutcome::Refused {
            reason: RefusalReason::Contended,
        };
    };
    let submission = submit_and_apply(shared, store, ticket);
    let outcome = tokio::time::timeout_at(deadline, submission).await;
    outcome.unwrap_or_else(|_| SubmitOutcome::Unknown {
        reason: "store takes too long".to_string(),
    })
}

async fn submit_and_apply<S: ConfigStore + 'static>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    ticket: ChangeTicket,
) -> SubmitOutcome {
    let number = ticket.number;
    let mut backoff = JitteredBackoff {
        started: Instant::now(),
        delay_limit: INITIAL_BACKOFF,
    };
    let min_head_version = shared.head_version();
    let report = submit_ticket(&*store, &ticket, min_head_version, &mut backoff).await;
    log::info!(target: "tickets", "submission of ticket {number} ended: {:?}", report.outcome);
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

/// Applies a head of which some bodies have to be read from the store first.
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
    log::warn!(
        target: "tickets",
        "head version {} not applied, bodies can't be read; waiting for a peer or a newer head",
        head.version
    );
}

/// Reads seeds after a random delay, which doubles with each read that found none.
///
/// This keeps a fleet of nodes that start at the same time within the store's
/// rate limit.
async fn read_seeds_with_backoff<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    purpose: SeedPurpose,
) -> Result<Vec<SocketAddr>, StoreError> {
    let backoff = shared.seed_backoff.get();
    if !backoff.is_zero() {
        let delay = rand::rng().random_range(Duration::ZERO..backoff);
        tokio::time::sleep(delay).await;
    }
    let seeds = read_seeds(store, &shared.settings.zone, purpose, &mut rand::rng()).await;
    let found_none = seeds.as_ref().map_or(true, Vec::is_empty);
    let next_backoff = (backoff * 2).clamp(INITIAL_SEED_BACKOFF, MAX_SEED_BACKOFF);
    shared.seed_backoff.set(if found_none {
        next_backoff
    } else {
        Duration::ZERO
    });
    seeds
}
