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
pub(super) struct ClassRunTimes {
    overall: LatencyEstimate,
    ids_by_name: BTreeMap<String, ClassId>,
    by_class: Vec<LatencyEstimate>,
}

impl ClassRunTimes {
    /// Number of a class, which is opened if it is new.
    pub(super) fn intern(&mut self, name: &str) -> ClassId {
        if let Some(class) = self.ids_by_name.get(name) {
            return *class;
        }
        let class = ClassId(self.by_class.len());
        self.by_class.push(LatencyEstimate::default());
        self.ids_by_name.insert(name.to_string(), class);
        class
    }

    /// Takes note of a completed run, as it was and as it would have been at
    /// the VM's usual speed.
    pub(super) fn record(&mut self, class: ClassId, latency: Duration, normal_run_time: Duration) {
        self.overall.record(latency);
        if let Some(estimate) = self.by_class.get_mut(class.0) {
            estimate.record(normal_run_time);
        }
    }

    /// Time of a run of the class at the usual speed; before its first run, the
    /// mean of all.
    pub(super) fn normal_run_time(&self, class: ClassId) -> Duration {
        let estimate = self.by_class.get(class.0);
        let known_mean = estimate.and_then(LatencyEstimate::known_mean);
        known_mean.unwrap_or_else(|| self.overall.mean())
    }

    /// Time of a run of the named class at the usual speed.
    pub(super) fn normal_run_time_of(&self, name: &str) -> Duration {
        let class = self.ids_by_name.get(name);
        class.map_or_else(|| self.overall.mean(), |class| self.normal_run_time(*class))
    }

    /// Shortest run of the named class at the usual speed; zero before its first.
    pub(super) fn shortest_run_time_of(&self, name: &str) -> Duration {
        let estimate = self
            .ids_by_name
            .get(name)
            .and_then(|class| self.by_class.get(class.0));
        estimate.map(LatencyEstimate::shortest).unwrap_or_default()
    }

    /// Mean of all runs.
    pub(super) fn overall_mean(&self) -> Duration {
        self.overall.mean()
    }
}
