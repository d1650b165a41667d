//! Signals that ask for a planned stop.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT from the moment of listening on.
///
/// A process that has told its addresses must listen already: by default both
/// signals end it at once, with whatever it has taken on.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Listens to the signals.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers can't be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them, or for one that has come since the start.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
