//! Degradation levels of this server: selects the level from the scheduler's signals, and logs and
//! records its changes. The scheduler applies the level.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use coralstep::{DegradationLevel, Signals, Span, Time};
use coralstep_degradation::{
    DegradationConfig, DegradationConfigError, LevelChange, LevelStateMachine, LevelStatus,
    OverrideError, Sample,
};
use serde::Serialize;

use crate::base::clock::{self, Clock};

/// Number of level changes that are kept.
const MAX_HISTORY_LEN: usize = 200;

/// A change of level and its time.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedChange {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub change: LevelChange,
}

/// Selects the degradation level and keeps the history of its changes.
pub struct DegradationController {
    clock: Clock,
    levels: RefCell<LevelStateMachine>,
    history: RefCell<VecDeque<RecordedChange>>,
    /// Interval at which signals are logged; `None` if they are not logged.
    log_interval: Cell<Option<Span>>,
    last_logged: Cell<Time>,
    /// Makes the next change of level panic, for tests.
    #[cfg(test)]
    pub(super) panic_on_next_change: Cell<bool>,
}

fn log_interval(config: &DegradationConfig) -> Option<Span> {
    (config.record_interval_ms > 0).then_some(Span::ms(u64::from(config.record_interval_ms)))
}

impl DegradationController {
    /// Creates a controller at the initial level of `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if the levels contradict each other.
    pub fn new(
        config: &DegradationConfig,
        clock: Clock,
    ) -> Result<DegradationController, DegradationConfigError> {
        let levels = LevelStateMachine::new(config, clock.now())?;
        Ok(DegradationController {
            clock,
            levels: RefCell::new(levels),
            history: RefCell::default(),
            log_interval: Cell::new(log_interval(config)),
            last_logged: Cell::new(clock.now()),
            #[cfg(test)]
            panic_on_next_change: Cell::new(false),
        })
    }

    /// Evaluates the scheduler's signals and returns the level that the scheduler must apply.
    pub fn observe(&self, now: Time, signals: &Signals) -> DegradationLevel {
        let interval = self.log_interval.get();
        if interval.is_some_and(|interval| now - self.last_logged.get() >= interval) {
            self.last_logged.set(now);
            log_signals(now, signals);
        }
        let change = self.levels.borrow_mut().observe(now, signals);
        if let Some(change) = change {
            self.record_change(change);
        }
        self.degradation_level()
    }

    /// Logs a change of level, without rate limiting, and adds it to the history.
    fn record_change(&self, change: LevelChange) {
        #[cfg(test)]
        assert!(
            !self.panic_on_next_change.take(),
            "test panic in a level change"
        );
        log_change(&change);
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let mut history = self.history.borrow_mut();
        if history.len() == MAX_HISTORY_LEN {
            history.pop_front();
        }
        history.push_back(RecordedChange {
            unix_ms: unix.as_millis() as u64,
            change,
        });
    }

    /// Returns the current level in the form that the scheduler applies.
    pub fn degradation_level(&self) -> DegradationLevel {
        self.levels.borrow().degradation_level()
    }

    /// Returns the name of the current level.
    pub fn level_name(&self) -> String {
        self.levels.borrow().level_name().to_owned()
    }

    /// Returns the current level and the state of each level's conditions.
    pub fn status(&self) -> LevelStatus {
        self.levels.borrow().status(self.clock.now())
    }

    /// Returns the latest changes, oldest first.
    pub fn history(&self) -> Vec<RecordedChange> {
        self.history.borrow().iter().cloned().collect()
    }

    /// Forces `level` for `ms` milliseconds, regardless of the signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the level does not exist or `ms` is too long.
    pub fn set_override(&self, level: &str, ms: u64) -> Result<(), OverrideError> {
        let span = clock::span(Duration::from_millis(ms));
        let mut levels = self.levels.borrow_mut();
        levels.set_override(self.clock.now(), level, span)
    }

    /// Ends an override. Returns `false` if none is in effect.
    pub fn clear_override(&self) -> bool {
        self.levels.borrow_mut().clear_override()
    }

    /// Replaces the settings. Invalid settings change nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the levels contradict each other.
    pub fn reload(&self, config: &DegradationConfig) -> Result<(), DegradationConfigError> {
        let now = self.clock.now();
        let reloaded = self.levels.borrow_mut().reload(config, now);
        let change = reloaded?;
        self.log_interval.set(log_interval(config));
        if let Some(change) = change {
            self.record_change(change);
        }
        Ok(())
    }
}

fn log_signals(now: Time, signals: &Signals) {
    // The field names are those of a serialized `Sample`.
    let sample = Sample::new(now.0 / 10, signals);
    tracing::info!(
        target: "signals",
        at_ms = sample.at_ms,
        hold = sample.queue_wait,
        pushed_back = sample.rejected,
        running = sample.concurrency,
        breaker = sample.breaker_open,
        slowness = sample.call_slowness,
        memory = sample.memory,
        unread = sample.read_delay,
        cold = sample.warming_up,
        "signals"
    );
}

fn log_change(change: &LevelChange) {
    let causes = serde_json::to_string(&change.causes).unwrap_or_default();
    let does = serde_json::to_string(&change.actions).unwrap_or_default();
    tracing::info!(
        target: "level",
        from = change.from,
        to = change.to,
        by_hand = change.is_manual,
        lasted_ms = change.lasted_ms,
        causes,
        does,
        "{change}"
    );
}
