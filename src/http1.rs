//! Parsing and serialization of HTTP/1.1 messages.
//!
//! Heads are parsed by `httparse`. This module adds what a proxy needs beyond
//! that: message body length as defined in RFC 9112, incremental decoding of
//! bodies, and serialization of heads. It performs no I/O, so the same code
//! serves connections from callers and to backend servers.

pub mod body;
pub mod head;
pub mod status;
pub mod write;

pub use body::{BodyDecoder, BodyEvent, BodyFraming};
pub use head::{HeadError, HeadLimits, ParsedResponse, RequestHead, ResponseHead};
pub use status::FinalStatus;

#[cfg(test)]
mod tests;
