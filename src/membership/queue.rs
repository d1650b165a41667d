//! Queue of the updates that wait to be spread, most urgent first.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::NodeId;

/// Copies that an update counts as sent when it is received once more.
const RECEIVED_STATUS_COPIES: u32 = 1;

/// Copies that a whole record counts as sent; it is ten times as large, and
/// digests bring it to a node that is passed over.
const RECEIVED_RECORD_COPIES: u32 = 2;

/// Urgency of an update; the first one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdatePriority {
    /// An upstream that takes no more work by its own word.
    Leaving,
    /// Suspicion, death or refutation of an upstream.
    Health,
    /// Join or change of an upstream.
    Join,
    /// Anything about nodes without a backend server.
    Other,
}

/// One update that waits.
#[derive(Debug, Clone, Copy)]
pub struct QueuedUpdate<'a> {
    /// Node that it is about.
    pub node: &'a NodeId,
    /// Urgency.
    pub priority: UpdatePriority,
    /// Whether the whole record is due.
    pub is_full_record: bool,
}

#[derive(Debug)]
struct QueueItem {
    priority: UpdatePriority,
    sent_copies: u32,
    is_full_record: bool,
}

/// Updates by node; the content is read from the record when it is sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    items: BTreeMap<NodeId, QueueItem>,
    by_priority: BTreeSet<(UpdatePriority, u32, NodeId)>,
}

impl UpdateQueue {
    /// Queues news about a node afresh; `is_whole` asks for its whole record.
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

    /// Counts copies of an update as sent, and drops it at `limit`.
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

    /// Counts a copy that came in from another node.
    ///
    /// Copies heard stand for copies that need not be sent. Urgent updates
    /// don't count them, so that nobody is passed over.
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

    /// Updates in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = QueuedUpdate<'_>> {
        self.by_priority
            .iter()
            .map(|(priority, _, node)| QueuedUpdate {
                node,
                priority: *priority,
                is_full_record: self.items.get(node).is_some_and(|item| item.is_full_record),
            })
    }

    /// Whether an update waits that goes before the byte budget.
    pub fn has_urgent(&self) -> bool {
        self.iter()
            .next()
            .is_some_and(|first| first.priority == UpdatePriority::Leaving)
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
