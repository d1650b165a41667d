//! Statements of backend servers that an ingress was told by their gates.
//!
//! They outlive the gate's process, and the ingress keeps to them without the gate: a
//! backend server that said that it leaves gets no further call from here, even if a
//! gate that has restarted believes it ready. A statement belongs to one start of a
//! backend server and ends with it.

use std::collections::BTreeMap;

use super::StartRate;
use crate::ids::{BackendKey, NodeId};

/// Nodes whose statements are kept, more than a subset of upstreams has.
const MAX_KNOWN_NODES: usize = 4_096;

/// What a backend server stated last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownStatement {
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
    /// Records what a gate reported. A backend server that leaves doesn't come back
    /// before its next start.
    pub fn record(&mut self, node: &NodeId, reported: KnownStatement) {
        let known = self.statements.get(node);
        let was_leaving =
            known.is_some_and(|known| known.is_leaving && known.backend == reported.backend);
        let statement = KnownStatement {
            is_leaving: reported.is_leaving || was_leaving,
            ..reported
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

    /// Forgets the limit of the node's backend server.
    pub fn end_rate(&mut self, node: &NodeId) {
        if let Some(known) = self.statements.get_mut(node) {
            known.rate = None;
            if !known.is_leaving {
                self.statements.remove(node);
            }
        }
    }

    /// Last statement of the backend server of a node; `None` without one to keep to.
    pub fn get(&self, node: &NodeId) -> Option<KnownStatement> {
        self.statements.get(node).copied()
    }

    /// Whether this start of the node's backend server said that it leaves.
    pub fn is_leaving(&self, node: &NodeId, backend: BackendKey) -> bool {
        self.get(node)
            .is_some_and(|known| known.is_leaving && known.backend == backend)
    }
}
