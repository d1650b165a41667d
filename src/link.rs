//! Framed protocol that carries calls from an ingress to a gate.
//!
//! A link multiplexes many calls over one connection. Each direction of a call
//! has its own flow-control window, so that a large upload doesn't block small
//! requests. The sender buffers body bytes until the receiver has consumed
//! them, so that a call can be resumed on a new link from an exact offset.
//! Frames that start, end or control a call are sent before queued body chunks.
//!
//! A link within one process uses the same pair of endpoints without a socket.

pub mod body_deadline;
pub mod call_link;
pub mod endpoint;
pub mod messages;
pub mod pool;
pub mod window;

#[cfg(test)]
mod tests;
