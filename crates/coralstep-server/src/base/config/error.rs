//! Configuration errors.
use std::io;
use std::path::PathBuf;

use coralstep_config::SettingError;
use coralstep_config::site::SiteError;
use coralstep_config::starvation::StarvationError;
use serde_json::Value;

/// Error of loading the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment specifies a file.
    #[error("RELAY_CONFIG: not set, and no --config given")]
    NoFile,
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The configuration file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The configuration file.
        path: PathBuf,
        /// The first error in it.
        source: InvalidConfig,
    },
    /// The site file is invalid.
    #[error("{}: {source}", path.display())]
    InvalidSite {
        /// The site file.
        path: PathBuf,
        /// The first error in it.
        source: SiteError,
    },
    /// With this site file some requests would never be served.
    #[error("{}: {source}", path.display())]
    Starvation {
        /// The site file.
        path: PathBuf,
        /// The requests that would starve.
        source: StarvationError,
    },
}

/// Error in the configuration file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A required key is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A value is not a string, or is empty.
    #[error("{key}: {value} is no text")]
    NotText {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// A value is not a socket address.
    #[error("{key}: {text:?} is no address and port")]
    NotAnAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// A value is not a number of at least 1, or is too large.
    #[error("{key}: {value} is no number above 0")]
    NotACount {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// `seed` is not a hex number.
    #[error("seed: {0:?} is no hex number")]
    NotHex(String),
    /// `limits` is not an object.
    #[error("limits: {0} is no object")]
    LimitsNotAnObject(Value),
    /// Too few descriptors are configured or allowed by the system.
    #[error("limits.sockets: {available} are too few, {minimum} at the least")]
    TooFewDescriptors {
        /// Number of descriptors available.
        available: usize,
        /// Minimum number of descriptors to serve any request.
        minimum: usize,
    },
    /// The scheduler settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingError),
    /// The settings define no method.
    #[error("settings.classes: names no class")]
    NoMethods,
    /// The settings allow a run to continue without its call, which the engine doesn't support.
    #[error("settings.domain.class_skip_worth: the engine can't go on without a call")]
    SkippedCalls,
    /// The settings allow a run to be paused, which the engine doesn't support.
    #[error("settings.domain.preemption: the engine can't take a paused run up again")]
    PausedRuns,
}
