//! The level that holds now, and the rules by which it changes.
use coralstep::{DegradationLevel, Signals, Span, Time};

use crate::Signal;
use crate::change::{Cause, LevelChange};
use crate::config::{
    Condition, DegradationConfig, DegradationConfigError, LevelActions, LevelConfig,
};
use crate::smoothing::{ObservedClock, SmoothedFigure};
use crate::status::{ConditionStatus, LevelStatus};

/// Figures are observed for this long before any level changes. Guards against the first few RPCs of a fresh server.
const MIN_OBSERVED: Span = Span::ms(3_000);
/// A level that is set by hand holds for this long at the most.
const MAX_OVERRIDE: Span = Span::ms(24 * 3_600_000);

/// For how long a condition has been met, and cleared, in time that was observed.
#[derive(Clone, Copy, Debug, Default)]
struct ConditionTimer {
    met: Span,
    cleared: Span,
}

impl ConditionTimer {
    /// A figure that was never observed meets nothing; one that is no longer observed stays what it was until it is
    /// forgotten.
    fn advance(&mut self, condition: &Condition, figure: Option<f64>, step: Span) {
        let is_met = figure.is_some_and(|figure| figure > condition.enter);
        let is_cleared = figure.is_none_or(|figure| figure <= condition.leave);
        self.met = if is_met { self.met + step } else { Span::ZERO };
        self.cleared = if is_cleared {
            self.cleared + step
        } else {
            Span::ZERO
        };
    }
}

/// A level that an operator set.
#[derive(Clone, Copy, Debug)]
struct Override {
    level: usize,
    until: Time,
}

/// A level to change to, and why.
struct Transition {
    level: usize,
    causes: Vec<Cause>,
}

/// Why a level can't be set by hand.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// No level has this name.
    #[error("no level {name:?}")]
    UnknownLevel {
        /// The name.
        name: String,
    },
    /// The time is none, or longer than 24 hours.
    #[error("a hold lasts from a moment to 24 hours")]
    Duration,
}

/// Decides which degradation level holds, by figures that the scheduler observes of itself.
pub struct LevelStateMachine {
    config: DegradationConfig,
    /// By signal, in the order of [`Signal::ALL`].
    figures: [SmoothedFigure; Signal::ALL.len()],
    /// By level, then by condition.
    timers: Vec<Vec<ConditionTimer>>,
    clock: ObservedClock,
    /// Time that was observed since the start, and since the last change.
    observed: Span,
    stayed: Span,
    current: usize,
    since: Time,
    causes: Vec<Cause>,
    manual: Option<Override>,
}

impl LevelStateMachine {
    /// Begins at the first level, as nothing was observed yet: a fresh server takes over nobody's state.
    ///
    /// # Errors
    ///
    /// Where the settings are at fault.
    pub fn new(
        config: &DegradationConfig,
        now: Time,
    ) -> Result<LevelStateMachine, DegradationConfigError> {
        config.validate()?;
        Ok(LevelStateMachine {
            config: config.clone(),
            figures: Default::default(),
            timers: new_timers(config),
            clock: ObservedClock::default(),
            observed: Span::ZERO,
            stayed: Span(u64::MAX),
            current: 0,
            since: now,
            causes: Vec::new(),
            manual: None,
        })
    }

    /// Takes other settings. The level of the same name goes on, else the first does; the figures are kept. Returns the
    /// change, where the level or what it does is another.
    ///
    /// # Errors
    ///
    /// Where the settings are at fault; nothing changes then.
    pub fn reload(
        &mut self,
        config: &DegradationConfig,
        now: Time,
    ) -> Result<Option<LevelChange>, DegradationConfigError> {
        config.validate()?;
        let name = self.name().to_owned();
        let actions = self.actions();
        self.timers = new_timers(config);
        self.config = config.clone();
        self.manual = None;
        let same_level = self.position(&name);
        self.current = same_level.unwrap_or(0);
        if same_level.is_some() && self.actions() == actions {
            return Ok(None);
        }
        let transition = Transition {
            level: self.current,
            causes: Vec::new(),
        };
        Ok(Some(self.change_from(name, now, transition, true)))
    }

    fn position(&self, name: &str) -> Option<usize> {
        let mut levels = self.config.levels.iter();
        levels.position(|level| level.name == name)
    }

    fn level(&self) -> &LevelConfig {
        &self.config.levels[self.current]
    }

    /// Name of the level that holds.
    pub fn name(&self) -> &str {
        &self.level().name
    }

    /// What the level that holds does.
    pub fn actions(&self) -> LevelActions {
        self.level().actions
    }

    fn min_stay(&self) -> Span {
        Span::ms(u64::from(self.config.min_stay_ms))
    }

    fn figure(&self, signal: Signal) -> Option<f64> {
        self.figures[signal as usize].value()
    }

    /// What the scheduler is to do at the level that holds. RPCs that it rejects may retry once the level can change.
    pub fn degradation(&self) -> DegradationLevel {
        let actions = self.actions();
        let retry_after = if self.current == 0 {
            Span::ZERO
        } else {
            self.min_stay() - self.stayed
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

    /// Takes the figures of one tick, some ten a second; returns the change of level, where there is one.
    ///
    /// A level that is set by hand holds until its time is over. Else the level changes no sooner than its least stay.
    pub fn observe(&mut self, now: Time, signals: &Signals) -> Option<LevelChange> {
        let step = self.clock.advance(now);
        self.smooth_figures(signals, step);
        self.advance_timers(step);
        if let Some(manual) = self.manual.filter(|manual| now < manual.until) {
            return self.change_to_override(manual, now);
        }
        self.manual = None;
        if self.observed < MIN_OBSERVED || self.stayed < self.min_stay() {
            return None;
        }
        let transition = self.worse_level().or_else(|| self.better_level())?;
        Some(self.change(now, transition, false))
    }

    fn smooth_figures(&mut self, signals: &Signals, step: Span) {
        let half_life = Span::ms(u64::from(self.config.half_life_ms));
        for signal in Signal::ALL {
            let figure = signal.figure(signals);
            self.figures[signal as usize].add(figure, step, half_life);
        }
    }

    fn advance_timers(&mut self, step: Span) {
        self.observed = self.observed + step;
        self.stayed = self.stayed + step;
        for (level, timers) in self.config.levels.iter().zip(&mut self.timers) {
            for (condition, timer) in level.conditions.iter().zip(timers) {
                let figure = self.figures[condition.signal as usize].value();
                timer.advance(condition, figure, step);
            }
        }
    }

    fn change_to_override(&mut self, manual: Override, now: Time) -> Option<LevelChange> {
        if manual.level == self.current {
            return None;
        }
        let transition = Transition {
            level: manual.level,
            causes: Vec::new(),
        };
        Some(self.change(now, transition, true))
    }

    /// Straight to the worst level one of whose conditions has been met for its time.
    fn worse_level(&self) -> Option<Transition> {
        let worse = self.current + 1..self.config.levels.len();
        worse.rev().find_map(|level| {
            let causes: Vec<Cause> = self
                .conditions(level)
                .filter(|(condition, timer)| timer.met >= Span::ms(u64::from(condition.enter_ms)))
                .map(|(condition, _)| self.cause(condition, condition.enter))
                .collect();
            (!causes.is_empty()).then_some(Transition { level, causes })
        })
    }

    /// Back by one level, once all conditions of the one that holds have been cleared for their time.
    fn better_level(&self) -> Option<Transition> {
        let level = self.current.checked_sub(1)?;
        let all_cleared = self
            .conditions(self.current)
            .all(|(condition, timer)| timer.cleared >= Span::ms(u64::from(condition.leave_ms)));
        if !all_cleared {
            return None;
        }
        let conditions = self.conditions(self.current);
        let causes = conditions
            .map(|(condition, _)| self.cause(condition, condition.leave))
            .collect();
        Some(Transition { level, causes })
    }

    fn conditions(&self, level: usize) -> impl Iterator<Item = (&Condition, &ConditionTimer)> {
        let conditions = &self.config.levels[level].conditions;
        conditions.iter().zip(&self.timers[level])
    }

    fn cause(&self, condition: &Condition, threshold: f64) -> Cause {
        Cause {
            signal: condition.signal,
            figure: self.figure(condition.signal).unwrap_or(0.0),
            threshold,
        }
    }

    fn change(&mut self, now: Time, transition: Transition, by_hand: bool) -> LevelChange {
        let from = self.name().to_owned();
        self.change_from(from, now, transition, by_hand)
    }

    fn change_from(
        &mut self,
        from: String,
        now: Time,
        transition: Transition,
        by_hand: bool,
    ) -> LevelChange {
        let lasted_ms = millis(now - self.since);
        self.current = transition.level;
        self.since = now;
        self.stayed = Span::ZERO;
        self.causes.clone_from(&transition.causes);
        LevelChange {
            from,
            to: self.name().to_owned(),
            causes: transition.causes,
            by_hand,
            lasted_ms,
            actions: self.actions(),
        }
    }

    /// Sets a level by hand until `duration` has passed, 24 hours at the most; the change comes with the next tick.
    ///
    /// # Errors
    ///
    /// Where no level has this name, or the duration is zero or too long.
    pub fn set_override(
        &mut self,
        now: Time,
        name: &str,
        duration: Span,
    ) -> Result<(), OverrideError> {
        let Some(level) = self.position(name) else {
            return Err(OverrideError::UnknownLevel {
                name: name.to_owned(),
            });
        };
        if duration == Span::ZERO || duration > MAX_OVERRIDE {
            return Err(OverrideError::Duration);
        }
        self.manual = Some(Override {
            level,
            until: now + duration,
        });
        Ok(())
    }

    /// Ends a level set by hand; false where there was none. The figures decide from then on, after the least stay.
    pub fn clear_override(&mut self) -> bool {
        self.manual.take().is_some()
    }

    /// The level that holds, and all conditions, for operators.
    pub fn status(&self, now: Time) -> LevelStatus {
        let active_override = self.manual.filter(|manual| now < manual.until);
        LevelStatus {
            level: self.name().to_owned(),
            since_ms: millis(now - self.since),
            min_stay_left_ms: millis(self.min_stay() - self.stayed),
            override_left_ms: active_override.map(|manual| millis(manual.until - now)),
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
                    figure: self.figure(condition.signal),
                    enter: condition.enter,
                    leave: condition.leave,
                    met_ms: millis(timer.met),
                    cleared_ms: millis(timer.cleared),
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

/// A span in whole milliseconds; its unit is a tenth of one.
fn millis(span: Span) -> u64 {
    span.0 / 10
}
