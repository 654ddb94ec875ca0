//! The levels of this server: fed with what the decisions observe, their changes told and remembered. What a level does is
//! carried out by the decisions.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use coralstep::{DegradationLevel, Signals, Span, Time};
use coralstep_degradation::{Change, LevelTerms, Levels, Sample, View};
use serde::Serialize;

use crate::base::clock::Clock;

/// Changes that are remembered.
const HISTORY_MOST: usize = 200;

/// A change, and when the Unix clock showed it.
#[derive(Clone, Debug, Serialize)]
pub struct Recorded {
    pub unix_ms: u64,
    #[serde(flatten)]
    pub change: Change,
}

pub struct Kept {
    clock: Clock,
    levels: RefCell<Levels>,
    history: RefCell<VecDeque<Recorded>>,
    /// How often figures go into the log, where they do, and when they last did.
    record: Cell<Option<Span>>,
    recorded: Cell<Time>,
    /// For tests: the next change fails.
    #[cfg(test)]
    pub fails: Cell<bool>,
}

fn record(terms: &LevelTerms) -> Option<Span> {
    (terms.record_ms > 0).then_some(Span::ms(u64::from(terms.record_ms)))
}

impl Kept {
    pub fn new(terms: &LevelTerms, clock: Clock) -> Result<Kept, String> {
        Ok(Kept {
            clock,
            levels: RefCell::new(Levels::new(terms, clock.now())?),
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
            let Sample {
                at_ms,
                hold,
                pushed_back,
                running,
                breaker,
                slowness,
                memory,
                unread,
                cold,
            } = Sample::new(now.0 / 10, signals);
            tracing::info!(
                target: "signals", at_ms, hold, pushed_back, running, breaker, slowness, memory, unread, cold, "signals"
            );
        }
        let change = self.levels.borrow_mut().observe(now, signals);
        change.into_iter().for_each(|change| self.tell(change));
        self.levels.borrow().effect()
    }

    /// Each change is one event, and none of them is left out.
    fn tell(&self, change: Change) {
        #[cfg(test)]
        assert!(!self.fails.take(), "a fault in a change");
        let causes = serde_json::to_string(&change.causes).unwrap_or_default();
        let does = serde_json::to_string(&change.does).unwrap_or_default();
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
        self.levels.borrow().effect()
    }

    pub fn name(&self) -> String {
        self.levels.borrow().name().to_owned()
    }

    pub fn view(&self) -> View {
        self.levels.borrow().view(self.clock.now())
    }

    pub fn history(&self) -> Vec<Recorded> {
        self.history.borrow().iter().cloned().collect()
    }

    pub fn hold(&self, level: &str, ms: u64) -> Result<(), String> {
        let span = Duration::from_millis(ms);
        self.levels
            .borrow_mut()
            .hold(self.clock.now(), level, crate::base::clock::span(span))
    }

    pub fn release(&self) -> bool {
        self.levels.borrow_mut().release()
    }

    /// Other terms; those at fault change nothing.
    pub fn reload(&self, terms: &LevelTerms) -> Result<(), String> {
        let change = self.levels.borrow_mut().reload(terms, self.clock.now())?;
        self.record.set(record(terms));
        change.into_iter().for_each(|change| self.tell(change));
        Ok(())
    }
}
