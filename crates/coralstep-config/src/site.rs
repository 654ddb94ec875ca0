//! The operator's own file: what the platform's configuration has no place for. JSON of one shape, told by the schema that
//! `coralstep schema` prints; unknown keys are refused, and each message names the faulty key by its path.
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use coralstep_degradation::LevelTerms;
use coralstep_quota::terms::look_up;
use coralstep_quota::{Limit, LimitTerms};
use coralstep_route::RouteTable;
use coralstep_shared_health::SharingConfig;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::Names;

/// The longest body that may be allowed, in KB: each open RPC may hold one.
const BODY_MOST_KB: u32 = 64;
/// The most that one RPC may be said to book, in KB.
const ROOM_MOST_KB: f64 = 2_000.0;
/// Applications and listeners at the most.
const APPLICATIONS_MOST: usize = 4_096;
const LISTENERS_MOST: usize = 16;

#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "coralstep site file")]
pub struct SiteTerms {
    /// The schema of this file, for editors.
    #[serde(rename = "$schema", default)]
    pub schema: Option<String>,
    /// Callers that speak SCGI.
    #[serde(default)]
    pub scgi: Option<ScgiTerms>,
    /// SCGI applications that run the RPCs, in place of an engine.
    #[serde(default)]
    pub applications: Option<ApplicationTerms>,
    /// Levels of reduced service; `{}` takes the built-in ones. Without it there are none.
    #[serde(default)]
    pub levels: Option<LevelTerms>,
    /// Where operators ask.
    #[serde(default)]
    pub operator: Option<OperatorTerms>,
    /// What is kept over a restart; without it nothing is.
    #[serde(default)]
    pub state: Option<StateTerms>,
    /// How this server hears the others of its fleet; without it nothing is opened.
    #[serde(default)]
    pub fleet: Option<FleetTerms>,
    /// Limits that hold for the whole fleet; without a `fleet` there are none.
    #[serde(default)]
    pub limits: Option<Vec<LimitTerms>>,
    #[serde(default)]
    pub log: LogTerms,
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StateTerms {
    /// A folder of this server alone, made where there is none. Changes with a restart.
    pub folder: PathBuf,
    /// Seconds between two snapshots of what was learned: the most learning that a crash costs. 1 to 3600.
    #[serde(default = "every_s")]
    pub every_s: u32,
}

fn every_s() -> u32 {
    10
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetTerms {
    /// The fleet's name: servers of another one are not heard.
    pub name: String,
    /// Where datagrams come in (UDP). Changes with a restart, as all of this section.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where peers reach it; `listen` where left out.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// Where others may be found at the start.
    #[schemars(with = "Vec<String>")]
    pub peers: Vec<SocketAddr>,
    /// Datagrams from elsewhere are not read.
    #[serde(default = "loopback")]
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<IpNet>,
    /// Seconds behind the version to be acted on before this server is shut out. 1 to 3600.
    #[serde(default = "thirty")]
    pub behind_s: u32,
    /// Seconds without any other member before `silent` holds. 1 to 3600.
    #[serde(default = "thirty")]
    pub silent_s: u32,
    /// What it does where it hears nobody.
    #[serde(default)]
    pub silent: Silent,
    /// Names of the servers that may give shares of the limits, one at a time: one, three or five, the same list on all servers.
    #[serde(default)]
    pub keepers: Vec<String>,
    /// How long a share of RPCs in hand is good for, in milliseconds: longer than any deadline that a limit is for. The same on all servers.
    #[serde(default = "lease")]
    pub lease_ms: u32,
    /// What servers tell each other of their dependencies is gone by; `{}` for all of it, without it nothing is told.
    #[serde(default)]
    pub verdicts: Option<SharingConfig>,
    /// For tests alone: the wall clock may be stepped by the operators' door.
    #[serde(default)]
    pub clock_steps: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Silent {
    #[default]
    Serve,
    ShutOut,
}

fn loopback() -> Vec<IpNet> {
    ["127.0.0.0/8", "::1/128"]
        .iter()
        .filter_map(|net| net.parse().ok())
        .collect()
}

fn lease() -> u32 {
    10_000
}

fn thirty() -> u32 {
    30
}

/// Of a lease, the part that two rounds of asking may take up.
fn fleet_round(lease_ms: u32) -> u64 {
    u64::from(lease_ms / 8).min(2_000)
}

/// Servers that may give shares.
const KEEPERS_MOST: usize = 9;
/// Peers and networks at the most.
const PEERS_MOST: usize = 256;

impl FleetTerms {
    fn check(&self) -> Result<(), String> {
        within("fleet.name", self.name.len(), 1, 64)?;
        within("fleet.peers", self.peers.len(), 0, PEERS_MOST)?;
        within("fleet.networks", self.networks.len(), 1, PEERS_MOST)?;
        within("fleet.behind_s", self.behind_s, 1, 3_600)?;
        within("fleet.silent_s", self.silent_s, 1, 3_600)?;
        within("fleet.lease_ms", self.lease_ms, 2_000, 600_000)?;
        within("fleet.keepers", self.keepers.len(), 0, KEEPERS_MOST)?;
        if let Some(name) = self
            .keepers
            .iter()
            .find(|name| name.is_empty() || name.len() > 64)
        {
            return Err(format!("fleet.keepers: {name:?} is no name"));
        }
        let different: HashSet<&String> = self.keepers.iter().collect();
        if different.len() < self.keepers.len() {
            return Err("fleet.keepers: a name comes twice".to_owned());
        }
        let at = self.advertise.unwrap_or(self.listen);
        if at.ip().is_unspecified() {
            return Err(format!("fleet.advertise: nobody reaches {at}"));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperatorTerms {
    /// A loopback address and port, or `unix:` and a path. Changes with a restart.
    #[schemars(with = "String")]
    pub listen: Listen,
}

/// A loopback address, or a Unix socket's path.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Listen {
    Address(SocketAddr),
    Path(PathBuf),
}

impl FromStr for Listen {
    type Err = String;

    fn from_str(text: &str) -> Result<Listen, String> {
        if let Some(path) = text.strip_prefix("unix:").filter(|path| !path.is_empty()) {
            return Ok(Listen::Path(path.into()));
        }
        let address: SocketAddr = text
            .parse()
            .map_err(|_| format!("{text:?} is neither an address and port nor unix:PATH"))?;
        // Guards against a door for operators that anybody can knock at.
        if address.ip().is_loopback() {
            Ok(Listen::Address(address))
        } else {
            Err(format!("{address} is not on loopback"))
        }
    }
}

impl TryFrom<String> for Listen {
    type Error = String;

    fn try_from(text: String) -> Result<Listen, String> {
        text.parse()
    }
}

impl std::fmt::Display for Listen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Listen::Address(address) => address.fmt(f),
            Listen::Path(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogTerms {
    pub format: LogFormat,
    /// Least level by target: `info`, or `warn,level=info,signals=off`.
    pub levels: String,
}

impl Default for LogTerms {
    fn default() -> LogTerms {
        LogTerms {
            format: LogFormat::Text,
            levels: "info".to_owned(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    Text,
    /// A line of JSON an event.
    Json,
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ScgiTerms {
    /// Addresses and ports to listen on. Changes with a restart.
    pub listen: Vec<SocketAddr>,
    /// Networks whose peers may state a tenant, the room that an RPC takes, and how long it has been under way.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub trusted: Vec<IpNet>,
    /// Which verb and path lead to which method.
    pub routes: Vec<RouteTerms>,
    /// The path that answers 200 while the server is healthy and 503 while it isn't.
    #[serde(default = "health")]
    pub health: String,
    #[serde(default)]
    pub headers: HeaderTerms,
    /// Memory booked for an RPC whose caller states none, in KB.
    #[serde(default = "room")]
    pub room_kb: f64,
    /// The longest body, in KB.
    #[serde(default = "body")]
    pub body_kb: u32,
}

fn health() -> String {
    "/health".to_owned()
}

fn room() -> f64 {
    32.0
}

fn body() -> u32 {
    8
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteTerms {
    /// Capital letters, or `*` for any.
    pub verb: String,
    /// Segments: a word, `{name}` for any one, a last `*` for all that follows.
    pub path: String,
    /// A method, as the settings name it.
    pub method: String,
}

/// Which SCGI header carries what; the names as they stand in the request.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderTerms {
    pub tenant: String,
    /// Of the RPC: the same id is the same RPC.
    pub id: String,
    /// By which a repeat of a tokened RPC is known.
    pub token: String,
    /// When it came to the machine, in Unix milliseconds.
    pub arrived: String,
    /// How long its caller will wait from then on, in milliseconds.
    pub patience: String,
    /// `1` marks a further try.
    pub retry: String,
    /// From 0 to under 1.
    pub rank: String,
    /// Memory that it books, in KB.
    pub room: String,
}

impl Default for HeaderTerms {
    fn default() -> HeaderTerms {
        HeaderTerms {
            tenant: "HTTP_X_TENANT".to_owned(),
            id: "HTTP_X_REQUEST_ID".to_owned(),
            token: "HTTP_IDEMPOTENCY_KEY".to_owned(),
            arrived: "HTTP_X_ARRIVED_MS".to_owned(),
            patience: "HTTP_X_PATIENCE_MS".to_owned(),
            retry: "HTTP_X_RETRY".to_owned(),
            rank: "HTTP_X_RANK".to_owned(),
            room: "HTTP_X_ROOM_KB".to_owned(),
        }
    }
}

impl HeaderTerms {
    fn all(&self) -> [(&'static str, &str); 8] {
        [
            ("tenant", &self.tenant),
            ("id", &self.id),
            ("token", &self.token),
            ("arrived", &self.arrived),
            ("patience", &self.patience),
            ("retry", &self.retry),
            ("rank", &self.rank),
            ("room", &self.room),
        ]
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ApplicationTerms {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    /// The path that an application is asked for, by method; without one it is `/` and the method's name.
    #[serde(default)]
    pub paths: std::collections::BTreeMap<String, String>,
    /// The longest wait for a connection, in milliseconds.
    #[serde(default = "connect")]
    pub connect_ms: u32,
    /// RPCs in hand at one application at the most.
    #[serde(default = "each_most")]
    pub each_most: u32,
    /// Repeats as a part of first tries.
    #[serde(default = "repeats")]
    pub repeats: f64,
    /// Attempts of one RPC at the most.
    #[serde(default = "attempts")]
    pub attempts: u32,
    /// After its return an application gets its whole share only after so long, in milliseconds.
    #[serde(default = "slow_start")]
    pub slow_start_ms: u32,
    /// Attempts a second that an application takes when it has just come back, from all processes together; up to tenfold by the end of
    /// the slow start. 0 leaves it to the part of its share. 0 to 1000000.
    #[serde(default)]
    pub cold_rate: f64,
    /// How many processes like this one send to these applications; with a fleet, the least to be reckoned with. 1 to 100000.
    #[serde(default = "one")]
    pub processes: u32,
    /// The longest result, in KB.
    #[serde(default = "body")]
    pub result_kb: u32,
}

fn connect() -> u32 {
    500
}

fn each_most() -> u32 {
    64
}

fn repeats() -> f64 {
    0.1
}

fn attempts() -> u32 {
    3
}

fn one() -> u32 {
    1
}

fn slow_start() -> u32 {
    10_000
}

impl ApplicationTerms {
    pub fn connect(&self) -> Duration {
        Duration::from_millis(u64::from(self.connect_ms))
    }
}

/// A figure that must lie in a range; the message names its key.
fn within<T: PartialOrd + std::fmt::Display>(
    key: &str,
    value: T,
    least: T,
    most: T,
) -> Result<(), String> {
    if value >= least && value <= most {
        Ok(())
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

impl SiteTerms {
    /// Reads and checks a site file; `names` are those of the settings.
    pub fn parse(text: &str, names: &Names) -> Result<SiteTerms, String> {
        let site = SiteTerms::read(text)?;
        site.check(names)?;
        Ok(site)
    }

    /// Reads a site file whose names are not known.
    pub fn read(text: &str) -> Result<SiteTerms, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let site: SiteTerms = serde_path_to_error::deserialize(&mut reader).map_err(|why| {
            let path = why.path().to_string();
            let (path, why) = (
                if path == "." || path.starts_with('?') {
                    "site file".to_owned()
                } else {
                    path
                },
                why.into_inner(),
            );
            format!("{path}: {why}")
        })?;
        reader.end().map_err(|why| format!("site file: {why}"))?;
        site.levels.as_ref().map_or(Ok(()), LevelTerms::check)?;
        Ok(site)
    }

    fn check(&self, names: &Names) -> Result<(), String> {
        self.scgi
            .as_ref()
            .map_or(Ok(()), |scgi| scgi.check(names))?;
        if let Some(state) = &self.state {
            within("state.every_s", state.every_s, 1, 3_600)?;
        }
        self.fleet.as_ref().map_or(Ok(()), FleetTerms::check)?;
        self.limits(names)?;
        self.applications
            .as_ref()
            .map_or(Ok(()), |applications| applications.check(names))
    }

    /// What a version of the fleet's settings would make of this site: only the sections that may change live, and only those that this
    /// server has.
    pub fn with_version(&self, content: &str, names: &Names) -> Result<SiteTerms, String> {
        let version = SiteTerms::read(content)?;
        let fixed = [
            ("operator", version.operator.is_some()),
            ("state", version.state.is_some()),
            ("fleet", version.fleet.is_some()),
            ("log", version.log != LogTerms::default()),
            ("levels", version.levels.is_some() && self.levels.is_none()),
            ("scgi", version.scgi.is_some() && self.scgi.is_none()),
            (
                "applications",
                version.applications.is_some() && self.applications.is_none(),
            ),
        ];
        if let Some((key, _)) = fixed.iter().find(|(_, named)| *named) {
            return Err(format!("{key}: changes only with a restart"));
        }
        let mut site = self.clone();
        site.levels = version.levels.or(site.levels);
        site.limits = version.limits.or(site.limits);
        site.applications = version.applications.or(site.applications);
        if let (Some(mut scgi), Some(old)) = (version.scgi, &self.scgi) {
            // Where it listens stays; routes and all else are the version's.
            scgi.listen.clone_from(&old.listen);
            site.scgi = Some(scgi);
        }
        site.check(names)?;
        Ok(site)
    }

    /// The limits, their names looked up.
    pub fn limits(&self, names: &Names) -> Result<Vec<Limit>, String> {
        let Some(terms) = self.limits.as_ref().filter(|terms| !terms.is_empty()) else {
            return Ok(Vec::new());
        };
        let fleet = self
            .fleet
            .as_ref()
            .ok_or("limits: without a fleet there is nobody to share them")?;
        if fleet.keepers.is_empty() {
            return Err("limits: fleet.keepers names nobody who could give shares".to_owned());
        }
        let limits = look_up(
            terms,
            &coralstep_quota::terms::Names {
                methods: &names.methods,
                calls: &names.calls,
                tenants: &names.tenants,
                dependencies: &["store".to_owned()],
            },
        )?;
        // A share of what is in hand is used only for RPCs that are over before its lease is.
        for (at, limit) in limits.iter().enumerate() {
            if matches!(limit.kind, coralstep_quota::Kind::Rate { .. }) {
                continue;
            }
            let longest = names
                .deadlines_ms
                .iter()
                .enumerate()
                .filter(|(method, _)| limit.method.is_none_or(|of| of == *method))
                .map(|(_, ms)| *ms)
                .max();
            let lease = coralstep_quota::bounds::shrunk(u64::from(fleet.lease_ms))
                - fleet_round(fleet.lease_ms);
            if let Some(longest) = longest.filter(|longest| *longest > lease) {
                return Err(format!(
                    "limits[{at}].in_hand: unreachable, a deadline of {longest} ms is longer than fleet.lease_ms less two rounds, {lease}"
                ));
            }
        }
        Ok(limits)
    }

    /// The schema of the file, as JSON text.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(SiteTerms);
        // A schema made of these types is JSON.
        let mut text = serde_json::to_string_pretty(&schema).unwrap_or_default();
        text.push('\n');
        text
    }
}

impl ScgiTerms {
    fn check(&self, names: &Names) -> Result<(), String> {
        within("scgi.listen", self.listen.len(), 1, LISTENERS_MOST)?;
        within("scgi.room_kb", self.room_kb, 0.1, ROOM_MOST_KB)?;
        within("scgi.body_kb", self.body_kb, 1, BODY_MOST_KB)?;
        let mut seen = HashSet::from(["CONTENT_LENGTH", "SCGI", "REQUEST_METHOD", "PATH_INFO"]);
        for (key, name) in self.headers.all() {
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err(format!(
                    "scgi.headers.{key}: {name:?} is no name of a header"
                ));
            }
            if !seen.insert(name) {
                return Err(format!("scgi.headers.{key}: {name} is taken"));
            }
        }
        self.routes(names).map(|_| ())
    }

    /// The routes, each to a method's index.
    pub fn routes(&self, names: &Names) -> Result<RouteTable<Target>, String> {
        let mut routes = RouteTable::default();
        if self.routes.is_empty() {
            return Err("scgi.routes: none".to_owned());
        }
        for (at, route) in self.routes.iter().enumerate() {
            let method = names
                .methods
                .iter()
                .position(|method| *method == route.method);
            let method = method.ok_or_else(|| {
                format!("scgi.routes[{at}].method: {:?} is unknown", route.method)
            })?;
            let taken = routes.insert(&route.verb, &route.path, Target::Method(method));
            taken.map_err(|why| format!("scgi.routes[{at}]: {why}"))?;
        }
        for verb in ["GET", "HEAD"] {
            let taken = routes.insert(verb, &self.health, Target::Health);
            taken.map_err(|why| format!("scgi.health: {why}"))?;
        }
        Ok(routes)
    }
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Method(usize),
    Health,
}

impl ApplicationTerms {
    fn check(&self, names: &Names) -> Result<(), String> {
        within(
            "applications.addresses",
            self.addresses.len(),
            1,
            APPLICATIONS_MOST,
        )?;
        let mut seen = HashSet::new();
        for (at, address) in self.addresses.iter().enumerate() {
            if !seen.insert(address) {
                return Err(format!(
                    "applications.addresses[{at}]: {address} comes twice"
                ));
            }
        }
        for (method, path) in &self.paths {
            if !names.methods.contains(method) {
                return Err(format!("applications.paths.{method}: no such method"));
            }
            if !path.starts_with('/') || path.contains('\0') {
                return Err(format!("applications.paths.{method}: {path:?} is no path"));
            }
        }
        within("applications.connect_ms", self.connect_ms, 1, 60_000)?;
        within("applications.each_most", self.each_most, 1, 1 << 20)?;
        within("applications.repeats", self.repeats, 0.0, 1.0)?;
        within("applications.attempts", self.attempts, 1, 10)?;
        within("applications.slow_start_ms", self.slow_start_ms, 0, 600_000)?;
        within("applications.cold_rate", self.cold_rate, 0.0, 1e6)?;
        within("applications.processes", self.processes, 1, 100_000)?;
        within("applications.result_kb", self.result_kb, 1, 1_024)
    }
}

#[cfg(test)]
mod tests;
