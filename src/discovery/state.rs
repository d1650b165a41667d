//! What to ask of the store next.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::store::LeaseId;

/// Time between two rounds. An entry that was lost is back within two seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Rounds from one renewal of the lease to the next, at most 4.5 s of its 10 s.
/// A listing shows as well whether the entry is there, for half the calls.
const ROUNDS_PER_RENEWAL: u32 = 3;
/// Time between two rounds while no other node is known: nodes that start together after an
/// outage are to meet at once.
const ALONE_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Longest wait before the first look, drawn by chance: of nodes that start
/// together, the first ones leave an entry and the others find it.
const MAX_START_DELAY: Duration = Duration::from_millis(200);

/// Part of a node in the fleet, as membership shows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FleetRole {
    /// No other live node is known.
    #[default]
    Alone,
    /// Lowest name among the live nodes of its availability zone.
    ZoneFirst,
    /// Second lowest name among them.
    ZoneSecond,
    /// Any other.
    Follower,
}

impl FleetRole {
    /// Part of a node, by the live nodes that it knows, itself included, and its
    /// place among the names of those of its availability zone.
    pub fn from_zone_rank(live_count: usize, zone_rank: u32) -> Self {
        match (live_count, zone_rank) {
            (0 | 1, _) => Self::Alone,
            (_, 0) => Self::ZoneFirst,
            (_, 1) => Self::ZoneSecond,
            _ => Self::Follower,
        }
    }

    /// Whether the node watches the configuration. Two of each availability zone
    /// do: a store that turns single nodes away, or leaves them without an answer,
    /// may do so to the first of every zone at the same time.
    pub fn watches_config(self) -> bool {
        self != Self::Follower
    }

    /// Whether the node speaks to the store for others too.
    pub fn maintains_entry(self) -> bool {
        matches!(self, Self::Alone | Self::ZoneFirst)
    }
}

/// Entry of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// Key.
    pub key: String,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// Next step of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Take out a lease.
    GrantLease,
    /// Write the own entry under the lease.
    RegisterEntry(LeaseId),
    /// Renew the lease.
    RenewLease(LeaseId),
    /// Read the entries.
    ListEntries,
    /// Wait between half of this time and all of it.
    Wait(Duration),
}

/// Result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// A lease was granted.
    LeaseGranted(LeaseId),
    /// The entry was written, or another holds the key.
    RegisterReply(bool),
    /// The lease was renewed, or has lapsed.
    RenewReply(bool),
    /// Entries as the store showed them.
    EntriesListed(Vec<NodeEntry>),
    /// The call failed.
    CallFailed,
    /// The wait is over.
    WaitElapsed,
}

/// State of one node's entry.
#[derive(Debug, Clone)]
pub struct DiscoveryState {
    own_entry: NodeEntry,
    role: FleetRole,
    lease: Option<LeaseId>,
    is_registered: bool,
    rounds_since_renewal: u32,
    has_listed_entries: bool,
    other_addresses: BTreeSet<SocketAddr>,
}

impl DiscoveryState {
    /// State before the first call.
    pub fn new(own_entry: NodeEntry) -> Self {
        Self {
            own_entry,
            role: FleetRole::Alone,
            lease: None,
            is_registered: false,
            rounds_since_renewal: 0,
            has_listed_entries: false,
            other_addresses: BTreeSet::new(),
        }
    }

    /// Own entry.
    pub fn own_entry(&self) -> &NodeEntry {
        &self.own_entry
    }

    /// Addresses of the other nodes at the last look.
    pub fn other_addresses(&self) -> &BTreeSet<SocketAddr> {
        &self.other_addresses
    }

    /// First step.
    pub fn first_action(&self) -> DiscoveryAction {
        DiscoveryAction::Wait(MAX_START_DELAY)
    }

    /// Takes the result of a step and the present role; returns the next step.
    pub fn handle_event(&mut self, event: DiscoveryEvent, role: FleetRole) -> DiscoveryAction {
        self.role = role;
        match event {
            DiscoveryEvent::LeaseGranted(lease) => {
                self.lease = Some(lease.clone());
                self.rounds_since_renewal = 0;
                DiscoveryAction::RegisterEntry(lease)
            }
            // A key that is held is an earlier start's; it lapses with its lease.
            DiscoveryEvent::RegisterReply(is_written) => {
                self.is_registered = is_written;
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
                self.forget_lease();
                DiscoveryAction::GrantLease
            }
            DiscoveryEvent::EntriesListed(entries) => self.process_listing(&entries),
            DiscoveryEvent::CallFailed => {
                // The lease may have lapsed while the store was away.
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
        if !self.role.maintains_entry() {
            // The entry lapses with its lease.
            self.forget_lease();
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

    fn forget_lease(&mut self) {
        self.lease = None;
        self.is_registered = false;
    }

    fn process_listing(&mut self, entries: &[NodeEntry]) -> DiscoveryAction {
        self.other_addresses = entries
            .iter()
            .filter(|entry| entry.key != self.own_entry.key)
            .map(|entry| entry.address)
            .collect();
        // A listing may be older than the entry; writing it again does no harm.
        self.is_registered = entries.contains(&self.own_entry);
        let is_first_listing = !std::mem::replace(&mut self.has_listed_entries, true);
        if is_first_listing && self.other_addresses.is_empty() {
            return DiscoveryAction::GrantLease;
        }
        DiscoveryAction::Wait(match self.role {
            FleetRole::Alone => ALONE_ROUND_INTERVAL,
            FleetRole::ZoneFirst | FleetRole::ZoneSecond | FleetRole::Follower => ROUND_INTERVAL,
        })
    }
}
