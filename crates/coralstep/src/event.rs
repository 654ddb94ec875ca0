//! What is worth a line in the log.
use std::fmt;

use crate::circuit_breaker::BreakerTransition;
use crate::time::Span;

/// A run whose request is answered and which has had no end for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrphanedRun {
    /// How long ago its request was answered.
    pub since_answer: Span,
    /// How many runs are orphaned with it.
    pub orphaned: usize,
    /// How many may be.
    pub max_orphaned: usize,
}

impl OrphanedRun {
    /// How long ago its request was answered, in whole milliseconds.
    pub fn since_answer_ms(&self) -> u64 {
        self.since_answer.0 / Span::ms(1).0
    }
}

/// An event of a scheduler. Written out it is [`Event::message`] and its fields as `name=value`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The circuit breaker changed its state (`circuit_breaker.rs`).
    BreakerChanged(BreakerTransition),
    /// A run counts as orphaned, and another may run in its place (`orphans.rs`).
    RunOrphaned(OrphanedRun),
    /// A run at a call that is over counts as orphaned (`orphans.rs`).
    RunOrphanedAtCall(OrphanedRun),
    /// The most runs that may be orphaned are, or no longer are (`health.rs`).
    OrphanLimit {
        /// Whether as many runs are orphaned as may be.
        reached: bool,
        /// How many runs are orphaned.
        orphaned: usize,
        /// How many may be.
        max_orphaned: usize,
    },
    /// The server stalled or fell behind with reading, or no longer does (`health.rs`).
    HealthChanged {
        /// Whether full cores finish nothing.
        stalled: bool,
        /// Whether requests are read too late for an answer in time.
        read_backlog: bool,
    },
}

impl Event {
    /// What happened, in words that never vary: to be searched for.
    pub fn message(&self) -> &'static str {
        match self {
            Event::BreakerChanged(_) => "circuit breaker changed state",
            Event::RunOrphaned(_) => "run orphaned",
            Event::RunOrphanedAtCall(_) => "run orphaned at its call",
            Event::OrphanLimit { .. } => "orphan limit changed",
            Event::HealthChanged { .. } => "server health changed",
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())?;
        match self {
            Event::BreakerChanged(transition) => {
                let BreakerTransition { from, to, .. } = transition;
                let rate = transition.failure_rate;
                write!(f, " from={from} to={to} failure_rate={rate:.2}")
            }
            Event::RunOrphaned(run) | Event::RunOrphanedAtCall(run) => {
                let ms = run.since_answer_ms();
                let (orphaned, max) = (run.orphaned, run.max_orphaned);
                write!(
                    f,
                    " since_answer_ms={ms} orphaned={orphaned} max_orphaned={max}"
                )
            }
            Event::OrphanLimit {
                reached,
                orphaned,
                max_orphaned,
            } => write!(
                f,
                " reached={reached} orphaned={orphaned} max_orphaned={max_orphaned}"
            ),
            Event::HealthChanged {
                stalled,
                read_backlog,
            } => write!(f, " stalled={stalled} read_backlog={read_backlog}"),
        }
    }
}
