//! Set of evacuated zones of a node, shared by the tasks that learn it and those that
//! act on it.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::{EvacuatedZones, EvacuationView, StoreRevision, ViewChange, WireEvacuatedZones};
use crate::ids::ZoneName;

/// Latest known set of a node.
#[derive(Debug)]
pub struct EvacuationHub {
    view: Mutex<EvacuationView>,
    /// Time at which the store or another node last stated the set in force.
    confirmed_at: Mutex<Option<Instant>>,
    sender: watch::Sender<EvacuatedZones>,
}

impl Default for EvacuationHub {
    fn default() -> Self {
        Self {
            view: Mutex::default(),
            confirmed_at: Mutex::default(),
            sender: watch::channel(EvacuatedZones::default()).0,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EvacuationHub {
    /// Set in force.
    pub fn current(&self) -> EvacuatedZones {
        self.sender.borrow().clone()
    }

    /// Receiver of the set in force.
    pub fn subscribe(&self) -> watch::Receiver<EvacuatedZones> {
        self.sender.subscribe()
    }

    /// Time since the set in force was last read from the store or received from another
    /// node; `None` if neither has happened.
    pub fn age(&self) -> Option<Duration> {
        lock(&self.confirmed_at).map(|confirmed_at| confirmed_at.elapsed())
    }

    /// Takes in the state of the store; returns whether the zones have changed.
    pub fn observe_store(&self, as_of: StoreRevision, zones: &BTreeSet<ZoneName>) -> bool {
        self.update("store", as_of, |view| view.observe_store(as_of, zones))
    }

    /// Takes in the set of another node.
    pub fn merge(&self, set: &EvacuatedZones, origin: &str) {
        self.update(origin, set.revision, |view| view.merge(set));
    }

    /// Takes in the set from a message of another node, if it holds any.
    pub fn merge_wire(&self, wire: Option<WireEvacuatedZones>, origin: &str) {
        match wire.map(EvacuatedZones::try_from) {
            Some(Ok(set)) => self.merge(&set, origin),
            Some(Err(error)) => log::warn!(
                target: "evacuation", origin;
                "set of another node can't be decoded, ignoring it: {error}"
            ),
            None => {}
        }
    }

    fn update(
        &self,
        origin: &str,
        reported: StoreRevision,
        report: impl FnOnce(&mut EvacuationView) -> ViewChange,
    ) -> bool {
        let mut view = lock(&self.view);
        let previous = view.current().clone();
        let change = report(&mut view);
        let previous_age = self.age();
        if change != ViewChange::Outdated {
            *lock(&self.confirmed_at) = Some(Instant::now());
        }
        if !matches!(change, ViewChange::Revision | ViewChange::Zones) {
            return false;
        }
        let current = view.current().clone();
        log::info!(
            target: "evacuation",
            zones = current.zone_list(), revision:% = current.revision,
            previous_zones = previous.zone_list(), previous_revision:% = previous.revision,
            previous_age_ms = previous_age.map(|age| age.as_millis() as u64),
            reported_revision:% = reported, origin;
            "set of evacuated zones changed"
        );
        self.sender.send_replace(current);
        change == ViewChange::Zones
    }
}
