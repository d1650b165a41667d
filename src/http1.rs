//! HTTP/1.1 messages on a byte stream.
//!
//! Heads are parsed by `httparse`; this module adds what a proxy needs beside
//! that: the length of a body by the rules of RFC 9112, bodies that are passed
//! on piece by piece, and heads written anew at the other end. It holds no
//! socket, so the same code serves callers and backend servers.

pub mod body;
pub mod head;
pub mod write;

pub use body::{BodyDecoder, BodyEvent, BodyFraming};
pub use head::{HeadError, HeadLimits, RequestHead, ResponseHead};

#[cfg(test)]
mod tests;
