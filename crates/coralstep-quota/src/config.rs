//! What operators state of a limit, and its check when the settings are read.
//!
//! `rename` and `expecting` keep the names that the schema and messages of faulty settings have for the types.
mod consistency;
mod error;
mod resolve;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use error::LimitConfigError;
pub use resolve::{KnownNames, resolve_limits};

/// The settings of a limit: RPCs of a tenant, a method, a dependency, or of what is all of these, for the whole
/// fleet. Either `rps` (with `burst`) or `in_flight` is set.
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
    /// Its name, by which operators see it: 1 to 64 bytes, unique among the limits.
    #[schemars(description = "Its name, by which operators see it.")]
    pub name: String,
    /// Name of the tenant whose RPCs it is for; of all tenants where left out.
    #[serde(default)]
    #[schemars(description = "")]
    pub tenant: Option<String>,
    /// Name of the method whose RPCs it is for; of all methods where left out.
    #[serde(default)]
    #[schemars(description = "")]
    pub method: Option<String>,
    /// Name of a dependency: only RPCs of methods that call it count.
    #[serde(default)]
    #[schemars(description = "RPCs of methods that call it.")]
    pub dependency: Option<String>,
    /// RPCs a second, 0.01 to 1,000,000.
    #[serde(default)]
    #[schemars(description = "RPCs a second, 0.01 to 1000000.")]
    pub rps: Option<f64>,
    /// RPCs at once on top of the rate, 2 to 1,000,000; one second's worth where left out, 2 at the least.
    #[serde(default)]
    #[schemars(
        description = "RPCs at once, on top; one second's worth where left out, 2 at the least."
    )]
    pub burst: Option<u32>,
    /// RPCs that are read and not yet answered, 1 to 1,000,000.
    #[serde(default, rename = "in_hand")]
    #[schemars(description = "RPCs that are read and not answered, 1 to 1000000.")]
    pub in_flight: Option<u32>,
    /// What a server admits that no leader grants anything; [`CutOff::Strict`] where left out.
    #[serde(default)]
    #[schemars(description = "What a server does that nobody gives anything.")]
    pub cut_off: CutOff,
}

/// What a server admits of a limit while it is cut off from whoever grants quota; the rule is in
/// [`crate::cut_off`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "What a server that is cut off admits.")]
pub enum CutOff {
    /// What it has been granted, until the lease ends; then nothing. The limit holds always.
    #[default]
    #[schemars(
        description = "What it has, until its lease ends; then nothing. The limit holds always."
    )]
    Strict,
    /// Some RPCs all the same, beyond the limit.
    #[schemars(
        description = "So many a second (or in hand) all the same, and all servers together no more than `most`, divided by the members it knew."
    )]
    Open {
        /// At one server: RPCs a second of a rate, RPCs in flight otherwise; 0 to 1,000,000.
        #[serde(rename = "each")]
        #[schemars(description = "")]
        per_server: f64,
        /// At all servers together, in the same unit; each takes this divided by the members that it knew.
        #[serde(rename = "most")]
        #[schemars(description = "")]
        fleet_total: f64,
    },
}

#[cfg(test)]
mod tests;
