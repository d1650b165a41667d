//! A call's offer to a gate, until the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::{CallDriver, PlacedCall};
use crate::ids::CallId;
use crate::ingress::attempt::{AttemptEnd, AttemptPlan, CallAttempt, FIRST_SERVER_ERROR, HeldBody};
use crate::ingress::body::RequestBody;
use crate::link::messages::{CallOpen, HeaderField, ResponseStart};
use crate::link::pool::GateTarget;

/// Largest body that goes along when a gate is asked for a free slot, in bytes.
const MAX_ASK_BYTES: usize = 1_024;

/// Answer whose head has arrived.
pub(super) struct Answered {
    pub(super) attempt: CallAttempt,
    pub(super) head: ResponseStart,
    pub(super) latency: Duration,
}

impl Answered {
    pub(super) fn is_good(&self) -> bool {
        self.head.status < FIRST_SERVER_ERROR
    }
}

impl CallDriver {
    /// Offers the call to the gate that was chosen and waits for its answer.
    ///
    /// What is needed of the call is taken before the first wait, so that the
    /// search can go on beside it.
    pub(super) fn run_attempt<'a>(
        &self,
        placed: PlacedCall,
        body: &'a mut RequestBody,
    ) -> impl Future<Output = Result<Answered, AttemptEnd>> + use<'a> {
        let choice = placed.choice;
        let id = CallId {
            sequence: self.id.sequence + u64::from(self.placements),
            ..self.id
        };
        let mut open = CallOpen {
            max_occupancy_percent: placed.ask_percent,
            ..self.open_message(id, body)
        };
        let is_held = placed.ask_percent > 0 && open.body.len() > MAX_ASK_BYTES;
        let held = is_held.then(|| HeldBody {
            data: std::mem::take(&mut open.body),
            is_last: std::mem::take(&mut open.is_body_complete),
        });
        let plan = AttemptPlan {
            service: self.facts.service.clone(),
            target: GateTarget {
                node: choice.node,
                address: choice.peer_address,
            },
            number: choice.attempt,
            id,
            may_repeat: self.facts.is_idempotent && self.attempts() < self.facts.attempts_limit,
            timeout: self.facts.timeout,
            deadline: self.deadline,
        };
        let worker = Rc::clone(&self.worker);
        async move {
            let started = Instant::now();
            let mut attempt = CallAttempt::open(worker, plan, open, held).await?;
            let head = attempt.wait_head(body).await?;
            Ok(Answered {
                attempt,
                head,
                latency: started.elapsed(),
            })
        }
    }

    fn open_message(&self, id: CallId, body: &RequestBody) -> CallOpen {
        let (first, is_last) = body.first();
        let time_left = self.time_left().as_micros();
        CallOpen {
            sequence: id.sequence,
            service: self.facts.service.to_string(),
            method: self.facts.method.clone(),
            path: self.facts.path.clone(),
            headers: self.call_fields(),
            time_left_us: u64::try_from(time_left).unwrap_or(u64::MAX),
            attempts_left: self
                .facts
                .attempts_limit
                .saturating_sub(self.attempts())
                .max(1),
            is_idempotent: self.facts.is_idempotent,
            body_length: self.facts.body_length,
            body: first,
            is_body_complete: is_last,
            request_id: self.facts.request_id.clone().unwrap_or_default(),
            rank: self.facts.rank,
            target_left_us: u64::try_from(self.target_left().as_micros()).ok(),
            max_occupancy_percent: 0,
            class: self.facts.class(),
        }
    }

    /// Fields of the request, with those that this node vouches for.
    fn call_fields(&self) -> Vec<HeaderField> {
        let shared = &self.worker.shared;
        let mut fields = self.facts.fields.clone();
        if let (Some(name), Some(service)) = (shared.dialect.caller_service, &shared.home_service) {
            fields.retain(|field| field.name != name);
            fields.push(HeaderField {
                name: name.to_string(),
                value: Bytes::from(service.to_string()),
            });
        }
        fields
    }
}
