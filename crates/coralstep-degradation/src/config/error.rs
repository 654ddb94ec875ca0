//! Why the settings of degradation levels are refused.
use std::fmt;

use super::validation::{MAX_CONDITIONS, MAX_LEVELS};
use crate::Signal;

/// Where a condition stands in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionPath {
    /// Position of its level.
    pub level: usize,
    /// Its position among the level's conditions.
    pub condition: usize,
}

impl fmt::Display for ConditionPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "levels.list[{}].when[{}]", self.level, self.condition)
    }
}

/// A fault in the settings of levels; the message begins with the path of the setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DegradationConfigError {
    /// A figure out of its range.
    #[error("{setting}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Path of the setting.
        setting: String,
        /// The figure as stated, in the setting's unit.
        value: f64,
        /// Least figure that is accepted.
        min: f64,
        /// Greatest figure that is accepted.
        max: f64,
    },
    /// No level, or too many.
    #[error("levels.list: {count} levels are not from 1 to {MAX_LEVELS}")]
    LevelCount {
        /// Levels that were stated.
        count: usize,
    },
    /// A name that is empty or has other than printable ASCII characters.
    #[error("levels.list[{level}].name: {name:?} is no name")]
    InvalidName {
        /// Position of the level.
        level: usize,
        /// The name as stated.
        name: String,
    },
    /// Two levels of one name.
    #[error("levels.list[{level}].name: {name} comes twice")]
    DuplicateName {
        /// Position of the second level.
        level: usize,
        /// The name of both.
        name: String,
    },
    /// A condition of the first level.
    #[error("levels.list[0].when: the first level is where no condition is met, so it has none")]
    ConditionOfFirstLevel,
    /// A level that can't be entered.
    #[error("levels.list[{level}].when: no way in, for it has no condition")]
    NoCondition {
        /// Position of the level.
        level: usize,
    },
    /// More conditions than are supported.
    #[error("levels.list[{level}].when: more than {MAX_CONDITIONS} conditions")]
    TooManyConditions {
        /// Position of the level.
        level: usize,
    },
    /// Two conditions of one level on one signal.
    #[error("{path}.signal: two conditions on {signal} overlap")]
    DuplicateSignal {
        /// The second condition.
        path: ConditionPath,
        /// The signal of both.
        signal: Signal,
    },
    /// A threshold for entering that no figure exceeds, or that is none.
    #[error("{path}.enter: {enter} is never met, for {signal} runs from 0 to {max}")]
    NeverMet {
        /// The condition.
        path: ConditionPath,
        /// The threshold as stated.
        enter: f64,
        /// The signal.
        signal: Signal,
        /// Its greatest figure.
        max: f64,
    },
    /// A threshold for leaving that no figure reaches.
    #[error("{path}.leave: {leave} leaves no way back, for {signal} is never under 0")]
    NeverCleared {
        /// The condition.
        path: ConditionPath,
        /// The threshold as stated.
        leave: f64,
        /// The signal.
        signal: Signal,
    },
    /// Thresholds so close that noise crosses both.
    #[error("{path}.leave: {leave} would flap, for it is not a tenth under {enter} (enter)")]
    WouldFlap {
        /// The condition.
        path: ConditionPath,
        /// The threshold for leaving.
        leave: f64,
        /// The threshold for entering.
        enter: f64,
    },
    /// A worse level that takes no more of a signal than a better one.
    #[error(
        "{path}.enter: {enter} overlaps levels.list[{better}], which takes {better_enter} of {signal} and is better"
    )]
    Overlaps {
        /// The condition.
        path: ConditionPath,
        /// Its threshold for entering.
        enter: f64,
        /// Position of the better level.
        better: usize,
        /// The threshold of that one.
        better_enter: f64,
        /// The signal of both.
        signal: Signal,
    },
}
