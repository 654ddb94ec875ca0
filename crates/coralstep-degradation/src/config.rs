//! Configuration of the degradation levels.
//!
//! `rename` and `expecting` keep the type names that the JSON schema and the error messages use.
mod built_in;
mod error;
mod validation;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use error::{ConditionPath, DegradationConfigError};

use crate::Signal;

/// Condition of a level: met while a signal is above one threshold, cleared while it is at or below a lower one.
/// The level changes only after the condition has been met or cleared for a given time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(
    description = "A level is entered over `enter` and left at or under `leave`, each for its time."
)]
pub struct Condition {
    /// Signal that is compared with the thresholds.
    #[schemars(description = "")]
    pub signal: Signal,
    /// The condition is met while the smoothed value is above this threshold.
    #[schemars(description = "Met while the smoothed figure is over this.")]
    pub enter: f64,
    /// The condition is cleared while the smoothed value is at or below this threshold, at least a tenth below `enter`.
    #[schemars(description = "Gone while it is at or under this, which is less.")]
    pub leave: f64,
    /// Time for which the condition has to be met to enter the level, in milliseconds, 100 to 600,000.
    #[serde(default = "default_enter_ms")]
    #[schemars(description = "It must be met for so long, in milliseconds.")]
    pub enter_ms: u32,
    /// Time for which the condition has to be cleared to leave the level, in milliseconds, 100 to 600,000.
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

/// Actions of a level, in addition to the usual load shedding. None of them affects non-idempotent RPCs that have
/// already run.
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
    /// Rejects RPCs of methods with a lower priority weight.
    #[serde(rename = "least_criticality")]
    #[schemars(description = "RPCs of methods under this criticality are pushed back at once.")]
    pub min_priority_weight: f64,
    /// Rejects idempotent methods: only non-idempotent ones and those with an idempotency key are admitted.
    #[serde(rename = "effects_only")]
    #[schemars(description = "Only tokened and non-idempotent methods are let in.")]
    pub reject_idempotent: bool,
    /// Rejects all RPCs.
    #[serde(rename = "closed")]
    #[schemars(description = "Nothing is let in.")]
    pub reject_all: bool,
    /// Skips calls of the dependency if the configuration states the value of an answer without them.
    #[schemars(
        description = "Calls are left out where the settings say what an answer without them earns."
    )]
    pub skip_calls: bool,
    /// Factor applied to the limit of the admission queue, 0 to 1.
    #[serde(rename = "hold")]
    #[schemars(description = "The hold limit, as a part of the usual one.")]
    pub queue_limit_factor: f64,
    /// Factor applied to the free capacity in load reports, 0 to 1.
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

/// A degradation level.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(
    rename = "OneLevel",
    expecting = "struct OneLevel",
    deny_unknown_fields
)]
#[schemars(description = "")]
pub struct LevelConfig {
    /// Name shown to operators; unique among the levels.
    #[schemars(description = "")]
    pub name: String,
    /// Any one met condition enters the level; all have to be cleared to leave it. The first level has none, every
    /// other level at least one.
    #[serde(default, rename = "when")]
    #[schemars(
        description = "Any of them enters it; all of them must be gone to leave it. None for the first level, one at least for others."
    )]
    pub conditions: Vec<Condition>,
    /// Actions taken while the level is current.
    #[serde(default, rename = "does")]
    #[schemars(description = "")]
    pub actions: LevelActions,
}

/// Configuration of the degradation levels, ordered from full service to the most reduced.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(
    rename = "LevelTerms",
    expecting = "struct LevelTerms",
    deny_unknown_fields,
    default
)]
#[schemars(description = "Levels from full service to the worst.")]
pub struct DegradationConfig {
    /// Minimum stay in a level before the next change, in milliseconds, 1,000 to 3,600,000.
    #[serde(rename = "stay_ms")]
    #[schemars(description = "Between two changes, in milliseconds.")]
    pub min_stay_ms: u32,
    /// Half-life of the smoothed signals, in milliseconds, 100 to 60,000.
    #[serde(rename = "smooth_ms")]
    #[schemars(description = "How long ago a figure counts half, in milliseconds.")]
    pub half_life_ms: u32,
    /// Interval at which the signals are logged for [`replay`](crate::replay()), in milliseconds; 0 disables it.
    #[serde(rename = "record_ms")]
    #[schemars(
        description = "The figures go into the log this often, in milliseconds, to be replayed; 0: they don't."
    )]
    pub record_interval_ms: u32,
    /// The levels; the first is full service.
    #[serde(rename = "list")]
    #[schemars(description = "")]
    pub levels: Vec<LevelConfig>,
}
