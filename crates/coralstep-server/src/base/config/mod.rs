//! The one place where configuration is read, checked and given defaults. Errors name the faulty key.
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

/// Time from the signal to drain to the end, where none is stated, in ms.
const DEFAULT_STOP_MS: u64 = 3_000;
/// Names the configuration file where the command line names none.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Stands in for the key `name`.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Stands in for the key `listen`.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";

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

#[cfg(test)]
mod tests;
