//! Offers a call to a gate and waits for the head of its response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::{CallDriver, GateOffer};
use crate::ids::CallId;
use crate::ingress::answer::CallHead;
use crate::ingress::attempt::{AttemptError, AttemptPlan, CallAttempt, DeferredBody};
use crate::ingress::body::{BodyOpening, ReplayableBody};
use crate::link::messages::{CallOpen, HeaderField};
use crate::link::pool::GateTarget;

/// Largest body that is sent along with an offer for an immediate start.
const MAX_IMMEDIATE_OFFER_BODY_BYTES: usize = 1_024;

/// Response whose head has arrived.
pub(super) struct AttemptResponse {
    pub(super) attempt: CallAttempt,
    pub(super) head: CallHead,
    pub(super) time_to_head: Duration,
}

impl AttemptResponse {
    /// Whether the backend server did not report a failure of its own.
    pub(super) fn is_usable(&self) -> bool {
        !self.head.status.is_server_error()
    }
}

impl CallDriver {
    /// Offers the call to the chosen gate and waits for its response.
    ///
    /// The returned future does not borrow the driver, so that the search for
    /// another gate can continue beside it.
    pub(super) fn run_attempt<'a>(
        &self,
        offer: GateOffer,
        body: ReplayableBody<'a>,
    ) -> impl Future<Output = Result<AttemptResponse, AttemptError>> + use<'a> {
        let choice = offer.choice;
        let id = CallId {
            sequence: self.id.sequence + u64::from(self.offer_count),
            ..self.id
        };
        let (opening, mut rest) = body.open();
        let mut open = CallOpen {
            max_occupancy_percent: offer.max_occupancy_percent,
            is_hedge: offer.is_hedge,
            avoids_stop: self.worker.shared.max_immediate_offers > 0 && !offer.is_last_resort,
            ..self.open_message(id, opening)
        };
        let is_body_deferred =
            offer.max_occupancy_percent > 0 && open.body.len() > MAX_IMMEDIATE_OFFER_BODY_BYTES;
        let deferred_body = is_body_deferred.then(|| DeferredBody {
            data: std::mem::take(&mut open.body),
            is_last: std::mem::take(&mut open.is_body_complete),
        });
        let mut tried_nodes = self.tried_nodes.clone();
        tried_nodes.insert(choice.node.clone());
        let plan = AttemptPlan {
            tried_nodes,
            service: self.request.service.clone(),
            allowed_regions: self.request.allowed_regions.clone(),
            target: GateTarget {
                node: choice.node,
                address: choice.peer_address,
            },
            usage: Arc::clone(self.progress.usage()),
            attempt_number: choice.attempt,
            id,
            may_retry: self.request.is_idempotent
                && self.attempt_count() < self.request.attempts_limit,
            timeout: self.request.timeout,
            deadline: self.deadline(),
        };
        let worker = Rc::clone(&self.worker);
        async move {
            let started = Instant::now();
            let mut attempt = CallAttempt::open(worker, plan, open, deferred_body).await?;
            let head = attempt.wait_for_response_head(&mut rest).await?;
            Ok(AttemptResponse {
                attempt,
                head,
                time_to_head: started.elapsed(),
            })
        }
    }

    fn open_message(&self, id: CallId, opening: BodyOpening) -> CallOpen {
        let time_left = self.time_left().as_micros();
        CallOpen {
            sequence: id.sequence,
            service: self.request.service.to_string(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.outgoing_fields(),
            time_left_us: u64::try_from(time_left).unwrap_or(u64::MAX),
            attempts_left: self
                .request
                .attempts_limit
                .saturating_sub(self.attempt_count())
                .max(1),
            is_idempotent: self.request.is_idempotent,
            body_length: self.request.body_length,
            body: opening.data,
            is_body_complete: opening.is_whole,
            request_id: self.request.request_id.clone().unwrap_or_default(),
            rank: self.request.rank,
            target_left_us: u64::try_from(self.target_left().as_micros()).ok(),
            max_occupancy_percent: 0,
            class: self.request.class(),
            tenant: self.request.tenant_text().to_string(),
            is_hedge: false,
            avoids_stop: false,
            head_digest: Bytes::copy_from_slice(self.head_digest.as_bytes()),
            fingerprint: self
                .fingerprint
                .map(|fingerprint| Bytes::copy_from_slice(fingerprint.as_bytes()))
                .unwrap_or_default(),
        }
    }

    /// Header fields of the request; the caller service is the one that this node is
    /// configured with and the tenant that of the key, whatever the caller stated.
    fn outgoing_fields(&self) -> Vec<HeaderField> {
        let shared = &self.worker.shared;
        let mut fields = self.request.fields.clone();
        if let (Some(name), Some(service)) = (shared.dialect.caller_service, &shared.local_service)
        {
            fields.retain(|field| field.name != name);
            fields.push(HeaderField {
                name: name.to_string(),
                value: Bytes::from(service.to_string()),
            });
        }
        if let (Some(name), Some(tenant)) = (shared.dialect.tenant, &self.request.tenant) {
            fields.push(HeaderField {
                name: name.to_string(),
                value: Bytes::from(tenant.to_string()),
            });
        }
        fields
    }
}
