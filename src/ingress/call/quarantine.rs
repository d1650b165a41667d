//! Calls whose request is suspected of crashing backend servers, or held for it.
//!
//! A held request is refused before any gate is asked. A suspect goes to the one gate
//! where it may run, at any ingress, and is not hedged.

use super::{CallDriver, GateOffer};
use crate::error::ErrorKind;
use crate::ingress::answer::CallFailure;
use crate::ingress::attempt::AttemptError;
use crate::ingress::body::RequestBody;
use crate::quarantine::{FingerprintHasher, RequestFingerprint, RequestStanding, trial_node};
use crate::table::UpstreamState;

impl CallDriver {
    /// Finds out the request's fingerprint, as far as its body has arrived. Waits for
    /// more of the body only if there is evidence against a request with this head.
    pub(super) async fn identify_request(
        &mut self,
        body: &mut RequestBody,
    ) -> Result<(), CallFailure> {
        if self.fingerprint.is_some() {
            return Ok(());
        }
        let quarantine = &self.worker.shared.quarantine;
        let (_, is_known) = body.identity_prefix();
        if !is_known && quarantine.has_suspect_head(self.head_digest) {
            let filled = self.within_deadline(body.fill_replay_buffer()).await;
            filled.map_err(|kind| self.failure(kind))?;
        }
        let (prefix, is_known) = body.identity_prefix();
        let mut hasher = FingerprintHasher::new(self.head_digest);
        hasher.update(prefix);
        self.fingerprint = hasher.finish(is_known);
        Ok(())
    }

    fn standing(&self) -> RequestStanding {
        let quarantine = &self.worker.shared.quarantine;
        self.fingerprint
            .map_or(RequestStanding::Unsuspected, |fingerprint| {
                quarantine.standing(fingerprint)
            })
    }

    /// Fails the call if its request is held, or if its trial would come too late.
    pub(super) fn check_quarantine(&self) -> Result<(), CallFailure> {
        let standing = self.standing();
        let kind = match standing {
            RequestStanding::Held { .. } => ErrorKind::Quarantined,
            RequestStanding::Suspect { trial_in, .. } if trial_in >= self.time_left() => {
                ErrorKind::WaitTooLong
            }
            RequestStanding::Suspect { .. } | RequestStanding::Unsuspected => return Ok(()),
        };
        if kind == ErrorKind::Quarantined {
            self.worker.shared.metrics.count_quarantine_refusal();
        }
        let retry_after = standing.retry_after();
        log::info!(
            target: "quarantine",
            call:% = self.id,
            request_id = self.request_id(),
            fingerprint = self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            standing = standing.name(),
            crashes = standing.crashes(),
            evidence_age_ms = standing.evidence_age().as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "suspected request refused"
        );
        Err(CallFailure {
            outcome: self.history.outcome(),
            retry_after,
            ..self.failure(kind)
        })
    }

    /// Fingerprint of the request if it is a suspect.
    pub(super) fn suspect_fingerprint(&self) -> Option<RequestFingerprint> {
        self.fingerprint
            .filter(|_| matches!(self.standing(), RequestStanding::Suspect { .. }))
    }

    /// Offers a suspect to the gate where it may run.
    pub(super) fn trial_offer(
        &mut self,
        fingerprint: RequestFingerprint,
    ) -> Result<GateOffer, AttemptError> {
        let table = self.worker.shared.table.borrow().clone();
        let entry = table.services.get(&self.request.service);
        let upstreams = entry.into_iter().flat_map(|entry| &entry.upstreams);
        let regions = self.request.region_limit();
        let ready = upstreams.filter(|(node, upstream)| {
            upstream.state == UpstreamState::Ready
                && !upstream.is_suspect
                && regions.allows(upstream)
                && !self.tried_nodes.contains(*node)
        });
        let node = trial_node(fingerprint, ready.map(|(node, _)| node))
            .ok_or(AttemptError::not_run(ErrorKind::NoUpstream))?
            .clone();
        let choice = self.choose_node(&node).map_err(AttemptError::not_run)?;
        self.offer_count += 1;
        self.tried_nodes.insert(node);
        Ok(GateOffer {
            choice,
            max_occupancy_percent: 0,
            is_hedge: false,
            is_last_resort: true,
        })
    }
}
