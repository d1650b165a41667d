use std::net::TcpListener;

use assert_matches::assert_matches;

use super::consul::ConsulStore;
use super::seeds::{SeedPurpose, read_seeds, register_seed, zone_lease_key};
use super::*;
use crate::standin::store::{CallCounts, StandinOptions, serve};

/// Maximum wait of a watch that should return earlier because of a change.
const WATCH_MAX_WAIT: Duration = Duration::from_secs(30);
const LEASE_TTL: Duration = Duration::from_secs(10);

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Starts an in-process stand-in store; returns a client and its URL.
async fn start_store(writes_per_second: u32) -> (ConsulStore, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let options = StandinOptions {
        listen: listener.local_addr().unwrap(),
        writes_per_second,
        reads_per_second: 2_000,
    };
    ntex::rt::spawn(async move { serve(listener, &options).await });
    (ConsulStore::connect(&url).await.unwrap(), url)
}

async fn set_faults(url: &str, faults: serde_json::Value) {
    let client = ntex::client::Client::new().await;
    let request = client.put(format!("{url}/standin/faults"));
    let response = request.send_json(&faults).await.unwrap();
    assert!(response.status().is_success());
}

#[ntex::test]
async fn compare_and_swap_requires_the_expected_revision() {
    let (store, _) = start_store(400).await;
    assert_eq!(store.get("a/b").await, Ok(None));
    let value = Bytes::from_static(&[0, 159, 146, 150]);
    let create = store.compare_and_swap("a/b", KeyRevision::ABSENT, value.clone());
    assert_eq!(create.await, Ok(SwapOutcome::Swapped));
    let again = store.compare_and_swap("a/b", KeyRevision::ABSENT, bytes("x"));
    assert_eq!(again.await, Ok(SwapOutcome::Mismatch));
    let stored = store.get("a/b").await.unwrap().unwrap();
    assert_eq!(stored.bytes, value);
    let swap = store.compare_and_swap("a/b", stored.revision, bytes("y"));
    assert_eq!(swap.await, Ok(SwapOutcome::Swapped));
    store.remove("a/b").await.unwrap();
    assert_eq!(store.get("a/b").await, Ok(None));
}

#[ntex::test]
async fn watch_returns_when_the_key_changes() {
    let (store, _) = start_store(400).await;
    let first = store.watch("k", WatchPosition::default(), WATCH_MAX_WAIT);
    let first = first.await.unwrap();
    assert_eq!(first.value, None);
    let writer = store.clone();
    ntex::rt::spawn(async move {
        let create = writer.compare_and_swap("k", KeyRevision::ABSENT, bytes("x"));
        create.await.unwrap();
    });
    let changed = store
        .watch("k", first.position, WATCH_MAX_WAIT)
        .await
        .unwrap();
    assert_eq!(changed.value.unwrap().bytes, bytes("x"));
    let remover = store.clone();
    ntex::rt::spawn(async move { remover.remove("k").await });
    let removed = store.watch("k", changed.position, WATCH_MAX_WAIT).await;
    assert_eq!(removed.unwrap().value, None);
}

#[ntex::test]
async fn lease_holds_its_key_until_it_expires() {
    let (store, url) = start_store(400).await;
    let first_lease = store.grant_lease(LEASE_TTL).await.unwrap();
    let second_lease = store.grant_lease(LEASE_TTL).await.unwrap();
    assert_eq!(store.acquire("k", bytes("1"), &first_lease).await, Ok(true));
    assert_eq!(
        store.acquire("k", bytes("2"), &second_lease).await,
        Ok(false)
    );
    assert_eq!(store.renew_lease(&first_lease).await, Ok(true));
    set_faults(&url, serde_json::json!({ "expire_leases": true })).await;
    assert_eq!(store.renew_lease(&first_lease).await, Ok(false));
    assert_eq!(store.get("k").await, Ok(None));
    assert_matches!(
        store.acquire("k", bytes("3"), &first_lease).await,
        Err(StoreError::NoEffect { .. })
    );
}

#[ntex::test]
async fn errors_distinguish_no_effect_from_unknown_effect() {
    let (store, url) = start_store(400).await;
    let create = |key, value| store.compare_and_swap(key, KeyRevision::ABSENT, bytes(value));

    set_faults(&url, serde_json::json!({ "lose_answers": 1 })).await;
    assert_matches!(
        create("lost", "x").await,
        Err(StoreError::UnknownEffect { .. })
    );
    assert_eq!(store.get("lost").await.unwrap().unwrap().bytes, bytes("x"));

    let first = store.watch("late", WatchPosition::default(), WATCH_MAX_WAIT);
    let first = first.await.unwrap();
    let delayed = serde_json::json!({ "delay_writes": 1, "delay_ms": 300 });
    set_faults(&url, delayed).await;
    assert_matches!(
        create("late", "y").await,
        Err(StoreError::UnknownEffect { .. })
    );
    assert_eq!(store.get("late").await, Ok(None));
    let applied = store.watch("late", first.position, WATCH_MAX_WAIT).await;
    assert_eq!(applied.unwrap().value.unwrap().bytes, bytes("y"));

    set_faults(&url, serde_json::json!({ "away": true })).await;
    assert_matches!(
        create("away", "z").await,
        Err(StoreError::UnknownEffect { .. })
    );

    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let unused_url = format!("http://{}", unused_address.unwrap());
    let unreachable_store = ConsulStore::connect(&unused_url).await.unwrap();
    let refused = unreachable_store.get("k").await;
    assert_matches!(refused, Err(StoreError::NoEffect { .. }));

    let unanswered = TcpListener::bind("127.0.0.1:0").unwrap();
    let unanswered_url = format!("http://{}", unanswered.local_addr().unwrap());
    let unanswered_store = ConsulStore::connect(&unanswered_url).await.unwrap();
    let write = unanswered_store.compare_and_swap("k", KeyRevision::ABSENT, bytes("x"));
    assert_matches!(write.await, Err(StoreError::UnknownEffect { .. }));
}

#[ntex::test]
async fn write_rate_and_value_size_are_limited() {
    let (store, _) = start_store(2).await;
    for key in ["a", "b"] {
        let create = store.compare_and_swap(key, KeyRevision::ABSENT, bytes("x"));
        assert_eq!(create.await, Ok(SwapOutcome::Swapped));
    }
    let third = store.compare_and_swap("c", KeyRevision::ABSENT, bytes("x"));
    assert_matches!(third.await, Err(StoreError::NoEffect { .. }));

    let (store, _) = start_store(400).await;
    let large = Bytes::from(vec![b'x'; MAX_VALUE_BYTES]);
    let create = store.compare_and_swap("large", KeyRevision::ABSENT, large);
    assert_eq!(create.await, Ok(SwapOutcome::Swapped));
    assert_eq!(
        store.get("large").await.unwrap().unwrap().bytes.len(),
        MAX_VALUE_BYTES
    );
    let larger = Bytes::from(vec![b'x'; MAX_VALUE_BYTES + 1]);
    let create = store.compare_and_swap("larger", KeyRevision::ABSENT, larger);
    assert_matches!(create.await, Err(StoreError::NoEffect { .. }));
}

/// Guards against exceeding a zone's request limit at the store. Right after an
/// outage all seeds have expired, so searches of three availability zones each
/// read every key.
#[ntex::test]
async fn seed_reads_of_three_zones_after_an_outage_stay_within_the_rate_limit() {
    let (store, url) = start_store(400).await;
    let zones = ["qc-est-a", "qc-est-b", "qc-est-c"].map(|zone| zone.parse().unwrap());
    let seed_reads = zones.iter().map(|zone| async {
        let seeds = read_seeds(&store, zone, SeedPurpose::Merge, &mut rand::rng()).await;
        assert_eq!(seeds, Ok(Vec::new()));
    });
    futures_util::future::join_all(seed_reads).await;
    let client = ntex::client::Client::new().await;
    let counts = client.get(format!("{url}/standin/counts")).send().await;
    let counts: CallCounts = counts.unwrap().json().await.unwrap();
    assert_eq!(counts.reads, 27);
    // The rest of the 30 requests/s of three zones goes to leases and watches.
    assert!(counts.peak_reads <= 6, "{counts:?}");
}

#[ntex::test]
async fn read_seeds_finds_zone_and_fleet_addresses() {
    let (store, _) = start_store(400).await;
    let zone: crate::ids::ZoneName = "qc-est-a".parse().unwrap();
    let mut rng = rand::rng();
    assert_eq!(
        read_seeds(&store, &zone, SeedPurpose::Join, &mut rng).await,
        Ok(Vec::new())
    );
    let lease = store.grant_lease(LEASE_TTL).await.unwrap();
    let key = zone_lease_key(&zone);
    let held = store.acquire(&key, bytes("127.0.0.1:1"), &lease).await;
    assert_eq!(held, Ok(true));
    let seeds = read_seeds(&store, &zone, SeedPurpose::Join, &mut rng)
        .await
        .unwrap();
    assert_eq!(seeds, [([127, 0, 0, 1], 1).into()]);

    let lease = store.grant_lease(LEASE_TTL).await.unwrap();
    let address = ([127, 0, 0, 1], 2).into();
    let is_registered = register_seed(&store, address, &lease, &mut rng).await;
    assert_eq!(is_registered, Ok(true));
    let other_zone = "qc-est-b".parse().unwrap();
    let seeds = read_seeds(&store, &other_zone, SeedPurpose::Join, &mut rng).await;
    assert_eq!(seeds, Ok(vec![address]));
}
