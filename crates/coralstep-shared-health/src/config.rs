//! Settings of health sharing.
use schemars::JsonSchema;
use serde::Deserialize;

/// Which conclusions are drawn from peer reports; all of them by default.
///
/// Keys, names and descriptions of the settings and their schema are those that operators know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Parts", description = "Which parts hold.")]
pub struct SharingConfig {
    /// Whether probe calls come at one rate from the whole fleet.
    #[serde(rename = "trials")]
    #[schemars(description = "Trials come at one rate from the whole fleet.")]
    pub limit_probe_rate: bool,
    /// Whether reports of recovery end cooldowns in steps.
    #[serde(rename = "serves")]
    #[schemars(description = "News that it serves again ends cooldowns in steps.")]
    pub follow_recovery: bool,
    /// Whether reports of failure let a breaker open on fewer outcomes of its own.
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
