//! Operators' command line; see `currantlift::ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::ctl::main()
}
