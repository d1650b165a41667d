//! Connection to a backend server, and the request being sent over it.

use std::io;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::closing::{CloseVerdict, ConnectionState};
use super::{BackendError, ExchangeError, RESPONSE_HEAD_LIMITS, RequestBodySource};
use crate::http1::write::{LAST_CHUNK, put_body};
use crate::http1::{BodyDecoder, BodyEvent, BodyFraming, ParsedResponse, ResponseHead};

/// Buffer space reserved for each read from the socket.
const READ_RESERVE_BYTES: usize = 8 * 1024;
/// Maximum number of bytes that are read to discard the body of a response to another
/// request, with its chunk sizes and trailers.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Body parts below this size are copied and joined as far as they have been read, since
/// each would otherwise keep its whole read buffer in memory.
const MIN_BODY_PART_BYTES: usize = READ_RESERVE_BYTES / 2;
/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Connection with the bytes that have been read but not parsed.
#[derive(Debug)]
pub(super) struct BackendConnection {
    read_half: OwnedReadHalf,
    write_half: OwnedWriteHalf,
    buffer: BytesMut,
    /// Bytes read since the connection was opened.
    read_bytes: u64,
    state: ConnectionState,
}

impl BackendConnection {
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (read_half, write_half) = stream.into_split();
        Ok(Self {
            read_half,
            write_half,
            buffer: BytesMut::new(),
            read_bytes: 0,
            state: ConnectionState::default(),
        })
    }

    /// Whether the connection is open and nothing has arrived on it since the
    /// last exchange.
    pub(super) fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.read_half.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads more bytes while the request is still being sent; `false` at the
    /// end of the connection.
    async fn read_more(&mut self, upload: &mut RequestUpload) -> io::Result<bool> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        loop {
            tokio::select! {
                biased;
                read = self.read_half.read_buf(&mut self.buffer) => {
                    let read_bytes = read?;
                    self.read_bytes += read_bytes as u64;
                    return Ok(read_bytes > 0);
                }
                result = upload.advance(&mut self.write_half), if !upload.is_finished() => {
                    // The backend server may have responded before it stopped
                    // reading, so the response is still read.
                    if let Err(error) = result {
                        upload.mark_failed();
                        if matches!(error, UploadError::Connection(_)) {
                            self.state.record_failed_write();
                        }
                        log::debug!(
                            target: "gate",
                            "request not sent completely, still reading the response: {error}"
                        );
                    }
                }
            }
        }
    }

    /// Reads the head of a response, skipping interim ones.
    pub(super) async fn read_head(
        &mut self,
        upload: &mut RequestUpload,
        method: &str,
    ) -> Result<ResponseHead, ExchangeError> {
        let mut interim_responses = 0;
        loop {
            let parsed = ResponseHead::parse(&mut self.buffer, RESPONSE_HEAD_LIMITS, method);
            match parsed {
                Ok(Some(ParsedResponse::Interim)) => {
                    interim_responses += 1;
                    if interim_responses <= MAX_INTERIM_RESPONSES {
                        continue;
                    }
                    let error = BackendError::failed(&"too many interim responses");
                    return Err(ExchangeError::Failed(error));
                }
                Ok(Some(ParsedResponse::Final(head))) => return Ok(head),
                Ok(None) => {}
                Err(error) => return Err(ExchangeError::Failed(BackendError::failed(&error))),
            }
            let has_begun = !self.buffer.is_empty();
            let error = match self.read_more(upload).await {
                Ok(true) => continue,
                Ok(false) => {
                    BackendError::failed(&"connection closed before the response head was complete")
                }
                Err(error) => BackendError::failed(&error),
            };
            return Err(if has_begun {
                ExchangeError::Failed(error)
            } else {
                ExchangeError::NoResponse(error)
            });
        }
    }

    /// Next chunk of a response body; `None` at its end.
    pub(super) async fn read_body_chunk(
        &mut self,
        upload: &mut RequestUpload,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, BackendError> {
        loop {
            if let Some(data) = self.take_body_data(decoder)? {
                return Ok(Some(data));
            }
            if decoder.is_complete() {
                return Ok(None);
            }
            let earlier_bytes = self.read_bytes;
            let read = self.read_more(upload).await;
            if self.read_bytes - earlier_bytes >= READ_RESERVE_BYTES as u64 {
                // More may be ready; other calls on the thread come first.
                tokio::task::yield_now().await;
            }
            if !read.map_err(|error| BackendError::failed(&error))? {
                let end = decoder.handle_eof();
                end.map_err(|_| {
                    BackendError::failed(&"response body ended before it was complete")
                })?;
                return match self.state.judge_close() {
                    CloseVerdict::Whole => Ok(None),
                    CloseVerdict::PossiblyCut => Err(BackendError::failed(
                        &"connection failed before the end of a response without a length",
                    )),
                };
            }
        }
    }

    /// Next chunk of a response body in the buffer; `None` if there is none.
    fn take_body_data(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, BackendError> {
        let mut joined = BytesMut::new();
        while joined.len() < MIN_BODY_PART_BYTES {
            match decoder.next_event(&mut self.buffer) {
                Ok(BodyEvent::Data(data))
                    if joined.is_empty() && data.len() >= MIN_BODY_PART_BYTES =>
                {
                    return Ok(Some(data));
                }
                Ok(BodyEvent::Data(data)) => joined.extend_from_slice(&data),
                Ok(BodyEvent::End | BodyEvent::NeedMore) => break,
                Err(error) if joined.is_empty() => return Err(BackendError::failed(&error)),
                // The decoder fails again after the data before the error.
                Err(_) => break,
            }
        }
        Ok((!joined.is_empty()).then(|| joined.freeze()))
    }

    /// Reads and discards the body of a response to another request.
    pub(super) async fn discard_body(
        &mut self,
        upload: &mut RequestUpload,
        framing: BodyFraming,
    ) -> Result<(), ExchangeError> {
        let mut decoder = BodyDecoder::new(framing);
        let max_read_bytes = self.read_bytes + MAX_DISCARDED_BYTES;
        while self
            .read_body_chunk(upload, &mut decoder)
            .await
            .map_err(ExchangeError::Failed)?
            .is_some()
        {
            if self.read_bytes > max_read_bytes {
                let error =
                    BackendError::failed(&"response to another request is too long to discard");
                return Err(ExchangeError::Failed(error));
            }
        }
        Ok(())
    }

    /// Sends a request without a body and reads the whole response.
    pub(super) async fn send_without_body(&mut self, head: BytesMut) -> Option<ResponseHead> {
        let mut upload = RequestUpload::without_body(head);
        let response_head = self.read_head(&mut upload, "GET").await.ok()?;
        self.discard_body(&mut upload, response_head.framing)
            .await
            .ok()?;
        Some(response_head)
    }

    /// Whether bytes have been read that belong to no response.
    pub(super) fn has_excess_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Why a request could not be sent completely.
#[derive(Debug, Display, Error)]
enum UploadError {
    /// The body ended early or is longer than stated.
    #[display("body: {_0}")]
    Body(io::Error),
    /// The connection takes no more.
    #[display("connection: {_0}")]
    Connection(io::Error),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UploadState {
    Sending,
    Complete,
    Failed,
}

/// Request being sent: its head, then its body as it arrives.
pub(super) struct RequestUpload {
    unsent: BytesMut,
    framing: BodyFraming,
    body_source: RequestBodySource,
    /// Body bytes in `unsent` that are yet to be reported as consumed.
    unreported_bytes: u64,
    /// Body bytes still to be read from the source; `None` for a chunked body.
    remaining_bytes: Option<u64>,
    state: UploadState,
    has_source_ended: bool,
    has_read_body: bool,
}

impl RequestUpload {
    pub(super) fn new(head: BytesMut, framing: BodyFraming, source: RequestBodySource) -> Self {
        Self {
            unsent: head,
            framing,
            body_source: source,
            unreported_bytes: 0,
            remaining_bytes: framing.length(),
            state: UploadState::Sending,
            has_source_ended: framing == BodyFraming::Length(0),
            has_read_body: false,
        }
    }

    /// Creates a request that consists of its head only.
    fn without_body(head: BytesMut) -> Self {
        Self::new(head, BodyFraming::Length(0), RequestBodySource::empty())
    }

    /// Whether nothing is left to send or sending has failed.
    pub(super) fn is_finished(&self) -> bool {
        self.state != UploadState::Sending
    }

    /// Whether the whole request has been sent.
    pub(super) fn is_complete(&self) -> bool {
        self.state == UploadState::Complete
    }

    /// Whether part of the body has been read from its source.
    pub(super) fn has_read_body(&self) -> bool {
        self.has_read_body
    }

    pub(super) fn mark_failed(&mut self) {
        self.state = UploadState::Failed;
    }

    /// Restarts a request whose body has not been read.
    pub(super) fn restart(&mut self, head: BytesMut) {
        self.unsent = head;
        self.state = UploadState::Sending;
        // The end of a chunked body is written once more.
        self.has_source_ended = self.framing == BodyFraming::Length(0);
    }

    /// Sends the next part of the request. Cancellation safe: the future may be
    /// dropped at any await point, and the next call continues.
    async fn advance(&mut self, output: &mut OwnedWriteHalf) -> Result<(), UploadError> {
        if self.unsent.is_empty() {
            if self.has_source_ended {
                self.state = UploadState::Complete;
                return Ok(());
            }
            return self.read_chunk().await.map_err(UploadError::Body);
        }
        let written = output.write_buf(&mut self.unsent).await;
        if written.map_err(UploadError::Connection)? == 0 {
            return Err(UploadError::Connection(io::ErrorKind::WriteZero.into()));
        }
        if self.unsent.is_empty() && self.unreported_bytes > 0 {
            (self.body_source.on_consumed)(std::mem::take(&mut self.unreported_bytes));
        }
        Ok(())
    }

    async fn read_chunk(&mut self) -> io::Result<()> {
        let chunk = self.body_source.chunks.next().await;
        let Some(data) = chunk.map_err(io::Error::other)? else {
            self.has_source_ended = true;
            if self.remaining_bytes.is_some_and(|remaining| remaining > 0) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.framing == BodyFraming::Chunked {
                self.unsent.extend_from_slice(LAST_CHUNK);
            }
            return Ok(());
        };
        self.has_read_body = true;
        if let Some(remaining) = &mut self.remaining_bytes {
            *remaining = remaining
                .checked_sub(data.len() as u64)
                .ok_or(io::ErrorKind::InvalidData)?;
        }
        self.unreported_bytes += data.len() as u64;
        put_body(&mut self.unsent, self.framing, &data);
        Ok(())
    }
}
