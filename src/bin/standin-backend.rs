//! Test backend server; see `currantlift::standin::backend`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::standin::backend::main()
}
