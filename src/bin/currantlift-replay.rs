//! Replay of traces and constant rates; see `currantlift::replay`.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlift::replay::main()
}
