//! One attempt of a call at one upstream.
//!
//! An attempt owns its place on a link. When the link is lost it finds a new
//! one to the same gate and asks for the rest by call id. Dropping an attempt
//! that has not ended cancels it at the gate.

mod relay;
mod resume;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{CallId, NodeId, ServiceName};
use crate::ingress::body::RequestBody;
use crate::ingress::placing::GateOutlook;
use crate::ingress::{IngressWorker, lock};
use crate::ledger::attempt::{AlarmAction, AttemptState};
use crate::link::call_link::{CallEvent, CallLink};
use crate::link::messages::{BodyChunk, CallOpen, CallReference, LinkMessage, ResponseStart};
use crate::link::pool::GateTarget;
use crate::link::window::{INITIAL_WINDOW_BYTES, MAX_CHUNK_BYTES, ReceiveWindow, SendWindow};
use crate::retry::AttemptFailure;
use crate::routing::{AttemptNumber, AttemptResult};

/// Longest time before the deadline at which a call is cancelled, so that the
/// gate can still say whether it ran.
const MAX_CANCEL_MARGIN: Duration = Duration::from_millis(20);
/// Share of the time limit that the cancel margin takes at most.
const CANCEL_MARGIN_SHARE: u32 = 10;

/// First status with which a backend server says that it failed.
pub const FIRST_SERVER_ERROR: u32 = 500;

/// Failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEnd {
    /// What failed and what is known about the run.
    pub failure: AttemptFailure,
    /// When the gate said to come back.
    pub retry_after: Option<Duration>,
    /// Time in which the gate would have expected to answer.
    pub estimated_finish: Option<Duration>,
    /// Whether the gate had room when it refused.
    pub has_room: bool,
}

impl AttemptEnd {
    /// End of an attempt that was not run and never will be.
    pub fn not_run(kind: ErrorKind) -> Self {
        AttemptFailure::NotRun(kind).into()
    }

    /// What the gate expected of its load when it refused, if that was why.
    pub fn outlook(&self) -> Option<GateOutlook> {
        let is_load = matches!(
            self.failure,
            AttemptFailure::NotRun(ErrorKind::Overloaded | ErrorKind::WaitTooLong)
        );
        Some(GateOutlook {
            wait: self.retry_after.filter(|_| is_load)?,
            finish: self.estimated_finish?,
            has_room: self.has_room,
        })
    }

    /// End of an attempt whose answer says that the backend server failed.
    pub fn backend_failed() -> Self {
        Self::unknown(ErrorKind::BackendFailed)
    }

    fn unknown(kind: ErrorKind) -> Self {
        AttemptFailure::Unknown(kind).into()
    }
}

impl From<AttemptFailure> for AttemptEnd {
    fn from(failure: AttemptFailure) -> Self {
        Self {
            failure,
            retry_after: None,
            estimated_finish: None,
            has_room: false,
        }
    }
}

/// Where an attempt goes and until when.
pub struct AttemptPlan {
    /// Service.
    pub service: ServiceName,
    /// Gate.
    pub target: GateTarget,
    /// Number that routing gave the attempt.
    pub number: AttemptNumber,
    /// Identifier of this attempt.
    pub id: CallId,
    /// Whether a second run does no harm and an attempt is left for it.
    pub may_repeat: bool,
    /// Time limit of the whole call.
    pub timeout: Duration,
    /// End of that limit.
    pub deadline: Instant,
}

/// Start of a request's body that goes out once the gate has let the call in.
#[derive(Debug)]
pub struct HeldBody {
    /// Bytes.
    pub data: Bytes,
    /// Whether the body ends with them.
    pub is_last: bool,
}

/// One attempt under way.
pub struct CallAttempt {
    worker: Rc<IngressWorker>,
    plan: AttemptPlan,
    link: Rc<CallLink>,
    state: AttemptState,
    events: UnboundedReceiver<CallEvent>,
    held: Option<HeldBody>,
    outgoing: SendWindow,
    incoming: ReceiveWindow,
    has_head: bool,
    result: AttemptResult,
    cancel_at: Instant,
    is_settled: bool,
}

/// Step that the wait for an answer has come to.
enum Progress {
    Continue,
    Head(ResponseStart),
}

impl CallAttempt {
    /// Opens the call at the gate.
    ///
    /// # Errors
    ///
    /// Fails if there is no link; the call was not run then.
    pub async fn open(
        worker: Rc<IngressWorker>,
        plan: AttemptPlan,
        open: CallOpen,
        held: Option<HeldBody>,
    ) -> Result<Self, AttemptEnd> {
        let linking = worker.pool.get_or_open(&plan.target);
        let linked = tokio::time::timeout_at(plan.deadline, linking).await;
        let link = match linked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(link) => link,
            Err(error) => {
                log::warn!(target: "link", call:% = plan.id, gate:% = plan.target.node; "no link: {error}");
                let kind = ErrorKind::LinkLost;
                settle(&worker, &plan, AttemptResult::Failed(kind));
                return Err(AttemptEnd::not_run(kind));
            }
        };
        let events = link.register_call(open.sequence);
        let first_window = if held.is_some() {
            0
        } else {
            INITIAL_WINDOW_BYTES
        };
        let mut outgoing = SendWindow::new(first_window);
        outgoing.record_sent(open.body.clone(), open.is_body_complete);
        link.send(LinkMessage::Open(open));
        let margin = (plan.timeout / CANCEL_MARGIN_SHARE).min(MAX_CANCEL_MARGIN);
        Ok(Self {
            cancel_at: plan.deadline - margin,
            state: AttemptState::new(link.incarnation()),
            worker,
            plan,
            link,
            events,
            held,
            outgoing,
            incoming: ReceiveWindow::default(),
            has_head: false,
            result: AttemptResult::Answered,
            is_settled: false,
        })
    }

    /// Node of the gate that has the call.
    pub fn gate(&self) -> &NodeId {
        &self.plan.target.node
    }

    fn sequence(&self) -> u64 {
        self.plan.id.sequence
    }

    fn settle(&mut self, result: AttemptResult) {
        if !self.is_settled {
            self.is_settled = true;
            settle(&self.worker, &self.plan, result);
            self.link.unregister_call(self.sequence());
        }
    }

    /// Waits for the head of the answer while sending the body.
    ///
    /// # Errors
    ///
    /// What failed and whether the call may have run.
    pub async fn wait_head(&mut self, body: &mut RequestBody) -> Result<ResponseStart, AttemptEnd> {
        let result = self.exchange(body).await;
        match &result {
            Ok(head) => {
                self.has_head = true;
                if head.status >= FIRST_SERVER_ERROR {
                    // An upstream that fails fast must not look idle.
                    self.result = AttemptResult::AnsweredError;
                }
                if head.is_body_complete {
                    self.acknowledge();
                }
            }
            Err(end) => {
                let result = match end.failure {
                    AttemptFailure::NotRun(kind) => AttemptResult::Refused(kind),
                    AttemptFailure::Unknown(kind) => AttemptResult::Failed(kind),
                };
                self.settle(result);
            }
        }
        result
    }

    async fn exchange(&mut self, body: &mut RequestBody) -> Result<ResponseStart, AttemptEnd> {
        loop {
            self.send_held();
            let room = self.outgoing.available_bytes();
            let has_body = !self.outgoing.is_ended() && room > 0 && !self.state.is_cancelled();
            let alarm = if self.state.is_cancelled() {
                self.plan.deadline
            } else {
                self.cancel_at
            };
            let progress = tokio::select! {
                biased;
                event = self.events.recv() => self.take_event(event).await?,
                chunk = body.next(room), if has_body => {
                    self.send_chunk(chunk)?;
                    Progress::Continue
                }
                () = tokio::time::sleep_until(alarm) => {
                    self.pass_alarm()?;
                    Progress::Continue
                }
            };
            if let Progress::Head(head) = progress {
                return Ok(head);
            }
        }
    }

    fn send_chunk(&mut self, chunk: Result<Option<Bytes>, ErrorKind>) -> Result<(), AttemptEnd> {
        let (data, is_last) = match chunk {
            Ok(Some(data)) => (data, false),
            Ok(None) => (Bytes::new(), true),
            Err(kind) => {
                // The upload broke off; what the backend server made of the
                // part that it got can't be known.
                self.cancel();
                return Err(AttemptEnd::unknown(kind));
            }
        };
        self.push_chunk(data, is_last);
        Ok(())
    }

    fn push_chunk(&mut self, data: Bytes, is_last: bool) {
        self.link.send(LinkMessage::RequestChunk(BodyChunk {
            sequence: self.sequence(),
            offset: self.outgoing.sent_bytes(),
            data: data.clone(),
            is_last,
            load: None,
        }));
        self.outgoing.record_sent(data, is_last);
    }

    /// Sends what was held back, once the gate has given credit for it.
    fn send_held(&mut self) {
        if self.outgoing.available_bytes() == 0 || self.state.is_cancelled() {
            return;
        }
        let Some(mut held) = self.held.take() else {
            return;
        };
        while !held.data.is_empty() {
            let piece = held.data.split_to(held.data.len().min(MAX_CHUNK_BYTES));
            let is_end = held.is_last && held.data.is_empty();
            self.push_chunk(piece, is_end);
        }
    }

    /// Cancels shortly before the deadline, and gives up at it.
    fn pass_alarm(&mut self) -> Result<(), AttemptEnd> {
        match self.state.on_alarm() {
            AlarmAction::Cancel => self.cancel(),
            AlarmAction::GiveUp(failure) => return Err(failure.into()),
        }
        Ok(())
    }

    fn cancel(&mut self) {
        self.state.on_cancelling();
        self.link.send(LinkMessage::Cancel(CallReference {
            sequence: self.sequence(),
        }));
    }

    async fn take_event(&mut self, event: Option<CallEvent>) -> Result<Progress, AttemptEnd> {
        let message = match event {
            Some(CallEvent::Message(message)) => *message,
            Some(CallEvent::LinkLost) | None => {
                self.resume().await?;
                return Ok(Progress::Continue);
            }
        };
        match message {
            LinkMessage::ResponseStart(head) => {
                let accepted = self
                    .incoming
                    .accept(0, head.body.clone(), head.is_body_complete);
                let body = accepted.unwrap_or_default();
                Ok(Progress::Head(ResponseStart { body, ..head }))
            }
            LinkMessage::Refusal(refusal) => Err(AttemptEnd {
                failure: self.state.on_refused(kind_of(&refusal.kind)),
                retry_after: Some(Duration::from_millis(refusal.retry_after_ms)),
                estimated_finish: Some(Duration::from_micros(refusal.expected_response_us))
                    .filter(|finish| !finish.is_zero()),
                has_room: refusal
                    .load
                    .is_some_and(|load| load.in_flight + load.queued < load.limit),
            }),
            LinkMessage::Abort(abort) => Err(self.state.on_aborted(kind_of(&abort.kind)).into()),
            LinkMessage::CancelReply(reply) => {
                Err(self.state.on_cancel_reply(reply.is_not_run).into())
            }
            LinkMessage::Credit(credit) => {
                self.outgoing.apply_credit(credit.consumed_bytes);
                Ok(Progress::Continue)
            }
            LinkMessage::ResumeReply(reply) => {
                self.take_resume_reply(reply)?;
                Ok(Progress::Continue)
            }
            _ => Ok(Progress::Continue),
        }
    }

    fn acknowledge(&mut self) {
        self.link.send(LinkMessage::Acknowledge(CallReference {
            sequence: self.sequence(),
        }));
        self.settle(self.result);
    }
}

impl Drop for CallAttempt {
    fn drop(&mut self) {
        if !self.is_settled {
            // The caller has left.
            self.cancel();
            self.settle(AttemptResult::Cancelled);
        }
    }
}

fn settle(worker: &IngressWorker, plan: &AttemptPlan, result: AttemptResult) {
    let now = worker.shared.now();
    lock(&worker.shared.router).on_finished(
        now,
        &plan.service,
        &plan.target.node,
        plan.number,
        result,
    );
}

fn kind_of(code: &str) -> ErrorKind {
    ErrorKind::from_code(code).unwrap_or(ErrorKind::Internal)
}
