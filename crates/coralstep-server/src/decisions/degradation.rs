//! The degradation levels of this server: fed with what the scheduler observes, their changes
//! logged and remembered. What a level does is carried out by the scheduler.
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

/// Changes of level that are remembered.
const MAX_HISTORY_LEN: usize = 200;

/// A change of level, and when it was.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedChange {
    /// Milliseconds of the Unix clock.
    pub unix_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub change: LevelChange,
}

/// Chooses the degradation level.
pub struct DegradationController {
    clock: Clock,
    levels: RefCell<LevelStateMachine>,
    history: RefCell<VecDeque<RecordedChange>>,
    /// How often signals go into the log, where they do.
    log_interval: Cell<Option<Span>>,
    last_logged: Cell<Time>,
    /// For tests: the next change fails.
    #[cfg(test)]
    pub(super) next_change_fails: Cell<bool>,
}

fn log_interval(config: &DegradationConfig) -> Option<Span> {
    (config.record_interval_ms > 0).then_some(Span::ms(u64::from(config.record_interval_ms)))
}

impl DegradationController {
    /// A controller at the level that `config` begin with.
    ///
    /// # Errors
    ///
    /// The levels contradict each other.
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
            next_change_fails: Cell::new(false),
        })
    }

    /// Takes in what the scheduler observes; what it is to do from now on.
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
        self.effect()
    }

    /// Each change is one event, and none of them is left out.
    fn record_change(&self, change: LevelChange) {
        #[cfg(test)]
        assert!(!self.next_change_fails.take(), "a fault in a change");
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

    /// What the level that holds asks of the scheduler.
    pub fn effect(&self) -> DegradationLevel {
        self.levels.borrow().degradation_level()
    }

    /// Name of the level that holds.
    pub fn name(&self) -> String {
        self.levels.borrow().level_name().to_owned()
    }

    /// The level that holds, and how far the others are.
    pub fn view(&self) -> LevelStatus {
        self.levels.borrow().status(self.clock.now())
    }

    /// The last changes, the oldest first.
    pub fn history(&self) -> Vec<RecordedChange> {
        self.history.borrow().iter().cloned().collect()
    }

    /// Holds `level` for `ms` milliseconds, whatever is observed.
    ///
    /// # Errors
    ///
    /// There is no such level, or it may not be held for so long.
    pub fn hold(&self, level: &str, ms: u64) -> Result<(), OverrideError> {
        let span = clock::span(Duration::from_millis(ms));
        let mut levels = self.levels.borrow_mut();
        levels.set_override(self.clock.now(), level, span)
    }

    /// Ends a hold; `false` where there is none.
    pub fn release(&self) -> bool {
        self.levels.borrow_mut().clear_override()
    }

    /// Takes up other settings; those at fault change nothing.
    ///
    /// # Errors
    ///
    /// The levels contradict each other.
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
    // The keys are those of a recorded `Sample`.
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
