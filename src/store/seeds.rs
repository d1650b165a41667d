//! A few addresses in the store, under leases, by which a node finds the fleet.
//!
//! The node that holds its availability zone's watch lease leaves its address
//! in the lease key of the zone and in one of a few slots for the fleet. A
//! joining node reads a handful of keys and never lists anything; membership
//! spreads from there.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::SliceRandom;

use super::{ConfigStore, LeaseId, StoreError};
use crate::ids::ZoneName;

/// Slots for the whole fleet.
const FLEET_SEED_SLOTS: u32 = 8;
/// Slots of the fleet that a holder tries at most.
const MAX_SLOTS_TRIED: usize = 4;
/// Pause between two reads of a node that knows no other; at most five a second.
const JOIN_READ_DELAY: Duration = Duration::from_millis(200);
/// Pause between two reads of a node that looks for other groups. After an
/// outage a look finds nothing and takes nine reads; without a pause those of
/// three zones made 28 in a second, and a zone may make 10 calls of all kinds.
const MERGE_READ_DELAY: Duration = Duration::from_secs(1);
/// Different addresses that are enough to join through.
const SUFFICIENT_SEEDS: usize = 2;

/// What a node looks for in the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeedPurpose {
    /// Any other node, as it knows none.
    Join,
    /// Groups that started apart, or forgot each other.
    Merge,
}

impl SeedPurpose {
    fn read_delay(self) -> Duration {
        match self {
            Self::Join => JOIN_READ_DELAY,
            Self::Merge => MERGE_READ_DELAY,
        }
    }
}

/// Key of the lease under which one node of a zone watches the head.
pub fn zone_lease_key(zone: &ZoneName) -> String {
    format!("currantlift/zones/{zone}")
}

fn fleet_seed_key(slot: u32) -> String {
    format!("currantlift/seeds/{slot}")
}

fn shuffled_slots(rng: &mut impl Rng) -> Vec<u32> {
    let mut slots: Vec<u32> = (0..FLEET_SEED_SLOTS).collect();
    slots.shuffle(rng);
    slots
}

/// Leaves an address in one free slot of the fleet.
///
/// # Errors
///
/// Returns the first error of the store.
pub async fn register_seed(
    store: &impl ConfigStore,
    address: SocketAddr,
    lease: &LeaseId,
    rng: &mut impl Rng,
) -> Result<bool, StoreError> {
    for slot in shuffled_slots(rng).into_iter().take(MAX_SLOTS_TRIED) {
        let value = Bytes::from(address.to_string());
        if store.acquire(&fleet_seed_key(slot), value, lease).await? {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Reads addresses of nodes to join through, those of the own zone first.
///
/// # Errors
///
/// Fails only if the store answered none of the reads.
pub async fn read_seeds(
    store: &impl ConfigStore,
    zone: &ZoneName,
    purpose: SeedPurpose,
    rng: &mut impl Rng,
) -> Result<Vec<SocketAddr>, StoreError> {
    let slots = shuffled_slots(rng).into_iter();
    let keys = std::iter::once(zone_lease_key(zone)).chain(slots.map(fleet_seed_key));
    let mut seeds = Vec::new();
    let mut last_error = None;
    let mut any_read_succeeded = false;
    for (index, key) in keys.enumerate() {
        if index > 0 {
            tokio::time::sleep(purpose.read_delay()).await;
        }
        match store.get(&key).await {
            Ok(stored) => {
                any_read_succeeded = true;
                let address = stored.and_then(|stored| parse_address(&stored.bytes));
                // One node may hold both its zone's key and a slot.
                seeds.extend(address.filter(|address| !seeds.contains(address)));
            }
            Err(error) => last_error = Some(error),
        }
        if seeds.len() >= SUFFICIENT_SEEDS {
            break;
        }
    }
    match last_error {
        Some(error) if !any_read_succeeded => Err(error),
        _ => Ok(seeds),
    }
}

fn parse_address(bytes: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(bytes).ok()?.parse().ok()
}
