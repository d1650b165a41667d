use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::message::{SyncReply, WireBackend, WireRecord, decode_mark, encode_mark};
use super::packing::{pack_names, unpack_names};
use super::queue::{UpdateClass, UpdateQueue};
use super::ring::FingerRing;
use super::*;
use crate::ids::{NodeId, NodeIncarnation};
use crate::table::UpstreamState;

fn verdicts() -> impl Strategy<Value = HealthVerdict> {
    prop::sample::select(vec![
        HealthVerdict::Alive,
        HealthVerdict::Suspect,
        HealthVerdict::Dead,
    ])
}

fn backends() -> impl Strategy<Value = Option<BackendRecord>> {
    let states = prop::sample::select(vec![UpstreamState::Ready, UpstreamState::Gone]);
    prop::option::of((1_u32..3, states).prop_map(|(slots, state)| BackendRecord {
        id: "backend-1".parse().unwrap(),
        service: "tillpost".parse().unwrap(),
        slots: slots.to_string().parse().unwrap(),
        connections: "260".parse().unwrap(),
        state,
    }))
}

prop_compose! {
    fn records()(
        incarnation in 1_u64..3,
        port in 1_u16..3,
        announcement in 0_u32..3,
        backend in backends(),
        is_leaving in any::<bool>(),
        refutation in 0_u32..3,
        verdict in verdicts(),
    ) -> MemberRecord {
        MemberRecord {
            node: "node-1".parse().unwrap(),
            incarnation: NodeIncarnation::try_from(incarnation).unwrap(),
            region: "oyo-west".parse().unwrap(),
            zone: "oyo-town-b".parse().unwrap(),
            peer_address: SocketAddr::from(([10, 0, 0, 1], port)),
            announcement,
            backend,
            is_leaving,
            health: MemberHealth { refutation, verdict },
            head_version: 0,
        }
    }
}

fn merged(one: &MemberRecord, other: &MemberRecord) -> MemberRecord {
    let mut record = one.clone();
    record.merge(other);
    record
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_commutative(one in records(), other in records()) {
        prop_assert_eq!(merged(&one, &other), merged(&other, &one));
    }

    #[test]
    fn merge_is_associative(one in records(), other in records(), third in records()) {
        let left = merged(&merged(&one, &other), &third);
        let right = merged(&one, &merged(&other, &third));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn merge_is_idempotent_and_reports_change(one in records(), other in records()) {
        let mut record = one.clone();
        let change = record.merge(&other);
        prop_assert_eq!(change.is_any(), record != one);
        prop_assert!(!record.merge(&other).is_any());
        prop_assert!(!record.merge(&one).is_any());
    }

    #[test]
    fn merge_never_goes_back(one in records(), others in prop::collection::vec(records(), 1..8)) {
        let mut record = one;
        for other in &others {
            let before = record.clone();
            record.merge(other);
            prop_assert!(record.incarnation >= before.incarnation);
            if record.incarnation == before.incarnation {
                prop_assert!(record.announcement >= before.announcement);
                prop_assert!(record.health >= before.health);
                prop_assert!(record.is_leaving >= before.is_leaving);
            }
        }
    }

    #[test]
    fn records_survive_the_wire(record in records()) {
        let wire = WireRecord::from(&record);
        prop_assert_eq!(MemberRecord::try_from(wire).unwrap(), record);
    }

    #[test]
    fn marks_survive_the_wire(record in records()) {
        let mark = encode_mark(record.health, record.is_leaving);
        prop_assert_eq!(decode_mark(mark).unwrap(), (record.health, record.is_leaving));
    }
}

#[test]
fn names_survive_packing() {
    let mut record = WireRecord {
        region: "oyo-west".to_string(),
        zone: "oyo-town-b".to_string(),
        ..WireRecord::default()
    };
    record.backend = Some(WireBackend {
        service: "tillpost".to_string(),
        ..WireBackend::default()
    });
    let mut reply = SyncReply {
        records: vec![record.clone(), record.clone()],
        ..SyncReply::default()
    };
    pack_names(&mut reply);
    assert_eq!(reply.names, ["oyo-west", "oyo-town-b", "tillpost"]);
    for unpacked in unpack_names(reply) {
        assert_eq!(
            (&unpacked.region, &unpacked.zone),
            (&record.region, &record.zone)
        );
        assert_eq!(unpacked.backend.unwrap().service, "tillpost");
    }
}

#[test]
fn every_member_is_the_finger_of_as_many_as_it_has() {
    let keys: Vec<MemberKey> = (0..100).map(|place| MemberKey(place * 7)).collect();
    let mut received = std::collections::BTreeMap::new();
    for own in &keys {
        let mut ring = FingerRing::new(*own);
        keys.iter().for_each(|key| ring.insert(*key));
        for _ in 0..ring.finger_count() {
            *received.entry(ring.next_finger().unwrap()).or_insert(0) += 1;
        }
    }
    assert_eq!(received.len(), 100);
    assert!(received.values().all(|count| *count == 7));
}

#[test]
fn queue_sends_leaving_first_and_counts_copies() {
    let node = |text: &str| text.parse::<NodeId>().unwrap();
    let mut queue = UpdateQueue::default();
    queue.push(&node("joins"), UpdateClass::Join, true);
    queue.push(&node("dies"), UpdateClass::Health, false);
    queue.push(&node("leaves"), UpdateClass::Leaving, false);
    queue.push(&node("bare"), UpdateClass::Other, false);
    let order: Vec<String> = queue.iter().map(|update| update.node.to_string()).collect();
    assert_eq!(order, ["leaves", "dies", "joins", "bare"]);
    queue.mark_sent(&node("leaves"), 1, 2);
    assert_eq!(queue.len(), 4);
    queue.mark_sent(&node("leaves"), 1, 2);
    assert_eq!(queue.len(), 3);
}

#[test]
fn bucket_bounds_what_is_spent() {
    let second = std::time::Duration::from_secs(1);
    let mut bucket = ByteBucket::new(1_000, 400);
    assert_eq!(bucket.available(second), 400);
    bucket.charge(second, 900);
    assert_eq!(bucket.available(second), 0);
    bucket.charge(second, 10_000);
    assert_eq!(bucket.available(second * 2), 0);
    assert_eq!(bucket.available(second * 2 + second / 10), 100);
    assert_eq!(bucket.available(second * 10), 400);
}
