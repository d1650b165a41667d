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
use crate::http1::write::{CONTINUE_RESPONSE, LAST_CHUNK, put_body};
use crate::http1::{BodyDecoder, BodyEvent, BodyFraming, HeadError, HeadLimits, RequestHead};
use crate::ingress::answer::{AnswerForm, CallAnswer, CallFailure, put_answer_head, put_failure};
use crate::ingress::body::BodyPieces;
use crate::ingress::{InFlightGuard, IngressWorker, StopPhase, serve_call};
use crate::routes::CallerLimits;

/// Requests of one connection that are worked on or wait for their answer.
const MAX_PIPELINED: usize = 32;
/// Pieces of a body between the connection and its call.
const BODY_PIECES: usize = 2;
/// Bytes asked of the socket at a time.
const READ_BYTES: usize = 16 * 1024;
/// Longest time that a refusal waits for the rest of a short body: an answer
/// ahead of it closes the connection under a caller that is still sending.
const DISCARD_LIMIT: Duration = Duration::from_millis(100);
/// Time for which what a caller still sends is read after the last answer.
/// Closing with unread bytes would reset the connection, and the answer with it.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// Result of one call.
pub type CallResult = Result<CallAnswer, CallFailure>;

/// Something that the writing future has to send, in order.
enum QueuedAnswer {
    /// Leave to send a body.
    Continue,
    /// Answer to a request.
    Answer(PendingAnswer),
}

struct PendingAnswer {
    receiver: oneshot::Receiver<CallResult>,
    is_head: bool,
    is_old: bool,
    is_last: bool,
    /// Whether the body has been read to its end.
    body: Rc<BodyProgress>,
    /// Counts the request as in flight until its answer is written.
    _guard: InFlightGuard,
}

#[derive(Debug, Default)]
struct BodyProgress {
    is_read: Cell<bool>,
    changed: Notify,
}

impl BodyProgress {
    fn end(&self) {
        self.is_read.set(true);
        self.changed.notify_waiters();
    }
}

/// Why reading ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEnd {
    /// The caller has left.
    Left,
    /// No further request is wanted on this connection.
    NoMore,
}

struct CallerConnection {
    worker: Rc<IngressWorker>,
    queue: RefCell<VecDeque<QueuedAnswer>>,
    /// Answers that are queued or being written.
    unanswered: Cell<usize>,
    /// Whether a request has been read in part.
    is_mid_request: Cell<bool>,
    /// Whether no further request is to be read.
    is_closing: Cell<bool>,
    queued: Notify,
    answered: Notify,
}

/// Serves one connection until either side ends it.
pub async fn serve_connection(worker: Rc<IngressWorker>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "ingress", "caller's connection lost: {error}");
        return;
    }
    let (mut input, mut output) = stream.into_split();
    let guard = worker.shared.connect();
    let connection = CallerConnection {
        worker,
        queue: RefCell::default(),
        unanswered: Cell::new(0),
        is_mid_request: Cell::new(false),
        is_closing: Cell::new(false),
        queued: Notify::new(),
        answered: Notify::new(),
    };
    let mut buffer = BytesMut::new();
    let result = tokio::select! {
        biased;
        result = connection.write_answers(&mut output) => result,
        end = connection.read_all(&mut input, &mut buffer) => end,
    };
    drop(guard);
    match result {
        Ok(()) => linger(input, output).await,
        Err(error) => log::debug!(target: "ingress", "caller's connection ended: {error}"),
    }
}

/// Ends the connection after its last answer without losing that.
async fn linger(mut input: OwnedReadHalf, mut output: OwnedWriteHalf) {
    if output.shutdown().await.is_err() {
        return;
    }
    let discarding = async {
        let mut buffer = vec![0; READ_BYTES];
        while matches!(input.read(&mut buffer).await, Ok(length) if length > 0) {}
    };
    // What comes later than this is cut off with the connection.
    let _ = tokio::time::timeout(LINGER_LIMIT, discarding).await;
}

impl CallerConnection {
    fn limits(&self) -> CallerLimits {
        let table = self.worker.shared.table.borrow();
        let routes = table.routes.as_ref();
        routes.map(|config| config.limits).unwrap_or_default()
    }

    /// Reads requests, then waits for the caller to leave. The writing future
    /// ends the connection in every other case.
    async fn read_all(&self, input: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<()> {
        if self.read_requests(input, buffer).await? == ReadEnd::NoMore {
            self.is_closing.set(true);
            self.queued.notify_one();
            let mut scratch = vec![0; READ_BYTES];
            while input.read(&mut scratch).await? > 0 {}
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    async fn read_requests(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<ReadEnd> {
        loop {
            self.wait_for_room().await;
            if self.is_closing.get() {
                return Ok(ReadEnd::NoMore);
            }
            let head = match self.read_head(input, buffer).await? {
                HeadRead::Head(head) => head,
                HeadRead::End(end) => return Ok(end),
                HeadRead::Bad(kind) => {
                    self.queue_failure(kind);
                    return Ok(ReadEnd::NoMore);
                }
            };
            let is_kept = head.is_keep_alive;
            let framing = head.framing;
            let progress = Rc::new(BodyProgress::default());
            let sink = self.start_call(head, Rc::clone(&progress));
            if let Some(sink) = sink
                && !self.read_body(input, buffer, framing, sink).await?
            {
                return Ok(ReadEnd::NoMore);
            }
            progress.end();
            self.is_mid_request.set(false);
            if !is_kept {
                return Ok(ReadEnd::NoMore);
            }
        }
    }

    async fn wait_for_room(&self) {
        while self.unanswered.get() >= MAX_PIPELINED {
            self.answered.notified().await;
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
            let limits = self.limits();
            let head_limits = HeadLimits {
                max_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
            };
            match RequestHead::parse(buffer, head_limits) {
                Ok(Some(head)) => {
                    self.is_mid_request.set(true);
                    return Ok(HeadRead::Head(Box::new(head)));
                }
                Ok(None) => {}
                Err(HeadError::Malformed) => return Ok(HeadRead::Bad(ErrorKind::BadRequest)),
                Err(HeadError::TooLarge) => return Ok(HeadRead::Bad(ErrorKind::HeadTooLarge)),
            }
            let is_begun = !buffer.is_empty();
            let now = tokio::time::Instant::now();
            let deadline = if is_begun {
                let limit = Duration::from_millis(limits.head_timeout_ms);
                *head_deadline.get_or_insert(now + limit)
            } else {
                now + Duration::from_millis(limits.idle_timeout_ms)
            };
            buffer.reserve(READ_BYTES);
            tokio::select! {
                // What has arrived goes before the end of a planned stop.
                biased;
                read = input.read_buf(buffer) => if read? == 0 {
                    return Ok(HeadRead::End(ReadEnd::Left));
                },
                () = tokio::time::sleep_until(deadline) => {
                    if is_begun {
                        return Ok(HeadRead::Bad(ErrorKind::SlowHead));
                    }
                    if self.unanswered.get() == 0 {
                        return Ok(HeadRead::End(ReadEnd::NoMore));
                    }
                }
                () = self.worker.shared.closed(), if !is_begun && !self.is_closing.get() => {
                    return Ok(HeadRead::End(ReadEnd::NoMore));
                }
            }
        }
    }

    /// Starts the task of a call; returns where its body goes.
    fn start_call(&self, head: Box<RequestHead>, body: Rc<BodyProgress>) -> Option<BodySink> {
        let (sink, pieces) = body_channel(head.framing);
        if head.expects_continue() && sink.is_some() {
            self.queue.borrow_mut().push_back(QueuedAnswer::Continue);
        }
        let (sender, receiver) = oneshot::channel();
        self.push_answer(PendingAnswer {
            receiver,
            is_head: head.method == "HEAD",
            is_old: head.is_http_1_0,
            is_last: !head.is_keep_alive,
            body,
            _guard: self.worker.shared.enter(),
        });
        let worker = Rc::clone(&self.worker);
        ntex::rt::spawn(run_call(worker, head, pieces, sender));
        sink
    }

    fn push_answer(&self, answer: PendingAnswer) {
        self.unanswered.set(self.unanswered.get() + 1);
        self.queue
            .borrow_mut()
            .push_back(QueuedAnswer::Answer(answer));
        self.queued.notify_one();
    }

    fn queue_failure(&self, kind: ErrorKind) {
        log::info!(
            target: "ingress",
            kind = kind.code(), outcome = "not-run";
            "request can't be read"
        );
        let (sender, receiver) = oneshot::channel();
        let body = Rc::new(BodyProgress::default());
        body.end();
        // The receiver is queued right below, so this can't fail.
        let _ = sender.send(Err(kind.into()));
        self.push_answer(PendingAnswer {
            receiver,
            is_head: false,
            is_old: false,
            is_last: true,
            body,
            _guard: self.worker.shared.enter(),
        });
    }

    /// Passes a body to its call; false if nothing behind it can be read.
    async fn read_body(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
        framing: BodyFraming,
        sink: BodySink,
    ) -> io::Result<bool> {
        let mut decoder = BodyDecoder::new(framing);
        let mut sink = Some(sink);
        loop {
            match decoder.next_event(buffer) {
                Ok(BodyEvent::Data(data)) => {
                    // A call that has ended needs no more; the rest is read
                    // to find the next request.
                    if let Some(open) = &sink
                        && open.send(Ok(data)).await.is_err()
                    {
                        sink = None;
                    }
                }
                Ok(BodyEvent::End) => return Ok(true),
                Ok(BodyEvent::NeedMore) => {
                    buffer.reserve(READ_BYTES);
                    if input.read_buf(buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(_) => {
                    if let Some(open) = sink {
                        // The call may have ended meanwhile.
                        let _ = open.send(Err(ErrorKind::BadRequest)).await;
                    }
                    return Ok(false);
                }
            }
        }
    }

    /// Writes answers in order; ends after the last one of the connection.
    async fn write_answers(&self, output: &mut OwnedWriteHalf) -> io::Result<()> {
        loop {
            let next = self.queue.borrow_mut().pop_front();
            match next {
                Some(QueuedAnswer::Continue) => output.write_all(CONTINUE_RESPONSE).await?,
                Some(QueuedAnswer::Answer(answer)) => {
                    if self.write_answer(output, answer).await? {
                        return Ok(());
                    }
                }
                None if self.is_closing.get() => return Ok(()),
                None => self.queued.notified().await,
            }
        }
    }

    /// Writes one answer; returns whether the connection ends with it.
    async fn write_answer(
        &self,
        output: &mut OwnedWriteHalf,
        pending: PendingAnswer,
    ) -> io::Result<bool> {
        let result = pending.receiver.await;
        // A call that ended without a result has met a fault of this program.
        let result = result.unwrap_or_else(|_| Err(CallFailure::internal()));
        if result.is_err() && !pending.body.is_read.get() {
            let read = pending.body.changed.notified();
            let _ = tokio::time::timeout(DISCARD_LIMIT, read).await;
        }
        let is_closing = pending.is_last
            || !pending.body.is_read.get()
            || (self.is_leaving() && self.is_last_read());
        if is_closing {
            self.is_closing.set(true);
        }
        let form = AnswerForm {
            is_head: pending.is_head,
            is_old: pending.is_old,
            is_closing,
        };
        self.send_result(output, result, form).await?;
        self.unanswered.set(self.unanswered.get() - 1);
        self.answered.notify_one();
        Ok(is_closing)
    }

    fn is_leaving(&self) -> bool {
        *self.worker.shared.stop_phase.borrow() != StopPhase::Serving
    }

    /// Whether no request behind the one being answered has been read.
    fn is_last_read(&self) -> bool {
        self.unanswered.get() == 1 && !self.is_mid_request.get()
    }

    async fn send_result(
        &self,
        output: &mut OwnedWriteHalf,
        result: CallResult,
        form: AnswerForm,
    ) -> io::Result<()> {
        let dialect = self.worker.shared.dialect;
        let mut bytes = BytesMut::new();
        let answer = match result {
            Ok(answer) if form.is_old => answer.collect().await.map_err(io::Error::other)?,
            Ok(answer) => answer,
            Err(failure) => {
                put_failure(&mut bytes, dialect, &failure, form);
                return output.write_all(&bytes).await;
            }
        };
        let framing = put_answer_head(&mut bytes, dialect, &answer, form);
        if form.is_head {
            return output.write_all(&bytes).await;
        }
        put_body(&mut bytes, framing, &answer.head.body);
        let Some(mut rest) = answer.rest else {
            return output.write_all(&bytes).await;
        };
        output.write_all(&bytes).await?;
        while let Some(piece) = rest.recv().await {
            let data: Bytes = piece.map_err(io::Error::other)?;
            bytes.clear();
            put_body(&mut bytes, framing, &data);
            output.write_all(&bytes).await?;
        }
        if framing == BodyFraming::Chunked {
            output.write_all(LAST_CHUNK).await?;
        }
        Ok(())
    }
}

enum HeadRead {
    Head(Box<RequestHead>),
    Bad(ErrorKind),
    End(ReadEnd),
}

type BodySink = Sender<Result<Bytes, ErrorKind>>;

fn body_channel(framing: BodyFraming) -> (Option<BodySink>, Option<BodyPieces>) {
    if framing == BodyFraming::Length(0) {
        return (None, None);
    }
    let (sink, pieces) = channel(BODY_PIECES);
    (Some(sink), Some(pieces))
}

/// Runs one call until it has its result or the connection has ended.
async fn run_call(
    worker: Rc<IngressWorker>,
    head: Box<RequestHead>,
    body: Option<BodyPieces>,
    mut sender: oneshot::Sender<CallResult>,
) {
    let result = tokio::select! {
        biased;
        result = serve_call(worker, *head, body) => result,
        () = sender.closed() => return,
    };
    // The caller may leave in the same moment.
    let _ = sender.send(result);
}
