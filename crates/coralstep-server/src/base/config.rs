//! The one place where configuration is read, checked and given defaults. Errors name the faulty key.
use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coralstep::{Preemption, SchedulerConfig};
use coralstep_config::site::{SiteConfig, SiteError};
use coralstep_config::starvation::{self, StarvationError};
use coralstep_config::{Names, SettingError};
use serde_json::Value;

use super::descriptors;
use super::limits::{Limits, OWN_DESCRIPTORS};

/// Memory where the configuration states none, in MB: the largest that is given anywhere.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Descriptors where the configuration states none: the most that are given anywhere.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// With fewer descriptors nobody could be served.
const MIN_DESCRIPTORS: usize = OWN_DESCRIPTORS + 4;
/// Time from the signal to drain to the end, where none is stated, in ms.
const DEFAULT_STOP_MS: u64 = 3_000;
/// Counts are below this: they are read as floating-point numbers.
const COUNT_LIMIT: f64 = 1e12;

/// Names the configuration file where the command line names none.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Stands in for the key `name`.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Stands in for the key `listen`.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";

/// Keys that a reload can't change.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

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
    #[error("limits.sockets: {0} are too few, {MIN_DESCRIPTORS} at the least")]
    TooFewDescriptors(usize),
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

/// A setting that a reload can't change.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartOnlySetting {
    /// Its key.
    pub key: &'static str,
    /// Its value in the file; null where the file leaves it out.
    pub value: Value,
}

/// The configuration of a server process.
#[derive(Debug)]
pub struct Config {
    /// The server's name.
    pub name: String,
    /// Where gateways connect; `None` where all callers use another protocol.
    pub listen: Option<SocketAddr>,
    /// The engine; `None` where SCGI applications run the requests.
    pub engine: Option<SocketAddr>,
    /// The store; `None` where no method calls it.
    pub store: Option<SocketAddr>,
    /// The control plane.
    pub control_plane: Option<SocketAddr>,
    /// Seeds the random numbers of decisions and backoffs.
    pub seed: u64,
    /// Time from the signal to drain to the end.
    pub stop_after: Duration,
    /// What this process itself may use.
    pub limits: Limits,
    /// How many descriptors this process may have open.
    pub descriptors: usize,
    /// The scheduler's settings.
    pub scheduler: SchedulerConfig,
    /// Names of methods, tenants and gauges.
    pub names: Names,
    /// What a reload can't change.
    pub restart_only: Vec<RestartOnlySetting>,
    /// The operator's own file; its defaults where there is none.
    pub site: SiteConfig,
}

/// The files that the configuration is read from, at the start and at each reload.
#[derive(Debug)]
pub struct ConfigFiles {
    config: PathBuf,
    site: Option<PathBuf>,
}

impl ConfigFiles {
    /// The configuration at `config`, else the one that `RELAY_CONFIG` names; the operator's own file at `site`.
    ///
    /// # Errors
    /// [`ConfigError::NoFile`].
    pub fn new(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<ConfigFiles, ConfigError> {
        let config = config
            .or_else(|| env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
            .ok_or(ConfigError::NoFile)?;
        Ok(ConfigFiles { config, site })
    }

    /// Reads and checks both files.
    ///
    /// # Errors
    /// A file can't be read or is at fault.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let site_text = self.site.as_deref().map(read).transpose()?;
        let config_text = read(&self.config)?;
        let invalid = |source| ConfigError::Invalid {
            path: self.config.clone(),
            source,
        };
        let allowed = descriptors::max_open();
        let mut config =
            Config::parse(&config_text, allowed, |name| env::var(name).ok()).map_err(invalid)?;
        if let (Some(path), Some(text)) = (&self.site, &site_text) {
            config.site = parse_site(path, text, &config)?;
        }
        config.check_required().map_err(invalid)?;
        Ok(config)
    }
}

fn read(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|source| ConfigError::Read {
        path: path.to_owned(),
        source,
    })
}

/// The operator's own file, checked against `config`.
fn parse_site(path: &Path, text: &str, config: &Config) -> Result<SiteConfig, ConfigError> {
    let site =
        SiteConfig::parse(text, &config.names).map_err(|source| ConfigError::InvalidSite {
            path: path.to_owned(),
            source,
        })?;
    starvation::check(&site, None, &config.names, &config.scheduler).map_err(|source| {
        ConfigError::Starvation {
            path: path.to_owned(),
            source,
        }
    })?;
    Ok(site)
}

impl Config {
    /// Reads the configuration file's `text`.
    ///
    /// `variable` returns an environment variable, which stands in for what the text leaves out; the system allows
    /// `allowed_descriptors`.
    ///
    /// # Errors
    /// The first fault of the text.
    pub fn parse(
        text: &str,
        allowed_descriptors: usize,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, InvalidConfig> {
        let file = ConfigFile::parse(text, variable)?;
        let seed = file.text("seed", None)?;
        let settings = file
            .json
            .get("settings")
            .ok_or(InvalidConfig::Missing("settings"))?;
        let (scheduler, mut names) = coralstep_config::from_json(settings)?;
        names.instance = file.text("name", Some(NAME_VARIABLE))?;
        check_settings(&scheduler)?;
        file.check_limits()?;
        let descriptors = file.descriptors(allowed_descriptors)?;
        Ok(Config {
            name: names.instance.clone(),
            listen: file.optional_address("listen", Some(LISTEN_VARIABLE))?,
            engine: file.optional_address("engine", None)?,
            store: file.store(&scheduler)?,
            control_plane: file.optional_address("control", None)?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| InvalidConfig::NotHex(seed))?,
            stop_after: Duration::from_millis(file.count("stop_ms", DEFAULT_STOP_MS)?),
            limits: Limits::new(file.memory_mb()?, descriptors, max_calls(&scheduler)),
            descriptors,
            scheduler,
            names,
            restart_only: file.restart_only(),
            site: SiteConfig::default(),
        })
    }

    /// Checks the keys that may only be left out where the operator's own file has something in their place.
    fn check_required(&self) -> Result<(), InvalidConfig> {
        let has_scgi = self.site.scgi.is_some();
        let has_applications = self.site.applications.is_some();
        if self.listen.is_none() && !has_scgi {
            return Err(InvalidConfig::Missing("listen"));
        }
        if self.engine.is_none() && !has_applications {
            return Err(InvalidConfig::Missing("engine"));
        }
        if self.control_plane.is_none() && !has_scgi && !has_applications {
            return Err(InvalidConfig::Missing("control"));
        }
        Ok(())
    }
}

/// The configuration file's JSON, and the environment that stands in for what it leaves out.
struct ConfigFile<V> {
    json: Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> ConfigFile<V> {
    fn parse(text: &str, variable: V) -> Result<ConfigFile<V>, InvalidConfig> {
        let json = serde_json::from_str(text)?;
        Ok(ConfigFile { json, variable })
    }

    fn variable(&self, name: Option<&str>) -> Option<String> {
        name.and_then(|name| (self.variable)(name))
    }

    fn text(&self, key: &'static str, variable: Option<&str>) -> Result<String, InvalidConfig> {
        match &self.json[key] {
            Value::String(text) if !text.is_empty() => Ok(text.clone()),
            Value::Null => self.variable(variable).ok_or(InvalidConfig::Missing(key)),
            other => Err(InvalidConfig::NotText {
                key,
                value: other.clone(),
            }),
        }
    }

    fn address(
        &self,
        key: &'static str,
        variable: Option<&str>,
    ) -> Result<SocketAddr, InvalidConfig> {
        let text = self.text(key, variable)?;
        text.parse()
            .map_err(|_| InvalidConfig::NotAnAddress { key, text })
    }

    fn optional_address(
        &self,
        key: &'static str,
        variable: Option<&str>,
    ) -> Result<Option<SocketAddr>, InvalidConfig> {
        if self.json[key].is_null() && self.variable(variable).is_none() {
            return Ok(None);
        }
        self.address(key, variable).map(Some)
    }

    /// The store's address, which is required where methods call it.
    fn store(&self, scheduler: &SchedulerConfig) -> Result<Option<SocketAddr>, InvalidConfig> {
        let has_calls = scheduler.methods.iter().any(|method| method.calls);
        if !has_calls && self.json["store"].is_null() {
            return Ok(None);
        }
        self.address("store", None).map(Some)
    }

    fn count(&self, key: &'static str, default: u64) -> Result<u64, InvalidConfig> {
        parse_count(&self.json[key], key, default)
    }

    fn check_limits(&self) -> Result<(), InvalidConfig> {
        let limits = &self.json["limits"];
        if limits.is_null() || limits.is_object() {
            return Ok(());
        }
        Err(InvalidConfig::LimitsNotAnObject(limits.clone()))
    }

    fn memory_mb(&self) -> Result<u64, InvalidConfig> {
        let value = &self.json["limits"]["memory_mb"];
        parse_count(value, "limits.memory_mb", DEFAULT_MEMORY_MB)
    }

    /// Descriptors as configured. Guards against a number above what the system allows: that binds, too.
    fn descriptors(&self, allowed: usize) -> Result<usize, InvalidConfig> {
        let value = &self.json["limits"]["sockets"];
        let configured = parse_count(value, "limits.sockets", DEFAULT_DESCRIPTORS)?;
        let descriptors = (configured as usize).min(allowed);
        if descriptors < MIN_DESCRIPTORS {
            return Err(InvalidConfig::TooFewDescriptors(descriptors));
        }
        Ok(descriptors)
    }

    fn restart_only(&self) -> Vec<RestartOnlySetting> {
        RESTART_ONLY_KEYS
            .into_iter()
            .map(|key| RestartOnlySetting {
                key,
                value: self.json[key].clone(),
            })
            .collect()
    }
}

/// Rejects settings that the server can't carry out.
fn check_settings(scheduler: &SchedulerConfig) -> Result<(), InvalidConfig> {
    if scheduler.methods.is_empty() {
        return Err(InvalidConfig::NoMethods);
    }
    if scheduler
        .methods
        .iter()
        .any(|method| method.skip_value > 0.0)
    {
        return Err(InvalidConfig::SkippedCalls);
    }
    if scheduler.preemption == Preemption::Pause {
        return Err(InvalidConfig::PausedRuns);
    }
    Ok(())
}

/// Calls that the scheduler may have in flight at once: no more than it may start runs, nor than its share.
fn max_calls(scheduler: &SchedulerConfig) -> f64 {
    let runs = f64::from(scheduler.cores) * scheduler.max_started_per_core.max(1.0);
    scheduler
        .dependency
        .share()
        .map_or(runs, |share| share.ceil().min(runs))
}

/// A whole number above 0, or `default` where there is none.
fn parse_count(value: &Value, key: &'static str, default: u64) -> Result<u64, InvalidConfig> {
    if value.is_null() {
        return Ok(default);
    }
    value
        .as_f64()
        .filter(|number| *number >= 1.0 && *number < COUNT_LIMIT)
        .map(|number| number as u64)
        .ok_or_else(|| InvalidConfig::NotACount {
            key,
            value: value.clone(),
        })
}

#[cfg(test)]
mod tests;
