//! Statements of backend servers that an ingress was told by their gates.
//!
//! They outlive the gate's process, and the ingress keeps to them without the gate: a
//! backend server that said that it leaves gets no further call from here, even if a
//! gate that has restarted believes it ready. A statement belongs to one start of a
//! backend server and ends with it, or when the gate that reported it says so.

use std::collections::BTreeMap;

use super::StartRate;
use crate::ids::{BackendKey, NodeId, NodeIncarnation};

/// Nodes whose statements are kept, more than a subset of upstreams has.
const MAX_KNOWN_NODES: usize = 4_096;

/// What a backend server stated last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownStatement {
    /// Gate that reported it.
    pub gate: NodeIncarnation,
    /// Start of the backend server that stated it.
    pub backend: BackendKey,
    /// Limit on its requests.
    pub rate: Option<StartRate>,
    /// Whether it said that it leaves.
    pub is_leaving: bool,
}

/// Statements by the node of the backend server.
#[derive(Debug, Default)]
pub struct KnownStatements {
    statements: BTreeMap<NodeId, KnownStatement>,
}

impl KnownStatements {
    /// Records what a gate reported. A gate that has restarted may not know yet that its
    /// backend server leaves.
    pub fn record(&mut self, node: &NodeId, reported: KnownStatement) {
        let known_leaving = self.statements.get(node).filter(|known| {
            let is_same_start = known.backend == reported.backend;
            known.is_leaving && is_same_start && known.gate != reported.gate
        });
        let statement = match known_leaving {
            Some(known) => KnownStatement {
                rate: reported.rate,
                ..*known
            },
            None => reported,
        };
        if statement.rate.is_none() && !statement.is_leaving {
            self.statements.remove(node);
            return;
        }
        if self.statements.len() >= MAX_KNOWN_NODES && !self.statements.contains_key(node) {
            self.statements.pop_first();
        }
        self.statements.insert(node.clone(), statement);
    }

    /// Records that a gate reported nothing to remember.
    pub fn record_none(&mut self, node: &NodeId, gate: NodeIncarnation) {
        if let Some(known) = self.statements.get_mut(node) {
            known.rate = None;
            if !known.is_leaving || known.gate == gate {
                self.statements.remove(node);
            }
        }
    }

    /// Last statement of the backend server of a node; `None` without one to keep to.
    pub fn get(&self, node: &NodeId) -> Option<KnownStatement> {
        self.statements.get(node).copied()
    }
}
