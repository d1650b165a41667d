//! State machine that decides on the next discovery call to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::role::FleetRole;
use crate::store::LeaseId;

/// Maximum interval between rounds. A lost entry must be back within 2 s.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Rounds per lease renewal: at most 4.5 s of the 10 s TTL. The rounds between
/// renewals only list the entries, which also shows whether the own entry exists
/// and takes half the calls.
const ROUNDS_PER_RENEWAL: u32 = 3;
/// Maximum interval between rounds while no other node is known. Nodes that
/// start together after an outage must find each other quickly.
const ALONE_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum delay before the first listing. The actual delay is random, so that of
/// nodes that start together the first ones register and the others find them.
const MAX_START_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before a node registers that found no entry at its start. Nodes
/// that start together should find the entry of one of them before they register.
const MAX_ELECTION_DELAY: Duration = Duration::from_millis(1_500);
/// Listings after a registration that may lack the entry because they are stale.
const STALE_LISTINGS: u32 = 2;

/// Discovery entry of a node in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// Key of the entry, which contains the node's name.
    pub key: String,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// Action that the driver executes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Request a lease.
    GrantLease,
    /// Write the node's own entry under the lease.
    RegisterEntry(LeaseId),
    /// Renew the lease.
    RenewLease(LeaseId),
    /// List the entries of all nodes.
    ListEntries,
    /// Wait for a random time between half of this duration and all of it.
    Wait(Duration),
    /// Wait for the longer of two random times up to this duration. Of nodes that
    /// start together, few wait for much less than all the others.
    WaitForElection(Duration),
}

/// Result of the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// A lease was granted.
    LeaseGranted(LeaseId),
    /// The entry was written; false if the key is held under another lease.
    RegisterReply(bool),
    /// The lease was renewed; false if it has expired.
    RenewReply(bool),
    /// Entries that the store returned; may be stale.
    EntriesListed(Vec<NodeEntry>),
    /// The call to the store failed, with or without an effect.
    CallFailed,
    /// The wait has ended.
    WaitElapsed,
}

/// Discovery state of one node: its entry and lease, and the other nodes found.
#[derive(Debug, Clone)]
pub struct DiscoveryState {
    own_entry: NodeEntry,
    role: FleetRole,
    lease: Option<LeaseId>,
    is_registered: bool,
    stale_listings_left: u32,
    rounds_since_renewal: u32,
    has_listed_entries: bool,
    has_waited_for_election: bool,
    other_addresses: BTreeSet<SocketAddr>,
}

impl DiscoveryState {
    /// State before the first call.
    pub fn new(own_entry: NodeEntry) -> Self {
        Self {
            own_entry,
            role: FleetRole::Starting,
            lease: None,
            is_registered: false,
            stale_listings_left: 0,
            rounds_since_renewal: 0,
            has_listed_entries: false,
            has_waited_for_election: false,
            other_addresses: BTreeSet::new(),
        }
    }

    /// The node's own entry.
    pub fn own_entry(&self) -> &NodeEntry {
        &self.own_entry
    }

    /// Peer addresses of the other nodes in the last listing.
    pub fn other_addresses(&self) -> &BTreeSet<SocketAddr> {
        &self.other_addresses
    }

    /// First action, before any event.
    pub fn first_action(&self) -> DiscoveryAction {
        DiscoveryAction::Wait(MAX_START_DELAY)
    }

    /// Processes the result of an action, given the node's current role; returns the
    /// next action.
    pub fn handle_event(&mut self, event: DiscoveryEvent, role: FleetRole) -> DiscoveryAction {
        self.role = role;
        match event {
            DiscoveryEvent::LeaseGranted(lease) => {
                self.lease = Some(lease.clone());
                self.rounds_since_renewal = 0;
                DiscoveryAction::RegisterEntry(lease)
            }
            // A held key is left from an earlier start of this node and expires
            // with that lease.
            DiscoveryEvent::RegisterReply(is_written) => {
                self.is_registered = is_written;
                self.stale_listings_left = if is_written { STALE_LISTINGS } else { 0 };
                DiscoveryAction::ListEntries
            }
            DiscoveryEvent::RenewReply(true) => {
                self.rounds_since_renewal = 0;
                match &self.lease {
                    Some(lease) if !self.is_registered => {
                        DiscoveryAction::RegisterEntry(lease.clone())
                    }
                    _ => DiscoveryAction::ListEntries,
                }
            }
            DiscoveryEvent::RenewReply(false) => {
                self.clear_lease();
                DiscoveryAction::GrantLease
            }
            DiscoveryEvent::EntriesListed(entries) => self.process_listing(&entries),
            DiscoveryEvent::CallFailed => {
                // The lease may have expired while the store was unreachable, so the
                // next round renews it.
                self.rounds_since_renewal = ROUNDS_PER_RENEWAL;
                DiscoveryAction::Wait(RETRY_DELAY)
            }
            DiscoveryEvent::WaitElapsed => self.begin_round(),
        }
    }

    fn begin_round(&mut self) -> DiscoveryAction {
        if !self.has_listed_entries {
            return DiscoveryAction::ListEntries;
        }
        if self.role == FleetRole::Starting && self.lease.is_none() {
            return DiscoveryAction::ListEntries;
        }
        if !self.role.maintains_entry() && self.role != FleetRole::Starting {
            // The store removes the entry when the lease expires.
            self.clear_lease();
            return DiscoveryAction::Wait(ROUND_INTERVAL);
        }
        self.rounds_since_renewal += 1;
        let is_renewal_due = !self.is_registered || self.rounds_since_renewal >= ROUNDS_PER_RENEWAL;
        match &self.lease {
            Some(lease) if is_renewal_due => DiscoveryAction::RenewLease(lease.clone()),
            Some(_) => DiscoveryAction::ListEntries,
            None => DiscoveryAction::GrantLease,
        }
    }

    fn clear_lease(&mut self) {
        self.lease = None;
        self.is_registered = false;
    }

    fn process_listing(&mut self, entries: &[NodeEntry]) -> DiscoveryAction {
        self.other_addresses = entries
            .iter()
            .filter(|entry| entry.key != self.own_entry.key)
            .map(|entry| entry.address)
            .collect();
        let was_registered = self.is_registered;
        self.confirm_registration(entries);
        self.has_listed_entries = true;
        if let Some(lease) = self
            .lease
            .as_ref()
            .filter(|_| was_registered && !self.is_registered)
        {
            return DiscoveryAction::RenewLease(lease.clone());
        }
        if self.other_addresses.is_empty() && self.lease.is_none() {
            return self.register_first_entry();
        }
        DiscoveryAction::Wait(match self.role {
            FleetRole::Alone => ALONE_ROUND_INTERVAL,
            FleetRole::Starting
            | FleetRole::ZoneFirst
            | FleetRole::ZoneSecond
            | FleetRole::Reserve
            | FleetRole::Follower => ROUND_INTERVAL,
        })
    }

    /// Updates whether the own entry exists. A missing one is written again, but not
    /// while the listings may be older than the write.
    fn confirm_registration(&mut self, entries: &[NodeEntry]) {
        let is_listed = entries.contains(&self.own_entry);
        if is_listed || self.stale_listings_left == 0 {
            self.is_registered = is_listed;
            self.stale_listings_left = 0;
        } else {
            self.stale_listings_left -= 1;
        }
    }

    /// Next action of a node that has found no entry.
    fn register_first_entry(&mut self) -> DiscoveryAction {
        match self.role {
            FleetRole::Starting if !self.has_waited_for_election => {
                self.has_waited_for_election = true;
                DiscoveryAction::WaitForElection(MAX_ELECTION_DELAY)
            }
            FleetRole::Starting | FleetRole::Alone | FleetRole::ZoneFirst => {
                DiscoveryAction::GrantLease
            }
            FleetRole::ZoneSecond | FleetRole::Reserve | FleetRole::Follower => {
                DiscoveryAction::Wait(ROUND_INTERVAL)
            }
        }
    }
}
