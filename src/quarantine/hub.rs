//! Evidence of a node, shared by its gate and its ingress threads and kept in step with
//! other nodes.
//!
//! A change goes out over all open call links before the call that caused it is answered,
//! so that a retry never overtakes it. A node forwards what is new to it. A new link gets
//! all records first: so a node that has restarted, or was cut off, learns them with its
//! first link, before any call on it. If all nodes restart together the evidence is lost.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::record::{CrashId, CrashRecord};
use super::state::{QuarantineState, RequestStanding};
use super::watch::CrashFinding;
use super::wire::{decode_record, encode_records};
use super::{HeadDigest, RequestFingerprint};
use crate::ids::{BackendId, ServiceName};
use crate::link::endpoint::LinkSender;
use crate::link::messages::{LinkMessage, QuarantineUpdate};
use crate::metrics::NodeMetrics;

/// Time shown by the clock at the start, more than the age of any evidence.
const CLOCK_START: Duration = Duration::from_secs(14 * 24 * 3_600);

/// Evidence of a node and the links that it is sent over.
#[derive(Debug)]
pub struct QuarantineHub {
    started_at: Instant,
    state: Mutex<QuarantineState>,
    links: Mutex<BTreeMap<u64, LinkSender>>,
    next_link: AtomicU64,
    /// Lets calls skip the lock while there is no evidence at all.
    record_count: AtomicUsize,
    metrics: Arc<NodeMetrics>,
}

/// Keeps a link in step until it is dropped.
#[derive(Debug)]
pub struct LinkRegistration {
    hub: Arc<QuarantineHub>,
    number: u64,
}

impl LinkRegistration {
    /// Hub that the link is registered with.
    pub fn hub(&self) -> &QuarantineHub {
        &self.hub
    }
}

impl Drop for LinkRegistration {
    fn drop(&mut self) {
        lock(&self.hub.links).remove(&self.number);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Default for QuarantineHub {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

impl QuarantineHub {
    /// Hub without evidence.
    pub fn new(metrics: Arc<NodeMetrics>) -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
            links: Mutex::default(),
            next_link: AtomicU64::new(0),
            record_count: AtomicUsize::new(0),
            metrics,
        }
    }

    fn now(&self) -> Duration {
        CLOCK_START + self.started_at.elapsed()
    }

    fn is_empty(&self) -> bool {
        self.record_count.load(Ordering::Relaxed) == 0
    }

    /// Standing of a request.
    pub fn standing(&self, fingerprint: RequestFingerprint) -> RequestStanding {
        if self.is_empty() {
            return RequestStanding::Unsuspected;
        }
        lock(&self.state).standing(self.now(), fingerprint)
    }

    /// Whether a request with this head is suspected or held.
    pub fn has_suspect_head(&self, head: HeadDigest) -> bool {
        !self.is_empty() && lock(&self.state).has_suspect_head(head)
    }

    /// Records the end of a backend server.
    pub fn record_crash(
        &self,
        crash: CrashId,
        backend: &BackendId,
        service: &ServiceName,
        finding: &CrashFinding,
    ) {
        let calls: Vec<String> = finding.calls.iter().map(ToString::to_string).collect();
        let suspects = finding.suspects.iter();
        let suspects: Vec<String> = suspects.map(|(suspect, _)| suspect.to_string()).collect();
        log::warn!(
            target: "quarantine",
            crash:%, backend:%, service:%, calls = calls.join(" "),
            suspects = suspects.join(" "), blame:% = finding.blame;
            "backend server ended while calls ran"
        );
        self.metrics.count_backend_crash();
        let now = self.now();
        let changed = lock(&self.state).record_crash(now, crash, service, finding);
        self.publish(&changed, "crash");
    }

    /// Records a run to the end, which clears a suspect.
    pub fn record_completion(&self, fingerprint: RequestFingerprint) {
        if !self.is_empty() && lock(&self.state).record_completion(self.now(), fingerprint) {
            self.publish(&[fingerprint], "completed run");
        }
    }

    /// Clears a request for an operator; false if it isn't suspected.
    pub fn clear(&self, fingerprint: RequestFingerprint) -> bool {
        let is_cleared = lock(&self.state).record_completion(self.now(), fingerprint);
        if is_cleared {
            self.publish(&[fingerprint], "operator");
        }
        is_cleared
    }

    /// Suspected and held requests.
    pub fn suspects(&self) -> Vec<(RequestFingerprint, CrashRecord, RequestStanding)> {
        let now = self.now();
        let state = lock(&self.state);
        let suspects = state.records().filter(|(_, record)| record.is_suspect());
        suspects
            .map(|(fingerprint, record)| {
                let standing = state.standing(now, *fingerprint);
                (*fingerprint, record.clone(), standing)
            })
            .collect()
    }

    /// Merges the records that another node sent.
    pub fn merge(&self, update: &QuarantineUpdate) {
        let now = self.now();
        let mut changed = Vec::new();
        let mut state = lock(&self.state);
        for wire in &update.records {
            match decode_record(now, wire) {
                Ok((fingerprint, record)) => {
                    if state.merge_record(now, fingerprint, &record) {
                        changed.push(fingerprint);
                    }
                }
                Err(error) => log::warn!(target: "quarantine", "{error}"),
            }
        }
        drop(state);
        self.publish(&changed, "other node");
    }

    /// Keeps a link in step: sends all records now and changes later.
    pub fn register_link(self: &Arc<Self>, sender: &LinkSender) -> LinkRegistration {
        let number = self.next_link.fetch_add(1, Ordering::Relaxed);
        // Before the records are read, so that no change is missed between.
        lock(&self.links).insert(number, sender.clone());
        let state = lock(&self.state);
        let all: Vec<_> = state
            .records()
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let update = encode_records(self.now(), &state, &all);
        drop(state);
        if !update.records.is_empty() {
            sender.send(LinkMessage::Quarantine(update));
        }
        LinkRegistration {
            hub: Arc::clone(self),
            number,
        }
    }

    /// Sends changed records to all linked nodes, and logs what they mean.
    fn publish(&self, changed: &[RequestFingerprint], evidence: &str) {
        if changed.is_empty() {
            return;
        }
        let now = self.now();
        let state = lock(&self.state);
        self.record_count
            .store(state.records().count(), Ordering::Relaxed);
        self.metrics.set_held_requests(state.held_count(now));
        for fingerprint in changed {
            let standing = state.standing(now, *fingerprint);
            let record = state.get(*fingerprint);
            log::info!(
                target: "quarantine",
                fingerprint:%, standing = standing.name(),
                service = record.map_or("", |record| record.service.as_str()),
                crashes = record.map_or(0, |record| record.crashes.len()),
                trial_crashes = record.map_or(0, CrashRecord::trial_crashes),
                evidence;
                "evidence against a request changed"
            );
        }
        let update = encode_records(now, &state, changed);
        drop(state);
        for sender in lock(&self.links).values() {
            sender.send(LinkMessage::Quarantine(update.clone()));
        }
    }
}
