//! Stand-in for the network between two nodes; see `currantlift::standin::relay`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::standin::relay::main()
}
