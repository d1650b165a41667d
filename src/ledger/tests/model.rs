//! Model of an ingress with several calls, two gates, and links that delay,
//! lose and repeat messages.
//!
//! A link that the ingress has abandoned can still deliver messages to the gate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::gate::{GateMessage, GateModel, OutgoingMessage, WorkOutcome};
use super::steps::{GATE_COUNT, Step};
use crate::error::RunOutcome;
use crate::ids::{CallId, NodeIncarnation, ServiceName};
use crate::ledger::attempt::{AttemptState, CallHistory};
use crate::retry::{RetryOptions, RetryPolicy};

#[derive(Debug)]
pub(super) struct LinkModel {
    pub(super) gate: usize,
    pub(super) incarnation: NodeIncarnation,
    pub(super) to_gate: VecDeque<GateMessage>,
    pub(super) to_ingress: VecDeque<OutgoingMessage>,
    /// Whether the ingress still uses the link.
    pub(super) is_current: bool,
    /// Whether the gate still reads from the link.
    is_open: bool,
}

/// One attempt in progress.
#[derive(Debug)]
pub(super) struct AttemptModel {
    pub(super) id: CallId,
    pub(super) link: usize,
    pub(super) state: AttemptState,
    pub(super) has_head: bool,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalOutcome {
    Complete,
    Truncated,
    Failed(RunOutcome),
}

#[derive(Debug)]
pub(super) struct CallModel {
    pub(super) base_id: CallId,
    pub(super) is_idempotent: bool,
    pub(super) attempt_count: u32,
    pub(super) current_attempt: Option<AttemptModel>,
    pub(super) history: CallHistory,
    /// Whether the ingress restarted before the call ended for its caller.
    pub(super) is_abandoned: bool,
    pub(super) final_outcomes: Vec<FinalOutcome>,
}

impl CallModel {
    pub(super) fn is_live(&self) -> bool {
        !self.is_abandoned && self.final_outcomes.is_empty()
    }
}

#[derive(Debug)]
pub(super) struct ClusterModel {
    now: Duration,
    pub(super) ingress_incarnation: u64,
    pub(super) last_sequence: u64,
    pub(super) calls: Vec<CallModel>,
    pub(super) retry_policy: RetryPolicy,
    pub(super) service: ServiceName,
    pub(super) links: Vec<LinkModel>,
    pub(super) gates: Vec<GateModel>,
    gate_incarnations: [u64; GATE_COUNT],
    is_gate_frozen: [bool; GATE_COUNT],
    /// Link on which a gate sends messages for a call, by gate and call id.
    reply_links: BTreeMap<(usize, CallId), usize>,
}

impl ClusterModel {
    pub(super) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            ingress_incarnation: 1,
            last_sequence: 0,
            calls: Vec::new(),
            retry_policy: RetryPolicy::new(RetryOptions::default()),
            service: "tillpost".parse().expect("valid service name"),
            links: Vec::new(),
            gates: (0..GATE_COUNT).map(|_| GateModel::new()).collect(),
            gate_incarnations: [1; GATE_COUNT],
            is_gate_frozen: [false; GATE_COUNT],
            reply_links: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::NewCall { idempotent } => self.new_call(idempotent),
            Step::Send { call, gate } => {
                self.with_live_call(call, |model, index| model.open_attempt(index, gate));
            }
            Step::GiveUp { call } => self.with_live_call(call, ClusterModel::give_up),
            Step::ToGate { link } => self.deliver_to_gate(link, false),
            Step::RepeatToGate { link } => self.deliver_to_gate(link, true),
            Step::ToIngress { link } => self.deliver_to_ingress(link, false),
            Step::RepeatToIngress { link } => self.deliver_to_ingress(link, true),
            Step::DropLink { link } => self.drop_link(link),
            Step::CutLink { link } => self.cut_link(link),
            Step::BeginWork { gate, pick } => self.gates[gate].begin_work(pick),
            Step::BeginOrphan { gate } => self.gates[gate].begin_orphan(),
            Step::EndWork { gate, pick, end } => self.end_work(gate, pick, end),
            Step::Freeze { gate } => self.is_gate_frozen[gate] = true,
            Step::Thaw { gate } => self.is_gate_frozen[gate] = false,
            Step::RestartGate { gate } => self.restart_gate(gate),
            Step::RestartIngress => self.restart_ingress(),
            Step::Drain { gate } => self.gates[gate].drain(),
            Step::Alarm { call } => self.with_live_call(call, ClusterModel::fire_deadline_timer),
            Step::GateGone { call } => self.with_live_call(call, ClusterModel::fail_unreachable),
            Step::Pass { seconds } => self.advance_clock(Duration::from_secs(seconds)),
        }
    }

    pub(super) fn link_to(&mut self, gate: usize) -> usize {
        let is_usable = |link: &LinkModel| link.is_current && link.gate == gate;
        if let Some(link) = self.links.iter().position(is_usable) {
            return link;
        }
        let incarnation = NodeIncarnation::try_from(self.gate_incarnations[gate]);
        self.links.push(LinkModel {
            gate,
            incarnation: incarnation.expect("valid incarnation"),
            to_gate: VecDeque::new(),
            to_ingress: VecDeque::new(),
            is_current: true,
            is_open: true,
        });
        self.links.len() - 1
    }

    pub(super) fn push_to_gate(&mut self, link: usize, message: GateMessage) {
        if self.links[link].is_open {
            self.links[link].to_gate.push_back(message);
        }
    }

    pub(super) fn pick_link(
        &self,
        pick: usize,
        is_candidate: impl Fn(&LinkModel) -> bool,
    ) -> Option<usize> {
        let links = self.links.iter().enumerate();
        let candidates: Vec<usize> = links
            .filter(|(_, link)| is_candidate(link))
            .map(|(index, _)| index)
            .collect();
        (!candidates.is_empty()).then(|| candidates[pick % candidates.len()])
    }

    fn deliver_to_gate(&mut self, pick: usize, is_repeat: bool) {
        let is_gate_frozen = self.is_gate_frozen;
        let is_candidate =
            |link: &LinkModel| !link.to_gate.is_empty() && !is_gate_frozen[link.gate];
        let Some(index) = self.pick_link(pick, is_candidate) else {
            return;
        };
        let link = &mut self.links[index];
        let message = if is_repeat {
            link.to_gate[0]
        } else {
            link.to_gate.pop_front().expect("queued message")
        };
        let gate = link.gate;
        if message.redirects_replies() {
            self.reply_links.insert((gate, message.call()), index);
        }
        let outgoing = self.gates[gate].receive(self.now, message);
        self.push_to_ingress(gate, outgoing);
    }

    fn push_to_ingress(&mut self, gate: usize, outgoing: Vec<OutgoingMessage>) {
        for (call, message) in outgoing {
            if let Some(&link) = self.reply_links.get(&(gate, call)) {
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

    fn end_work(&mut self, gate: usize, pick: usize, outcome: WorkOutcome) {
        if !self.is_gate_frozen[gate] {
            let outgoing = self.gates[gate].end_work(self.now, pick, outcome);
            self.push_to_ingress(gate, outgoing);
        }
    }

    fn restart_gate(&mut self, gate: usize) {
        self.gates[gate].restart();
        self.gate_incarnations[gate] += 1;
        self.is_gate_frozen[gate] = false;
        self.reply_links
            .retain(|&(link_gate, _), _| link_gate != gate);
        for link in self.links.iter_mut().filter(|link| link.gate == gate) {
            link.is_open = false;
            link.to_gate.clear();
        }
    }

    /// Messages sent by the old process can still arrive at the gates.
    fn restart_ingress(&mut self) {
        self.ingress_incarnation += 1;
        self.last_sequence = 0;
        for entry in &mut self.calls {
            entry.is_abandoned |= entry.is_live();
        }
        for link in &mut self.links {
            link.is_current = false;
        }
    }

    fn advance_clock(&mut self, elapsed: Duration) {
        self.now += elapsed;
        for gate in 0..GATE_COUNT {
            if !self.is_gate_frozen[gate] {
                let outgoing = self.gates[gate].remove_expired(self.now);
                self.push_to_ingress(gate, outgoing);
            }
        }
    }
}
