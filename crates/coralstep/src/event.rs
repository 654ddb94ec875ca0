//! Log events of a scheduler.
use std::fmt;

use crate::circuit_breaker::BreakerTransition;
use crate::time::Span;

/// A run that has not ended although its request was answered long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrphanedRun {
    /// Time since its request was answered.
    pub since_answer: Span,
    /// Number of orphaned runs, including this one.
    pub orphaned: usize,
    /// Maximum number of orphaned runs.
    pub max_orphaned: usize,
}

impl OrphanedRun {
    /// Returns the time since its request was answered, in whole milliseconds.
    pub fn since_answer_ms(&self) -> u64 {
        self.since_answer.0 / Span::ms(1).0
    }
}

/// A log event of a scheduler. Its `Display` output is [`Event::message`] followed by `name=value` fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The circuit breaker changed its state (`circuit_breaker.rs`).
    BreakerChanged(BreakerTransition),
    /// A run was marked as orphaned and no longer counts against the concurrency limit (`orphans.rs`).
    RunOrphaned(OrphanedRun),
    /// A run was marked as orphaned after its call ended (`orphans.rs`).
    RunOrphanedAtCall(OrphanedRun),
    /// The number of orphaned runs reached its limit or fell below it (`health.rs`).
    OrphanLimit {
        /// Whether the limit is reached.
        reached: bool,
        /// Number of orphaned runs.
        orphaned: usize,
        /// Maximum number of orphaned runs.
        max_orphaned: usize,
    },
    /// The server stalled, built up a read backlog, or recovered (`health.rs`).
    HealthChanged {
        /// Whether all cores are in use and no run finishes.
        stalled: bool,
        /// Whether requests are read too late to be answered in time.
        read_backlog: bool,
    },
}

impl Event {
    /// Returns the fixed message of the event, without its fields.
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
