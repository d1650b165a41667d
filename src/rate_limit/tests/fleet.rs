//! Fleet in virtual time: ingresses that place calls by their own routing state, gates
//! with admission control, and backend servers that name limits and count requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::super::*;
use super::{TICK, rate};
use crate::admission::{
    AdmissionDecision, AdmissionOptions, AdmissionQueue, CallOffer, WorkResult,
};
use crate::ids::{CallId, NodeId, NodeIncarnation, ServiceName, SlotCount};
use crate::ingress::placing::{CallTimeBudget, GateEstimate, GateSearch, SearchStep};
use crate::routing::{
    AttemptResult, LoadReport, NodeLocality, RouteChoice, RouteRequest, RouterState,
    RoutingOptions, SkippedUpstreams,
};
use crate::table::{RoutingTable, ServiceEntry, ServiceRule, UpstreamEntry, UpstreamState};

const SLOTS: u64 = 18;
const WORK_TIME: Duration = Duration::from_millis(120);
const TARGET_LATENCY: Duration = Duration::from_millis(400);
const TIME_LIMIT: Duration = Duration::from_millis(1_000);
const MAX_IMMEDIATE_OFFERS: u32 = 3;

/// One limited backend server with its gate.
pub(super) struct Server {
    pub(super) named: Option<f64>,
    /// Arrivals of requests.
    pub(super) arrivals: Vec<Duration>,
    /// Ranks of the calls that started.
    pub(super) started_ranks: Vec<u32>,
    gate: AdmissionQueue,
    statements: RateStatements,
    running: BTreeMap<CallId, (Duration, Duration)>,
    frozen_until: Duration,
}

impl Server {
    fn new() -> Self {
        let slots = SlotCount::try_from(SLOTS).unwrap();
        let options = AdmissionOptions {
            is_adaptive: false,
            ..AdmissionOptions::default()
        };
        Self {
            named: None,
            arrivals: Vec::new(),
            started_ranks: Vec::new(),
            gate: AdmissionQueue::new(slots, options),
            statements: RateStatements::default(),
            running: BTreeMap::new(),
            frozen_until: Duration::ZERO,
        }
    }
}

struct Call {
    ingress: usize,
    rank: u32,
    arrived_at: Duration,
    choice: RouteChoice,
}

pub(super) struct Fleet {
    pub(super) servers: Vec<Server>,
    /// Times from arrival to refusal.
    pub(super) refusal_delays: Vec<Duration>,
    /// Offers to gates that ended in a refusal.
    pub(super) refused_offers: usize,
    /// `Retry-After` of refused calls.
    pub(super) retry_afters: Vec<Duration>,
    pub(super) answered: usize,
    pub(super) offered: usize,
    routers: Vec<RouterState>,
    calls: BTreeMap<CallId, Call>,
    rng: StdRng,
    now: Duration,
    next_sequence: u64,
}

fn service() -> ServiceName {
    "trajet".parse().unwrap()
}

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn server_index(id: &NodeId) -> usize {
    id.as_str().trim_start_matches("node-").parse().unwrap()
}

fn table(servers: usize) -> Arc<RoutingTable> {
    let upstreams = (0..servers).map(|index| {
        let entry = UpstreamEntry {
            node: node(index),
            incarnation: NodeIncarnation::try_from(1).unwrap(),
            region: "qc-est".parse().unwrap(),
            zone: format!("zone-{}", index % 3).parse().unwrap(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            backend: 1.into(),
            slots: SlotCount::try_from(SLOTS).unwrap(),
            state: UpstreamState::Ready,
            is_suspect: false,
        };
        (node(index), entry)
    });
    let entry = ServiceEntry {
        ticket: "1".parse().unwrap(),
        rule: ServiceRule::default(),
        upstreams: upstreams.collect(),
    };
    Arc::new(RoutingTable {
        version: 1,
        services: BTreeMap::from([(service(), entry)]),
        routes: None,
    })
}

impl Fleet {
    pub(super) fn new(ingresses: usize, servers: usize, seed: u64) -> Self {
        let table = table(servers);
        let routers = (0..ingresses).map(|index| {
            let locality = NodeLocality {
                node: format!("ingress-{index}").parse().unwrap(),
                region: "qc-est".parse().unwrap(),
                zone: format!("zone-{}", index % 3).parse().unwrap(),
            };
            let mut router = RouterState::new(locality, RoutingOptions::WITH_SLOT_REQUESTS);
            router.apply_table(Duration::ZERO, &table);
            router
        });
        Self {
            servers: (0..servers).map(|_| Server::new()).collect(),
            refusal_delays: Vec::new(),
            refused_offers: 0,
            retry_afters: Vec::new(),
            answered: 0,
            offered: 0,
            routers: routers.collect(),
            calls: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            next_sequence: 0,
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Offers calls at this rate until `end`; a third of them has rank 0.
    pub(super) fn run_until(&mut self, end: Duration, calls_per_second: f64) {
        while self.now < end {
            self.now += TICK;
            self.finish_runs();
            self.take_turns();
            let expected = calls_per_second * TICK.as_secs_f64();
            let mut count = expected.floor() as u32;
            count += u32::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                let ingress = self.rng.random_range(0..self.routers.len());
                let rank = u32::from(!self.rng.random_bool(1.0 / 3.0));
                self.place_call(ingress, rank);
            }
        }
    }

    /// The gate's process restarts: runs end, and it has forgotten the limit. The first
    /// ingress that opens a link tells it.
    pub(super) fn restart_gate(&mut self, index: usize) {
        let fresh = Server::new();
        let server = &mut self.servers[index];
        server.gate = fresh.gate;
        server.statements = fresh.statements;
        for id in std::mem::take(&mut server.running).into_keys() {
            self.end_attempt(id, AttemptResult::Failed(crate::error::ErrorKind::LinkLost));
        }
        let queued: Vec<CallId> = self.calls_at(index);
        for id in queued {
            self.end_attempt(id, AttemptResult::Failed(crate::error::ErrorKind::LinkLost));
        }
        let known = self
            .routers
            .iter()
            .find_map(|router| router.known_statement(&node(index))?.rate);
        if let Some(known) = known {
            let server = &mut self.servers[index];
            let change = server.statements.record_from_ingress(self.now, known);
            if let Some(change) = change {
                server.gate.set_start_rate(self.now, change.new);
            }
        }
    }

    pub(super) fn freeze_gate(&mut self, index: usize, time: Duration) {
        self.servers[index].frozen_until = self.now + time;
    }

    fn calls_at(&self, index: usize) -> Vec<CallId> {
        let calls = self.calls.iter();
        let there = calls.filter(|(_, call)| server_index(&call.choice.node) == index);
        there.map(|(id, _)| *id).collect()
    }

    fn end_attempt(&mut self, id: CallId, result: AttemptResult) {
        if let Some(call) = self.calls.remove(&id) {
            let router = &mut self.routers[call.ingress];
            let choice = call.choice;
            router.finish_attempt(self.now, &service(), &choice.node, choice.attempt, result);
        }
    }

    fn place_call(&mut self, ingress: usize, rank: u32) {
        self.offered += 1;
        let arrived_at = self.now;
        let mut search = GateSearch::new(MAX_IMMEDIATE_OFFERS);
        let mut tried = BTreeSet::new();
        let budget = CallTimeBudget {
            target_left: TARGET_LATENCY,
            time_left: TIME_LIMIT,
        };
        loop {
            let (choice, is_no_wait) = match search.next_step(budget) {
                SearchStep::OfferImmediate => match self.choose(ingress, &tried) {
                    Some(choice) => (choice, true),
                    None => {
                        for (id, time_to_slot) in
                            self.routers[ingress].used_up_upstreams(self.now, &service(), &tried)
                        {
                            let estimate = GateEstimate {
                                time_to_slot,
                                time_to_response: time_to_slot + WORK_TIME,
                                admits_past_target: true,
                            };
                            search.on_rate_used_up(id, estimate);
                        }
                        search.on_no_more_gates();
                        continue;
                    }
                },
                SearchStep::JoinQueue(id) => {
                    let router = &mut self.routers[ingress];
                    let choice = router.select_node(self.now, &service(), &id).unwrap();
                    (choice, false)
                }
                SearchStep::OfferQueueable => unreachable!("gates are asked first"),
                SearchStep::Refuse { retry_after } => {
                    self.refusal_delays.push(Duration::ZERO);
                    self.retry_afters.push(retry_after);
                    return;
                }
            };
            tried.insert(choice.node.clone());
            let node = choice.node.clone();
            let call = Call {
                ingress,
                rank,
                arrived_at,
                choice,
            };
            match self.offer_to_gate(call, is_no_wait) {
                Ok(()) => return,
                Err(estimate) => {
                    self.refused_offers += 1;
                    search.on_refused(&node, Some(estimate));
                }
            }
        }
    }

    fn choose(&mut self, ingress: usize, tried: &BTreeSet<NodeId>) -> Option<RouteChoice> {
        let request = RouteRequest {
            service: &service(),
            is_idempotent: true,
            has_large_body: false,
            tried_nodes: tried,
            skipped: SkippedUpstreams::UsedUp,
        };
        let router = &mut self.routers[ingress];
        router
            .select_upstream(self.now, &mut self.rng, &request)
            .ok()
    }

    fn offer_to_gate(&mut self, call: Call, is_no_wait: bool) -> Result<(), GateEstimate> {
        self.next_sequence += 1;
        let id = CallId {
            ingress_incarnation: call.ingress as u64 + 1,
            sequence: self.next_sequence,
        };
        let index = server_index(&call.choice.node);
        let offer = CallOffer {
            target_left: TARGET_LATENCY,
            rank: call.rank,
            no_wait_slot_share: is_no_wait.then_some(0.8),
            ..CallOffer::with_defaults(id, TIME_LIMIT)
        };
        let (now, server) = (self.now, &mut self.servers[index]);
        let is_frozen = server.frozen_until > now;
        let decision = if is_frozen {
            // The ingress drops a silent link and offers the call elsewhere.
            None
        } else {
            Some(server.gate.offer(now, offer))
        };
        let ingress = call.ingress;
        self.calls.insert(id, call);
        match decision {
            Some(AdmissionDecision::Start) => self.start_run(index, id),
            Some(AdmissionDecision::Queued { .. }) => {}
            Some(AdmissionDecision::Refused {
                kind,
                retry_after,
                estimated_response_time,
            }) => {
                self.end_attempt(id, AttemptResult::Refused(kind));
                self.report(index, ingress);
                return Err(GateEstimate {
                    time_to_slot: retry_after,
                    time_to_response: estimated_response_time,
                    admits_past_target: false,
                });
            }
            None => {
                self.end_attempt(id, AttemptResult::Failed(crate::error::ErrorKind::LinkLost));
                return Err(GateEstimate {
                    time_to_slot: TIME_LIMIT,
                    time_to_response: TIME_LIMIT * 2,
                    admits_past_target: false,
                });
            }
        }
        self.refuse_evicted(index);
        Ok(())
    }

    fn report(&mut self, index: usize, ingress: usize) {
        let load = self.servers[index].gate.load(self.now);
        let router = &mut self.routers[ingress];
        router.record_report(self.now, &node(index), LoadReport::from(load));
        let gate = NodeIncarnation::try_from(1).unwrap();
        let statement = load.start_rate.map(|start_rate| KnownStatement {
            gate,
            backend: 1.into(),
            rate: Some(start_rate),
            is_leaving: false,
        });
        router.record_statement(&node(index), gate, statement);
    }

    fn start_run(&mut self, index: usize, id: CallId) {
        let server = &mut self.servers[index];
        server.arrivals.push(self.now);
        server.started_ranks.push(self.calls[&id].rank);
        server.running.insert(id, (self.now, self.now + WORK_TIME));
    }

    fn finish_runs(&mut self) {
        for index in 0..self.servers.len() {
            if self.servers[index].frozen_until > self.now {
                continue;
            }
            let ended = self.servers[index].running.iter();
            let ended = ended.filter(|(_, (_, ends_at))| *ends_at <= self.now);
            let ended: Vec<(CallId, Duration)> =
                ended.map(|(id, (sent_at, _))| (*id, *sent_at)).collect();
            for (id, sent_at) in ended {
                self.finish_run(index, id, sent_at);
            }
        }
    }

    fn finish_run(&mut self, index: usize, id: CallId, sent_at: Duration) {
        let (now, server) = (self.now, &mut self.servers[index]);
        server.running.remove(&id);
        let times = ResponseTime {
            sent_at,
            read_at: now,
        };
        let named = server.named.map(rate);
        let reading = named.map_or(RateReading::Absent, RateReading::Named);
        let source = StatementSource::Response;
        let change = server.statements.record_response(times, &reading, source);
        let mut started = Vec::new();
        if let Some(change) = change {
            started.extend(server.gate.set_start_rate(now, change.new));
        }
        let latency = now.saturating_sub(sent_at);
        started.extend(
            server
                .gate
                .finish(now, id, WorkResult::Completed { latency }),
        );
        for id in started {
            self.start_run(index, id);
        }
        self.answered += 1;
        let ingress = self.calls[&id].ingress;
        self.end_attempt(id, AttemptResult::Answered);
        self.report(index, ingress);
        self.refuse_evicted(index);
    }

    fn take_turns(&mut self) {
        for index in 0..self.servers.len() {
            let (now, server) = (self.now, &mut self.servers[index]);
            let is_due = server.gate.next_turn_at(now).is_some_and(|at| at <= now);
            if server.frozen_until > now || !is_due {
                continue;
            }
            let (expired, started) = server.gate.take_turns(now);
            for id in started {
                self.start_run(index, id);
            }
            for id in expired {
                self.refuse_queued(id);
            }
            self.refuse_evicted(index);
        }
    }

    fn refuse_evicted(&mut self, index: usize) {
        for id in self.servers[index].gate.take_evicted() {
            self.refuse_queued(id);
        }
    }

    fn refuse_queued(&mut self, id: CallId) {
        let waited = self.now.saturating_sub(self.calls[&id].arrived_at);
        self.refusal_delays.push(waited);
        let kind = crate::error::ErrorKind::WaitTooLong;
        self.end_attempt(id, AttemptResult::Refused(kind));
    }
}
