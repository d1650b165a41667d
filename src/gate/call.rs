//! One call at the gate, from its arrival until its answer is acknowledged.

mod relay;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::WorkResult;
use crate::backend::{BackendAnswer, BackendClient, BackendError, BodySource};
use crate::error::ErrorKind;
use crate::gate::answer::AnswerOutput;
use crate::gate::feed::RequestFeed;
use crate::gate::{Gate, GateRefusal};
use crate::ids::CallId;
use crate::ledger::RunPermit;
use crate::link::body_deadline::{BodyDeadline, RESPONSE_RETENTION};
use crate::link::endpoint::LinkSender;
use crate::link::messages::{BodyChunk, CallOpen, CallResume, CancelReply, LinkMessage};

/// What reaches a call from its link.
#[derive(Debug)]
pub enum CallInput {
    /// More of the request's body.
    Chunk(BodyChunk),
    /// The ingress consumed answer bytes, counted from the start.
    Credit(u64),
    /// The backend server's connection took that many more request bytes.
    Consumed(u64),
    /// The ingress no longer wants the call.
    Cancel,
    /// The call goes on over another link.
    Resume(CallResume, LinkSender),
    /// The ingress has the whole answer.
    Acknowledge,
}

/// Step of a call's work that ended.
enum WorkStep {
    Head(Result<Box<BackendAnswer>, BackendError>),
    Body(Result<Option<Bytes>, ErrorKind>),
}

/// Why the work on a call ended without a whole answer.
enum WorkEnd {
    Cancelled,
    Failed(ErrorKind),
}

/// One call at the gate.
pub struct GateCall {
    gate: Rc<Gate>,
    id: CallId,
    open: CallOpen,
    deadline: Instant,
    /// Set once the head of the answer is on its way.
    rest: Option<BodyDeadline>,
    inputs: UnboundedReceiver<CallInput>,
    output: AnswerOutput,
    feed: RequestFeed,
    is_at_work: bool,
}

/// What the caller's side wants of a call at work.
enum InputEffect {
    Continue,
    Cancelled,
}

impl GateCall {
    /// Runs a call that the ledger has let in.
    pub async fn run(
        gate: Rc<Gate>,
        id: CallId,
        open: CallOpen,
        link: LinkSender,
        (sender, inputs): (UnboundedSender<CallInput>, UnboundedReceiver<CallInput>),
    ) {
        let arrived = Instant::now();
        let (feed, body) = RequestFeed::new(&open, sender);
        let mut call = Self {
            output: AnswerOutput::new(open.sequence, link),
            deadline: arrived + Duration::from_micros(open.time_left_us),
            rest: None,
            gate,
            id,
            open,
            inputs,
            feed,
            is_at_work: false,
        };
        let started = call.gate.offer(id, &call.open, call.time_left());
        let is_kept = match started {
            Ok(None) => call.work(body).await,
            Ok(Some(turn)) => call.wait_then_work(turn, body).await,
            Err(refusal) => {
                call.refuse(&refusal);
                false
            }
        };
        if is_kept {
            call.linger().await;
        }
        call.end();
    }

    /// Ends the call. What arrived in the same moment is answered out of the
    /// ledger, as everything later is.
    fn end(mut self) {
        self.gate.forget(self.id);
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                CallInput::Resume(resume, link) => self.gate.resume_call(self.id, resume, &link),
                CallInput::Cancel => self.gate.cancel_call(self.id, self.output.link()),
                CallInput::Acknowledge
                | CallInput::Chunk(_)
                | CallInput::Consumed(_)
                | CallInput::Credit(_) => {}
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn refuse(&mut self, refusal: &GateRefusal) {
        self.gate.note_refused(self.id);
        self.output.refuse(refusal, Some(self.gate.load()));
    }

    /// Waits for a slot. Returns whether there is an answer to keep beside the
    /// ledger.
    async fn wait_then_work(&mut self, turn: oneshot::Receiver<()>, body: BodySource) -> bool {
        tokio::pin!(turn);
        loop {
            tokio::select! {
                biased;
                input = self.inputs.recv() => {
                    let Some(input) = input else {
                        return false;
                    };
                    if matches!(self.take_input(input), InputEffect::Cancelled) {
                        if !self.gate.withdraw(self.id) {
                            // The slot was granted in the same moment.
                            self.gate.finish(self.id, WorkResult::Cancelled);
                        }
                        self.reply_cancel(true);
                        return false;
                    }
                }
                turn = &mut turn => match turn {
                    Ok(()) => return self.work(body).await,
                    Err(_) => {
                        self.refuse(&self.gate.late_refusal(&self.open));
                        return false;
                    }
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    if !self.gate.withdraw(self.id) {
                        self.gate.finish(self.id, WorkResult::Cancelled);
                    }
                    self.refuse(&ErrorKind::TimedOut.into());
                    return false;
                }
            }
        }
    }

    fn reply_cancel(&mut self, is_not_run: bool) {
        self.gate.note_cancelled(self.id);
        self.output.send(LinkMessage::CancelReply(CancelReply {
            sequence: self.open.sequence,
            is_not_run,
        }));
    }

    fn take_input(&mut self, input: CallInput) -> InputEffect {
        match input {
            CallInput::Chunk(chunk) => {
                self.feed.accept(chunk.offset, chunk.data, chunk.is_last);
            }
            CallInput::Credit(consumed) => {
                self.output.credit(consumed);
                self.note_piece();
            }
            CallInput::Consumed(length) => {
                self.feed.note_consumed(length);
                self.output.credit_request(self.feed.consumed());
            }
            CallInput::Resume(resume, link) => {
                let received = self.feed.received();
                self.output.resume(link, resume, received);
                // The last credit may have been lost with the old link.
                self.credit_request();
            }
            CallInput::Cancel => return InputEffect::Cancelled,
            CallInput::Acknowledge => {}
        }
        InputEffect::Continue
    }

    /// Lets an answer on its way go on while its pieces move.
    fn note_piece(&mut self) {
        if let Some(rest) = &mut self.rest {
            rest.record_progress(Instant::now());
            self.deadline = rest.expires_at();
        }
    }

    /// Has the backend server work on the call. Returns whether there is an
    /// answer to keep.
    async fn work(&mut self, body: BodySource) -> bool {
        let Some(client) = self.gate.backend_client() else {
            self.gate.finish(self.id, WorkResult::Cancelled);
            self.refuse(&ErrorKind::BackendUnreachable.into());
            return false;
        };
        let Some(permit) = self.gate.permit(self.id) else {
            self.gate.finish(self.id, WorkResult::Cancelled);
            return false;
        };
        let begun = Instant::now();
        let result = self.exchange(&client, body).await;
        let work_result = match result {
            Ok(()) => WorkResult::Completed {
                latency: begun.elapsed(),
            },
            Err(WorkEnd::Cancelled) => WorkResult::Cancelled,
            Err(WorkEnd::Failed(_)) => WorkResult::Failed,
        };
        let (name, elapsed) = match &result {
            Ok(()) => ("answered", Some(begun.elapsed())),
            Err(WorkEnd::Cancelled) => ("cancelled", None),
            Err(WorkEnd::Failed(kind)) => (kind.code(), None),
        };
        self.gate.metrics.count_run(name, elapsed);
        self.gate.finish(self.id, work_result);
        self.end_run(permit, &result)
    }

    /// Tells the ledger and the ingress how the run ended. Returns whether
    /// there is an answer to keep beside the ledger: a long one.
    fn end_run(&mut self, permit: RunPermit, result: &Result<(), WorkEnd>) -> bool {
        match result {
            Ok(()) => match self.output.kept_answer() {
                Some(answer) => self.gate.end_answered(permit, answer),
                None => {
                    self.gate.end_unanswered(permit);
                    return true;
                }
            },
            Err(WorkEnd::Cancelled) => {
                self.gate.end_unanswered(permit);
                self.reply_cancel(false);
            }
            Err(WorkEnd::Failed(
                kind @ (ErrorKind::BackendUnreachable | ErrorKind::BackendRefused),
            )) => {
                self.gate.return_permit(permit);
                self.refuse(&GateRefusal::from(*kind));
            }
            Err(WorkEnd::Failed(kind)) => {
                self.gate.end_unanswered(permit);
                self.output.abort(*kind, Some(self.gate.load()));
            }
        }
        false
    }

    /// Lets the ingress send more of the body; even a credit of nothing opens the
    /// full window. A waiting call gets none, so that it stays replayable.
    fn credit_request(&self) {
        if self.is_at_work && !self.open.is_body_complete {
            self.output.credit_request(self.feed.consumed());
        }
    }

    /// Request and answer with the backend server.
    async fn exchange(
        &mut self,
        client: &Rc<BackendClient>,
        body: BodySource,
    ) -> Result<(), WorkEnd> {
        self.is_at_work = true;
        self.credit_request();
        let time_left_ms = self.time_left().as_millis().max(1);
        let sender = Rc::clone(client);
        let open = self.open.clone();
        let id = self.id;
        let head = async move { sender.send(id, &open, time_left_ms, body).await };
        tokio::pin!(head);
        let response = match self
            .step(async { WorkStep::Head(head.await.map(Box::new)) })
            .await?
        {
            WorkStep::Head(Ok(response)) => response,
            WorkStep::Head(Err(error)) => {
                return Err(WorkEnd::Failed(self.backend_failure(&error)));
            }
            WorkStep::Body(_) => return Err(WorkEnd::Failed(ErrorKind::Internal)),
        };
        if let Some(load) = response.load() {
            self.gate.note_load(load);
        }
        self.relay_answer(*response).await
    }

    fn backend_failure(&self, error: &BackendError) -> ErrorKind {
        log::warn!(target: "gate", call:% = self.id; "{error}");
        match error {
            BackendError::Unreachable { .. } => ErrorKind::BackendUnreachable,
            BackendError::Refused { .. } => ErrorKind::BackendRefused,
            BackendError::Failed { .. } => ErrorKind::BackendFailed,
        }
    }

    /// Waits for one step of the work while serving the link and the deadline.
    async fn step(&mut self, work: impl Future<Output = WorkStep>) -> Result<WorkStep, WorkEnd> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                biased;
                step = &mut work => return Ok(step),
                served = self.serve_input() => served?,
            }
        }
    }

    /// Serves the link once, or ends the work at its deadline.
    async fn serve_input(&mut self) -> Result<(), WorkEnd> {
        tokio::select! {
            input = self.inputs.recv() => {
                let input = input.ok_or(WorkEnd::Cancelled)?;
                match self.take_input(input) {
                    InputEffect::Continue => Ok(()),
                    InputEffect::Cancelled => Err(WorkEnd::Cancelled),
                }
            }
            () = tokio::time::sleep_until(self.deadline) => {
                Err(WorkEnd::Failed(ErrorKind::TimedOut))
            }
        }
    }

    /// Keeps a long answer until the ingress acknowledges it.
    async fn linger(&mut self) {
        let limit = Instant::now() + RESPONSE_RETENTION;
        loop {
            tokio::select! {
                input = self.inputs.recv() => match input {
                    None | Some(CallInput::Acknowledge) => return,
                    Some(input) => {
                        if matches!(self.take_input(input), InputEffect::Cancelled) {
                            self.reply_cancel(false);
                            return;
                        }
                    }
                },
                () = tokio::time::sleep_until(limit) => return,
            }
        }
    }
}
