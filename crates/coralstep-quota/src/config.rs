//! Settings of limits and their validation.
//!
//! The `rename` and `expecting` attributes keep the type names that appear in the JSON schema and in error messages.
mod consistency;
mod error;
mod resolve;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use error::LimitConfigError;
pub use resolve::{KnownNames, resolve_limits};

/// Settings of a fleet-wide limit on RPCs that match all of a tenant, a method and a dependency, as far as they are
/// set. Either `rps` (with `burst`) or `in_flight` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(
    rename = "LimitTerms",
    expecting = "struct LimitTerms",
    deny_unknown_fields
)]
#[schemars(
    description = "RPCs of a tenant, a method, a dependency, or of what is all of these, for the whole fleet: `rps` with `burst`, or `in_hand`."
)]
pub struct LimitConfig {
    /// Name shown to operators: 1 to 64 bytes, unique among the limits.
    #[schemars(description = "Its name, by which operators see it.")]
    pub name: String,
    /// Name of the tenant whose RPCs are limited; all tenants if omitted.
    #[serde(default)]
    #[schemars(description = "")]
    pub tenant: Option<String>,
    /// Name of the method whose RPCs are limited; all methods if omitted.
    #[serde(default)]
    #[schemars(description = "")]
    pub method: Option<String>,
    /// Name of a dependency; only RPCs of methods that call it count.
    #[serde(default)]
    #[schemars(description = "RPCs of methods that call it.")]
    pub dependency: Option<String>,
    /// RPCs per second, 0.01 to 1,000,000.
    #[serde(default)]
    #[schemars(description = "RPCs a second, 0.01 to 1000000.")]
    pub rps: Option<f64>,
    /// Burst in RPCs, 2 to 1,000,000. The default is the RPCs of one second, but at least 2.
    #[serde(default)]
    #[schemars(
        description = "RPCs at once, on top; one second's worth where left out, 2 at the least."
    )]
    pub burst: Option<u32>,
    /// Maximum number of RPCs that have been read and not yet answered, 1 to 1,000,000.
    #[serde(default, rename = "in_hand")]
    #[schemars(description = "RPCs that are read and not answered, 1 to 1000000.")]
    pub in_flight: Option<u32>,
    /// What a server admits while no leader grants it units; [`CutOff::Strict`] if omitted.
    #[serde(default)]
    #[schemars(description = "What a server does that nobody gives anything.")]
    pub cut_off: CutOff,
}

/// What a server admits while it is cut off from the quota leader; see [`crate::cut_off`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "What a server that is cut off admits.")]
pub enum CutOff {
    /// The units that it was granted until their lease ends, then nothing. The limit always holds.
    #[default]
    #[schemars(
        description = "What it has, until its lease ends; then nothing. The limit holds always."
    )]
    Strict,
    /// A further allowance, which may exceed the limit.
    #[schemars(
        description = "So many a second (or in hand) all the same, and all servers together no more than `most`, divided by the members it knew."
    )]
    Open {
        /// Allowance of one server: RPCs per second for a rate limit, RPCs in flight otherwise; 0 to 1,000,000.
        #[serde(rename = "each")]
        #[schemars(description = "")]
        per_server: f64,
        /// Allowance of all servers together, in the same unit. Each server takes this divided by the largest number
        /// of members that it has known.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        fleet_total: f64,
    },
}

#[cfg(test)]
mod tests;
