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
const ALONE_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Longest wait before the first look, drawn by chance: of nodes that start
/// together, the first ones leave an entry and the others find it.
const START_SPREAD: Duration = Duration::from_millis(200);

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
    pub fn of_rank(live_count: usize, zone_rank: u32) -> Self {
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
    pub fn is_leading(self) -> bool {
        matches!(self, Self::Alone | Self::ZoneFirst)
    }
}

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
    /// Wait between half of this time and all of it.
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
#[derive(Debug, Clone)]
pub struct DiscoveryState {
    own: FoundEntry,
    role: FleetRole,
    lease: Option<LeaseId>,
    is_registered: bool,
    rounds_unrenewed: u32,
    has_looked: bool,
    others: BTreeSet<SocketAddr>,
}

impl DiscoveryState {
    /// State before the first call.
    pub fn new(own: FoundEntry) -> Self {
        Self {
            own,
            role: FleetRole::Alone,
            lease: None,
            is_registered: false,
            rounds_unrenewed: 0,
            has_looked: false,
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
        DiscoveryAction::Wait(START_SPREAD)
    }

    /// Takes the result of a step and the present role; returns the next step.
    pub fn next(&mut self, event: DiscoveryEvent, role: FleetRole) -> DiscoveryAction {
        self.role = role;
        match event {
            DiscoveryEvent::Granted(lease) => {
                self.lease = Some(lease.clone());
                self.rounds_unrenewed = 0;
                DiscoveryAction::Register(lease)
            }
            // A key that is held is an earlier start's; it lapses with its lease.
            DiscoveryEvent::Registered(is_written) => {
                self.is_registered = is_written;
                DiscoveryAction::List
            }
            DiscoveryEvent::Renewed(true) => {
                self.rounds_unrenewed = 0;
                match &self.lease {
                    Some(lease) if !self.is_registered => DiscoveryAction::Register(lease.clone()),
                    _ => DiscoveryAction::List,
                }
            }
            DiscoveryEvent::Renewed(false) => {
                self.drop_lease();
                DiscoveryAction::Grant
            }
            DiscoveryEvent::Listed(entries) => self.take_entries(&entries),
            DiscoveryEvent::Failed => {
                // The lease may have lapsed while the store was away.
                self.rounds_unrenewed = ROUNDS_PER_RENEWAL;
                DiscoveryAction::Wait(FAILURE_PAUSE)
            }
            DiscoveryEvent::Waited => self.begin_round(),
        }
    }

    fn begin_round(&mut self) -> DiscoveryAction {
        if !self.has_looked {
            return DiscoveryAction::List;
        }
        if !self.role.is_leading() {
            // The entry lapses with its lease.
            self.drop_lease();
            return DiscoveryAction::Wait(ROUND_INTERVAL);
        }
        self.rounds_unrenewed += 1;
        let is_due = !self.is_registered || self.rounds_unrenewed >= ROUNDS_PER_RENEWAL;
        match &self.lease {
            Some(lease) if is_due => DiscoveryAction::Renew(lease.clone()),
            Some(_) => DiscoveryAction::List,
            None => DiscoveryAction::Grant,
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.is_registered = false;
    }

    fn take_entries(&mut self, entries: &[FoundEntry]) -> DiscoveryAction {
        self.others = entries
            .iter()
            .filter(|entry| entry.key != self.own.key)
            .map(|entry| entry.address)
            .collect();
        // A listing may be older than the entry; writing it again does no harm.
        self.is_registered = entries.contains(&self.own);
        let is_first_look = !std::mem::replace(&mut self.has_looked, true);
        if is_first_look && self.others.is_empty() {
            return DiscoveryAction::Grant;
        }
        DiscoveryAction::Wait(match self.role {
            FleetRole::Alone => ALONE_INTERVAL,
            FleetRole::ZoneFirst | FleetRole::ZoneSecond | FleetRole::Follower => ROUND_INTERVAL,
        })
    }
}
