//! The `state` section: state that persists across restarts.
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{SiteError, check_range};

/// Configuration of persisted state.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "StateTerms",
    expecting = "struct StateTerms"
)]
#[schemars(description = "")]
pub struct StateConfig {
    /// A folder of this server alone, made where there is none. Changes with a restart.
    pub folder: PathBuf,
    /// Seconds between two snapshots of what was learned: the most learning that a crash costs. 1 to 3600.
    #[serde(default = "default_snapshot_interval_s")]
    pub every_s: u32,
}

const fn default_snapshot_interval_s() -> u32 {
    10
}

impl StateConfig {
    pub(super) fn check(&self) -> Result<(), SiteError> {
        check_range("state.every_s", self.every_s, 1, 3_600)
    }
}
