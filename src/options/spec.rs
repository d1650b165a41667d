//! Table of a binary's flags, and the help text made from it.

use std::fmt::Write as _;

use super::error::SettingError;

/// Start of every variable's name.
const VARIABLE_PREFIX: &str = "CURRANTLIFT_";
/// Column at which the help texts start.
const HELP_COLUMN: usize = 32;

/// How often a flag may be given, and whether it has a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlagArity {
    /// One value, at most once.
    Single,
    /// One value each time; in the variable, values are separated by commas.
    Repeated,
    /// No value; in the variable `true` or `false`.
    Switch,
}

/// One row of a binary's table of flags.
#[derive(Debug)]
pub struct FlagSpec {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Placeholder of the value in the help text.
    pub placeholder: &'static str,
    /// Values that are allowed, in words.
    pub allowed: &'static str,
    /// What the setting does.
    pub help: &'static str,
    /// Value when neither flag nor variable is given.
    pub default: Option<&'static str>,
    /// How often the flag may be given.
    pub arity: FlagArity,
}

impl FlagSpec {
    /// Row for a flag with one value and no default.
    pub const fn single(
        name: &'static str,
        placeholder: &'static str,
        allowed: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            placeholder,
            allowed,
            help,
            default: None,
            arity: FlagArity::Single,
        }
    }

    /// The same row with a default.
    pub const fn with_default(self, default: &'static str) -> Self {
        Self {
            default: Some(default),
            ..self
        }
    }

    /// The same row for a flag of another arity.
    pub const fn with_arity(self, arity: FlagArity) -> Self {
        Self { arity, ..self }
    }

    /// Name of the environment variable.
    pub fn env_variable_name(&self) -> String {
        let name = self.name.to_ascii_uppercase().replace('-', "_");
        format!("{VARIABLE_PREFIX}{name}")
    }

    pub(super) fn missing_error(&self) -> SettingError {
        SettingError::Missing {
            setting: format!("--{} ({})", self.name, self.env_variable_name()),
            allowed: self.allowed,
        }
    }

    fn help_line(&self) -> String {
        let synopsis = match self.arity {
            FlagArity::Switch => format!("  --{}", self.name),
            FlagArity::Single => format!("  --{} {}", self.name, self.placeholder),
            FlagArity::Repeated => format!("  --{} {} ...", self.name, self.placeholder),
        };
        let default = match self.default {
            Some(value) => format!(" [default: {value}]"),
            None => String::new(),
        };
        let (help, allowed) = (self.help, self.allowed);
        format!("{synopsis:HELP_COLUMN$} {help}; {allowed}{default}")
    }
}

/// Command line of one binary.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name of the binary.
    pub name: &'static str,
    /// What the binary does, in a sentence.
    pub summary: &'static str,
    /// Usage of positional arguments; empty if there are none.
    pub positional_usage: &'static str,
    /// Further text for `--help`, such as commands and exit codes.
    pub notes: &'static str,
    /// Flags.
    pub flags: &'static [FlagSpec],
}

impl CommandSpec {
    /// Text for `--help`.
    pub fn help_text(&self) -> String {
        let mut help = format!(
            "{}\n\nUsage: {} [FLAGS] {}\n\nFlags:\n",
            self.summary, self.name, self.positional_usage
        );
        for flag in self.flags {
            let _ = writeln!(help, "{}", flag.help_line());
        }
        let _ = writeln!(help, "{:HELP_COLUMN$} print this text", "  --help");
        let _ = writeln!(help, "{:HELP_COLUMN$} print the version", "  --version");
        help.push_str(
            "\nEvery flag --some-name can also be given as variable CURRANTLIFT_SOME_NAME;\n\
             a flag goes before the variable, and an empty variable counts as not given.\n",
        );
        if !self.notes.is_empty() {
            let _ = writeln!(help, "\n{}", self.notes);
        }
        help
    }

    /// Text for `--version`.
    pub fn version_text(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    pub(super) fn find_flag(&self, name: &str) -> Option<&'static FlagSpec> {
        self.flags.iter().find(|flag| flag.name == name)
    }
}
