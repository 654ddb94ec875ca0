//! State machine that decides the current degradation level.
use coralstep::{DegradationLevel, Signals, Span, Time};

use crate::Signal;
use crate::change::{Cause, LevelChange};
use crate::config::{
    Condition, DegradationConfig, DegradationConfigError, LevelActions, LevelConfig,
};
use crate::smoothing::{ObservedClock, SmoothedValue};
use crate::status::{ConditionStatus, LevelStatus};

/// Time for which signals are observed before the first change of level.
/// Guards against a change of level caused by the first few RPCs of a new server.
const MIN_OBSERVED_TIME: Span = Span::ms(3_000);
/// Maximum duration of a manual override.
const MAX_OVERRIDE_DURATION: Span = Span::ms(24 * 3_600_000);

/// Observed time for which a condition has been met or cleared without interruption.
#[derive(Clone, Copy, Debug, Default)]
struct ConditionTimer {
    met_for: Span,
    cleared_for: Span,
}

impl ConditionTimer {
    /// Adds `step` to the time met or cleared, or resets it. Without a value, because it was never observed or has
    /// expired, the condition counts as cleared.
    fn advance(&mut self, condition: &Condition, value: Option<f64>, step: Span) {
        let is_met = value.is_some_and(|value| value > condition.enter);
        let is_cleared = value.is_none_or(|value| value <= condition.leave);
        self.met_for = if is_met {
            self.met_for + step
        } else {
            Span::ZERO
        };
        self.cleared_for = if is_cleared {
            self.cleared_for + step
        } else {
            Span::ZERO
        };
    }
}

/// Level set by an operator.
#[derive(Clone, Copy, Debug)]
struct Override {
    level: usize,
    until: Time,
}

/// Change to another level, with its causes.
struct LevelTransition {
    level: usize,
    causes: Vec<Cause>,
}

/// Error of a manual override.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// There is no level of this name.
    #[error("no level {name:?}")]
    UnknownLevel {
        /// The requested name.
        name: String,
    },
    /// The duration is zero or longer than 24 hours.
    #[error("a hold lasts from a moment to 24 hours")]
    InvalidDuration,
}

/// Chooses the degradation level according to the signals of the scheduler.
pub struct LevelStateMachine {
    config: DegradationConfig,
    /// One per signal, in the order of [`Signal::ALL`].
    smoothed_values: [SmoothedValue; Signal::ALL.len()],
    /// Indexed by level, then by condition.
    timers: Vec<Vec<ConditionTimer>>,
    clock: ObservedClock,
    /// Observed time since the start.
    observed_time: Span,
    /// Observed time since the last change of level.
    time_in_level: Span,
    current_index: usize,
    entered_at: Time,
    causes: Vec<Cause>,
    level_override: Option<Override>,
}

impl LevelStateMachine {
    /// Starts at the first level, since nothing has been observed yet. A new server does not take over the level of
    /// another one.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid.
    pub fn new(
        config: &DegradationConfig,
        now: Time,
    ) -> Result<LevelStateMachine, DegradationConfigError> {
        config.validate()?;
        Ok(LevelStateMachine {
            config: config.clone(),
            smoothed_values: Default::default(),
            timers: new_timers(config),
            clock: ObservedClock::default(),
            observed_time: Span::ZERO,
            time_in_level: Span(u64::MAX),
            current_index: 0,
            entered_at: now,
            causes: Vec::new(),
            level_override: None,
        })
    }

    /// Replaces the configuration and ends a manual override. The level of the same name stays current, or else the
    /// first level becomes current. Smoothed values are kept. Returns the change if the level or its actions differ.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the configuration is invalid.
    pub fn reload(
        &mut self,
        config: &DegradationConfig,
        now: Time,
    ) -> Result<Option<LevelChange>, DegradationConfigError> {
        config.validate()?;
        let name = self.level_name().to_owned();
        let actions = self.actions();
        self.timers = new_timers(config);
        self.config = config.clone();
        self.level_override = None;
        let same_level = self.level_index(&name);
        self.current_index = same_level.unwrap_or(0);
        if same_level.is_some() && self.actions() == actions {
            return Ok(None);
        }
        let transition = LevelTransition {
            level: self.current_index,
            causes: Vec::new(),
        };
        Ok(Some(self.enter_level_from(name, now, transition, true)))
    }

    fn level_index(&self, name: &str) -> Option<usize> {
        let mut levels = self.config.levels.iter();
        levels.position(|level| level.name == name)
    }

    fn current_level(&self) -> &LevelConfig {
        &self.config.levels[self.current_index]
    }

    /// Returns the name of the current level.
    pub fn level_name(&self) -> &str {
        &self.current_level().name
    }

    /// Returns the actions of the current level.
    pub fn actions(&self) -> LevelActions {
        self.current_level().actions
    }

    fn min_stay(&self) -> Span {
        Span::ms(u64::from(self.config.min_stay_ms))
    }

    fn smoothed_value(&self, signal: Signal) -> Option<f64> {
        self.smoothed_values[signal as usize].value()
    }

    /// Returns the current level in the form that the scheduler applies. Its Retry-After is the time until the level
    /// may change.
    pub fn degradation_level(&self) -> DegradationLevel {
        let actions = self.actions();
        let retry_after = if self.current_index == 0 {
            Span::ZERO
        } else {
            self.min_stay() - self.time_in_level
        };
        DegradationLevel {
            min_priority_weight: actions.min_priority_weight,
            reject_idempotent: actions.reject_idempotent,
            reject_all: actions.reject_all,
            excluded: false,
            skip_calls: actions.skip_calls,
            queue_limit_factor: actions.queue_limit_factor,
            load_report_factor: actions.load_report_factor,
            retry_after,
        }
    }

    /// Processes one observation of the signals, about ten per second, and returns the change of level, if any.
    ///
    /// A manual override applies until it expires. Otherwise the level changes only after the minimum stay.
    pub fn observe(&mut self, now: Time, signals: &Signals) -> Option<LevelChange> {
        let step = self.clock.advance(now);
        self.smooth_signals(signals, step);
        self.advance_timers(step);
        if let Some(active) = self.level_override.filter(|active| now < active.until) {
            return self.apply_override(active, now);
        }
        self.level_override = None;
        if self.observed_time < MIN_OBSERVED_TIME || self.time_in_level < self.min_stay() {
            return None;
        }
        let transition = self
            .find_worse_level()
            .or_else(|| self.find_better_level())?;
        Some(self.enter_level(now, transition, false))
    }

    fn smooth_signals(&mut self, signals: &Signals, step: Span) {
        let half_life = Span::ms(u64::from(self.config.half_life_ms));
        for signal in Signal::ALL {
            let value = signal.value_in(signals);
            self.smoothed_values[signal as usize].add(value, step, half_life);
        }
    }

    fn advance_timers(&mut self, step: Span) {
        self.observed_time = self.observed_time + step;
        self.time_in_level = self.time_in_level + step;
        for (level, timers) in self.config.levels.iter().zip(&mut self.timers) {
            for (condition, timer) in level.conditions.iter().zip(timers) {
                let value = self.smoothed_values[condition.signal as usize].value();
                timer.advance(condition, value, step);
            }
        }
    }

    fn apply_override(&mut self, level_override: Override, now: Time) -> Option<LevelChange> {
        if level_override.level == self.current_index {
            return None;
        }
        let transition = LevelTransition {
            level: level_override.level,
            causes: Vec::new(),
        };
        Some(self.enter_level(now, transition, true))
    }

    /// Returns the worst level with a condition that has been met for its `enter_ms`, if it is worse than the current
    /// one. Levels in between are skipped.
    fn find_worse_level(&self) -> Option<LevelTransition> {
        let worse_levels = self.current_index + 1..self.config.levels.len();
        worse_levels.rev().find_map(|level| {
            let causes: Vec<Cause> = self
                .conditions(level)
                .filter(|(condition, timer)| {
                    timer.met_for >= Span::ms(u64::from(condition.enter_ms))
                })
                .map(|(condition, _)| self.cause(condition, condition.enter))
                .collect();
            (!causes.is_empty()).then_some(LevelTransition { level, causes })
        })
    }

    /// Returns the next better level if all conditions of the current one have been cleared for their `leave_ms`.
    fn find_better_level(&self) -> Option<LevelTransition> {
        let level = self.current_index.checked_sub(1)?;
        let all_cleared = self
            .conditions(self.current_index)
            .all(|(condition, timer)| timer.cleared_for >= Span::ms(u64::from(condition.leave_ms)));
        if !all_cleared {
            return None;
        }
        let conditions = self.conditions(self.current_index);
        let causes = conditions
            .map(|(condition, _)| self.cause(condition, condition.leave))
            .collect();
        Some(LevelTransition { level, causes })
    }

    fn conditions(&self, level: usize) -> impl Iterator<Item = (&Condition, &ConditionTimer)> {
        let conditions = &self.config.levels[level].conditions;
        conditions.iter().zip(&self.timers[level])
    }

    fn cause(&self, condition: &Condition, threshold: f64) -> Cause {
        Cause {
            signal: condition.signal,
            value: self.smoothed_value(condition.signal).unwrap_or(0.0),
            threshold,
        }
    }

    fn enter_level(
        &mut self,
        now: Time,
        transition: LevelTransition,
        is_manual: bool,
    ) -> LevelChange {
        let from = self.level_name().to_owned();
        self.enter_level_from(from, now, transition, is_manual)
    }

    fn enter_level_from(
        &mut self,
        from: String,
        now: Time,
        transition: LevelTransition,
        is_manual: bool,
    ) -> LevelChange {
        let lasted_ms = whole_millis(now - self.entered_at);
        self.current_index = transition.level;
        self.entered_at = now;
        self.time_in_level = Span::ZERO;
        self.causes.clone_from(&transition.causes);
        LevelChange {
            from,
            to: self.level_name().to_owned(),
            causes: transition.causes,
            is_manual,
            lasted_ms,
            actions: self.actions(),
        }
    }

    /// Overrides the level for `duration`, at most 24 hours. The next [`observe`](Self::observe) makes the change.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no level of this name or the duration is zero or too long.
    pub fn set_override(
        &mut self,
        now: Time,
        name: &str,
        duration: Span,
    ) -> Result<(), OverrideError> {
        let Some(level) = self.level_index(name) else {
            return Err(OverrideError::UnknownLevel {
                name: name.to_owned(),
            });
        };
        if duration == Span::ZERO || duration > MAX_OVERRIDE_DURATION {
            return Err(OverrideError::InvalidDuration);
        }
        self.level_override = Some(Override {
            level,
            until: now + duration,
        });
        Ok(())
    }

    /// Ends a manual override; returns `false` if there was none. The signals then decide the level, after the
    /// minimum stay.
    pub fn clear_override(&mut self) -> bool {
        self.level_override.take().is_some()
    }

    /// Returns the current level and the state of all conditions, for operators.
    pub fn status(&self, now: Time) -> LevelStatus {
        let active_override = self.level_override.filter(|active| now < active.until);
        LevelStatus {
            level: self.level_name().to_owned(),
            since_ms: whole_millis(now - self.entered_at),
            min_stay_left_ms: whole_millis(self.min_stay() - self.time_in_level),
            override_left_ms: active_override.map(|active| whole_millis(active.until - now)),
            causes: self.causes.clone(),
            actions: self.actions(),
            conditions: self.condition_statuses(),
        }
    }

    fn condition_statuses(&self) -> Vec<ConditionStatus> {
        let mut statuses = Vec::new();
        for (level, timers) in self.config.levels.iter().zip(&self.timers) {
            for (condition, timer) in level.conditions.iter().zip(timers) {
                statuses.push(ConditionStatus {
                    level: level.name.clone(),
                    signal: condition.signal,
                    value: self.smoothed_value(condition.signal),
                    enter: condition.enter,
                    leave: condition.leave,
                    met_ms: whole_millis(timer.met_for),
                    cleared_ms: whole_millis(timer.cleared_for),
                    enter_ms: condition.enter_ms,
                    leave_ms: condition.leave_ms,
                });
            }
        }
        statuses
    }
}

fn new_timers(config: &DegradationConfig) -> Vec<Vec<ConditionTimer>> {
    let timers = |level: &LevelConfig| vec![ConditionTimer::default(); level.conditions.len()];
    config.levels.iter().map(timers).collect()
}

/// Converts a span from ticks of 0.1 ms to whole milliseconds.
fn whole_millis(span: Span) -> u64 {
    span.0 / 10
}
