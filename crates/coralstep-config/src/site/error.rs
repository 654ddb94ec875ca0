//! Errors of the operator's file.
use coralstep_degradation::DegradationConfigError;
use coralstep_quota::config::LimitConfigError;
use coralstep_route::InsertError;
use thiserror::Error;

/// Why a site file is refused. Each message begins with the path of the key at fault.
#[derive(Debug, Error)]
pub enum SiteError {
    /// The text is not JSON, or not of the schema's shape.
    #[error("{key}: {source}")]
    Syntax {
        /// Path of the key, or `site file` where no key is at fault.
        key: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A number is out of range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Path of the key.
        key: &'static str,
        /// The number as given.
        value: String,
        /// Lowest valid number.
        min: String,
        /// Highest valid number.
        max: String,
    },
    /// A value has the right type but no valid meaning.
    #[error("{key}: {reason}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// A route is refused.
    #[error("{key}: {source}")]
    Route {
        /// Path of the key.
        key: String,
        /// What the route table said.
        source: InsertError,
    },
    /// The key is fixed while the process runs.
    #[error("{key}: changes only with a restart")]
    RestartRequired {
        /// Path of the key.
        key: &'static str,
    },
    /// The section of degradation levels is refused.
    #[error(transparent)]
    Levels(#[from] DegradationConfigError),
    /// The section of fleet-wide limits is refused.
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

/// Checks that `value` is from `min` to `max`, both included.
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
