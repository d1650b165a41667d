//! Two-party model: an ingress with several calls, two gates, and links that
//! delay, lose and repeat messages.
//!
//! A link that the ingress has given up can still deliver what was sent on it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::gate::{GateModel, Outgoing, ToGate, ToIngress, WorkEnd};
use super::steps::{GATE_COUNT, Step};
use super::verdict::hear;
use crate::error::ErrorKind;
use crate::ids::{CallId, NodeIncarnation};
use crate::ledger::call::{CallAction, FinalAnswer, GateKey, IngressCall};

#[derive(Debug)]
pub(super) struct LinkModel {
    gate: usize,
    key: GateKey,
    pub(super) to_gate: VecDeque<ToGate>,
    pub(super) to_ingress: VecDeque<Outgoing>,
    /// Whether the ingress still uses the link.
    pub(super) is_current: bool,
    /// Whether the gate still has the link.
    is_open: bool,
}

#[derive(Debug)]
pub(super) struct CallModel {
    pub(super) call: IngressCall,
    pub(super) idempotent: bool,
    link: Option<usize>,
    /// Whether its ingress died before it had an answer.
    pub(super) is_abandoned: bool,
    pub(super) finals: Vec<FinalAnswer>,
    /// Gate whose head went to the caller.
    head_from: Option<GateKey>,
}

/// Everything in the model.
#[derive(Debug)]
pub(super) struct World {
    now: Duration,
    ingress: u64,
    sequence: u64,
    pub(super) calls: Vec<CallModel>,
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
            Step::Send { call, gate } => self.with_call(call, |world, index| {
                world.send(index, gate);
            }),
            Step::GiveUp { call } => {
                self.tell_call(call, |call, _| call.give_up(ErrorKind::Overloaded));
            }
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
            Step::TimeOut { call } => self.tell_call(call, |call, _| call.on_time_out()),
            Step::GraceOver { call } => self.tell_call(call, |call, _| call.on_grace_over()),
            Step::GateGone { call } => self.tell_call(call, |call, key| match key {
                Some(key) => call.on_gate_gone(key),
                None => CallAction::Wait,
            }),
            Step::Pass { seconds } => self.pass(Duration::from_secs(seconds)),
        }
    }

    fn new_call(&mut self, idempotent: bool) {
        self.sequence += 1;
        let id = CallId {
            ingress: self.ingress,
            sequence: self.sequence,
        };
        self.calls.push(CallModel {
            call: IngressCall::new(id, idempotent),
            idempotent,
            link: None,
            is_abandoned: false,
            finals: Vec::new(),
            head_from: None,
        });
    }

    fn with_call(&mut self, pick: usize, act: impl FnOnce(&mut Self, usize)) {
        let is_live = |entry: &CallModel| !entry.is_abandoned && !entry.call.is_done();
        let calls = self.calls.iter().enumerate();
        let live: Vec<usize> = calls
            .filter(|(_, entry)| is_live(entry))
            .map(|(index, _)| index)
            .collect();
        if !live.is_empty() {
            act(self, live[pick % live.len()]);
        }
    }

    fn tell_call(
        &mut self,
        pick: usize,
        tell: impl FnOnce(&mut IngressCall, Option<&GateKey>) -> CallAction,
    ) {
        self.with_call(pick, |world, index| world.tell(index, tell));
    }

    fn tell(
        &mut self,
        index: usize,
        tell: impl FnOnce(&mut IngressCall, Option<&GateKey>) -> CallAction,
    ) {
        let entry = &mut self.calls[index];
        let key = entry.link.map(|link| &self.links[link].key);
        let action = tell(&mut entry.call, key);
        self.act(index, action);
    }

    fn send(&mut self, index: usize, gate: usize) {
        let link = self.link_to(gate);
        let entry = &mut self.calls[index];
        if entry.call.send_to(self.links[link].key.clone()) {
            entry.link = Some(link);
            let open = ToGate::Open {
                call: entry.call.id(),
                idempotent: entry.idempotent,
            };
            self.push_to_gate(link, open);
        }
    }

    fn act(&mut self, index: usize, action: CallAction) {
        let call = self.calls[index].call.id();
        match action {
            CallAction::Wait | CallAction::Reroute { .. } => {}
            CallAction::Resume => self.send_anew(index, ToGate::Resume(call)),
            CallAction::Cancel => self.send_anew(index, ToGate::Cancel(call)),
            CallAction::Finish(answer) => {
                self.calls[index].finals.push(answer);
                if answer == FinalAnswer::Whole
                    && let Some(link) = self.calls[index].link
                {
                    self.push_to_gate(link, ToGate::Acknowledge(call));
                }
            }
        }
    }

    /// Moves a call to the present link to its gate, whose process may be
    /// another by now, and sends a message on it.
    fn send_anew(&mut self, index: usize, message: ToGate) {
        let Some(old) = self.calls[index].link else {
            return;
        };
        let link = self.link_to(self.links[old].gate);
        self.calls[index].link = Some(link);
        self.push_to_gate(link, message);
    }

    fn link_to(&mut self, gate: usize) -> usize {
        let is_usable = |link: &LinkModel| link.is_current && link.gate == gate;
        if let Some(link) = self.links.iter().position(is_usable) {
            return link;
        }
        let incarnation = NodeIncarnation::try_from(self.incarnations[gate]);
        let key = GateKey {
            node: format!("gate-{gate}").parse().expect("node id"),
            incarnation: incarnation.expect("incarnation"),
        };
        self.links.push(LinkModel {
            gate,
            key,
            to_gate: VecDeque::new(),
            to_ingress: VecDeque::new(),
            is_current: true,
            is_open: true,
        });
        self.links.len() - 1
    }

    fn push_to_gate(&mut self, link: usize, message: ToGate) {
        if self.links[link].is_open {
            self.links[link].to_gate.push_back(message);
        }
    }

    fn pick_link(&self, pick: usize, is_fit: impl Fn(&LinkModel) -> bool) -> Option<usize> {
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

    fn deliver_to_ingress(&mut self, pick: usize, is_repeat: bool) {
        let is_fit = |link: &LinkModel| !link.to_ingress.is_empty() && link.is_current;
        let Some(index) = self.pick_link(pick, is_fit) else {
            return;
        };
        let link = &mut self.links[index];
        let (id, message) = if is_repeat {
            link.to_ingress[0]
        } else {
            link.to_ingress.pop_front().expect("a message")
        };
        let key = link.key.clone();
        let Some(call) = self.calls.iter().position(|entry| entry.call.id() == id) else {
            return;
        };
        let entry = &mut self.calls[call];
        if matches!(message, ToIngress::Head) && entry.call.on_head(&key) {
            entry.head_from = Some(key.clone());
        }
        let action = hear(&mut entry.call, &key, message);
        let is_whole = action == CallAction::Finish(FinalAnswer::Whole);
        assert!(
            !is_whole || entry.head_from == Some(key),
            "parts of two answers"
        );
        self.act(call, action);
    }

    fn drop_link(&mut self, pick: usize) {
        let Some(index) = self.pick_link(pick, |link| link.is_current) else {
            return;
        };
        self.links[index].is_current = false;
        let key = self.links[index].key.clone();
        for call in 0..self.calls.len() {
            if self.calls[call].link == Some(index) && !self.calls[call].is_abandoned {
                self.tell(call, |call, _| call.on_link_lost(&key));
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
            entry.is_abandoned |= !entry.call.is_done();
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
