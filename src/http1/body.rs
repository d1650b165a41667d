//! Incremental decoding of message bodies: with a known length, chunked, or
//! delimited by the end of the connection.

use bytes::{Buf, Bytes, BytesMut};

use super::head::HeadError;

/// Longest chunk-size line, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;
/// Largest trailer section.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Most bytes returned in one [`BodyEvent::Data`].
const MAX_DATA_BYTES: usize = 32 * 1024;

/// How the end of a message body is determined (RFC 9112, section 6).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// Known length in bytes; 0 if there is no body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// Length in bytes; `None` if it is not known in advance.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyEvent {
    /// Decoded bytes of the body.
    Data(Bytes),
    /// The buffer doesn't hold enough data.
    NeedMore,
    /// The body is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Complete,
}

/// Decodes a body from the bytes received on a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder for the body that follows a head.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the whole body has been decoded.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Complete
    }

    /// Decodes the next part of the body and removes it from the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed or the trailer section is too large.
    pub fn next_event(&mut self, buffer: &mut BytesMut) -> Result<BodyEvent, HeadError> {
        loop {
            match self.state {
                DecoderState::Complete => return Ok(BodyEvent::End),
                DecoderState::Length(remaining_bytes) => {
                    return Ok(self.take_data(buffer, remaining_bytes, DecoderState::Length));
                }
                DecoderState::ChunkData(remaining_bytes) => {
                    return Ok(self.take_data(buffer, remaining_bytes, DecoderState::ChunkData));
                }
                DecoderState::UntilClose if buffer.is_empty() => return Ok(BodyEvent::NeedMore),
                DecoderState::UntilClose => {
                    let length = buffer.len().min(MAX_DATA_BYTES);
                    return Ok(BodyEvent::Data(buffer.split_to(length).freeze()));
                }
                DecoderState::ChunkSize | DecoderState::ChunkEnd | DecoderState::Trailers(_) => {
                    if !self.decode_line(buffer)? {
                        return Ok(BodyEvent::NeedMore);
                    }
                }
            }
        }
    }

    /// Handles a regular end of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete.
    pub fn handle_eof(&mut self) -> Result<(), HeadError> {
        match self.state {
            DecoderState::Complete | DecoderState::UntilClose => {
                self.state = DecoderState::Complete;
                Ok(())
            }
            _ => Err(HeadError::Malformed),
        }
    }

    fn take_data(
        &mut self,
        buffer: &mut BytesMut,
        remaining_bytes: u64,
        with_remaining: fn(u64) -> DecoderState,
    ) -> BodyEvent {
        if buffer.is_empty() {
            return BodyEvent::NeedMore;
        }
        let max_bytes = usize::try_from(remaining_bytes)
            .unwrap_or(usize::MAX)
            .min(MAX_DATA_BYTES);
        let data = buffer.split_to(buffer.len().min(max_bytes)).freeze();
        let remaining_bytes = remaining_bytes - data.len() as u64;
        self.state = match (remaining_bytes, self.state) {
            (0, DecoderState::ChunkData(_)) => DecoderState::ChunkEnd,
            (0, _) => DecoderState::Complete,
            _ => with_remaining(remaining_bytes),
        };
        BodyEvent::Data(data)
    }

    /// Decodes a chunk size, the end of a chunk or a trailer line; returns false if
    /// the line is incomplete.
    fn decode_line(&mut self, buffer: &mut BytesMut) -> Result<bool, HeadError> {
        match self.state {
            DecoderState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    buffer.advance(length);
                    self.state = match size {
                        0 => DecoderState::Trailers(0),
                        size => DecoderState::ChunkData(size),
                    };
                    Ok(true)
                }
                Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => Ok(false),
                _ => Err(HeadError::Malformed),
            },
            DecoderState::ChunkEnd => match buffer.get(..2) {
                Some(b"\r\n") => {
                    buffer.advance(2);
                    self.state = DecoderState::ChunkSize;
                    Ok(true)
                }
                Some(_) => Err(HeadError::Malformed),
                None => Ok(false),
            },
            DecoderState::Trailers(trailer_bytes) => self.skip_trailer(buffer, trailer_bytes),
            _ => Ok(true),
        }
    }

    /// Discards one trailer field; an empty line ends the body.
    fn skip_trailer(
        &mut self,
        buffer: &mut BytesMut,
        trailer_bytes: usize,
    ) -> Result<bool, HeadError> {
        let Some(line_end) = buffer.iter().position(|byte| *byte == b'\n') else {
            let is_too_long = trailer_bytes + buffer.len() > MAX_TRAILER_BYTES;
            return if is_too_long {
                Err(HeadError::TooLarge)
            } else {
                Ok(false)
            };
        };
        let line = buffer.split_to(line_end + 1);
        let trailer_bytes = trailer_bytes + line.len();
        if trailer_bytes > MAX_TRAILER_BYTES {
            return Err(HeadError::TooLarge);
        }
        self.state = match line.trim_ascii_end() {
            b"" => DecoderState::Complete,
            _ => DecoderState::Trailers(trailer_bytes),
        };
        Ok(true)
    }
}
