//! HTTP/1.1 client that sends arbitrary bytes and reads responses strictly.
//!
//! It can send malformed or partial requests, and it tells a truncated response
//! from a complete one.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Longest wait until a connection is readable or writable.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// Status, header fields with names in lower case, and body of a response.
#[derive(Debug)]
pub struct RawResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Caller with a connection of its own.
pub struct RawCaller {
    pub sender: RawSender,
    pub reader: RawReader,
}

/// Sending half of a caller's connection.
pub struct RawSender {
    output: OwnedWriteHalf,
}

/// Reading half of a caller's connection.
pub struct RawReader {
    input: OwnedReadHalf,
    unread: Vec<u8>,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).await.unwrap()
    }

    pub async fn try_connect(address: SocketAddr) -> io::Result<Self> {
        let (input, output) = TcpStream::connect(address).await?.into_split();
        let unread = Vec::new();
        Ok(Self {
            sender: RawSender { output },
            reader: RawReader { input, unread },
        })
    }

    pub async fn send(&mut self, text: &str) {
        self.send_bytes(text.as_bytes()).await;
    }

    /// See [`RawSender::send_bytes`].
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        self.sender.send_bytes(bytes).await;
    }

    /// See [`RawReader::read_head`].
    pub async fn read_head(&mut self) -> Result<RawResponse, Vec<u8>> {
        self.reader.read_head().await
    }

    /// See [`RawReader::read_body`].
    pub async fn read_body(&mut self, length: usize) -> Result<Vec<u8>, Vec<u8>> {
        self.reader.read_body(length).await
    }

    /// See [`RawReader::read_response`].
    pub async fn read_response(&mut self) -> Result<RawResponse, Vec<u8>> {
        self.reader.read_response().await
    }

    /// Closes the connection with a reset instead of an orderly end.
    pub fn reset(self) {
        self.sender.output.as_ref().set_zero_linger().unwrap();
        // Dropped, it would end the connection in order first.
        self.sender.output.forget();
    }
}

impl RawSender {
    /// Ends the sending direction; the other stays open.
    pub async fn end(&mut self) {
        // Fails if the server has closed the connection.
        let _ = self.output.shutdown().await;
    }

    /// Sends bytes. An error ends it without notice, since a server that has
    /// rejected the request may close the connection before it is sent.
    pub async fn send_bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let writable = timeout(IO_TIMEOUT, self.output.writable()).await;
            writable
                .expect("the connection should become writable in time")
                .unwrap();
            match self.output.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl RawReader {
    /// Bytes that have arrived and belong to no response that was read.
    pub fn take_excess(&mut self) -> Vec<u8> {
        let mut chunk = [0; 1024];
        if let Ok(count) = self.input.try_read(&mut chunk) {
            self.unread.extend_from_slice(&chunk[..count]);
        }
        std::mem::take(&mut self.unread)
    }

    /// Whether the server has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        match self.input.try_read(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Reads more bytes; returns false at the end of the connection.
    async fn read_more(&mut self) -> bool {
        loop {
            let readable = timeout(IO_TIMEOUT, self.input.readable()).await;
            readable
                .expect("data or the end of the connection should arrive in time")
                .unwrap();
            let mut chunk = [0; 16 * 1024];
            match self.input.try_read(&mut chunk) {
                Ok(count) => {
                    self.unread.extend_from_slice(&chunk[..count]);
                    return count > 0;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads up to a delimiter and returns it, too. Fails at the end of the
    /// connection, with the bytes before it.
    async fn read_until(&mut self, delimiter: &[u8]) -> Result<Vec<u8>, Vec<u8>> {
        loop {
            let position = self
                .unread
                .windows(delimiter.len())
                .position(|window| window == delimiter);
            if let Some(start) = position {
                return Ok(self.unread.drain(..start + delimiter.len()).collect());
            }
            if !self.read_more().await {
                return Err(std::mem::take(&mut self.unread));
            }
        }
    }

    /// Reads a response head. Fails if the connection ends within it.
    pub async fn read_head(&mut self) -> Result<RawResponse, Vec<u8>> {
        let head = self.read_until(b"\r\n\r\n").await?;
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.lines();
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        let fields = lines.filter_map(|line| line.split_once(": "));
        Ok(RawResponse {
            status: status.parse().unwrap(),
            headers: fields
                .map(|(name, value)| (name.to_lowercase(), value.to_string()))
                .collect(),
            body: Vec::new(),
        })
    }

    /// Reads a body of known length. Fails at the end of the connection, with
    /// the part that was received.
    pub async fn read_body(&mut self, length: usize) -> Result<Vec<u8>, Vec<u8>> {
        while self.unread.len() < length {
            if !self.read_more().await {
                return Err(std::mem::take(&mut self.unread));
            }
        }
        Ok(self.unread.drain(..length).collect())
    }

    async fn read_chunked_body(&mut self) -> Result<Vec<u8>, Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let Ok(size) = self.read_until(b"\r\n").await else {
                return Err(body);
            };
            let size = String::from_utf8_lossy(&size);
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                // No chunk size. A caller can't tell these bytes from the body.
                body.extend_from_slice(size.as_bytes());
                return Err(body);
            };
            match self.read_body(size + 2).await {
                Ok(chunk) => body.extend_from_slice(&chunk[..size]),
                Err(rest) => {
                    body.extend_from_slice(&rest[..rest.len().min(size)]);
                    return Err(body);
                }
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a complete response. Fails at the end of the connection, with the
    /// part of the body that was received, or of the head if it is incomplete.
    pub async fn read_response(&mut self) -> Result<RawResponse, Vec<u8>> {
        let head = self.read_head().await?;
        self.read_body_of(head).await
    }

    /// Reads the body of a response whose head has been read. Fails as
    /// [`Self::read_response`] does.
    pub async fn read_body_of(&mut self, head: RawResponse) -> Result<RawResponse, Vec<u8>> {
        let body = match head.headers.get("content-length") {
            Some(length) => self.read_body(length.parse().unwrap()).await?,
            None => self.read_chunked_body().await?,
        };
        Ok(RawResponse { body, ..head })
    }
}
