//! The `fleet` section: membership, leases and shared health.
use std::collections::HashSet;
use std::net::SocketAddr;

use coralstep_shared_health::SharingConfig;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{SiteError, check_range};

/// Configuration of the fleet that this server is a member of.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "FleetTerms",
    expecting = "struct FleetTerms"
)]
#[schemars(description = "")]
pub struct FleetSection {
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
    #[serde(default = "loopback_networks")]
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<IpNet>,
    /// Seconds behind the version to be acted on before this server is shut out. 1 to 3600.
    #[serde(default = "default_silence_s")]
    pub behind_s: u32,
    /// Seconds without any other member before `silent` holds. 1 to 3600.
    #[serde(default = "default_silence_s")]
    pub silent_s: u32,
    /// What it does where it hears nobody.
    #[serde(default)]
    pub silent: IsolationPolicy,
    /// Names of the servers that may give shares of the limits, one at a time: one, three or five, the same list on all servers.
    #[serde(default)]
    pub keepers: Vec<String>,
    /// How long a share of RPCs in hand is good for, in milliseconds: longer than any deadline that a limit is for. The same on all servers.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u32,
    /// What servers tell each other of their dependencies is gone by; `{}` for all of it, without it nothing is told.
    #[serde(default)]
    pub verdicts: Option<SharingConfig>,
    /// For tests alone: the wall clock may be stepped by the operators' door.
    #[serde(default)]
    pub clock_steps: bool,
}

/// What a server does while it receives nothing from other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(
    rename_all = "snake_case",
    rename = "Silent",
    expecting = "enum Silent"
)]
#[schemars(description = "")]
#[allow(
    missing_docs,
    reason = "doc comments of variants would change the schema"
)]
pub enum IsolationPolicy {
    // Continues to serve.
    #[default]
    Serve,
    // Rejects all requests until it receives from a member again.
    #[serde(rename = "shut_out")]
    Exclude,
}

fn loopback_networks() -> Vec<IpNet> {
    ["127.0.0.0/8", "::1/128"]
        .iter()
        .filter_map(|net| net.parse().ok())
        .collect()
}

const fn default_lease_ms() -> u32 {
    10_000
}

const fn default_silence_s() -> u32 {
    30
}

/// Returns the time that two renewal rounds of a lease may take, in milliseconds.
pub(super) fn renewal_time_ms(lease_ms: u32) -> u64 {
    u64::from(lease_ms / 8).min(MAX_RENEWAL_TIME_MS)
}

/// Maximum of [`renewal_time_ms`].
const MAX_RENEWAL_TIME_MS: u64 = 2_000;

/// Maximum number of servers that may hold the lease of the limits.
const MAX_LEASE_HOLDERS: usize = 9;
/// Maximum number of peers, and of networks.
const MAX_PEERS: usize = 256;

/// Maximum length of the name of a fleet or a server, in bytes.
const MAX_NAME_BYTES: usize = 64;

impl FleetSection {
    pub(super) fn check(&self) -> Result<(), SiteError> {
        check_range("fleet.name", self.name.len(), 1, MAX_NAME_BYTES)?;
        check_range("fleet.peers", self.peers.len(), 0, MAX_PEERS)?;
        check_range("fleet.networks", self.networks.len(), 1, MAX_PEERS)?;
        check_range("fleet.behind_s", self.behind_s, 1, 3_600)?;
        check_range("fleet.silent_s", self.silent_s, 1, 3_600)?;
        check_range("fleet.lease_ms", self.lease_ms, 2_000, 600_000)?;
        check_range("fleet.keepers", self.keepers.len(), 0, MAX_LEASE_HOLDERS)?;
        if let Some(name) = self
            .keepers
            .iter()
            .find(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
        {
            return Err(SiteError::invalid(
                "fleet.keepers",
                format!("{name:?} is no name"),
            ));
        }
        let distinct: HashSet<&String> = self.keepers.iter().collect();
        if distinct.len() < self.keepers.len() {
            return Err(SiteError::invalid("fleet.keepers", "a name comes twice"));
        }
        let address = self.advertise.unwrap_or(self.listen);
        if address.ip().is_unspecified() {
            return Err(SiteError::invalid(
                "fleet.advertise",
                format!("nobody reaches {address}"),
            ));
        }
        Ok(())
    }
}
