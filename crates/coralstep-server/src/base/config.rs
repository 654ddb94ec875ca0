//! The one place where configuration is read, checked and given defaults. Messages name the faulty key.
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coralstep::{Preemption, SchedulerConfig};
use coralstep_config::Names;
use coralstep_config::site::SiteConfig;
use coralstep_config::starvation;
use serde_json::Value;

use super::descriptors;

/// The limits where the configuration states none: the largest that are given anywhere.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// Descriptors that are not gateways': standard ones, reactor, listener, signals, control, two links to the engine.
const SOCKETS_OWN: usize = 16;
/// With fewer than so many nobody could be served.
const SOCKETS_LEAST: usize = SOCKETS_OWN + 4;
/// Part of the other descriptors that is left to calls, each of which has a connection of its own; as many as the settings
/// allow at once, up to the larger part.
const SOCKETS_CALLS: usize = 4;
const SOCKETS_CALLS_MOST: usize = 2;
/// Part of the callers' connections that may be there beyond their bound, while others leave.
const SPARE: usize = 32;
/// The notice to leave, where none is stated.
const STOP_MS: u64 = 3_000;
/// Bytes that any connection takes: what is read of it and about it, mostly less than a frame.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Bytes that one RPC may take: its body, that of its call, the command that carries it, its task.
const RPC_BYTES: usize = 16 * 1024;

/// Keys that a reload can't change.
const FIXED: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

/// What this process itself may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections from gateways, and how many more while others leave.
    pub connections: usize,
    pub spare: usize,
    /// Answers that callers have not read yet, in bytes, of all connections together.
    pub answers: usize,
    /// RPCs known at once, held, run or kept for their token.
    pub rpcs: usize,
    /// Results kept for repeats, in bytes.
    pub results: usize,
    /// Ids known, of RPCs that are here and of those that must not run again, at some 100 bytes each.
    pub ids: usize,
}

impl Limits {
    /// A quarter of the memory is for connections, a quarter for RPCs, an eighth for unread answers, an eighth for
    /// results; code and allocator have the rest.
    fn new(memory_mb: u64, descriptors: usize, calls: f64) -> Limits {
        let memory = (memory_mb as usize).saturating_mul(1 << 20);
        let sockets = descriptors.saturating_sub(SOCKETS_OWN);
        let calls = (calls as usize)
            .clamp(sockets / SOCKETS_CALLS, sockets / SOCKETS_CALLS_MOST)
            .max(1);
        let connections = (memory / 4 / CONNECTION_BYTES)
            .min(sockets.saturating_sub(calls))
            .max(2);
        let spare = (connections / SPARE).max(1);
        Limits {
            // Some that leave, and some that all came while none could be let go.
            connections: connections.saturating_sub(2 * spare).max(2),
            spare,
            answers: memory / 8,
            rpcs: (memory / 4 / RPC_BYTES).max(256),
            results: memory / 8,
            ids: (memory / 32 / 100).max(1024),
        }
    }
}

#[derive(Debug)]
pub struct Config {
    pub name: String,
    /// Where gateways connect; nowhere where all callers come another way.
    pub listen: Option<SocketAddr>,
    /// None where SCGI applications run the RPCs.
    pub engine: Option<SocketAddr>,
    pub store: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// From the notice to leave to the end.
    pub stop: Duration,
    pub limits: Limits,
    /// How many this process may have open.
    pub descriptors: usize,
    pub terms: SchedulerConfig,
    pub names: Names,
    /// What a reload can't change, each under its key.
    pub fixed: Vec<(&'static str, Value)>,
    /// What the operator's own file says, where there is one.
    pub site: SiteConfig,
}

/// The files that the configuration is read from, also again.
pub struct Source {
    config: PathBuf,
    site: Option<PathBuf>,
}

impl Source {
    /// The file at `path`, else the one that RELAY_CONFIG names; the operator's own file at `site`.
    pub fn new(path: Option<PathBuf>, site: Option<PathBuf>) -> Result<Source, String> {
        let path = path.or_else(|| env::var_os("RELAY_CONFIG").map(PathBuf::from));
        let config =
            path.ok_or_else(|| "RELAY_CONFIG: not set, and no --config given".to_owned())?;
        Ok(Source { config, site })
    }

    pub fn load(&self) -> Result<Config, String> {
        let read = |path: &PathBuf| {
            fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))
        };
        let site = self
            .site
            .as_ref()
            .map(|path| Ok::<_, String>((path, read(path)?)))
            .transpose()?;
        let mut config = Config::parse(&read(&self.config)?, descriptors::allowed(), |name| {
            env::var(name).ok()
        })
        .map_err(|why| format!("{}: {why}", self.config.display()))?;
        if let Some((path, text)) = site {
            let named = |error: &dyn std::error::Error| format!("{}: {error}", path.display());
            config.site = SiteConfig::parse(&text, &config.names).map_err(|error| named(&error))?;
            starvation::check(&config.site, None, &config.names, &config.terms)
                .map_err(|error| named(&error))?;
        }
        config
            .check()
            .map_err(|why| format!("{}: {why}", self.config.display()))?;
        Ok(config)
    }
}

impl Config {
    /// `variable` stands in for what the text leaves out; the system allows so many descriptors.
    pub fn parse(
        text: &str,
        allowed: usize,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let json: Value = serde_json::from_str(text).map_err(|why| format!("not JSON: {why}"))?;
        let word = |key: &str, name: &str| -> Result<String, String> {
            match &json[key] {
                Value::String(text) if !text.is_empty() => Ok(text.clone()),
                Value::Null => variable(name).ok_or_else(|| format!("{key}: missing")),
                other => Err(format!("{key}: {other} is no text")),
            }
        };
        let address = |key: &'static str, name: &str| -> Result<SocketAddr, String> {
            let text = word(key, name)?;
            text.parse()
                .map_err(|_| format!("{key}: {text:?} is no address and port"))
        };
        let may_lack = |key: &'static str, name: &str| -> Result<Option<SocketAddr>, String> {
            let there = !json[key].is_null() || variable(name).is_some();
            there.then(|| address(key, name)).transpose()
        };
        let seed = word("seed", "")?;
        let settings = json.get("settings").ok_or("settings: missing")?;
        let (terms, mut names) =
            coralstep_config::from_json(settings).map_err(|why| format!("settings: {why}"))?;
        names.instance = word("name", "RELAY_NAME")?;
        if terms.methods.is_empty() {
            return Err("settings.classes: names no class".to_owned());
        }
        if terms.methods.iter().any(|method| method.skip_value > 0.0) {
            return Err(
                "settings.domain.class_skip_worth: the engine can't go on without a call"
                    .to_owned(),
            );
        }
        if terms.preemption == Preemption::Pause {
            return Err(
                "settings.domain.preemption: the engine can't take a paused run up again"
                    .to_owned(),
            );
        }
        let calls = terms.methods.iter().any(|method| method.calls);
        let limits = &json["limits"];
        if !(limits.is_null() || limits.is_object()) {
            return Err(format!("limits: {limits} is no object"));
        }
        // Guards against a statement that the system does not keep: what it allows binds, too.
        let descriptors =
            (count(&limits["sockets"], "limits.sockets", SOCKETS)? as usize).min(allowed);
        if descriptors < SOCKETS_LEAST {
            return Err(format!(
                "limits.sockets: {descriptors} are too few, {SOCKETS_LEAST} at the least"
            ));
        }
        Ok(Config {
            name: names.instance.clone(),
            listen: may_lack("listen", "RELAY_LISTEN")?,
            engine: may_lack("engine", "")?,
            store: if calls || !json["store"].is_null() {
                Some(address("store", "")?)
            } else {
                None
            },
            control: may_lack("control", "")?,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed: {seed:?} is no hex number"))?,
            stop: Duration::from_millis(count(&json["stop_ms"], "stop_ms", STOP_MS)?),
            limits: Limits::new(
                count(&limits["memory_mb"], "limits.memory_mb", MEMORY_MB)?,
                descriptors,
                calls_at_once(&terms),
            ),
            descriptors,
            terms,
            names,
            fixed: FIXED.iter().map(|key| (*key, json[*key].clone())).collect(),
            site: SiteConfig::default(),
        })
    }

    /// What may only be left out where the operator's own file has something in its place.
    pub fn check(&self) -> Result<(), String> {
        let (scgi, applications) = (self.site.scgi.is_some(), self.site.applications.is_some());
        for (key, there) in [
            ("listen", self.listen.is_some() || scgi),
            ("engine", self.engine.is_some() || applications),
            ("control", self.control.is_some() || scgi || applications),
        ] {
            if !there {
                return Err(format!("{key}: missing"));
            }
        }
        Ok(())
    }
}

/// Calls that the decisions may have in hand at once: not more than runs that the cores survive, nor than the share.
fn calls_at_once(terms: &SchedulerConfig) -> f64 {
    let runs = f64::from(terms.cores) * terms.max_started_per_core.max(1.0);
    terms
        .dependency
        .share()
        .map_or(runs, |share| share.ceil().min(runs))
}

/// A whole number above 0.
fn count(value: &Value, key: &str, absent: u64) -> Result<u64, String> {
    match value {
        Value::Null => Ok(absent),
        value => {
            let number = value
                .as_f64()
                .filter(|number| *number >= 1.0 && *number < 1e12);
            number
                .map(|number| number as u64)
                .ok_or_else(|| format!("{key}: {value} is no number above 0"))
        }
    }
}

#[cfg(test)]
mod tests;
