//! Test server for the platform's key-value store; see
//! `currantlift::standin::store`.

use std::net::TcpListener;
use std::process::ExitCode;

use currantlift::options::options_from_process;
use currantlift::standin::store::{STANDIN_COMMAND, StandinOptions, serve};

#[ntex::main]
async fn main() -> ExitCode {
    let options: StandinOptions = match options_from_process(&STANDIN_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-store: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &StandinOptions) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    println!("{}", listener.local_addr()?);
    serve(listener, options).await
}
