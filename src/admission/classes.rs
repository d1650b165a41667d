//! Run times by class of calls.
//!
//! The run times of one service's calls can differ tenfold. A mean over all of
//! them would overestimate a queue of short calls and underestimate a queue of
//! long ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LatencyEstimate;

/// Index of a class of calls with similar run times, valid at this gate only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassId(usize);

/// Estimates of run times at normal speed, for all calls and for each class.
#[derive(Debug, Default)]
pub(super) struct ClassRunTimes {
    overall: LatencyEstimate,
    ids_by_name: BTreeMap<String, ClassId>,
    by_class: Vec<LatencyEstimate>,
}

impl ClassRunTimes {
    /// Index of the named class, which is added if it is new.
    pub(super) fn intern(&mut self, name: &str) -> ClassId {
        if let Some(class) = self.ids_by_name.get(name) {
            return *class;
        }
        let class = ClassId(self.by_class.len());
        self.by_class.push(LatencyEstimate::default());
        self.ids_by_name.insert(name.to_string(), class);
        class
    }

    /// Adds a completed run by the time that it would have taken at normal speed of
    /// the VM.
    pub(super) fn record(&mut self, class: ClassId, normal_run_time: Duration) {
        self.overall.record(normal_run_time);
        if let Some(estimate) = self.by_class.get_mut(class.0) {
            estimate.record(normal_run_time);
        }
    }

    /// Mean run time of the class at normal speed; before its first run, the
    /// mean of all classes.
    pub(super) fn normal_run_time(&self, class: ClassId) -> Duration {
        let estimate = self.by_class.get(class.0);
        let known_mean = estimate.and_then(LatencyEstimate::known_mean);
        known_mean.unwrap_or_else(|| self.overall.mean())
    }

    /// Like [`normal_run_time`](Self::normal_run_time), by name; the mean of all
    /// classes if the name is unknown, and `None` before the first run of any.
    pub(super) fn known_run_time_of(&self, name: &str) -> Option<Duration> {
        self.class_run_time_of(name)
            .or_else(|| self.overall.known_mean())
    }

    /// Mean run time of the named class; `None` before its first run.
    pub(super) fn class_run_time_of(&self, name: &str) -> Option<Duration> {
        let class = self.ids_by_name.get(name)?;
        self.by_class.get(class.0)?.known_mean()
    }

    /// Shortest run time of the named class at normal speed; zero before its
    /// first run.
    pub(super) fn shortest_run_time_of(&self, name: &str) -> Duration {
        let estimate = self
            .ids_by_name
            .get(name)
            .and_then(|class| self.by_class.get(class.0));
        estimate.map(LatencyEstimate::shortest).unwrap_or_default()
    }

    /// Mean run time of all classes; zero before the first run.
    pub(super) fn overall_mean(&self) -> Duration {
        self.overall.mean()
    }
}
