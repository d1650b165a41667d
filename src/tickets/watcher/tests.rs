use super::*;
use crate::store::memory::{MemoryStore, ScriptedOutcome};

/// Guards against a zone that stays without a seed address: the registration
/// fails right after an outage, while the lease goes on being renewed.
#[ntex::test]
async fn failed_seed_registration_is_retried_after_lease_renewal() {
    // Grant of the lease, failed registration, renewal; later calls succeed.
    let scripted_outcomes = [
        ScriptedOutcome::Success,
        ScriptedOutcome::KnownFailure,
        ScriptedOutcome::Success,
    ];
    let store = MemoryStore::new(scripted_outcomes);
    let lease = store.grant_lease(LEASE_TTL).await.unwrap();
    let seed = ([127, 0, 0, 1], 1).into();
    let one_renewal = SEED_REGISTRATION_DELAY + LEASE_RENEW_INTERVAL + LEASE_RENEW_INTERVAL / 2;
    let maintained = maintain_lease(&store, &lease, seed);
    let ended = tokio::time::timeout(one_renewal, maintained).await;
    assert!(ended.is_err());
    assert_eq!(store.key_count(), 1);
}
