//! Node beside one backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::node::run_process()
}
