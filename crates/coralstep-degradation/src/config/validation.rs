//! Rejects configurations with conditions that overlap, can't be met or would flap, and with levels that can't be
//! entered or left.
use std::collections::HashSet;
use std::ops::RangeInclusive;

use super::{Condition, ConditionPath, DegradationConfig, DegradationConfigError, LevelConfig};

/// Maximum number of levels.
pub(super) const MAX_LEVELS: usize = 16;
/// Maximum number of conditions of a level.
pub(super) const MAX_CONDITIONS: usize = 16;
/// Minimum gap between the thresholds for entering and leaving, as a fraction of the one for entering.
/// Guards against noise that enters and leaves a level again and again.
const MIN_THRESHOLD_GAP: f64 = 0.1;
/// Maximum priority weight.
const MAX_PRIORITY_WEIGHT: f64 = 1e9;
const MIN_STAY_RANGE_MS: RangeInclusive<u32> = 1_000..=3_600_000;
const HALF_LIFE_RANGE_MS: RangeInclusive<u32> = 100..=60_000;
const CONDITION_TIME_RANGE_MS: RangeInclusive<u32> = 100..=600_000;

impl DegradationConfig {
    /// Checks that every level can be entered and left, and that its conditions don't overlap those of better levels.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the path of the setting.
    pub fn validate(&self) -> Result<(), DegradationConfigError> {
        check_time("levels.stay_ms", self.min_stay_ms, &MIN_STAY_RANGE_MS)?;
        check_time("levels.smooth_ms", self.half_life_ms, &HALF_LIFE_RANGE_MS)?;
        let count = self.levels.len();
        if !(1..=MAX_LEVELS).contains(&count) {
            return Err(DegradationConfigError::LevelCount { count });
        }
        let mut names = HashSet::new();
        for (level, config) in self.levels.iter().enumerate() {
            check_name(level, &config.name)?;
            if !names.insert(&config.name) {
                return Err(DegradationConfigError::DuplicateName {
                    level,
                    name: config.name.clone(),
                });
            }
            check_condition_count(level, config.conditions.len())?;
            self.check_conditions(level, config)?;
            check_actions(level, config)?;
        }
        Ok(())
    }

    fn check_conditions(
        &self,
        level: usize,
        config: &LevelConfig,
    ) -> Result<(), DegradationConfigError> {
        let mut signals = HashSet::new();
        for (index, condition) in config.conditions.iter().enumerate() {
            let path = ConditionPath {
                level,
                condition: index,
            };
            if !signals.insert(condition.signal) {
                return Err(DegradationConfigError::DuplicateSignal {
                    path,
                    signal: condition.signal,
                });
            }
            check_thresholds(path, condition)?;
            let times = [
                ("enter_ms", condition.enter_ms),
                ("leave_ms", condition.leave_ms),
            ];
            for (setting, value) in times {
                check_time(
                    &format!("{path}.{setting}"),
                    value,
                    &CONDITION_TIME_RANGE_MS,
                )?;
            }
            self.check_overlap(path, condition)?;
        }
        Ok(())
    }

    /// Guards against levels that are always skipped: a worse level needs a higher threshold for the same signal.
    fn check_overlap(
        &self,
        path: ConditionPath,
        condition: &Condition,
    ) -> Result<(), DegradationConfigError> {
        let overlaps =
            |other: &&Condition| other.signal == condition.signal && other.enter >= condition.enter;
        for (better_level, config) in self.levels[..path.level].iter().enumerate() {
            if let Some(other) = config.conditions.iter().find(overlaps) {
                return Err(DegradationConfigError::Overlaps {
                    path,
                    enter: condition.enter,
                    better_level,
                    better_enter: other.enter,
                    signal: condition.signal,
                });
            }
        }
        Ok(())
    }
}

fn check_name(level: usize, name: &str) -> Result<(), DegradationConfigError> {
    let is_printable = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || !is_printable {
        return Err(DegradationConfigError::InvalidName {
            level,
            name: name.to_owned(),
        });
    }
    Ok(())
}

fn check_condition_count(level: usize, count: usize) -> Result<(), DegradationConfigError> {
    match (level, count) {
        (0, 0) => Ok(()),
        (0, _) => Err(DegradationConfigError::ConditionOfFirstLevel),
        (_, 0) => Err(DegradationConfigError::NoCondition { level }),
        (_, count) if count > MAX_CONDITIONS => {
            Err(DegradationConfigError::TooManyConditions { level })
        }
        _ => Ok(()),
    }
}

fn check_thresholds(
    path: ConditionPath,
    condition: &Condition,
) -> Result<(), DegradationConfigError> {
    let Condition {
        signal,
        enter,
        leave,
        ..
    } = *condition;
    let max = signal.max_value();
    if !enter.is_finite() || enter <= 0.0 || enter >= max {
        return Err(DegradationConfigError::NeverMet {
            path,
            enter,
            signal,
            max,
        });
    }
    if !leave.is_finite() || leave < 0.0 {
        return Err(DegradationConfigError::NeverCleared {
            path,
            leave,
            signal,
        });
    }
    if leave > enter * (1.0 - MIN_THRESHOLD_GAP) {
        return Err(DegradationConfigError::WouldFlap { path, leave, enter });
    }
    Ok(())
}

fn check_actions(level: usize, config: &LevelConfig) -> Result<(), DegradationConfigError> {
    let actions = &config.actions;
    let factors = [
        (
            "least_criticality",
            actions.min_priority_weight,
            MAX_PRIORITY_WEIGHT,
        ),
        ("hold", actions.queue_limit_factor, 1.0),
        ("value", actions.load_report_factor, 1.0),
    ];
    for (setting, value, max) in factors {
        check_range(
            &format!("levels.list[{level}].does.{setting}"),
            value,
            0.0..=max,
        )?;
    }
    Ok(())
}

fn check_time(
    setting: &str,
    value_ms: u32,
    range: &RangeInclusive<u32>,
) -> Result<(), DegradationConfigError> {
    let range = f64::from(*range.start())..=f64::from(*range.end());
    check_range(setting, f64::from(value_ms), range)
}

fn check_range(
    setting: &str,
    value: f64,
    range: RangeInclusive<f64>,
) -> Result<(), DegradationConfigError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(DegradationConfigError::OutOfRange {
        setting: setting.to_owned(),
        value,
        min: *range.start(),
        max: *range.end(),
    })
}

#[cfg(test)]
mod tests;
