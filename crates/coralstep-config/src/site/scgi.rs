//! The `scgi` section: listeners for SCGI callers.
use std::collections::HashSet;
use std::net::SocketAddr;

use coralstep_route::RouteTable;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{SiteError, check_range};
use crate::Names;

/// Maximum of the configurable body limit, in KB; each open RPC may have a body in memory.
const MAX_BODY_KB: u32 = 64;
/// Maximum memory that one RPC may reserve, in KB.
const MAX_MEMORY_KB: f64 = 2_000.0;
/// Maximum number of listeners.
const MAX_LISTENERS: usize = 16;
/// Headers that the protocol itself uses.
const RESERVED_HEADERS: [&str; 4] = ["CONTENT_LENGTH", "SCGI", "REQUEST_METHOD", "PATH_INFO"];
/// Request methods of a health check.
const HEALTH_CHECK_METHODS: [&str; 2] = ["GET", "HEAD"];

/// Configuration of the listeners for SCGI callers.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "ScgiTerms",
    expecting = "struct ScgiTerms"
)]
#[schemars(description = "")]
pub struct ScgiConfig {
    /// Addresses and ports to listen on. Changes with a restart.
    pub listen: Vec<SocketAddr>,
    /// Networks whose peers may state a tenant, the room that an RPC takes, and how long it has been under way.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub trusted: Vec<IpNet>,
    /// Which verb and path lead to which method.
    pub routes: Vec<RouteConfig>,
    /// The path that answers 200 while the server is healthy and 503 while it isn't.
    #[serde(default = "default_health_path")]
    pub health: String,
    /// Names of the headers that carry what the scheduler needs.
    #[serde(default)]
    #[schemars(description = "")]
    pub headers: HeaderNames,
    /// Memory booked for an RPC whose caller states none, in KB.
    #[serde(default = "default_memory_kb")]
    pub room_kb: f64,
    /// The longest body, in KB.
    #[serde(default = "default_body_kb")]
    pub body_kb: u32,
}

fn default_health_path() -> String {
    "/health".to_owned()
}

const fn default_memory_kb() -> f64 {
    32.0
}

pub(super) const fn default_body_kb() -> u32 {
    8
}

/// A route from a request method and path to a method.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "RouteTerms",
    expecting = "struct RouteTerms"
)]
#[schemars(description = "")]
pub struct RouteConfig {
    /// Capital letters, or `*` for any.
    pub verb: String,
    /// Segments: a word, `{name}` for any one, a last `*` for all that follows.
    pub path: String,
    /// A method, as the settings name it.
    pub method: String,
}

/// Which SCGI header carries what; the names as they stand in the request.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    default,
    rename = "HeaderTerms",
    expecting = "struct HeaderTerms"
)]
pub struct HeaderNames {
    /// The tenant.
    #[schemars(description = "")]
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

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
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

impl HeaderNames {
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

impl ScgiConfig {
    pub(super) fn check(&self, names: &Names) -> Result<(), SiteError> {
        check_range("scgi.listen", self.listen.len(), 1, MAX_LISTENERS)?;
        check_range("scgi.room_kb", self.room_kb, 0.1, MAX_MEMORY_KB)?;
        check_range("scgi.body_kb", self.body_kb, 1, MAX_BODY_KB)?;
        let mut taken = HashSet::from(RESERVED_HEADERS);
        for (key, name) in self.headers.all() {
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err(SiteError::invalid(
                    format!("scgi.headers.{key}"),
                    format!("{name:?} is no name of a header"),
                ));
            }
            if !taken.insert(name) {
                return Err(SiteError::invalid(
                    format!("scgi.headers.{key}"),
                    format!("{name} is taken"),
                ));
            }
        }
        self.routes(names).map(|_| ())
    }

    /// Builds the route table; its methods are indices into `names.methods`.
    ///
    /// # Errors
    /// Fails if there is no route, or a route names an unknown method or is invalid.
    pub fn routes(&self, names: &Names) -> Result<RouteTable<RouteTarget>, SiteError> {
        if self.routes.is_empty() {
            return Err(SiteError::invalid("scgi.routes", "none"));
        }
        let mut table = RouteTable::default();
        for (index, route) in self.routes.iter().enumerate() {
            let key = format!("scgi.routes[{index}]");
            let method = names
                .methods
                .iter()
                .position(|method| *method == route.method)
                .ok_or_else(|| {
                    SiteError::invalid(
                        format!("{key}.method"),
                        format!("{:?} is unknown", route.method),
                    )
                })?;
            table
                .insert(&route.verb, &route.path, RouteTarget::Method(method))
                .map_err(|source| SiteError::Route { key, source })?;
        }
        for verb in HEALTH_CHECK_METHODS {
            table
                .insert(verb, &self.health, RouteTarget::Health)
                .map_err(|source| SiteError::Route {
                    key: "scgi.health".to_owned(),
                    source,
                })?;
        }
        Ok(table)
    }
}

/// Target of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// Index of a method in the settings.
    Method(usize),
    /// The health check.
    Health,
}
