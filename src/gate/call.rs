//! One call at the gate, from its arrival until its answer is acknowledged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ntex::client::ClientResponse;
use ntex::http::Payload;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::WorkResult;
use crate::backend::{BackendClient, BackendError, BodySource, RequestCut};
use crate::error::ErrorKind;
use crate::fields::{end_to_end_fields, stated_length};
use crate::gate::Gate;
use crate::gate::answer::AnswerOutput;
use crate::ids::CallId;
use crate::link::endpoint::LinkSender;
use crate::link::messages::{
    AnswerHead, BodyChunk, CallOpen, CallResume, CancelReply, LinkMessage,
};
use crate::link::window::{CHUNK_BYTES, ReceiveWindow};

/// Time for which an answer is kept until the ingress acknowledges it.
const KEEP_ANSWER: Duration = Duration::from_secs(10);

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

/// Request body between the link and the backend server's connection.
struct RequestFeed {
    window: ReceiveWindow,
    consumed: u64,
    chunks: Option<UnboundedSender<Result<Bytes, RequestCut>>>,
}

impl RequestFeed {
    fn new(open: &CallOpen, inputs: UnboundedSender<CallInput>) -> (Self, BodySource) {
        let (sender, chunks) = unbounded_channel();
        let mut feed = Self {
            window: ReceiveWindow::default(),
            consumed: 0,
            chunks: Some(sender),
        };
        feed.accept(0, open.body.clone(), open.is_last);
        let on_consumed = Box::new(move |length| {
            // A call that ended needs no more credit.
            let _ = inputs.send(CallInput::Consumed(length));
        });
        let source = BodySource {
            chunks,
            on_consumed,
        };
        (feed, source)
    }

    /// Takes a chunk in; a gap breaks the body off rather than joining what
    /// does not belong together.
    fn accept(&mut self, offset: u64, data: Bytes, is_last: bool) {
        let chunk = match self.window.accept(offset, data, is_last) {
            Some(fresh) if fresh.is_empty() => None,
            Some(fresh) => Some(Ok(fresh)),
            None => Some(Err(RequestCut)),
        };
        if let (Some(chunk), Some(sender)) = (chunk, &self.chunks)
            && sender.send(chunk).is_err()
        {
            self.chunks = None;
        }
        if self.window.is_ended() {
            self.chunks = None;
        }
    }
}

/// Step of a call's work that ended.
enum WorkStep {
    Head(Result<ClientResponse, BackendError>),
    Body(Option<Result<Bytes, ErrorKind>>),
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
    inputs: UnboundedReceiver<CallInput>,
    output: AnswerOutput,
    feed: RequestFeed,
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
            gate,
            id,
            open,
            inputs,
            feed,
        };
        let started = call.gate.offer(id, &call.open, call.time_left());
        let has_run = match started {
            Ok(None) => call.work(body).await,
            Ok(Some(turn)) => call.wait_then_work(turn, body).await,
            Err((kind, retry_after)) => {
                call.refuse(kind, retry_after);
                true
            }
        };
        if has_run {
            call.linger().await;
        }
        call.gate.forget(id);
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn refuse(&mut self, kind: ErrorKind, retry_after: Duration) {
        self.gate.note_refused(self.id);
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        self.output
            .refuse(kind, retry_after_ms, Some(self.gate.load()));
    }

    /// Waits for a slot. Returns whether there is an answer to keep.
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
                        self.refuse(ErrorKind::WaitTooLong, Duration::ZERO);
                        return true;
                    }
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    if !self.gate.withdraw(self.id) {
                        self.gate.finish(self.id, WorkResult::Cancelled);
                    }
                    self.refuse(ErrorKind::TimedOut, Duration::ZERO);
                    return true;
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
            CallInput::Credit(consumed) => self.output.credit(consumed),
            CallInput::Consumed(length) => {
                self.feed.consumed += length;
                self.output.credit_request(self.feed.consumed);
            }
            CallInput::Resume(resume, link) => {
                let received = self.feed.window.received();
                self.output.resume(link, resume, received);
            }
            CallInput::Cancel => return InputEffect::Cancelled,
            CallInput::Acknowledge => {}
        }
        InputEffect::Continue
    }

    /// Has the backend server work on the call. Returns whether there is an
    /// answer to keep.
    async fn work(&mut self, body: BodySource) -> bool {
        let Some(client) = self.gate.backend_client() else {
            self.gate.finish(self.id, WorkResult::Cancelled);
            self.refuse(ErrorKind::BackendUnreachable, Duration::ZERO);
            return true;
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
        self.gate.finish(self.id, work_result);
        if result.is_ok()
            && let Some(answer) = self.output.kept_answer()
        {
            self.gate.end_answered(permit, answer);
            return false;
        }
        self.gate.end_unanswered(permit);
        match result {
            Ok(()) => {}
            Err(WorkEnd::Cancelled) => {
                self.reply_cancel(false);
                return false;
            }
            Err(WorkEnd::Failed(ErrorKind::BackendUnreachable)) => {
                self.refuse(ErrorKind::BackendUnreachable, Duration::ZERO);
            }
            Err(WorkEnd::Failed(kind)) => self.output.abort(kind, Some(self.gate.load())),
        }
        true
    }

    /// Request and answer with the backend server.
    async fn exchange(
        &mut self,
        client: &Rc<BackendClient>,
        body: BodySource,
    ) -> Result<(), WorkEnd> {
        if !self.open.is_last {
            // Even a credit of nothing opens the full window.
            self.output.credit_request(self.feed.consumed);
        }
        let time_left_ms = self.time_left().as_millis().max(1);
        let sender = Rc::clone(client);
        let open = self.open.clone();
        let id = self.id;
        let head = async move { sender.send(id, &open, time_left_ms, body).await };
        tokio::pin!(head);
        let response = match self.step(async { WorkStep::Head(head.await) }).await? {
            WorkStep::Head(Ok(response)) => response,
            WorkStep::Head(Err(error)) => {
                return Err(WorkEnd::Failed(self.backend_failure(&error)));
            }
            WorkStep::Body(_) => return Err(WorkEnd::Failed(ErrorKind::Internal)),
        };
        self.relay_answer(&response).await
    }

    fn backend_failure(&self, error: &BackendError) -> ErrorKind {
        log::warn!(target: "gate", call:% = self.id; "{error}");
        match error {
            BackendError::Unreachable { .. } => ErrorKind::BackendUnreachable,
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

    async fn relay_answer(&mut self, response: &ClientResponse) -> Result<(), WorkEnd> {
        let mut payload = response.take_payload();
        let body_length = stated_length(response.headers());
        let mut first = Bytes::new();
        let mut is_last = matches!(payload, Payload::None);
        // A short answer of known length goes out whole, in one frame.
        let is_short = body_length.is_some_and(|length| length <= CHUNK_BYTES as u64);
        while is_short && !is_last {
            match self.next_chunk(&mut payload).await? {
                Some(data) if first.is_empty() => first = data,
                Some(data) => first = Bytes::from([first, data].concat()),
                None => is_last = true,
            }
        }
        self.output.start(AnswerHead {
            sequence: self.open.sequence,
            status: u32::from(response.status().as_u16()),
            headers: end_to_end_fields(response.headers()),
            body_length,
            body: first,
            is_last,
            load: Some(self.gate.load()),
        });
        while !is_last {
            is_last = self.relay_chunk(&mut payload).await?;
        }
        Ok(())
    }

    async fn relay_chunk(&mut self, payload: &mut Payload) -> Result<bool, WorkEnd> {
        while self.output.room() == 0 {
            self.serve_input().await?;
        }
        match self.next_chunk(payload).await? {
            Some(mut data) => {
                while !data.is_empty() {
                    let piece = data.split_to(data.len().min(CHUNK_BYTES));
                    self.output.push(piece, false, None);
                }
                Ok(false)
            }
            None => {
                let load = Some(self.gate.load());
                self.output.push(Bytes::new(), true, load);
                Ok(true)
            }
        }
    }

    async fn next_chunk(&mut self, payload: &mut Payload) -> Result<Option<Bytes>, WorkEnd> {
        let next = async {
            let chunk = payload.recv().await;
            WorkStep::Body(chunk.map(|chunk| {
                chunk
                    .map(|data| Bytes::copy_from_slice(&data))
                    .map_err(|_| ErrorKind::BackendFailed)
            }))
        };
        match self.step(next).await? {
            WorkStep::Body(chunk) => chunk.transpose().map_err(WorkEnd::Failed),
            WorkStep::Head(_) => Err(WorkEnd::Failed(ErrorKind::Internal)),
        }
    }

    /// Keeps the answer until the ingress acknowledges it.
    async fn linger(&mut self) {
        let limit = Instant::now() + KEEP_ANSWER;
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
