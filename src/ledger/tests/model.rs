//! Two-party model: an ingress with several calls, two gates, and links that
//! delay, lose and repeat messages.
//!
//! A link that the ingress has given up can still deliver what was sent on it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::gate::{GateModel, Outgoing, ToGate, WorkEnd};
use super::steps::{GATE_COUNT, Step};
use crate::error::RunOutcome;
use crate::ids::{CallId, NodeIncarnation, ServiceName};
use crate::ledger::attempt::{AttemptState, CallHistory};
use crate::retry::{RetryOptions, RetryPolicy};

#[derive(Debug)]
pub(super) struct LinkModel {
    pub(super) gate: usize,
    pub(super) incarnation: NodeIncarnation,
    pub(super) to_gate: VecDeque<ToGate>,
    pub(super) to_ingress: VecDeque<Outgoing>,
    /// Whether the ingress still uses the link.
    pub(super) is_current: bool,
    /// Whether the gate still has the link.
    is_open: bool,
}

/// One attempt under way.
#[derive(Debug)]
pub(super) struct AttemptModel {
    pub(super) id: CallId,
    pub(super) link: usize,
    pub(super) state: AttemptState,
    pub(super) has_head: bool,
}

/// What the caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalAnswer {
    Whole,
    Cut,
    Failed(RunOutcome),
}

#[derive(Debug)]
pub(super) struct CallModel {
    pub(super) base: CallId,
    pub(super) idempotent: bool,
    pub(super) attempts: u32,
    pub(super) attempt: Option<AttemptModel>,
    pub(super) history: CallHistory,
    /// Whether its ingress died before it had an answer.
    pub(super) is_abandoned: bool,
    pub(super) finals: Vec<FinalAnswer>,
}

impl CallModel {
    pub(super) fn is_live(&self) -> bool {
        !self.is_abandoned && self.finals.is_empty()
    }
}

/// Everything in the model.
#[derive(Debug)]
pub(super) struct World {
    now: Duration,
    pub(super) ingress: u64,
    pub(super) sequence: u64,
    pub(super) calls: Vec<CallModel>,
    pub(super) retries: RetryPolicy,
    pub(super) service: ServiceName,
    pub(super) links: Vec<LinkModel>,
    pub(super) gates: Vec<GateModel>,
    incarnations: [u64; GATE_COUNT],
    is_frozen: [bool; GATE_COUNT],
    /// Link that carries what a gate has to say of a call.
    routes: BTreeMap<(usize, CallId), usize>,
}

impl World {
    pub(super) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            ingress: 1,
            sequence: 0,
            calls: Vec::new(),
            retries: RetryPolicy::new(RetryOptions::default()),
            service: "tillpost".parse().expect("name"),
            links: Vec::new(),
            gates: (0..GATE_COUNT).map(|_| GateModel::new()).collect(),
            incarnations: [1; GATE_COUNT],
            is_frozen: [false; GATE_COUNT],
            routes: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::NewCall { idempotent } => self.new_call(idempotent),
            Step::Send { call, gate } => {
                self.with_call(call, |world, index| world.send(index, gate));
            }
            Step::GiveUp { call } => self.with_call(call, World::give_up),
            Step::ToGate { link } => self.deliver_to_gate(link, false),
            Step::RepeatToGate { link } => self.deliver_to_gate(link, true),
            Step::ToIngress { link } => self.deliver_to_ingress(link, false),
            Step::RepeatToIngress { link } => self.deliver_to_ingress(link, true),
            Step::DropLink { link } => self.drop_link(link),
            Step::CutLink { link } => self.cut_link(link),
            Step::BeginWork { gate, pick } => self.gates[gate].begin_work(pick),
            Step::BeginOrphan { gate } => self.gates[gate].begin_orphan(),
            Step::EndWork { gate, pick, end } => self.end_work(gate, pick, end),
            Step::Freeze { gate } => self.is_frozen[gate] = true,
            Step::Thaw { gate } => self.is_frozen[gate] = false,
            Step::RestartGate { gate } => self.restart_gate(gate),
            Step::RestartIngress => self.restart_ingress(),
            Step::Drain { gate } => self.gates[gate].drain(),
            Step::Alarm { call } => self.with_call(call, World::pass_alarm),
            Step::GateGone { call } => self.with_call(call, World::lose_gate),
            Step::Pass { seconds } => self.pass(Duration::from_secs(seconds)),
        }
    }

    pub(super) fn link_to(&mut self, gate: usize) -> usize {
        let is_usable = |link: &LinkModel| link.is_current && link.gate == gate;
        if let Some(link) = self.links.iter().position(is_usable) {
            return link;
        }
        let incarnation = NodeIncarnation::try_from(self.incarnations[gate]);
        self.links.push(LinkModel {
            gate,
            incarnation: incarnation.expect("incarnation"),
            to_gate: VecDeque::new(),
            to_ingress: VecDeque::new(),
            is_current: true,
            is_open: true,
        });
        self.links.len() - 1
    }

    pub(super) fn push_to_gate(&mut self, link: usize, message: ToGate) {
        if self.links[link].is_open {
            self.links[link].to_gate.push_back(message);
        }
    }

    pub(super) fn pick_link(
        &self,
        pick: usize,
        is_fit: impl Fn(&LinkModel) -> bool,
    ) -> Option<usize> {
        let links = self.links.iter().enumerate();
        let fit: Vec<usize> = links
            .filter(|(_, link)| is_fit(link))
            .map(|(index, _)| index)
            .collect();
        (!fit.is_empty()).then(|| fit[pick % fit.len()])
    }

    fn deliver_to_gate(&mut self, pick: usize, is_repeat: bool) {
        let is_frozen = self.is_frozen;
        let is_fit = |link: &LinkModel| !link.to_gate.is_empty() && !is_frozen[link.gate];
        let Some(index) = self.pick_link(pick, is_fit) else {
            return;
        };
        let link = &mut self.links[index];
        let message = if is_repeat {
            link.to_gate[0]
        } else {
            link.to_gate.pop_front().expect("a message")
        };
        let gate = link.gate;
        if message.moves_route() {
            self.routes.insert((gate, message.call()), index);
        }
        let outgoing = self.gates[gate].receive(self.now, message);
        self.push_to_ingress(gate, outgoing);
    }

    fn push_to_ingress(&mut self, gate: usize, outgoing: Vec<Outgoing>) {
        for (call, message) in outgoing {
            if let Some(&link) = self.routes.get(&(gate, call)) {
                self.links[link].to_ingress.push_back((call, message));
            }
        }
    }

    fn cut_link(&mut self, pick: usize) {
        if let Some(index) = self.pick_link(pick, |link| link.is_open) {
            self.links[index].is_open = false;
            self.links[index].to_gate.clear();
        }
    }

    fn end_work(&mut self, gate: usize, pick: usize, end: WorkEnd) {
        if !self.is_frozen[gate] {
            let outgoing = self.gates[gate].end_work(self.now, pick, end);
            self.push_to_ingress(gate, outgoing);
        }
    }

    fn restart_gate(&mut self, gate: usize) {
        self.gates[gate].restart();
        self.incarnations[gate] += 1;
        self.is_frozen[gate] = false;
        self.routes.retain(|&(owner, _), _| owner != gate);
        for link in self.links.iter_mut().filter(|link| link.gate == gate) {
            link.is_open = false;
            link.to_gate.clear();
        }
    }

    /// What the old process sent can still arrive at the gates.
    fn restart_ingress(&mut self) {
        self.ingress += 1;
        self.sequence = 0;
        for entry in &mut self.calls {
            entry.is_abandoned |= entry.is_live();
        }
        for link in &mut self.links {
            link.is_current = false;
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        for gate in 0..GATE_COUNT {
            if !self.is_frozen[gate] {
                let outgoing = self.gates[gate].sweep(self.now);
                self.push_to_ingress(gate, outgoing);
            }
        }
    }
}
