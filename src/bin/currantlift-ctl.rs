//! Command-line client for operators; see `currantlift::ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::ctl::main()
}
