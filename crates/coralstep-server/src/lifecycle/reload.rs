//! Configuration reload: SIGHUP reads the files again, and a version of the fleet's settings replaces
//! some sections of the site file.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use coralstep::SchedulerConfig;
use coralstep_config::Names;
use coralstep_config::site::SiteConfig;
use coralstep_config::starvation;
use futures_lite::StreamExt;
use thiserror::Error;

use crate::base::config::{Config, ConfigFiles};
use crate::base::endpoints::Endpoints;
use crate::callers::scgi::ScgiProtocol;
use crate::decisions::degradation::DegradationController;
use crate::note;
use crate::runs::applications::Applications;

/// Installs a handler for SIGHUP.
///
/// Guards against a SIGHUP that ends the process, even before the configuration is first read.
///
/// # Errors
/// Returns an error if the handler can't be installed.
pub fn catch_signals() -> io::Result<Signals> {
    Signals::new([Signal::Hup])
}

/// The parts of the server that apply new sections of the site file without a restart.
pub struct ReloadableParts {
    /// The SCGI protocol for callers.
    pub scgi: Option<Rc<ScgiProtocol>>,
    /// The pool of applications that run RPCs.
    pub applications: Option<Rc<Applications>>,
    /// Degradation levels.
    pub levels: Option<Rc<DegradationController>>,
    /// Whether a version of the fleet's settings is active, so that the sections of the site file
    /// are ignored.
    pub version_active: Cell<bool>,
    /// The site file with the sections of the version.
    pub versioned_site: RefCell<Option<SiteConfig>>,
}

/// Why a version of the fleet's settings is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VersionError {
    /// The version is invalid.
    #[error("{0}")]
    Config(String),
    /// A part rejected its section; the previous sections were restored.
    #[error("{0}")]
    Rejected(String),
    /// A part rejected its section, and restoring the previous sections failed.
    #[error("{apply_error}; restoring the previous sections failed: {restore_error}")]
    NotRestored {
        /// Why the new section was rejected.
        apply_error: String,
        /// Why the previous section was rejected.
        restore_error: String,
    },
}

impl ReloadableParts {
    /// Applies a version of the fleet's settings on top of the site file `site`.
    ///
    /// # Errors
    /// Returns an error if the version is invalid or a part rejects its section. The previous
    /// sections are then restored.
    pub fn apply_version(
        &self,
        content: &str,
        site: &SiteConfig,
        names: &Names,
        config: &SchedulerConfig,
    ) -> Result<(), VersionError> {
        let new = site
            .with_version(content, names)
            .map_err(|error| VersionError::Config(error.to_string()))?;
        starvation::check(&new, Some(site), names, config)
            .map_err(|error| VersionError::Config(error.to_string()))?;
        let previous = self.versioned_site.replace(Some(new.clone()));
        let Err(apply_error) = self.apply(&new, names) else {
            self.version_active.set(true);
            return Ok(());
        };
        // Guards against a rejected version of which some sections stay in effect.
        let old = previous.clone().unwrap_or_else(|| site.clone());
        self.versioned_site.replace(previous);
        match self.apply(&old, names) {
            Ok(()) => Err(VersionError::Rejected(apply_error)),
            Err(restore_error) => Err(VersionError::NotRestored {
                apply_error,
                restore_error,
            }),
        }
    }

    /// Applies the sections of `site` to their parts. Stops at the first part that rejects its
    /// section.
    fn apply(&self, site: &SiteConfig, names: &Names) -> Result<(), String> {
        if let (Some(levels), Some(section)) = (&self.levels, &site.levels) {
            levels.reload(section).map_err(|error| error.to_string())?;
        }
        if let (Some(scgi), Some(section)) = (&self.scgi, &site.scgi) {
            scgi.reload(section, names)
                .map_err(|error| error.to_string())?;
        }
        if let (Some(applications), Some(section)) = (&self.applications, &site.applications) {
            applications.reload(section);
        }
        Ok(())
    }

    /// Applies the sections of a site file that was read again.
    fn apply_site_file(&self, new: &Config, initial: &Config) {
        if self.version_active.get() {
            // Guards against a server that reports a version as active but uses the file's settings.
            return note!(
                "reload: sections of the fleet's version stay, those of the file are ignored"
            );
        }
        let site = &new.site;
        if let (Some(scgi), Some(section)) = (&self.scgi, &site.scgi)
            && let Err(error) = scgi.reload(section, &new.names)
        {
            note!(%error, "reload: scgi refused");
        }
        if let (Some(levels), Some(section)) = (&self.levels, &site.levels)
            && initial.site.levels.as_ref() != Some(section)
            && let Err(error) = levels.reload(section)
        {
            note!(%error, "reload: levels refused");
        }
        if let (Some(applications), Some(section)) = (&self.applications, &site.applications) {
            applications.reload(section);
            note!(
                count = section.addresses.len(),
                "reload: applications replaced"
            );
        }
    }
}

/// Reloads the files on each signal. Invalid files change nothing. `initial` is the configuration
/// with which the process started.
pub async fn run(
    mut signals: Signals,
    source: &ConfigFiles,
    initial: &Config,
    endpoints: &Endpoints,
    parts: &ReloadableParts,
) {
    while signals.next().await.is_some() {
        match source.load() {
            Ok(new) => {
                log_restart_only_settings(&new, initial);
                replace_endpoints(&new, endpoints);
                log_restart_only_sections(&new.site, &initial.site);
                parts.apply_site_file(&new, initial);
            }
            Err(error) => note!(%error, "reload failed, nothing changed"),
        }
    }
}

fn log_restart_only_settings(new: &Config, initial: &Config) {
    let settings = new.restart_only.iter().zip(&initial.restart_only);
    for (setting, _) in settings.filter(|(new, old)| new != old) {
        note!(
            key = setting.key,
            "reload: setting changes only with a restart"
        );
    }
}

fn replace_endpoints(new: &Config, endpoints: &Endpoints) {
    endpoints.engine.set(new.engine);
    endpoints.store.set(new.store);
    endpoints.control_plane.set(new.control_plane);
    let format_address = |address: Option<SocketAddr>| {
        address.map_or_else(|| "nowhere".to_owned(), |address| address.to_string())
    };
    note!(
        engine = format_address(new.engine),
        store = format_address(new.store),
        control_plane = format_address(new.control_plane),
        "reload: endpoints replaced"
    );
}

fn log_restart_only_sections(new: &SiteConfig, old: &SiteConfig) {
    let listeners = |site: &SiteConfig| site.scgi.as_ref().map(|scgi| scgi.listen.clone());
    let sections = [
        ("scgi.listen", listeners(new) != listeners(old)),
        (
            "applications",
            new.applications.is_some() != old.applications.is_some(),
        ),
        ("levels", new.levels.is_some() != old.levels.is_some()),
        ("operator", new.operator != old.operator),
        ("log", new.log != old.log),
        ("fleet", new.fleet != old.fleet),
        ("limits", new.limits != old.limits),
    ];
    for (key, _) in sections.iter().filter(|(_, differs)| *differs) {
        note!(
            key,
            "reload: section changes only with a restart or a version"
        );
    }
}
