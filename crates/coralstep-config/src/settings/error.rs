//! Errors of the settings.
use thiserror::Error;

/// An invalid setting, or an invalid field of a message. The error message names its path.
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
    /// A value has the wrong type or is unknown.
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
        /// Minimum.
        min: f64,
        /// Maximum.
        max: f64,
    },
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueFault {
    /// It cannot be parsed as the expected type.
    #[error("is no proper value")]
    Unparsable,
    /// It is a negative or infinite number.
    #[error("is no amount")]
    NotAnAmount,
    /// It is not a boolean.
    #[error("is neither 1 nor 0")]
    NotAFlag,
    /// It is not one of the valid values.
    #[error("is unknown")]
    Unknown,
    /// It is a string where a number or boolean is expected.
    #[error("is text")]
    Text,
    /// It is not a string where one is expected.
    #[error("is no text")]
    NotText,
    /// An earlier entry of the list has the same name.
    #[error("is there twice")]
    Duplicate,
    /// It is a scalar where a list of objects is expected.
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
