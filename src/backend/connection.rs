//! One connection to a backend server, and the request on its way over it.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::unbounded_channel;

use super::{ANSWER_LIMITS, BackendError, BodySource, ExchangeError};
use crate::http1::write::{LAST_CHUNK, put_body};
use crate::http1::{BodyDecoder, BodyEvent, BodyFraming, ResponseHead};

/// Bytes asked of the socket at a time.
const READ_BYTES: usize = 8 * 1024;
/// Most bytes of an answer to another request that are read to get past it.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// Connection with what has been read of it.
#[derive(Debug)]
pub(super) struct BackendConnection {
    input: OwnedReadHalf,
    output: OwnedWriteHalf,
    buffer: BytesMut,
}

impl BackendConnection {
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Self {
            input,
            output,
            buffer: BytesMut::new(),
        })
    }

    /// Whether nothing has arrived since the last exchange, not even the end.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.input.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads more, while the request goes on going out; `false` at the end of
    /// the connection.
    async fn read_more(&mut self, upload: &mut Upload) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        loop {
            tokio::select! {
                biased;
                read = self.input.read_buf(&mut self.buffer) => return Ok(read? > 0),
                sent = upload.step(&mut self.output), if !upload.is_done() => {
                    // What the backend server answered before it stopped
                    // reading is still to be read.
                    if let Err(error) = sent {
                        upload.fail();
                        log::debug!(target: "gate", "request not sent whole: {error}");
                    }
                }
            }
        }
    }

    /// Reads the head of an answer; interim ones are passed over.
    pub(super) async fn read_head(
        &mut self,
        upload: &mut Upload,
        method: &str,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            let taken = ResponseHead::parse(&mut self.buffer, ANSWER_LIMITS, method);
            match taken {
                Ok(Some(head)) if head.is_interim() => continue,
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(error) => return Err(ExchangeError::Broken(BackendError::failed(&error))),
            }
            let is_begun = !self.buffer.is_empty();
            let error = match self.read_more(upload).await {
                Ok(true) => continue,
                Ok(false) => BackendError::failed(&"connection closed"),
                Err(error) => BackendError::failed(&error),
            };
            return Err(if is_begun {
                ExchangeError::Broken(error)
            } else {
                ExchangeError::NoAnswer(error)
            });
        }
    }

    /// Next piece of an answer's body; `None` at its end.
    pub(super) async fn read_piece(
        &mut self,
        upload: &mut Upload,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, BackendError> {
        loop {
            let step = decoder.next_event(&mut self.buffer);
            match step.map_err(|error| BackendError::failed(&error))? {
                BodyEvent::Data(data) => return Ok(Some(data)),
                BodyEvent::End => return Ok(None),
                BodyEvent::NeedMore => {}
            }
            let more = self.read_more(upload).await;
            if !more.map_err(|error| BackendError::failed(&error))? {
                let end = decoder.handle_eof();
                end.map_err(|_| BackendError::failed(&"answer cut short"))?;
                return Ok(None);
            }
        }
    }

    /// Reads past the body of an answer to another request.
    pub(super) async fn skip_body(
        &mut self,
        upload: &mut Upload,
        framing: BodyFraming,
    ) -> Result<(), ExchangeError> {
        let mut decoder = BodyDecoder::new(framing);
        let mut skipped = 0;
        while let Some(data) = self
            .read_piece(upload, &mut decoder)
            .await
            .map_err(ExchangeError::Broken)?
        {
            skipped += data.len();
            if skipped > MAX_SKIPPED_BYTES {
                let error = BackendError::failed(&"too long an answer to another request");
                return Err(ExchangeError::Broken(error));
            }
        }
        Ok(())
    }

    /// Sends a request without a body and reads the answer to its end.
    pub(super) async fn ask(&mut self, head: BytesMut) -> Option<ResponseHead> {
        let mut upload = Upload::bodiless(head);
        let answer = self.read_head(&mut upload, "GET").await.ok()?;
        self.skip_body(&mut upload, answer.framing).await.ok()?;
        Some(answer)
    }

    /// Whether bytes have been read that belong to no answer.
    pub(super) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UploadState {
    Sending,
    Done,
    Failed,
}

/// Request on its way out: its head, then its body as it comes.
pub(super) struct Upload {
    pending: BytesMut,
    framing: BodyFraming,
    source: BodySource,
    /// Body bytes in `pending` that are to be reported as consumed.
    unreported: u64,
    left: Option<u64>,
    state: UploadState,
    has_source_ended: bool,
    has_taken_body: bool,
}

impl Upload {
    pub(super) fn new(head: BytesMut, framing: BodyFraming, source: BodySource) -> Self {
        Self {
            pending: head,
            framing,
            source,
            unreported: 0,
            left: framing.length(),
            state: UploadState::Sending,
            has_source_ended: framing == BodyFraming::Length(0),
            has_taken_body: false,
        }
    }

    /// Request that consists of its head.
    fn bodiless(head: BytesMut) -> Self {
        let (_, chunks) = unbounded_channel();
        let source = BodySource {
            chunks,
            on_consumed: Box::new(|_| {}),
        };
        Self::new(head, BodyFraming::Length(0), source)
    }

    /// Whether nothing is left to send, or nothing can be sent any more.
    pub(super) fn is_done(&self) -> bool {
        self.state != UploadState::Sending
    }

    /// Whether the request went out whole.
    pub(super) fn is_whole(&self) -> bool {
        self.state == UploadState::Done
    }

    /// Whether part of the body has been taken from its source.
    pub(super) fn has_taken_body(&self) -> bool {
        self.has_taken_body
    }

    pub(super) fn fail(&mut self) {
        self.state = UploadState::Failed;
    }

    /// Starts over, of a request whose body has not been touched.
    pub(super) fn restart(&mut self, head: BytesMut) {
        self.pending = head;
        self.state = UploadState::Sending;
    }

    /// Sends some more. It can be dropped at any moment and called again.
    async fn step(&mut self, output: &mut OwnedWriteHalf) -> io::Result<()> {
        if self.pending.is_empty() {
            if self.has_source_ended {
                self.state = UploadState::Done;
                return Ok(());
            }
            self.take_chunk().await?;
            return Ok(());
        }
        if output.write_buf(&mut self.pending).await? == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        if self.pending.is_empty() && self.unreported > 0 {
            (self.source.on_consumed)(std::mem::take(&mut self.unreported));
        }
        Ok(())
    }

    async fn take_chunk(&mut self) -> io::Result<()> {
        let Some(chunk) = self.source.chunks.recv().await else {
            self.has_source_ended = true;
            if self.left.is_some_and(|left| left > 0) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.framing == BodyFraming::Chunked {
                self.pending.extend_from_slice(LAST_CHUNK);
            }
            return Ok(());
        };
        let data = chunk.map_err(io::Error::other)?;
        self.has_taken_body = true;
        if let Some(left) = &mut self.left {
            *left = left
                .checked_sub(data.len() as u64)
                .ok_or(io::ErrorKind::InvalidData)?;
        }
        self.unreported += data.len() as u64;
        put_body(&mut self.pending, self.framing, &data);
        Ok(())
    }
}
