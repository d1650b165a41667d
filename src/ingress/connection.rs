//! One caller's HTTP connection.
//!
//! Pipelined requests are served concurrently and answered in the order in
//! which they arrived. One future reads heads and bodies and spawns a task for
//! each call, another writes the responses. When the caller disconnects, the
//! reading future ends, the channels of the calls close, and the calls are
//! cancelled.
//!
//! A truncated response ends the connection, so that the caller can't take it
//! for complete. Later requests on the connection would be lost with it. So a
//! response is buffered while later requests are in progress, within limits, and
//! no request is started while a response is being passed on whose end has not
//! arrived. A response with `Connection: close` is sent only if no later request
//! has been read.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, OwnedSemaphorePermit, oneshot};

use crate::body_channel::{self, BodySender};
use crate::error::ErrorKind;
use crate::http1::write::{CONTINUE_RESPONSE, LAST_CHUNK, put_body};
use crate::http1::{BodyDecoder, BodyEvent, BodyFraming, HeadError, HeadLimits, RequestHead};
use crate::ingress::answer::{
    CallFailure, CallResponse, ResponseOptions, ResponseTruncated, put_failure_response,
    put_response_head, response_framing,
};
use crate::ingress::body::BodyReceiver;
use crate::ingress::callers::{ConnectionEntry, ConnectionUsage, RequestUsage};
use crate::ingress::in_flight::{InFlightGuard, RequestProgress, RequestState};
use crate::ingress::{ConnectionGuard, IngressWorker, StopPhase, serve_call};
use crate::link::window::WINDOW_BYTES;
use crate::routes::CallerLimits;

/// Requests of one connection that are in progress or wait for their response
/// to be written.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Request body chunks buffered between the connection and its call.
const BODY_CHANNEL_CHUNKS: usize = 2;
/// Bytes requested from the socket per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes from which on nothing is read ahead of a request that waits.
const MAX_READ_AHEAD_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// Longest time that a failure response waits for the rest of a short request
/// body. Sent earlier, it would close the connection while the caller is still
/// sending.
const BODY_DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which input is read and discarded after the last response. Closing
/// the socket with unread bytes would reset the connection and could lose the
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a response that may always be buffered while later requests are in progress; as
/// many as may be in transit from the gate.
const BUFFERED_RESPONSE_BYTES: usize = WINDOW_BYTES as usize;
/// Most bytes of a response that are buffered; those beyond [`BUFFERED_RESPONSE_BYTES`] are
/// claimed from the reserve of the node.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * BUFFERED_RESPONSE_BYTES;
/// Bytes that the responses of a node may together buffer beyond
/// [`BUFFERED_RESPONSE_BYTES`] each.
pub const RESPONSE_RESERVE_BYTES: usize = 4 * MAX_BUFFERED_RESPONSE_BYTES;

/// Response to one request, or the failure that the caller is told.
pub type CallResult = Result<CallResponse, CallFailure>;

/// Entry of the write queue, which the writing future sends in order.
enum QueuedWrite {
    /// `100 Continue`: the caller may send its request body.
    Continue,
    /// Response to a request, sent once its call has a result.
    Response(PendingResponse),
}

struct PendingResponse {
    receiver: oneshot::Receiver<CallResult>,
    is_for_head: bool,
    is_http10: bool,
    is_last_response: bool,
    /// Whether the request body has been read to its end.
    body_progress: Rc<BodyProgress>,
    /// Counts the request as in flight until its response is written.
    guard: InFlightGuard,
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

/// Why no further requests are read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEndReason {
    /// The caller has closed the connection.
    CallerClosed,
    /// No further requests are accepted on this connection.
    NoMoreRequests,
}

struct CallerConnection {
    worker: Rc<IngressWorker>,
    usage: Arc<ConnectionUsage>,
    write_queue: RefCell<VecDeque<QueuedWrite>>,
    /// Responses that are queued or being written.
    unanswered_count: Cell<usize>,
    /// Whether the head of a request has been read but not yet its whole body.
    is_reading_request: Cell<bool>,
    /// Whether the buffer has room for more than one read.
    has_large_buffer: Cell<bool>,
    /// Whether no further requests are read.
    is_closing: Cell<bool>,
    /// Whether a response whose end has not arrived is being written, or is too long for a
    /// buffer of its own.
    is_streaming: Cell<bool>,
    write_queued: Notify,
    response_written: Notify,
}

/// Serves one connection until either side closes it. The guard is held until the
/// lingering close has ended, so that the process doesn't exit while the last response
/// is on its way.
pub async fn serve_connection(
    worker: Rc<IngressWorker>,
    stream: TcpStream,
    entry: ConnectionEntry,
    _guard: ConnectionGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(
            target: "ingress",
            "can't set TCP_NODELAY on a caller's connection, closing it: {error}"
        );
        return;
    }
    let (mut input, mut output) = stream.into_split();
    let connection = CallerConnection {
        worker,
        usage: Arc::clone(entry.usage()),
        write_queue: RefCell::default(),
        unanswered_count: Cell::new(0),
        is_reading_request: Cell::new(false),
        has_large_buffer: Cell::new(false),
        is_closing: Cell::new(false),
        is_streaming: Cell::new(false),
        write_queued: Notify::new(),
        response_written: Notify::new(),
    };
    let mut buffer = BytesMut::new();
    let result = tokio::select! {
        biased;
        () = connection.usage.evicted() => Err(io::ErrorKind::QuotaExceeded.into()),
        result = connection.write_responses(&mut output) => result,
        end = connection.read_until_closed(&mut input, &mut buffer) => end,
    };
    // Calls whose response can no longer be written are cancelled.
    drop(connection);
    drop(buffer);
    match result {
        Ok(()) => {
            entry.usage().begin_close();
            tokio::select! {
                () = close_lingering(input, output) => {}
                () = entry.usage().evicted() => {}
            }
        }
        Err(error) => {
            log::debug!(target: "ingress", "closing a caller's connection: {error}");
            // Without a shutdown, which would end a body that is delimited by the connection.
            output.forget();
        }
    }
}

/// Closes the connection without losing the last response: shuts down the
/// sending side, then discards input until the caller closes.
async fn close_lingering(mut input: OwnedReadHalf, mut output: OwnedWriteHalf) {
    if output.shutdown().await.is_err() {
        return;
    }
    let discard = async {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while matches!(input.read(&mut buffer).await, Ok(length) if length > 0) {}
    };
    // After the timeout the connection is closed, whatever the caller still
    // sends.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
}

impl CallerConnection {
    fn caller_limits(&self) -> CallerLimits {
        let table = self.worker.shared.table.borrow();
        let routes = table.routes.as_ref();
        routes
            .map(|config| config.caller_limits)
            .unwrap_or_default()
    }

    /// Reads requests, then discards input until the caller closes the
    /// connection. In all other cases the writing future ends it.
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
            let account = self.usage.account();
            let is_full = || match self.unanswered_count.get() {
                0 => false,
                count => count >= MAX_PIPELINED_REQUESTS || account.is_under_pressure(),
            };
            if !self.read_ahead_while(is_full, input, buffer).await? {
                return Ok(ReadEndReason::CallerClosed);
            }
            if self.is_closing.get() {
                return Ok(ReadEndReason::NoMoreRequests);
            }
            let (head, head_bytes) = match self.read_head(input, buffer).await? {
                HeadRead::Head(head, length) => (head, length),
                HeadRead::Ended(end) => return Ok(end),
                HeadRead::Rejected(kind) => {
                    self.queue_rejection(kind);
                    return Ok(ReadEndReason::NoMoreRequests);
                }
            };
            if self.is_closing.get() {
                // The last response says that the connection closes, so the
                // caller knows that this request was not run.
                return Ok(ReadEndReason::NoMoreRequests);
            }
            let is_streaming = || self.is_streaming.get();
            if !self.read_ahead_while(is_streaming, input, buffer).await? {
                return Ok(ReadEndReason::CallerClosed);
            }
            if self.is_closing.get() {
                return Ok(ReadEndReason::NoMoreRequests);
            }
            let is_kept = head.is_keep_alive;
            let framing = head.framing;
            let body_progress = Rc::new(BodyProgress::default());
            let request_usage = self.usage.begin_request(head_bytes);
            let body_sender =
                self.start_call(head, Rc::clone(&body_progress), Arc::clone(&request_usage));
            if let Some(body_sender) = body_sender
                && !self
                    .forward_body(input, buffer, framing, body_sender, &request_usage)
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

    /// Makes room for one read. A buffer that grows by itself doubles its size, and keeps it.
    fn make_room(&self, buffer: &mut BytesMut) {
        if buffer.is_empty() && !self.has_large_buffer.get() {
            buffer.reserve(READ_BUFFER_BYTES);
        } else if buffer.is_empty() || buffer.capacity() - buffer.len() < READ_BUFFER_BYTES {
            let mut exact = BytesMut::with_capacity(buffer.len() + READ_BUFFER_BYTES);
            exact.extend_from_slice(buffer);
            *buffer = exact;
            self.has_large_buffer.set(!buffer.is_empty());
        }
    }

    /// Reads ahead while a condition holds that ends with a response; returns false if the
    /// caller closes the connection.
    async fn read_ahead_while(
        &self,
        condition: impl Fn() -> bool,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<bool> {
        while condition() {
            self.make_room(buffer);
            let has_room = buffer.len() < MAX_READ_AHEAD_BYTES;
            let mut space = (&mut *buffer).limit(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                () = self.response_written.notified() => {}
                read = input.read_buf(&mut space), if has_room => {
                    if read? == 0 {
                        return Ok(false);
                    }
                    self.usage.set_buffer(buffer.len());
                }
            }
        }
        Ok(true)
    }

    /// Reads a request head; an idle connection ends after its timeout.
    async fn read_head(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
    ) -> io::Result<HeadRead> {
        let mut head_deadline = None;
        loop {
            let limits = self.caller_limits();
            let head_limits = HeadLimits {
                max_bytes: usize::try_from(limits.max_head_bytes).unwrap_or(usize::MAX),
            };
            let received_bytes = buffer.len();
            match RequestHead::parse(buffer, head_limits) {
                Ok(Some(head)) => {
                    self.is_reading_request.set(true);
                    self.usage.set_partial_head(false);
                    self.usage.set_buffer(buffer.len());
                    let head_bytes = received_bytes - buffer.len();
                    return Ok(HeadRead::Head(Box::new(head), head_bytes));
                }
                Ok(None) => {}
                Err(HeadError::Malformed) => return Ok(HeadRead::Rejected(ErrorKind::BadRequest)),
                Err(HeadError::TooLarge) => return Ok(HeadRead::Rejected(ErrorKind::HeadTooLarge)),
            }
            let has_partial_head = !is_idle_input(buffer);
            self.usage.set_partial_head(has_partial_head);
            self.usage.set_buffer(buffer.len());
            let now = tokio::time::Instant::now();
            let deadline = if has_partial_head {
                let limit = Duration::from_millis(limits.head_timeout_ms);
                *head_deadline.get_or_insert(now + limit)
            } else {
                now + Duration::from_millis(limits.idle_timeout_ms)
            };
            self.make_room(buffer);
            let mut space = (&mut *buffer).limit(READ_BUFFER_BYTES);
            tokio::select! {
                // Bytes that have arrived take precedence over the end of a
                // planned stop.
                biased;
                read = input.read_buf(&mut space) => if read? == 0 {
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

    /// Spawns the task of a call; returns the sender of its request body, if it
    /// has one.
    fn start_call(
        &self,
        head: Box<RequestHead>,
        body_progress: Rc<BodyProgress>,
        usage: Arc<RequestUsage>,
    ) -> Option<BodySender<ErrorKind>> {
        let (body_sender, body_receiver) = request_body_channel(head.framing);
        if head.expects_continue() && body_sender.is_some() {
            self.write_queue
                .borrow_mut()
                .push_back(QueuedWrite::Continue);
        }
        let (result_sender, receiver) = oneshot::channel();
        let guard = self.worker.shared.track_request(usage);
        let progress = guard.progress().clone();
        self.queue_response(PendingResponse {
            receiver,
            is_for_head: head.method == "HEAD",
            is_http10: head.is_http_1_0,
            is_last_response: !head.is_keep_alive,
            body_progress,
            guard,
        });
        let worker = Rc::clone(&self.worker);
        ntex::rt::spawn(run_call(
            worker,
            head,
            body_receiver,
            progress,
            result_sender,
        ));
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
        // The receiver is still held here, so this can't fail.
        let _ = result_sender.send(Err(kind.into()));
        self.queue_response(PendingResponse {
            receiver,
            is_for_head: false,
            is_http10: false,
            is_last_response: true,
            body_progress,
            guard: self
                .worker
                .shared
                .track_request(self.usage.begin_request(0)),
        });
    }

    /// Forwards a request body to its call; returns false if no later request
    /// can be read.
    async fn forward_body(
        &self,
        input: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
        framing: BodyFraming,
        body_sender: BodySender<ErrorKind>,
        usage: &RequestUsage,
    ) -> io::Result<bool> {
        let mut decoder = BodyDecoder::new(framing);
        let mut open_sender = Some(body_sender);
        loop {
            match decoder.next_event(buffer) {
                Ok(BodyEvent::Data(data)) => {
                    usage.add_body(data.len());
                    // The call has ended; the rest of the body is still read to
                    // reach the next request.
                    if let Some(sender) = &open_sender
                        && sender.send(data).await.is_err()
                    {
                        open_sender = None;
                    }
                }
                Ok(BodyEvent::End) => {
                    if let Some(sender) = open_sender {
                        sender.finish();
                    }
                    return Ok(true);
                }
                Ok(BodyEvent::NeedMore) => {
                    buffer.reserve(READ_BUFFER_BYTES);
                    if input.read_buf(buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(_) => {
                    if let Some(sender) = open_sender {
                        // Fails if the call has ended in the meantime.
                        let _ = sender.fail(ErrorKind::BadRequest).await;
                    }
                    return Ok(false);
                }
            }
        }
    }

    /// Writes responses in order; returns after the last one of the connection.
    async fn write_responses(&self, output: &mut OwnedWriteHalf) -> io::Result<()> {
        loop {
            let next = self.write_queue.borrow_mut().pop_front();
            match next {
                Some(QueuedWrite::Continue) => self.write_all(output, CONTINUE_RESPONSE).await?,
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

    /// Writes one response; returns whether the connection ends with it.
    async fn write_response(
        &self,
        output: &mut OwnedWriteHalf,
        pending: PendingResponse,
    ) -> io::Result<bool> {
        let result = pending.receiver.await;
        // A call whose task ended without a result has hit an internal error.
        let result = result.unwrap_or_else(|_| Err(CallFailure::internal()));
        if result.is_err() && !pending.body_progress.is_complete.get() {
            let body_read = pending.body_progress.completed.notified();
            let _ = tokio::time::timeout(BODY_DISCARD_TIMEOUT, body_read).await;
        }
        pending.guard.progress().set_state(RequestState::Writing);
        let expires_at = pending.guard.progress().expires_at();
        let is_closing = pending.is_last_response
            || !pending.body_progress.is_complete.get()
            || (self.is_draining() && self.has_no_later_request());
        if is_closing {
            self.is_closing.set(true);
        }
        let mut options = ResponseOptions {
            is_for_head: pending.is_for_head,
            is_http10: pending.is_http10,
            closes_connection: is_closing,
        };
        let mut claim = None;
        let buffering = self.buffer_response(result, options, expires_at, &mut claim);
        let result = buffering.await;
        if let Ok(response) = &result
            && response_framing(response, options) == BodyFraming::UntilClose
        {
            self.is_closing.set(true);
            options.closes_connection = true;
        }
        let usage = pending.guard.progress().usage();
        self.write_result(output, result, options, usage).await?;
        self.usage.end_request();
        self.is_streaming.set(false);
        self.unanswered_count.set(self.unanswered_count.get() - 1);
        self.response_written.notify_one();
        Ok(options.closes_connection)
    }

    fn is_draining(&self) -> bool {
        *self.worker.shared.stop_phase.borrow() != StopPhase::Serving
    }

    /// Whether no request after the one being answered has been read, even in
    /// part.
    fn has_no_later_request(&self) -> bool {
        self.unanswered_count.get() == 1 && !self.is_reading_request.get()
    }

    /// Buffers a response while later requests are in progress, and a response to an HTTP/1.0
    /// caller, who may not be able to tell that it is truncated, up to a limit. One that is
    /// truncated by then becomes a failure, after which the connection can go on.
    async fn buffer_response(
        &self,
        result: CallResult,
        options: ResponseOptions,
        expires_at: tokio::time::Instant,
        claim: &mut Option<OwnedSemaphorePermit>,
    ) -> CallResult {
        let mut response = result?;
        let has_later_request = self.unanswered_count.get() > 1;
        if options.is_for_head || !(has_later_request || options.is_http10) {
            return Ok(response);
        }
        let call_id = response.call_id;
        let buffered = if options.is_http10 {
            response.buffer_body(BUFFERED_RESPONSE_BYTES).await
        } else if response.head.body_length.is_some() {
            self.buffer_up_to_limit(&mut response, claim).await
        } else {
            // The caller of a stream may wait for each part, but no longer than this.
            let buffering = self.buffer_up_to_limit(&mut response, claim);
            let buffered = tokio::time::timeout_at(expires_at, buffering).await;
            buffered.unwrap_or(Ok(()))
        };
        buffered.map_err(|truncated| {
            log::info!(
                target: "ingress", call:% = call_id, kind = truncated.kind.code();
                "response broke off before any of it was sent to the caller"
            );
            CallFailure::truncated(call_id, truncated)
        })?;
        if has_later_request && response.remaining_body.is_some() {
            log::info!(
                target: "ingress", call:% = call_id, buffered_bytes = response.head.body.len();
                "response is sent before its end, with later requests in progress"
            );
        }
        Ok(response)
    }

    /// Buffers a body completely, or as much of it as the limits allow.
    async fn buffer_up_to_limit(
        &self,
        response: &mut CallResponse,
        claim: &mut Option<OwnedSemaphorePermit>,
    ) -> Result<(), ResponseTruncated> {
        let mut limit = BUFFERED_RESPONSE_BYTES;
        loop {
            response.buffer_body(limit).await?;
            let stated_length = response.head.body_length;
            let is_too_long =
                stated_length.is_some_and(|length| length > MAX_BUFFERED_RESPONSE_BYTES as u64);
            let is_full = is_too_long || limit == MAX_BUFFERED_RESPONSE_BYTES;
            if response.remaining_body.is_none() || is_full {
                return Ok(());
            }
            self.is_streaming.set(true);
            let reserve = Arc::clone(&self.worker.shared.response_reserve);
            let Ok(addition) = reserve.try_acquire_many_owned(BUFFERED_RESPONSE_BYTES as u32)
            else {
                return Ok(());
            };
            match claim {
                Some(claim) => claim.merge(addition),
                None => *claim = Some(addition),
            }
            limit += BUFFERED_RESPONSE_BYTES;
        }
    }

    /// Writes all bytes; fails if the caller accepts none of them for as long as a connection
    /// may be idle.
    async fn write_all(&self, output: &mut OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
        self.usage.set_writing(true);
        while !bytes.is_empty() {
            let limit = Duration::from_millis(self.caller_limits().idle_timeout_ms);
            let Ok(written) = tokio::time::timeout(limit, output.write_buf(&mut bytes)).await
            else {
                log::info!(
                    target: "ingress", unsent_bytes = bytes.len();
                    "caller doesn't read its response"
                );
                return Err(io::ErrorKind::TimedOut.into());
            };
            if written? == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.usage.record_progress();
        }
        self.usage.set_writing(false);
        Ok(())
    }

    async fn write_result(
        &self,
        output: &mut OwnedWriteHalf,
        result: CallResult,
        options: ResponseOptions,
        usage: &RequestUsage,
    ) -> io::Result<()> {
        let dialect = self.worker.shared.dialect;
        let mut buffer = BytesMut::new();
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                put_failure_response(&mut buffer, dialect, &failure, options);
                return self.write_all(output, &buffer).await;
            }
        };
        let framing = put_response_head(&mut buffer, dialect, &response, options);
        if options.is_for_head {
            return self.write_all(output, &buffer).await;
        }
        put_body(&mut buffer, framing, &response.head.body);
        let Some(mut remaining_body) = response.remaining_body else {
            return self.write_all(output, &buffer).await;
        };
        self.is_streaming.set(true);
        self.write_all(output, &buffer).await?;
        usage.release(buffer.len());
        if framing == BodyFraming::UntilClose {
            // Until the whole body is written, a regular end of the connection would pass
            // off a part as the whole.
            output.as_ref().set_zero_linger()?;
        }
        while let Some(data) = remaining_body.next().await.map_err(io::Error::other)? {
            buffer.clear();
            put_body(&mut buffer, framing, &data);
            self.write_all(output, &buffer).await?;
            usage.release(data.len());
        }
        match framing {
            BodyFraming::Chunked => self.write_all(output, LAST_CHUNK).await?,
            BodyFraming::UntilClose => unset_linger(output)?,
            BodyFraming::Length(_) => {}
        }
        Ok(())
    }
}

/// Whether no part of a request has been received: some callers send an empty line after
/// the body of the previous one.
fn is_idle_input(buffer: &[u8]) -> bool {
    b"\r\n".starts_with(buffer)
}

#[allow(deprecated, reason = "without a duration a close never blocks")]
fn unset_linger(output: &OwnedWriteHalf) -> io::Result<()> {
    output.as_ref().set_linger(None)
}

enum HeadRead {
    /// Head, and its length in bytes.
    Head(Box<RequestHead>, usize),
    Rejected(ErrorKind),
    Ended(ReadEndReason),
}

fn request_body_channel(
    framing: BodyFraming,
) -> (Option<BodySender<ErrorKind>>, Option<BodyReceiver>) {
    if framing == BodyFraming::Length(0) {
        return (None, None);
    }
    let (body_sender, body_receiver) = body_channel::bounded(BODY_CHANNEL_CHUNKS);
    (Some(body_sender), Some(body_receiver))
}

/// Runs one call until it has a result; cancels it if the connection ends
/// first.
async fn run_call(
    worker: Rc<IngressWorker>,
    head: Box<RequestHead>,
    body_receiver: Option<BodyReceiver>,
    progress: RequestProgress,
    mut result_sender: oneshot::Sender<CallResult>,
) {
    let result = tokio::select! {
        biased;
        result = serve_call(worker, *head, body_receiver, progress) => result,
        () = result_sender.closed() => return,
    };
    // Fails if the caller has disconnected in the meantime.
    let _ = result_sender.send(result);
}
