//! Signals that start a graceful shutdown.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers for SIGTERM and SIGINT.
///
/// They must be installed before the process prints its addresses: by default
/// both signals end it at once, with all calls that it has accepted.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits until one of the signals has arrived since [`install`](Self::install)
    /// or the previous wait.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
