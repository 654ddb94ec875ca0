//! Errors in the configuration of degradation levels.
use std::fmt;

use super::validation::{MAX_CONDITIONS, MAX_LEVELS};
use crate::Signal;

/// Path of a condition in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionPath {
    /// Index of the level.
    pub level: usize,
    /// Index of the condition within the level.
    pub condition: usize,
}

impl fmt::Display for ConditionPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "levels.list[{}].when[{}]", self.level, self.condition)
    }
}

/// Error in the configuration of levels; the message starts with the path of the setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DegradationConfigError {
    /// A value is out of range.
    #[error("{setting}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Path of the setting.
        setting: String,
        /// The configured value, in the unit of the setting.
        value: f64,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// There are no levels or too many.
    #[error("levels.list: {count} levels are not from 1 to {MAX_LEVELS}")]
    LevelCount {
        /// Number of configured levels.
        count: usize,
    },
    /// A name is empty, or contains a space or a character that isn't printable ASCII.
    #[error("levels.list[{level}].name: {name:?} is no name")]
    InvalidName {
        /// Index of the level.
        level: usize,
        /// The configured name.
        name: String,
    },
    /// Two levels have the same name.
    #[error("levels.list[{level}].name: {name} comes twice")]
    DuplicateName {
        /// Index of the second level.
        level: usize,
        /// The common name.
        name: String,
    },
    /// The first level has a condition.
    #[error("levels.list[0].when: the first level is where no condition is met, so it has none")]
    ConditionOfFirstLevel,
    /// A level other than the first has no condition, so it can't be entered.
    #[error("levels.list[{level}].when: no way in, for it has no condition")]
    NoCondition {
        /// Index of the level.
        level: usize,
    },
    /// A level has too many conditions.
    #[error("levels.list[{level}].when: more than {MAX_CONDITIONS} conditions")]
    TooManyConditions {
        /// Index of the level.
        level: usize,
    },
    /// Two conditions of a level refer to the same signal.
    #[error("{path}.signal: two conditions on {signal} overlap")]
    DuplicateSignal {
        /// Path of the second condition.
        path: ConditionPath,
        /// The common signal.
        signal: Signal,
    },
    /// A threshold for entering is never exceeded, is not positive or is not a finite number.
    #[error("{path}.enter: {enter} is never met, for {signal} runs from 0 to {max}")]
    NeverMet {
        /// Path of the condition.
        path: ConditionPath,
        /// The configured threshold.
        enter: f64,
        /// Signal of the condition.
        signal: Signal,
        /// Upper bound of thresholds for the signal.
        max: f64,
    },
    /// A threshold for leaving is negative or not a finite number, so the level can't be left.
    #[error("{path}.leave: {leave} leaves no way back, for {signal} is never under 0")]
    NeverCleared {
        /// Path of the condition.
        path: ConditionPath,
        /// The configured threshold.
        leave: f64,
        /// Signal of the condition.
        signal: Signal,
    },
    /// The thresholds are so close that noise crosses both.
    #[error("{path}.leave: {leave} would flap, for it is not a tenth under {enter} (enter)")]
    WouldFlap {
        /// Path of the condition.
        path: ConditionPath,
        /// Threshold for leaving.
        leave: f64,
        /// Threshold for entering.
        enter: f64,
    },
    /// A worse level has no higher threshold for a signal than a better level.
    #[error(
        "{path}.enter: {enter} overlaps levels.list[{better_level}], which takes {better_enter} of {signal} and is better"
    )]
    Overlaps {
        /// Path of the condition.
        path: ConditionPath,
        /// Threshold for entering.
        enter: f64,
        /// Index of the better level.
        better_level: usize,
        /// Threshold for entering the better level.
        better_enter: f64,
        /// The common signal.
        signal: Signal,
    },
}
