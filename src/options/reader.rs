//! Parser for flags and environment variables, shared by all binaries.
//!
//! `lexopt` splits the command line into arguments. This module matches them
//! with the flags of the [`CommandSpec`], adds the environment variables, and
//! reports errors that name the flag or variable, its value and the allowed
//! values.

use std::collections::BTreeMap;
use std::env;
use std::ffi::{OsStr, OsString};
use std::process::ExitCode;
use std::str::FromStr;

use super::error::SettingError;
use super::spec::{CommandSpec, FlagArity, FlagSpec};

/// Exit code for an invalid or missing setting.
pub const EXIT_USAGE: u8 = 2;
/// Separator of the values of a repeated flag in its environment variable.
const LIST_SEPARATOR: char = ',';

/// Value of a setting, with the flag or variable that set it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RawSetting {
    source: String,
    value: String,
}

/// Settings as text, each with the flag or variable that set it.
#[derive(Debug)]
pub struct RawOptions {
    command: &'static CommandSpec,
    settings: BTreeMap<&'static str, Vec<RawSetting>>,
    positional_arguments: Vec<String>,
}

/// Result of parsing a command line.
#[derive(Debug)]
pub enum ParsedCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run with these settings.
    Run(RawOptions),
}

/// Parses a command line whose first argument is the name of the program.
///
/// `read_variable` returns the value of an environment variable.
///
/// # Errors
///
/// Fails on an unknown argument, a flag without its value, a repeated flag that
/// may be given once only, and text that is not UTF-8.
pub fn parse_command(
    command: &'static CommandSpec,
    arguments: impl IntoIterator<Item = OsString>,
    read_variable: impl Fn(&str) -> Option<OsString>,
) -> Result<ParsedCommand, SettingError> {
    let mut options = RawOptions {
        command,
        settings: BTreeMap::new(),
        positional_arguments: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_iter(arguments);
    loop {
        let argument = match parser.next() {
            Ok(Some(argument)) => argument,
            Ok(None) => break,
            Err(error) => return Err(unknown_argument_error(command, error.to_string())),
        };
        match argument {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(ParsedCommand::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                return Ok(ParsedCommand::Version);
            }
            lexopt::Arg::Long(name) => {
                let flag = command
                    .find_flag(name)
                    .ok_or_else(|| unknown_argument_error(command, format!("--{name}")))?;
                options.add_flag(flag, &mut parser)?;
            }
            lexopt::Arg::Short(letter) => {
                return Err(unknown_argument_error(command, format!("-{letter}")));
            }
            lexopt::Arg::Value(value) => {
                let text = to_utf8_text(command.name, &value)?;
                options.add_positional_argument(text)?;
            }
        }
    }
    options.add_env_variables(read_variable)?;
    Ok(ParsedCommand::Run(options))
}

/// Reads the settings of this process from its arguments and environment.
///
/// # Errors
///
/// Returns the exit code for the process: 0 if `--help` or `--version` was
/// printed, otherwise [`EXIT_USAGE`], with one line printed to standard error.
pub fn options_from_process<T>(command: &'static CommandSpec) -> Result<T, ExitCode>
where
    T: TryFrom<RawOptions, Error = SettingError>,
{
    let parsed = parse_command(command, env::args_os(), |name| env::var_os(name));
    let result = match parsed {
        Ok(ParsedCommand::Help) => {
            print!("{}", command.help_text());
            return Err(ExitCode::SUCCESS);
        }
        Ok(ParsedCommand::Version) => {
            println!("{}", command.version_text());
            return Err(ExitCode::SUCCESS);
        }
        Ok(ParsedCommand::Run(options)) => T::try_from(options),
        Err(error) => Err(error),
    };
    result.map_err(|error| {
        eprintln!("{}: {error}", command.name);
        ExitCode::from(EXIT_USAGE)
    })
}

fn unknown_argument_error(command: &CommandSpec, argument: String) -> SettingError {
    let names: Vec<String> = command
        .flags
        .iter()
        .map(|flag| format!("--{}", flag.name))
        .collect();
    SettingError::Unknown {
        argument,
        allowed: format!("{}, --help or --version", names.join(", ")),
    }
}

fn to_utf8_text(setting: &str, value: &OsStr) -> Result<String, SettingError> {
    let invalid_utf8 = || SettingError::BadValue {
        setting: setting.to_string(),
        value: value.to_string_lossy().into_owned(),
        allowed: "UTF-8 text".to_string(),
    };
    value
        .to_str()
        .map(ToString::to_string)
        .ok_or_else(invalid_utf8)
}

impl RawOptions {
    fn add_flag(
        &mut self,
        flag: &'static FlagSpec,
        parser: &mut lexopt::Parser,
    ) -> Result<(), SettingError> {
        let source = format!("--{}", flag.name);
        let value = if flag.arity == FlagArity::Switch {
            "true".to_string()
        } else {
            let value = parser.value().map_err(|_| SettingError::NoValue {
                flag: flag.name,
                allowed: flag.allowed,
            })?;
            to_utf8_text(&source, &value)?
        };
        let settings = self.settings.entry(flag.name).or_default();
        if flag.arity != FlagArity::Repeated && !settings.is_empty() {
            return Err(SettingError::Repeated {
                flag: flag.name,
                value,
            });
        }
        settings.push(RawSetting { source, value });
        Ok(())
    }

    fn add_positional_argument(&mut self, argument: String) -> Result<(), SettingError> {
        if self.command.positional_usage.is_empty() {
            return Err(unknown_argument_error(self.command, argument));
        }
        self.positional_arguments.push(argument);
        Ok(())
    }

    fn add_env_variables(
        &mut self,
        read_variable: impl Fn(&str) -> Option<OsString>,
    ) -> Result<(), SettingError> {
        for flag in self.command.flags {
            if self.settings.contains_key(flag.name) {
                continue;
            }
            let source = flag.env_variable_name();
            let Some(value) = read_variable(&source).filter(|value| !value.is_empty()) else {
                continue;
            };
            let text = to_utf8_text(&source, &value)?;
            let values: Vec<&str> = if flag.arity == FlagArity::Repeated {
                text.split(LIST_SEPARATOR).map(str::trim).collect()
            } else {
                vec![text.as_str()]
            };
            let settings = values.into_iter().map(|value| RawSetting {
                source: source.clone(),
                value: value.to_string(),
            });
            self.settings.insert(flag.name, settings.collect());
        }
        Ok(())
    }

    fn flag_spec(&self, name: &str) -> &'static FlagSpec {
        let flag = self.command.find_flag(name);
        flag.unwrap_or_else(|| panic!("flag {name} is not declared by {}", self.command.name))
    }

    /// Positional arguments in their order.
    pub fn positional_arguments(&self) -> &[String] {
        &self.positional_arguments
    }

    /// Values of a repeated flag; empty if it was not given.
    ///
    /// # Errors
    ///
    /// Fails if a value is not allowed.
    pub fn list<T: FromStr>(&self, name: &str) -> Result<Vec<T>, SettingError> {
        let flag = self.flag_spec(name);
        let settings = self.settings.get(name).map_or(&[][..], Vec::as_slice);
        let parse = |setting: &RawSetting| {
            let bad_value = |_| SettingError::BadValue {
                setting: setting.source.clone(),
                value: setting.value.clone(),
                allowed: flag.allowed.to_string(),
            };
            setting.value.parse().map_err(bad_value)
        };
        settings.iter().map(parse).collect()
    }

    /// Values of a repeated flag that must be given at least once.
    ///
    /// # Errors
    ///
    /// Fails if there is no value, or if one is not allowed.
    pub fn required_list<T: FromStr>(&self, name: &str) -> Result<Vec<T>, SettingError> {
        let values = self.list(name)?;
        if values.is_empty() {
            return Err(self.flag_spec(name).missing_error());
        }
        Ok(values)
    }

    /// Value of a flag, or its default; `None` if it has neither.
    ///
    /// # Errors
    ///
    /// Fails if the value is not allowed.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, SettingError> {
        if let Some(value) = self.list(name)?.pop() {
            return Ok(Some(value));
        }
        let default = self.flag_spec(name).default;
        Ok(default.and_then(|text| text.parse().ok()))
    }

    /// Value of a flag, or its default; one of them must exist.
    ///
    /// # Errors
    ///
    /// Fails if the value is missing or not allowed.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, SettingError> {
        let value = self.optional(name)?;
        value.ok_or_else(|| self.flag_spec(name).missing_error())
    }

    /// Whether a switch was given, or its variable is `true`.
    ///
    /// # Errors
    ///
    /// Fails if the variable is neither `true` nor `false`.
    pub fn is_switch_on(&self, name: &str) -> Result<bool, SettingError> {
        Ok(self.optional(name)?.unwrap_or(false))
    }

    /// Error for a value that conflicts with other settings or fails a check
    /// that its type can't make.
    pub fn bad_value_error(&self, name: &str, allowed: &str) -> SettingError {
        let setting = self
            .settings
            .get(name)
            .and_then(|settings| settings.last())
            .cloned()
            .unwrap_or_else(|| RawSetting {
                source: format!("--{name}"),
                value: String::new(),
            });
        SettingError::BadValue {
            setting: setting.source,
            value: setting.value,
            allowed: allowed.to_string(),
        }
    }
}
