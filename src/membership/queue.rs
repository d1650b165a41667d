//! Queue of the updates to gossip, by priority and then by copies sent so far.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::NodeId;

/// Copies of a status that one received copy counts for.
const RECEIVED_STATUS_COPIES: u32 = 1;

/// Copies of a full record that one received copy counts for. A full record is
/// ten times as large as a status, and a node that misses it gets it by
/// comparing digests.
const RECEIVED_RECORD_COPIES: u32 = 2;

/// Priority of an update, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdatePriority {
    /// An upstream or node that announced that it is draining, gone or leaving.
    Leaving,
    /// Suspicion, death or refutation of an upstream.
    Health,
    /// Join or changed announcement of an upstream.
    Join,
    /// Any other change of a node without a backend server.
    Other,
}

/// Queued update.
#[derive(Debug, Clone, Copy)]
pub struct QueuedUpdate<'a> {
    /// Node that the update is about.
    pub node: &'a NodeId,
    pub priority: UpdatePriority,
    /// Whether to send the full record instead of its status.
    pub is_full_record: bool,
}

#[derive(Debug)]
struct QueueItem {
    priority: UpdatePriority,
    sent_copies: u32,
    is_full_record: bool,
}

/// At most one update for each node. The content is read from the member record
/// when the update is sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    items: BTreeMap<NodeId, QueueItem>,
    by_priority: BTreeSet<(UpdatePriority, u32, NodeId)>,
}

impl UpdateQueue {
    /// Queues an update with no copies sent, replacing an earlier one of the node.
    ///
    /// A full record stays requested until its update has been dropped.
    pub fn push(&mut self, node: &NodeId, priority: UpdatePriority, is_full_record: bool) {
        let previous = self.remove(node);
        let was_full_record = previous.is_some_and(|item| item.is_full_record);
        let item = QueueItem {
            priority,
            sent_copies: 0,
            is_full_record: is_full_record || was_full_record,
        };
        self.by_priority.insert((priority, 0, node.clone()));
        self.items.insert(node.clone(), item);
    }

    fn remove(&mut self, node: &NodeId) -> Option<QueueItem> {
        let item = self.items.remove(node)?;
        self.by_priority
            .remove(&(item.priority, item.sent_copies, node.clone()));
        Some(item)
    }

    /// Counts copies of an update as sent and drops it at `copy_limit`.
    pub fn add_sent_copies(&mut self, node: &NodeId, copies: u32, copy_limit: u32) {
        let Some(mut item) = self.remove(node) else {
            return;
        };
        item.sent_copies = item.sent_copies.saturating_add(copies);
        if item.sent_copies >= copy_limit {
            return;
        }
        self.by_priority
            .insert((item.priority, item.sent_copies, node.clone()));
        self.items.insert(node.clone(), item);
    }

    /// Counts a copy received from another node as if it had been sent.
    ///
    /// Updates of the highest priority don't count received copies, so that no
    /// member is missed.
    pub fn add_received_copy(&mut self, node: &NodeId, copy_limit: u32) {
        let Some(item) = self.items.get(node) else {
            return;
        };
        let copies = match (item.priority, item.is_full_record) {
            (UpdatePriority::Leaving, _) => return,
            (_, true) => RECEIVED_RECORD_COPIES,
            (_, false) => RECEIVED_STATUS_COPIES,
        };
        self.add_sent_copies(node, copies, copy_limit);
    }

    /// Updates in the order in which to send them.
    pub fn iter(&self) -> impl Iterator<Item = QueuedUpdate<'_>> {
        self.by_priority
            .iter()
            .map(|(priority, _, node)| QueuedUpdate {
                node,
                priority: *priority,
                is_full_record: self.items.get(node).is_some_and(|item| item.is_full_record),
            })
    }

    /// Whether an update is queued that may overdraw the byte budget.
    pub fn has_urgent(&self) -> bool {
        self.iter()
            .next()
            .is_some_and(|first| first.priority == UpdatePriority::Leaving)
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }
}
