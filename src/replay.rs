//! Replay of recorded traces, and constant rates, against running nodes.
//!
//! The load is open loop: every request has an intended time, is sent at that
//! time whether or not earlier ones were answered, and its latency counts from
//! the intended time, so that a stall can't hide. Every request has a body and
//! an id of its own, and its answer has to bring both back.

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

/// Exit code when a stated outcome was missed.
const EXIT_FAILED: u8 = 1;

/// Verdict of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplayVerdict {
    Passed,
    Failed,
}

/// Runs a replay with the settings of this process.
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
