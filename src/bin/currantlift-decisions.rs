//! Replays traces against the decision logic in virtual time and prints the
//! results; see `currantlift::decisions`.

fn main() -> std::process::ExitCode {
    currantlift::decisions::run_command()
}
