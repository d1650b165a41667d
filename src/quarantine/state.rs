//! Evidence against all requests, and what follows for each.
//!
//! The number of records is bounded: a sender of ever new requests that crash servers
//! displaces its own suspects, but none that are held while there are others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::{CrashId, CrashRecord};
use super::watch::CrashFinding;
use super::{HeadDigest, RequestFingerprint};
use crate::ids::ServiceName;

/// Records that are kept.
const MAX_RECORDS: usize = 1_024;
/// Time after which evidence is forgotten. Longer than the longest hold, so that a trial
/// at its end still finds it.
const EVIDENCE_MEMORY: Duration = Duration::from_secs(48 * 3_600);
/// Time for which a clearance is kept, so that late evidence from before doesn't revive
/// the suspicion.
const CLEARANCE_MEMORY: Duration = Duration::from_secs(60);

/// What the evidence says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStanding {
    /// No evidence.
    Unsuspected,
    /// It ran at a crash: it runs only in a trial.
    Suspect {
        /// Crashes that it may have caused.
        crashes: usize,
        /// Time since the newest evidence.
        evidence_age: Duration,
        /// Time until it may run.
        trial_in: Duration,
    },
    /// It is refused.
    Held {
        /// Crashes that it may have caused.
        crashes: usize,
        /// Time since the newest evidence.
        evidence_age: Duration,
        /// Time until the next half-open trial.
        retry_after: Duration,
    },
}

/// Evidence against all requests that a node knows of.
#[derive(Debug, Default)]
pub struct QuarantineState {
    records: BTreeMap<RequestFingerprint, CrashRecord>,
}

impl QuarantineState {
    /// Standing of a request.
    pub fn standing(&self, now: Duration, fingerprint: RequestFingerprint) -> RequestStanding {
        let Some(record) = self
            .records
            .get(&fingerprint)
            .filter(|record| record.is_suspect())
        else {
            return RequestStanding::Unsuspected;
        };
        let crashes = record.crashes.len();
        let evidence_age = now.saturating_sub(record.changed_at);
        let retry_after = record.hold_end().saturating_sub(now);
        if record.is_enough() && !retry_after.is_zero() {
            RequestStanding::Held {
                crashes,
                evidence_age,
                retry_after,
            }
        } else {
            RequestStanding::Suspect {
                crashes,
                evidence_age,
                trial_in: record.next_trial_at().saturating_sub(now),
            }
        }
    }

    /// Whether a request with this head is suspected or held.
    pub fn has_suspect_head(&self, head: HeadDigest) -> bool {
        let mut records = self.records.values();
        records.any(|record| record.is_suspect() && record.head == head)
    }

    /// Records the suspects of a crash; returns the changed records.
    pub fn record_crash(
        &mut self,
        now: Duration,
        crash: CrashId,
        service: &ServiceName,
        finding: &CrashFinding,
    ) -> Vec<RequestFingerprint> {
        let changed = finding.suspects.iter().filter(|(fingerprint, head)| {
            let evidence = CrashRecord {
                epoch: self.records.get(fingerprint).map_or(0, |known| known.epoch),
                crashes: BTreeMap::from([(crash, finding.blame)]),
                head: *head,
                service: service.clone(),
                changed_at: now,
            };
            self.merge_record(now, *fingerprint, &evidence)
        });
        let changed: Vec<_> = changed.map(|(fingerprint, _)| *fingerprint).collect();
        changed
    }

    /// Clears a request that ran to the end; returns whether it was suspected.
    pub fn record_completion(&mut self, now: Duration, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get_mut(&fingerprint);
        let Some(record) = record.filter(|record| record.is_suspect()) else {
            return false;
        };
        record.clear(now);
        true
    }

    /// Merges a record of another node; returns whether the own one changed.
    pub fn merge_record(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
        other: &CrashRecord,
    ) -> bool {
        if is_expired(now, other) {
            return false;
        }
        if let Some(known) = self.records.get_mut(&fingerprint) {
            return known.merge(other);
        }
        self.records.insert(fingerprint, other.clone());
        self.remove_excess(now);
        true
    }

    /// Record of a request.
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&CrashRecord> {
        self.records.get(&fingerprint)
    }

    /// All records, clearances included.
    pub fn records(&self) -> impl Iterator<Item = (&RequestFingerprint, &CrashRecord)> {
        self.records.iter()
    }

    /// Number of requests that are held.
    pub fn held_count(&self, now: Duration) -> usize {
        let fingerprints = self.records.keys();
        fingerprints
            .filter(|fingerprint| {
                matches!(
                    self.standing(now, **fingerprint),
                    RequestStanding::Held { .. }
                )
            })
            .count()
    }

    fn remove_excess(&mut self, now: Duration) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !is_expired(now, record));
        while self.records.len() > MAX_RECORDS {
            // Clearances go first, then the oldest suspects, then held requests.
            let order =
                |record: &CrashRecord| (record.is_suspect(), record.is_enough(), record.changed_at);
            let least = self.records.iter().min_by_key(|(_, record)| order(record));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}

fn is_expired(now: Duration, record: &CrashRecord) -> bool {
    let memory = if record.is_suspect() {
        EVIDENCE_MEMORY
    } else {
        CLEARANCE_MEMORY
    };
    now.saturating_sub(record.changed_at) >= memory
}

impl RequestStanding {
    /// Crashes that the request may have caused.
    pub fn crashes(self) -> usize {
        match self {
            Self::Unsuspected => 0,
            Self::Suspect { crashes, .. } | Self::Held { crashes, .. } => crashes,
        }
    }

    /// Time since the newest evidence; zero without any.
    pub fn evidence_age(self) -> Duration {
        match self {
            Self::Unsuspected => Duration::ZERO,
            Self::Suspect { evidence_age, .. } | Self::Held { evidence_age, .. } => evidence_age,
        }
    }

    /// Time until the request may run.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Unsuspected => Duration::ZERO,
            Self::Suspect { trial_in, .. } => trial_in,
            Self::Held { retry_after, .. } => retry_after,
        }
    }

    /// Name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unsuspected => "unsuspected",
            Self::Suspect { .. } => "suspect",
            Self::Held { .. } => "held",
        }
    }
}
