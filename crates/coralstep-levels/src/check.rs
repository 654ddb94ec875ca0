//! What makes levels unusable, found before they are used: conditions that overlap, can't be met, or would flap, and levels
//! without a way in or back. Messages name the key.
use std::collections::HashSet;

use crate::terms::{LevelTerms, OneLevel};

/// Levels at the most, and conditions of one.
const LEVELS_MOST: usize = 16;
const CONDITIONS_MOST: usize = 16;
/// Between entering and leaving lies at least this part of the threshold for entering: less is within the noise.
const GAP_LEAST: f64 = 0.1;
/// Times in milliseconds: stay, smoothing, and those of a condition.
const STAY: std::ops::RangeInclusive<u32> = 1_000..=3_600_000;
const SMOOTH: std::ops::RangeInclusive<u32> = 100..=60_000;
const TIME: std::ops::RangeInclusive<u32> = 100..=600_000;

fn within(key: String, value: u32, range: &std::ops::RangeInclusive<u32>) -> Result<(), String> {
    let (least, most) = (range.start(), range.end());
    if range.contains(&value) {
        Ok(())
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

fn part(key: String, value: f64, most: f64) -> Result<(), String> {
    let good = value.is_finite() && (0.0..=most).contains(&value);
    if good {
        Ok(())
    } else {
        Err(format!("{key}: {value} is not from 0 to {most}"))
    }
}

impl LevelTerms {
    pub fn check(&self) -> Result<(), String> {
        within("levels.stay_ms".to_owned(), self.stay_ms, &STAY)?;
        within("levels.smooth_ms".to_owned(), self.smooth_ms, &SMOOTH)?;
        if self.list.is_empty() || self.list.len() > LEVELS_MOST {
            return Err(format!(
                "levels.list: {} levels are not from 1 to {LEVELS_MOST}",
                self.list.len()
            ));
        }
        let mut names = HashSet::new();
        for (at, level) in self.list.iter().enumerate() {
            let key = |rest: &str| format!("levels.list[{at}].{rest}");
            if level.name.is_empty() || !level.name.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err(format!("{}: {:?} is no name", key("name"), level.name));
            }
            if !names.insert(&level.name) {
                return Err(format!("{}: {} comes twice", key("name"), level.name));
            }
            match (at, level.when.len()) {
                (0, 0) => {}
                (0, _) => {
                    return Err(format!(
                        "{}: the first level is where no condition is met, so it has none",
                        key("when")
                    ));
                }
                (_, 0) => {
                    return Err(format!(
                        "{}: no way in, for it has no condition",
                        key("when")
                    ));
                }
                (_, count) if count > CONDITIONS_MOST => {
                    return Err(format!(
                        "{}: more than {CONDITIONS_MOST} conditions",
                        key("when")
                    ));
                }
                _ => {}
            }
            self.conditions(at, level)?;
            part(
                key("does.least_criticality"),
                level.does.least_criticality,
                1e9,
            )?;
            part(key("does.hold"), level.does.hold, 1.0)?;
            part(key("does.value"), level.does.value, 1.0)?;
        }
        Ok(())
    }

    fn conditions(&self, at: usize, level: &OneLevel) -> Result<(), String> {
        let mut signals = HashSet::new();
        for (number, condition) in level.when.iter().enumerate() {
            let key = |rest: &str| format!("levels.list[{at}].when[{number}].{rest}");
            let name = condition.signal.name();
            if !signals.insert(condition.signal) {
                return Err(format!(
                    "{}: two conditions on {name} overlap",
                    key("signal")
                ));
            }
            if !condition.enter.is_finite()
                || condition.enter <= 0.0
                || condition.enter >= condition.signal.most()
            {
                let most = condition.signal.most();
                return Err(format!(
                    "{}: {} is never met, for {name} runs from 0 to {most}",
                    key("enter"),
                    condition.enter
                ));
            }
            if !condition.leave.is_finite() || condition.leave < 0.0 {
                return Err(format!(
                    "{}: {} leaves no way back, for {name} is never under 0",
                    key("leave"),
                    condition.leave
                ));
            }
            // Guards against a level that is entered and left by the same noise.
            if condition.leave > condition.enter * (1.0 - GAP_LEAST) {
                return Err(format!(
                    "{}: {} would flap, for it is not a tenth under {} (enter)",
                    key("leave"),
                    condition.leave,
                    condition.enter
                ));
            }
            within(key("enter_ms"), condition.enter_ms, &TIME)?;
            within(key("leave_ms"), condition.leave_ms, &TIME)?;
            // Guards against levels that are passed by: a worse one must take more of the same signal.
            for (better, earlier) in self.list[..at].iter().enumerate() {
                let overlaps = |other: &&crate::Condition| {
                    other.signal == condition.signal && other.enter >= condition.enter
                };
                if let Some(other) = earlier.when.iter().find(overlaps) {
                    return Err(format!(
                        "{}: {} overlaps levels.list[{better}], which takes {} of {name} and is better",
                        key("enter"),
                        condition.enter,
                        other.enter
                    ));
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
