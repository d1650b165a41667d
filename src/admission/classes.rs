//! Times that runs take, by class of calls.
//!
//! Calls of one service can differ tenfold in their work. A mean over all of
//! them makes a queue of short calls look long, and a queue of long ones short.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LatencyEstimate;

/// Class of calls that take about the same time, by its number at this gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassId(usize);

/// Times of completed runs.
#[derive(Debug, Default)]
pub(super) struct ClassTimes {
    all: LatencyEstimate,
    ids: BTreeMap<String, ClassId>,
    classes: Vec<LatencyEstimate>,
}

impl ClassTimes {
    /// Number of a class, which is opened if it is new.
    pub(super) fn open(&mut self, name: &str) -> ClassId {
        if let Some(class) = self.ids.get(name) {
            return *class;
        }
        let class = ClassId(self.classes.len());
        self.classes.push(LatencyEstimate::default());
        self.ids.insert(name.to_string(), class);
        class
    }

    /// Takes note of a completed run, as it was and as it would have been at
    /// the VM's usual speed.
    pub(super) fn note(&mut self, class: ClassId, latency: Duration, usual: Duration) {
        self.all.note(latency);
        if let Some(times) = self.classes.get_mut(class.0) {
            times.note(usual);
        }
    }

    /// Time of a run of the class at the usual speed; before its first run, the
    /// mean of all.
    pub(super) fn usual(&self, class: ClassId) -> Duration {
        let times = self.classes.get(class.0);
        let known = times.and_then(LatencyEstimate::known_mean);
        known.unwrap_or_else(|| self.all.mean())
    }

    /// Time of a run of the named class at the usual speed.
    pub(super) fn usual_of(&self, name: &str) -> Duration {
        let class = self.ids.get(name);
        class.map_or_else(|| self.all.mean(), |class| self.usual(*class))
    }

    /// Shortest run of the named class at the usual speed; zero before its first.
    pub(super) fn shortest_of(&self, name: &str) -> Duration {
        let times = self
            .ids
            .get(name)
            .and_then(|class| self.classes.get(class.0));
        times.map(LatencyEstimate::shortest).unwrap_or_default()
    }

    /// Mean of all runs.
    pub(super) fn mean(&self) -> Duration {
        self.all.mean()
    }
}
