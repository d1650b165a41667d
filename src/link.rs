//! Framed links that carry calls from an ingress to a gate.
//!
//! A link multiplexes many calls. Each direction of each call has its own
//! window, so that a large upload can't hold up a small order, and the sender
//! keeps what the receiver has not yet consumed, so that a call can be resumed
//! on a new link from an exact offset. Frames that start, end or steer a call
//! travel in a lane ahead of bulk body chunks.
//!
//! A link inside one process is the same pair of endpoints without the socket.

pub mod body_deadline;
pub mod call_link;
pub mod endpoint;
pub mod messages;
pub mod pool;
pub mod window;

#[cfg(test)]
mod tests;
