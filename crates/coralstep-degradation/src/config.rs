//! What operators state of degradation levels.
//!
//! `rename` and `expecting` keep the names that the schema and messages of faulty settings have for the types.
mod built_in;
mod error;
mod validation;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use error::{ConditionPath, DegradationConfigError};

use crate::Signal;

/// When a level is entered and left: over one threshold and at or under another, each for a time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(
    description = "A level is entered over `enter` and left at or under `leave`, each for its time."
)]
pub struct Condition {
    /// The figure that it is about.
    #[schemars(description = "")]
    pub signal: Signal,
    /// Met while the smoothed figure is over this.
    #[schemars(description = "Met while the smoothed figure is over this.")]
    pub enter: f64,
    /// Cleared while the smoothed figure is at or under this; a tenth under `enter` at the least.
    #[schemars(description = "Gone while it is at or under this, which is less.")]
    pub leave: f64,
    /// Milliseconds for which it has to be met, 100 to 600,000.
    #[serde(default = "default_enter_ms")]
    #[schemars(description = "It must be met for so long, in milliseconds.")]
    pub enter_ms: u32,
    /// Milliseconds for which it has to be cleared, 100 to 600,000.
    #[serde(default = "default_leave_ms")]
    #[schemars(description = "It must be gone for so long, in milliseconds.")]
    pub leave_ms: u32,
}

fn default_enter_ms() -> u32 {
    3_000
}

fn default_leave_ms() -> u32 {
    10_000
}

/// What a level does, on top of what the server does anyway. RPCs that have run and are not idempotent are untouched
/// by all of it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(
    rename = "Does",
    expecting = "struct Does",
    deny_unknown_fields,
    default
)]
#[schemars(
    description = "What a level does, each on top of what the server does anyway. What has run with an effect is untouched by all of it."
)]
pub struct LevelActions {
    /// Rejects RPCs of methods under this priority weight.
    #[serde(rename = "least_criticality")]
    #[schemars(description = "RPCs of methods under this criticality are pushed back at once.")]
    pub min_priority_weight: f64,
    /// Admits only non-idempotent methods and those with an idempotency key.
    #[serde(rename = "effects_only")]
    #[schemars(description = "Only tokened and non-idempotent methods are let in.")]
    pub reject_idempotent: bool,
    /// Admits nothing.
    #[serde(rename = "closed")]
    #[schemars(description = "Nothing is let in.")]
    pub reject_all: bool,
    /// Leaves calls to the dependency out, where the settings say what an answer without them is worth.
    #[schemars(
        description = "Calls are left out where the settings say what an answer without them earns."
    )]
    pub skip_calls: bool,
    /// Limit of the admission queue, as a part of the usual one; 0 to 1.
    #[serde(rename = "hold")]
    #[schemars(description = "The hold limit, as a part of the usual one.")]
    pub queue_limit_factor: f64,
    /// Free capacity in load reports, as a part of what it would be; 0 to 1.
    #[serde(rename = "value")]
    #[schemars(description = "The free value, as a part of what it would be.")]
    pub load_report_factor: f64,
}

impl Default for LevelActions {
    /// Full service.
    fn default() -> LevelActions {
        LevelActions {
            min_priority_weight: 0.0,
            reject_idempotent: false,
            reject_all: false,
            skip_calls: false,
            queue_limit_factor: 1.0,
            load_report_factor: 1.0,
        }
    }
}

/// One level of reduced service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(
    rename = "OneLevel",
    expecting = "struct OneLevel",
    deny_unknown_fields
)]
#[schemars(description = "")]
pub struct LevelConfig {
    /// Its name, by which operators see it; unique among the levels.
    #[schemars(description = "")]
    pub name: String,
    /// Any of them enters the level, all of them have to be cleared to leave it. The first level has none, each other
    /// at least one.
    #[serde(default, rename = "when")]
    #[schemars(
        description = "Any of them enters it; all of them must be gone to leave it. None for the first level, one at least for others."
    )]
    pub conditions: Vec<Condition>,
    /// What the level does.
    #[serde(default, rename = "does")]
    #[schemars(description = "")]
    pub actions: LevelActions,
}

/// The degradation levels, from full service to the least.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(
    rename = "LevelTerms",
    expecting = "struct LevelTerms",
    deny_unknown_fields,
    default
)]
#[schemars(description = "Levels from full service to the worst.")]
pub struct DegradationConfig {
    /// Milliseconds from one change of level to the next at the least, 1,000 to 3,600,000.
    #[serde(rename = "stay_ms")]
    #[schemars(description = "Between two changes, in milliseconds.")]
    pub min_stay_ms: u32,
    /// Half-life of the smoothed figures in milliseconds, 100 to 60,000.
    #[serde(rename = "smooth_ms")]
    #[schemars(description = "How long ago a figure counts half, in milliseconds.")]
    pub half_life_ms: u32,
    /// Milliseconds from one log line with the figures to the next, for [`replay`](crate::replay()); 0 for no such lines.
    #[serde(rename = "record_ms")]
    #[schemars(
        description = "The figures go into the log this often, in milliseconds, to be replayed; 0: they don't."
    )]
    pub record_interval_ms: u32,
    /// The levels, the first one full service.
    #[serde(rename = "list")]
    #[schemars(description = "")]
    pub levels: Vec<LevelConfig>,
}
