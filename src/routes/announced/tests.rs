use super::*;

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

const ACTIVE: ConfigVersion = ConfigVersion(3);
const NEWER: ConfigVersion = ConfigVersion(4);

/// Replays a fleet in which the peers `1..=count` announced a version at once and none
/// but `answering` answers; returns the time at which that one is asked.
fn asked_at(count: u16, answering: u16) -> Duration {
    const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
    const STEP: Duration = Duration::from_millis(10);
    let mut announced = AnnouncedVersions::default();
    for number in 1..=count {
        announced.record(Duration::ZERO, peer(number), NEWER);
    }
    let mut fetches: Vec<(Duration, SocketAddr)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(10) {
        let (ended, running): (Vec<_>, Vec<_>) = fetches
            .into_iter()
            .partition(|(started_at, _)| *started_at + FETCH_TIMEOUT <= now);
        fetches = running;
        for (_, peer) in ended {
            announced.end_fetch(peer);
        }
        match announced.next_step(now, ACTIVE) {
            FetchStep::Fetch(asked) if asked == peer(answering) => return now,
            FetchStep::Fetch(asked) => fetches.push((now, asked)),
            FetchStep::WaitUntil(_) | FetchStep::Idle => now += STEP,
        }
    }
    panic!("peer {answering} of {count} is never asked");
}

#[test]
fn peers_that_do_not_answer_hold_up_the_others_for_little_more_than_a_second() {
    for answering in 1..=5 {
        let asked_at = asked_at(5, answering);
        assert!(asked_at < Duration::from_millis(1_500), "{asked_at:?}");
    }
}

#[test]
fn version_that_arrives_by_a_push_is_not_fetched() {
    let mut announced = AnnouncedVersions::default();
    assert!(announced.record(Duration::ZERO, peer(1), NEWER));
    assert!(!announced.record(Duration::ZERO, peer(2), NEWER));
    let due_at = FetchStep::WaitUntil(FETCH_DELAY);
    assert_eq!(announced.next_step(Duration::ZERO, ACTIVE), due_at);
    assert_eq!(announced.next_step(FETCH_DELAY, NEWER), FetchStep::Idle);
}

#[test]
fn later_version_does_not_delay_the_fetch_of_an_earlier_one() {
    let mut announced = AnnouncedVersions::default();
    announced.record(Duration::ZERO, peer(1), NEWER);
    announced.record(FETCH_DELAY / 2, peer(2), ConfigVersion(5));
    let step = announced.next_step(FETCH_DELAY, ACTIVE);
    assert_eq!(step, FetchStep::Fetch(peer(2)));
}

#[test]
fn peer_is_asked_once_for_each_announcement_and_kept_ones_are_bounded() {
    let mut announced = AnnouncedVersions::default();
    for version in 4..1_000 {
        for number in 1..100 {
            announced.record(Duration::ZERO, peer(number), ConfigVersion(version));
        }
    }
    assert_eq!(announced.by_version.len(), MAX_VERSIONS);
    let mut asked = BTreeSet::new();
    while let FetchStep::Fetch(peer) = announced.next_step(FETCH_DELAY, ACTIVE) {
        assert!(asked.insert(peer));
        announced.end_fetch(peer);
    }
    assert_eq!(asked.len(), MAX_PEERS);
}
