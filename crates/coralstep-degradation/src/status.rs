//! Status for operators: the current level, its causes and the conditions that would change it.
use serde::Serialize;

use crate::Signal;
use crate::change::Cause;
use crate::config::LevelActions;

/// Status of a condition.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConditionStatus {
    /// Name of the level that the condition belongs to.
    pub level: String,
    /// Signal that is compared with the thresholds.
    pub signal: Signal,
    /// Smoothed value of the signal; `None` if it was never observed or has expired.
    #[serde(rename = "figure")]
    pub value: Option<f64>,
    /// Threshold for entering the level.
    pub enter: f64,
    /// Threshold for leaving the level.
    pub leave: f64,
    /// Time for which the condition has been met, in milliseconds.
    pub met_ms: u64,
    /// Time for which the condition has been cleared, in milliseconds.
    #[serde(rename = "gone_ms")]
    pub cleared_ms: u64,
    /// Time for which the condition has to be met to enter the level, in milliseconds.
    pub enter_ms: u32,
    /// Time for which the condition has to be cleared to leave the level, in milliseconds.
    pub leave_ms: u32,
}

/// Status of the current level and of all conditions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelStatus {
    /// Name of the current level.
    pub level: String,
    /// Time since the level was entered, in milliseconds.
    pub since_ms: u64,
    /// Remaining minimum stay in the level, in milliseconds.
    #[serde(rename = "stays_ms")]
    pub min_stay_left_ms: u64,
    /// Remaining time of the manual override, in milliseconds; `None` if there is none.
    #[serde(rename = "held_ms")]
    pub override_left_ms: Option<u64>,
    /// Causes of the change to this level.
    #[serde(rename = "why")]
    pub causes: Vec<Cause>,
    /// Actions of the level.
    #[serde(rename = "does")]
    pub actions: LevelActions,
    /// Conditions of all levels, in configuration order.
    pub conditions: Vec<ConditionStatus>,
}
