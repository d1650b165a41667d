//! What the end of a connection says about a response that ends with it.
//!
//! Fault: a backend server answers a long upload at once with a response of no stated length,
//! sends part of it and resets the connection while the upload is being written. The kernel
//! reports a reset once: if the write meets it, the read that follows sees an orderly end.
//!
//! A response that ends with its connection is whole only if the connection ended in order
//! (RFC 9112, section 8). Once a write has failed, whether with a reset or a broken pipe, that
//! can't be told any more: the reset that followed the close may have discarded bytes that
//! had not been read (section 9.6). A backend server that wants its response to be read closes
//! its sending side and reads on; the end is then seen before any write fails. A body that the
//! caller breaks off says nothing about the connection.

/// Failures of one connection, as far as they bear on the end of its responses.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    has_failed_write: bool,
}

/// Whether a response that ended with its connection is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseVerdict {
    /// The connection ended in order.
    Whole,
    /// The connection may have been reset before the response was whole.
    PossiblyCut,
}

impl ConnectionState {
    /// Records that a part of a request could not be written.
    pub(super) fn record_failed_write(&mut self) {
        self.has_failed_write = true;
    }

    /// Judges a response at the end of the connection.
    pub(super) fn judge_close(&self) -> CloseVerdict {
        if self.has_failed_write {
            CloseVerdict::PossiblyCut
        } else {
            CloseVerdict::Whole
        }
    }
}
