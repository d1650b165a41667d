//! Command line arguments and settings of `currantlift-ctl`.

use std::str::FromStr;

use super::explain::ExplainSubject;
use crate::ids::TicketNumber;
use crate::options::{
    BaseUrl, CommandSpec, FlagArity, FlagSpec, RawOptions, SecretToken, SettingError,
};
use crate::quarantine::RequestFingerprint;

const CTL_FLAGS: &[FlagSpec] = &[
    FlagSpec::single(
        "admin",
        "URL",
        "http://HOST:PORT",
        "administration API of any node; required by all commands except explain",
    ),
    FlagSpec::single(
        "token",
        "TOKEN",
        "at least 8 printable ASCII characters without space",
        "bearer token for submit, check and clear",
    ),
    FlagSpec::single(
        "log",
        "FILE",
        "path of a readable file",
        "log file of a node, for explain",
    )
    .with_arity(FlagArity::Repeated),
];

const TICKET_NUMBER_FORMAT: &str = "a whole number from 1";
const FINGERPRINT_FORMAT: &str = "32 hexadecimal digits";
const CALL_ID_FORMAT: &str = "a call id such as 00000000000000ff-1a";

/// Command names for error messages.
const COMMAND_NAMES: &str =
    "submit, check, show, services, members, status, health, quarantine, clear or explain";

/// Command line of `currantlift-ctl`.
pub const CTL_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-ctl",
    summary: "Submits and shows change tickets, lists services and nodes, and explains calls.",
    positional_usage: "COMMAND",
    notes: "Commands:\n\
            \x20 submit FILE NUMBER            submit the ticket in FILE (- for standard input)\n\
            \x20 check FILE NUMBER             say whether submit would accept it; change nothing\n\
            \x20 show NUMBER                   content of a ticket and whether it is in force\n\
            \x20 services                      active services with their upstreams\n\
            \x20 members                       nodes that the node knows\n\
            \x20 status                        state of the node\n\
            \x20 health                        whether the node accepts work\n\
            \x20 quarantine                    requests that are suspected of crashing upstreams, or held\n\
            \x20 clear FINGERPRINT             let such a request run again at all nodes\n\
            \x20 explain CALL_ID --log FILE    log lines about a call and its attempts\n\
            \x20 explain request ID --log FILE  same for all calls with the caller's request id\n\
            \n\
            Exit codes:\n\
            \x20 0  done or accepted\n\
            \x20 1  refused or not found; nothing was changed\n\
            \x20 2  invalid usage\n\
            \x20 3  result unknown; submit again with the same number and content\n\
            \x20 4  node unreachable; nothing was changed",
    flags: CTL_FLAGS,
};

/// Command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlCommand {
    /// Submits a change ticket.
    Submit {
        /// Path of the ticket, or `-` for standard input.
        file: String,
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Validates a change ticket without submitting it.
    Check {
        /// Path of the ticket, or `-` for standard input.
        file: String,
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Shows the content and state of a ticket.
    Show {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Lists the active services with their upstreams.
    Services,
    /// Lists the nodes that the node knows.
    Members,
    /// Shows the state of the node.
    Status,
    /// Shows whether the node accepts work.
    Health,
    /// Lists the requests that are suspected of crashing backend servers, or held.
    Quarantine,
    /// Clears a suspected or held request at all nodes.
    Clear {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// Explains the handling of a call or request.
    Explain {
        /// Call or request to explain.
        subject: ExplainSubject,
        /// Paths of the log files of nodes.
        log_files: Vec<String>,
    },
}

/// Validated settings of `currantlift-ctl`.
#[derive(Debug, Clone)]
pub struct CtlOptions {
    /// Administration API to send the request to; `None` only for `explain`.
    pub admin_url: Option<BaseUrl>,
    /// Bearer token sent with the request; the API requires it for changes.
    pub token: Option<SecretToken>,
    /// Command with its parsed arguments.
    pub command: CtlCommand,
}

impl TryFrom<RawOptions> for CtlOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let command = CtlCommand::try_from(&raw)?;
        let admin_url = match &command {
            CtlCommand::Explain { .. } => None,
            _ => Some(raw.required("admin")?),
        };
        Ok(Self {
            admin_url,
            token: raw.optional("token")?,
            command,
        })
    }
}

impl TryFrom<&RawOptions> for CtlCommand {
    type Error = SettingError;

    fn try_from(raw: &RawOptions) -> Result<Self, SettingError> {
        let arguments: Vec<&str> = raw
            .positional_arguments()
            .iter()
            .map(String::as_str)
            .collect();
        match arguments.as_slice() {
            ["submit", file, number] => Ok(Self::Submit {
                file: (*file).to_string(),
                number: parse_argument("NUMBER", TICKET_NUMBER_FORMAT, number)?,
            }),
            ["check", file, number] => Ok(Self::Check {
                file: (*file).to_string(),
                number: parse_argument("NUMBER", TICKET_NUMBER_FORMAT, number)?,
            }),
            ["show", number] => Ok(Self::Show {
                number: parse_argument("NUMBER", TICKET_NUMBER_FORMAT, number)?,
            }),
            ["services"] => Ok(Self::Services),
            ["members"] => Ok(Self::Members),
            ["status"] => Ok(Self::Status),
            ["health"] => Ok(Self::Health),
            ["quarantine"] => Ok(Self::Quarantine),
            ["clear", fingerprint] => Ok(Self::Clear {
                fingerprint: parse_argument("FINGERPRINT", FINGERPRINT_FORMAT, fingerprint)?,
            }),
            ["explain", call] => Ok(Self::Explain {
                subject: ExplainSubject::Call(parse_argument("CALL_ID", CALL_ID_FORMAT, call)?),
                log_files: raw.required_list("log")?,
            }),
            ["explain", "request", id] => Ok(Self::Explain {
                subject: ExplainSubject::Request((*id).to_string()),
                log_files: raw.required_list("log")?,
            }),
            _ => Err(SettingError::BadValue {
                setting: "COMMAND".to_string(),
                value: arguments.join(" "),
                allowed: format!("{COMMAND_NAMES} with its arguments; see --help"),
            }),
        }
    }
}

fn parse_argument<T: FromStr>(name: &str, allowed: &str, text: &str) -> Result<T, SettingError> {
    text.parse().map_err(|_| SettingError::BadValue {
        setting: name.to_string(),
        value: text.to_string(),
        allowed: allowed.to_string(),
    })
}
