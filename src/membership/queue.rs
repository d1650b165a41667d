//! Queue of the updates that wait to be spread, most urgent first.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::NodeId;

/// Copies that an update counts as sent when it is received once more.
const HEARD_COPIES: u32 = 1;

/// Copies that a whole record counts as sent; it is ten times as large, and
/// digests bring it to a node that is passed over.
const HEARD_WHOLE_COPIES: u32 = 2;

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

/// One update that waits.
#[derive(Debug, Clone, Copy)]
pub struct QueuedUpdate<'a> {
    /// Node that it is about.
    pub node: &'a NodeId,
    /// Urgency.
    pub class: UpdateClass,
    /// Whether the whole record is due.
    pub is_whole: bool,
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

    /// Counts a copy that came in from another node.
    ///
    /// Copies heard stand for copies that need not be sent. Urgent updates
    /// don't count them, so that nobody is passed over.
    pub fn mark_heard(&mut self, node: &NodeId, limit: u32) {
        let Some(item) = self.items.get(node) else {
            return;
        };
        let copies = match (item.class, item.is_whole) {
            (UpdateClass::Leaving, _) => return,
            (_, true) => HEARD_WHOLE_COPIES,
            (_, false) => HEARD_COPIES,
        };
        self.mark_sent(node, copies, limit);
    }

    /// Updates in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = QueuedUpdate<'_>> {
        self.order.iter().map(|(class, _, node)| QueuedUpdate {
            node,
            class: *class,
            is_whole: self.items.get(node).is_some_and(|item| item.is_whole),
        })
    }

    /// Whether an update waits that goes before the byte budget.
    pub fn is_urgent(&self) -> bool {
        self.iter()
            .next()
            .is_some_and(|first| first.class == UpdateClass::Leaving)
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
