//! Why the configuration can't be used.
use std::io;
use std::path::PathBuf;

use coralstep_config::SettingError;
use coralstep_config::site::SiteError;
use coralstep_config::starvation::StarvationError;
use serde_json::Value;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a file.
    #[error("RELAY_CONFIG: not set, and no --config given")]
    NoFile,
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The configuration file is at fault.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The configuration file.
        path: PathBuf,
        /// What is wrong in it.
        source: InvalidConfig,
    },
    /// The operator's file is at fault.
    #[error("{}: {source}", path.display())]
    InvalidSite {
        /// The operator's file.
        path: PathBuf,
        /// What is wrong in it.
        source: SiteError,
    },
    /// By the operator's file some requests would never be served.
    #[error("{}: {source}", path.display())]
    Starvation {
        /// The operator's file.
        path: PathBuf,
        /// Which requests.
        source: StarvationError,
    },
}

/// What is wrong in the configuration file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// The file is no JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A required key is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A value is no text, or an empty one.
    #[error("{key}: {value} is no text")]
    NotText {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// A value is no socket address.
    #[error("{key}: {text:?} is no address and port")]
    NotAnAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// A value is no number above 0.
    #[error("{key}: {value} is no number above 0")]
    NotACount {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// `seed` is no hex number.
    #[error("seed: {0:?} is no hex number")]
    NotHex(String),
    /// `limits` is no object.
    #[error("limits: {0} is no object")]
    LimitsNotAnObject(Value),
    /// Too few descriptors are configured or allowed by the system.
    #[error("limits.sockets: {available} are too few, {minimum} at the least")]
    TooFewDescriptors {
        /// How many there are.
        available: usize,
        /// With fewer nobody could be served.
        minimum: usize,
    },
    /// The scheduler's settings are at fault.
    #[error("settings: {0}")]
    Settings(#[from] SettingError),
    /// The settings name no method.
    #[error("settings.classes: names no class")]
    NoMethods,
    /// The settings allow a run to go on without its call.
    #[error("settings.domain.class_skip_worth: the engine can't go on without a call")]
    SkippedCalls,
    /// The settings allow a run to be paused.
    #[error("settings.domain.preemption: the engine can't take a paused run up again")]
    PausedRuns,
}
