//! SIGHUP: the configuration is read again, and the links move to the addresses that it now states.
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

use crate::base::config::{Config, Source};
use crate::base::endpoints::Endpoints;
use crate::callers::scgi::Scgi;
use crate::decisions::degradation::DegradationController;
use crate::note;
use crate::runs::applications::Applications;

/// From here on SIGHUP is waited for. Guards against a reload that ends the process, also before the configuration
/// was first read.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Hup])
}

/// What the operator's own file can change without a restart.
pub struct Movable {
    pub scgi: Option<Rc<Scgi>>,
    pub applications: Option<Rc<Applications>>,
    pub levels: Option<Rc<DegradationController>>,
    /// These sections are those of a version of the fleet's; the site file's stay behind them.
    pub versioned: Cell<bool>,
    /// The version's, where one was taken.
    pub holds: RefCell<Option<SiteConfig>>,
}

/// Takes up each new configuration; one that is at fault changes nothing.
pub async fn wait(
    mut signals: Signals,
    source: &Source,
    start: &Config,
    endpoints: &Endpoints,
    movable: &Movable,
) {
    while signals.next().await.is_some() {
        match source.load() {
            Ok(config) => {
                take_up(&config, start, endpoints);
                take_up_site(&config, start, movable);
            }
            Err(why) => note!("reload: {why}; all stays as it was"),
        }
    }
}

fn take_up(config: &Config, start: &Config, endpoints: &Endpoints) {
    for (key, _) in config
        .fixed
        .iter()
        .zip(&start.fixed)
        .filter(|(new, old)| new != old)
        .map(|(new, _)| new)
    {
        note!("reload: {key}: changes only with a restart");
    }
    endpoints.engine.set(config.engine);
    endpoints.store.set(config.store);
    endpoints.control.set(config.control);
    let named = |at: Option<SocketAddr>| at.map_or("nowhere".to_owned(), |at| at.to_string());
    let (engine, store, control) = (
        named(config.engine),
        named(config.store),
        named(config.control),
    );
    note!("reload: engine at {engine}, store at {store}, control plane at {control}");
}

/// The sections that a version may set are those of `site` from now on, or the first that can't be, and why.
fn put(site: &SiteConfig, names: &Names, movable: &Movable) -> Result<(), String> {
    if let (Some(levels), Some(terms)) = (&movable.levels, &site.levels) {
        levels.reload(terms)?;
    }
    if let (Some(front), Some(terms)) = (&movable.scgi, &site.scgi) {
        front.reload(terms, names)?;
    }
    if let (Some(applications), Some(terms)) = (&movable.applications, &site.applications) {
        applications.reload(terms);
    }
    Ok(())
}

/// Takes up a version of the fleet's settings on top of what the site file says, or says why not; then nothing has changed.
pub fn take_version(
    content: &str,
    site: &SiteConfig,
    names: &Names,
    terms: &SchedulerConfig,
    movable: &Movable,
) -> Result<(), String> {
    let new = site
        .with_version(content, names)
        .map_err(|error| error.to_string())?;
    starvation::check(&new, Some(site), names, terms).map_err(|error| error.to_string())?;
    let before = movable.holds.replace(Some(new.clone()));
    if let Err(why) = put(&new, names, movable) {
        // Guards against a version that is turned down and yet leaves some of its sections behind.
        let old = before.clone().unwrap_or_else(|| site.clone());
        movable.holds.replace(before);
        return match put(&old, names, movable) {
            Ok(()) => Err(why),
            Err(worse) => Err(format!("{why}; and what was there before: {worse}")),
        };
    }
    movable.versioned.set(true);
    Ok(())
}

fn take_up_site(config: &Config, start: &Config, movable: &Movable) {
    let (new, old) = (&config.site, &start.site);
    let listens = |site: &SiteConfig| site.scgi.as_ref().map(|scgi| scgi.listen.clone());
    let sections = [
        ("scgi.listen", listens(new) != listens(old)),
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
        note!("reload: {key}: changes only with a restart, or where it may, a version");
    }
    if movable.versioned.get() {
        // Guards against a server that says it acts on a version and has the file's settings.
        return note!(
            "reload: levels, scgi and applications are those of the fleet's version; the file's are not taken"
        );
    }
    if let (Some(front), Some(terms)) = (&movable.scgi, &new.scgi) {
        // It was checked when it was read.
        if let Err(why) = front.reload(terms, &config.names) {
            note!("reload: {why}");
        }
    }
    if let (Some(levels), Some(terms)) = (&movable.levels, &new.levels)
        && old.levels.as_ref() != Some(terms)
        && let Err(why) = levels.reload(terms)
    {
        note!("reload: {why}");
    }
    if let (Some(applications), Some(terms)) = (&movable.applications, &new.applications) {
        applications.reload(terms);
        note!("reload: {} applications", terms.addresses.len());
    }
}
