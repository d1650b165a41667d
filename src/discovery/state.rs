//! What to ask of the store next.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::store::LeaseId;

/// Time between two rounds. An entry that was lost is back within two seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time between the first rounds, in which nodes that start together meet.
const FIRST_INTERVAL: Duration = Duration::from_millis(400);
/// Rounds that count as the first.
const FIRST_ROUNDS: u32 = 5;
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// Entry of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundEntry {
    /// Key.
    pub key: String,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// Next step of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Take out a lease.
    Grant,
    /// Write the own entry under the lease.
    Register(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Read the entries.
    List,
    /// Wait.
    Wait(Duration),
}

/// Result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// A lease was granted.
    Granted(LeaseId),
    /// The entry was written, or another holds the key.
    Registered(bool),
    /// The lease was renewed, or has lapsed.
    Renewed(bool),
    /// Entries as the store showed them.
    Listed(Vec<FoundEntry>),
    /// The call failed.
    Failed,
    /// The wait is over.
    Waited,
}

/// State of one node's entry.
#[derive(Debug)]
pub struct DiscoveryState {
    own: FoundEntry,
    lease: Option<LeaseId>,
    is_registered: bool,
    rounds: u32,
    others: BTreeSet<SocketAddr>,
}

impl DiscoveryState {
    /// State before the first call.
    pub fn new(own: FoundEntry) -> Self {
        Self {
            own,
            lease: None,
            is_registered: false,
            rounds: 0,
            others: BTreeSet::new(),
        }
    }

    /// Own entry.
    pub fn own(&self) -> &FoundEntry {
        &self.own
    }

    /// Addresses of the other nodes at the last look.
    pub fn others(&self) -> &BTreeSet<SocketAddr> {
        &self.others
    }

    /// First step.
    pub fn start(&self) -> DiscoveryAction {
        DiscoveryAction::Grant
    }

    /// Takes the result of a step; returns the next.
    pub fn next(&mut self, event: DiscoveryEvent) -> DiscoveryAction {
        match event {
            DiscoveryEvent::Granted(lease) => {
                self.lease = Some(lease.clone());
                DiscoveryAction::Register(lease)
            }
            // A key that is held is an earlier start's; it lapses with its lease.
            DiscoveryEvent::Registered(is_written) => {
                self.is_registered = is_written;
                DiscoveryAction::List
            }
            DiscoveryEvent::Renewed(true) => DiscoveryAction::List,
            DiscoveryEvent::Renewed(false) => {
                self.lease = None;
                self.is_registered = false;
                DiscoveryAction::Grant
            }
            DiscoveryEvent::Listed(entries) => self.take_entries(&entries),
            DiscoveryEvent::Failed => DiscoveryAction::Wait(FAILURE_PAUSE),
            DiscoveryEvent::Waited => match &self.lease {
                Some(lease) if self.is_registered => DiscoveryAction::Renew(lease.clone()),
                Some(lease) => DiscoveryAction::Register(lease.clone()),
                None => DiscoveryAction::Grant,
            },
        }
    }

    fn take_entries(&mut self, entries: &[FoundEntry]) -> DiscoveryAction {
        let is_listed = entries.contains(&self.own);
        self.others = entries
            .iter()
            .filter(|entry| entry.key != self.own.key)
            .map(|entry| entry.address)
            .collect();
        self.rounds = self.rounds.saturating_add(1);
        // A listing may be older than the entry; writing it again does no harm.
        self.is_registered = is_listed;
        DiscoveryAction::Wait(if self.rounds < FIRST_ROUNDS {
            FIRST_INTERVAL
        } else {
            ROUND_INTERVAL
        })
    }
}
