//! Errors of settings, which name the setting, its value and the allowed values.

use derive_more::{Display, Error};

/// Reason why a setting is rejected. The message is always a single line.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A value has the wrong format or is out of range.
    #[display("{setting}: '{}' is not allowed, expected {allowed}", value.escape_debug())]
    BadValue {
        /// Flag, variable or positional argument that has the value.
        setting: String,
        /// Value as given.
        value: String,
        /// Allowed values, in words.
        allowed: String,
    },
    /// A required setting has neither flag nor variable.
    #[display("{setting}: missing, expected {allowed}")]
    Missing {
        /// Flag, followed by its variable in parentheses.
        setting: String,
        /// Allowed values, in words.
        allowed: &'static str,
    },
    /// A flag lacks its value.
    #[display("--{flag}: has no value, expected {allowed}")]
    NoValue {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Allowed values, in words.
        allowed: &'static str,
    },
    /// A flag that may be given once was given again.
    #[display("--{flag}: given twice with '{}', expected at most once", value.escape_debug())]
    Repeated {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Value of the second occurrence.
        value: String,
    },
    /// An argument is neither a flag of the binary nor an accepted positional
    /// argument.
    #[display("{}: unknown argument, expected {allowed}", argument.escape_debug())]
    Unknown {
        /// Argument as given.
        argument: String,
        /// Flags of the binary.
        allowed: String,
    },
}
