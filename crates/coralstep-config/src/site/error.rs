//! Errors of the site file.
use coralstep_degradation::DegradationConfigError;
use coralstep_quota::config::LimitConfigError;
use coralstep_route::InsertError;
use thiserror::Error;

/// An invalid site file. Each message begins with the path of the invalid key.
#[derive(Debug, Error)]
pub enum SiteError {
    /// The text is not JSON or does not match the schema.
    #[error("{key}: {source}")]
    Syntax {
        /// Path of the key, or `site file` if the error concerns no key.
        key: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A number is out of range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Path of the key.
        key: &'static str,
        /// The number as given.
        value: String,
        /// Minimum.
        min: String,
        /// Maximum.
        max: String,
    },
    /// A value has the right type but is invalid.
    #[error("{key}: {reason}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// A route is invalid.
    #[error("{key}: {source}")]
    Route {
        /// Path of the key.
        key: String,
        /// Error of the route table.
        source: InsertError,
    },
    /// The key cannot change while the process runs.
    #[error("{key}: changes only with a restart")]
    RestartRequired {
        /// Path of the key.
        key: &'static str,
    },
    /// The section of degradation levels is invalid.
    #[error(transparent)]
    Levels(#[from] DegradationConfigError),
    /// The section of fleet-wide limits is invalid.
    #[error(transparent)]
    Limits(#[from] LimitConfigError),
}

impl SiteError {
    pub(super) fn invalid(key: impl Into<String>, reason: impl Into<String>) -> SiteError {
        SiteError::Invalid {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

/// Checks that `value` is from `min` to `max`, inclusive.
pub(super) fn check_range<T: PartialOrd + std::fmt::Display>(
    key: &'static str,
    value: T,
    min: T,
    max: T,
) -> Result<(), SiteError> {
    if value >= min && value <= max {
        return Ok(());
    }
    Err(SiteError::OutOfRange {
        key,
        value: value.to_string(),
        min: min.to_string(),
        max: max.to_string(),
    })
}
