//! Stand-in for a backend server: an HTTP server that announces itself to its
//! node through the administration API.
//!
//! It echoes the request body after a configurable service time. It counts runs
//! by request id, so that a test can compare them with what callers were told,
//! and simulates faults that are set through `/standin/faults`. On SIGTERM or
//! SIGINT it announces that it drains, completes its requests, withdraws its
//! announcement and exits.

mod announce;
mod handlers;
mod nest;
mod options;
mod state;

use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;

use ntex::web::{App, HttpServer};

use crate::options::options_from_process;
use announce::Announcer;
use options::{STANDIN_COMMAND, StandinOptions};
use state::StandinState;

pub use state::{FaultSettings, RunCounts};

/// Runs `standin-backend` with the flags and environment of this process.
pub fn main() -> ExitCode {
    let options = match options_from_process::<StandinOptions>(&STANDIN_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let system = ntex::rt::System::new("standin-backend", ntex::rt::DefaultRuntime);
    match system.block_on(serve(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-backend: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(options: StandinOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    let state = Arc::new(StandinState::new(&options));
    let shared_state = state.clone();
    let server = HttpServer::new(async move || {
        let state = shared_state.clone();
        App::new().state(state).configure(handlers::configure)
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    println!("{address}");
    let mut announcer = Announcer::build(&options, address).await?;
    announcer.run_until_stopped(&state).await?;
    server.stop(true).await;
    Ok(())
}
