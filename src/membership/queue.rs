//! Queue of the updates that wait to be spread, most urgent first.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::NodeId;

/// Urgency of an update; the first one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateClass {
    /// An upstream that takes no more work by its own word.
    Leaving,
    /// Suspicion, death or refutation of an upstream.
    Health,
    /// Join or change of an upstream.
    Join,
    /// Anything about nodes without a backend server.
    Other,
}

#[derive(Debug)]
struct QueueItem {
    class: UpdateClass,
    sent: u32,
    is_whole: bool,
}

/// Updates by node; the content is read from the record when it is sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    items: BTreeMap<NodeId, QueueItem>,
    order: BTreeSet<(UpdateClass, u32, NodeId)>,
}

impl UpdateQueue {
    /// Queues news about a node afresh; `is_whole` asks for its whole record.
    pub fn push(&mut self, node: &NodeId, class: UpdateClass, is_whole: bool) {
        let previous = self.remove(node);
        let was_whole = previous.is_some_and(|item| item.is_whole);
        let item = QueueItem {
            class,
            sent: 0,
            is_whole: is_whole || was_whole,
        };
        self.order.insert((class, 0, node.clone()));
        self.items.insert(node.clone(), item);
    }

    fn remove(&mut self, node: &NodeId) -> Option<QueueItem> {
        let item = self.items.remove(node)?;
        self.order.remove(&(item.class, item.sent, node.clone()));
        Some(item)
    }

    /// Counts copies of an update as sent, and drops it at `limit`.
    pub fn mark_sent(&mut self, node: &NodeId, copies: u32, limit: u32) {
        let Some(mut item) = self.remove(node) else {
            return;
        };
        item.sent = item.sent.saturating_add(copies);
        if item.sent >= limit {
            return;
        }
        self.order.insert((item.class, item.sent, node.clone()));
        self.items.insert(node.clone(), item);
    }

    /// Nodes in the order of sending, with whether the whole record is due.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, bool)> {
        self.order.iter().map(|(_, _, node)| {
            let is_whole = self.items.get(node).is_some_and(|item| item.is_whole);
            (node, is_whole)
        })
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of updates that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }
}
