//! One node per availability zone waits on the head, chosen by a lease.
//!
//! The lease only saves calls to the store. A holder that was paused and
//! wakes believing in its lease reads the head once more, which does no harm,
//! and learns at its next renewal that the lease has lapsed. Only the few
//! lowest nodes of a zone compete, so the store's load doesn't grow with the
//! fleet; they wait on the lease's key, and a free lease is left to the lower
//! ones first. Random pauses that double keep an outage from ending in a
//! stampede.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::watch;

use super::driver::DriverState;
use super::head::TicketHead;
use super::submit::HEAD_KEY;
use crate::store::seeds::{register_seed, zone_key};
use crate::store::{ConfigStore, LeaseId, StoreError, WatchAnswer, WatchPosition};

/// Nodes of a zone that compete for its lease.
const LEASE_CANDIDATES_PER_ZONE: u32 = 3;
/// Time after which a lease that isn't renewed lapses.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time from taking the lease to registering a seed, which keeps the calls
/// after an outage apart.
const SEED_REGISTRATION_DELAY: Duration = Duration::from_secs(1);
/// Time between renewals.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait of one watch; a connection that has gone silent ends with it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a free lease is left to each lower node of the zone.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Longest first pause after a failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Pause after failures in a row.
struct FailureBackoff(Duration);

impl FailureBackoff {
    fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    async fn wait(&mut self) {
        let pause = rand::rng().random_range(self.0 / 2..self.0);
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        tokio::time::sleep(pause).await;
    }
}

/// Competes for the zone's lease and watches the head while holding it.
///
/// Ends when no handle is left.
pub async fn watch_head<S: ConfigStore>(
    shared: Rc<DriverState>,
    store: Rc<S>,
    rank: watch::Receiver<u32>,
) {
    tokio::select! {
        () = shared.wait_for_handles_dropped() => {}
        () = compete_for_lease(&shared, &*store, rank) => {}
    }
}

async fn compete_for_lease<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    mut rank: watch::Receiver<u32>,
) {
    let mut pause = FailureBackoff::new();
    // Nodes that start together don't ask together.
    pause.wait().await;
    while rank
        .wait_for(|rank| *rank < LEASE_CANDIDATES_PER_ZONE)
        .await
        .is_ok()
    {
        match acquire_and_watch(shared, store, &mut rank).await {
            Ok(()) => pause = FailureBackoff::new(),
            Err(error) => {
                log::warn!(target: "tickets", "store watch failed: {error}");
                pause.wait().await;
            }
        }
    }
}

/// Waits for the lease to be free, takes it, and watches until it is lost.
async fn acquire_and_watch<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    rank: &mut watch::Receiver<u32>,
) -> Result<(), StoreError> {
    let key = zone_key(&shared.settings.zone);
    let mut position = WatchPosition::default();
    loop {
        let answer = store.watch(&key, position, WATCH_TIMEOUT).await?;
        if answer.value.is_none() && !answer.is_unchanged {
            break;
        }
        if *rank.borrow() >= LEASE_CANDIDATES_PER_ZONE {
            return Ok(());
        }
        position = answer.position;
    }
    let turn = DELAY_PER_RANK * *rank.borrow();
    if !turn.is_zero() {
        tokio::time::sleep(turn).await;
        if store.get(&key).await?.is_some() {
            return Ok(());
        }
    }
    let lease = store.grant_lease(LEASE_TTL).await?;
    let address = Bytes::from(shared.settings.peer_address.to_string());
    if !store.acquire(&key, address, &lease).await? {
        return store.end_lease(&lease).await;
    }
    log::info!(
        target: "tickets",
        "watching the head for zone {}",
        shared.settings.zone
    );
    tokio::select! {
        () = maintain_lease(store, &lease, shared.settings.peer_address) => Ok(()),
        () = follow_head(shared, store) => Ok(()),
    }
}

/// Registers a seed and renews the lease until the store says that it has lapsed.
///
/// A seed that could not be registered is tried again with each renewal: others
/// may have no other way to the zone.
async fn maintain_lease(store: &impl ConfigStore, lease: &LeaseId, seed: SocketAddr) {
    tokio::time::sleep(SEED_REGISTRATION_DELAY).await;
    let mut is_registered = false;
    loop {
        if !is_registered {
            match register_seed(store, seed, lease, &mut rand::rng()).await {
                Ok(_) => is_registered = true,
                Err(error) => log::warn!(target: "tickets", "seed not registered: {error}"),
            }
        }
        tokio::time::sleep(LEASE_RENEW_INTERVAL).await;
        match store.renew_lease(lease).await {
            Ok(true) => {}
            Ok(false) => {
                log::info!(target: "tickets", "watch lease has lapsed");
                return;
            }
            Err(error) => log::warn!(target: "tickets", "lease renewal failed: {error}"),
        }
    }
}

/// Applies every head that the store shows; never ends by itself.
async fn follow_head<S: ConfigStore>(shared: &DriverState, store: &S) {
    let mut position = WatchPosition::default();
    let mut pause = FailureBackoff::new();
    loop {
        match store.watch(HEAD_KEY, position, WATCH_TIMEOUT).await {
            Ok(answer) => {
                position = answer.position;
                if apply_watched_head(shared, store, &answer).await {
                    pause = FailureBackoff::new();
                } else {
                    position = WatchPosition::default();
                    pause.wait().await;
                }
            }
            Err(error) => {
                log::warn!(target: "tickets", "head watch failed: {error}");
                pause.wait().await;
            }
        }
    }
}

/// Applies a watched head; false if it has to be read again.
async fn apply_watched_head<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    answer: &WatchAnswer,
) -> bool {
    let Some(stored) = &answer.value else {
        return true;
    };
    match TicketHead::decode(&stored.bytes) {
        Ok(head) => {
            shared
                .fetch_bodies_and_apply(store, &head, &mut BTreeMap::new())
                .await
        }
        Err(error) => {
            log::error!(target: "tickets", "{error}");
            false
        }
    }
}

#[cfg(test)]
mod tests;
