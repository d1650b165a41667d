//! Watch of the head by one node of each availability zone, elected by a lease.
//!
//! The lease only saves calls to the store and is not needed for correctness. A
//! holder whose process was suspended past the expiry of its lease reads the
//! head once more, which is harmless, and its next renewal fails. Only the first
//! few nodes of a zone by name compete, so the load on the store doesn't grow
//! with the fleet; they watch the lease's key, and a node takes a free lease only
//! after those that precede it had time to. Exponential backoff with jitter
//! prevents a thundering herd at the end of a store outage.

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
use crate::store::seeds::{register_seed, zone_lease_key};
use crate::store::{ConfigStore, LeaseId, StoreError, WatchPosition, WatchResult};

/// Number of nodes of a zone that compete for its lease.
const LEASE_CANDIDATES_PER_ZONE: u32 = 3;
/// Time after which a lease expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Delay between acquiring the lease and registering a seed, which spreads the
/// calls after an outage.
const SEED_REGISTRATION_DELAY: Duration = Duration::from_secs(1);
/// Time between renewals of the lease.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Timeout of one watch call; it also ends a call on a dead connection.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a node takes a free lease, per node of the zone that precedes it
/// by name.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Upper bound of the delay after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the delay after any failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Backoff for consecutive failures: a random delay between half the bound and
/// the bound.
struct FailureBackoff(Duration);

impl FailureBackoff {
    fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    async fn wait(&mut self) {
        let delay = rand::rng().random_range(self.0 / 2..self.0);
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        tokio::time::sleep(delay).await;
    }
}

/// Competes for the zone's lease and watches the head while holding it.
///
/// Ends when all handles are dropped.
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
    let mut backoff = FailureBackoff::new();
    // Spreads the first calls of nodes that start at the same time.
    backoff.wait().await;
    while rank
        .wait_for(|rank| *rank < LEASE_CANDIDATES_PER_ZONE)
        .await
        .is_ok()
    {
        match acquire_and_watch(shared, store, &mut rank).await {
            Ok(()) => backoff = FailureBackoff::new(),
            Err(error) => {
                log::warn!(target: "tickets", "store watch failed: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Waits until the lease is free, acquires it, and watches the head until it expires.
///
/// Returns early if another node holds the lease or this one is no longer a
/// candidate.
async fn acquire_and_watch<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    rank: &mut watch::Receiver<u32>,
) -> Result<(), StoreError> {
    let key = zone_lease_key(&shared.settings.zone);
    let mut position = WatchPosition::default();
    loop {
        let watched = store.watch(&key, position, WATCH_TIMEOUT).await?;
        if watched.value.is_none() && !watched.is_unchanged {
            break;
        }
        if *rank.borrow() >= LEASE_CANDIDATES_PER_ZONE {
            return Ok(());
        }
        position = watched.position;
    }
    let rank_delay = DELAY_PER_RANK * *rank.borrow();
    if !rank_delay.is_zero() {
        tokio::time::sleep(rank_delay).await;
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
        "acquired the watch lease of zone {}, watching the head",
        shared.settings.zone
    );
    tokio::select! {
        () = maintain_lease(store, &lease, shared.settings.peer_address) => Ok(()),
        () = follow_head(shared, store) => Ok(()),
    }
}

/// Registers a seed and renews the lease until the store reports it as expired.
///
/// A failed registration is retried with each renewal, because other nodes may
/// have no other address through which to reach the zone.
async fn maintain_lease(store: &impl ConfigStore, lease: &LeaseId, seed: SocketAddr) {
    tokio::time::sleep(SEED_REGISTRATION_DELAY).await;
    let mut is_registered = false;
    loop {
        if !is_registered {
            match register_seed(store, seed, lease, &mut rand::rng()).await {
                Ok(_) => is_registered = true,
                Err(error) => log::warn!(
                    target: "tickets",
                    "seed not registered, retrying after the next lease renewal: {error}"
                ),
            }
        }
        tokio::time::sleep(LEASE_RENEW_INTERVAL).await;
        match store.renew_lease(lease).await {
            Ok(true) => {}
            Ok(false) => {
                log::info!(target: "tickets", "watch lease expired, competing for it again");
                return;
            }
            Err(error) => log::warn!(
                target: "tickets",
                "watch lease not renewed, retrying: {error}"
            ),
        }
    }
}

/// Applies every head that the watch reports; never returns.
async fn follow_head<S: ConfigStore>(shared: &DriverState, store: &S) {
    let mut position = WatchPosition::default();
    let mut backoff = FailureBackoff::new();
    loop {
        match store.watch(HEAD_KEY, position, WATCH_TIMEOUT).await {
            Ok(watched) => {
                position = watched.position;
                if apply_watched_head(shared, store, &watched).await {
                    backoff = FailureBackoff::new();
                } else {
                    position = WatchPosition::default();
                    backoff.wait().await;
                }
            }
            Err(error) => {
                log::warn!(target: "tickets", "watch of the head failed, retrying: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Applies the head that a watch reported; returns false if it has to be read again.
async fn apply_watched_head<S: ConfigStore>(
    shared: &DriverState,
    store: &S,
    watched: &WatchResult,
) -> bool {
    let Some(stored) = &watched.value else {
        return true;
    };
    match TicketHead::decode(&stored.bytes) {
        Ok(head) => {
            shared
                .fetch_bodies_and_apply(store, &head, &mut BTreeMap::new())
                .await
        }
        Err(error) => {
            log::error!(target: "tickets", "stored head is invalid, reading it again: {error}");
            false
        }
    }
}

#[cfg(test)]
mod tests;
