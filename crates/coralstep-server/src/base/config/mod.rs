//! Reads and validates the configuration and applies defaults. Errors name the invalid key.
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coralstep::{Preemption, SchedulerConfig};
use coralstep_config::site::SiteConfig;
use coralstep_config::{Names, starvation};

use super::descriptors;
use super::limits::Limits;

mod error;
mod file;

pub use error::{ConfigError, InvalidConfig};
pub use file::RestartOnlySetting;

use file::ConfigFile;

/// Default time from the shutdown signal to the end of the process, in ms.
const DEFAULT_STOP_MS: u64 = 3_000;
/// Environment variable with the configuration file's path, if the command line gives none.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that replaces an omitted key `name`.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Environment variable that replaces an omitted key `listen`.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";

/// The configuration of a server process.
#[derive(Debug)]
pub struct Config {
    /// The server's name.
    pub name: String,
    /// Address for gateways; `None` if all callers use another protocol.
    pub listen: Option<SocketAddr>,
    /// Address of the engine; `None` if SCGI applications run the requests.
    pub engine: Option<SocketAddr>,
    /// Address of the store; `None` if no method calls it.
    pub store: Option<SocketAddr>,
    /// Address of the control plane, if any.
    pub control_plane: Option<SocketAddr>,
    /// Seed of the random numbers for decisions and backoffs.
    pub seed: u64,
    /// Time from the shutdown signal to the end of the process.
    pub stop_after: Duration,
    /// Resource limits of this process.
    pub limits: Limits,
    /// Maximum number of open descriptors.
    pub descriptors: usize,
    /// Scheduler settings.
    pub scheduler: SchedulerConfig,
    /// Names of methods, tenants and gauges.
    pub names: Names,
    /// Settings that can't be changed by a reload.
    pub restart_only: Vec<RestartOnlySetting>,
    /// The site file; its defaults if there is none.
    pub site: SiteConfig,
}

/// Paths of the files that the configuration is read from, at the start and at each reload.
#[derive(Debug)]
pub struct ConfigFiles {
    config: PathBuf,
    site: Option<PathBuf>,
}

impl ConfigFiles {
    /// Uses the configuration file at `config`, or else at the path in `RELAY_CONFIG`, and the site file at `site`, if given.
    ///
    /// # Errors
    /// Fails with [`ConfigError::NoFile`] if no configuration file is specified.
    pub fn new(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<ConfigFiles, ConfigError> {
        let config = config
            .or_else(|| env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
            .ok_or(ConfigError::NoFile)?;
        Ok(ConfigFiles { config, site })
    }

    /// Reads and validates both files.
    ///
    /// # Errors
    /// Fails if a file can't be read or is invalid.
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

/// Parses the site file and validates it against `config`.
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
    /// Parses the configuration file's `text`.
    ///
    /// `variable` returns environment variables, which replace some omitted keys. `allowed_descriptors` is the system's limit
    /// of open descriptors.
    ///
    /// # Errors
    /// Returns the first error in the text.
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

    /// Checks the keys that may be omitted only if a section of the site file replaces them.
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

/// Rejects settings that the server doesn't support.
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

/// Maximum number of concurrent calls: the maximum number of started runs, or the dependency's share if that is less.
fn max_calls(scheduler: &SchedulerConfig) -> f64 {
    let runs = f64::from(scheduler.cores) * scheduler.max_started_per_core.max(1.0);
    scheduler
        .dependency
        .share()
        .map_or(runs, |share| share.ceil().min(runs))
}

#[cfg(test)]
mod tests;
