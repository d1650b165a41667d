//! Measures how the cost of membership grows with the size of the fleet.
//!
//! - `slopes state`: memory that the state of one node takes.
//! - `slopes events`: processor time per event.
//! - `slopes fleet FAULT [NODES]`: traffic of a whole fleet on a simulated network
//!   in virtual time, first without a fault and then each second until every node
//!   knows of FAULT. Faults are `rest` (none), `join`, `change`, `leave`, `kill`,
//!   `rack`, `zone` and `region`, which is partitioned from the others for two
//!   minutes and then reconnected.

#[path = "../tests/membership/net.rs"]
mod net;

use std::time::{Duration, Instant};

use currantlift::membership::{MemberRecord, MembershipAction, MembershipState, TICK_INTERVAL};
use currantlift::table::UpstreamState;

use net::{FleetShape, SimulatedNetwork, address, backend, identity};

/// Fleet sizes for which state and events are measured.
const FLEET_SIZES: [usize; 5] = [100, 300, 675, 1_350, 2_700];
/// Fleet size that the product is designed for.
const DESIGN_NODES: usize = 2_700;
const NODES_PER_RACK: usize = 30;
/// Time that is measured before a fault.
const IDLE_SECONDS: usize = 15;
/// Time for which a region is partitioned.
const PARTITION_SECONDS: usize = 120;
/// Longest time that a fault is followed, even if some nodes don't know of it yet.
const MAX_FAULT_SECONDS: usize = 900;

fn fleet_shape(nodes: usize) -> FleetShape {
    FleetShape {
        nodes,
        zones: 9,
        regions: 4,
        services: 130,
    }
}

fn member_records(nodes: usize) -> Vec<MemberRecord> {
    let mut fleet = SimulatedNetwork::empty(1);
    let start_node = |index| {
        let slot = fleet.start(fleet_shape(nodes), index, 1);
        fleet.nodes[slot].state.own_record().clone()
    };
    (0..nodes).map(start_node).collect()
}

fn converged_state(nodes: usize) -> MembershipState {
    let mut state = MembershipState::new(Duration::ZERO, identity(fleet_shape(nodes), 0, 1));
    state.import_records(Duration::ZERO, &member_records(nodes));
    state
}

fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn measure_state_memory() {
    const STATE_COPIES: usize = 40;
    println!("nodes bytes_of_state bytes_per_member");
    for nodes in FLEET_SIZES {
        let known = member_records(nodes);
        let resident_before = resident_bytes();
        let mut states = Vec::new();
        for _ in 0..STATE_COPIES {
            let own = identity(fleet_shape(nodes), 0, 1);
            let mut state = MembershipState::new(Duration::ZERO, own);
            state.import_records(Duration::ZERO, &known);
            states.push(state);
        }
        let bytes = (resident_bytes() - resident_before) / states.len();
        println!("{nodes} {bytes} {}", bytes / nodes);
        // Freed memory would be reused for the next size and hide what that takes.
        std::mem::forget(states);
    }
}

fn measure_mean_time(name: &str, nodes: usize, rounds: u32, mut step: impl FnMut(u32)) {
    let start = Instant::now();
    (0..rounds).for_each(&mut step);
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    println!("{nodes} {name} {micros:.2}");
}

fn first_datagram_payload(actions: Vec<MembershipAction>) -> Option<bytes::Bytes> {
    actions.into_iter().find_map(|action| match action {
        MembershipAction::SendDatagram { payload, .. } => Some(payload),
        _ => None,
    })
}

fn measure_event_times() {
    const ROUNDS: u32 = 5_000;
    println!("nodes event microseconds");
    for nodes in FLEET_SIZES {
        let mut state = converged_state(nodes);
        let mut now = Duration::ZERO;
        let mut peer = MembershipState::new(now, identity(fleet_shape(nodes), 1, 1));
        peer.import_records(now, &member_records(nodes));
        let mut peer_now = now;
        let ping = (0..200).find_map(|_| {
            peer_now += TICK_INTERVAL;
            first_datagram_payload(peer.tick(peer_now))
        });
        if let Some(ping) = ping {
            measure_mean_time("ping", nodes, ROUNDS, |_| {
                now += Duration::from_millis(200);
                state.on_datagram(now, address(1), &ping);
            });
        }
        let states = [UpstreamState::Ready, UpstreamState::Draining];
        let updates: Vec<_> = (0..ROUNDS)
            .filter_map(|round| {
                let record = backend(fleet_shape(nodes), 1, states[round as usize % 2]);
                first_datagram_payload(peer.announce(
                    peer_now + Duration::from_secs(round.into()),
                    record,
                    peer_now,
                ))
            })
            .collect();
        measure_mean_time("update", nodes, updates.len() as u32, |round| {
            now += Duration::from_millis(200);
            state.on_datagram(now, address(1), &updates[round as usize]);
        });
        let request = join_sync_request(nodes);
        let mut reply = bytes::Bytes::new();
        measure_mean_time("sync_answer", nodes, 200, |_| {
            now += Duration::from_secs(10);
            reply = state.handle_sync(now, &request);
        });
        println!("{nodes} sync_page_bytes {}", reply.len());
    }
}

fn join_sync_request(nodes: usize) -> bytes::Bytes {
    let mut joiner = MembershipState::new(Duration::ZERO, identity(fleet_shape(nodes), 2, 1));
    let actions = joiner.join(Duration::ZERO, &[address(0)]);
    let request = actions.into_iter().find_map(|action| match action {
        MembershipAction::RequestSync { request, .. } => Some(request),
        _ => None,
    });
    request.unwrap_or_default()
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Idle,
    Join,
    StateChange,
    Leave,
    NodeKill,
    RackLoss,
    ZoneLoss,
    RegionPartition,
}

impl Fault {
    fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "rest" => Self::Idle,
            "join" => Self::Join,
            "change" => Self::StateChange,
            "leave" => Self::Leave,
            "kill" => Self::NodeKill,
            "rack" => Self::RackLoss,
            "zone" => Self::ZoneLoss,
            "region" => Self::RegionPartition,
            _ => return None,
        })
    }

    fn killed_nodes(self, nodes: usize) -> Vec<usize> {
        // Nodes take the 9 zones in turn, so every ninth is in zone 0.
        let zone = (0..nodes).filter(|index| index % 9 == 0);
        match self {
            Self::NodeKill => vec![9],
            Self::RackLoss => zone.take(NODES_PER_RACK).collect(),
            Self::ZoneLoss => zone.collect(),
            _ => Vec::new(),
        }
    }
}

fn traffic_by_node(net: &SimulatedNetwork) -> Vec<(u64, u64, u64)> {
    let traffic_of = |node: &net::SimulatedNode| {
        let counters = node.state.counters();
        let sync = counters.sync_bytes_sent + counters.sync_bytes_received;
        (counters.bytes_sent, counters.bytes_received, sync)
    };
    net.nodes.iter().map(traffic_of).collect()
}

/// Simulates one second; prints the mean and the largest traffic of a running node
/// in bytes, and the processor time per node.
fn run_and_print_second(net: &mut SimulatedNetwork, label: &str, known: f64) {
    let before = traffic_by_node(net);
    let start = Instant::now();
    net.run_for(Duration::from_secs(1));
    let elapsed_seconds = start.elapsed().as_secs_f64();
    let after = traffic_by_node(net);
    let is_up: Vec<bool> = net.nodes.iter().map(|node| node.is_up).collect();
    let traffic = before.iter().zip(&after).zip(&is_up);
    let traffic: Vec<_> = traffic
        .filter(|(_, is_up)| **is_up)
        .map(|((before, after), _)| (after.0 - before.0, after.1 - before.1, after.2 - before.2))
        .collect();
    let running_count = traffic.len() as f64;
    let sent = traffic.iter().map(|bytes| bytes.0).sum::<u64>() as f64 / running_count;
    let received = traffic.iter().map(|bytes| bytes.1).sum::<u64>() as f64 / running_count;
    let sync = traffic.iter().map(|bytes| bytes.2).sum::<u64>() as f64 / running_count;
    let most = traffic
        .iter()
        .map(|bytes| bytes.0 + bytes.1)
        .max()
        .unwrap_or(0);
    let micros = elapsed_seconds * 1e6 / running_count;
    println!(
        "{label} known {known:.4} sent {sent:.0} received {received:.0} most {most} sync {sync:.0} micros {micros:.0}"
    );
}

/// Fraction of pairs of a running node and a subject of the fault in which the node
/// knows of the fault.
fn known_fraction(
    net: &SimulatedNetwork,
    fault: Fault,
    subjects: &[currantlift::ids::NodeId],
) -> f64 {
    let is_known = |record: Option<&MemberRecord>| match fault {
        Fault::Join | Fault::RegionPartition => record.is_some_and(MemberRecord::is_live),
        Fault::StateChange => record.is_some_and(|record| record.announcement_version > 1),
        Fault::Leave => record.is_some_and(|record| record.is_leaving),
        _ => record.is_none_or(|record| !record.is_live()),
    };
    let mut known_count = 0;
    let mut pair_count = 0;
    for state in net.running() {
        for subject in subjects {
            pair_count += 1;
            known_count += usize::from(is_known(state.members().get(subject)));
        }
    }
    known_count as f64 / pair_count.max(1) as f64
}

/// Injects the fault; returns its subjects, the nodes that the others have to learn
/// about.
fn inject_fault(
    net: &mut SimulatedNetwork,
    fault: Fault,
    nodes: usize,
) -> Vec<currantlift::ids::NodeId> {
    const CHANGED_SLOT: usize = 3;
    let killed_slots = fault.killed_nodes(nodes);
    killed_slots.iter().for_each(|slot| net.kill(*slot));
    let changed_slot = match fault {
        Fault::StateChange => {
            let draining = backend(fleet_shape(nodes), CHANGED_SLOT, UpstreamState::Draining);
            let ttl = Duration::from_secs(1_000_000);
            net.call_node(CHANGED_SLOT, |state, now| {
                state.announce(now, draining, ttl)
            });
            Some(CHANGED_SLOT)
        }
        Fault::Leave => {
            net.call_node(CHANGED_SLOT, MembershipState::leave);
            Some(CHANGED_SLOT)
        }
        Fault::Join => {
            let joiner = net.start(fleet_shape(nodes), nodes, 1);
            net.call_node(joiner, |state, now| state.join(now, &[address(0)]));
            Some(joiner)
        }
        _ => None,
    };
    if fault == Fault::RegionPartition {
        net.isolated_region = Some(1);
        return net
            .nodes
            .iter()
            .map(|node| node.state.own_record().node.clone())
            .collect();
    }
    killed_slots
        .into_iter()
        .chain(changed_slot)
        .map(|slot| net.node_id(slot))
        .collect()
}

fn measure_propagation(fault: Fault, nodes: usize) {
    let mut net = SimulatedNetwork::converged(fleet_shape(nodes), 1);
    for second in 0..IDLE_SECONDS {
        run_and_print_second(&mut net, &format!("rest {second}"), 0.0);
    }
    let subjects = inject_fault(&mut net, fault, nodes);
    for second in 0..MAX_FAULT_SECONDS {
        if fault == Fault::RegionPartition && second == PARTITION_SECONDS {
            net.isolated_region = None;
        }
        let known = known_fraction(&net, fault, &subjects);
        run_and_print_second(&mut net, &format!("fault {second}"), known);
        if fault == Fault::Join {
            print_joiner_progress(&net, second, nodes);
        }
        let is_partitioned = fault == Fault::RegionPartition && second < PARTITION_SECONDS;
        let is_joiner_complete =
            fault != Fault::Join || net.nodes[nodes].state.members().len() > nodes;
        if known == 1.0 && is_joiner_complete && !is_partitioned {
            break;
        }
    }
}

/// Prints how many members a joining node knows and its traffic in bytes since it
/// started.
fn print_joiner_progress(net: &SimulatedNetwork, second: usize, slot: usize) {
    let state = &net.nodes[slot].state;
    let zone = &state.own_record().zone;
    let members = state.members().values();
    let same_zone = members.filter(|record| &record.zone == zone).count();
    let counters = state.counters();
    let datagrams = counters.bytes_sent + counters.bytes_received;
    let digests = counters.sync_bytes_sent + counters.sync_bytes_received;
    println!(
        "joiner {second} knows {} of its zone {same_zone} datagrams {datagrams} digests {digests}",
        state.members().len()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let nodes = words.get(2).and_then(|nodes| nodes.parse().ok());
    let fault = words.get(1).and_then(|fault| Fault::parse(fault));
    match (words.first(), fault) {
        (Some(&"state"), _) => measure_state_memory(),
        (Some(&"events"), _) => measure_event_times(),
        (Some(&"fleet"), Some(fault)) => measure_propagation(fault, nodes.unwrap_or(DESIGN_NODES)),
        _ => eprintln!("usage: slopes state | events | fleet FAULT [NODES]"),
    }
}
