//! What operators see of the levels: the one that holds, why, and what would change it.
use serde::Serialize;

use crate::Signal;
use crate::change::Cause;
use crate::config::LevelActions;

/// How a condition stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConditionStatus {
    /// Name of its level.
    pub level: String,
    /// The signal that it is about.
    pub signal: Signal,
    /// The smoothed figure; none where it was never observed, or is forgotten.
    #[serde(rename = "figure")]
    pub value: Option<f64>,
    /// Threshold for entering the level.
    pub enter: f64,
    /// Threshold for leaving it.
    pub leave: f64,
    /// Milliseconds for which it has been met.
    pub met_ms: u64,
    /// Milliseconds for which it has been cleared.
    #[serde(rename = "gone_ms")]
    pub cleared_ms: u64,
    /// Milliseconds for which it has to be met.
    pub enter_ms: u32,
    /// Milliseconds for which it has to be cleared.
    pub leave_ms: u32,
}

/// The level that holds, and all conditions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelStatus {
    /// Name of the level.
    pub level: String,
    /// Milliseconds since it was entered.
    pub since_ms: u64,
    /// Milliseconds until it may change, by its least stay.
    #[serde(rename = "stays_ms")]
    pub min_stay_left_ms: u64,
    /// Milliseconds that a level set by hand still holds; none where there is none.
    #[serde(rename = "held_ms")]
    pub override_left_ms: Option<u64>,
    /// Why it was entered.
    #[serde(rename = "why")]
    pub causes: Vec<Cause>,
    /// What it does.
    #[serde(rename = "does")]
    pub actions: LevelActions,
    /// The conditions of all levels, in their order.
    pub conditions: Vec<ConditionStatus>,
}
