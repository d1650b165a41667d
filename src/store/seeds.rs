//! Seed addresses in the store, through which nodes join the fleet.
//!
//! The node that holds the watch lease of its availability zone registers its
//! address under the zone's lease key and in one of a fixed number of fleet
//! slots, both tied to the lease. A joining node reads a few of these keys and
//! never lists keys; it learns the other members from its peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::SliceRandom;

use super::{ConfigStore, LeaseId, StoreError};
use crate::ids::ZoneName;

/// Seed slots shared by all zones of the fleet.
const FLEET_SEED_SLOTS: u32 = 8;
/// Fleet slots that a lease holder tries before it gives up.
const MAX_SLOTS_TRIED: usize = 4;
/// Delay between two reads of a node without known peers; at most 5 reads/s.
const JOIN_READ_DELAY: Duration = Duration::from_millis(200);
/// Delay between two reads of a node that searches for separate groups. After
/// an outage all seeds have expired and a search takes nine reads; without a
/// delay three zones made 28 reads in a second, while a zone is limited to 10
/// store requests of all kinds per second.
const MERGE_READ_DELAY: Duration = Duration::from_secs(1);
/// Distinct addresses after which a search stops.
const SUFFICIENT_SEEDS: usize = 2;

/// Reason for reading the seeds; sets the read rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeedPurpose {
    /// The node knows no peers and joins through any address.
    Join,
    /// Find groups of nodes that started separately or lost each other, to merge with.
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

/// Key held by the lease of the node that watches the ticket head for its zone.
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

/// Writes an address into a free fleet slot; returns false if all tried are taken.
///
/// # Errors
///
/// Returns the first error of the store; later slots are not tried.
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

/// Reads seed addresses, starting with the one of the own zone.
///
/// # Errors
///
/// Returns the last error if all reads failed.
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
                // One node may hold both the zone's key and a fleet slot.
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
