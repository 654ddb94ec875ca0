//! Errors of the settings.
use thiserror::Error;

/// Why settings, or a field of a message, are refused. The message names the path at fault.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingError {
    /// The settings are not a JSON object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A required setting is missing.
    #[error("{path}: missing")]
    Missing {
        /// Path of the setting.
        path: String,
    },
    /// A value is of the wrong type, or unknown.
    #[error("{path}={value} {fault}")]
    Invalid {
        /// Path of the setting.
        path: String,
        /// The value as given.
        value: String,
        /// What is wrong with it.
        fault: ValueFault,
    },
    /// A number is out of range.
    #[error("{path}={value} is not from {min} to {max}")]
    OutOfRange {
        /// Path of the setting.
        path: String,
        /// The number as given.
        value: f64,
        /// Lowest valid number.
        min: f64,
        /// Highest valid number.
        max: f64,
    },
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueFault {
    /// It cannot be parsed as the type that is wanted.
    #[error("is no proper value")]
    Unparsable,
    /// It is a negative or infinite number.
    #[error("is no amount")]
    NotAnAmount,
    /// It is no truth value.
    #[error("is neither 1 nor 0")]
    NotAFlag,
    /// It is none of the known words.
    #[error("is unknown")]
    Unknown,
    /// It is text where a number or truth value is wanted.
    #[error("is text")]
    Text,
    /// It is no text where text is wanted.
    #[error("is no text")]
    NotText,
    /// An earlier entry of the list has the same name.
    #[error("is there twice")]
    Duplicate,
    /// It is a plain value where a list of objects is wanted.
    #[error("is no list of objects")]
    NotAListOfObjects,
}

impl SettingError {
    pub(crate) fn invalid(path: &str, value: &str, fault: ValueFault) -> SettingError {
        SettingError::Invalid {
            path: path.to_owned(),
            value: value.to_owned(),
            fault,
        }
    }
}
