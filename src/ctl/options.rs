//! Settings and commands of `currantlift-ctl`.

use std::str::FromStr;

use super::explain::ExplainSubject;
use crate::ids::TicketNumber;
use crate::options::{
    BaseUrl, CommandSpec, FlagArity, FlagSpec, RawOptions, SecretToken, SettingError,
};

const CTL_FLAGS: &[FlagSpec] = &[
    FlagSpec::single(
        "admin",
        "URL",
        "http://HOST:PORT",
        "administration API of any node; needed by all commands but explain",
    ),
    FlagSpec::single(
        "token",
        "TOKEN",
        "at least 8 printable ASCII characters without space",
        "bearer token for submit and check",
    ),
    FlagSpec::single(
        "log",
        "FILE",
        "path of a readable file",
        "log lines of a node, for explain",
    )
    .with_arity(FlagArity::Repeated),
];

const NUMBER_RULE: &str = "a whole number from 1";
const CALL_RULE: &str = "a call id such as 00000000000000ff-1a";

/// Command names, as an error lists them.
const COMMAND_NAMES: &str = "submit, check, show, services, members, status, health or explain";

/// Command line of `currantlift-ctl`.
pub const CTL_COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-ctl",
    summary: "Submits and shows change tickets, lists what is in force, and explains a call.",
    positional_usage: "COMMAND",
    notes: "Commands:\n\
            \x20 submit FILE NUMBER            submit the ticket in FILE (- for standard input)\n\
            \x20 check FILE NUMBER             say what submit would answer; change nothing\n\
            \x20 show NUMBER                   content of a ticket, and where it is in force\n\
            \x20 services                      services in force with their upstreams\n\
            \x20 members                       nodes that the asked node knows\n\
            \x20 status                        state of the asked node\n\
            \x20 health                        whether the asked node takes work\n\
            \x20 explain CALL_ID --log FILE    decisions about one call, from nodes' log lines\n\
            \x20 explain request ID --log FILE  the same by the caller's own id of the request\n\
            \n\
            Exit codes:\n\
            \x20 0  done or accepted\n\
            \x20 1  refused or not found; nothing was changed\n\
            \x20 2  bad usage\n\
            \x20 3  unknown: submit again with the same number and content\n\
            \x20 4  node can't be reached; nothing was changed",
    flags: CTL_FLAGS,
};

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlCommand {
    /// Submit a ticket.
    Submit {
        /// File with the ticket, or `-`.
        file: String,
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Check a ticket without submitting it.
    Check {
        /// File with the ticket, or `-`.
        file: String,
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// Show a ticket.
    Show {
        /// Number of the ticket.
        number: TicketNumber,
    },
    /// List services in force.
    Services,
    /// List known nodes.
    Members,
    /// Show the node's state.
    Status,
    /// Show whether the node takes work.
    Health,
    /// Explain a request.
    Explain {
        /// Call or request.
        subject: ExplainSubject,
        /// Files with log lines.
        logs: Vec<String>,
    },
}

/// Checked settings of `currantlift-ctl`.
#[derive(Debug, Clone)]
pub struct CtlOptions {
    /// Administration API to ask.
    pub admin: Option<BaseUrl>,
    /// Bearer token.
    pub token: Option<SecretToken>,
    /// What is asked for.
    pub command: CtlCommand,
}

impl TryFrom<RawOptions> for CtlOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let command = CtlCommand::try_from(&raw)?;
        let admin = match &command {
            CtlCommand::Explain { .. } => None,
            _ => Some(raw.required("admin")?),
        };
        Ok(Self {
            admin,
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
                number: parse_argument("NUMBER", NUMBER_RULE, number)?,
            }),
            ["check", file, number] => Ok(Self::Check {
                file: (*file).to_string(),
                number: parse_argument("NUMBER", NUMBER_RULE, number)?,
            }),
            ["show", number] => Ok(Self::Show {
                number: parse_argument("NUMBER", NUMBER_RULE, number)?,
            }),
            ["services"] => Ok(Self::Services),
            ["members"] => Ok(Self::Members),
            ["status"] => Ok(Self::Status),
            ["health"] => Ok(Self::Health),
            ["explain", call] => Ok(Self::Explain {
                subject: ExplainSubject::Call(parse_argument("CALL_ID", CALL_RULE, call)?),
                logs: raw.required_list("log")?,
            }),
            ["explain", "request", id] => Ok(Self::Explain {
                subject: ExplainSubject::Request((*id).to_string()),
                logs: raw.required_list("log")?,
            }),
            _ => Err(SettingError::BadValue {
                setting: "COMMAND".to_string(),
                value: arguments.join(" "),
                allowed: format!("{COMMAND_NAMES} with its arguments, see --help"),
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
