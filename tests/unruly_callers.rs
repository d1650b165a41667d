//! Crowds of callers that don't behave, at one node of a fleet of real processes. The
//! processes live, each stays within the memory and the descriptors of its machine, and an
//! ordinary request is answered at every node while the crowd is still connected.
//!
//! Sizes of crowds and machines are fixed. No time and no share of served requests is checked.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(
    dead_code,
    reason = "processes and upstreams are shared with other tests"
)]

#[path = "unruly_callers/crowd.rs"]
mod crowd;
#[path = "uploads/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;
#[path = "endless_answers/upstream.rs"]
mod upstream;

use std::net::SocketAddr;
use std::time::Duration;

use ntex::time::sleep;

use crowd::{Crowd, assert_answered};
use fleet::{Fleet, MachineSize, SERVICE};
use upstream::{EndlessResponse, FAULTY_PATH, FaultyUpstream};

const SLOTS: u32 = 18;
const ANSWER_BYTES: usize = 250_000;
/// Memory of a machine in the users' deployments.
const MACHINE: MachineSize = MachineSize {
    memory_mb: Some(260),
    descriptors: None,
};
/// Descriptors of a small machine.
const DESCRIPTORS: u64 = 600;
/// Most descriptors that a node may have open there; the rest is for links, upstreams, the
/// store, other nodes and operators.
const MAX_DESCRIPTORS: usize = 450;
/// Connections of a crowd that would take all of them.
const MANY_CONNECTIONS: usize = 900;
const DESCRIPTOR_SAMPLES: usize = 60;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const SEED: u64 = 56;

static ANSWERS: [EndlessResponse; 1] = [EndlessResponse {
    name: "long answer",
    start: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 250000\r\n\r\n",
    repeated: "wood",
    burst_bytes: ANSWER_BYTES,
    pause: None,
    end: Some(""),
}];

/// Requests for long answers, sent ahead on one connection.
fn reads_ahead(count: usize) -> String {
    format!("GET {FAULTY_PATH}0 HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n").repeat(count)
}

async fn start_fleet(machine: MachineSize) -> Fleet {
    let upstreams = [
        FaultyUpstream::start(&ANSWERS),
        FaultyUpstream::start(&ANSWERS),
    ];
    let backends: Vec<(&str, SocketAddr)> =
        upstreams.iter().map(|it| (SERVICE, it.address)).collect();
    Fleet::start_on(&backends, SLOTS, machine).await
}

/// Checks what must hold beside a crowd at the first node.
async fn assert_serving(fleet: &mut Fleet, machine: MachineSize) {
    let memory_mb: Vec<u64> = (fleet.peak_memory_bytes().iter())
        .map(|bytes| bytes >> 20)
        .collect();
    println!(
        "MEASURE peak of the ingress, the store and the gates {memory_mb:?} MB, {} descriptors",
        fleet.ingress_descriptors()
    );
    fleet.assert_all_run();
    let most_mb = machine.memory_mb.unwrap();
    assert!(
        memory_mb.iter().all(|peak| *peak <= most_mb),
        "{memory_mb:?} MB on machines of {most_mb} MB"
    );
    for address in fleet.listen_addresses.clone() {
        assert_answered(address, SERVICE).await;
    }
    fleet.assert_all_run();
}

/// Load pattern of the trial: requests sent ahead on a few connections, answers unread.
#[ntex::test]
async fn requests_sent_ahead_with_unread_answers_leave_the_memory_bounded() {
    let mut fleet = start_fleet(MACHINE).await;
    let crowd = Crowd::start(fleet.ingress_address, 40, &reads_ahead(64));
    sleep(Duration::from_secs(5)).await;
    assert_serving(&mut fleet, MACHINE).await;
    drop(crowd);
}

#[ntex::test]
async fn unread_answers_on_many_connections_leave_the_memory_bounded() {
    let machine = MachineSize {
        memory_mb: Some(160),
        ..MACHINE
    };
    let mut fleet = start_fleet(machine).await;
    let crowd = Crowd::start(fleet.ingress_address, 200, &reads_ahead(40));
    sleep(Duration::from_secs(20)).await;
    assert_serving(&mut fleet, machine).await;
    drop(crowd);
}

/// Load pattern: callers that leave in the middle of their answers and come back.
#[ntex::test]
async fn callers_that_reset_and_return_leave_the_memory_bounded() {
    let machine = MachineSize {
        memory_mb: Some(64),
        ..MACHINE
    };
    let mut fleet = start_fleet(machine).await;
    let duration = Duration::from_secs(8);
    let reads = reads_ahead(40);
    Crowd::reset_repeatedly(fleet.ingress_address, 100, &reads, duration, SEED).await;
    assert_serving(&mut fleet, machine).await;
}

/// Load pattern: long heads sent ahead, short answers unread.
#[ntex::test]
async fn long_heads_sent_ahead_leave_the_memory_bounded() {
    let machine = MachineSize {
        memory_mb: Some(128),
        ..MACHINE
    };
    let mut fleet = start_fleet(machine).await;
    let field = "x".repeat(13_000);
    let head = format!("GET /sound HTTP/1.1\r\nhost: {SERVICE}\r\nx-field: {field}\r\n\r\n");
    let crowd = Crowd::start(fleet.ingress_address, 100, &head.repeat(64));
    sleep(Duration::from_secs(5)).await;
    assert_serving(&mut fleet, machine).await;
    drop(crowd);
}

/// Load pattern: uploads that stall before their end.
#[ntex::test]
async fn stalled_uploads_leave_the_memory_bounded() {
    let machine = MachineSize {
        memory_mb: Some(64),
        ..MACHINE
    };
    let mut fleet = start_fleet(machine).await;
    let head =
        format!("POST /upload HTTP/1.1\r\nhost: {SERVICE}\r\ncontent-length: 500000\r\n\r\n");
    let start = head + &"x".repeat(200_000);
    let crowd = Crowd::start(fleet.ingress_address, 400, &start);
    sleep(Duration::from_secs(4)).await;
    assert_serving(&mut fleet, machine).await;
    drop(crowd);
}

/// Opens more connections than there are descriptors, which each send `start` and wait.
async fn check_connections(address: impl Fn(&Fleet) -> SocketAddr, start: &str) {
    let machine = MachineSize {
        descriptors: Some(DESCRIPTORS),
        ..MACHINE
    };
    let mut fleet = start_fleet(machine).await;
    let crowd = Crowd::start(address(&fleet), MANY_CONNECTIONS, start);
    let mut peak = 0;
    for _ in 0..DESCRIPTOR_SAMPLES {
        sleep(SAMPLE_INTERVAL).await;
        peak = peak.max(fleet.ingress_descriptors());
    }
    println!("MEASURE peak of {peak} descriptors");
    assert!(peak <= MAX_DESCRIPTORS, "{peak} descriptors are open");
    assert_serving(&mut fleet, machine).await;
    drop(crowd);
}

#[ntex::test]
async fn idle_connections_leave_descriptors_for_others() {
    check_connections(|fleet| fleet.ingress_address, "").await;
}

#[ntex::test]
async fn connections_with_half_a_head_leave_descriptors_for_others() {
    let half = format!("GET /sound HTTP/1.1\r\nhost: {SERVICE}\r\n");
    check_connections(|fleet| fleet.ingress_address, &half).await;
}

#[ntex::test]
async fn connections_to_the_peer_listener_leave_descriptors_for_others() {
    check_connections(|fleet| fleet.ingress_peer_address, "").await;
}

#[ntex::test]
async fn connections_to_the_administration_leave_descriptors_for_others() {
    check_connections(|fleet| fleet.admin_address, "").await;
}

/// Load pattern: callers that read nothing, stall within heads or are idle at a planned stop.
#[ntex::test]
async fn planned_stop_ends_beside_a_crowd() {
    let mut fleet = start_fleet(MACHINE).await;
    let address = fleet.ingress_address;
    let half = format!("GET /sound HTTP/1.1\r\nhost: {SERVICE}\r\n");
    let crowds = [
        Crowd::start(address, 20, &reads_ahead(64)),
        Crowd::start(address, 100, &half),
        Crowd::start(address, 100, ""),
    ];
    sleep(Duration::from_secs(1)).await;
    fleet.ingress.signal("TERM");
    assert_eq!(fleet.ingress.wait_for_exit().await, Some(0));
    drop(crowds);
}
