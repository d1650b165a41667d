//! The replay itself: one event queue, calls, and the way between nodes.

mod attempts;
mod places;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::clock::EventQueue;
use super::figures::ReplayFigures;
use super::upstream::{BackendCondition, FakeUpstream};
use super::{PolicyKind, RoutePolicy};
use crate::ids::{NodeId, ServiceName};
use crate::retry::{AttemptFailure, RetryPolicy};
use crate::routing::{AttemptNumber, AttemptResult, LoadReport, RouteRequest, RoutingOptions};
use crate::table::ServiceRule;
use crate::trace::{DelayLine, RecordedTrace, RequestLine, TraceEvent};

/// Time after which a silent link is given up.
const SILENT_LINK_TIME: Duration = Duration::from_millis(100);
/// Delays of a trace that states none.
const NO_DELAY: DelayLine = DelayLine {
    within_zone_us: 0,
    between_zones_us: 0,
    between_regions_us: 0,
    client_us: 0,
};

type CallIndex = usize;

#[derive(Debug)]
enum ReplayEvent {
    Trace(usize),
    Table,
    Offer(CallIndex, u32),
    WorkDone(CallIndex, u64),
    Reply(CallIndex, u32, AttemptResult, Option<LoadReport>),
    ProbeReply(NodeId, NodeId),
    Deadline(CallIndex),
}

#[derive(Debug)]
struct ActiveCall<'a> {
    request: &'a RequestLine,
    service: &'a ServiceName,
    is_idempotent: bool,
    attempts_limit: u32,
    depth: u32,
    ingress: NodeId,
    started_at: Duration,
    deadline: Duration,
    attempt: u32,
    place: Option<(NodeId, AttemptNumber)>,
    tried: BTreeSet<NodeId>,
    may_have_run: bool,
    runs: u32,
    /// Whether this attempt started at its gate.
    has_started: bool,
    running: Option<RunningWork>,
    is_ended: bool,
    is_spoiled: bool,
    parent: Option<CallIndex>,
}

/// Work of a call at a backend server.
#[derive(Debug, Clone, Copy)]
struct RunningWork {
    /// Number of the event that ends it; a change of speed makes a new one.
    number: u64,
    started_at: Duration,
    done_at: Duration,
}

/// A call about to start.
struct NewCall<'a> {
    request: &'a RequestLine,
    service: &'a ServiceName,
    ingress: NodeId,
    depth: u32,
    deadline: Duration,
    parent: Option<CallIndex>,
}

struct Ingress {
    policy: Box<dyn RoutePolicy>,
    retries: RetryPolicy,
}

struct Replay<'a> {
    trace: &'a RecordedTrace,
    kind: PolicyKind,
    options: RoutingOptions,
    now: Duration,
    rng: StdRng,
    queue: EventQueue<ReplayEvent>,
    rules: BTreeMap<&'a ServiceName, &'a ServiceRule>,
    upstreams: BTreeMap<NodeId, FakeUpstream>,
    ingresses: BTreeMap<NodeId, Ingress>,
    delays: DelayLine,
    version: u64,
    works: u64,
    calls: Vec<ActiveCall<'a>>,
    figures: ReplayFigures,
}

/// Replays a trace with one policy; the same arguments give the same figures.
pub fn replay_trace(
    trace: &RecordedTrace,
    kind: PolicyKind,
    options: &RoutingOptions,
    seed: u64,
) -> ReplayFigures {
    let mut replay = Replay {
        trace,
        kind,
        options: options.clone(),
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        queue: EventQueue::new(),
        rules: BTreeMap::new(),
        upstreams: BTreeMap::new(),
        ingresses: BTreeMap::new(),
        delays: NO_DELAY,
        version: 0,
        works: 0,
        calls: Vec::new(),
        figures: ReplayFigures::new(),
    };
    for (index, event) in trace.events.iter().enumerate() {
        replay
            .queue
            .schedule(event.offset(), ReplayEvent::Trace(index));
    }
    while let Some((at, event)) = replay.queue.next() {
        replay.now = at;
        replay.handle(event);
    }
    replay.summarize()
}

impl<'a> Replay<'a> {
    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Trace(index) => self.on_trace(&self.trace.events[index].kind),
            ReplayEvent::Table => self.publish_table(),
            ReplayEvent::Offer(call, attempt) => self.on_offer(call, attempt),
            ReplayEvent::WorkDone(call, work) => self.on_work_done(call, work),
            ReplayEvent::Reply(call, attempt, result, report) => {
                self.on_reply(call, attempt, result, report);
            }
            ReplayEvent::ProbeReply(ingress, node) => self.on_probe_reply(&ingress, &node),
            ReplayEvent::Deadline(call) => self.on_deadline(call),
        }
    }

    /// A caller reaches a live node of its availability zone, or any other.
    fn on_request(&mut self, request: &'a RequestLine) {
        let live = |it: &&FakeUpstream| it.condition != BackendCondition::Silent;
        let all: Vec<_> = self.upstreams.values().filter(live).collect();
        let near: Vec<_> = all
            .iter()
            .filter(|it| it.line.zone == request.zone)
            .copied()
            .collect();
        let pool = if near.is_empty() { &all } else { &near };
        let Some(ingress) = pool.choose(&mut self.rng).map(|it| it.line.node.clone()) else {
            return;
        };
        let rule = &self.rules[&request.service];
        let rule_limit = rule.timeout(&request.method, &request.path);
        let limit = request.timeout_ms.map_or(rule_limit, Duration::from_millis);
        self.figures.requests += 1;
        let call = NewCall {
            request,
            service: &request.service,
            ingress,
            depth: request.depth.unwrap_or(0),
            deadline: self.now + limit,
            parent: None,
        };
        self.start_call(call);
    }

    fn start_call(&mut self, new: NewCall<'a>) {
        let rule = &self.rules[new.service];
        let call = self.calls.len();
        if let Some(ingress) = self.ingresses.get_mut(&new.ingress) {
            ingress.retries.record_first_attempt(new.service);
        }
        self.figures.first_attempts += 1;
        self.queue
            .schedule(new.deadline, ReplayEvent::Deadline(call));
        self.calls.push(ActiveCall {
            request: new.request,
            service: new.service,
            is_idempotent: rule.is_idempotent(&new.request.method, &new.request.path),
            attempts_limit: rule.attempts,
            depth: new.depth,
            ingress: new.ingress,
            started_at: self.now,
            deadline: new.deadline,
            attempt: 0,
            place: None,
            tried: BTreeSet::new(),
            may_have_run: false,
            runs: 0,
            has_started: false,
            running: None,
            is_ended: false,
            is_spoiled: false,
            parent: new.parent,
        });
        self.route(call);
    }

    fn route(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        call.attempt += 1;
        call.has_started = false;
        let attempt = call.attempt;
        let Some(ingress) = self.ingresses.get_mut(&call.ingress) else {
            return;
        };
        let request = RouteRequest {
            service: call.service,
            is_idempotent: call.is_idempotent,
            has_large_body: false,
            tried_nodes: &call.tried,
        };
        let choice = ingress.policy.choose(self.now, &mut self.rng, &request);
        match choice {
            Ok((node, number)) => {
                call.tried.insert(node.clone());
                call.place = Some((node.clone(), number));
                let ingress = call.ingress.clone();
                self.figures.attempts += 1;
                let at = self.now + self.delay(&ingress, &node);
                self.queue.schedule(at, ReplayEvent::Offer(index, attempt));
                self.send_probes(&ingress);
            }
            Err(kind) => self.after_failure(index, AttemptFailure::NotRun(kind)),
        }
    }

    fn send_probes(&mut self, ingress: &NodeId) {
        let Some(state) = self.ingresses.get_mut(ingress) else {
            return;
        };
        for order in state.policy.probe_due(self.now) {
            let at = self.now + self.delay(ingress, &order.node) * 2;
            let event = ReplayEvent::ProbeReply(ingress.clone(), order.node);
            self.queue.schedule(at, event);
        }
    }

    fn on_probe_reply(&mut self, ingress: &NodeId, node: &NodeId) {
        let upstream = &self.upstreams[node];
        let is_silent = upstream.condition == BackendCondition::Silent;
        let report = upstream.report(self.now);
        if let Some(state) = self.ingresses.get_mut(ingress).filter(|_| !is_silent) {
            state.policy.on_report(self.now, node, report);
        }
    }

    /// Service that a nested call goes to: the next by name, the first after
    /// the last.
    fn next_service(&self, service: &ServiceName) -> &'a ServiceName {
        let after = (Bound::Excluded(service), Bound::Unbounded);
        let next = self.rules.range::<ServiceName, _>(after).next();
        let next = next.or_else(|| self.rules.first_key_value());
        next.map_or(&self.calls[0].request.service, |(name, _)| name)
    }

    fn summarize(mut self) -> ReplayFigures {
        let states = self.ingresses.values();
        let probes = states.map(|state| state.policy.probe_counts().sent);
        self.figures.probes = probes.sum();
        let slots: u32 = self.upstreams.values().map(|it| it.line.slots.get()).sum();
        let last = self
            .trace
            .events
            .last()
            .map_or(Duration::ZERO, TraceEvent::offset);
        let capacity = last.as_secs_f64() * f64::from(slots);
        let useful = self.figures.useful_work.as_secs_f64();
        self.figures.goodput_percent = useful * 100.0 / capacity;
        self.figures
    }
}
