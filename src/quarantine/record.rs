//! Evidence against one request, and how the evidence of two nodes merges.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::HeadDigest;
use crate::ids::{NodeIncarnation, ServiceName};

/// Crashes that are kept for a request; more change nothing.
const MAX_CRASHES: usize = 8;
/// Crashes from which a request is held.
const HOLD_CRASHES: usize = 3;
/// Crashes among them that happened in trials. One may be chance: a backend server that
/// ends for another reason during the trial of an innocent.
const HOLD_TRIAL_CRASHES: usize = 2;
/// Pause after a crash in a trial. Backend servers that end one shortly after the other for
/// another reason would else blame the same innocent twice.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Time from the last crash to the next half-open trial, by the crashes beyond the third.
const HOLD_TIMES: [Duration; 3] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(2 * 3_600),
    Duration::from_secs(24 * 3_600),
];

/// One end of a backend server, as its gate saw it.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{_0:016x}")]
pub struct CrashId(u64);

impl CrashId {
    /// Id of the crash with this number at a gate.
    pub fn new(gate: NodeIncarnation, number: u64) -> Self {
        Self(xxh3_64_with_seed(&number.to_le_bytes(), gate.get()))
    }

    /// Returns the hash.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for CrashId {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

/// Who may have caused a crash.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CrashBlame {
    /// Any of the calls that ran.
    #[display("shared")]
    Shared,
    /// This request, as it ran in a trial.
    #[display("sole")]
    Sole,
}

/// Evidence against one request.
///
/// A run to the end raises the epoch and empties the crashes: of two records the one with
/// the higher epoch holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Runs to the end and clearances since the first suspicion.
    pub epoch: u32,
    /// Crashes with this request among the suspects, since the last clearance.
    pub crashes: BTreeMap<CrashId, CrashBlame>,
    /// Digest of the request's head.
    pub head: HeadDigest,
    /// Service at which it was last seen.
    pub service: ServiceName,
    /// Time of the newest evidence, on this node's clock.
    pub changed_at: Duration,
}

impl CrashRecord {
    /// Whether the request is suspected, held or not.
    pub fn is_suspect(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Whether the evidence is enough to refuse the request.
    pub fn is_enough(&self) -> bool {
        self.crashes.len() >= HOLD_CRASHES && self.trial_crashes() >= HOLD_TRIAL_CRASHES
    }

    /// Number of crashes that happened in trials of this request.
    pub fn trial_crashes(&self) -> usize {
        let blames = self.crashes.values();
        blames.filter(|blame| **blame == CrashBlame::Sole).count()
    }

    /// Time from which a suspect may run in a trial.
    pub fn next_trial_at(&self) -> Duration {
        if self.trial_crashes() > 0 {
            self.changed_at + TRIAL_PAUSE
        } else {
            self.changed_at
        }
    }

    /// Time at which the next half-open trial is due.
    pub fn hold_end(&self) -> Duration {
        let trials = self.crashes.len().saturating_sub(HOLD_CRASHES);
        self.changed_at + HOLD_TIMES[trials.min(HOLD_TIMES.len() - 1)]
    }

    /// Removes all evidence, after a run to the end or by an operator.
    pub fn clear(&mut self, now: Duration) {
        self.epoch += 1;
        self.crashes.clear();
        self.changed_at = now;
    }

    /// Merges the evidence of another node; returns whether this record changed.
    ///
    /// The result doesn't depend on the order of merges, and evidence counts once.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.epoch < self.epoch {
            return false;
        }
        if other.epoch > self.epoch {
            *self = other.clone();
            return true;
        }
        let before = self.crashes.clone();
        for (crash, blame) in &other.crashes {
            let known = self.crashes.entry(*crash).or_insert(*blame);
            *known = (*known).max(*blame);
        }
        while self.crashes.len() > MAX_CRASHES {
            let least = self
                .crashes
                .iter()
                .min_by_key(|(crash, blame)| (*blame, *crash));
            let Some(crash) = least.map(|(crash, _)| *crash) else {
                break;
            };
            self.crashes.remove(&crash);
        }
        let is_changed = self.crashes != before;
        if is_changed {
            self.changed_at = self.changed_at.max(other.changed_at);
        }
        is_changed
    }
}
