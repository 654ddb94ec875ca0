//! Settings of health sharing.
use schemars::JsonSchema;
use serde::Deserialize;

/// Selects how peer reports affect circuit breakers. Everything is enabled by default.
///
/// The names and descriptions in the settings and their JSON schema are a public interface, so they
/// are fixed by attributes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Parts", description = "Which parts hold.")]
pub struct SharingConfig {
    /// Whether the rate of probe calls is limited for the whole fleet.
    #[serde(rename = "trials")]
    #[schemars(description = "Trials come at one rate from the whole fleet.")]
    pub limit_probe_rate: bool,
    /// Whether recovery reports of peers end cooldowns in steps.
    #[serde(rename = "serves")]
    #[schemars(description = "News that it serves again ends cooldowns in steps.")]
    pub follow_recovery: bool,
    /// Whether failure reports of peers reduce the number of a breaker's own outcomes that it needs
    /// before it may open.
    #[serde(rename = "fails")]
    #[schemars(description = "News that it fails lets less evidence of one's own do.")]
    pub follow_failure: bool,
}

impl Default for SharingConfig {
    fn default() -> SharingConfig {
        SharingConfig {
            limit_probe_rate: true,
            follow_recovery: true,
            follow_failure: true,
        }
    }
}
