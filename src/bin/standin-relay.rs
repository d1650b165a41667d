//! Fault-injecting TCP and UDP relay between two nodes, for tests; see
//! `currantlift::standin::relay`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::standin::relay::main()
}
