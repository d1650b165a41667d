//! Load generator that sends recorded traces or a constant rate to running nodes;
//! see `currantlift::replay`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::replay::main()
}
