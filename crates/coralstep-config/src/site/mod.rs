//! The operator's site file, for everything that the deployment settings do not cover.
//!
//! The file is JSON that matches the schema printed by `coralstep schema`. Unknown keys are rejected; each error names the path
//! of the invalid key.
mod applications;
mod error;
mod fleet;
mod limits;
mod log;
mod operator;
mod scgi;
mod state;

use coralstep_degradation::DegradationConfig;
use coralstep_quota::LimitConfig;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::Names;

pub use applications::ApplicationsConfig;
pub use error::SiteError;
pub use fleet::{FleetSection, IsolationPolicy};
pub use log::{LogConfig, LogFormat};
pub use operator::{ListenAddress, ListenAddressError, OperatorConfig};
pub use scgi::{HeaderNames, RouteConfig, RouteTarget, ScgiConfig};
pub use state::StateConfig;

/// Named by errors that concern no key.
const WHOLE_FILE: &str = "site file";

/// A site file; each section is optional.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "SiteTerms",
    expecting = "struct SiteTerms"
)]
#[schemars(title = "coralstep site file", description = "")]
pub struct SiteConfig {
    /// The schema of this file, for editors.
    #[serde(rename = "$schema", default)]
    pub schema: Option<String>,
    /// Callers that speak SCGI.
    #[serde(default)]
    pub scgi: Option<ScgiConfig>,
    /// SCGI applications that run the RPCs, in place of an engine.
    #[serde(default)]
    pub applications: Option<ApplicationsConfig>,
    /// Levels of reduced service; `{}` takes the built-in ones. Without it there are none.
    #[serde(default)]
    pub levels: Option<DegradationConfig>,
    /// Where operators ask.
    #[serde(default)]
    pub operator: Option<OperatorConfig>,
    /// What is kept over a restart; without it nothing is.
    #[serde(default)]
    pub state: Option<StateConfig>,
    /// How this server hears the others of its fleet; without it nothing is opened.
    #[serde(default)]
    pub fleet: Option<FleetSection>,
    /// Limits that hold for the whole fleet; without a `fleet` there are none.
    #[serde(default)]
    pub limits: Option<Vec<LimitConfig>>,
    /// Form and levels of the log.
    #[serde(default)]
    #[schemars(description = "")]
    pub log: LogConfig,
}

impl SiteConfig {
    /// Parses and validates a site file; `names` are those of the settings.
    ///
    /// # Errors
    /// Returns the first error.
    pub fn parse(text: &str, names: &Names) -> Result<SiteConfig, SiteError> {
        let site = SiteConfig::read(text)?;
        site.check(names)?;
        Ok(site)
    }

    /// Parses a site file without checking what depends on the names in the settings.
    ///
    /// # Errors
    /// Fails if the text does not match the schema or the degradation levels are invalid.
    pub fn read(text: &str) -> Result<SiteConfig, SiteError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let site: SiteConfig =
            serde_path_to_error::deserialize(&mut reader).map_err(|error| SiteError::Syntax {
                key: key_path(error.path()),
                source: error.into_inner(),
            })?;
        reader.end().map_err(|source| SiteError::Syntax {
            key: WHOLE_FILE.to_owned(),
            source,
        })?;
        if let Some(levels) = &site.levels {
            levels.validate()?;
        }
        Ok(site)
    }

    fn check(&self, names: &Names) -> Result<(), SiteError> {
        if let Some(scgi) = &self.scgi {
            scgi.check(names)?;
        }
        if let Some(state) = &self.state {
            state.check()?;
        }
        if let Some(fleet) = &self.fleet {
            fleet.check()?;
        }
        self.limits(names)?;
        match &self.applications {
            Some(applications) => applications.check(names),
            None => Ok(()),
        }
    }

    /// Returns this configuration with the sections of `version`, a configuration version of the fleet, replacing its own.
    ///
    /// # Errors
    /// Fails if a section changes only with a restart or the combined configuration is invalid.
    pub fn with_version(&self, version: &str, names: &Names) -> Result<SiteConfig, SiteError> {
        let version = SiteConfig::read(version)?;
        if let Some(key) = self.fixed_section(&version) {
            return Err(SiteError::RestartRequired { key });
        }
        let mut site = self.clone();
        site.levels = version.levels.or(site.levels);
        site.limits = version.limits.or(site.limits);
        site.applications = version.applications.or(site.applications);
        if let (Some(mut scgi), Some(old)) = (version.scgi, &self.scgi) {
            // Listeners that are open stay.
            scgi.listen.clone_from(&old.listen);
            site.scgi = Some(scgi);
        }
        site.check(names)?;
        Ok(site)
    }

    /// Returns the first section of `version` that changes only with a restart.
    fn fixed_section(&self, version: &SiteConfig) -> Option<&'static str> {
        let sections = [
            ("operator", version.operator.is_some()),
            ("state", version.state.is_some()),
            ("fleet", version.fleet.is_some()),
            ("log", version.log != LogConfig::default()),
            ("levels", version.levels.is_some() && self.levels.is_none()),
            ("scgi", version.scgi.is_some() && self.scgi.is_none()),
            (
                "applications",
                version.applications.is_some() && self.applications.is_none(),
            ),
        ];
        let fixed = sections.iter().find(|(_, is_fixed)| *is_fixed);
        fixed.map(|(key, _)| *key)
    }

    /// Returns the JSON schema of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(SiteConfig);
        // A generated schema always serializes.
        let mut text = serde_json::to_string_pretty(&schema).unwrap_or_default();
        text.push('\n');
        text
    }
}

/// Returns the path of the key that the parser reports, or [`WHOLE_FILE`] if it reports none.
fn key_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    if path == "." || path.starts_with('?') {
        WHOLE_FILE.to_owned()
    } else {
        path
    }
}

#[cfg(test)]
mod tests;
