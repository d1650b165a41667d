//! Load balancer node for one backend server; see `currantlift::node`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::node::run_process()
}
