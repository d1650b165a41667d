//! Fingerprints, findings, and what the evidence leads to.

use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use prost::Message;

use super::super::wire::{decode_record, encode_records};
use super::super::*;
use crate::ids::{CallId, NodeId, ServiceName};
use crate::link::messages::HeaderField;

const NOW: Duration = Duration::from_secs(100 * 3_600);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn field(name: &str, value: &str) -> HeaderField {
    HeaderField {
        name: name.to_string(),
        value: value.to_string().into(),
    }
}

fn head(path: &str) -> HeadDigest {
    HeadDigest::new("host.example", "GET", path, &[])
}

fn fingerprint_of(head: HeadDigest, chunks: &[&[u8]]) -> RequestFingerprint {
    let mut hasher = FingerprintHasher::new(head);
    for chunk in chunks {
        hasher.update(chunk);
    }
    hasher.finish(true).unwrap()
}

fn fingerprint(path: &str) -> RequestFingerprint {
    fingerprint_of(head(path), &[])
}

fn call(sequence: u64) -> CallId {
    CallId {
        ingress_incarnation: 1,
        sequence,
    }
}

fn service() -> ServiceName {
    "plans".parse().unwrap()
}

fn run(path: &str, is_trial: bool) -> WatchedRun {
    let identity = RequestIdentity::new(head(path), Some(fingerprint(path)));
    WatchedRun {
        identity: Rc::new(identity),
        is_trial,
    }
}

fn finding(paths: &[&str], blame: CrashBlame) -> CrashFinding {
    CrashFinding {
        suspects: paths
            .iter()
            .map(|path| (fingerprint(path), head(path)))
            .collect(),
        blame,
        calls: Vec::new(),
    }
}

/// State in which one request has these crashes, with ids from 0 on.
fn state_with(path: &str, blames: &[CrashBlame]) -> QuarantineState {
    let mut state = QuarantineState::default();
    for (id, blame) in (0..).zip(blames) {
        state.record_crash(
            NOW,
            CrashId::from(id),
            &service(),
            &finding(&[path], *blame),
        );
    }
    state
}

#[test]
fn attempts_of_one_request_have_one_fingerprint() {
    let body = vec![b'x'; 3 * PREFIX_BYTES];
    let attempt_fields = [
        field("attempt-id", "a"),
        field("deadline-ms", "900"),
        field("caller-service", "plans"),
        field("authorization", "Bearer k"),
    ];
    let other_attempt = [field("attempt-id", "b"), field("authorization", "Bearer k")];
    let digest = |fields| HeadDigest::new("Host.example", "PUT", "/a?b=1", fields);
    let whole = fingerprint_of(digest(&attempt_fields), &[&body]);
    let chunks: Vec<&[u8]> = body.chunks(1_000).collect();
    assert_eq!(fingerprint_of(digest(&other_attempt), &chunks), whole);
    assert_eq!(whole.to_string().parse(), Ok(whole));
}

#[test]
fn requests_that_differ_in_caller_path_or_body_have_other_fingerprints() {
    let digest = |method, path, key| {
        HeadDigest::new("host.example", method, path, &[field("authorization", key)])
    };
    let fingerprints = [
        fingerprint_of(digest("GET", "/a", "k"), &[b"body"]),
        fingerprint_of(digest("GET", "/a", "other"), &[b"body"]),
        fingerprint_of(digest("GET", "/a?x", "k"), &[b"body"]),
        fingerprint_of(digest("PUT", "/a", "k"), &[b"body"]),
        fingerprint_of(digest("GET", "/a", "k"), &[b"bodies"]),
        fingerprint_of(
            HeadDigest::new("host.exampleGET", "", "/a", &[]),
            &[b"body"],
        ),
    ];
    let distinct: std::collections::BTreeSet<_> = fingerprints.iter().collect();
    assert_eq!(distinct.len(), fingerprints.len());
}

#[test]
fn fingerprint_of_a_large_body_is_known_before_its_end() {
    let mut hasher = FingerprintHasher::new(head("/a"));
    hasher.update(&vec![0; PREFIX_BYTES - 1]);
    assert_eq!(hasher.finish(false), None);
    hasher.update(&[0, 1]);
    assert!(hasher.finish(false).is_some());
}

#[test]
fn all_calls_that_ran_at_a_crash_are_suspects() {
    let mut watch = CrashWatch::default();
    for (number, path) in (0..).zip(["/a", "/b", "/c", "/d", "/e"]) {
        watch.start_run(call(number), run(path, false));
    }
    watch.end_run(ms(0), call(0), RunEnd::ConnectionLost);
    watch.end_run(ms(950), call(1), RunEnd::ConnectionLost);
    watch.end_run(ms(960), call(2), RunEnd::GivenUp);
    watch.end_run(ms(970), call(3), RunEnd::Completed);
    let found = watch.take_crash(ms(1_000));
    let mut expected: Vec<_> = ["/b", "/c", "/e"]
        .map(|path| (fingerprint(path), head(path)))
        .into();
    expected.sort();
    assert_eq!(found.suspects, expected);
    assert_eq!(found.blame, CrashBlame::Shared);
    // Each crash is found once.
    assert!(watch.take_crash(ms(1_001)).calls.is_empty());
}

#[test]
fn crash_during_a_trial_is_blamed_on_the_suspect() {
    let mut watch = CrashWatch::default();
    watch.start_run(call(1), run("/innocent", false));
    watch.start_run(call(2), run("/suspect", true));
    watch.end_run(ms(5), call(1), RunEnd::ConnectionLost);
    let found = watch.take_crash(ms(6));
    assert_eq!(
        found.suspects,
        [(fingerprint("/suspect"), head("/suspect"))]
    );
    assert_eq!(found.blame, CrashBlame::Sole);
    assert_eq!(found.calls.len(), 2);
}

#[test]
fn call_whose_body_is_incomplete_has_no_identity_to_blame() {
    let mut watch = CrashWatch::default();
    let identity = Rc::new(RequestIdentity::new(head("/upload"), None));
    let upload = WatchedRun {
        identity,
        is_trial: false,
    };
    watch.start_run(call(1), upload);
    watch.start_run(call(2), run("/a", false));
    let found = watch.take_crash(ms(1));
    assert_eq!(found.suspects.len(), 1);
    assert_eq!(found.blame, CrashBlame::Shared);
}

#[test]
fn new_start_shows_a_crash_only_if_connections_were_lost() {
    let mut watch = CrashWatch::default();
    watch.start_run(call(1), run("/a", false));
    watch.end_run(ms(1), call(1), RunEnd::GivenUp);
    assert_eq!(watch.take_unnoticed_crash(ms(500)), None);
    watch.start_run(call(2), run("/b", false));
    watch.end_run(ms(600), call(2), RunEnd::ConnectionLost);
    let found = watch.take_unnoticed_crash(ms(1_500)).unwrap();
    assert_eq!(found.suspects, [(fingerprint("/b"), head("/b"))]);
}

#[test]
fn third_crash_holds_a_request_if_two_were_in_trials() {
    use CrashBlame::{Shared, Sole};
    let is_held = |blames: &[CrashBlame]| {
        let standing = state_with("/a", blames).standing(NOW, fingerprint("/a"));
        matches!(standing, RequestStanding::Held { .. })
    };
    assert!(!is_held(&[Shared]));
    assert!(!is_held(&[Shared, Sole]));
    assert!(!is_held(&[Sole, Sole]));
    assert!(is_held(&[Shared, Sole, Sole]));
    assert!(!is_held(&[Shared, Shared, Shared, Sole]));
    // A popular request is there at each crash.
    assert!(!is_held(&[Shared; 8]));
}

#[test]
fn completed_run_clears_a_suspect_and_late_evidence_does_not_revive_it() {
    use CrashBlame::{Shared, Sole};
    let mut state = state_with("/a", &[Shared, Sole, Sole]);
    let before = state.get(fingerprint("/a")).unwrap().clone();
    assert!(state.record_completion(NOW, fingerprint("/a")));
    assert!(!state.merge_record(NOW, fingerprint("/a"), &before));
    let standing = state.standing(NOW, fingerprint("/a"));
    assert_eq!(standing, RequestStanding::Unsuspected);
    // A new crash starts a new suspicion.
    state.record_crash(NOW, CrashId::from(9), &service(), &finding(&["/a"], Sole));
    assert_matches!(
        state.standing(NOW, fingerprint("/a")),
        RequestStanding::Suspect { crashes: 1, .. }
    );
}

#[test]
fn held_request_gets_a_trial_later_and_later() {
    use CrashBlame::{Shared, Sole};
    let mut state = state_with("/a", &[Shared, Sole, Sole]);
    let mut now = NOW;
    let mut trials = 0;
    while now < NOW + Duration::from_secs(24 * 3_600) {
        now += Duration::from_secs(60);
        if let RequestStanding::Suspect { .. } = state.standing(now, fingerprint("/a")) {
            trials += 1;
            let crash = CrashId::from(100 + trials);
            state.record_crash(now, crash, &service(), &finding(&["/a"], Sole));
        }
    }
    // The users allow three runs a day after the third crash.
    assert_eq!(trials, 2);
}

#[test]
fn new_suspects_displace_old_ones_but_no_held_request() {
    use CrashBlame::{Shared, Sole};
    let mut state = state_with("/held", &[Shared, Sole, Sole]);
    for number in 0..3_000 {
        let path = format!("/{number}");
        let at = NOW + ms(number);
        let crash = CrashId::from(1_000 + number);
        state.record_crash(at, crash, &service(), &finding(&[&path], Sole));
    }
    assert_eq!(state.records().count(), 1_024);
    assert_matches!(
        state.standing(NOW, fingerprint("/held")),
        RequestStanding::Held { .. }
    );
    assert!(state.get(fingerprint("/0")).is_none());
    assert!(state.get(fingerprint("/2999")).is_some());
}

#[test]
fn nodes_with_one_table_choose_the_same_gate_and_spread_suspects() {
    let nodes: Vec<NodeId> = (0..5)
        .map(|n| format!("node-{n}").parse().unwrap())
        .collect();
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..1_000 {
        let suspect = fingerprint(&format!("/{number}"));
        let chosen = trial_node(suspect, nodes.iter()).unwrap();
        assert_eq!(trial_node(suspect, nodes.iter().rev()), Some(chosen));
        // Without another node the choice stays.
        let fewer = nodes
            .iter()
            .filter(|node| *node == chosen || *node != &nodes[0]);
        assert_eq!(trial_node(suspect, fewer), Some(chosen));
        *counts.entry(chosen).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (120..280).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn all_records_fit_one_frame_and_read_back_with_their_age() {
    /// Largest frame of a link, in bytes.
    const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
    let mut state = QuarantineState::default();
    for number in 0..1_024 {
        let path = format!("/{number}");
        for crash in 0..8 {
            let crash = CrashId::from(u64::MAX - crash);
            state.record_crash(NOW, crash, &service(), &finding(&[&path], CrashBlame::Sole));
        }
    }
    let all: Vec<_> = state
        .records()
        .map(|(fingerprint, _)| *fingerprint)
        .collect();
    let update = encode_records(NOW + ms(1_500), &state, &all);
    assert_eq!(update.records.len(), 1_024);
    let size = update.encoded_len();
    println!("{} bytes a record", size / 1_024);
    assert!(size < MAX_FRAME_BYTES, "{size}");

    let other_clock = NOW + ms(60_000);
    let (read, record) = decode_record(other_clock, &update.records[7]).unwrap();
    let sent = state.get(read).unwrap();
    assert_eq!(record.crashes, sent.crashes);
    assert_eq!(other_clock - record.changed_at, ms(1_500));
}

proptest! {
    #[test]
    fn evidence_merges_in_any_order_and_counts_once(
        parts in proptest::collection::vec((0_u32..2, 0_u64..12, any::<bool>()), 1..24),
        seed in any::<u64>(),
    ) {
        let record = |(epoch, crash, is_sole): &(u32, u64, bool)| {
            let blame = if *is_sole { CrashBlame::Sole } else { CrashBlame::Shared };
            CrashRecord {
                epoch: *epoch,
                crashes: [(CrashId::from(*crash), blame)].into(),
                head: head("/a"),
                service: service(),
                changed_at: NOW,
            }
        };
        let merged = |parts: &[(u32, u64, bool)]| {
            let mut state = QuarantineState::default();
            for part in parts {
                state.merge_record(NOW, fingerprint("/a"), &record(part));
            }
            state.get(fingerprint("/a")).cloned()
        };
        let mut shuffled: Vec<_> = parts.iter().chain(&parts).copied().collect();
        shuffled.sort_by_key(|part| {
            xxhash_rust::xxh3::xxh3_64_with_seed(format!("{part:?}").as_bytes(), seed)
        });
        prop_assert_eq!(merged(&parts), merged(&shuffled));
    }
}
