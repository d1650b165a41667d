//! Fleet in virtual time: ingresses with their own evidence, gates that run suspects one
//! at a time, and backend servers that a request or chance ends.
//!
//! Evidence and calls take a few milliseconds from node to node; nodes can be cut off,
//! frozen or restarted without evidence.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::super::*;
use crate::ids::{CallId, NodeId, NodeIncarnation, ServiceName};

const TICK: Duration = Duration::from_millis(1);
/// Time of a message between two nodes, in ticks.
const MESSAGE_TICKS: u64 = 2;
const DOWN_TIME: Duration = Duration::from_secs(2);
const CRASH_TIME: Duration = Duration::from_millis(30);
const WORK_TIME: Duration = Duration::from_millis(120);
const TIME_LIMIT: Duration = Duration::from_millis(1_500);
const MAX_ATTEMPTS: u32 = 3;
const GATES: usize = 5;
const START: Duration = Duration::from_secs(14 * 24 * 3_600);
/// Path of the request that crashes backend servers.
const KILLER: &str = "/killer";
const POPULAR: &str = "/popular";

#[derive(Debug, Clone)]
struct Call {
    path: String,
    ingress: usize,
    sent_at: Duration,
    attempts: u32,
    tried: BTreeSet<usize>,
}

struct Node {
    state: QuarantineState,
    /// Until then it neither sends nor receives.
    away_until: Duration,
    inbox: VecDeque<(Duration, RequestFingerprint, CrashRecord)>,
}

#[derive(Default)]
struct Gate {
    watch: CrashWatch,
    running: BTreeMap<u64, (Duration, Call, bool)>,
    waiting: VecDeque<Call>,
    down_until: Duration,
    crash_count: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    killer_crashes: Vec<Duration>,
    killer_runs: Vec<Duration>,
    served: u32,
    failed: u32,
    held_innocents: BTreeSet<String>,
}

struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    gates: Vec<Gate>,
    next_call: u64,
    rng: StdRng,
    outcome: Outcome,
}

fn head(path: &str) -> HeadDigest {
    HeadDigest::new("host.example", "GET", path, &[])
}

fn fingerprint(path: &str) -> RequestFingerprint {
    FingerprintHasher::new(head(path)).finish(true).unwrap()
}

fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn service() -> ServiceName {
    "plans".parse().unwrap()
}

impl Fleet {
    /// Nodes that are ingresses; the first five have a backend server.
    fn new(node_count: usize, seed: u64) -> Self {
        let node = |_| Node {
            state: QuarantineState::default(),
            away_until: Duration::ZERO,
            inbox: VecDeque::new(),
        };
        Self {
            now: START,
            nodes: (0..node_count).map(node).collect(),
            gates: (0..GATES).map(|_| Gate::default()).collect(),
            next_call: 0,
            rng: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn standing(&self, node: usize, path: &str) -> RequestStanding {
        self.nodes[node].state.standing(self.now, fingerprint(path))
    }

    /// Sends the node's records of these requests to all others that it reaches.
    fn publish(&mut self, from: usize, changed: &[RequestFingerprint]) {
        if self.nodes[from].away_until > self.now {
            return;
        }
        let due = self.now + TICK * MESSAGE_TICKS as u32;
        for changed_one in changed {
            let Some(record) = self.nodes[from].state.get(*changed_one).cloned() else {
                continue;
            };
            for node in &mut self.nodes {
                if node.away_until <= self.now {
                    node.inbox.push_back((due, *changed_one, record.clone()));
                }
            }
        }
    }

    /// A node that comes back opens its links again, and learns all that another knows.
    fn rejoin(&mut self, index: usize, known_to: usize) {
        let records: Vec<_> = self.nodes[known_to]
            .state
            .records()
            .map(|(fingerprint, record)| (*fingerprint, record.clone()))
            .collect();
        let now = self.now;
        self.nodes[index].away_until = Duration::ZERO;
        for (fingerprint, record) in records {
            self.nodes[index]
                .state
                .merge_record(now, fingerprint, &record);
        }
    }

    fn send(&mut self, path: &str) {
        let ingress = self.rng.random_range(0..self.nodes.len());
        self.place(Call {
            path: path.to_string(),
            ingress,
            sent_at: self.now,
            attempts: 0,
            tried: BTreeSet::new(),
        });
    }

    fn place(&mut self, mut call: Call) {
        let is_suspect = match self.standing(call.ingress, &call.path) {
            RequestStanding::Held { .. } => return self.refuse_held(&call.path),
            RequestStanding::Suspect { .. } => true,
            RequestStanding::Unsuspected => false,
        };
        let untried: Vec<usize> = (0..GATES)
            .filter(|gate| !call.tried.contains(gate))
            .collect();
        if untried.is_empty() || call.attempts >= MAX_ATTEMPTS || self.is_late(&call) {
            return self.fail(&call);
        }
        let chosen = if is_suspect {
            let ids: Vec<NodeId> = untried.iter().map(|index| node_id(*index)).collect();
            let id = trial_node(fingerprint(&call.path), ids.iter()).unwrap();
            untried[ids.iter().position(|other| other == id).unwrap()]
        } else {
            untried[self.rng.random_range(0..untried.len())]
        };
        call.tried.insert(chosen);
        self.arrive(chosen, call);
    }

    fn arrive(&mut self, gate: usize, call: Call) {
        if self.gates[gate].down_until > self.now {
            return self.place(call);
        }
        // What the ingress knows goes ahead of the call on their link.
        let fingerprint = fingerprint(&call.path);
        if let Some(record) = self.nodes[call.ingress].state.get(fingerprint).cloned() {
            let state = &mut self.nodes[gate].state;
            state.merge_record(self.now, fingerprint, &record);
        }
        match self.standing(gate, &call.path) {
            RequestStanding::Held { .. } => self.refuse_held(&call.path),
            RequestStanding::Suspect { .. } => self.gates[gate].waiting.push_back(call),
            RequestStanding::Unsuspected => self.start(gate, call, false),
        }
    }

    fn start(&mut self, gate: usize, mut call: Call, is_trial: bool) {
        call.attempts += 1;
        let id = self.next_call;
        self.next_call += 1;
        let path = call.path.clone();
        let identity = RequestIdentity::new(head(&path), Some(fingerprint(&path)));
        let run = WatchedRun {
            identity: Rc::new(identity),
            is_trial,
        };
        let time = if path == KILLER {
            CRASH_TIME
        } else {
            WORK_TIME
        };
        if path == KILLER {
            self.outcome.killer_runs.push(self.now);
        }
        let running = &mut self.gates[gate];
        running.watch.start_run(call_id(id), run);
        running
            .running
            .insert(id, (self.now + time, call, is_trial));
    }

    fn crash(&mut self, gate: usize) {
        let now = self.now;
        let stopped = &mut self.gates[gate];
        stopped.down_until = now + DOWN_TIME;
        let number = stopped.crash_count;
        stopped.crash_count += 1;
        let finding = stopped.watch.take_crash(now);
        let lost: Vec<Call> = std::mem::take(&mut stopped.running)
            .into_values()
            .map(|(_, call, _)| call)
            .collect();
        let waiting = std::mem::take(&mut stopped.waiting);
        let incarnation = NodeIncarnation::try_from(gate as u64 + 1).unwrap();
        let crash = CrashId::new(incarnation, number);
        let state = &mut self.nodes[gate].state;
        let changed = state.record_crash(now, crash, &service(), &finding);
        self.publish(gate, &changed);
        // The gate's message reaches the ingresses of its calls before their failure.
        for call in &lost {
            for (fingerprint, _) in &finding.suspects {
                let record = self.nodes[gate].state.get(*fingerprint).cloned();
                if let Some(record) = record {
                    let state = &mut self.nodes[call.ingress].state;
                    state.merge_record(now, *fingerprint, &record);
                }
            }
        }
        for call in lost.into_iter().chain(waiting) {
            self.place(call);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for index in 0..self.nodes.len() {
            self.deliver(index);
        }
        for gate in 0..GATES {
            self.run_gate(gate);
        }
    }

    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let mut changed = Vec::new();
        let node = &mut self.nodes[index];
        while let Some((due, _, _)) = node.inbox.front() {
            if *due > now {
                break;
            }
            let Some((_, fingerprint, record)) = node.inbox.pop_front() else {
                break;
            };
            if node.away_until <= now && node.state.merge_record(now, fingerprint, &record) {
                changed.push(fingerprint);
            }
        }
        self.publish(index, &changed);
    }

    fn run_gate(&mut self, gate: usize) {
        let now = self.now;
        let running = &self.gates[gate].running;
        let due: Vec<u64> = running
            .iter()
            .filter(|(_, (end, _, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some((_, call, _)) = self.gates[gate].running.get(&id).cloned() else {
                continue;
            };
            if call.path == KILLER {
                self.outcome.killer_crashes.push(now);
                return self.crash(gate);
            }
            self.gates[gate].running.remove(&id);
            self.gates[gate]
                .watch
                .end_run(now, call_id(id), RunEnd::Completed);
            let fingerprint = fingerprint(&call.path);
            if self.nodes[gate].state.record_completion(now, fingerprint) {
                self.publish(gate, &[fingerprint]);
            }
            if self.is_late(&call) {
                self.outcome.failed += 1;
            } else {
                self.outcome.served += 1;
            }
        }
        let has_trial = |gate: &Gate| gate.running.values().any(|(_, _, is_trial)| *is_trial);
        while !has_trial(&self.gates[gate]) {
            let waiting = &self.gates[gate].waiting;
            let is_due = |call: &Call| match self.standing(gate, &call.path) {
                RequestStanding::Suspect { trial_in, .. } => trial_in.is_zero(),
                RequestStanding::Held { .. } | RequestStanding::Unsuspected => true,
            };
            let due = waiting
                .iter()
                .position(|call| self.is_late(call) || is_due(call));
            let Some(call) = due.and_then(|due| self.gates[gate].waiting.remove(due)) else {
                return;
            };
            match self.standing(gate, &call.path) {
                _ if self.is_late(&call) => self.fail(&call),
                RequestStanding::Held { .. } => self.refuse_held(&call.path),
                RequestStanding::Suspect { .. } => self.start(gate, call, true),
                RequestStanding::Unsuspected => self.start(gate, call, false),
            }
        }
    }

    fn is_late(&self, call: &Call) -> bool {
        self.now > call.sent_at + TIME_LIMIT
    }

    fn refuse_held(&mut self, path: &str) {
        if path != KILLER {
            self.outcome.held_innocents.insert(path.to_string());
        }
    }

    fn fail(&mut self, call: &Call) {
        if call.path != KILLER {
            self.outcome.failed += 1;
        }
    }

    /// Runs for some time with a killer and others at even intervals.
    fn run(&mut self, time: Duration, killer_pause: Option<Duration>) {
        let end = self.now + time;
        let (mut next_killer, mut next_other, mut other) = (self.now, self.now, 0);
        while self.now < end {
            if let Some(pause) = killer_pause.filter(|_| self.now >= next_killer) {
                next_killer += pause;
                self.send(KILLER);
            }
            if self.now >= next_other {
                next_other += Duration::from_millis(10);
                other += 1;
                let path = format!("/other/{}", self.next_call);
                self.send(if other % 4 == 0 { POPULAR } else { &path });
            }
            self.tick();
        }
    }

    fn killer_runs_after_third_crash(&self) -> usize {
        let Some(third) = self.outcome.killer_crashes.get(2) else {
            return 0;
        };
        let late = |at: &&Duration| **at >= *third + Duration::from_millis(500);
        self.outcome.killer_runs.iter().filter(late).count()
    }

    /// Share of the other requests that is served from now on.
    fn share_during(&mut self, time: Duration, killer_pause: Duration) -> f64 {
        let (served, failed) = (self.outcome.served, self.outcome.failed);
        self.run(time, Some(killer_pause));
        let served = self.outcome.served - served;
        let all = served + self.outcome.failed - failed;
        f64::from(served) / f64::from(all.max(1))
    }
}

fn call_id(sequence: u64) -> CallId {
    CallId {
        ingress_incarnation: 1,
        sequence,
    }
}

const KILLER_PAUSE: Duration = Duration::from_millis(25);
const SEEDS: u64 = 20;

#[test]
fn fleet_of_25_ingresses_holds_a_request_that_comes_forty_times_a_second() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(25, seed);
        fleet.run(Duration::from_secs(5), Some(KILLER_PAUSE));
        let share = fleet.share_during(Duration::from_secs(10), KILLER_PAUSE);
        let outcome = &fleet.outcome;
        assert!(
            fleet.killer_runs_after_third_crash() <= 3,
            "{seed}: {outcome:?}"
        );
        assert!(outcome.held_innocents.is_empty(), "{seed}: {outcome:?}");
        assert!(share >= 0.9, "{seed}: {share} {outcome:?}");
    }
}

#[test]
fn crashes_without_a_cause_hold_nobody() {
    for seed in 0..5 * SEEDS {
        let mut fleet = Fleet::new(25, seed);
        for crash in 0..8 {
            fleet.run(Duration::from_millis(700), None);
            fleet.crash(crash % GATES);
        }
        fleet.run(Duration::from_secs(3), None);
        let outcome = &fleet.outcome;
        assert!(outcome.held_innocents.is_empty(), "{seed}: {outcome:?}");
    }
}

#[test]
fn servers_that_all_end_at_once_hold_nobody() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(25, seed);
        for _ in 0..4 {
            fleet.run(Duration::from_secs(3), None);
            for gate in 0..GATES {
                fleet.crash(gate);
            }
        }
        fleet.run(Duration::from_secs(3), None);
        assert!(
            fleet.outcome.held_innocents.is_empty(),
            "{seed}: {:?}",
            fleet.outcome
        );
    }
}

#[test]
fn servers_that_end_shortly_one_after_the_other_hold_nobody() {
    for seed in 0..5 * SEEDS {
        let mut fleet = Fleet::new(25, seed);
        for _ in 0..3 {
            fleet.run(Duration::from_millis(2_500), None);
            for gate in 0..GATES {
                fleet.crash(gate);
                let pause_ms = fleet.rng.random_range(20..150);
                fleet.run(Duration::from_millis(pause_ms), None);
            }
        }
        fleet.run(Duration::from_millis(2_500), None);
        assert!(
            fleet.outcome.held_innocents.is_empty(),
            "{seed}: {:?}",
            fleet.outcome
        );
    }
}

#[test]
fn nodes_that_were_restarted_frozen_or_cut_off_learn_what_is_held() {
    let mut fleet = Fleet::new(25, 1);
    // Away while the evidence spreads.
    let later = fleet.now + Duration::from_secs(60);
    for index in [20, 21] {
        fleet.nodes[index].away_until = later;
    }
    fleet.run(Duration::from_secs(6), Some(Duration::from_millis(400)));
    for index in [20, 21] {
        fleet.rejoin(index, 7);
    }
    let crashes = fleet.outcome.killer_crashes.len();
    for index in 0..25 {
        fleet.nodes[index].state = QuarantineState::default();
        fleet.rejoin(index, (index + 1) % 25);
        fleet.run(Duration::from_millis(200), Some(KILLER_PAUSE));
    }
    assert_eq!(fleet.outcome.killer_crashes.len(), crashes);
    assert!(fleet.outcome.held_innocents.is_empty());
}

#[test]
fn operator_or_a_completed_run_ends_a_hold_at_all_nodes() {
    let mut fleet = Fleet::new(25, 2);
    fleet.run(Duration::from_secs(6), Some(KILLER_PAUSE));
    let held = |fleet: &Fleet| {
        let nodes = 0..fleet.nodes.len();
        nodes
            .filter(|node| matches!(fleet.standing(*node, KILLER), RequestStanding::Held { .. }))
            .count()
    };
    assert_eq!(held(&fleet), 25);
    let now = fleet.now;
    assert!(
        fleet.nodes[9]
            .state
            .record_completion(now, fingerprint(KILLER))
    );
    fleet.publish(9, &[fingerprint(KILLER)]);
    fleet.run(Duration::from_millis(50), None);
    assert_eq!(held(&fleet), 0);
}
