//! Load generator that sends recorded traces, or a constant request rate, to
//! running nodes.
//!
//! The load is open loop: each request is sent at its scheduled time, whether
//! or not earlier ones were answered. Latency is measured from the scheduled
//! time, so that a stall of the system or of the generator shows in the figures
//! (no coordinated omission). Each request has a unique id and body, and a
//! correct response returns both.

mod body;
mod faults;
mod job;
mod options;
mod outcomes;
mod pacer;
mod plan;
mod rates;
mod sender;
mod summary;

use std::process::ExitCode;

use serde::Serialize;

use crate::options::{EXIT_USAGE, options_from_process};
use options::{REPLAY_COMMAND, ReplayMode, ReplayOptions};

/// Exit code when an expected outcome was missed or a response was wrong.
const EXIT_FAILED: u8 = 1;

/// Whether a replay met all that it checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplayVerdict {
    Passed,
    Failed,
}

/// Runs `currantlift-replay` with the flags and environment of this process.
pub fn main() -> ExitCode {
    let options = match options_from_process::<ReplayOptions>(&REPLAY_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let result = match &options.mode {
        ReplayMode::Trace(trace) => plan::replay_trace(&options, trace),
        ReplayMode::Rate(rate) => rates::replay_constant_rate(&options, rate),
    };
    match result {
        Ok(ReplayVerdict::Passed) => ExitCode::SUCCESS,
        Ok(ReplayVerdict::Failed) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("{}: {error}", REPLAY_COMMAND.name);
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn print_json(value: &impl Serialize) -> std::io::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

#[cfg(test)]
mod tests;
