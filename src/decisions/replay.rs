//! Event loop of a replay, and the start of calls and attempts.
//!
//! Each upstream node is an ingress as well. Offers, replies and probes travel
//! between nodes with the network delays of the trace. Trace events are applied
//! in `topology`; `attempts` simulates what happens at the gate and after it.

mod attempts;
mod topology;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::event_queue::EventQueue;
use super::figures::ReplayFigures;
use super::upstream::{BackendCondition, SimulatedUpstream};
use super::zone_figures::ZoneFigures;
use super::{PolicyKind, RoutingPolicy};
use crate::error::ErrorKind;
use crate::ids::{NodeId, ServiceName};
use crate::ingress::call::{IMMEDIATE_OFFER_OCCUPANCY_PERCENT, MAX_OFFERS};
use crate::ingress::placing::{CallTimeBudget, GateEstimate, GateSearch, SearchStep};
use crate::ingress::request::LARGE_BODY_BYTES;
use crate::retry::{AttemptFailure, RetryPolicy};
use crate::routing::{
    AttemptNumber, AttemptResult, LoadReport, RouteRequest, RoutingOptions, SkippedUpstreams,
};
use crate::table::ServiceRule;
use crate::trace::{DelayLine, RecordedTrace, RequestLine, TraceEvent};
use crate::zone_balancing::{CallClass, OTHER_ZONE_OCCUPANCY_PERCENT, ShareRule, ZoneLoad};

/// A link is considered lost when its peer has been silent for this time.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// In force until the trace states its network delays.
const ZERO_DELAYS: DelayLine = DelayLine {
    within_zone_us: 0,
    between_zones_us: 0,
    between_regions_us: 0,
    client_us: 0,
};

type CallIndex = usize;

#[derive(Debug)]
enum ReplayEvent {
    /// Event of the trace, by its index.
    TraceLine(usize),
    /// All nodes hear of an announced change or a lost node.
    PublishTable,
    /// An attempt of a call, by its number, reaches the gate.
    OfferArrival(CallIndex, u32),
    /// Work of a run is done; the second value is [`RunningWork::id`].
    WorkDone(CallIndex, u64),
    /// Result of an attempt, by its number, reaches the ingress; a lost link has
    /// no load report.
    ReplyArrival(CallIndex, u32, AttemptResult, Option<LoadReport>),
    /// The first node, an ingress, gets the load report of the second, which was asked
    /// for at this time.
    ProbeReplyArrival(NodeId, NodeId, Duration),
    /// The first node, an ingress, gets the load of the zone of the second.
    ZoneReportArrival(NodeId, NodeId, ZoneLoad),
    /// Time limit of a call.
    Deadline(CallIndex),
}

#[derive(Debug)]
struct ActiveCall<'a> {
    request: &'a RequestLine,
    service: &'a ServiceName,
    is_idempotent: bool,
    max_attempts: u32,
    /// Levels of nested calls below this call.
    depth: u32,
    ingress: NodeId,
    started_at: Duration,
    deadline: Duration,
    /// Number of the latest attempt, from 1; 0 before the first.
    current_attempt: u32,
    /// Upstream of the current attempt, with the number that the routing policy
    /// gave the attempt; `None` between attempts.
    target: Option<(NodeId, AttemptNumber)>,
    tried_nodes: BTreeSet<NodeId>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Runs started at backend servers, over all attempts.
    run_count: u32,
    /// Whether the gate has started the current attempt.
    has_attempt_started: bool,
    running_work: Option<RunningWork>,
    is_ended: bool,
    has_failed_nested_call: bool,
    search: GateSearch,
    /// Occupancy up to which the gate may start the current attempt; 0 if it may queue
    /// the call.
    max_occupancy_percent: u32,
    /// Estimate of the gate that refused the current attempt.
    refusal_estimate: Option<GateEstimate>,
    /// Offers that were refused by gates and don't count as attempts.
    uncounted_offers: u32,
    /// Call whose run waits for this one; `None` for a request of the trace.
    parent: Option<CallIndex>,
}

/// Run of a call at a backend server.
#[derive(Debug, Clone, Copy)]
struct RunningWork {
    /// Identifies the [`ReplayEvent::WorkDone`] that is still valid: a change of
    /// speed reschedules the end under a new id.
    id: u64,
    started_at: Duration,
    /// End of the own work; nested calls follow it.
    ends_at: Duration,
}

/// Parameters of [`Replay::start_call`].
struct NewCall<'a> {
    request: &'a RequestLine,
    service: &'a ServiceName,
    ingress: NodeId,
    depth: u32,
    deadline: Duration,
    parent: Option<CallIndex>,
}

struct Ingress {
    policy: Box<dyn RoutingPolicy>,
    retry_policy: RetryPolicy,
}

struct Replay<'a> {
    trace: &'a RecordedTrace,
    policy_kind: PolicyKind,
    settings: PlacementSettings,
    zone_figures: ZoneFigures,
    now: Duration,
    rng: StdRng,
    queue: EventQueue<ReplayEvent>,
    rules: BTreeMap<&'a ServiceName, &'a ServiceRule>,
    upstreams: BTreeMap<NodeId, SimulatedUpstream>,
    ingresses: BTreeMap<NodeId, Ingress>,
    network_delays: DelayLine,
    table_version: u64,
    last_work_id: u64,
    calls: Vec<ActiveCall<'a>>,
    figures: ReplayFigures,
}

/// How the ingresses of a replay place calls, beside the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Parameters of upstream selection.
    pub routing: RoutingOptions,
    /// Gates that are offered a call for an immediate start before it joins a queue;
    /// with 0 the first gate may queue it.
    pub max_immediate_offers: u32,
    /// Rule of zone balancing; `None` if it is off.
    pub share_rule: Option<ShareRule>,
    /// Age that the reports of other zones have when they arrive. If it isn't zero,
    /// responses and refusals of other zones carry no report.
    pub zone_report_age: Duration,
    /// Ingress that gets no report of another zone.
    pub cut_off_ingress: Option<NodeId>,
    /// Factor on the run time of calls that start above four fifths of the slots.
    pub full_slowdown: f64,
}

impl PlacementSettings {
    /// Each call is sent to the first gate that is selected, which may queue it.
    pub fn without_offers(routing: RoutingOptions) -> Self {
        Self {
            routing,
            max_immediate_offers: 0,
            share_rule: None,
            zone_report_age: Duration::ZERO,
            cut_off_ingress: None,
            full_slowdown: 1.0,
        }
    }
}

/// Replays a trace with one policy; the same arguments give the same figures.
pub fn replay_trace(
    trace: &RecordedTrace,
    policy_kind: PolicyKind,
    options: &RoutingOptions,
    seed: u64,
) -> ReplayFigures {
    let settings = PlacementSettings::without_offers(options.clone());
    run_replay(trace, policy_kind, &settings, seed).into_figures()
}

/// Replays a trace with this project's router; the same arguments give the same
/// figures.
pub fn replay_zones(
    trace: &RecordedTrace,
    settings: &PlacementSettings,
    seed: u64,
) -> (ReplayFigures, ZoneFigures) {
    let mut replay = run_replay(trace, PolicyKind::Currantlift, settings, seed);
    let zones = std::mem::take(&mut replay.zone_figures);
    (replay.into_figures(), zones)
}

fn run_replay<'a>(
    trace: &'a RecordedTrace,
    policy_kind: PolicyKind,
    settings: &PlacementSettings,
    seed: u64,
) -> Replay<'a> {
    let mut replay = Replay {
        trace,
        policy_kind,
        settings: settings.clone(),
        zone_figures: ZoneFigures::default(),
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        queue: EventQueue::new(),
        rules: BTreeMap::new(),
        upstreams: BTreeMap::new(),
        ingresses: BTreeMap::new(),
        network_delays: ZERO_DELAYS,
        table_version: 0,
        last_work_id: 0,
        calls: Vec::new(),
        figures: ReplayFigures::new(),
    };
    for (index, event) in trace.events.iter().enumerate() {
        replay
            .queue
            .schedule(event.offset(), ReplayEvent::TraceLine(index));
    }
    while let Some((at, event)) = replay.queue.pop() {
        replay.now = at;
        replay.handle_event(event);
    }
    replay
}

impl<'a> Replay<'a> {
    fn handle_event(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::TraceLine(index) => self.apply_trace_event(&self.trace.events[index].kind),
            ReplayEvent::PublishTable => self.publish_table(),
            ReplayEvent::OfferArrival(call, attempt) => self.on_offer(call, attempt),
            ReplayEvent::WorkDone(call, work) => self.on_work_done(call, work),
            ReplayEvent::ReplyArrival(call, attempt, result, report) => {
                self.on_reply(call, attempt, result, report);
            }
            ReplayEvent::ProbeReplyArrival(ingress, node, sent_at) => {
                self.on_probe_reply(&ingress, &node, sent_at);
            }
            ReplayEvent::ZoneReportArrival(ingress, node, load) => {
                if let Some(ingress) = self.ingresses.get_mut(&ingress) {
                    ingress.policy.on_zone_report(self.now, &node, load);
                }
            }
            ReplayEvent::Deadline(call) => self.on_deadline(call),
        }
    }

    /// Starts the call of a request at a random live node of its availability
    /// zone, or of any zone if that one has none. Without a live node the request
    /// is not counted.
    fn on_request(&mut self, request: &'a RequestLine) {
        let is_live =
            |upstream: &&SimulatedUpstream| upstream.condition != BackendCondition::Unresponsive;
        let live: Vec<_> = self.upstreams.values().filter(is_live).collect();
        let same_zone: Vec<_> = live
            .iter()
            .filter(|upstream| upstream.spec.zone == request.zone)
            .copied()
            .collect();
        let candidates = if same_zone.is_empty() {
            &live
        } else {
            &same_zone
        };
        let Some(ingress) = candidates
            .choose(&mut self.rng)
            .map(|upstream| upstream.spec.node.clone())
        else {
            return;
        };
        let rule = &self.rules[&request.service];
        let rule_timeout = rule.timeout(&request.method, &request.path);
        let timeout = request
            .timeout_ms
            .map_or(rule_timeout, Duration::from_millis);
        self.figures.requests += 1;
        let call = NewCall {
            request,
            service: &request.service,
            ingress,
            depth: request.depth.unwrap_or(0),
            deadline: self.now + timeout,
            parent: None,
        };
        self.start_call(call);
    }

    fn start_call(&mut self, new_call: NewCall<'a>) {
        let rule = &self.rules[new_call.service];
        let index = self.calls.len();
        if let Some(ingress) = self.ingresses.get_mut(&new_call.ingress) {
            ingress.retry_policy.record_first_attempt(new_call.service);
        }
        self.figures.first_attempts += 1;
        self.queue
            .schedule(new_call.deadline, ReplayEvent::Deadline(index));
        self.calls.push(ActiveCall {
            request: new_call.request,
            service: new_call.service,
            is_idempotent: rule.is_idempotent(&new_call.request.method, &new_call.request.path),
            max_attempts: rule.attempts,
            depth: new_call.depth,
            ingress: new_call.ingress,
            started_at: self.now,
            deadline: new_call.deadline,
            current_attempt: 0,
            target: None,
            tried_nodes: BTreeSet::new(),
            may_have_run: false,
            run_count: 0,
            has_attempt_started: false,
            running_work: None,
            is_ended: false,
            has_failed_nested_call: false,
            search: GateSearch::new(self.settings.max_immediate_offers),
            max_occupancy_percent: 0,
            refusal_estimate: None,
            uncounted_offers: 0,
            parent: new_call.parent,
        });
        self.start_attempt(index);
    }

    fn start_attempt(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        call.current_attempt += 1;
        call.has_attempt_started = false;
        let attempt = call.current_attempt;
        let choice = match self.choose_gate(index) {
            Ok(Some(choice)) => Ok(choice),
            Ok(None) => return self.refuse_unplaced(index),
            Err(kind) => Err(kind),
        };
        let call = &mut self.calls[index];
        match choice {
            Ok((node, attempt_number)) => {
                call.tried_nodes.insert(node.clone());
                call.target = Some((node.clone(), attempt_number));
                let ingress = call.ingress.clone();
                self.figures.attempts += 1;
                self.count_offer_bytes(&ingress, &node);
                let arrives_at = self.now + self.one_way_delay(&ingress, &node);
                self.queue
                    .schedule(arrives_at, ReplayEvent::OfferArrival(index, attempt));
                self.send_due_probes(&ingress);
            }
            Err(kind) => self.handle_attempt_failure(index, AttemptFailure::NotRun(kind)),
        }
    }

    /// Chooses the gate of the next offer as an ingress does; `None` if the call is
    /// refused as no gate can serve it in time.
    fn choose_gate(
        &mut self,
        index: CallIndex,
    ) -> Result<Option<(NodeId, AttemptNumber)>, ErrorKind> {
        let call = &mut self.calls[index];
        let Some(ingress) = self.ingresses.get_mut(&call.ingress) else {
            return Ok(None);
        };
        if call.current_attempt >= MAX_OFFERS {
            return Ok(None);
        }
        let has_offers = self.settings.max_immediate_offers > 0;
        let has_large_body = has_offers && call.request.body_bytes >= LARGE_BODY_BYTES;
        let request = RouteRequest {
            service: call.service,
            is_idempotent: call.is_idempotent,
            has_large_body,
            tried_nodes: &call.tried_nodes,
            skipped: SkippedUpstreams::None,
        };
        let time_left = call.deadline.saturating_sub(self.now);
        let time_budget = CallTimeBudget {
            target_left: time_left,
            time_left,
        };
        call.max_occupancy_percent = 0;
        loop {
            match call.search.next_step(time_budget) {
                SearchStep::OfferImmediate => {
                    if call.tried_nodes.is_empty() {
                        let class = CallClass {
                            objective: call.deadline.saturating_sub(call.started_at),
                            target_left: time_left,
                            run_time: Duration::from_micros(call.request.work_us),
                            has_large_body,
                        };
                        let choice = ingress.policy.select_other_zone(
                            self.now,
                            &mut self.rng,
                            &request,
                            &class,
                        );
                        if let Some(choice) = choice {
                            call.max_occupancy_percent = OTHER_ZONE_OCCUPANCY_PERCENT;
                            return Ok(Some(choice));
                        }
                    }
                    let request = RouteRequest {
                        skipped: SkippedUpstreams::UsedUp,
                        ..request
                    };
                    let choice = ingress
                        .policy
                        .select_node(self.now, &mut self.rng, &request);
                    match choice {
                        Ok(choice) => {
                            let zone = &self.upstreams[&call.ingress].spec.zone;
                            let is_near = self.upstreams[&choice.0].spec.zone == *zone;
                            if !(has_large_body && is_near) {
                                call.max_occupancy_percent = IMMEDIATE_OFFER_OCCUPANCY_PERCENT;
                            }
                            return Ok(Some(choice));
                        }
                        Err(ErrorKind::NoUpstream) if !call.tried_nodes.is_empty() => {
                            call.search.on_no_more_gates();
                        }
                        Err(kind) => return Err(kind),
                    }
                }
                SearchStep::OfferQueueable => {
                    let choice = ingress
                        .policy
                        .select_node(self.now, &mut self.rng, &request);
                    return choice.map(Some);
                }
                SearchStep::JoinQueue(node) => {
                    let choice = ingress.policy.join_queue(self.now, call.service, &node);
                    return choice.map(|attempt| Some((node, attempt)));
                }
                SearchStep::Refuse { .. } => return Ok(None),
            }
        }
    }

    fn send_due_probes(&mut self, ingress_node: &NodeId) {
        let Some(ingress) = self.ingresses.get_mut(ingress_node) else {
            return;
        };
        for probe in ingress.policy.take_probe_targets(self.now) {
            let arrives_at = self.now + self.one_way_delay(ingress_node, &probe.node) * 2;
            let event = ReplayEvent::ProbeReplyArrival(ingress_node.clone(), probe.node, self.now);
            self.queue.schedule(arrives_at, event);
        }
    }

    fn on_probe_reply(&mut self, ingress_node: &NodeId, node: &NodeId, sent_at: Duration) {
        let upstream = &self.upstreams[node];
        let is_unresponsive = upstream.condition == BackendCondition::Unresponsive;
        if is_unresponsive || self.is_cut_off(ingress_node, node) {
            return;
        }
        let report = upstream.load_report(self.now);
        let is_report_old = self.is_report_old(ingress_node, node);
        let zone_load = self
            .ingresses
            .get(node)
            .and_then(|ingress| ingress.policy.own_zone_load(self.now));
        let Some(ingress) = self.ingresses.get_mut(ingress_node) else {
            return;
        };
        let round_trip = self.now.saturating_sub(sent_at);
        ingress.policy.on_round_trip(self.now, node, round_trip);
        if !is_report_old {
            ingress.policy.on_load_report(self.now, node, report);
        }
        if let Some(load) = zone_load {
            let extra_age = self.settings.zone_report_age;
            let age = load.age + extra_age;
            let load = ZoneLoad { age, ..load };
            let event = ReplayEvent::ZoneReportArrival(ingress_node.clone(), node.clone(), load);
            self.queue.schedule(self.now + extra_age, event);
        }
    }

    /// Whether reports of single gates in another zone arrive too late to be used.
    fn is_report_old(&self, ingress: &NodeId, node: &NodeId) -> bool {
        !self.settings.zone_report_age.is_zero() && self.is_other_zone(ingress, node)
    }

    fn is_cut_off(&self, ingress: &NodeId, node: &NodeId) -> bool {
        self.settings.cut_off_ingress.as_ref() == Some(ingress) && self.is_other_zone(ingress, node)
    }

    fn is_other_zone(&self, ingress: &NodeId, node: &NodeId) -> bool {
        self.upstreams[ingress].spec.zone != self.upstreams[node].spec.zone
    }

    /// Service that a nested call of `service` goes to: the next one by name; the
    /// last is followed by the first.
    fn nested_call_service(&self, service: &ServiceName) -> &'a ServiceName {
        let after = (Bound::Excluded(service), Bound::Unbounded);
        let next = self.rules.range::<ServiceName, _>(after).next();
        let next = next.or_else(|| self.rules.first_key_value());
        next.map_or(&self.calls[0].request.service, |(name, _)| name)
    }

    fn into_figures(mut self) -> ReplayFigures {
        let ingresses = self.ingresses.values();
        let probes = ingresses.map(|ingress| ingress.policy.probe_counts().sent);
        self.figures.probes = probes.sum();
        let slots: u32 = self
            .upstreams
            .values()
            .map(|upstream| upstream.spec.slots.get())
            .sum();
        let trace_length = self
            .trace
            .events
            .last()
            .map_or(Duration::ZERO, TraceEvent::offset);
        let slot_seconds = trace_length.as_secs_f64() * f64::from(slots);
        let useful_seconds = self.figures.useful_work.as_secs_f64();
        self.figures.goodput_percent = useful_seconds * 100.0 / slot_seconds;
        self.figures
    }
}
