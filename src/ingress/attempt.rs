//! One attempt of a call: its exchange with the gate of one upstream.
//!
//! An attempt is registered on a link to its gate. When the link is lost, the
//! attempt opens a new one to the same gate and resumes there by call id.
//! Dropping an attempt that has not finished cancels it at the gate.

mod relay;
mod resume;

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{CallId, NodeId, RegionName, ServiceName};
use crate::ingress::answer::CallHead;
use crate::ingress::body::BodyRest;
use crate::ingress::callers::RequestUsage;
use crate::ingress::placing::GateEstimate;
use crate::ingress::{IngressWorker, lock};
use crate::ledger::attempt::{AttemptState, DeadlineAction};
use crate::link::call_link::{CallEvent, CallLink};
use crate::link::messages::{BodyChunk, CallOpen, CallReference, LinkMessage, ResponseStart};
use crate::link::pool::GateTarget;
use crate::link::window::{INITIAL_WINDOW_BYTES, MAX_CHUNK_BYTES, ReceiveWindow, SendWindow};
use crate::retry::AttemptFailure;
use crate::routing::{AttemptNumber, AttemptResult};

/// Longest time before the deadline at which a call is cancelled, so that the
/// gate can still reply whether it ran.
const MAX_CANCEL_MARGIN: Duration = Duration::from_millis(20);
/// The cancel margin is at most the call's time limit divided by this.
const CANCEL_MARGIN_DIVISOR: u32 = 10;

/// Failure of an attempt, with what the gate stated when it refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// What failed, and whether the request may have run.
    pub failure: AttemptFailure,
    /// Time after which the gate said to retry.
    pub retry_after: Option<Duration>,
    /// Time within which the gate would have expected to respond.
    pub estimated_response_time: Option<Duration>,
    /// Whether the gate would queue the call past its target latency.
    pub admits_past_target: bool,
    /// Time until a planned stop of the gate, which refused the call because of it.
    pub stops_in: Option<Duration>,
    /// What the attempt has sent of the request body.
    pub sent_body: SentBody,
}

/// Part of a request body that an attempt has sent to its gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentBody {
    /// Bytes sent.
    pub bytes: u64,
    /// Whether the end of the body was sent.
    pub has_end: bool,
}

impl AttemptError {
    /// Error of an attempt that was not run and never will be.
    pub fn not_run(kind: ErrorKind) -> Self {
        AttemptFailure::NotRun(kind).into()
    }

    /// The gate's estimate, if it refused because of its load.
    pub fn estimate(&self) -> Option<GateEstimate> {
        if self.stops_in.is_some() {
            return None;
        }
        let is_load = matches!(
            self.failure,
            AttemptFailure::NotRun(ErrorKind::Overloaded | ErrorKind::WaitTooLong)
        );
        Some(GateEstimate {
            time_to_slot: self.retry_after.filter(|_| is_load)?,
            time_to_response: self.estimated_response_time?,
            admits_past_target: self.admits_past_target,
        })
    }

    /// Error of an attempt whose response says that the backend server failed.
    pub fn backend_failed() -> Self {
        Self::unknown(ErrorKind::BackendFailed)
    }

    fn unknown(kind: ErrorKind) -> Self {
        AttemptFailure::Unknown(kind).into()
    }
}

impl From<AttemptFailure> for AttemptError {
    fn from(failure: AttemptFailure) -> Self {
        Self {
            failure,
            retry_after: None,
            estimated_response_time: None,
            admits_past_target: false,
            stops_in: None,
            sent_body: SentBody::default(),
        }
    }
}

/// Target, identity and time limit of an attempt.
pub struct AttemptPlan {
    /// Service that is called.
    pub service: ServiceName,
    /// Regions in which the request may be processed; `None` for all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
    /// Gate that the call is offered to.
    pub target: GateTarget,
    /// Nodes that the call has been offered to, this one included.
    pub tried_nodes: BTreeSet<NodeId>,
    /// What is held for the request.
    pub usage: Arc<RequestUsage>,
    /// Number under which routing tracks the attempt.
    pub attempt_number: AttemptNumber,
    /// Call id of this attempt.
    pub id: CallId,
    /// Whether the request may run a second time and the call has an attempt
    /// left for that.
    pub may_retry: bool,
    /// Time limit of the whole call.
    pub timeout: Duration,
    /// End of that time limit.
    pub deadline: Instant,
}

/// Start of a request body that is sent only once the gate has admitted the
/// call.
#[derive(Debug)]
pub struct DeferredBody {
    /// First bytes of the body.
    pub data: Bytes,
    /// Whether the body ends with them.
    pub is_last: bool,
}

/// Attempt in progress.
pub struct CallAttempt {
    worker: Rc<IngressWorker>,
    plan: AttemptPlan,
    link: Rc<CallLink>,
    state: AttemptState,
    events: UnboundedReceiver<CallEvent>,
    deferred_body: Option<DeferredBody>,
    request_window: SendWindow,
    response_window: ReceiveWindow,
    has_response_head: bool,
    completed_result: AttemptResult,
    cancel_at: Instant,
    is_finished: bool,
}

/// Result of one step of the wait for the response head.
enum Progress {
    Continue,
    Head(CallHead),
}

impl CallAttempt {
    /// Opens the call at the gate.
    ///
    /// # Errors
    ///
    /// Fails if no link to the gate could be opened; the call was not run then.
    pub async fn open(
        worker: Rc<IngressWorker>,
        plan: AttemptPlan,
        open: CallOpen,
        deferred_body: Option<DeferredBody>,
    ) -> Result<Self, AttemptError> {
        let connected = tokio::select! {
            biased;
            connected = worker.pool.get_or_open(&plan.target) => connected,
            () = worker.shared.wait_for_deadline(plan.deadline) => {
                Err(io::ErrorKind::TimedOut.into())
            }
        };
        let link = match connected {
            Ok(link) => link,
            Err(error) => {
                log::warn!(target: "link", call:% = plan.id, gate:% = plan.target.node; "no link: {error}");
                let kind = ErrorKind::LinkLost;
                report_to_router(&worker, &plan, AttemptResult::Failed(kind));
                return Err(AttemptError::not_run(kind));
            }
        };
        tokio::select! {
            biased;
            () = link.wait_for_room() => {}
            () = worker.shared.wait_for_deadline(plan.deadline) => {
                let kind = ErrorKind::TimedOut;
                report_to_router(&worker, &plan, AttemptResult::Failed(kind));
                return Err(AttemptError::not_run(kind));
            }
        }
        let events = link.register_call(open.sequence, Arc::clone(&plan.usage));
        let first_window = if deferred_body.is_some() {
            0
        } else {
            INITIAL_WINDOW_BYTES
        };
        let mut outgoing = SendWindow::new(first_window);
        outgoing.record_sent(open.body.clone(), open.is_body_complete);
        link.send(LinkMessage::Open(open));
        let cancel_margin = (plan.timeout / CANCEL_MARGIN_DIVISOR).min(MAX_CANCEL_MARGIN);
        Ok(Self {
            cancel_at: plan.deadline - cancel_margin,
            state: AttemptState::new(link.incarnation()),
            worker,
            plan,
            link,
            events,
            deferred_body,
            request_window: outgoing,
            response_window: ReceiveWindow::default(),
            has_response_head: false,
            completed_result: AttemptResult::Answered,
            is_finished: false,
        })
    }

    /// Node of the gate that the call was offered to.
    pub fn gate(&self) -> &NodeId {
        &self.plan.target.node
    }

    fn sequence(&self) -> u64 {
        self.plan.id.sequence
    }

    fn finish(&mut self, result: AttemptResult) {
        if !self.is_finished {
            self.is_finished = true;
            report_to_router(&self.worker, &self.plan, result);
            self.count_cross_zone_bytes();
            self.link.unregister_call(self.sequence());
        }
    }

    /// Counts the body bytes of an attempt at a gate of another zone.
    fn count_cross_zone_bytes(&self) {
        let bytes = self.request_window.sent_bytes() + self.response_window.received_bytes();
        let shared = &self.worker.shared;
        if bytes > 0 && lock(&shared.router).is_in_other_zone(self.gate()) {
            let service = self.plan.service.as_str();
            shared.metrics.count_cross_zone_bytes(service, bytes);
        }
    }

    /// Waits for the response head while sending the request body.
    ///
    /// # Errors
    ///
    /// Fails with the cause and whether the call may have run.
    pub async fn wait_for_response_head(
        &mut self,
        body: &mut BodyRest<'_>,
    ) -> Result<CallHead, AttemptError> {
        let result = self
            .exchange_until_head(body)
            .await
            .map_err(|error| AttemptError {
                sent_body: self.sent_body(),
                ..error
            });
        match &result {
            Ok(head) => {
                self.has_response_head = true;
                if head.status.is_server_error() {
                    // Reported as an error, so that an upstream that fails fast
                    // doesn't look idle.
                    self.completed_result = AttemptResult::AnsweredServerError;
                }
                if head.is_body_complete {
                    self.acknowledge_response();
                }
            }
            Err(error) => {
                let result = match error.failure {
                    AttemptFailure::NotRun(kind) => AttemptResult::Refused(kind),
                    AttemptFailure::Unknown(kind) => AttemptResult::Failed(kind),
                };
                self.finish(result);
            }
        }
        result
    }

    fn sent_body(&self) -> SentBody {
        SentBody {
            bytes: self.request_window.sent_bytes(),
            has_end: self.request_window.is_ended(),
        }
    }

    async fn exchange_until_head(
        &mut self,
        body: &mut BodyRest<'_>,
    ) -> Result<CallHead, AttemptError> {
        loop {
            self.send_deferred_body();
            let window_room = self.request_window.available_bytes();
            let may_send =
                !self.request_window.is_ended() && window_room > 0 && !self.state.is_cancelled();
            let link = Rc::clone(&self.link);
            let has_room = link.has_room();
            let is_cancelled = self.state.is_cancelled();
            let (cancel_at, deadline) = (self.cancel_at, self.plan.deadline);
            let shared = Arc::clone(&self.worker.shared);
            let timer = async move {
                if is_cancelled {
                    tokio::time::sleep_until(deadline).await;
                } else {
                    shared.wait_for_deadline(cancel_at).await;
                }
            };
            let progress = tokio::select! {
                biased;
                event = self.events.recv() => self.handle_event(event).await?,
                chunk = body.next_chunk(window_room), if may_send && has_room => {
                    self.forward_body_chunk(chunk)?;
                    Progress::Continue
                }
                () = link.wait_for_room(), if may_send && !has_room => Progress::Continue,
                () = timer => {
                    self.on_deadline_timer()?;
                    Progress::Continue
                }
            };
            if let Progress::Head(head) = progress {
                return Ok(head);
            }
        }
    }

    fn forward_body_chunk(
        &mut self,
        chunk: Result<Option<Bytes>, ErrorKind>,
    ) -> Result<(), AttemptError> {
        let (data, is_last) = match chunk {
            Ok(Some(data)) => (data, false),
            Ok(None) => (Bytes::new(), true),
            Err(kind) => {
                // The upload ended early. What the backend server did with the
                // part that it received can't be known.
                self.cancel();
                return Err(AttemptError::unknown(kind));
            }
        };
        self.send_request_chunk(data, is_last);
        Ok(())
    }

    fn send_request_chunk(&mut self, data: Bytes, is_last: bool) {
        self.link.send(LinkMessage::RequestChunk(BodyChunk {
            sequence: self.sequence(),
            offset: self.request_window.sent_bytes(),
            data: data.clone(),
            is_last,
            load: None,
        }));
        self.request_window.record_sent(data, is_last);
    }

    /// Sends the deferred body once the gate has granted credit for it.
    fn send_deferred_body(&mut self) {
        if self.request_window.available_bytes() == 0 || self.state.is_cancelled() {
            return;
        }
        let Some(mut deferred_body) = self.deferred_body.take() else {
            return;
        };
        while !deferred_body.data.is_empty() {
            let chunk = deferred_body
                .data
                .split_to(deferred_body.data.len().min(MAX_CHUNK_BYTES));
            let is_end = deferred_body.is_last && deferred_body.data.is_empty();
            self.send_request_chunk(chunk, is_end);
        }
    }

    /// Cancels the attempt shortly before the deadline and fails it at the
    /// deadline.
    fn on_deadline_timer(&mut self) -> Result<(), AttemptError> {
        match self.state.on_deadline_timer() {
            DeadlineAction::Cancel => {
                // A planned stop may end the call before its own deadline.
                let reply_deadline = Instant::now() + MAX_CANCEL_MARGIN;
                self.plan.deadline = self.plan.deadline.min(reply_deadline);
                self.cancel();
            }
            DeadlineAction::GiveUp(failure) => return Err(failure.into()),
        }
        Ok(())
    }

    fn cancel(&mut self) {
        self.state.mark_cancelled();
        self.link.send(LinkMessage::Cancel(CallReference {
            sequence: self.sequence(),
        }));
    }

    async fn handle_event(&mut self, event: Option<CallEvent>) -> Result<Progress, AttemptError> {
        let message = match event {
            Some(CallEvent::Message(message)) => *message,
            Some(CallEvent::LinkLost) | None => {
                self.resume().await?;
                return Ok(Progress::Continue);
            }
        };
        match message {
            LinkMessage::ResponseStart(head) => {
                let accepted =
                    self.response_window
                        .accept(0, head.body.clone(), head.is_body_complete);
                let body = accepted.unwrap_or_default();
                let head = CallHead::try_from(ResponseStart { body, ..head });
                let head = head.map_err(|error| {
                    log::warn!(target: "ingress", gate:% = self.gate(); "{error}");
                    AttemptError::backend_failed()
                })?;
                Ok(Progress::Head(head))
            }
            LinkMessage::Refusal(refusal) => Err(AttemptError {
                failure: self.state.on_refused(refusal_kind(&refusal.kind)),
                retry_after: Some(Duration::from_millis(refusal.retry_after_ms)),
                estimated_response_time: Some(Duration::from_micros(refusal.expected_response_us))
                    .filter(|finish| !finish.is_zero()),
                admits_past_target: refusal.admits_past_target
                    || refusal.load.is_some_and(|load| {
                        load.start_rate.is_none() && load.in_flight + load.queued < load.limit
                    }),
                stops_in: Some(Duration::from_micros(refusal.stops_in_us))
                    .filter(|stops_in| !stops_in.is_zero()),
                sent_body: SentBody::default(),
            }),
            LinkMessage::Abort(abort) => Err(self
                .state
                .on_aborted(error_kind_from_code(&abort.kind))
                .into()),
            LinkMessage::CancelReply(reply) => {
                Err(self.state.on_cancel_reply(reply.is_not_run).into())
            }
            LinkMessage::Credit(credit) => {
                self.request_window.apply_credit(credit.consumed_bytes);
                Ok(Progress::Continue)
            }
            LinkMessage::ResumeReply(reply) => {
                self.handle_resume_reply(reply)?;
                Ok(Progress::Continue)
            }
            _ => Ok(Progress::Continue),
        }
    }

    fn acknowledge_response(&mut self) {
        self.link.send(LinkMessage::Acknowledge(CallReference {
            sequence: self.sequence(),
        }));
        self.finish(self.completed_result);
    }
}

impl Drop for CallAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            // The caller has disconnected, or another attempt has answered.
            self.cancel();
            self.finish(AttemptResult::Cancelled);
        }
    }
}

fn report_to_router(worker: &IngressWorker, plan: &AttemptPlan, result: AttemptResult) {
    let now = worker.shared.now();
    lock(&worker.shared.router).finish_attempt(
        now,
        &plan.service,
        &plan.target.node,
        plan.attempt_number,
        result,
    );
}

/// Kind of a gate's refusal. A gate whose backend server now belongs to another
/// service can't serve the call, but the caller asked for a service that exists.
fn refusal_kind(code: &str) -> ErrorKind {
    match error_kind_from_code(code) {
        ErrorKind::UnknownService => ErrorKind::BackendUnreachable,
        kind => kind,
    }
}

fn error_kind_from_code(code: &str) -> ErrorKind {
    ErrorKind::from_code(code).unwrap_or(ErrorKind::Internal)
}

#[cfg(test)]
mod tests;
