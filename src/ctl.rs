//! Command line tool for operators: submits and shows change tickets, lists the
//! active configuration, and explains the handling of a call.
//!
//! All commands except `explain` send a request to the administration API of
//! one node and print its JSON response to standard output. `explain` reads log
//! files. Scripts can rely on the exit code; an unknown result has a separate
//! code because the operator then has to submit again with the same number.

mod explain;
mod options;

use std::io::{Read, Write};
use std::path::Path;
use std::process::ExitCode;
use std::{fs, io};

use ntex::http::Method;

use crate::admin::{AdminClient, AdminClientError, AdminResponse, TicketOutcome};
use crate::options::{EXIT_USAGE, options_from_process};
use options::{CTL_COMMAND, CtlCommand, CtlOptions};

pub use explain::{ExplainSubject, explain};

/// Exit code if the request was refused and nothing was changed.
const EXIT_REFUSED: u8 = 1;
/// Exit code if the outcome of a submission is unknown.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code if the node can't be reached.
const EXIT_UNREACHABLE: u8 = 4;
/// File argument that selects standard input.
const STDIN_FILE_NAME: &str = "-";

/// Result of a command; determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CtlResult {
    Done,
    Refused,
    BadUsage,
    Unknown,
    Unreachable,
}

impl From<CtlResult> for ExitCode {
    fn from(result: CtlResult) -> Self {
        match result {
            CtlResult::Done => Self::SUCCESS,
            CtlResult::Refused => Self::from(EXIT_REFUSED),
            CtlResult::BadUsage => Self::from(EXIT_USAGE),
            CtlResult::Unknown => Self::from(EXIT_UNKNOWN),
            CtlResult::Unreachable => Self::from(EXIT_UNREACHABLE),
        }
    }
}

/// Runs `currantlift-ctl` with the arguments and environment of this process.
pub fn main() -> ExitCode {
    let options = match options_from_process::<CtlOptions>(&CTL_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let system = ntex::rt::System::new(CTL_COMMAND.name, ntex::rt::DefaultRuntime);
    system.block_on(run(options)).into()
}

async fn run(options: CtlOptions) -> CtlResult {
    let (request, is_submission) = match plan_command(&options.command) {
        Ok(CommandPlan::QueryNode(request)) => {
            let is_submission = matches!(options.command, CtlCommand::Submit { .. });
            (request, is_submission)
        }
        Ok(CommandPlan::PrintText(text)) => {
            print_text(text.trim_end());
            return CtlResult::Done;
        }
        Err(error) => {
            eprintln!("{}: {error}", CTL_COMMAND.name);
            return CtlResult::BadUsage;
        }
    };
    let Some(admin_url) = options.admin_url else {
        eprintln!("{}: --admin: missing", CTL_COMMAND.name);
        return CtlResult::BadUsage;
    };
    let response = match AdminClient::connect(admin_url, options.token).await {
        Ok(client) => {
            client
                .request(request.method, &request.path, request.body)
                .await
        }
        Err(error) => Err(error),
    };
    match response {
        Ok(response) => print_response(&response),
        Err(error) => {
            eprintln!("{}: {error}", CTL_COMMAND.name);
            match error {
                AdminClientError::NoResponse { .. } if is_submission => CtlResult::Unknown,
                _ => CtlResult::Unreachable,
            }
        }
    }
}

struct ApiRequest {
    method: Method,
    path: String,
    body: Option<String>,
}

impl ApiRequest {
    fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: None,
        }
    }

    fn delete(path: String) -> Self {
        Self {
            method: Method::DELETE,
            path,
            body: None,
        }
    }

    fn put(path: String, body: String) -> Self {
        Self {
            method: Method::PUT,
            path,
            body: Some(body),
        }
    }
}

/// Action of a command: a request to the node, or text from log files to print.
enum CommandPlan {
    QueryNode(ApiRequest),
    PrintText(String),
}

fn plan_command(command: &CtlCommand) -> io::Result<CommandPlan> {
    let get = |path: &str| CommandPlan::QueryNode(ApiRequest::get(path.to_string()));
    Ok(match command {
        CtlCommand::Submit { file, number } => {
            let path = format!("/v1/tickets/{number}");
            CommandPlan::QueryNode(ApiRequest::put(path, read_ticket(file)?))
        }
        CtlCommand::Check { file, number } => {
            let path = format!("/v1/tickets/{number}?check=true");
            CommandPlan::QueryNode(ApiRequest::put(path, read_ticket(file)?))
        }
        CtlCommand::Show { number } => get(&format!("/v1/tickets/{number}")),
        CtlCommand::Services => get("/v1/services"),
        CtlCommand::Members => get("/v1/members"),
        CtlCommand::Status => get("/v1/status"),
        CtlCommand::Health => get("/v1/health"),
        CtlCommand::Quarantine => get("/v1/quarantine"),
        CtlCommand::Clear { fingerprint } => {
            let path = format!("/v1/quarantine/{fingerprint}");
            CommandPlan::QueryNode(ApiRequest::delete(path))
        }
        CtlCommand::Explain { subject, log_files } => {
            let mut text = String::new();
            for file in log_files {
                text.push_str(&read_file(file)?);
                text.push('\n');
            }
            CommandPlan::PrintText(explain(subject, &text))
        }
    })
}

fn read_ticket(file: &str) -> io::Result<String> {
    if file != STDIN_FILE_NAME {
        return read_file(file);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn read_file(file: &str) -> io::Result<String> {
    fs::read_to_string(Path::new(file))
        .map_err(|error| io::Error::new(error.kind(), format!("{file}: {error}")))
}

/// Prints text; write errors are ignored because a reader such as `head` may
/// close the pipe early.
fn print_text(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

fn print_response(response: &AdminResponse) -> CtlResult {
    let text = match serde_json::from_str::<serde_json::Value>(&response.body) {
        Ok(json) => format!("{json:#}"),
        Err(_) => response.body.clone(),
    };
    print_text(&text);
    let ticket: Option<TicketOutcome> = serde_json::from_str(&response.body).ok();
    match (ticket, response.status) {
        (Some(TicketOutcome::Unknown { .. }), _) | (_, 504) => CtlResult::Unknown,
        (_, 200) => CtlResult::Done,
        _ => CtlResult::Refused,
    }
}

#[cfg(test)]
mod tests;
