//! One call at the gate, from its arrival until its response is acknowledged.
//!
//! A call waits for a slot if it is queued, then runs at the backend server
//! while its response is relayed to the ingress. Meanwhile it can be cancelled,
//! resumed on another link, or ended by its deadline.

mod relay;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use crate::admission::WorkResult;
use crate::backend::{BackendClient, BackendError, BackendResponse, RequestBodySource};
use crate::error::ErrorKind;
use crate::gate::answer::ResponseSender;
use crate::gate::feed::RequestBodyFeed;
use crate::gate::identity::CallIdentity;
use crate::gate::record::log_queued_refusal;
use crate::gate::succession::{BackendSlot, CallAdmission, QueueEnd, SlotReceiver};
use crate::gate::trials::TrialTurn;
use crate::gate::{Gate, GateRefusal};
use crate::ids::CallId;
use crate::ledger::RunPermit;
use crate::link::body_deadline::{BodyDeadline, RESPONSE_RETENTION};
use crate::link::endpoint::LinkSender;
use crate::link::messages::{BodyChunk, CallOpen, CallResume, CancelReply, LinkMessage};
use crate::quarantine::RunEnd;
use crate::retry::resend::LostExchange;

/// Input to a call, from its link or its connection to the backend server.
#[derive(Debug)]
pub enum CallInput {
    /// Chunk of the request body.
    RequestChunk(BodyChunk),
    /// Response body bytes that the ingress has consumed, counted from the
    /// start.
    ResponseCredit(u64),
    /// Further request body bytes that the backend server's connection has
    /// taken.
    RequestConsumed(u64),
    /// The ingress cancelled the call.
    Cancel,
    /// The call continues on another link.
    Resume(CallResume, LinkSender),
    /// The ingress has received the whole response.
    Acknowledge,
    /// The response is no longer kept, as newer ones need the memory.
    DiscardResponse,
}

/// Completed step of the exchange with the backend server.
enum ExchangeStep {
    ResponseHead(Result<Box<BackendResponse>, BackendError>),
    ResponseChunk(Result<Option<Bytes>, ErrorKind>),
}

/// Reason why a run ended without a complete response.
enum RunError {
    Cancelled,
    Failed(ErrorKind),
    /// The backend server did not run the call, and stated when to retry.
    Refused {
        retry_after: Duration,
    },
}

/// How the wait of a queued call ended.
enum SlotWait {
    Granted(BackendSlot),
    /// The queue ended, as another start took the place of the backend server.
    BackendReplaced,
    /// The call was refused, cancelled or out of time, and told so.
    Ended,
}

/// State of one call at the gate.
pub struct GateCall {
    pub(super) gate: Rc<Gate>,
    id: CallId,
    open: CallOpen,
    deadline: Instant,
    /// Extends `deadline` while the response makes progress; set once its head
    /// is sent.
    response_deadline: Option<BodyDeadline>,
    inputs: UnboundedReceiver<CallInput>,
    response_sender: ResponseSender,
    body_feed: RequestBodyFeed,
    pub(super) identity: CallIdentity,
    is_trial: bool,
    is_running: bool,
}

/// Whether a call continues after an input.
pub(super) enum InputEffect {
    Continue,
    Cancelled,
}

impl GateCall {
    /// Runs a call that the ledger has accepted as new.
    pub async fn run(
        gate: Rc<Gate>,
        id: CallId,
        open: CallOpen,
        link: LinkSender,
        (sender, inputs): (UnboundedSender<CallInput>, UnboundedReceiver<CallInput>),
    ) {
        let arrived_at = Instant::now();
        let (body_feed, body) = RequestBodyFeed::new(&open, sender);
        let mut call = Self {
            response_sender: ResponseSender::new(open.sequence, link),
            deadline: arrived_at + Duration::from_micros(open.time_left_us),
            response_deadline: None,
            identity: CallIdentity::from_open(&open),
            is_trial: false,
            gate,
            id,
            open,
            inputs,
            body_feed,
            is_running: false,
        };
        let is_response_kept = match call.take_trial_turn().await {
            TrialTurn::NotNeeded => call.admit_and_run(body).await,
            TrialTurn::Granted(permit) => {
                call.is_trial = true;
                let is_response_kept = call.admit_and_run(body).await;
                drop(permit);
                is_response_kept
            }
            TrialTurn::Ended => false,
        };
        if is_response_kept {
            call.await_acknowledgement().await;
        }
        call.unregister();
    }

    /// Runs the call if admission control lets it. Returns whether there is a response
    /// to keep outside the ledger until it is acknowledged.
    async fn admit_and_run(&mut self, body: RequestBodySource) -> bool {
        let Some(slot) = self.take_slot().await else {
            return false;
        };
        self.run_on_backend(slot, body).await
    }

    /// Waits for a slot at the present start of the backend server. If another start takes
    /// its place meanwhile, the call is decided on anew. `None` if the call is refused,
    /// cancelled or out of time, and told so.
    async fn take_slot(&mut self) -> Option<BackendSlot> {
        loop {
            let slot = match self.gate.admit(self.id, &self.open, self.time_left()) {
                Ok(CallAdmission::Started(slot)) => slot,
                Ok(CallAdmission::Queued(receiver)) => match self.wait_for_slot(receiver).await {
                    SlotWait::Granted(slot) => slot,
                    SlotWait::BackendReplaced => continue,
                    SlotWait::Ended => return None,
                },
                Err(refusal) => {
                    self.send_refusal(&refusal);
                    return None;
                }
            };
            if self.gate.is_present(&slot) {
                return Some(slot);
            }
            // Another start took its place at the moment of the grant.
            self.gate.finish_call(self.id, WorkResult::NotSent);
        }
    }

    pub(super) fn id(&self) -> CallId {
        self.id
    }

    pub(super) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Next input; `None` if the call's sender is gone.
    pub(super) async fn next_input(&mut self) -> Option<CallInput> {
        self.inputs.recv().await
    }

    /// Handles the inputs that have arrived; returns whether one cancels the call. A
    /// gate that was paused reads calls and their cancellations at the same moment.
    fn has_pending_cancel(&mut self) -> bool {
        while let Ok(input) = self.inputs.try_recv() {
            if matches!(self.handle_input(input), InputEffect::Cancelled) {
                return true;
            }
        }
        false
    }

    /// Ends the call. Inputs that arrived at the same moment get their reply from
    /// the ledger, as all later messages do.
    fn unregister(mut self) {
        self.gate.unregister_call(self.id);
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                CallInput::Resume(resume, link) => self.gate.resume_call(self.id, resume, &link),
                CallInput::Cancel => self.gate.cancel_call(self.id, self.response_sender.link()),
                CallInput::Acknowledge
                | CallInput::RequestChunk(_)
                | CallInput::DiscardResponse
                | CallInput::RequestConsumed(_)
                | CallInput::ResponseCredit(_) => {}
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn send_refusal(&mut self, refusal: &GateRefusal) {
        if refusal.kind == ErrorKind::ZoneEvacuated {
            self.gate.metrics.count_evacuation_refusal();
        }
        self.gate.record_refusal(self.id);
        self.response_sender
            .send_refusal(refusal, Some(self.gate.current_load()));
    }

    /// Waits while the call is queued.
    async fn wait_for_slot(&mut self, mut receiver: SlotReceiver) -> SlotWait {
        loop {
            tokio::select! {
                biased;
                input = self.inputs.recv() => {
                    let Some(input) = input else {
                        return SlotWait::Ended;
                    };
                    if matches!(self.handle_input(input), InputEffect::Cancelled) {
                        if !self.gate.dequeue_call(self.id) {
                            // The slot was granted at the same moment.
                            self.gate.finish_call(self.id, WorkResult::NotSent);
                        }
                        self.send_cancel_reply(true);
                        return SlotWait::Ended;
                    }
                }
                granted = &mut receiver => return match granted {
                    Ok(Ok(slot)) => SlotWait::Granted(slot),
                    Ok(Err(QueueEnd::BackendReplaced)) => SlotWait::BackendReplaced,
                    Ok(Err(QueueEnd::Refused(kind))) => {
                        let refusal = GateRefusal::from(kind);
                        let load = self.gate.current_load();
                        log_queued_refusal(self.id, &self.open, refusal.retry_after, load);
                        self.send_refusal(&refusal);
                        SlotWait::Ended
                    }
                    Err(_) => {
                        let refusal = self.gate.wait_too_long_refusal(self.id, &self.open);
                        self.send_refusal(&self.gate.name_stop(refusal, self.time_left()));
                        SlotWait::Ended
                    }
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    if !self.gate.dequeue_call(self.id) {
                        self.gate.finish_call(self.id, WorkResult::NotSent);
                    }
                    self.send_refusal(&ErrorKind::TimedOut.into());
                    return SlotWait::Ended;
                }
            }
        }
    }

    pub(super) fn send_cancel_reply(&mut self, is_not_run: bool) {
        self.gate.record_cancellation(self.id);
        self.response_sender
            .send_message(LinkMessage::CancelReply(CancelReply {
                sequence: self.open.sequence,
                is_not_run,
            }));
    }

    pub(super) fn handle_input(&mut self, input: CallInput) -> InputEffect {
        match input {
            CallInput::RequestChunk(chunk) => {
                if chunk.offset == self.body_feed.received_bytes() {
                    self.identity.update(&chunk.data, chunk.is_last);
                }
                self.body_feed
                    .accept(chunk.offset, chunk.data, chunk.is_last);
            }
            CallInput::ResponseCredit(consumed) => {
                self.response_sender.apply_credit(consumed);
                self.extend_deadline();
            }
            CallInput::RequestConsumed(newly_consumed) => {
                self.body_feed.record_consumed(newly_consumed);
                self.response_sender
                    .send_request_credit(self.body_feed.consumed_bytes());
            }
            CallInput::Resume(resume, link) => {
                let received_bytes = self.body_feed.received_bytes();
                self.response_sender
                    .resume_on_link(link, resume, received_bytes);
                // The last credit may have been lost with the old link.
                self.send_request_credit();
            }
            CallInput::Cancel => return InputEffect::Cancelled,
            CallInput::Acknowledge | CallInput::DiscardResponse => {}
        }
        InputEffect::Continue
    }

    /// Extends the deadline of a response that is making progress.
    fn extend_deadline(&mut self) {
        if let Some(response_deadline) = &mut self.response_deadline {
            response_deadline.record_progress(Instant::now());
            self.deadline = response_deadline.expires_at();
        }
    }

    /// Runs the call at the backend server that admitted it. Returns whether there is a
    /// response to keep outside the ledger until it is acknowledged.
    async fn run_on_backend(&mut self, slot: BackendSlot, body: RequestBodySource) -> bool {
        let client = slot.into_client();
        if self.has_pending_cancel() {
            self.gate.finish_call(self.id, WorkResult::NotSent);
            self.send_cancel_reply(true);
            return false;
        }
        if self.time_left().is_zero() {
            self.gate.finish_call(self.id, WorkResult::NotSent);
            self.send_refusal(&ErrorKind::TimedOut.into());
            return false;
        }
        let Some(permit) = self.gate.take_run_permit(self.id) else {
            self.gate.finish_call(self.id, WorkResult::NotSent);
            return false;
        };
        let started_at = Instant::now();
        self.gate.watch_run(self.id, &self.identity, self.is_trial);
        let result = self.exchange_with_backend(&client, body).await;
        let gate = Rc::clone(&self.gate);
        gate.end_watched_run(&client, self.id, &self.identity, run_end(&result))
            .await;
        let work_result = match result {
            Ok(()) => WorkResult::Completed {
                latency: started_at.elapsed(),
            },
            Err(RunError::Cancelled) => WorkResult::Cancelled,
            Err(RunError::Failed(ErrorKind::BackendUnreachable)) => WorkResult::NotSent,
            Err(RunError::Failed(_) | RunError::Refused { .. }) => WorkResult::Failed,
        };
        let (result_label, elapsed) = match &result {
            Ok(()) => ("answered", Some(started_at.elapsed())),
            Err(RunError::Cancelled) => ("cancelled", None),
            Err(RunError::Failed(kind)) => (kind.code(), None),
            Err(RunError::Refused { .. }) => (ErrorKind::BackendRefused.code(), None),
        };
        self.gate.metrics.record_run(result_label, elapsed);
        self.record_body_end(result_label);
        self.gate.finish_call(self.id, work_result);
        self.complete_run(permit, &result)
    }

    /// Counts the body of a run that ended before the whole body was received and written,
    /// and logs how the body of such a run or of a failed one ended.
    fn record_body_end(&self, result_label: &str) {
        let body_end = self.body_feed.body_end();
        let received_bytes = self.body_feed.received_bytes();
        let written_bytes = self.body_feed.written_bytes();
        let is_complete = body_end.is_whole() && written_bytes == received_bytes;
        if !is_complete {
            let reason = if body_end.is_whole() {
                "not-written".to_string()
            } else {
                body_end.to_string()
            };
            self.gate.metrics.count_incomplete_body(reason);
        }
        let has_body = received_bytes > 0 || !body_end.is_whole();
        if has_body && (!is_complete || result_label != "answered") {
            log::info!(
                target: "gate",
                call:% = self.id,
                request_id = self.open.request_id.as_str(),
                result = result_label,
                received_bytes,
                written_bytes,
                stated_length = self.open.body_length,
                body_end:% = body_end,
                is_complete;
                "request body of a run that failed or ended early"
            );
        }
    }

    /// Reports the end of the run to the ledger and the ingress. Returns
    /// whether there is a response to keep outside the ledger: one that took
    /// several frames.
    fn complete_run(&mut self, permit: RunPermit, result: &Result<(), RunError>) -> bool {
        match result {
            Ok(()) => match self.response_sender.single_frame_response() {
                Some(response) => self.gate.finish_run_with_response(permit, response),
                None => {
                    self.gate.finish_run_without_response(permit);
                    return true;
                }
            },
            Err(RunError::Cancelled) => {
                self.gate.finish_run_without_response(permit);
                self.send_cancel_reply(false);
            }
            Err(RunError::Failed(
                kind @ (ErrorKind::BackendUnreachable | ErrorKind::BackendRefused),
            )) => {
                self.gate.return_run_permit(permit);
                self.send_refusal(&GateRefusal::from(*kind));
            }
            Err(RunError::Refused { retry_after }) => {
                self.gate.return_run_permit(permit);
                self.send_refusal(&GateRefusal {
                    retry_after: *retry_after,
                    ..ErrorKind::BackendRefused.into()
                });
            }
            Err(RunError::Failed(kind)) => {
                self.gate.finish_run_without_response(permit);
                self.response_sender
                    .send_abort(*kind, Some(self.gate.current_load()));
            }
        }
        false
    }

    /// Allows the ingress to send more of the request body; even a credit of
    /// zero bytes opens the full window. A queued call gets no credit, so that
    /// the ingress keeps all that it has sent and can send the call elsewhere.
    fn send_request_credit(&self) {
        if self.is_running && !self.open.is_body_complete {
            self.response_sender
                .send_request_credit(self.body_feed.consumed_bytes());
        }
    }

    /// Sends the request to the backend server and relays its response.
    async fn exchange_with_backend(
        &mut self,
        client: &Rc<BackendClient>,
        body: RequestBodySource,
    ) -> Result<(), RunError> {
        self.is_running = true;
        self.send_request_credit();
        let time_left = self.time_left();
        let backend_client = Rc::clone(client);
        let open = self.open.clone();
        let id = self.id;
        let gate = Rc::clone(&self.gate);
        let response_head = async move {
            let sent_at = gate.now();
            gate.record_sent_request();
            let may_resend = |lost: &LostExchange| gate.may_resend(id, &backend_client, lost);
            let exchange = backend_client
                .send(id, &open, time_left, body, may_resend)
                .await;
            gate.record_exchange(&backend_client, sent_at, &exchange);
            exchange.result
        };
        tokio::pin!(response_head);
        let response = match self
            .await_step(async { ExchangeStep::ResponseHead(response_head.await.map(Box::new)) })
            .await?
        {
            ExchangeStep::ResponseHead(Ok(response)) => response,
            ExchangeStep::ResponseHead(Err(error)) => {
                return Err(self.classify_backend_error(&error));
            }
            ExchangeStep::ResponseChunk(_) => return Err(RunError::Failed(ErrorKind::Internal)),
        };
        if let Some(load) = response.load() {
            self.gate.record_backend_load(client, load);
        }
        self.relay_response(*response).await
    }

    /// Logs the error and returns what to report to the ingress.
    fn classify_backend_error(&self, error: &BackendError) -> RunError {
        log::warn!(target: "gate", call:% = self.id; "{error}");
        match error {
            BackendError::Unreachable { .. } => RunError::Failed(ErrorKind::BackendUnreachable),
            BackendError::Refused {
                retry_after: Some(retry_after),
                ..
            } => RunError::Refused {
                retry_after: *retry_after,
            },
            BackendError::Refused { .. } => RunError::Failed(ErrorKind::BackendRefused),
            BackendError::Failed { .. } => RunError::Failed(ErrorKind::BackendFailed),
        }
    }

    /// Waits for a step of the exchange while handling inputs and the deadline.
    async fn await_step(
        &mut self,
        operation: impl Future<Output = ExchangeStep>,
    ) -> Result<ExchangeStep, RunError> {
        tokio::pin!(operation);
        loop {
            tokio::select! {
                biased;
                step = &mut operation => return Ok(step),
                handled = self.handle_next_input() => handled?,
            }
        }
    }

    /// Handles the next input, or ends the run at its deadline.
    async fn handle_next_input(&mut self) -> Result<(), RunError> {
        tokio::select! {
            input = self.inputs.recv() => {
                let input = input.ok_or(RunError::Cancelled)?;
                match self.handle_input(input) {
                    InputEffect::Continue => Ok(()),
                    InputEffect::Cancelled => Err(RunError::Cancelled),
                }
            }
            () = tokio::time::sleep_until(self.deadline) => {
                Err(RunError::Failed(ErrorKind::TimedOut))
            }
        }
    }

    /// Keeps a long response until the ingress acknowledges it or the time for
    /// that ends.
    async fn await_acknowledgement(&mut self) {
        let give_up_at = Instant::now() + RESPONSE_RETENTION;
        let kept_bytes = self.response_sender.unconsumed_bytes();
        self.gate.retain_response(self.id, kept_bytes);
        loop {
            tokio::select! {
                input = self.inputs.recv() => match input {
                    None | Some(CallInput::Acknowledge | CallInput::DiscardResponse) => break,
                    Some(input) => {
                        if matches!(self.handle_input(input), InputEffect::Cancelled) {
                            self.send_cancel_reply(false);
                            break;
                        }
                    }
                },
                () = tokio::time::sleep_until(give_up_at) => break,
            }
        }
        self.gate.release_response(self.id);
    }
}

/// What the end of a run shows of the backend server.
fn run_end(result: &Result<(), RunError>) -> RunEnd {
    match result {
        Ok(()) => RunEnd::Completed,
        Err(RunError::Failed(ErrorKind::BackendFailed)) => RunEnd::ConnectionLost,
        Err(RunError::Failed(ErrorKind::BackendUnreachable)) => RunEnd::Unreachable,
        Err(RunError::Refused { .. } | RunError::Failed(ErrorKind::BackendRefused)) => {
            RunEnd::NotRun
        }
        Err(RunError::Cancelled | RunError::Failed(_)) => RunEnd::GivenUp,
    }
}
