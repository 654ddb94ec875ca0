//! The levels of this server: fed with what the decisions observe, their changes told and remembered. What a level does is
//! carried out by the decisions.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use coralstep::{DegradationLevel, Signals, Span, Time};
use coralstep_degradation::{
    DegradationConfig, LevelChange, LevelStateMachine, LevelStatus, Sample,
};
use serde::Serialize;

use crate::base::clock::Clock;

/// Changes that are remembered.
const HISTORY_MOST: usize = 200;

/// A change, and when the Unix clock showed it.
#[derive(Clone, Debug, Serialize)]
pub struct Recorded {
    pub unix_ms: u64,
    #[serde(flatten)]
    pub change: LevelChange,
}

pub struct Kept {
    clock: Clock,
    levels: RefCell<LevelStateMachine>,
    history: RefCell<VecDeque<Recorded>>,
    /// How often figures go into the log, where they do, and when they last did.
    record: Cell<Option<Span>>,
    recorded: Cell<Time>,
    /// For tests: the next change fails.
    #[cfg(test)]
    pub fails: Cell<bool>,
}

fn record(terms: &DegradationConfig) -> Option<Span> {
    (terms.record_interval_ms > 0).then_some(Span::ms(u64::from(terms.record_interval_ms)))
}

impl Kept {
    pub fn new(terms: &DegradationConfig, clock: Clock) -> Result<Kept, String> {
        Ok(Kept {
            clock,
            levels: RefCell::new(
                LevelStateMachine::new(terms, clock.now()).map_err(|error| error.to_string())?,
            ),
            history: RefCell::default(),
            record: Cell::new(record(terms)),
            recorded: Cell::new(clock.now()),
            #[cfg(test)]
            fails: Cell::new(false),
        })
    }

    /// One beat; what the decisions are to do from now on.
    pub fn beat(&self, now: Time, signals: &Signals) -> DegradationLevel {
        if self
            .record
            .get()
            .is_some_and(|every| now - self.recorded.get() >= every)
        {
            self.recorded.set(now);
            let sample = Sample::new(now.0 / 10, signals);
            tracing::info!(
                target: "signals", at_ms = sample.at_ms, hold = sample.queue_wait, pushed_back = sample.rejected,
                running = sample.concurrency, breaker = sample.breaker_open, slowness = sample.call_slowness,
                memory = sample.memory, unread = sample.read_delay, cold = sample.warming_up, "signals"
            );
        }
        let change = self.levels.borrow_mut().observe(now, signals);
        change.into_iter().for_each(|change| self.tell(change));
        self.levels.borrow().degradation()
    }

    /// Each change is one event, and none of them is left out.
    fn tell(&self, change: LevelChange) {
        #[cfg(test)]
        assert!(!self.fails.take(), "a fault in a change");
        let causes = serde_json::to_string(&change.causes).unwrap_or_default();
        let does = serde_json::to_string(&change.actions).unwrap_or_default();
        tracing::info!(
            target: "level", from = change.from, to = change.to, by_hand = change.by_hand, lasted_ms = change.lasted_ms,
            causes, does, "{change}"
        );
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let mut history = self.history.borrow_mut();
        if history.len() == HISTORY_MOST {
            history.pop_front();
        }
        history.push_back(Recorded {
            unix_ms: unix.as_millis() as u64,
            change,
        });
    }

    /// What the level that holds asks of the decisions.
    pub fn effect(&self) -> DegradationLevel {
        self.levels.borrow().degradation()
    }

    pub fn name(&self) -> String {
        self.levels.borrow().name().to_owned()
    }

    pub fn view(&self) -> LevelStatus {
        self.levels.borrow().status(self.clock.now())
    }

    pub fn history(&self) -> Vec<Recorded> {
        self.history.borrow().iter().cloned().collect()
    }

    pub fn hold(&self, level: &str, ms: u64) -> Result<(), String> {
        let span = Duration::from_millis(ms);
        self.levels
            .borrow_mut()
            .set_override(self.clock.now(), level, crate::base::clock::span(span))
            .map_err(|error| error.to_string())
    }

    pub fn release(&self) -> bool {
        self.levels.borrow_mut().clear_override()
    }

    /// Other terms; those at fault change nothing.
    pub fn reload(&self, terms: &DegradationConfig) -> Result<(), String> {
        let change = self
            .levels
            .borrow_mut()
            .reload(terms, self.clock.now())
            .map_err(|error| error.to_string())?;
        self.record.set(record(terms));
        change.into_iter().for_each(|change| self.tell(change));
        Ok(())
    }
}
