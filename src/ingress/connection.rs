//! One caller's connection.
//!
//! Requests that a caller sends ahead are worked on side by side and answered
//! in the order they came in. One future reads heads and bodies and starts a
//! task for each call, another writes the answers. When the caller leaves, the
//! reading future ends, the channels of the calls close, and the calls are
//! cancelled.
//!
//! An answer cut short ends the connection, so that it can't look whole. An
//! answer with `Connection: close` is only sent when no further request has
//! been read: those behind it would be lost.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::{Notify, oneshot};

use crate::error::ErrorKind;
use crate::http1::write::{CONTINUE, LAST_CHUNK, put_body};
use crate::http1::{BodyDecoder, BodyFraming, BodyStep, HeadError, HeadLimits, RequestHead};
use crate::ingress::answer::{
    CallFailure, CallResponse, ResponseOptions, put_failure_response, put_response_head,
};
use crate::ingress::body::BodyReceiver;
use crate::ingress::{InFlightGuard, IngressWorker, StopPhase, serve_call};
use crate::routes::CallerLimits;

/// Requests of one connection that are worked on or wait for their answer.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Pieces of a body between the connection and its call.
const BODY_CHANNEL_CHUNKS: usize = 2;
/// Bytes asked of the socket at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Longest time that a refusal waits for the rest of a short body: an answer
/// ahead of it closes the connection under a caller that is still sending.
const BODY_DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which what a caller still sends is read after the last answer.
/// Closing with unread bytes would reset the connection, and the answer with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one call.
pub type CallResult = Result<CallResponse, CallFailure>;

/// Something that the writing future has to send, in order.
enum QueuedWrite {
    /// Leave to send a body.
    Continue,
    /// Answer to a request.
    Response(PendingResponse),
}

struct PendingResponse {
    receiver: oneshot::Receiver<CallResult>,
    is_head_request: bool,
    is_http10: bool,
    is_last_response: bool,
    /// Whether the body has been read to its end.
    body_progress: Rc<BodyProgress>,
    /// Counts the request as in flight until its answer is written.
    _guard: InFlightGuard,
}

#[derive(Debug, Default)]
struct BodyProgress {
    is_complete: Cell<bool>,
    completed: Notify,
}

impl BodyProgress {
    fn mark_complete(&self) {
        self.is_complete.set(true);
        self.completed.notify_waiters();
    }
}

/// Why reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEndReason {
    /// The caller has left.
    CallerClosed,
    /// No further request is wanted on this connection.
    NoMoreRequests,
}

struct CallerConnection {
    worker: Rc<IngressWorker>,
    write_queue: RefCell<VecDeque<QueuedWrite>>,
    /// Answers that are queued or being written.
    unanswered_count: Cell<usize>,
    /// Whether a request has been read in part.
    is_reading_request: Cell<bool>,
    /// Whether no further request is to be read.
    is_closing: Cell<bool>,
    write_queued: Notify,
    response_written: Notify,
}

/// Serves one connection until either side ends it.
pub async fn serve_connection(worker: Rc<IngressWorker>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "ingress", "caller's connection lost: {error}");
        return;
    }
    let (mut input, mut output) = stream.into_split();
    let guard = worker.shared.track_connection();
    let connection = CallerConnection {
        worker,
        write_queue: RefCell::default(),
        unanswered_count: Cell::new(0),
        is_reading_request: Cell::new(false),
        is_closing: Cell::new(false),
        write_queued: Notify::new(),
        response_written: Notify::new(),
    };
    let mut buffer = BytesMut::new();
    let result = tokio::select! {
        biased;
        result = connection.write_responses(&mut output) => result,
        end = connection.read_until_closed(&mut input, &mut buffer) => end,
    };
    drop(guard);
    match result {
        Ok(()) => close_lingering(input, output).await,
        Err(error) => log::debug!(target: "ingress", "caller's connection ended: {error}"),
    }
}

/// Ends the connection after its last answer without losing that.
async fn close_lingering(mut input: OwnedReadHalf, mut output: OwnedWriteHalf) {
    if output.shutdown().await.is_err() {
        return;
    }
    let discard = async {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while matches!(input.read(&mut buffer).await, Ok(length) if length > 0) {}
    };
    // What comes later than this is cut off with the connection.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
}

impl CallerConnection {
    fn caller_limits(&self) -> CallerLimits {
        let table = self.worker.shared.table.borrow();
        let routes = table.routes.as_ref();
        routes.map(|config| config.limits).unwrap_or_default()
    }

    /// Reads requests, then waits for the caller to leave. The writing future
    /// ends the connection in every other case.
    async fn read_until_closed(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<()> {
        if self.read_requests(input, buffer).await? == ReadEndReason::NoMoreRequests {
            self.is_closing.set(true);
            self.write_queued.notify_one();
            let mut scratch = vec![0; READ_BUFFER_BYTES];
            while input.read(&mut scratch).await? > 0 {}
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    async fn read_requests(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<ReadEndReason> {
        loop {
            self.wait_for_pipeline_room().await;
            if self.is_closing.get() {
                return Ok(ReadEndReason::NoMoreRequests);
            }
            let head = match self.read_head(input, buffer).await? {
                HeadRead::Head(head) => head,
                HeadRead::Ended(end) => return Ok(end),
                HeadRead::Rejected(kind) => {
                    self.queue_rejection(kind);
                    return Ok(ReadEndReason::NoMoreRequests);
                }
            };
            let is_kept = head.is_kept;
            let framing = head.framing;
            let body_progress = Rc::new(BodyProgress::default());
            let body_sender = self.start_call(head, Rc::clone(&body_progress));
            if let Some(body_sender) = body_sender
                && !self
                    .forward_body(input, buffer, framing, body_sender)
                    .await?
            {
                return Ok(ReadEndReason::NoMoreRequests);
            }
            body_progress.mark_complete();
            self.is_reading_request.set(false);
            if !is_kept {
                return Ok(ReadEndReason::NoMoreRequests);
            }
        }
    }

    async fn wait_for_pipeline_room(&self) {
        while self.unanswered_count.get() >= MAX_PIPELINED_REQUESTS {
            self.response_written.notified().await;
        }
    }

    /// Reads a head; an idle connection is closed after its time.
    async fn read_head(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<HeadRead> {
        let mut head_deadline = None;
        loop {
            let limits = self.caller_limits();
            let head_limits = HeadLimits {
                bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
            };
            match RequestHead::take(buffer, head_limits) {
                Ok(Some(head)) => {
                    self.is_reading_request.set(true);
                    return Ok(HeadRead::Head(Box::new(head)));
                }
                Ok(None) => {}
                Err(HeadError::Malformed) => return Ok(HeadRead::Rejected(ErrorKind::BadRequest)),
                Err(HeadError::TooLarge) => return Ok(HeadRead::Rejected(ErrorKind::HeadTooLarge)),
            }
            let has_partial_head = !buffer.is_empty();
            let now = tokio::time::Instant::now();
            let deadline = if has_partial_head {
                let limit = Duration::from_millis(limits.head_timeout_ms);
                *head_deadline.get_or_insert(now + limit)
            } else {
                now + Duration::from_millis(limits.idle_timeout_ms)
            };
            buffer.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                // What has arrived goes before the end of a planned stop.
                biased;
                read = input.read_buf(buffer) => if read? == 0 {
                    return Ok(HeadRead::Ended(ReadEndReason::CallerClosed));
                },
                () = tokio::time::sleep_until(deadline) => {
                    if has_partial_head {
                        return Ok(HeadRead::Rejected(ErrorKind::SlowHead));
                    }
                    if self.unanswered_count.get() == 0 {
                        return Ok(HeadRead::Ended(ReadEndReason::NoMoreRequests));
                    }
                }
                () = self.worker.shared.wait_until_closed(), if !has_partial_head && !self.is_closing.get() => {
                    return Ok(HeadRead::Ended(ReadEndReason::NoMoreRequests));
                }
            }
        }
    }

    /// Starts the task of a call; returns where its body goes.
    fn start_call(
        &self,
        head: Box<RequestHead>,
        body_progress: Rc<BodyProgress>,
    ) -> Option<BodySender> {
        let (body_sender, body_receiver) = body_channel(head.framing);
        if head.expects_continue() && body_sender.is_some() {
            self.write_queue
                .borrow_mut()
                .push_back(QueuedWrite::Continue);
        }
        let (result_sender, receiver) = oneshot::channel();
        self.queue_response(PendingResponse {
            receiver,
            is_head_request: head.method == "HEAD",
            is_http10: head.is_old,
            is_last_response: !head.is_kept,
            body_progress,
            _guard: self.worker.shared.track_request(),
        });
        let worker = Rc::clone(&self.worker);
        ntex::rt::spawn(run_call(worker, head, body_receiver, result_sender));
        body_sender
    }

    fn queue_response(&self, response: PendingResponse) {
        self.unanswered_count.set(self.unanswered_count.get() + 1);
        self.write_queue
            .borrow_mut()
            .push_back(QueuedWrite::Response(response));
        self.write_queued.notify_one();
    }

    fn queue_rejection(&self, kind: ErrorKind) {
        log::info!(
            target: "ingress",
            kind = kind.code(), outcome = "not-run";
            "request can't be read"
        );
        let (result_sender, receiver) = oneshot::channel();
        let body_progress = Rc::new(BodyProgress::default());
        body_progress.mark_complete();
        // The receiver is queued right below, so this can't fail.
        let _ = result_sender.send(Err(kind.into()));
        self.queue_response(PendingResponse {
            receiver,
            is_head_request: false,
            is_http10: false,
            is_last_response: true,
            body_progress,
            _guard: self.worker.shared.track_request(),
        });
    }

    /// Passes a body to its call; false if nothing behind it can be read.
    async fn forward_body(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
        framing: BodyFraming,
        body_sender: BodySender,
    ) -> io::Result<bool> {
        let mut decoder = BodyDecoder::new(framing);
        let mut open_sender = Some(body_sender);
        loop {
            match decoder.step(buffer) {
                Ok(BodyStep::Data(data)) => {
                    // A call that has ended needs no more; the rest is read
                    // to find the next request.
                    if let Some(sender) = &open_sender
                        && sender.send(Ok(data)).await.is_err()
                    {
                        open_sender = None;
                    }
                }
                Ok(BodyStep::End) => return Ok(true),
                Ok(BodyStep::NeedMore) => {
                    buffer.reserve(READ_BUFFER_BYTES);
                    if input.read_buf(buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(_) => {
                    if let Some(sender) = open_sender {
                        // The call may have ended meanwhile.
                        let _ = sender.send(Err(ErrorKind::BadRequest)).await;
                    }
                    return Ok(false);
                }
            }
        }
    }

    /// Writes answers in order; ends after the last one of the connection.
    async fn write_responses(&self, output: &mut OwnedWriteHalf) -> io::Result<()> {
        loop {
            let next = self.write_queue.borrow_mut().pop_front();
            match next {
                Some(QueuedWrite::Continue) => output.write_all(CONTINUE).await?,
                Some(QueuedWrite::Response(response)) => {
                    if self.write_response(output, response).await? {
                        return Ok(());
                    }
                }
                None if self.is_closing.get() => return Ok(()),
                None => self.write_queued.notified().await,
            }
        }
    }

    /// Writes one answer; returns whether the connection ends with it.
    async fn write_response(
        &self,
        output: &mut OwnedWriteHalf,
        pending: PendingResponse,
    ) -> io::Result<bool> {
        let result = pending.receiver.await;
        // A call that ended without a result has met a fault of this program.
        let result = result.unwrap_or_else(|_| Err(CallFailure::internal()));
        if result.is_err() && !pending.body_progress.is_complete.get() {
            let body_read = pending.body_progress.completed.notified();
            let _ = tokio::time::timeout(BODY_DISCARD_TIMEOUT, body_read).await;
        }
        let is_closing = pending.is_last_response
            || !pending.body_progress.is_complete.get()
            || (self.is_draining() && self.has_no_later_request());
        if is_closing {
            self.is_closing.set(true);
        }
        let options = ResponseOptions {
            is_head_request: pending.is_head_request,
            is_http10: pending.is_http10,
            closes_connection: is_closing,
        };
        self.write_result(output, result, options).await?;
        self.unanswered_count.set(self.unanswered_count.get() - 1);
        self.response_written.notify_one();
        Ok(is_closing)
    }

    fn is_draining(&self) -> bool {
        *self.worker.shared.stop_phase.borrow() != StopPhase::Serving
    }

    /// Whether no request behind the one being answered has been read.
    fn has_no_later_request(&self) -> bool {
        self.unanswered_count.get() == 1 && !self.is_reading_request.get()
    }

    async fn write_result(
        &self,
        output: &mut OwnedWriteHalf,
        result: CallResult,
        options: ResponseOptions,
    ) -> io::Result<()> {
        let dialect = self.worker.shared.dialect;
        let mut buffer = BytesMut::new();
        let response = match result {
            Ok(response) if options.is_http10 => {
                response.collect_body().await.map_err(io::Error::other)?
            }
            Ok(response) => response,
            Err(failure) => {
                put_failure_response(&mut buffer, dialect, &failure, options);
                return output.write_all(&buffer).await;
            }
        };
        let framing = put_response_head(&mut buffer, dialect, &response, options);
        if options.is_head_request {
            return output.write_all(&buffer).await;
        }
        put_body(&mut buffer, framing, &response.head.body);
        let Some(mut remaining_body) = response.remaining_body else {
            return output.write_all(&buffer).await;
        };
        output.write_all(&buffer).await?;
        while let Some(chunk) = remaining_body.recv().await {
            let data: Bytes = chunk.map_err(io::Error::other)?;
            buffer.clear();
            put_body(&mut buffer, framing, &data);
            output.write_all(&buffer).await?;
        }
        if framing == BodyFraming::Chunked {
            output.write_all(LAST_CHUNK).await?;
        }
        Ok(())
    }
}

enum HeadRead {
    Head(Box<RequestHead>),
    Rejected(ErrorKind),
    Ended(ReadEndReason),
}

type BodySender = Sender<Result<Bytes, ErrorKind>>;

fn body_channel(framing: BodyFraming) -> (Option<BodySender>, Option<BodyReceiver>) {
    if framing == BodyFraming::Length(0) {
        return (None, None);
    }
    let (body_sender, body_receiver) = channel(BODY_CHANNEL_CHUNKS);
    (Some(body_sender), Some(body_receiver))
}

/// Runs one call until it has its result or the connection has ended.
async fn run_call(
    worker: Rc<IngressWorker>,
    head: Box<RequestHead>,
    body_receiver: Option<BodyReceiver>,
    mut result_sender: oneshot::Sender<CallResult>,
) {
    let result = tokio::select! {
        biased;
        result = serve_call(worker, *head, body_receiver) => result,
        () = result_sender.closed() => return,
    };
    // The caller may leave in the same moment.
    let _ = result_sender.send(result);
}
