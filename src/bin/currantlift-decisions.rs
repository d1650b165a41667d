//! Replays traces against the decisions in virtual time and prints the figures.

fn main() -> std::process::ExitCode {
    currantlift::decisions::run_command()
}
