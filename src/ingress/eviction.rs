//! Choice of the caller's connection that is closed when callers hold too much.
//!
//! Load pattern: callers that send ahead, stall or only connect, in such a number that all
//! memory or all descriptors of the process would be theirs, beside ordinary callers whose
//! connections hold a few kilobytes for a short time.

use std::time::Duration;

/// Shortest time that counts as without progress.
const MIN_STALL: Duration = Duration::from_millis(1);
/// Time after which a caller that takes no byte of its response counts as not reading.
const UNREAD_TIME: Duration = Duration::from_secs(1);

/// Number of a caller's connection at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The next request of the caller.
    Idle,
    /// The rest of a request head.
    ReadingHead,
    /// A response, or the rest of a request body.
    Calling,
    /// The caller, who has not taken what was written.
    Writing,
}

/// State of one connection at the moment of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionState {
    /// Number of the connection.
    pub number: ConnectionNumber,
    /// What it waits for.
    pub phase: ConnectionPhase,
    /// Bytes held for it.
    pub held_bytes: u64,
    /// Time since its caller last took part of a response or sent part of a body.
    pub stalled_for: Duration,
}

impl ConnectionState {
    /// Bytes times the time for which they have been held without progress.
    fn weight(&self) -> u128 {
        u128::from(self.held_bytes) * self.stalled_for.max(MIN_STALL).as_millis()
    }
}

/// Connection that gives its memory back: the one that holds most for longest without
/// progress.
pub fn choose_for_memory(
    connections: impl Iterator<Item = ConnectionState>,
) -> Option<ConnectionNumber> {
    let heaviest = connections.max_by_key(ConnectionState::weight);
    heaviest.map(|connection| connection.number)
}

/// Connection that makes room for a new one: the one that has been idle for longest, or else
/// has taken longest to send a head, or else has left its response unread for longest. `None`
/// if all are in use.
pub fn choose_for_room(
    connections: impl Iterator<Item = ConnectionState>,
) -> Option<ConnectionNumber> {
    let precedence = |connection: &ConnectionState| match connection.phase {
        ConnectionPhase::Idle => Some(2),
        ConnectionPhase::ReadingHead => Some(1),
        ConnectionPhase::Writing if connection.stalled_for >= UNREAD_TIME => Some(0),
        ConnectionPhase::Writing | ConnectionPhase::Calling => None,
    };
    let candidates =
        connections.filter_map(|it| Some((precedence(&it)?, it.stalled_for, it.number)));
    candidates.max().map(|(_, _, number)| number)
}

#[cfg(test)]
mod tests;
