//! How recently the configuration in force is known to have been the newest.
//!
//! The store confirms the configuration when a node reads it, or asks whether anything
//! has changed since. A peer with the same configuration passes its confirmation on.
//! From the time of the last one, a node knows how old its configuration may be, whoever
//! is alive: what it has not heard of since then may have been accepted by the store.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Way by which a confirmation arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationOrigin {
    /// This node asked the store.
    Store,
    /// A peer passed it on.
    Peer,
}

/// Knowledge that no newer configuration was in the store at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigConfirmation {
    /// The moment: that at which the store was asked.
    pub as_of: Instant,
    /// Way by which it arrived.
    pub origin: ConfirmationOrigin,
}

/// Latest confirmation of a node's configuration and evacuated zones.
#[derive(Debug)]
pub struct ConfirmationHub {
    sender: watch::Sender<Option<ConfigConfirmation>>,
}

impl Default for ConfirmationHub {
    fn default() -> Self {
        Self {
            sender: watch::channel(None).0,
        }
    }
}

impl ConfirmationHub {
    /// Latest confirmation; `None` before the first one.
    pub fn latest(&self) -> Option<ConfigConfirmation> {
        *self.sender.borrow()
    }

    /// Receiver of the latest confirmation.
    pub fn subscribe(&self) -> watch::Receiver<Option<ConfigConfirmation>> {
        self.sender.subscribe()
    }

    /// Time since the configuration was last confirmed; `None` before the first time.
    pub fn age(&self) -> Option<Duration> {
        self.latest()
            .map(|confirmation| confirmation.as_of.elapsed())
    }

    /// Takes in a confirmation, unless a later one is known.
    pub fn record(&self, confirmation: ConfigConfirmation) {
        self.sender.send_if_modified(|latest| {
            let is_later = latest.is_none_or(|latest| latest.as_of < confirmation.as_of);
            if is_later {
                *latest = Some(confirmation);
            }
            is_later
        });
    }
}

#[cfg(test)]
mod tests;
