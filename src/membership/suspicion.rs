//! Suspicions and their timeouts.
//!
//! The node that raised a suspicion declares the member dead unless it is refuted
//! in time. Other nodes time out as well, in case that node fails, but later: they
//! may have missed the refutation, and a single late timer among thousands of
//! nodes would gossip a false death.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::{HealthVerdict, MemberKey, RecordChange};
use super::state::MembershipState;
use crate::ids::NodeId;

/// Time to refute a suspicion that this node raised.
const LOCAL_SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to refute a suspicion that another node raised.
const REMOTE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a failed member is kept and pinged.
const DEAD_RETENTION: Duration = Duration::from_secs(6 * 3_600);
/// Time for which a dead member is kept that had announced its leave.
const LEFT_RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Suspicion {
    deadline: Duration,
    is_local: bool,
}

/// Active suspicions, and the times at which members were declared dead.
#[derive(Debug, Default)]
pub struct SuspicionTable {
    active: BTreeMap<NodeId, Suspicion>,
    dead_since: BTreeMap<NodeId, Duration>,
}

impl SuspicionTable {
    /// Starts or ends the timers of a member after a change of its verdict.
    pub fn update_verdict(&mut self, now: Duration, node: &NodeId, verdict: HealthVerdict) {
        match verdict {
            HealthVerdict::Alive => {
                self.active.remove(node);
                self.dead_since.remove(node);
            }
            HealthVerdict::Suspect => {
                self.dead_since.remove(node);
                let suspicion = Suspicion {
                    deadline: now + REMOTE_SUSPICION_TIMEOUT,
                    is_local: false,
                };
                self.active.insert(node.clone(), suspicion);
            }
            HealthVerdict::Dead => {
                self.active.remove(node);
                self.dead_since.entry(node.clone()).or_insert(now);
            }
        }
    }

    fn raise_local(&mut self, now: Duration, node: &NodeId) {
        let suspicion = Suspicion {
            deadline: now + LOCAL_SUSPICION_TIMEOUT,
            is_local: true,
        };
        let is_already_local = self.active.get(node).is_some_and(|active| active.is_local);
        if !is_already_local {
            self.active.insert(node.clone(), suspicion);
        }
    }

    /// Postpones the deadlines of all active suspicions.
    pub fn extend_deadlines(&mut self, extension: Duration) {
        for suspicion in self.active.values_mut() {
            suspicion.deadline += extension;
        }
    }

    /// Nodes declared dead and not yet removed.
    pub fn dead_nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.dead_since.keys()
    }

    /// Nodes whose suspicion this node raised itself.
    pub fn local_suspects(&self) -> Vec<NodeId> {
        let local_suspect =
            |(node, suspicion): (&NodeId, &Suspicion)| suspicion.is_local.then(|| node.clone());
        self.active.iter().filter_map(local_suspect).collect()
    }
}

impl MembershipState {
    /// Handles a failed probe: suspects the target, or declares it dead if it was leaving.
    pub(super) fn suspect_member(&mut self, now: Duration, target: MemberKey) {
        let Some(node) = self.node_by_key.get(&target).cloned() else {
            return;
        };
        let Some(record) = self.members.get(&node) else {
            return;
        };
        match record.health.verdict {
            HealthVerdict::Dead => {}
            _ if record.is_leaving => self.declare_dead(now, &node),
            HealthVerdict::Alive => {
                self.counters.suspicions += 1;
                self.set_verdict(now, &node, HealthVerdict::Suspect);
                self.suspicions.raise_local(now, &node);
            }
            HealthVerdict::Suspect => self.suspicions.raise_local(now, &node),
        }
    }

    fn set_verdict(&mut self, now: Duration, node: &NodeId, verdict: HealthVerdict) {
        let Some(mut record) = self.members.get(node).cloned() else {
            return;
        };
        record.health.verdict = verdict;
        let change = RecordChange {
            is_announcement_changed: false,
            is_health_changed: true,
        };
        self.store_record(record, change);
        self.suspicions.update_verdict(now, node, verdict);
        self.enqueue(node, change);
    }

    fn declare_dead(&mut self, now: Duration, node: &NodeId) {
        self.counters.deaths += 1;
        self.set_verdict(now, node, HealthVerdict::Dead);
    }

    pub(super) fn tick_suspicions(&mut self, now: Duration) {
        let is_expired = |suspicion: &Suspicion| suspicion.deadline <= now;
        let expired: Vec<NodeId> = self
            .suspicions
            .active
            .iter()
            .filter(|(_, suspicion)| is_expired(suspicion))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.declare_dead(now, &node);
        }
    }

    pub(super) fn remove_expired_members(&mut self, now: Duration) {
        let members = &self.members;
        let expired_node = |(node, died_at): (&NodeId, &Duration)| {
            let is_leaving = members.get(node).is_some_and(|record| record.is_leaving);
            let retention = if is_leaving {
                LEFT_RETENTION
            } else {
                DEAD_RETENTION
            };
            (now.saturating_sub(*died_at) >= retention).then(|| node.clone())
        };
        let expired: Vec<NodeId> = self
            .suspicions
            .dead_since
            .iter()
            .filter_map(expired_node)
            .collect();
        for node in expired {
            self.suspicions.dead_since.remove(&node);
            self.remove_member(&node);
        }
    }
}
