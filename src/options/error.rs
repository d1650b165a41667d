//! Errors of settings: each names the setting, the value and what is allowed.

use derive_more::{Display, Error};

/// Reason why a setting is not usable. Its text is a single line.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A value is outside of what is allowed.
    #[display("{setting}: '{}' is not allowed, expected {allowed}", value.escape_debug())]
    BadValue {
        /// Flag or variable.
        setting: String,
        /// Rejected value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A setting without default was not given.
    #[display("{setting}: missing, expected {allowed}")]
    Missing {
        /// Flag and variable.
        setting: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A flag was given without its value.
    #[display("--{flag}: has no value, expected {allowed}")]
    NoValue {
        /// Flag.
        flag: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A flag was given more often than once.
    #[display("--{flag}: given twice with '{}', expected at most once", value.escape_debug())]
    Repeated {
        /// Flag.
        flag: &'static str,
        /// Value of the second time.
        value: String,
    },
    /// An argument is not known to the binary.
    #[display("{}: unknown argument, expected {allowed}", argument.escape_debug())]
    Unknown {
        /// Argument as given.
        argument: String,
        /// What is allowed.
        allowed: String,
    },
}
