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

use super::driver::DriverShared;
use super::head::TicketHead;
use super::submit::HEAD_KEY;
use crate::store::seeds::{register_seed, zone_lease_key};
use crate::store::{ConfigStore, LeaseId, StoreError, WatchPosition, WatchResult};

/// Nodes of a zone that compete for its lease.
const WATCH_CANDIDATES: u32 = 3;
/// Time after which a lease that isn't renewed lapses.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time from taking the lease to registering a seed, which keeps the calls
/// after an outage apart.
const SEED_DELAY: Duration = Duration::from_secs(1);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait of one watch; a connection that has gone silent ends with it.
const WATCH_LIMIT: Duration = Duration::from_secs(20);
/// Time that a free lease is left to each lower node of the zone.
const TURN: Duration = Duration::from_secs(2);
/// Longest first pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Pause after failures in a row.
struct FailurePause(Duration);

impl FailurePause {
    fn new() -> Self {
        Self(FIRST_PAUSE)
    }

    async fn wait(&mut self) {
        let pause = rand::rng().random_range(self.0 / 2..self.0);
        self.0 = (self.0 * 2).min(MAX_PAUSE);
        tokio::time::sleep(pause).await;
    }
}

/// Competes for the zone's lease and watches the head while holding it.
///
/// Ends when no handle is left.
pub async fn watch_head<S: ConfigStore>(
    shared: Rc<DriverShared>,
    store: Rc<S>,
    rank: watch::Receiver<u32>,
) {
    tokio::select! {
        () = shared.closed() => {}
        () = compete(&shared, &*store, rank) => {}
    }
}

async fn compete<S: ConfigStore>(shared: &DriverShared, store: &S, mut rank: watch::Receiver<u32>) {
    let mut pause = FailurePause::new();
    // Nodes that start together don't ask together.
    pause.wait().await;
    while rank.wait_for(|rank| *rank < WATCH_CANDIDATES).await.is_ok() {
        match hold_once(shared, store, &mut rank).await {
            Ok(()) => pause = FailurePause::new(),
            Err(error) => {
                log::warn!(target: "tickets", "store watch failed: {error}");
                pause.wait().await;
            }
        }
    }
}

/// Waits for the lease to be free, takes it, and watches until it is lost.
async fn hold_once<S: ConfigStore>(
    shared: &DriverShared,
    store: &S,
    rank: &mut watch::Receiver<u32>,
) -> Result<(), StoreError> {
    let key = zone_lease_key(&shared.settings.zone);
    let mut position = WatchPosition::default();
    loop {
        let answer = store.watch(&key, position, WATCH_LIMIT).await?;
        if answer.value.is_none() && !answer.is_unchanged {
            break;
        }
        if *rank.borrow() >= WATCH_CANDIDATES {
            return Ok(());
        }
        position = answer.position;
    }
    let turn = TURN * *rank.borrow();
    if !turn.is_zero() {
        tokio::time::sleep(turn).await;
        if store.get(&key).await?.is_some() {
            return Ok(());
        }
    }
    let lease = store.grant_lease(LEASE_TTL).await?;
    let address = Bytes::from(shared.settings.peer_address.to_string());
    if !store.acquire(&key, address, &lease).await? {
        return store.revoke_lease(&lease).await;
    }
    log::info!(
        target: "tickets",
        "watching the head for zone {}",
        shared.settings.zone
    );
    tokio::select! {
        () = keep_lease(store, &lease, shared.settings.peer_address) => Ok(()),
        () = follow_head(shared, store) => Ok(()),
    }
}

/// Registers a seed and renews the lease until the store says that it has lapsed.
///
/// A seed that could not be registered is tried again with each renewal: others
/// may have no other way to the zone.
async fn keep_lease(store: &impl ConfigStore, lease: &LeaseId, seed: SocketAddr) {
    tokio::time::sleep(SEED_DELAY).await;
    let mut is_registered = false;
    loop {
        if !is_registered {
            match register_seed(store, seed, lease, &mut rand::rng()).await {
                Ok(_) => is_registered = true,
                Err(error) => log::warn!(target: "tickets", "seed not registered: {error}"),
            }
        }
        tokio::time::sleep(RENEW_INTERVAL).await;
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
async fn follow_head<S: ConfigStore>(shared: &DriverShared, store: &S) {
    let mut position = WatchPosition::default();
    let mut pause = FailurePause::new();
    loop {
        match store.watch(HEAD_KEY, position, WATCH_LIMIT).await {
            Ok(answer) => {
                position = answer.position;
                if apply_answer(shared, store, &answer).await {
                    pause = FailurePause::new();
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
async fn apply_answer<S: ConfigStore>(
    shared: &DriverShared,
    store: &S,
    answer: &WatchResult,
) -> bool {
    let Some(stored) = &answer.value else {
        return true;
    };
    match TicketHead::decode(&stored.bytes) {
        Ok(head) => shared.apply_head(store, &head, &mut BTreeMap::new()).await,
        Err(error) => {
            log::error!(target: "tickets", "{error}");
            false
        }
    }
}

#[cfg(test)]
mod tests;
