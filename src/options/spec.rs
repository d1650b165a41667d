//! Declaration of a binary's flags, and the help text generated from it.

use std::fmt::Write as _;

use super::error::SettingError;

/// Prefix of environment variable names.
const VARIABLE_PREFIX: &str = "CURRANTLIFT_";
/// Width of the column with the flags, before their descriptions.
const HELP_COLUMN: usize = 32;

/// How often a flag may be given, and whether it takes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlagArity {
    /// One value, at most once.
    Single,
    /// One value per occurrence; in the variable, a comma-separated list.
    Repeated,
    /// No value; the variable is `true` or `false`.
    Switch,
}

/// Declaration of one flag.
#[derive(Debug)]
pub struct FlagSpec {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Name of the value in the help text.
    pub placeholder: &'static str,
    /// Allowed values in words, for the help text and for errors.
    pub allowed: &'static str,
    /// Description in the help text.
    pub help: &'static str,
    /// Value if neither flag nor variable is given; `None` for no default.
    pub default: Option<&'static str>,
    /// How often the flag may be given, and whether it takes a value.
    pub arity: FlagArity,
}

impl FlagSpec {
    /// Flag that takes one value and has no default.
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

    /// Sets the default, which must be an allowed value.
    pub const fn with_default(self, default: &'static str) -> Self {
        Self {
            default: Some(default),
            ..self
        }
    }

    /// Replaces the arity.
    pub const fn with_arity(self, arity: FlagArity) -> Self {
        Self { arity, ..self }
    }

    /// Name of the environment variable that sets this flag.
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

/// Declaration of one binary's command line.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name of the binary.
    pub name: &'static str,
    /// What the binary does; the first lines of the help text.
    pub summary: &'static str,
    /// Positional arguments in the usage line; empty if none are accepted.
    pub positional_usage: &'static str,
    /// Text after the flags in the help text, such as commands and exit codes.
    pub notes: &'static str,
    /// Flags in the order of the help text.
    pub flags: &'static [FlagSpec],
}

impl CommandSpec {
    /// Output of `--help`.
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
            "\nEvery flag --some-name can also be set by the environment variable\n\
             CURRANTLIFT_SOME_NAME. The flag takes precedence; an empty variable is ignored.\n",
        );
        if !self.notes.is_empty() {
            let _ = writeln!(help, "\n{}", self.notes);
        }
        help
    }

    /// Output of `--version`.
    pub fn version_text(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    pub(super) fn find_flag(&self, name: &str) -> Option<&'static FlagSpec> {
        self.flags.iter().find(|flag| flag.name == name)
    }
}
