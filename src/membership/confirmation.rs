//! Spreads how recently the configuration was confirmed by the store.
//!
//! Load pattern: the nodes that ask the store are killed, frozen or cut off together, and
//! the others must notice within a fraction of a second that news has ended, long before
//! probes have told who is dead. So the age of the confirmation travels with the version,
//! in every datagram. A node that gains by a confirmation passes it on at once to a few
//! members, and one that has gained nothing for a while states its age to others, which
//! answer with theirs. No member has a part of its own in this, so that none
//! has to be replaced.
//!
//! Ages are stated instead of times, as the clocks of nodes differ. The time in transit
//! is not known; each hop adds a fixed allowance. A hop that takes longer makes the
//! confirmation look younger, so a node takes over each confirmation once: otherwise one
//! that goes round among slow nodes would never age.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::action::{MembershipAction, MembershipEvent};
use super::message::{Datagram, DatagramKind, WireConfirmation};
use super::record::{HealthVerdict, MemberKey};
use super::state::MembershipState;
use crate::evacuation::StoreRevision;

/// Members among which a receiver is chosen.
#[derive(Debug, Clone, Copy)]
enum RingScope {
    /// Members of the own availability zone.
    Zone,
    /// All members.
    Fleet,
}

/// Rings on which the members that a confirmation is passed on to are chosen. Two of
/// three are in the own availability zone, where datagrams are cheap.
const SPREAD_SCOPES: [RingScope; 3] = [RingScope::Zone, RingScope::Zone, RingScope::Fleet];
/// Gain from which on a confirmation is taken over. Below it, copies of one confirmation
/// that arrive by several ways would be passed on again.
const MIN_GAIN: Duration = Duration::from_millis(150);
/// Time in transit and in queues that each hop adds to the age.
const HOP_ALLOWANCE: Duration = Duration::from_millis(20);
/// Age from which on the node states it to others, which answer with a younger one.
const REQUEST_AGE: Duration = Duration::from_millis(850);
/// Time between two such requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Difference of two ages from which on the older one is answered with the younger one.
const MIN_ANSWER_GAIN: Duration = Duration::from_millis(300);
/// Highest age that is stated; an older confirmation is of no use to anybody.
const MAX_STATED_AGE: Duration = Duration::from_secs(4);
/// Time between two ticks from which this process may have been paused, and datagrams may
/// have waited for it longer than [`HOP_ALLOWANCE`].
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// Time after a pause in which datagrams that waited are still received.
const BACKLOG_TIME: Duration = Duration::from_millis(200);
/// Processes whose last confirmations are kept; few ask the store at the same time.
const MAX_ASKERS: usize = 256;

/// Part of a process's key, by which its confirmations are told from those of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AskerKey(u32);

impl From<MemberKey> for AskerKey {
    fn from(key: MemberKey) -> Self {
        // The key is a hash, of which any bits will do.
        Self(key.0 as u32)
    }
}

/// Confirmation by the store that a process has obtained.
#[derive(Debug, Clone, Copy)]
struct StoreConfirmation {
    /// Time at which no newer configuration was in the store.
    confirmed_at: Duration,
    asker: AskerKey,
    number: u32,
}

/// Latest confirmation that a node knows, and when it last heard from a member.
#[derive(Debug)]
pub(super) struct ConfirmationState {
    latest: Option<StoreConfirmation>,
    /// Highest number that was seen of each process.
    last_numbers: BTreeMap<AskerKey, u32>,
    own_number: u32,
    /// Rounds over the fingers apart from those of probes, which must reach each finger
    /// within a bounded time.
    zone_turn: u32,
    fleet_turn: u32,
    /// Time of the last datagram of a known member.
    last_heard_at: Option<Duration>,
    next_request_at: Duration,
    /// Time until which stated ages are not believed.
    distrusted_until: Duration,
}

impl ConfirmationState {
    /// State of a process that knows no confirmation. The key decides at which finger the
    /// rounds start.
    pub(super) fn new(own_key: MemberKey) -> Self {
        Self {
            latest: None,
            last_numbers: BTreeMap::new(),
            own_number: 0,
            zone_turn: own_key.0 as u32,
            fleet_turn: own_key.0 as u32,
            last_heard_at: None,
            next_request_at: Duration::ZERO,
            distrusted_until: Duration::ZERO,
        }
    }

    /// Takes over a confirmation if it is new and gains enough; returns whether it does.
    fn take_over(&mut self, confirmation: StoreConfirmation) -> bool {
        let known_number = self.last_numbers.get(&confirmation.asker);
        if known_number.is_some_and(|known| *known >= confirmation.number) {
            return false;
        }
        self.last_numbers
            .insert(confirmation.asker, confirmation.number);
        if self.last_numbers.len() > MAX_ASKERS {
            self.last_numbers.pop_first();
        }
        let is_gain = self
            .latest
            .is_none_or(|known| known.confirmed_at + MIN_GAIN <= confirmation.confirmed_at);
        if is_gain {
            self.latest = Some(confirmation);
        }
        is_gain
    }
}

impl MembershipState {
    /// Records and spreads that the store held no newer configuration or evacuated zones
    /// at `confirmed_at` than this node has in force.
    pub fn confirm_config(
        &mut self,
        now: Duration,
        confirmed_at: Duration,
    ) -> Vec<MembershipAction> {
        self.confirmation.own_number += 1;
        let confirmation = StoreConfirmation {
            confirmed_at,
            asker: AskerKey::from(self.own_key),
            number: self.confirmation.own_number,
        };
        if self.confirmation.take_over(confirmation) {
            self.spread_confirmation(now);
        }
        self.take_actions()
    }

    /// Time at which the configuration was last confirmed, by the store or through peers.
    pub fn config_confirmed_at(&self) -> Option<Duration> {
        self.confirmation.latest.map(|latest| latest.confirmed_at)
    }

    /// Time of the last datagram of a known member.
    pub fn last_heard_at(&self) -> Option<Duration> {
        self.confirmation.last_heard_at
    }

    /// Number of members that count as live, this node included.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|it| it.is_live()).count()
    }

    /// Confirmation for a datagram that is sent now.
    pub(super) fn wire_confirmation(&self, now: Duration) -> Option<WireConfirmation> {
        let latest = self.confirmation.latest?;
        let age = now.saturating_sub(latest.confirmed_at);
        if age > MAX_STATED_AGE {
            return None;
        }
        let revision = self.evacuated_zones.revision;
        Some(WireConfirmation {
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            evacuation_era: revision.era,
            evacuation_revision: revision.number,
            asker_key: latest.asker.0,
            number: latest.number,
        })
    }

    /// Takes over the confirmation of a known member, if this node has in force what the
    /// member has or newer.
    pub(super) fn observe_confirmation(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
    ) {
        self.confirmation.last_heard_at = Some(now);
        let Some(stated) = &datagram.confirmation else {
            return;
        };
        let stated_age = Duration::from_millis(u64::from(stated.age_ms));
        self.answer_request(now, from, datagram, stated_age);
        let revision = StoreRevision {
            era: stated.evacuation_era,
            number: stated.evacuation_revision,
        };
        let is_covered =
            datagram.head_version <= self.head_version && revision <= self.evacuated_zones.revision;
        if !is_covered || self.has_backlog(now) {
            return;
        }
        let Some(confirmed_at) = now.checked_sub(stated_age + HOP_ALLOWANCE) else {
            return;
        };
        let confirmation = StoreConfirmation {
            confirmed_at,
            asker: AskerKey(stated.asker_key),
            number: stated.number,
        };
        if self.confirmation.take_over(confirmation) {
            self.notify(MembershipEvent::ConfigConfirmed { confirmed_at });
            self.spread_confirmation(now);
        }
    }

    /// Whether the datagrams that are received now may have waited for this process.
    fn has_backlog(&self, now: Duration) -> bool {
        now < self.confirmation.distrusted_until
            || now.saturating_sub(self.last_tick_at) >= PAUSE_THRESHOLD
    }

    /// Requests a younger confirmation while the own one is old; called with each tick.
    pub(super) fn tick_confirmation(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick_at) >= PAUSE_THRESHOLD {
            self.confirmation.distrusted_until = now + BACKLOG_TIME;
        }
        let Some(confirmed_at) = self.config_confirmed_at() else {
            return;
        };
        let is_old = now.saturating_sub(confirmed_at) >= REQUEST_AGE;
        if !is_old || now < self.confirmation.next_request_at {
            return;
        }
        self.confirmation.next_request_at = now + REQUEST_INTERVAL;
        let finger = self.next_live_finger(RingScope::Fleet);
        if let Some(address) = finger.and_then(|finger| self.address_of(finger)) {
            self.send_confirmation(now, address);
        }
    }

    /// Answers a datagram that was sent for its confirmation with a younger one, if known.
    fn answer_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        stated_age: Duration,
    ) {
        let own_age = self.config_confirmed_at().map(|at| now.saturating_sub(at));
        let is_younger = own_age.is_some_and(|own_age| own_age + MIN_ANSWER_GAIN <= stated_age);
        if is_younger && datagram.is_bare_confirmation() {
            self.send_confirmation(now, from);
        }
    }

    fn send_confirmation(&mut self, now: Duration, to: SocketAddr) {
        let datagram = self.new_datagram(now, DatagramKind::Gossip, 0);
        self.send(now, to, &datagram);
    }

    /// Next finger on a ring that is alive.
    fn next_live_finger(&mut self, scope: RingScope) -> Option<MemberKey> {
        let (ring, turn) = match scope {
            RingScope::Zone => (&self.zone_ring, &mut self.confirmation.zone_turn),
            RingScope::Fleet => (&self.ring, &mut self.confirmation.fleet_turn),
        };
        for _ in 0..ring.finger_count() {
            let finger = ring.next_finger_of(turn)?;
            let node = self.node_by_key.get(&finger);
            let record = node.and_then(|node| self.members.get(node));
            if record.is_some_and(|record| record.health.verdict == HealthVerdict::Alive) {
                return Some(finger);
            }
        }
        None
    }

    fn spread_confirmation(&mut self, now: Duration) {
        let mut receivers = BTreeSet::new();
        for scope in SPREAD_SCOPES {
            receivers.extend(self.next_live_finger(scope));
        }
        for receiver in receivers {
            if let Some(address) = self.address_of(receiver) {
                self.send_confirmation(now, address);
            }
        }
    }
}

#[cfg(test)]
mod tests;
