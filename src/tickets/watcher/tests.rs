use super::*;
use crate::store::memory::{MemoryStore, ScriptedOutcome};

/// A store that fails one call right after an outage.
#[ntex::test]
async fn seed_that_could_not_be_registered_is_tried_again() {
    // The lease, the seed in vain, the lease's renewal; the rest succeeds.
    let fates = [
        ScriptedOutcome::Success,
        ScriptedOutcome::KnownFailure,
        ScriptedOutcome::Success,
    ];
    let store = MemoryStore::new(fates);
    let lease = store.grant_lease(LEASE_TTL).await.unwrap();
    let seed = ([127, 0, 0, 1], 1).into();
    let one_renewal = SEED_DELAY + RENEW_INTERVAL + RENEW_INTERVAL / 2;
    let keeping = keep_lease(&store, &lease, seed);
    let ended = tokio::time::timeout(one_renewal, keeping).await;
    assert!(ended.is_err());
    assert_eq!(store.key_count(), 1);
}
